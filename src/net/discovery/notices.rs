//! Posts the outcome notifications ("notices") of undelivered messages to the platform.

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

/// Time to wait for the answer to a post. The agent answers within milliseconds, and posting a notice twice is harmless.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum delay before a failed post is retried. A notification is overdue 300 ms after the message's deadline, and a
/// short failure must not delay it longer.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(200);
/// Maximum number of posts in flight. Several are allowed so that one unanswered post does not hold up later notices;
/// the number is limited because each post uses a connection and thus a file descriptor.
const MAX_POSTS: usize = 8;
/// Maximum number of notices in one request, about 60 bytes each. Further notices go into the next request.
const MAX_BATCH_NOTICES: usize = 200;

/// Notification of the final outcome of an undelivered message.
#[derive(Debug)]
pub struct OutcomeNotification {
    /// Number of the message in this process and its journal.
    pub number: u64,
    /// Message id that the client chose.
    pub id: String,
    /// Outcome that the platform receives.
    pub outcome: UndeliveredOutcome,
}

/// Why a batch of notifications must be posted again.
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
    /// Returns true if the failure is the local host's, not the platform's.
    fn is_local(&self) -> bool {
        match self {
            PostError::Status { .. } | PostError::Task(_) => false,
            PostError::Call { error, .. } => error.is_local(),
        }
    }
}

/// Posts each notice from `queue` until the platform has answered it with 204, and sends the accepted ones to `inputs`.
/// A post that waits for its answer does not hold up other notices.
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

/// Result of one post: the accepted notifications, or why the batch must be posted again.
type PostResult = Result<AcceptedNotifications, PostError>;

/// Notifications that must still be delivered, and the posts in flight.
struct Poster {
    agent: Receiver<SocketAddr>,
    /// Notifications that are in no post at present, by message number.
    pending: BTreeMap<u64, OutcomeNotification>,
    /// Tasks of the posts in flight.
    posts: JoinSet<PostResult>,
    /// Notifications of each post in flight. They become pending again if the post fails.
    in_flight: HashMap<task::Id, Vec<OutcomeNotification>>,
    /// Delay before the retry after the next failed post.
    retry_delay: Duration,
    /// End of the current backoff, or `None` if posts may start immediately.
    retry_at: Option<Instant>,
    /// True if the last post failed. Only the first failure in a row is logged.
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

    /// Posts the pending notifications, unless a backoff is running or [`MAX_POSTS`] are in flight.
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

    /// Returns the notifications that the platform has accepted. If the post failed or its task panicked, the batch
    /// becomes pending again.
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

    /// Makes the batch pending again and starts a backoff if none is running.
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

    /// Ends the backoff, because the platform has a new address.
    fn address_changed(&mut self) {
        self.retry_delay = INITIAL_RETRY_DELAY;
        self.retry_at = None;
    }
}

/// Posts one batch of notifications in a single request on a new connection.
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

/// Returns the JSON line of one notification.
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
