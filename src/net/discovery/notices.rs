//! The notices that end undelivered messages.

use super::back_off_or_move;
use super::backoff::RETRY_FIRST;
use crate::net::end_proof::EndProof;
use crate::net::events::{AcceptedNotifications, DriverInput};
use crate::net::http_client::{CallError, call};
use crate::net::journal::UndeliveredOutcome;
use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{CONTENT_TYPE, HOST};
use hyper::{Request, StatusCode};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use thiserror::Error;
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

/// Why a batch of notifications is still owed.
#[derive(Debug, Error)]
enum PostError {
    #[error("{count} notices answered {status}")]
    Status { count: usize, status: StatusCode },
    #[error("{count} notices not delivered: {error}")]
    Call { count: usize, error: CallError },
}

impl PostError {
    /// A fault of this machine, not of the platform.
    fn is_local(&self) -> bool {
        match self {
            PostError::Status { .. } => false,
            PostError::Call { error, .. } => error.is_local(),
        }
    }
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
    while receive_owed(&mut owed, &mut queue).await {
        let batch: Vec<&OutcomeNotification> = owed.values().take(BATCH).collect();
        let address = *agent.borrow_and_update();
        match post(address, &batch).await {
            Ok(accepted) => {
                for number in &accepted.numbers {
                    owed.remove(number);
                }
                (delay, failing) = (RETRY_FIRST, false);
                if inputs
                    .send(DriverInput::NotificationsAccepted(accepted))
                    .is_err()
                {
                    return;
                }
            }
            Err(error) => {
                if !std::mem::replace(&mut failing, true) {
                    crate::net::log(format_args!("discovery: {error}"));
                }
                let moved = back_off_or_move(delay, &mut agent).await;
                delay = if moved || error.is_local() {
                    RETRY_FIRST
                } else {
                    (delay * 2).min(RETRY_MOST)
                };
            }
        }
    }
}

/// Waits until a notification is owed and takes all that there are; false if none can come any more.
async fn receive_owed(
    owed: &mut BTreeMap<u64, OutcomeNotification>,
    queue: &mut mpsc::UnboundedReceiver<OutcomeNotification>,
) -> bool {
    if owed.is_empty() {
        match queue.recv().await {
            Some(notice) => owed.insert(notice.number, notice),
            None => return false,
        };
    }
    while let Ok(notice) = queue.try_recv() {
        owed.insert(notice.number, notice);
    }
    true
}

/// Posts notifications in one request, on a connection of its own.
async fn post(
    address: SocketAddr,
    batch: &[&OutcomeNotification],
) -> Result<AcceptedNotifications, PostError> {
    let count = batch.len();
    let text: String = batch.iter().map(|notice| line_of(notice)).collect();
    let request = Request::post("/v1/outcomes")
        .header(HOST, address.to_string())
        .header(CONTENT_TYPE, "application/x-ndjson")
        .body(Full::new(Bytes::from(text)));
    let answer = match request {
        Ok(request) => call(address, request, ANSWER).await,
        Err(error) => Err(CallError::from(error)),
    };
    let status = answer
        .map_err(|error| PostError::Call { count, error })?
        .status();
    let proof =
        EndProof::of_notification_answer(status).ok_or(PostError::Status { count, status })?;
    let numbers = batch.iter().map(|notice| notice.number).collect();
    Ok(AcceptedNotifications { numbers, proof })
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
