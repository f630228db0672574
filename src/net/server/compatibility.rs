//! Compatibility test of the client interface: answers must match the recorded bytes, and requests must be parsed as
//! recorded.

use super::*;
use crate::net::http_golden as golden;
use message_sender::memory::{MemoryShares, ProcessLimits};

/// Returns the result with which the simulated driver answers a message; each message id stands for one result.
fn answer_of(id: &str) -> SubmissionResult {
    match id {
        "taken" => SubmissionResult::Accepted,
        "delivered" => SubmissionResult::AlreadyDelivered,
        "refused" => SubmissionResult::Rejected { retry_after: None },
        "refused-for" => SubmissionResult::Rejected {
            retry_after: Some(1_234_567),
        },
        "no-room" => SubmissionResult::NotStored,
        _ => SubmissionResult::Failed,
    }
}

fn described(submission: &Submission) -> String {
    let text = |value: &HeaderValue| value.to_str().expect("text").to_string();
    format!(
        "id {}, key {:?}, subject {:?}, tenant {:?}, class {}, destination {}, time {}, again {}, orphan {}, body {:?}\n",
        text(&submission.id),
        submission.key.as_ref().map(text),
        submission.subject,
        submission.tenant,
        submission.class,
        submission.destination,
        submission.time_limit,
        submission.resubmitted,
        submission.previous_sender_failed,
        submission.body
    )
}

fn message(id: &str) -> String {
    format!(
        "POST /webhook HTTP/1.1\r\nHost: app.svc\r\nX-Request-ID: {id}\r\nX-Priority-Class: webhook\r\n\
         X-Timeout: 9000m\r\nIdempotency-Key: key-1\r\nContent-Length: 4\r\nEnvelope: dest=7\r\n\r\nbody"
    )
}

/// Returns the requests to make, each with its name in the golden file. Each is sent over a connection of its own.
fn requests() -> Vec<(String, String)> {
    let mut requests = Vec::new();
    let mut add = |name: &str, text: String| requests.push((name.to_string(), text));
    for id in [
        "taken",
        "delivered",
        "refused",
        "refused-for",
        "no-room",
        "failed",
    ] {
        add(id, message(id));
    }
    let good = message("taken");
    let without = |name: &str| {
        good.split_inclusive("\r\n")
            .filter(|line| !line.starts_with(name))
            .collect::<String>()
    };
    let header = |line: &str| good.replace("Host: app.svc", &format!("Host: app.svc\r\n{line}"));
    let all = header("X-Tenant-Id: acme\r\nX-Retried: again")
        .replace("/webhook ", "/webhook?a=b&subject=s%201 ");
    add(
        "all that a message may carry",
        all.replace("9000m", "9000u"),
    );
    add("retried by the same client", header("X-Retried: yes"));
    for name in [
        "X-Request-ID",
        "X-Priority-Class",
        "X-Timeout",
        "Idempotency-Key",
        "Envelope",
    ] {
        add(&format!("without {name}"), without(name));
    }
    for line in [
        "X-Request-ID: m2",
        "X-Timeout: 5m",
        "Envelope: dest=7",
        "X-Priority-Class: webhook",
        "X-Tenant-Id: a\r\nX-Tenant-Id: b",
    ] {
        add(
            &format!("twice {}", line.replace("\r\n", " ")),
            header(line),
        );
    }
    add(
        "a class without keys",
        without("Idempotency-Key").replace("webhook", "order"),
    );
    add("an id with a space", good.replace("ID: taken", "ID: a b"));
    add("a time that is none", good.replace("9000m", "soon"));
    add(
        "a destination that is none",
        good.replace("dest=7", "dest=70000"),
    );
    add(
        "two subjects",
        good.replace("/webhook ", "/webhook?subject=a&subject=b "),
    );
    add("an unknown class", good.replace("webhook", "gossip"));
    add("an unknown path", good.replace("/webhook", "/elsewhere"));
    add(
        "another method",
        good.replace("POST /webhook", "PUT /webhook"),
    );
    add(
        "another method for readiness",
        "POST /ready HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n".to_string(),
    );
    add("too long", good.replace("Length: 4", "Length: 65537"));
    add(
        "a body that does not come",
        good.replace("Length: 4", "Length: 5"),
    );
    let chunked = good.replace("Content-Length: 4\r\n", "Transfer-Encoding: chunked\r\n");
    add(
        "without a length",
        chunked.replace("\r\n\r\nbody", "\r\n\r\n4\r\nbody\r\n0\r\n\r\n"),
    );
    add(
        "a chunk that is none",
        chunked.replace("\r\n\r\nbody", "\r\n\r\nx\r\nbody\r\n"),
    );
    add("no request", "no request at all\r\n\r\n".to_string());
    add(
        "ready",
        "GET /ready HTTP/1.1\r\nHost: a\r\n\r\n".to_string(),
    );
    requests
}

async fn named_answer(address: std::net::SocketAddr, name: &str, text: &str) -> String {
    let bytes = text.as_bytes().to_vec();
    let answer = tokio::task::spawn_blocking(move || golden::answer_to(address, &bytes));
    format!(
        "--- {name}\n{}\n",
        answer
            .await
            .expect("the request task does not panic")
            .replace("\r\n", "\n")
    )
}

#[test]
fn answers_to_clients_match_recorded_bytes() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    let local = tokio::task::LocalSet::new();
    local.block_on(&runtime, async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("bound");
        let (inputs, mut driver_inputs) = mpsc::unbounded_channel();
        let (set_ready, ready) = watch::channel(false);
        let (_set_handed_over, handed_over) = watch::channel(false);
        let (_set_closing, closing) = watch::channel(false);
        let class = |name: &str, index, key_required| ClassEntry {
            name: name.to_string(),
            index,
            key_required,
        };
        let draining = Rc::new(Cell::new(false));
        let connections = Rc::new(OpenConnections::default());
        let shares = MemoryShares::divide(ProcessLimits {
            memory_bytes: 32_000_000,
            disk_bytes: 3_000_000,
            descriptors: 256,
        });
        let server = Server {
            classes: Rc::new(RefCell::new(vec![
                class("webhook", 0, true),
                class("order", 3, false),
            ])),
            inputs,
            ready,
            draining: draining.clone(),
            connection_permits: Arc::new(Semaphore::new(8)),
            connections: connections.clone(),
            memory: RequestMemory::new(&shares, connections),
            handed_over,
            closing,
        };
        tokio::task::spawn_local(serve(listener, Rc::new(server)));
        let submissions = Rc::new(RefCell::new(String::new()));
        let recorded = submissions.clone();
        tokio::task::spawn_local(async move {
            while let Some(input) = driver_inputs.recv().await {
                let DriverInput::Submitted(submission) = input else {
                    panic!("{input:?}")
                };
                *recorded.borrow_mut() += &described(&submission);
                let answer = answer_of(submission.id.to_str().expect("text"));
                submission.reply.send(answer).expect("the server waits");
            }
        });
        let mut answers = String::new();
        let probe = "GET /ready HTTP/1.1\r\nHost: a\r\n\r\n";
        answers += &named_answer(address, "before it is ready", probe).await;
        answers += &named_answer(address, "a message before it is ready", &message("taken")).await;
        set_ready.send(true).expect("the server runs");
        for (name, text) in requests() {
            answers += &named_answer(address, &name, &text).await;
        }
        draining.set(true);
        answers += &named_answer(address, "ready while it ends", probe).await;
        answers += &named_answer(address, "a message while it ends", &message("taken")).await;
        golden::compare("client_answers.txt", &answers);
        golden::compare("client_messages.txt", &submissions.borrow());
    });
}
