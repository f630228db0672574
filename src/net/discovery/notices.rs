//! The notices that end undelivered messages.

use super::back_off_or_move;
use super::backoff::RETRY_FIRST;
use crate::net::events::DriverInput;
use crate::net::http_client::{CallError, call};
use crate::net::journal::UndeliveredOutcome;
use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{CONTENT_TYPE, HOST};
use hyper::{Request, StatusCode};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::sync::watch::Receiver;

/// The agent answers notices at once.
const ANSWER: Duration = Duration::from_secs(1);
/// A message's end is overdue 300 ms after its time: what fails for a moment must not delay it beyond that.
const RETRY_MOST: Duration = Duration::from_millis(200);
/// Notices in one request, some 60 bytes each; the next request has the next ones.
const BATCH: usize = 200;

/// A notice that is owed, by the number of its message.
#[derive(Debug)]
pub struct OutcomeNotification {
    pub number: u64,
    pub id: String,
    pub outcome: UndeliveredOutcome,
}

/// Posts notices until each has been answered 204.
pub async fn post_notices(
    mut agent: Receiver<SocketAddr>,
    mut queue: mpsc::UnboundedReceiver<OutcomeNotification>,
    inputs: mpsc::UnboundedSender<DriverInput>,
) {
    let mut owed: BTreeMap<u64, OutcomeNotification> = BTreeMap::new();
    let mut delay = RETRY_FIRST;
    let mut failing = false;
    loop {
        if owed.is_empty() {
            match queue.recv().await {
                Some(notice) => owed.insert(notice.number, notice),
                None => return,
            };
        }
        while let Ok(notice) = queue.try_recv() {
            owed.insert(notice.number, notice);
        }
        let batch: Vec<u64> = owed.keys().copied().take(BATCH).collect();
        let text: String = batch
            .iter()
            .filter_map(|number| owed.get(number))
            .map(line_of)
            .collect();
        let address = *agent.borrow_and_update();
        let request = Request::post("/v1/outcomes")
            .header(HOST, address.to_string())
            .header(CONTENT_TYPE, "application/x-ndjson")
            .body(Full::new(Bytes::from(text)));
        let answer = match request {
            Ok(request) => call(address, request, ANSWER)
                .await
                .map(|response| response.status()),
            Err(error) => Err(CallError::from(error)),
        };
        match answer {
            Ok(StatusCode::NO_CONTENT) => {
                for number in &batch {
                    owed.remove(number);
                }
                (delay, failing) = (RETRY_FIRST, false);
                if inputs
                    .send(DriverInput::NotificationsDelivered(batch))
                    .is_err()
                {
                    return;
                }
            }
            other => {
                let local = other.as_ref().is_err_and(CallError::is_local);
                if !std::mem::replace(&mut failing, true) {
                    let count = batch.len();
                    match other {
                        Ok(status) => crate::net::log(format_args!(
                            "discovery: {count} notices answered {status}"
                        )),
                        Err(error) => crate::net::log(format_args!(
                            "discovery: {count} notices not delivered: {error}"
                        )),
                    }
                }
                let moved = back_off_or_move(delay, &mut agent).await;
                delay = if moved || local {
                    RETRY_FIRST
                } else {
                    (delay * 2).min(RETRY_MOST)
                };
            }
        }
    }
}

fn line_of(notice: &OutcomeNotification) -> String {
    let mut object = serde_json::json!({ "id": notice.id });
    match notice.outcome {
        UndeliveredOutcome::Failed => object["state"] = "failed".into(),
        UndeliveredOutcome::Returned { after_ms } => {
            object["state"] = "returned".into();
            if let Some(after) = after_ms {
                object["after_ms"] = after.into();
            }
        }
    }
    format!("{object}\n")
}
