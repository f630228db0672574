//! The clients' side: reads messages that are handed in, and answers as the driver decides.

use super::RateLimitedLog;
use super::connection::{self, Slot};
use super::events::{DriverInput, MAX_BODY_BYTES, Submission, SubmissionResult};
use super::local_errors::{RETRY_INTERVAL, concerns_one_connection};
use bytes::Bytes;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::{Body, Incoming};
use hyper::header::{ALLOW, CONNECTION, HeaderMap, HeaderValue, RETRY_AFTER, TRANSFER_ENCODING};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use message_sender::{MILLISECOND, Micros};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::convert::Infallible;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, mpsc, oneshot, watch};
use tokio::time::{Instant, sleep, timeout};

/// Longest time without a request: such a connection may be closed after 2 s. A head that has begun by then gets
/// [`connection::SPARE`] more, and with what a body may take after it, a peer that sends no proper request must have
/// its end within 3 s.
const IDLE_TIME: Duration = Duration::from_millis(2100);
/// Longest time for a body: clients wait 400 ms for their answer.
const BODY_TIME: Duration = Duration::from_millis(600);
/// Until the next connection is accepted where only one of them failed.
const ACCEPT_AGAIN: Duration = Duration::from_millis(1);
/// How often room is looked for while a client waits for a place.
const LOOK: Duration = Duration::from_millis(25);
/// Longest id or key.
const WORD_MOST: usize = 256;
/// A longer time to deliver is cut to this.
const TIME_MOST: u64 = 7 * 86_400_000_000;

/// A class that messages may name.
#[derive(Debug, Clone)]
pub struct Named {
    pub name: String,
    /// Its position in the module's settings.
    pub index: usize,
    /// Its messages carry a key of their own.
    pub keyed: bool,
}

/// The classes of now, which change with the settings.
pub type Classes = Rc<RefCell<Vec<Named>>>;

/// What the connections share.
pub struct Server {
    /// The classes that messages may name now.
    pub classes: Classes,
    pub inputs: mpsc::UnboundedSender<DriverInput>,
    pub ready: watch::Receiver<bool>,
    /// Set once the process is to end: each answer then closes its connection.
    pub draining: Rc<Cell<bool>>,
    /// Connections that may be open at once.
    pub places: Arc<Semaphore>,
    /// Turns true when another process has taken over: none is accepted here any more.
    pub handed: watch::Receiver<bool>,
    /// Turns true when idle connections are to be closed too.
    pub closing: watch::Receiver<bool>,
}

/// Why a request is not taken on, as HTTP tells it.
type Refusal = (StatusCode, &'static str);

const fn bad(what: &'static str) -> Refusal {
    (StatusCode::BAD_REQUEST, what)
}

/// Accepts clients for ever.
pub async fn serve(listener: TcpListener, server: Rc<Server>) {
    let (places, handed) = (server.places.clone(), server.handed.clone());
    accept("clients", listener, places, handed, move |stream, slot| {
        let server = server.clone();
        async move { serve_one(stream, server, &slot).await }
    })
    .await;
}

/// Accepts connections until told to end, as many at once as there are places, and has each handled.
pub async fn accept<F>(
    who: &'static str,
    listener: TcpListener,
    places: Arc<Semaphore>,
    mut end: watch::Receiver<bool>,
    handle: impl Fn(TcpStream, Rc<Slot>) -> F,
) where
    F: Future<Output = ()> + 'static,
{
    let faults = RateLimitedLog::default();
    let slots = Rc::new(Slots::default());
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            Ok(_) = end.wait_for(|end| *end) => return,
        };
        match accepted {
            Ok((stream, _)) => {
                // one beyond the limit waits here and more in the kernel's queue, so that calls never lack
                // descriptors; peers that ask for nothing must not keep it waiting
                let place = loop {
                    if let Ok(place) = places.clone().try_acquire_owned() {
                        break place;
                    }
                    if let Some(slot) = slots.longest_idle(Instant::now()) {
                        faults.log(format_args!("{who}: all places taken, idle ones leave"));
                        slot.leave();
                    }
                    let Ok(place) = timeout(LOOK, places.clone().acquire_owned()).await else {
                        continue;
                    };
                    let Ok(place) = place else { return };
                    break place;
                };
                let slots = slots.clone();
                let (number, slot) = slots.take(Instant::now());
                let handled = handle(stream, slot.clone());
                tokio::task::spawn_local(async move {
                    handled.await;
                    slots.give_back(number);
                    drop(place);
                });
            }
            Err(error) => {
                faults.log(format_args!("{who}: no connection accepted: {error}"));
                let one = concerns_one_connection(&error);
                sleep(if one { ACCEPT_AGAIN } else { RETRY_INTERVAL }).await;
            }
        }
    }
}

/// The connections that are open, in the order in which they came.
#[derive(Default)]
struct Slots {
    taken: RefCell<BTreeMap<u64, Rc<Slot>>>,
    next: Cell<u64>,
}

impl Slots {
    fn take(&self, now: Instant) -> (u64, Rc<Slot>) {
        let number = self.next.get();
        self.next.set(number + 1);
        let slot = Rc::new(Slot::new(now));
        self.taken.borrow_mut().insert(number, slot.clone());
        (number, slot)
    }

    fn give_back(&self, number: u64) {
        self.taken.borrow_mut().remove(&number);
    }

    /// The connection that may be closed soonest: one that ends already, or has been without a request the longest.
    fn longest_idle(&self, now: Instant) -> Option<Rc<Slot>> {
        let taken = self.taken.borrow();
        let spare = taken
            .values()
            .filter_map(|slot| Some((slot.spare(now)?, slot)));
        let (_, slot) = spare.min_by_key(|(spare, _)| *spare)?;
        Some(slot.clone())
    }
}

async fn serve_one(stream: TcpStream, server: Rc<Server>, slot: &Rc<Slot>) {
    let mut closing = server.closing.clone();
    let service = service_fn(move |request| {
        let server = server.clone();
        // at once: no end may come between a head and its handling
        slot.set_idle(false);
        async move {
            let answer = answer(request, server).await;
            slot.set_idle(true);
            answer
        }
    });
    let mut http = http1::Builder::new();
    http.max_buf_size(32 * 1024);
    connection::serve(
        stream,
        slot,
        http,
        IDLE_TIME,
        service,
        closing.wait_for(|closing| *closing),
    )
    .await;
}

async fn answer(
    request: Request<Incoming>,
    server: Rc<Server>,
) -> Result<Response<Full<Bytes>>, Infallible> {
    let close = server.draining.clone();
    let mut response = match handle(request, &server).await {
        Ok(response) => response,
        Err((status, what)) => {
            let mut response = Response::new(Full::from(format!("{what}\n")));
            *response.status_mut() = status;
            if status == StatusCode::METHOD_NOT_ALLOWED {
                let allowed = if what == ONLY_GET { "GET" } else { "POST" };
                response
                    .headers_mut()
                    .insert(ALLOW, HeaderValue::from_static(allowed));
            }
            if status == StatusCode::PAYLOAD_TOO_LARGE || status == StatusCode::REQUEST_TIMEOUT {
                // the rest of the body is not read
                response
                    .headers_mut()
                    .insert(CONNECTION, HeaderValue::from_static("close"));
            }
            response
        }
    };
    if close.get() {
        response
            .headers_mut()
            .insert(CONNECTION, HeaderValue::from_static("close"));
    }
    Ok(response)
}

const ONLY_GET: &str = "only GET";

async fn handle(
    request: Request<Incoming>,
    server: &Server,
) -> Result<Response<Full<Bytes>>, Refusal> {
    let began = Instant::now();
    let path = request.uri().path();
    if path == "/ready" {
        if request.method() != Method::GET {
            return Err((StatusCode::METHOD_NOT_ALLOWED, ONLY_GET));
        }
        let ready = *server.ready.borrow() && !server.draining.get();
        return if ready {
            Ok(Response::default())
        } else {
            Err((StatusCode::SERVICE_UNAVAILABLE, "not ready"))
        };
    }
    let first = path.trim_start_matches('/').split('/').next().unwrap_or("");
    let headers = request.headers();
    let named = single(headers, "x-priority-class", "X-Priority-Class")?;
    let class = server
        .classes
        .borrow()
        .iter()
        .find(|class| class.name == first)
        .cloned();
    let Some(Named {
        index: class,
        keyed,
        ..
    }) = class
    else {
        // a class that nobody knows, or a path that is none
        return Err(if named.is_some_and(|name| name == first) {
            bad("unknown class")
        } else {
            (StatusCode::NOT_FOUND, "no such path")
        });
    };
    if request.method() != Method::POST {
        return Err((StatusCode::METHOD_NOT_ALLOWED, "only POST"));
    }
    if named.is_none_or(|name| name != first) {
        return Err(bad("X-Priority-Class is missing or not the path's"));
    }
    let id = word(single(headers, "x-request-id", "X-Request-ID")?)?
        .ok_or(bad("X-Request-ID is missing"))?;
    let key = word(single(headers, "idempotency-key", "Idempotency-Key")?)?;
    if key.is_none() && keyed {
        return Err(bad("Idempotency-Key is missing"));
    }
    let time = single(headers, "x-timeout", "X-Timeout")?.ok_or(bad("X-Timeout is missing"))?;
    let time = time
        .to_str()
        .ok()
        .and_then(read_time)
        .ok_or(bad("X-Timeout can't be read"))?;
    let envelope = single(headers, "envelope", "Envelope")?.ok_or(bad("Envelope is missing"))?;
    let destination = envelope
        .to_str()
        .ok()
        .and_then(read_destination)
        .ok_or(bad("dest can't be read"))?;
    let subject = read_subject(request.uri().query())?.map(str::to_string);
    let tenant = single(headers, "x-tenant-id", "X-Tenant-Id")?;
    let tenant = tenant
        .and_then(|value| value.to_str().ok())
        .filter(|name| name.len() <= WORD_MOST);
    let tenant = tenant.map(str::to_string);
    let retried = single(headers, "x-retried", "X-Retried")?;
    let (again, orphan) = (
        retried.is_some(),
        retried.is_some_and(|value| value == "again"),
    );
    let (id, key) = (detached(id), key.map(detached));
    // hyper drops the length beside a Transfer-Encoding, so two ends of the body can't be told from one
    let no_length = headers.contains_key(TRANSFER_ENCODING);
    if request.body().size_hint().lower() > MAX_BODY_BYTES as u64 {
        return Err((StatusCode::PAYLOAD_TOO_LARGE, "the body is over 64 KiB"));
    }
    let body = match timeout(
        BODY_TIME,
        Limited::new(request.into_body(), MAX_BODY_BYTES).collect(),
    )
    .await
    {
        Err(_) => return Err((StatusCode::REQUEST_TIMEOUT, "the body did not come in time")),
        Ok(Err(error)) if error.is::<LengthLimitError>() => {
            return Err((StatusCode::PAYLOAD_TOO_LARGE, "the body is over 64 KiB"));
        }
        Ok(Err(_)) => return Err(bad("the body is malformed")),
        Ok(Ok(body)) => Bytes::copy_from_slice(&body.to_bytes()),
    };
    if no_length {
        return Err((
            StatusCode::LENGTH_REQUIRED,
            "Content-Length is missing or not the body's",
        ));
    }
    if !*server.ready.borrow() {
        return Err((StatusCode::SERVICE_UNAVAILABLE, "not ready"));
    }
    let (reply, answer) = oneshot::channel();
    let mut guard = Guard {
        left: Some(id.clone()),
        inputs: &server.inputs,
    };
    let submission = Submission {
        id,
        key,
        subject,
        tenant,
        class,
        destination,
        time_limit: time,
        received_at: began,
        again,
        orphan,
        body,
        reply,
    };
    if server
        .inputs
        .send(DriverInput::Submitted(submission))
        .is_err()
    {
        return Err((StatusCode::SERVICE_UNAVAILABLE, "ending"));
    }
    let answer = answer.await;
    guard.left = None;
    let mut response = Response::default();
    match answer {
        Ok(SubmissionResult::Accepted) => *response.status_mut() = StatusCode::ACCEPTED,
        Ok(SubmissionResult::AlreadyDelivered) => {}
        Ok(SubmissionResult::Rejected { retry_after }) => {
            *response.status_mut() = StatusCode::TOO_MANY_REQUESTS;
            if let Some(wait) = retry_after {
                let text = format!("{:.3}", wait as f64 / 1e6);
                if let Ok(value) = HeaderValue::from_str(&text) {
                    response.headers_mut().insert(RETRY_AFTER, value);
                }
            }
        }
        Ok(SubmissionResult::NotStored) | Err(_) => {
            *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE
        }
        Ok(SubmissionResult::Failed) => *response.status_mut() = StatusCode::INTERNAL_SERVER_ERROR,
    }
    Ok(response)
}

/// A client that goes before its answer hands its message in anew elsewhere: hyper drops the request then.
struct Guard<'a> {
    left: Option<HeaderValue>,
    inputs: &'a mpsc::UnboundedSender<DriverInput>,
}

impl Drop for Guard<'_> {
    fn drop(&mut self) {
        if let Some(id) = self.left.take() {
            // nobody listens any more only when the process ends
            let _ = self.inputs.send(DriverInput::ClientDisconnected(id));
        }
    }
}

/// The header's only value; a doubled one is refused, since nobody can tell which was meant.
fn single<'a>(
    headers: &'a HeaderMap,
    name: &str,
    shown: &'static str,
) -> Result<Option<&'a HeaderValue>, Refusal> {
    let mut values = headers.get_all(name).iter();
    let value = values.next();
    if values.next().is_some() {
        Err(bad(shown))
    } else {
        Ok(value)
    }
}

/// An id or key goes into the lines of bulk calls, so it is visible text without spaces.
fn word(value: Option<&HeaderValue>) -> Result<Option<&HeaderValue>, Refusal> {
    let Some(value) = value else { return Ok(None) };
    let visible = value.as_bytes().iter().all(u8::is_ascii_graphic);
    if visible && (1..=WORD_MOST).contains(&value.len()) {
        Ok(Some(value))
    } else {
        Err(bad("an id or key can't be read"))
    }
}

/// A copy of its own: what came is a part of the connection's read buffer and would keep all of it in memory
/// for as long as the message is held, and its id for long after.
fn detached(value: &HeaderValue) -> HeaderValue {
    HeaderValue::from_bytes(value.as_bytes()).unwrap_or_else(|_| value.clone())
}

/// A number and a unit: `m` milliseconds or `u` microseconds.
fn read_time(text: &str) -> Option<Micros> {
    let (digits, unit) = text.split_at_checked(text.len().checked_sub(1)?)?;
    let unit = match unit {
        "m" => MILLISECOND as u64,
        "u" => 1,
        _ => return None,
    };
    if digits.is_empty() || !digits.bytes().all(|byte| byte.is_ascii_digit()) {
        return None;
    }
    let value: u64 = digits.parse().ok()?;
    Micros::try_from(value.saturating_mul(unit).min(TIME_MOST)).ok()
}

/// The query's `subject`, by which classes that keep order tell whose turn it is; an empty one is none.
fn read_subject(query: Option<&str>) -> Result<Option<&str>, Refusal> {
    let mut values = query
        .unwrap_or("")
        .split('&')
        .filter_map(|pair| pair.strip_prefix("subject="));
    let value = values.next().filter(|value| !value.is_empty());
    if values.next().is_some() || value.is_some_and(|value| value.len() > WORD_MOST) {
        return Err(bad("subject can't be read"));
    }
    Ok(value)
}

/// Destinations have small numbers: one beyond 16 bits is none that a list will ever name.
fn read_destination(text: &str) -> Option<u64> {
    let mut values = text
        .split([';', ','])
        .filter_map(|part| part.trim().strip_prefix("dest="));
    let value = values.next()?;
    if values.next().is_some() || !value.bytes().all(|byte| byte.is_ascii_digit()) {
        return None;
    }
    value.parse::<u16>().ok().map(u64::from)
}

#[cfg(test)]
mod compatibility;
#[cfg(test)]
mod tests;
