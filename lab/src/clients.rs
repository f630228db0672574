//! The clients and the front end that chooses a sender for them: messages are submitted when the schedule says, whether
//! or not others were answered (open loop).

use crate::history::Event;
use crate::locking::lock;
use crate::relay::Net;
use crate::schedule::Party;
use crate::workload::{Arrival, CLASSES, TENANTS, micros};
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{Method, Request, StatusCode};
use hyper_util::rt::TokioIo;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep, sleep_until, timeout};

/// How long a client waits for an answer.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(400);
/// How often a client retries, and its backoff before that where no Retry-After was given.
const RETRIES: u32 = 2;
const RETRY_BACKOFF: Duration = Duration::from_millis(500);
/// How long new connections keep coming to a sender that got SIGTERM.
const CONNECTS_AFTER_TERM: Duration = Duration::from_millis(300);
/// Length of a message, bytes.
const BODY_BYTES: usize = 200;

type Connection = SendRequest<Full<Bytes>>;

/// What the front end knows of a sender.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum SenderState {
    /// It takes no messages.
    Down,
    /// It takes messages.
    InUse,
    /// It got SIGTERM. New connections come until then, and those that stay open are used for as long as they do.
    Draining {
        /// The last moment for new connections.
        connects_until: Instant,
    },
}

impl SenderState {
    /// That of a sender that gets SIGTERM now.
    pub fn draining() -> Self {
        SenderState::Draining {
            connects_until: Instant::now() + CONNECTS_AFTER_TERM,
        }
    }

    fn accepts_connections(self) -> bool {
        match self {
            SenderState::Down => false,
            SenderState::InUse => true,
            SenderState::Draining { connects_until } => Instant::now() < connects_until,
        }
    }
}

/// A sender that a message is submitted to, on a kept connection if there is one.
struct Target {
    sender: usize,
    kept: Option<Connection>,
}

/// What the front end knows of the senders.
#[derive(Debug)]
pub struct Frontend {
    net: Arc<Net>,
    senders: Vec<SocketAddr>,
    states: Mutex<Vec<SenderState>>,
    idle: Vec<Mutex<Vec<Connection>>>,
    /// The last message of each key: the next is submitted once it has its answer.
    keys: Mutex<HashMap<u32, Arc<tokio::sync::Mutex<()>>>>,
}

impl Frontend {
    pub fn new(net: Arc<Net>, senders: Vec<SocketAddr>) -> Arc<Self> {
        let states = Mutex::new(vec![SenderState::Down; senders.len()]);
        let idle = senders.iter().map(|_| Mutex::default()).collect();
        Arc::new(Frontend {
            net,
            senders,
            states,
            idle,
            keys: Mutex::default(),
        })
    }

    /// Notes what a sender can be used for.
    pub fn set_state(&self, sender: usize, state: SenderState) {
        lock(&self.states)[sender] = state;
        if state == SenderState::Down {
            lock(&self.idle[sender]).clear();
        }
    }

    /// Submits all arrivals, each at its time after `begin_us`; ends when the last has its answer.
    pub async fn run(self: Arc<Self>, arrivals: Vec<Arrival>, begin_us: u64) {
        let mut clients = tokio::task::JoinSet::new();
        for arrival in arrivals {
            sleep_until(self.net.history.instant(begin_us + arrival.at_us)).await;
            while clients.try_join_next().is_some() {}
            clients.spawn(self.clone().client(arrival));
        }
        while clients.join_next().await.is_some() {}
    }

    async fn client(self: Arc<Self>, arrival: Arrival) {
        let turn = arrival
            .key
            .map(|key| lock(&self.keys).entry(key).or_default().clone());
        let _turn = match &turn {
            Some(turn) => Some(turn.lock().await),
            None => None,
        };
        let class = &CLASSES[arrival.class];
        let deadline_us = self.net.history.now_us() + micros(class.deadline_s);
        for retry in 0..=RETRIES {
            let left_us = deadline_us.saturating_sub(self.net.history.now_us());
            let target = self.choose(&arrival, retry).await;
            let Some(Target { sender, kept }) = target.filter(|_| left_us > 0) else {
                return;
            };
            let id = format!("{:012x}{retry:04x}", arrival.number);
            self.net.history.record(Event::Submitted {
                id: id.clone(),
                arrival: arrival.number,
                sender,
                class: arrival.class,
                key: arrival.key,
                destination: arrival.destination,
                deadline_us,
            });
            let answer = timeout(
                ANSWER_TIMEOUT,
                self.submit(&arrival, &id, Target { sender, kept }, left_us, retry),
            )
            .await;
            let (status, wait) = answer.ok().flatten().unwrap_or((0, None));
            self.net
                .history
                .record(Event::SubmissionAnswered { id, status });
            match status {
                0 | 429 | 503 => sleep(wait.unwrap_or(RETRY_BACKOFF)).await,
                _ => return,
            }
        }
    }

    /// Messages of one key go to one sender while it can be used.
    async fn choose(&self, arrival: &Arrival, retry: u32) -> Option<Target> {
        let draw = match arrival.key {
            Some(key) => u64::from(key).wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 32,
            None => arrival.sender_choice.rotate_left(retry),
        };
        loop {
            let usable = self.usable_senders();
            let index = draw.checked_rem(usable.len() as u64)? as usize;
            let sender = *usable.get(index)?;
            let kept = self.take_kept(sender).await;
            if kept.is_some() || lock(&self.states)[sender].accepts_connections() {
                return Some(Target { sender, kept });
            }
            // its last connection was closed meanwhile: another sender
        }
    }

    fn usable_senders(&self) -> Vec<usize> {
        let states = lock(&self.states).clone();
        let is_usable = |sender: &usize| match states[*sender] {
            SenderState::Down => false,
            state => state.accepts_connections() || !lock(&self.idle[*sender]).is_empty(),
        };
        (0..states.len()).filter(is_usable).collect()
    }

    /// An idle connection that the sender has not closed.
    async fn take_kept(&self, sender: usize) -> Option<Connection> {
        loop {
            let mut link = lock(&self.idle[sender]).pop()?;
            if link.ready().await.is_ok() {
                return Some(link);
            }
        }
    }

    /// The status and the Retry-After; none if no answer came.
    async fn submit(
        &self,
        arrival: &Arrival,
        id: &str,
        target: Target,
        left_us: u64,
        retry: u32,
    ) -> Option<(u16, Option<Duration>)> {
        let class = CLASSES[arrival.class].name;
        let query = arrival
            .key
            .map(|key| format!("?subject=reader-{key}"))
            .unwrap_or_default();
        let request = || {
            let builder = Request::post(format!("/{class}{query}"))
                .header("host", "app.svc")
                .header("x-request-id", id)
                .header("x-priority-class", class)
                .header("x-tenant-id", TENANTS[arrival.tenant].name)
                .header("x-timeout", format!("{left_us}u"))
                .header("idempotency-key", format!("key-{:016x}", arrival.number))
                .header("envelope", format!("dest={}", arrival.destination));
            let builder = if retry > 0 {
                builder.header("x-retried", "1")
            } else {
                builder
            };
            builder.body(Full::from(vec![b'x'; BODY_BYTES])).ok()
        };
        let Target { sender, kept } = target;
        // a connection that was closed meanwhile is no rejection: once more on a new one
        if let Some(mut link) = kept
            && let Ok(response) = link.send_request(request()?).await
        {
            return self.answered(response, link, sender).await;
        }
        let mut link = self.dial(sender).await?;
        let response = link.send_request(request()?).await.ok()?;
        self.answered(response, link, sender).await
    }

    async fn answered(
        &self,
        response: hyper::Response<hyper::body::Incoming>,
        link: Connection,
        sender: usize,
    ) -> Option<(u16, Option<Duration>)> {
        let status = response.status();
        let wait = response
            .headers()
            .get("retry-after")
            .and_then(|wait| wait.to_str().ok()?.parse().ok());
        response.into_body().collect().await.ok()?;
        lock(&self.idle[sender]).push(link);
        Some((
            status.as_u16(),
            wait.map(|wait: f64| Duration::from_secs_f64(wait.clamp(0.0, 10.0))),
        ))
    }

    async fn dial(&self, sender: usize) -> Option<Connection> {
        let stream = TcpStream::connect(self.senders[sender]).await.ok()?;
        let io = self
            .net
            .connect(stream, Party::Sender(sender), Party::Clients);
        let (link, connection) = http1::handshake(TokioIo::new(io)).await.ok()?;
        tokio::spawn(connection);
        Some(link)
    }
}

/// One GET on a connection of its own; the status and body.
pub async fn get(
    address: SocketAddr,
    path: &str,
    answer_timeout: Duration,
) -> Option<(StatusCode, Bytes)> {
    request(
        address,
        Method::GET,
        path,
        None,
        String::new(),
        answer_timeout,
    )
    .await
}

/// A connection of its own, past the links.
pub async fn connect(address: SocketAddr) -> Option<Connection> {
    let stream = TcpStream::connect(address).await.ok()?;
    let (link, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
    tokio::spawn(connection);
    Some(link)
}

/// One request on a connection of its own, on a version if one is named; the status and body.
pub async fn request(
    address: SocketAddr,
    method: Method,
    path: &str,
    version: Option<u64>,
    body: String,
    answer_timeout: Duration,
) -> Option<(StatusCode, Bytes)> {
    let round_trip = async {
        let mut link = connect(address).await?;
        let mut request = Request::builder()
            .method(method)
            .uri(path)
            .header("host", "lab");
        if let Some(version) = version {
            request = request.header("if-match", version);
        }
        let response = link
            .send_request(request.body(Full::from(body)).ok()?)
            .await
            .ok()?;
        let status = response.status();
        Some((
            status,
            response.into_body().collect().await.ok()?.to_bytes(),
        ))
    };
    timeout(answer_timeout, round_trip).await.ok().flatten()
}

/// Until the sender says that it is ready; false if it does not in time or ends.
pub async fn ready(address: SocketAddr, within: Duration, ended: &AtomicBool) -> bool {
    let until = Instant::now() + within;
    while Instant::now() < until && !ended.load(Ordering::SeqCst) {
        let answer = get(address, "/ready", Duration::from_millis(500)).await;
        if answer.is_some_and(|(status, _)| status == StatusCode::OK) {
            return true;
        }
        sleep(Duration::from_millis(20)).await;
    }
    false
}
