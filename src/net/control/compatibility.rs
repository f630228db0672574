//! Compatibility test of the control API: compares the response to each kind of request with recorded bytes.

use super::*;
use crate::net::http_golden as golden;
use std::cell::RefCell;

fn request_text(call: &str, body: &str) -> String {
    format!(
        "{call} HTTP/1.1\r\nHost: a\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

fn result_for(uid: &str) -> Option<AdminResult> {
    match uid {
        "done" => Some(AdminResult::Done),
        "unknown" => Some(AdminResult::UnknownEndpoint),
        "unwritten" => Some(AdminResult::NotWritten),
        _ => None,
    }
}

/// Answers commands in place of the driver: each report is a fixed text, and the uid in a command selects its result.
async fn serve_commands(
    mut commands: mpsc::Receiver<AdminCommand>,
    commands_seen: Rc<RefCell<String>>,
) {
    while let Some(command) = commands.recv().await {
        match command {
            AdminCommand::SetDisabled {
                uid,
                disabled,
                reply,
            } => {
                *commands_seen.borrow_mut() += &format!("{uid} out {disabled}\n");
                if let Some(result) = result_for(&uid) {
                    reply.send(result).expect("reply is awaited");
                }
            }
            AdminCommand::PoolReport { reply } => reply
                .send("the pools".to_string())
                .expect("reply is awaited"),
            AdminCommand::FreezeReport { reply } => drop(reply),
        }
    }
}

fn calls() -> Vec<(String, String)> {
    let mut calls = Vec::new();
    for path in [
        "/ready",
        "/pools",
        "/freeze",
        "/members",
        "/agreement",
        "/ledger",
        "/elsewhere",
    ] {
        calls.push((
            format!("GET {path}"),
            request_text(&format!("GET {path}"), ""),
        ));
        calls.push((
            format!("POST {path}"),
            request_text(&format!("POST {path}"), ""),
        ));
    }
    for operation in ["disable", "enable"] {
        let call = format!("POST /endpoints/{operation}");
        for uid in ["done", "unknown", "unwritten", "ending"] {
            let body = format!(r#"{{"target":"{uid}"}}"#);
            calls.push((format!("{call} {uid}"), request_text(&call, &body)));
        }
        calls.push((
            format!("GET {operation}"),
            request_text(&format!("GET /endpoints/{operation}"), ""),
        ));
        calls.push((
            format!("{call} with more"),
            request_text(&call, r#"{"target":"done","more":1}"#),
        ));
        calls.push((
            format!("{call} by another key"),
            request_text(&call, r#"{"uid":"done"}"#),
        ));
        calls.push((
            format!("{call} too long"),
            request_text(&call, &"x".repeat(5000)),
        ));
    }
    calls
}

#[test]
fn responses_to_operators_equal_recorded_bytes() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    let local = tokio::task::LocalSet::new();
    local.block_on(&runtime, async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("bound");
        let (commands, received_commands) = mpsc::channel(4);
        let (members, mut members_requests) = mpsc::channel::<ReportRequest>(4);
        let ((agreement, agreement_requests), (ledger, _ledger_requests)) =
            (mpsc::channel(4), mpsc::channel(1));
        drop(agreement_requests);
        let (set_ready, ready) = watch::channel(false);
        let control = Control {
            commands,
            members,
            agreement,
            ledger,
            ready,
            draining: Rc::default(),
        };
        // fills the ledger's queue of one, so that a further report request is rejected as busy
        let (queued_reply, _queued_report) = oneshot::channel();
        control.ledger.try_send(queued_reply).expect("room");
        tokio::task::spawn_local(serve(listener, Rc::new(control)));
        let commands_seen = Rc::new(RefCell::new(String::new()));
        tokio::task::spawn_local(serve_commands(received_commands, commands_seen.clone()));
        tokio::task::spawn_local(async move {
            while let Some(reply) = members_requests.recv().await {
                reply
                    .send("the members".to_string())
                    .expect("reply is awaited");
            }
        });
        let mut responses = String::new();
        let before = [(
            "GET /ready before".to_string(),
            request_text("GET /ready", ""),
        )];
        for (index, (name, text)) in before.into_iter().chain(calls()).enumerate() {
            if index == 1 {
                set_ready.send(true).expect("control API is running");
            }
            let response =
                tokio::task::spawn_blocking(move || golden::answer_to(address, text.as_bytes()));
            let response = response
                .await
                .expect("request task completes")
                .replace("\r\n", "\n");
            responses += &format!("--- {name}\n{response}\n");
        }
        golden::compare("operator_answers.txt", &responses);
        golden::compare("operator_orders.txt", &commands_seen.borrow());
    });
}
