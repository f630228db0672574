//! Every answer that an operator may get, byte for byte.

use super::*;
use crate::net::http_golden as golden;
use std::cell::RefCell;

fn order(call: &str, body: &str) -> String {
    format!(
        "{call} HTTP/1.1\r\nHost: a\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

fn verdict_of(uid: &str) -> Option<AdminResult> {
    match uid {
        "done" => Some(AdminResult::Done),
        "unknown" => Some(AdminResult::UnknownEndpoint),
        "unwritten" => Some(AdminResult::NotWritten),
        _ => None,
    }
}

/// Plays the driver: reports are their own names, orders are judged by the id they name.
async fn play(mut orders: mpsc::Receiver<AdminCommand>, seen: Rc<RefCell<String>>) {
    while let Some(order) = orders.recv().await {
        match order {
            AdminCommand::SetDisabled {
                uid,
                disabled,
                reply,
            } => {
                *seen.borrow_mut() += &format!("{uid} out {disabled}\n");
                if let Some(verdict) = verdict_of(&uid) {
                    reply.send(verdict).expect("it waits");
                }
            }
            AdminCommand::PoolReport { reply } => {
                reply.send("the pools".to_string()).expect("it waits")
            }
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
        calls.push((format!("GET {path}"), order(&format!("GET {path}"), "")));
        calls.push((format!("POST {path}"), order(&format!("POST {path}"), "")));
    }
    for what in ["disable", "enable"] {
        let call = format!("POST /endpoints/{what}");
        for uid in ["done", "unknown", "unwritten", "ending"] {
            let body = format!(r#"{{"target":"{uid}"}}"#);
            calls.push((format!("{call} {uid}"), order(&call, &body)));
        }
        calls.push((
            format!("GET {what}"),
            order(&format!("GET /endpoints/{what}"), ""),
        ));
        calls.push((
            format!("{call} with more"),
            order(&call, r#"{"target":"done","more":1}"#),
        ));
        calls.push((
            format!("{call} by another key"),
            order(&call, r#"{"uid":"done"}"#),
        ));
        calls.push((format!("{call} too long"), order(&call, &"x".repeat(5000))));
    }
    calls
}

#[test]
fn answers_to_operators_are_the_recorded_bytes() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    let local = tokio::task::LocalSet::new();
    local.block_on(&runtime, async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("bound");
        let (commands, taken) = mpsc::channel(4);
        let (members, mut asked) = mpsc::channel::<ReportRequest>(4);
        let ((agreement, gone), (ledger, _full)) = (mpsc::channel(4), mpsc::channel(1));
        drop(gone);
        let (set_ready, ready) = watch::channel(false);
        let control = Control {
            commands,
            members,
            agreement,
            ledger,
            ready,
            draining: Rc::default(),
        };
        // one question waits already
        let (wait, _waits) = oneshot::channel();
        control.ledger.try_send(wait).expect("room");
        tokio::task::spawn_local(serve(listener, Rc::new(control)));
        let seen = Rc::new(RefCell::new(String::new()));
        tokio::task::spawn_local(play(taken, seen.clone()));
        tokio::task::spawn_local(async move {
            while let Some(query) = asked.recv().await {
                query.send("the members".to_string()).expect("it waits");
            }
        });
        let mut told = String::new();
        let before = [("GET /ready before".to_string(), order("GET /ready", ""))];
        for (at, (name, text)) in before.into_iter().chain(calls()).enumerate() {
            if at == 1 {
                set_ready.send(true).expect("it listens");
            }
            let answer =
                tokio::task::spawn_blocking(move || golden::answer_to(address, text.as_bytes()));
            let answer = answer.await.expect("it ends").replace("\r\n", "\n");
            told += &format!("--- {name}\n{answer}\n");
        }
        golden::compare("operator_answers.txt", &told);
        golden::compare("operator_orders.txt", &seen.borrow());
    });
}
