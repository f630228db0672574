//! Calls to endpoints: time-outs, and what each answer means. The connections are the pool's.
//!
//! Nothing here sends a call again by itself: a repeat that the decision module doesn't know of would be a
//! duplicate. When it is unsure whether a call may have run, the outcome says that it may.

use super::Seldom;
use super::events::{BODY_MOST, Ended, Input};
use super::pool::{Connections, Lease, NoLease};
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::header::{HOST, HeaderMap, HeaderValue, RETRY_AFTER};
use hyper::{Request, Response, StatusCode};
use milletturn::pool::{Answered, Cause, Denied, Place};
use milletturn::{MILLISECOND, MessageId, Micros, Outcome};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep_until, timeout, timeout_at};

/// Longest time for the rest of an answer whose first line has come.
const DRAIN: Duration = Duration::from_secs(1);

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
    pub place: Place,
    pub items: Vec<Item>,
    pub expires: Instant,
    /// A repeat whose connection comes up only then would leave the window in which it is dropped.
    pub start_by: Option<Instant>,
}

/// The connections to the endpoints and what calls have in common.
#[derive(Clone)]
pub struct Calls(Rc<Shared>);

struct Shared {
    connections: Connections,
    report_fields: RefCell<Vec<String>>,
    faults: Seldom,
    inputs: mpsc::UnboundedSender<Input>,
}

/// What came of the whole call.
struct Answer {
    ends: Ends,
    report: Vec<f64>,
    wait: Option<Micros>,
}

enum Ends {
    All(Outcome, bool),
    Each(Vec<(Outcome, bool)>),
}

impl From<Outcome> for Answer {
    fn from(outcome: Outcome) -> Self {
        Answer { ends: Ends::All(outcome, false), report: Vec::new(), wait: None }
    }
}

impl Calls {
    /// Calls that go over these connections.
    pub fn new(inputs: mpsc::UnboundedSender<Input>, connections: Connections) -> Self {
        Calls(Rc::new(Shared {
            connections,
            report_fields: RefCell::default(),
            faults: Seldom::default(),
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
    pub fn connections(&self) -> &Connections {
        &self.0.connections
    }
}

async fn run(shared: Rc<Shared>, call: Call, mut cancels: mpsc::UnboundedReceiver<usize>) {
    let mut left: Vec<bool> = vec![true; call.items.len()];
    let tell = |item: usize, outcome, closed, report, wait| {
        let end = Ended { call: call.number, item, outcome, closed, report, wait };
        // nobody listens any more only when the process ends
        let _ = shared.inputs.send(Input::Ended(end));
    };
    let end = Rc::new(Cell::new(Cause::CalledOff));
    let answer = {
        let exchange = exchange(&shared, &call, &end);
        tokio::pin!(exchange);
        loop {
            tokio::select! {
                // an answer that is there counts more than a cancel
                biased;
                answer = &mut exchange => break answer,
                () = sleep_until(call.expires) => {
                    end.set(Cause::TimedOut);
                    break Outcome::TimedOut.into();
                }
                Some(item) = cancels.recv() => {
                    if left.get_mut(item).is_some_and(std::mem::take) {
                        tell(item, Outcome::Cancelled, false, Vec::new(), None);
                    }
                    if !left.contains(&true) {
                        return;
                    }
                }
            }
        }
    };
    let mut wait = answer.wait;
    for (item, _) in left.iter().enumerate().filter(|(_, left)| **left) {
        let (outcome, closed) = match &answer.ends {
            Ends::All(outcome, closed) => (*outcome, *closed),
            Ends::Each(ends) => ends.get(item).copied().unwrap_or((Outcome::Error, false)),
        };
        let carried = matches!(outcome, Outcome::Refused { wait: Some(_) });
        tell(item, outcome, closed, answer.report.clone(), wait.take_if(|_| !carried));
    }
}

/// Makes the call on one connection and reads its answer. Dropping this closes the connection.
async fn exchange(shared: &Rc<Shared>, call: &Call, end: &Rc<Cell<Cause>>) -> Answer {
    let (address, items) = (call.place.address, &call.items[..]);
    loop {
        let lease = shared.connections.lease(call.place, end);
        let lease = match call.start_by {
            Some(by) => timeout_at(by, lease).await.unwrap_or(Err(NoLease::Late)),
            None => lease.await,
        };
        let mut lease = match lease {
            Ok(lease) if call.start_by.is_some_and(|by| by <= Instant::now()) => {
                lease.give_back();
                return Outcome::Unsent { no_slot: false }.into();
            }
            Ok(lease) => lease,
            Err(NoLease::Late | NoLease::Denied(Denied::Wait | Denied::Retired | Denied::Leaving)) => {
                return Outcome::Unsent { no_slot: false }.into();
            }
            Err(_) => return Outcome::NoConnection.into(),
        };
        let Some((request, least)) = request_of(address, items, call.expires) else {
            lease.give_back();
            return Outcome::Unsent { no_slot: false }.into();
        };
        let connection = lease.connection();
        let traffic = connection.traffic.clone();
        let before = traffic.written();
        traffic.forget_answer();
        let response = match connection.sender.try_send_request(request).await {
            Ok(response) => response,
            // what makes the rest unreadable takes nothing from a first line that tells the one message's end
            Err(_) if items.len() == 1 && traffic.says_ok() => {
                lease.spoil(Cause::Unreadable);
                return Answer { ends: Ends::All(Outcome::Success, true), ..Outcome::Success.into() };
            }
            Err(_) => {
                let written = traffic.written() - before;
                // an idle connection that had closed before a byte was written carried no call at all
                if lease.rested.is_some() && written == 0 {
                    lease.spoil(Cause::Peer);
                    continue;
                }
                lease.spoil(Cause::Reset);
                // `least` is what the call takes up on the wire at the very least
                let outcome = if written < least { Outcome::NoConnection } else { Outcome::Reset };
                return outcome.into();
            }
        };
        return read(shared, address, items, lease, response).await;
    }
}

async fn read(
    shared: &Rc<Shared>, address: SocketAddr, items: &[Item], lease: Lease, response: Response<Incoming>,
) -> Answer {
    let (head, body) = response.into_parts();
    lease.answered(match head.status {
        StatusCode::OK => Answered::Served,
        // all slots of this sender taken has nothing to do with its connections
        StatusCode::SERVICE_UNAVAILABLE if !head.headers.contains_key("slots-taken") => Answered::TurnedAway,
        _ => Answered::Other,
    });
    let report = report_of(&head.headers, &shared.report_fields.borrow());
    let wait = wait_of(&head.headers);
    let refused = Outcome::Refused { wait };
    let (outcome, closed) = match head.status {
        StatusCode::OK if items.len() > 1 => {
            // the whole answer tells each message's end
            let ends = match Limited::new(body, BODY_MOST).collect().await {
                Ok(text) => ends_of(&text.to_bytes(), items, wait),
                Err(_) => {
                    lease.spoil(Cause::Unreadable);
                    return Answer { ends: Ends::All(Outcome::Reset, false), report, wait };
                }
            };
            lease.give_back();
            return Answer { ends: Ends::Each(ends), report, wait };
        }
        StatusCode::OK => (Outcome::Success, true),
        StatusCode::TOO_MANY_REQUESTS => (refused, false),
        StatusCode::SERVICE_UNAVAILABLE => {
            let no_slot = head.headers.get("slots-taken").is_some_and(|value| value == "1");
            (if no_slot { Outcome::Unsent { no_slot } } else { refused }, false)
        }
        StatusCode::GATEWAY_TIMEOUT => (Outcome::Unsent { no_slot: false }, false),
        StatusCode::GONE => (Outcome::Unsent { no_slot: false }, true),
        StatusCode::BAD_REQUEST | StatusCode::PAYLOAD_TOO_LARGE if items.len() > 1 => {
            shared.faults.log(format_args!("calls: {address} answered a bulk call with {}", head.status));
            (Outcome::Unsent { no_slot: false }, false)
        }
        status => {
            if status != StatusCode::INTERNAL_SERVER_ERROR {
                shared.faults.log(format_args!("calls: {address} answered {status}"));
            }
            (Outcome::Error, false)
        }
    };
    // the outcome is known; the rest of the answer only frees the connection
    tokio::task::spawn_local(async move {
        match timeout(DRAIN, Limited::new(body, BODY_MOST).collect()).await {
            Ok(Ok(_)) => lease.give_back(),
            _ => lease.spoil(Cause::Unreadable),
        }
    });
    Answer { ends: Ends::All(outcome, closed), report, wait }
}

/// The request, and the fewest bytes that it takes on the wire.
fn request_of(address: SocketAddr, items: &[Item], expires: Instant) -> Option<(Request<Full<Bytes>>, u64)> {
    let (path, body) = match items {
        [item] => ("/inbox", item.body.clone()),
        _ => ("/inbox/bulk", bulk_of(items)),
    };
    let left = expires.saturating_duration_since(Instant::now()).as_millis().max(1);
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
    let headers: usize =
        request.headers().iter().map(|(name, value)| name.as_str().len() + value.len() + 4).sum();
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
        Some(b"later") => (Outcome::Refused { wait }, false),
        Some(b"gone") => (Outcome::Unsent { no_slot: false }, true),
        Some(b"exhausted") => (Outcome::Unsent { no_slot: false }, false),
        _ => (Outcome::Error, false),
    };
    items.iter().map(end).collect()
}

/// The wait of a `Retry-After` in seconds, with or without decimals; none where it can't be read.
fn wait_of(headers: &HeaderMap) -> Option<Micros> {
    let seconds: f64 = headers.get(RETRY_AFTER)?.to_str().ok()?.trim().parse().ok()?;
    (seconds.is_finite() && seconds > 0.0)
        .then(|| ((seconds * 1e3).ceil() as Micros).min(86_400_000) * MILLISECOND)
}

/// The load report in the order of the settings; none unless it is whole and sound.
fn report_of(headers: &HeaderMap, fields: &[String]) -> Vec<f64> {
    let Some(text) = headers.get("x-server-load").and_then(|value| value.to_str().ok()) else {
        return Vec::new();
    };
    let pairs: HashMap<&str, f64> = text
        .split(',')
        .filter_map(|pair| pair.trim().split_once('='))
        .filter_map(|(name, value)| Some((name, value.parse().ok().filter(|v: &f64| v.is_finite())?)))
        .collect();
    fields.iter().map(|field| pairs.get(field.as_str()).copied()).collect::<Option<_>>().unwrap_or_default()
}

#[cfg(test)]
mod tests {
    use super::super::pool::limits;
    use super::*;
    use milletturn::pool::PoolSettings;
    use milletturn::{EndpointId, SECOND, Settings};
    use tokio::io::{AsyncReadExt, AsyncWriteExt, DuplexStream, duplex};

    const ANSWER: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

    fn shared(streams: Vec<DuplexStream>) -> (Rc<Shared>, Call) {
        let settings = Settings { connection_idle: 60 * SECOND, ..Settings::new(8, 100) };
        let limits = limits(&PoolSettings::default(), 100, &settings);
        let connections = Connections::ready(streams, limits);
        let place = Place { address: ([127, 0, 0, 1], 9).into(), endpoint: EndpointId(0) };
        connections.serve(place, true);
        let calls = Calls::new(mpsc::unbounded_channel().0, connections);
        let id = HeaderValue::from_static("m1");
        let items = vec![Item { id, key: None, body: Bytes::from_static(b"body") }];
        let expires = Instant::now() + Duration::from_secs(10);
        (calls.0, Call { number: 0, place, items, expires, start_by: None })
    }

    /// Reads up to so many bytes, one at a time, so that the other side has written one more at most.
    async fn read_bytes(stream: &mut DuplexStream, most: usize) -> Vec<u8> {
        let mut bytes = Vec::new();
        while bytes.len() < most && !bytes.ends_with(b"\r\n\r\nbody") {
            match stream.read_u8().await {
                Ok(byte) => bytes.push(byte),
                Err(_) => break,
            }
        }
        bytes
    }

    /// A call whose endpoint reads so many bytes of the request and writes so many of the answer, on a new
    /// connection or on one that has carried a call; its outcome and all that the endpoint and a spare one saw.
    fn cut(reused: bool, request: usize, answer: &[u8]) -> (Outcome, Vec<u8>, Vec<u8>) {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().start_paused(true).build();
        let local = tokio::task::LocalSet::new();
        local.block_on(&runtime.expect("a runtime"), async move {
            let ((here, mut there), (spare, mut beyond)) = (duplex(1), duplex(1));
            let (shared, mut call) = shared(vec![here, spare]);
            let end = Rc::new(Cell::new(Cause::CalledOff));
            let answer = answer.to_vec();
            let endpoint = tokio::task::spawn_local(async move {
                if reused {
                    read_bytes(&mut there, usize::MAX).await;
                    there.write_all(ANSWER).await.expect("taken");
                }
                let seen = read_bytes(&mut there, request).await;
                let _ = there.write_all(&answer).await;
                seen
            });
            let other = tokio::task::spawn_local(async move {
                let seen = read_bytes(&mut beyond, usize::MAX).await;
                let _ = beyond.write_all(ANSWER).await;
                seen
            });
            if reused {
                assert!(matches!(
                    exchange(&shared, &call, &end).await.ends,
                    Ends::All(Outcome::Success, true)
                ));
                // the rest of that answer is read and its connection given back
                tokio::time::sleep(Duration::from_millis(1)).await;
                call.expires += Duration::from_millis(1); // the request says how long is left
            }
            let Ends::All(outcome, _) = exchange(&shared, &call, &end).await.ends else {
                panic!("one message has one end");
            };
            drop(shared);
            let seen = endpoint.await.expect("it ends");
            (outcome, seen, timeout(DRAIN, other).await.map_or(Vec::new(), |seen| seen.expect("it ends")))
        })
    }

    #[test]
    fn a_call_cut_at_any_byte_has_the_tables_outcome_and_goes_over_one_connection() {
        let (_, whole, _) = cut(false, usize::MAX, ANSWER);
        assert!(whole.starts_with(b"POST /inbox HTTP/1.1\r\n") && whole.ends_with(b"body"));
        for reused in [false, true] {
            for length in 1..=whole.len() {
                let (outcome, seen, spare) = cut(reused, length, b"");
                assert_eq!((seen, spare), (whole[..length].to_vec(), vec![]), "reused {reused}, {length}");
                // whoever read less than all can't have run it, and one byte more was on its way at most
                match outcome {
                    Outcome::NoConnection => assert!(length < whole.len(), "reused {reused}, {length}"),
                    Outcome::Reset => assert!(length + 1 >= whole.len(), "reused {reused}, {length}"),
                    other => panic!("reused {reused}, {length}: {other:?}"),
                }
            }
            for length in 0..=ANSWER.len() {
                let (outcome, seen, spare) = cut(reused, usize::MAX, &ANSWER[..length]);
                assert_eq!((seen, spare), (whole.clone(), vec![]), "reused {reused}, answer {length}");
                let told = length > b"HTTP/1.1 200".len();
                let wanted = if told { Outcome::Success } else { Outcome::Reset };
                assert_eq!(outcome, wanted, "reused {reused}, answer {length}");
            }
        }
    }

    #[test]
    fn a_call_without_a_connection_ends_unsent_once_its_destination_tells_to_wait() {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().start_paused(true).build();
        let local = tokio::task::LocalSet::new();
        local.block_on(&runtime.expect("a runtime"), async move {
            let (here, mut there) = duplex(1);
            let (shared, call) = shared(vec![here]);
            let end = Rc::new(Cell::new(Cause::CalledOff));
            let told = async {
                // the call has asked, its dial is under way
                shared.connections.told_wait(call.place, SECOND);
                tokio::time::sleep(Duration::from_millis(10)).await;
            };
            let (answer, ()) = tokio::join!(timeout(DRAIN, exchange(&shared, &call, &end)), told);
            let answer = answer.expect("it has its end at once");
            assert!(matches!(answer.ends, Ends::All(Outcome::Unsent { no_slot: false }, false)));
            // the connection came up and stays idle, with nothing written
            assert!(timeout(DRAIN, there.read_u8()).await.is_err());
        });
    }

    #[test]
    fn a_call_on_a_connection_that_closed_before_its_first_byte_takes_another() {
        // nothing of it was written, so this is no second time; a new one that closes so is none to be had
        let (outcome, seen, spare) = cut(true, 0, b"");
        assert_eq!((outcome, seen.len()), (Outcome::Success, 0));
        assert!(spare.ends_with(b"body"));
        let (outcome, seen, spare) = cut(false, 0, b"");
        assert_eq!((outcome, seen.len(), spare.len()), (Outcome::NoConnection, 0, 0));
    }
}
