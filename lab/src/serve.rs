//! Endpoints and discovery as the senders meet them: HTTP over connections that pass the links.

use crate::answers::{AnswerFaults, AnswerTrack, OpenCall};
use crate::bulk::{bulk_answer, message_ids};
use crate::destination::{CallOutcome, Destination};
use crate::history::Event;
use crate::listing::Listing;
use crate::locking::lock;
use crate::relay::Net;
use crate::scenario::Scenario;
use crate::schedule::{Party, SpoiledAnswers};
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited, combinators::UnsyncBoxBody};
use hyper::body::{Frame, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use std::convert::Infallible;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::time::{Interval, interval, sleep};

/// Longest body of a message, of a batch of notices.
const MAX_BODY_BYTES: usize = 64 * 1024;
const MAX_NOTIFICATIONS_BYTES: usize = 1 << 20;
/// While discovery is down, how often a connection is looked at that may come to watch it.
const WATCH_LOOK: Duration = Duration::from_millis(10);
/// How often a watch is told that nothing changes.
const EMPTY_LINE: Duration = Duration::from_secs(2);

/// Keeps the draws of answers apart from other draws of a seed.
const ANSWER_STREAM: u64 = 0xa25e << 32;

fn answer_faults(seed: u64, stream: u64) -> Mutex<AnswerFaults> {
    Mutex::new(AnswerFaults::new(seed ^ ANSWER_STREAM ^ stream))
}

type Body = UnsyncBoxBody<Bytes, Infallible>;

/// The endpoints and discovery of a run.
#[derive(Debug)]
pub struct Simulation {
    net: Arc<Net>,
    destinations: Vec<Mutex<Destination>>,
    /// Endpoints of each destination.
    endpoints_of_each: usize,
    zones: Vec<String>,
    capacity: f64,
    /// What goes wrong with the answers of each endpoint.
    endpoint_answers: Vec<Mutex<AnswerFaults>>,
    /// What goes wrong with the platform's answers to notifications.
    notification_answers: Mutex<AnswerFaults>,
    discovery_up: watch::Sender<bool>,
    /// Replicas of the registry that lists come from; none: the lab's own list.
    replicas: Vec<SocketAddr>,
}

impl Simulation {
    pub fn new(
        scenario: &Scenario,
        seed: u64,
        net: Arc<Net>,
        replicas: Vec<SocketAddr>,
    ) -> Arc<Self> {
        let each = scenario.destinations.endpoints;
        let destination = |index: usize| {
            let sizes = &scenario.destinations;
            let seed = seed ^ (0xde57 << 16 | index as u64);
            Mutex::new(Destination::new(
                sizes.capacity,
                sizes.latency_ms,
                each,
                seed,
            ))
        };
        Arc::new(Simulation {
            net,
            destinations: (0..scenario.destinations.count).map(destination).collect(),
            endpoints_of_each: each,
            zones: scenario.zones.clone(),
            capacity: scenario.destinations.capacity,
            endpoint_answers: (0..scenario.endpoints())
                .map(|endpoint| answer_faults(seed, endpoint as u64 + 1))
                .collect(),
            notification_answers: answer_faults(seed, 0),
            discovery_up: watch::channel(true).0,
            replicas,
        })
    }

    /// Shuts an endpoint or opens it.
    pub fn shut(&self, endpoint: usize, shut: bool) {
        if let Some(destination) = self.destinations.get(endpoint / self.endpoints_of_each) {
            lock(destination).shut(endpoint % self.endpoints_of_each, shut);
        }
    }

    /// Has answers of an endpoint or of the platform to notifications go wrong, or, without a fault, no more.
    pub fn spoil_answers(&self, party: Party, spoiled: Option<SpoiledAnswers>) {
        let faults = match party {
            Party::Endpoint(endpoint) => self.endpoint_answers.get(endpoint),
            Party::Discovery => Some(&self.notification_answers),
            _ => None,
        };
        let Some(faults) = faults else { return };
        match spoiled {
            Some(SpoiledAnswers { kind, share }) => lock(faults).begin(kind, share),
            None => lock(faults).end(),
        }
    }

    pub fn set_discovery(&self, up: bool) {
        self.discovery_up.send_replace(up);
    }

    /// Listens for one sender at addresses of its own; where it finds discovery, which tells it the rest.
    ///
    /// # Errors
    /// An address could not be had.
    pub async fn listen_for(self: &Arc<Self>, sender: usize, ip: IpAddr) -> io::Result<SocketAddr> {
        let mut endpoints = Vec::new();
        for endpoint in 0..self.destinations.len() * self.endpoints_of_each {
            let listener = TcpListener::bind((ip, 0)).await?;
            endpoints.push(listener.local_addr()?);
            let source = Source::Lab(String::new());
            tokio::spawn(
                self.clone()
                    .accept(listener, sender, Party::Endpoint(endpoint), source),
            );
        }
        let listener = TcpListener::bind((ip, 0)).await?;
        let discovery = listener.local_addr()?;
        let (party, source) = match self.replicas.len() {
            0 => (Party::Discovery, Source::Lab(self.list(&endpoints))),
            count => {
                let replica = sender % count;
                let address = self.replicas[replica];
                let listing = Listing {
                    sender,
                    replica,
                    address,
                    endpoints,
                };
                (
                    Party::Registry(replica),
                    Source::Registry(Arc::new(listing)),
                )
            }
        };
        tokio::spawn(self.clone().accept(listener, sender, party, source));
        Ok(discovery)
    }

    /// All endpoints as the registry is to list them; where they are is told to each sender apart.
    pub fn list_changes(&self) -> String {
        let endpoints = vec![
            SocketAddr::from(([127, 0, 0, 1], 1));
            self.destinations.len() * self.endpoints_of_each
        ];
        let entry = |(number, address)| {
            let mut target = self.entry(number, address);
            let uid = target
                .as_object_mut()
                .and_then(|target| target.remove("uid"));
            serde_json::json!({ "put": { "uid": uid, "target": target } })
        };
        let changes: Vec<_> = endpoints.iter().enumerate().map(entry).collect();
        serde_json::json!({ "changes": changes }).to_string()
    }

    /// An endpoint as it is listed after another start of its, later than any before.
    pub fn listed_endpoint(&self, number: usize) -> String {
        let mut target = self.entry(number, &SocketAddr::from(([127, 0, 0, 1], 1)));
        target["boot_ms"] = (1 + self.net.history.now_us() / 1000).into();
        target.as_object_mut().map(|target| target.remove("uid"));
        target.to_string()
    }

    fn entry(&self, number: usize, address: &SocketAddr) -> serde_json::Value {
        serde_json::json!({
            "uid": format!("e{number}"), "endpoint": address, "az": self.zones[number % self.zones.len()],
            "model": "school-library", "pod_group": number / self.endpoints_of_each, "state": "up",
            "capacity_hint": self.capacity, "boot_ms": 0
        })
    }

    /// The whole list, with the addresses at which one sender finds the endpoints.
    fn list(&self, endpoints: &[SocketAddr]) -> String {
        let entry = |(number, address)| self.entry(number, address);
        let targets: Vec<_> = endpoints.iter().enumerate().map(entry).collect();
        serde_json::json!({ "rev": 1, "all": true, "targets": targets }).to_string()
    }

    async fn accept(
        self: Arc<Self>,
        listener: TcpListener,
        sender: usize,
        party: Party,
        source: Source,
    ) {
        let list = Arc::new(source);
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                sleep(Duration::from_millis(10)).await; // no descriptor is free just now
                continue;
            };
            let (simulation, list) = (self.clone(), list.clone());
            let answers = Arc::new(AnswerTrack::default());
            let io =
                self.net
                    .connect_tracked(stream, Party::Sender(sender), party, answers.clone());
            tokio::spawn(async move {
                let watches = AtomicBool::new(false);
                let service = service_fn(|request: Request<Incoming>| {
                    let (simulation, list) = (simulation.clone(), list.clone());
                    let answers = answers.clone();
                    // notices are answered even while discovery is down
                    let watch = party == Party::Discovery && request.method() == Method::GET;
                    watches.fetch_or(watch, Ordering::Relaxed);
                    async move {
                        match party {
                            Party::Endpoint(endpoint) => {
                                let link = EndpointLink { endpoint, sender };
                                simulation.call(request, link, &answers).await
                            }
                            _ => simulation.discover(request, &list, &answers).await,
                        }
                    }
                });
                let connection = http1::Builder::new().serve_connection(TokioIo::new(io), service);
                tokio::select! {
                    // how a connection ends is the faults' affair
                    _ = connection => {}
                    () = simulation.ends_watch(&watches) => {}
                }
            });
        }
    }

    /// Until discovery is down and the connection watches it.
    async fn ends_watch(&self, watches: &AtomicBool) {
        let mut up = self.discovery_up.subscribe();
        while up.wait_for(|up| !up).await.is_ok() {
            if watches.load(Ordering::Relaxed) {
                return;
            }
            sleep(WATCH_LOOK).await;
        }
    }

    /// An endpoint's answer to a call, which passes on `answers`.
    async fn call(
        &self,
        request: Request<Incoming>,
        link: EndpointLink,
        answers: &AnswerTrack,
    ) -> Result<Response<Body>, io::Error> {
        let EndpointLink { endpoint, sender } = link;
        let (head, body) = request.into_parts();
        let body = Limited::new(body, MAX_BODY_BYTES).collect().await;
        let body = body
            .map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?
            .to_bytes();
        let ids = message_ids(&head, &body);
        let history = &self.net.history;
        let outcome = match self
            .destinations
            .get(endpoint / self.endpoints_of_each)
            .filter(|_| !ids.is_empty())
        {
            Some(destination) => {
                lock(destination).call(history.now_us(), endpoint % self.endpoints_of_each)
            }
            None => CallOutcome::Rejected,
        };
        let executed = outcome != CallOutcome::Rejected;
        for id in ids.iter().cloned() {
            history.record(Event::CallReceived {
                id,
                endpoint,
                sender,
                executed,
            });
        }
        let call = OpenCall::new(history.clone(), ids.clone(), endpoint, sender);
        let response = match outcome {
            CallOutcome::Accepted { after_us } => {
                sleep(Duration::from_micros(after_us)).await;
                plain(StatusCode::OK, &bulk_answer(&ids))
            }
            CallOutcome::Rejected => plain(StatusCode::SERVICE_UNAVAILABLE, ""),
        };
        let fault = lock(&self.endpoint_answers[endpoint]).draw();
        answers.expect(Some(call), fault);
        Ok(response)
    }

    async fn discover(
        &self,
        request: Request<Incoming>,
        source: &Source,
        answers: &AnswerTrack,
    ) -> Result<Response<Body>, io::Error> {
        let query = request.uri().query().unwrap_or_default().to_string();
        match (request.method(), request.uri().path()) {
            // notices are answered even while discovery is down
            (&Method::POST, "/v1/outcomes") => {
                let body = Limited::new(request.into_body(), MAX_NOTIFICATIONS_BYTES)
                    .collect()
                    .await;
                let body = body
                    .map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?
                    .to_bytes();
                let fault = lock(&self.notification_answers).draw();
                answers.expect(None, fault);
                Ok(self.noticed(&body))
            }
            (&Method::GET, "/v1/endpoints") if let Source::Registry(listing) = source => {
                let lines = listing.clone().ask(query, self.net.clone()).await;
                Ok(lines.map_or_else(
                    || plain(StatusCode::SERVICE_UNAVAILABLE, "no list"),
                    |lines| Response::new(lines.boxed_unsync()),
                ))
            }
            _ if !*self.discovery_up.borrow() => Ok(plain(StatusCode::SERVICE_UNAVAILABLE, "down")),
            (&Method::GET, "/v1/endpoints") if query.contains("watch=1") => {
                let list = source.list();
                // nothing changes after the list's only version
                let first = (!query.ends_with("from=1")).then(|| format!("{list}\n"));
                let mut ticks = interval(EMPTY_LINE);
                ticks.reset();
                Ok(Response::new(Watch { first, ticks }.boxed_unsync()))
            }
            (&Method::GET, "/v1/endpoints") => Ok(plain(StatusCode::OK, source.list())),
            _ => Ok(plain(StatusCode::NOT_FOUND, "")),
        }
    }

    fn noticed(&self, body: &[u8]) -> Response<Body> {
        let lines = body
            .split(|byte| *byte == b'\n')
            .filter(|line| !line.is_empty());
        let read = |line: &[u8]| serde_json::from_slice::<Notice>(line);
        let Ok(notices) = lines.map(read).collect::<Result<Vec<Notice>, _>>() else {
            return plain(StatusCode::BAD_REQUEST, "");
        };
        for Notice { id, state } in notices {
            self.net
                .history
                .record(Event::OutcomeNotified { id, state });
        }
        plain(StatusCode::NO_CONTENT, "")
    }
}

/// An endpoint as one sender sees it.
#[derive(Debug, Clone, Copy)]
struct EndpointLink {
    endpoint: usize,
    sender: usize,
}

/// Where a sender's list comes from.
#[derive(Debug)]
enum Source {
    /// Always the same.
    Lab(String),
    Registry(Arc<Listing>),
}

impl Source {
    fn list(&self) -> &str {
        match self {
            Source::Lab(list) => list,
            Source::Registry(_) => "",
        }
    }
}

#[derive(serde::Deserialize)]
struct Notice {
    id: String,
    state: String,
}

fn plain(status: StatusCode, text: &str) -> Response<Body> {
    let mut response = Response::new(Full::from(text.to_string()).boxed_unsync());
    *response.status_mut() = status;
    response
}

/// A watch: the list, if it is news, then empty lines.
struct Watch {
    first: Option<String>,
    ticks: Interval,
}

impl hyper::body::Body for Watch {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        let line = match self.first.take() {
            Some(line) => Bytes::from(line),
            None => {
                std::task::ready!(self.ticks.poll_tick(context));
                Bytes::from_static(b"\n")
            }
        };
        Poll::Ready(Some(Ok(Frame::data(line))))
    }
}
