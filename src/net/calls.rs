//! Calls to endpoints: time-outs, and what each answer means. The connections are the pool's.
//!
//! Nothing here sends a call again by itself: a repeat that the decision module doesn't know of would be a
//! duplicate. When it is unsure whether a call may have run, the outcome says that it may.

use super::RateLimitedLog;
use super::events::{AttemptEnd, DriverInput, MAX_BODY_BYTES};
use super::pool::{ConnectionLease, ConnectionPool, LeaseError, Traffic};
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::header::{HOST, HeaderMap, HeaderValue, RETRY_AFTER};
use hyper::{Request, Response, StatusCode};
use message_sender::pool::{AnswerKind, CloseReason, DialFailure, EndpointAddress, LeaseDenied};
use message_sender::{MILLISECOND, MessageId, Micros, Outcome};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep, sleep_until, timeout, timeout_at};

/// Longest time for the rest of an answer whose first line has come.
const DRAIN: Duration = Duration::from_secs(1);
/// How long a call that was given up is listened to where waits are told: calls within so long of a told wait are let
/// through, and its connection holds a slot meanwhile.
const LATE: Duration = Duration::from_millis(100);

/// One message in a call.
#[derive(Debug, Clone)]
pub struct Item {
    pub id: HeaderValue,
    pub key: Option<HeaderValue>,
    pub body: Bytes,
}

/// A call that has not ended.
pub struct CallOut {
    /// Takes the positions that are called off; none where the old process has the call out.
    pub cancels: Option<mpsc::UnboundedSender<usize>>,
    /// The message and attempt of each position.
    pub items: Vec<(MessageId, usize)>,
    /// Positions that have not ended.
    pub left: usize,
}

/// A call to make.
#[derive(Debug)]
pub struct Call {
    pub number: u64,
    pub place: EndpointAddress,
    pub items: Vec<Item>,
    pub expires: Instant,
    /// A repeat whose connection comes up only then would leave the window in which it is dropped.
    pub start_by: Option<Instant>,
}

/// The connections to the endpoints and what calls have in common.
#[derive(Clone)]
pub struct Calls(Rc<Shared>);

struct Shared {
    connections: ConnectionPool,
    report_fields: RefCell<Vec<String>>,
    faults: RateLimitedLog,
    /// Some endpoint has told a wait.
    tells_waits: Cell<bool>,
    inputs: mpsc::UnboundedSender<DriverInput>,
}

/// What came of the whole call.
struct Answer {
    /// The endpoint has said so.
    heard: bool,
    ends: Ends,
    report: Vec<f64>,
    wait: Option<Micros>,
}

enum Ends {
    All(Outcome, bool),
    Each(Vec<(Outcome, bool)>),
}

impl Answer {
    /// The one message of a call was served, whatever else its answer was to tell.
    fn served() -> Self {
        Answer {
            heard: true,
            ends: Ends::All(Outcome::Success, true),
            ..Outcome::Success.into()
        }
    }
}

impl From<Outcome> for Answer {
    fn from(outcome: Outcome) -> Self {
        Answer {
            heard: false,
            ends: Ends::All(outcome, false),
            report: Vec::new(),
            wait: None,
        }
    }
}

impl Calls {
    /// Calls that go over these connections.
    pub fn new(inputs: mpsc::UnboundedSender<DriverInput>, connections: ConnectionPool) -> Self {
        Calls(Rc::new(Shared {
            connections,
            report_fields: RefCell::default(),
            faults: RateLimitedLog::default(),
            tells_waits: Cell::default(),
            inputs,
        }))
    }

    /// Load reports have these fields from now on.
    pub fn retune(&self, report_fields: Vec<String>) {
        self.0.report_fields.replace(report_fields);
    }

    /// Starts a call; its messages' ends come as inputs. `cancels` brings the positions that are called off.
    pub fn start(&self, call: Call, cancels: mpsc::UnboundedReceiver<usize>) {
        let shared = self.0.clone();
        tokio::task::spawn_local(async move { run(shared, call, cancels).await });
    }

    /// What the calls go over.
    pub fn connections(&self) -> &ConnectionPool {
        &self.0.connections
    }
}

/// What others see of a call on its way.
#[derive(Default)]
struct Under {
    /// The connection that it is on, once it has one.
    traffic: RefCell<Option<Arc<Traffic>>>,
}

/// The ends of a call's messages: each is told once, and what is left when the call is dropped may have run.
struct EndsToTell<'a> {
    inputs: &'a mpsc::UnboundedSender<DriverInput>,
    call: u64,
    left: Vec<bool>,
}

impl EndsToTell<'_> {
    fn is_left(&self, item: usize) -> bool {
        self.left.get(item).is_some_and(|left| *left)
    }

    fn are_left(&self) -> usize {
        self.left.iter().filter(|left| **left).count()
    }

    fn tell(
        &mut self,
        item: usize,
        outcome: Outcome,
        closed: bool,
        report: Vec<f64>,
        wait: Option<Micros>,
    ) {
        self.left[item] = false;
        let end = AttemptEnd {
            call: self.call,
            item,
            outcome,
            closed,
            report,
            retry_after: wait,
        };
        // nobody listens any more only when the process ends
        let _ = self.inputs.send(DriverInput::AttemptEnded(end));
    }
}

impl Drop for EndsToTell<'_> {
    fn drop(&mut self) {
        for item in 0..self.left.len() {
            if self.left[item] {
                self.tell(item, Outcome::Reset, false, Vec::new(), None);
            }
        }
    }
}

async fn run(shared: Rc<Shared>, call: Call, mut cancels: mpsc::UnboundedReceiver<usize>) {
    let mut ends = EndsToTell {
        inputs: &shared.inputs,
        call: call.number,
        left: vec![true; call.items.len()],
    };
    let (end, under) = (Rc::new(Cell::new(CloseReason::Cancelled)), Under::default());
    let exchange = exchange(&shared, &call, &end, &under);
    tokio::pin!(exchange);
    let ended = loop {
        tokio::select! {
            // an answer that is there counts more than a cancel
            biased;
            answer = &mut exchange => break Ok(answer),
            () = sleep_until(call.expires) => {
                end.set(CloseReason::TimedOut);
                break Err(Outcome::TimedOut);
            }
            Some(item) = cancels.recv() => {
                if !ends.is_left(item) {
                    continue;
                }
                if ends.are_left() == 1 {
                    // the call ends with its last message
                    break Err(Outcome::Cancelled);
                }
                ends.tell(item, Outcome::Cancelled, false, Vec::new(), None);
            }
        }
    };
    let (answer, given_up) = match ended {
        Ok(answer) => (answer, None),
        Err(outcome) => {
            let traffic = under.traffic.borrow().clone();
            let listens = shared.tells_waits.get();
            // a message that is called off has no use for an answer, but where waits are told these hold
            let useless = outcome == Outcome::Cancelled && !listens;
            let given_up = async {
                if let Some(traffic) = &traffic {
                    let _ = timeout(LATE, traffic.abandon_call()).await;
                }
            };
            tokio::select! {
                biased;
                // an answer that had come before the end; any other end is what the call was given up for
                answer = &mut exchange, if !useless => {
                    traffic.iter().for_each(|traffic| traffic.keep_connection());
                    (if answer.heard { answer } else { outcome.into() }, None)
                }
                () = given_up => match traffic {
                    // a first line is true also where its head never ends
                    Some(traffic) if !useless && call.items.len() == 1 && traffic.has_success_status() => {
                        (Answer::served(), None)
                    }
                    on => (outcome.into(), on.filter(|_| listens)),
                },
            }
        }
    };
    let mut wait = answer.wait;
    for item in (0..call.items.len())
        .filter(|&item| ends.is_left(item))
        .collect::<Vec<_>>()
    {
        let (outcome, closed) = match &answer.ends {
            Ends::All(outcome, closed) => (*outcome, *closed),
            Ends::Each(ends) => ends.get(item).copied().unwrap_or((Outcome::Error, false)),
        };
        let carried = matches!(
            outcome,
            Outcome::Rejected {
                retry_after: Some(_)
            }
        );
        ends.tell(
            item,
            outcome,
            closed,
            answer.report.clone(),
            wait.take_if(|_| !carried),
        );
    }
    // what crosses the end changes nothing for the messages, but a wait that it tells holds
    if let Some(traffic) = given_up {
        let heard = async {
            sleep(LATE).await;
            let _ = timeout(LATE, traffic.abandon_call()).await;
        };
        tokio::select! {
            biased;
            late = &mut exchange => if let Some(wait) = late.wait {
                let _ = shared.inputs.send(DriverInput::RetryAfter { endpoint: call.place.endpoint, wait });
            },
            () = heard => {}
        }
    }
}

/// Makes the call on one connection and reads its answer. Dropping this closes the connection.
async fn exchange(
    shared: &Rc<Shared>,
    call: &Call,
    end: &Rc<Cell<CloseReason>>,
    under: &Under,
) -> Answer {
    let (address, items) = (call.place.address, &call.items[..]);
    loop {
        let lease = shared.connections.acquire(call.place, end);
        let lease = match call.start_by {
            Some(by) => timeout_at(by, lease)
                .await
                .unwrap_or(Err(LeaseError::TooLate)),
            None => lease.await,
        };
        let mut lease = match lease {
            Ok(lease) if call.start_by.is_some_and(|by| by <= Instant::now()) => {
                lease.release();
                return Outcome::NotSent { no_slot: false }.into();
            }
            Ok(lease) => lease,
            // this machine and the list say nothing of the endpoint's health
            Err(
                LeaseError::TooLate
                | LeaseError::Denied(
                    LeaseDenied::RetryAfter
                    | LeaseDenied::Retired
                    | LeaseDenied::ShuttingDown
                    | LeaseDenied::Dial(DialFailure::Local),
                ),
            ) => {
                return Outcome::NotSent { no_slot: false }.into();
            }
            Err(_) => return Outcome::NoConnection.into(),
        };
        let Some((request, least)) = request_of(address, items, call.expires) else {
            lease.release();
            return Outcome::NotSent { no_slot: false }.into();
        };
        let connection = lease.connection();
        let traffic = connection.traffic.clone();
        under.traffic.replace(Some(traffic.clone()));
        let before = traffic.written();
        traffic.reset_answer();
        let response = match connection.sender.try_send_request(request).await {
            Ok(response) => response,
            // what makes the rest unreadable takes nothing from a first line that tells the one message's end
            Err(_) if items.len() == 1 && traffic.has_success_status() => {
                lease.discard(CloseReason::Unreadable);
                return Answer::served();
            }
            Err(_) => {
                let written = traffic.written() - before;
                // an idle connection that had closed before a byte was written carried no call at all
                if lease.idle_for.is_some() && written == 0 {
                    under.traffic.take();
                    lease.discard(CloseReason::ClosedByPeer);
                    continue;
                }
                lease.discard(CloseReason::Reset);
                // `least` is what the call takes up on the wire at the very least
                let outcome = if written < least {
                    Outcome::NoConnection
                } else {
                    Outcome::Reset
                };
                return outcome.into();
            }
        };
        return read(shared, address, items, lease, response).await;
    }
}

async fn read(
    shared: &Rc<Shared>,
    address: SocketAddr,
    items: &[Item],
    lease: ConnectionLease,
    response: Response<Incoming>,
) -> Answer {
    let (head, body) = response.into_parts();
    let no_room = lease.record_answer(match head.status {
        StatusCode::OK => AnswerKind::Served,
        // all slots of this sender taken has nothing to do with its connections
        StatusCode::SERVICE_UNAVAILABLE if !head.headers.contains_key("slots-taken") => {
            AnswerKind::Rejected
        }
        _ => AnswerKind::Other,
    });
    let report = report_of(&head.headers, &shared.report_fields.borrow());
    let wait = wait_of(&head.headers);
    shared
        .tells_waits
        .set(shared.tells_waits.get() || wait.is_some());
    // what found no room for its connection says nothing of a limit on calls
    let refused = if no_room && wait.is_none() {
        Outcome::NotSent { no_slot: false }
    } else {
        Outcome::Rejected { retry_after: wait }
    };
    let (outcome, closed) = match head.status {
        StatusCode::OK if items.len() > 1 => {
            // the whole answer tells each message's end
            let ends = match Limited::new(body, MAX_BODY_BYTES).collect().await {
                Ok(text) => ends_of(&text.to_bytes(), items, wait),
                Err(_) => {
                    lease.discard(CloseReason::Unreadable);
                    return Answer {
                        heard: true,
                        ends: Ends::All(Outcome::Reset, false),
                        report,
                        wait,
                    };
                }
            };
            lease.release();
            return Answer {
                heard: true,
                ends: Ends::Each(ends),
                report,
                wait,
            };
        }
        StatusCode::OK => (Outcome::Success, true),
        StatusCode::TOO_MANY_REQUESTS => (refused, false),
        StatusCode::SERVICE_UNAVAILABLE => {
            let no_slot = head
                .headers
                .get("slots-taken")
                .is_some_and(|value| value == "1");
            (
                if no_slot {
                    Outcome::NotSent { no_slot }
                } else {
                    refused
                },
                false,
            )
        }
        StatusCode::GATEWAY_TIMEOUT => (Outcome::NotSent { no_slot: false }, false),
        StatusCode::GONE => (Outcome::NotSent { no_slot: false }, true),
        StatusCode::BAD_REQUEST | StatusCode::PAYLOAD_TOO_LARGE if items.len() > 1 => {
            shared.faults.log(format_args!(
                "calls: {address} answered a bulk call with {}",
                head.status
            ));
            (Outcome::NotSent { no_slot: false }, false)
        }
        status => {
            if status != StatusCode::INTERNAL_SERVER_ERROR {
                shared
                    .faults
                    .log(format_args!("calls: {address} answered {status}"));
            }
            (Outcome::Error, false)
        }
    };
    // the outcome is known; the rest of the answer only frees the connection
    tokio::task::spawn_local(async move {
        match timeout(DRAIN, Limited::new(body, MAX_BODY_BYTES).collect()).await {
            Ok(Ok(_)) => lease.release(),
            _ => lease.discard(CloseReason::Unreadable),
        }
    });
    Answer {
        heard: true,
        ends: Ends::All(outcome, closed),
        report,
        wait,
    }
}

/// The request, and the fewest bytes that it takes on the wire.
fn request_of(
    address: SocketAddr,
    items: &[Item],
    expires: Instant,
) -> Option<(Request<Full<Bytes>>, u64)> {
    let (path, body) = match items {
        [item] => ("/inbox", item.body.clone()),
        _ => ("/inbox/bulk", bulk_of(items)),
    };
    let left = expires
        .saturating_duration_since(Instant::now())
        .as_millis()
        .max(1);
    let size = body.len() as u64;
    let mut request = Request::post(path)
        .header(HOST, address.to_string())
        .header("x-timeout", format!("{left}m"))
        .header("content-length", size);
    if let [item] = items {
        request = request.header("x-request-id", item.id.clone());
        if let Some(key) = &item.key {
            request = request.header("idempotency-key", key.clone());
        }
    }
    let request = request.body(Full::new(body)).ok()?;
    let line = "POST  HTTP/1.1\r\n\r\n".len() + path.len();
    let headers: usize = request
        .headers()
        .iter()
        .map(|(name, value)| name.as_str().len() + value.len() + 4)
        .sum();
    Some((request, (line + headers) as u64 + size))
}

/// Bytes that a message takes in the body of a bulk call.
pub fn bulk_size(item: &Item) -> usize {
    item.id.len() + item.key.as_ref().map_or(1, HeaderValue::len) + item.body.len() + 16
}

fn bulk_of(items: &[Item]) -> Bytes {
    let mut body = Vec::new();
    for item in items {
        let key = item.key.as_ref().map_or(&b"-"[..], |key| key.as_bytes());
        body.extend_from_slice(item.id.as_bytes());
        body.push(b' ');
        body.extend_from_slice(key);
        body.extend_from_slice(format!(" {}\r\n", item.body.len()).as_bytes());
        body.extend_from_slice(&item.body);
        body.extend_from_slice(b"\r\n");
    }
    body.into()
}

/// Each message's end; one that the answer doesn't name, or names in no known word, may have run.
fn ends_of(text: &[u8], items: &[Item], wait: Option<Micros>) -> Vec<(Outcome, bool)> {
    let lines: HashMap<&[u8], &[u8]> = text
        .split(|&byte| byte == b'\n')
        .filter_map(|line| {
            let at = line.iter().position(|&byte| byte == b' ')?;
            Some((&line[..at], line[at + 1..].trim_ascii()))
        })
        .collect();
    let end = |item: &Item| match lines.get(item.id.as_bytes()).copied() {
        Some(b"ok") => (Outcome::Success, true),
        Some(b"later") => (Outcome::Rejected { retry_after: wait }, false),
        Some(b"gone") => (Outcome::NotSent { no_slot: false }, true),
        Some(b"exhausted") => (Outcome::NotSent { no_slot: false }, false),
        _ => (Outcome::Error, false),
    };
    items.iter().map(end).collect()
}

/// The wait of a `Retry-After` in seconds, with or without decimals; none where it can't be read.
fn wait_of(headers: &HeaderMap) -> Option<Micros> {
    let seconds: f64 = headers
        .get(RETRY_AFTER)?
        .to_str()
        .ok()?
        .trim()
        .parse()
        .ok()?;
    (seconds.is_finite() && seconds > 0.0)
        .then(|| ((seconds * 1e3).ceil() as Micros).min(86_400_000) * MILLISECOND)
}

/// The load report in the order of the settings; none unless it is whole and sound.
fn report_of(headers: &HeaderMap, fields: &[String]) -> Vec<f64> {
    let Some(text) = headers
        .get("x-server-load")
        .and_then(|value| value.to_str().ok())
    else {
        return Vec::new();
    };
    let pairs: HashMap<&str, f64> = text
        .split(',')
        .filter_map(|pair| pair.trim().split_once('='))
        .filter_map(|(name, value)| {
            Some((name, value.parse().ok().filter(|v: &f64| v.is_finite())?))
        })
        .collect();
    fields
        .iter()
        .map(|field| pairs.get(field.as_str()).copied())
        .collect::<Option<_>>()
        .unwrap_or_default()
}

#[cfg(test)]
mod compatibility;
#[cfg(test)]
mod tests;
