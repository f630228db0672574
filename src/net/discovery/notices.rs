//! The notices that end undelivered messages.

use super::backoff::INITIAL_RETRY_DELAY;
use crate::net::end_proof::EndProof;
use crate::net::events::{AcceptedNotifications, DriverInput};
use crate::net::http_client::{CallError, call};
use crate::net::journal::UndeliveredOutcome;
use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{CONTENT_TYPE, HOST};
use hyper::{Request, StatusCode};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::time::Duration;
use thiserror::Error;
use tokio::sync::mpsc;
use tokio::sync::watch::Receiver;
use tokio::task::{self, JoinError, JoinSet};
use tokio::time::{Instant, sleep_until};

/// The agent answers notices at once; one that is posted again does no harm.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(500);
/// A message's end is overdue 300 ms after its time: what fails for a moment must not delay it beyond that.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(200);
/// Posts on their way at once. Each may wait for its answer while others are due; a connection is a descriptor.
const MAX_POSTS: usize = 8;
/// Notices in one request, some 60 bytes each; the next request has the next ones.
const MAX_BATCH_NOTICES: usize = 200;

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
    #[error("notices not delivered: {0}")]
    Task(#[from] JoinError),
}

impl PostError {
    /// A fault of this machine, not of the platform.
    fn is_local(&self) -> bool {
        match self {
            PostError::Status { .. } | PostError::Task(_) => false,
            PostError::Call { error, .. } => error.is_local(),
        }
    }
}

/// Posts notices until each has been answered 204. One that waits for its answer holds up no other.
pub async fn post_notices(
    agent: Receiver<SocketAddr>,
    mut queue: mpsc::UnboundedReceiver<OutcomeNotification>,
    inputs: mpsc::UnboundedSender<DriverInput>,
) {
    let mut poster = Poster::new(agent);
    loop {
        let retry_at = poster.retry_at;
        tokio::select! {
            notice = queue.recv() => {
                let Some(notice) = notice else { return };
                poster.add(notice);
                while let Ok(notice) = queue.try_recv() {
                    poster.add(notice);
                }
            }
            Some(ended) = poster.posts.join_next_with_id() => {
                if let Some(accepted) = poster.post_ended(ended)
                    && inputs.send(DriverInput::NotificationsAccepted(accepted)).is_err()
                {
                    return;
                }
            }
            () = sleep_until(retry_at.unwrap_or_else(Instant::now)), if retry_at.is_some() => {
                poster.retry_at = None;
            }
            Ok(()) = poster.agent.changed() => poster.address_changed(),
        }
        poster.post_pending();
    }
}

/// What came of a post.
type PostResult = Result<AcceptedNotifications, PostError>;

/// The notifications that are owed, and the posts that are on their way.
struct Poster {
    agent: Receiver<SocketAddr>,
    /// Those that no post carries now, by number.
    pending: BTreeMap<u64, OutcomeNotification>,
    posts: JoinSet<PostResult>,
    /// What each post carries, which is owed until it is accepted.
    in_flight: HashMap<task::Id, Vec<OutcomeNotification>>,
    /// The next pause after a failure.
    retry_delay: Duration,
    /// Nothing is posted before; none: at once.
    retry_at: Option<Instant>,
    /// The last post failed, which is logged.
    failing: bool,
}

impl Poster {
    fn new(agent: Receiver<SocketAddr>) -> Self {
        Poster {
            agent,
            pending: BTreeMap::new(),
            posts: JoinSet::new(),
            in_flight: HashMap::new(),
            retry_delay: INITIAL_RETRY_DELAY,
            retry_at: None,
            failing: false,
        }
    }

    fn add(&mut self, notice: OutcomeNotification) {
        self.pending.insert(notice.number, notice);
    }

    /// Posts what is owed, unless there is a pause or as many posts are on their way as may be.
    fn post_pending(&mut self) {
        while self.retry_at.is_none() && !self.pending.is_empty() && self.posts.len() < MAX_POSTS {
            let mut batch = Vec::new();
            while batch.len() < MAX_BATCH_NOTICES
                && let Some((_, notice)) = self.pending.pop_first()
            {
                batch.push(notice);
            }
            let address = *self.agent.borrow_and_update();
            let numbers = batch.iter().map(|notice| notice.number).collect();
            let text = batch.iter().map(line_of).collect();
            let post = self.posts.spawn_local(post(address, numbers, text));
            self.in_flight.insert(post.id(), batch);
        }
    }

    /// What the platform has accepted, if it has; else the batch is owed again, also where its task panicked.
    fn post_ended(
        &mut self,
        ended: Result<(task::Id, PostResult), JoinError>,
    ) -> Option<AcceptedNotifications> {
        let (post, result) = match ended {
            Ok(ended) => ended,
            Err(error) => (error.id(), Err(error.into())),
        };
        let batch = self.in_flight.remove(&post).unwrap_or_default();
        match result {
            Ok(accepted) => {
                self.retry_delay = INITIAL_RETRY_DELAY;
                self.failing = false;
                Some(accepted)
            }
            Err(error) => {
                self.failed(batch, &error);
                None
            }
        }
    }

    /// The batch is owed again, after a pause.
    fn failed(&mut self, batch: Vec<OutcomeNotification>, error: &PostError) {
        if !std::mem::replace(&mut self.failing, true) {
            crate::net::log(format_args!("discovery: {error}"));
        }
        batch.into_iter().for_each(|notice| self.add(notice));
        if self.retry_at.is_none() {
            self.retry_at = Some(Instant::now() + self.retry_delay);
            self.retry_delay = if error.is_local() {
                INITIAL_RETRY_DELAY
            } else {
                (self.retry_delay * 2).min(MAX_RETRY_DELAY)
            };
        }
    }

    /// The platform has another address.
    fn address_changed(&mut self) {
        self.retry_delay = INITIAL_RETRY_DELAY;
        self.retry_at = None;
    }
}

/// Posts notifications in one request, on a connection of its own.
async fn post(address: SocketAddr, numbers: Vec<u64>, text: String) -> PostResult {
    let count = numbers.len();
    let request = Request::post("/v1/outcomes")
        .header(HOST, address.to_string())
        .header(CONTENT_TYPE, "application/x-ndjson")
        .body(Full::new(Bytes::from(text)));
    let answer = match request {
        Ok(request) => call(address, request, ANSWER_TIMEOUT).await,
        Err(error) => Err(CallError::from(error)),
    };
    let status = answer
        .map_err(|error| PostError::Call { count, error })?
        .status();
    let proof =
        EndProof::of_notification_answer(status).ok_or(PostError::Status { count, status })?;
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
