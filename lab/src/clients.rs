//! The front and the clients: messages are handed in when the plan says, whether or not others were answered.

use crate::history::Event;
use crate::plan::{Arrival, CLASSES, Party, SHOPS, micros};
use crate::relay::{Net, lock};
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

/// What a client waits for an answer.
const PATIENCE: Duration = Duration::from_millis(400);
/// How often a client comes again, and its rest before that where none is told.
const AGAIN: u32 = 2;
const REST: Duration = Duration::from_millis(500);
/// Length of a message.
const BODY: usize = 200;

type Link = SendRequest<Full<Bytes>>;

/// What the front knows of the senders.
#[derive(Debug)]
pub struct Front {
    net: Arc<Net>,
    senders: Vec<SocketAddr>,
    /// Those that take messages, as far as the front knows.
    used: Mutex<Vec<bool>>,
    idle: Vec<Mutex<Vec<Link>>>,
    /// The last message of each key: the next is handed in once it has its answer.
    keys: Mutex<HashMap<u32, Arc<tokio::sync::Mutex<()>>>>,
}

impl Front {
    pub fn new(net: Arc<Net>, senders: Vec<SocketAddr>) -> Arc<Self> {
        let used = Mutex::new(vec![false; senders.len()]);
        let idle = senders.iter().map(|_| Mutex::default()).collect();
        Arc::new(Front {
            net,
            senders,
            used,
            idle,
            keys: Mutex::default(),
        })
    }

    /// Tells the front that a sender can be used, or no more.
    pub fn set_used(&self, sender: usize, used: bool) {
        lock(&self.used)[sender] = used;
        if !used {
            lock(&self.idle[sender]).clear();
        }
    }

    /// Hands in all arrivals, each at its time after `begin_us`; ends when the last has its answer.
    pub async fn play(self: Arc<Self>, arrivals: Vec<Arrival>, begin_us: u64) {
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
        for again in 0..=AGAIN {
            let left_us = deadline_us.saturating_sub(self.net.history.now_us());
            let Some(sender) = self.choose(&arrival, again).filter(|_| left_us > 0) else {
                return;
            };
            let id = format!("{:012x}{again:04x}", arrival.number);
            self.net.history.tell(Event::Handed {
                id: id.clone(),
                arrival: arrival.number,
                sender,
                class: arrival.class,
                key: arrival.key,
                dest: arrival.destination,
                deadline_us,
            });
            let answer = timeout(
                PATIENCE,
                self.hand_in(&arrival, &id, sender, left_us, again),
            )
            .await;
            let (status, wait) = answer.ok().flatten().unwrap_or((0, None));
            self.net.history.tell(Event::Answered { id, status });
            match status {
                0 | 429 | 503 => sleep(wait.unwrap_or(REST)).await,
                _ => return,
            }
        }
    }

    /// Messages of one key go to one sender while it runs.
    fn choose(&self, arrival: &Arrival, again: u32) -> Option<usize> {
        let used = lock(&self.used);
        let used: Vec<usize> = (0..used.len()).filter(|&sender| used[sender]).collect();
        let draw = match arrival.key {
            Some(key) => u64::from(key).wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 32,
            None => arrival.draw.rotate_left(again),
        };
        used.get((draw % used.len().max(1) as u64) as usize)
            .copied()
    }

    /// The status and the wait that is told; none if no answer came.
    async fn hand_in(
        &self,
        arrival: &Arrival,
        id: &str,
        sender: usize,
        left_us: u64,
        again: u32,
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
                .header("x-tenant-id", SHOPS[arrival.shop].0)
                .header("x-timeout", format!("{left_us}u"))
                .header("idempotency-key", format!("key-{:016x}", arrival.number))
                .header("envelope", format!("dest={}", arrival.destination));
            let builder = if again > 0 {
                builder.header("x-retried", "1")
            } else {
                builder
            };
            builder.body(Full::from(vec![b'x'; BODY])).ok()
        };
        // an idle connection that was closed meanwhile is no refusal: once more on a new one
        let idle = lock(&self.idle[sender]).pop();
        if let Some(mut link) = idle
            && link.ready().await.is_ok()
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
        link: Link,
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

    async fn dial(&self, sender: usize) -> Option<Link> {
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
    patience: Duration,
) -> Option<(StatusCode, Bytes)> {
    ask(address, Method::GET, path, None, String::new(), patience).await
}

/// A connection of its own, past the links.
pub async fn link(address: SocketAddr) -> Option<Link> {
    let stream = TcpStream::connect(address).await.ok()?;
    let (link, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
    tokio::spawn(connection);
    Some(link)
}

/// One request on a connection of its own, on a version if one is named; the status and body.
pub async fn ask(
    address: SocketAddr,
    method: Method,
    path: &str,
    version: Option<u64>,
    body: String,
    patience: Duration,
) -> Option<(StatusCode, Bytes)> {
    let ask = async {
        let mut link = link(address).await?;
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
    timeout(patience, ask).await.ok().flatten()
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
