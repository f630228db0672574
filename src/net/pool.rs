//! The connections to the endpoints, from dial to close: carries out what the pool's rules say, and owns the
//! sockets. Calls ask for a connection, use it, and give it back or say that it is spoilt.

mod caps;
mod report;
mod traffic;

use super::RateLimitedLog;
use super::events::MAX_BODY_BYTES;
use super::stream::{ConnectError, Stream};
use bytes::Bytes;
pub use caps::limits;
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use message_sender::pool::{
    Answered, Cause, Command, Denied, DialFailure, Limits, Place, Pool, PoolSettings,
};
use message_sender::{Micros, Settings};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use thiserror::Error;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::sync::oneshot;
use tokio::time::Instant;
pub use traffic::Traffic;
use traffic::{Counted, Now};

/// A connection that is up.
pub struct Connection {
    pub sender: SendRequest<Full<Bytes>>,
    pub traffic: Arc<Traffic>,
}

/// Why a call has no connection.
#[derive(Debug, Error)]
pub enum NoLease {
    #[error("none came up in time")]
    Time,
    #[error("none came up before the call had to begin")]
    Late,
    #[error("no connection: {0:?}")]
    Denied(Denied),
    #[error("the pool has ended")]
    Ended,
}

/// What the pool is made from; the rest comes with the settings.
#[derive(Debug, Clone, Copy)]
pub struct Means {
    /// Descriptors that the process may hold.
    pub descriptors: usize,
    pub seed: u64,
}

/// All connections to endpoints.
#[derive(Clone)]
pub struct Connections(Rc<Layer>);

type Driven = Pin<Box<dyn Future<Output = ()>>>;

/// Where new connections come from.
enum Dialler {
    Tcp,
    /// One after another from here; dials beyond them are refused.
    #[cfg(test)]
    Ready(RefCell<std::collections::VecDeque<tokio::io::DuplexStream>>),
}

struct Layer {
    start: Instant,
    dialler: Dialler,
    means: Means,
    pool: RefCell<Pool>,
    /// Connections that are up and not leased.
    free: RefCell<HashMap<u64, Connection>>,
    waiting: RefCell<HashMap<u64, oneshot::Sender<Result<Lease, Denied>>>>,
    next_waiter: Cell<u64>,
    dial_timeout: Cell<Duration>,
    /// When this machine last failed a dial.
    failed_locally: Cell<Option<Instant>>,
    faults: RateLimitedLog,
}

fn span(micros: Micros) -> Duration {
    Duration::from_micros(u64::try_from(micros).unwrap_or(0))
}

fn micros(span: Duration) -> Micros {
    Micros::try_from(span.as_micros()).unwrap_or(Micros::MAX)
}

impl Connections {
    /// None yet.
    pub fn new(limits: Limits, dial_timeout: Micros, means: Means) -> Self {
        Connections::from(Dialler::Tcp, limits, dial_timeout, means)
    }

    /// None yet; new ones are these, in turn.
    #[cfg(test)]
    pub fn ready(streams: Vec<tokio::io::DuplexStream>, limits: Limits) -> Self {
        let dialler = Dialler::Ready(RefCell::new(streams.into()));
        Connections::from(
            dialler,
            limits,
            message_sender::SECOND,
            Means {
                descriptors: 100,
                seed: 1,
            },
        )
    }

    fn from(dialler: Dialler, limits: Limits, dial_timeout: Micros, means: Means) -> Self {
        Connections(Rc::new(Layer {
            start: Instant::now(),
            dialler,
            means,
            pool: RefCell::new(Pool::new(limits, means.seed)),
            free: RefCell::default(),
            waiting: RefCell::default(),
            next_waiter: Cell::default(),
            dial_timeout: Cell::new(span(dial_timeout)),
            failed_locally: Cell::default(),
            faults: RateLimitedLog::default(),
        }))
    }

    /// From now on.
    pub fn retune(&self, pool: &PoolSettings, settings: &Settings, dial_timeout: Micros) {
        self.0.dial_timeout.set(span(dial_timeout));
        let limits = limits(pool, self.0.means.descriptors, settings);
        let now = self.0.now();
        if limits != *self.0.pool.borrow().limits() {
            self.0.with(|pool, out| pool.retune(now, limits, out));
        }
    }

    /// The endpoint at this place takes calls, or takes none any more.
    pub fn serve(&self, place: Place, serving: bool) {
        let now = self.0.now();
        self.0.with(|pool, out| {
            if serving {
                pool.open(now, place)
            } else {
                pool.retire(place, out)
            }
        });
    }

    /// Gives back the connections to a place that carry nothing now.
    pub fn disconnect(&self, place: Place) {
        self.0.with(|pool, out| pool.disconnect(place, out));
    }

    /// The endpoint's destination has told to wait so long: a call that waits for a connection ends unwritten.
    pub fn advertised_wait(&self, place: Place, wait: Micros) {
        let until = self.0.now().saturating_add(wait);
        self.0
            .with(|pool, out| pool.advertised_wait(place, until, out));
    }

    /// So many connections are held by the old process of an upgrade.
    pub fn elsewhere(&self, count: usize) {
        let now = self.0.now();
        self.0.with(|pool, out| pool.elsewhere(now, count, out));
    }

    /// Closes all idle connections, keeps none from now on, and ends the calls that wait for one unwritten.
    pub fn leave(&self) {
        self.0.with(|pool, out| pool.leave(out));
    }

    /// What time alone brings.
    pub fn sweep(&self) {
        let now = self.0.now();
        self.0.with(|pool, out| pool.tick(now, out));
    }

    /// A connection to the place, ready to be written to. `end` says how its call ends should that drop it.
    pub async fn lease(&self, place: Place, end: &Rc<Cell<Cause>>) -> Result<Lease, NoLease> {
        let asked = Instant::now();
        let until = asked + self.0.dial_timeout.get();
        loop {
            let waiter = self.0.next_waiter.get();
            self.0.next_waiter.set(waiter + 1);
            let (give, mut given) = oneshot::channel();
            self.0.waiting.borrow_mut().insert(waiter, give);
            let waits = Waits {
                layer: &self.0,
                waiter,
            };
            let now = self.0.now();
            self.0.with(|pool, out| pool.ask(now, place, waiter, out));
            // what is there already is taken whatever the time
            let given = match given.try_recv() {
                Ok(given) => given,
                Err(_) => match tokio::time::timeout_at(until, given).await {
                    Ok(given) => given.map_err(|_| NoLease::Ended)?,
                    Err(_) if self.0.failed_locally.get().is_some_and(|at| at >= asked) => {
                        return Err(NoLease::Denied(Denied::Dial(DialFailure::Local)));
                    }
                    Err(_) => return Err(NoLease::Time),
                },
            };
            drop(waits);
            let mut lease = given.map_err(NoLease::Denied)?;
            end.set(Cause::CalledOff);
            lease.end = Some(end.clone());
            // one that has closed meanwhile carried nothing: another is asked for
            if lease.idle_for.is_none() || lease.connection().sender.ready().await.is_ok() {
                return Ok(lease);
            }
            lease.spoil(Cause::Peer);
        }
    }
}

/// A call's wait; ends it with itself.
struct Waits<'a> {
    layer: &'a Rc<Layer>,
    waiter: u64,
}

impl Drop for Waits<'_> {
    fn drop(&mut self) {
        self.layer.waiting.borrow_mut().remove(&self.waiter);
        self.layer.pool.borrow_mut().called_off(self.waiter);
    }
}

impl Layer {
    fn now(&self) -> Micros {
        micros(self.start.elapsed())
    }

    /// Has the rules say something and carries it out.
    fn with(self: &Rc<Self>, say: impl FnOnce(&mut Pool, &mut Vec<Command>)) {
        let mut commands = Vec::new();
        say(&mut self.pool.borrow_mut(), &mut commands);
        for command in commands {
            match command {
                Command::Dial { connection, place } => {
                    let layer = self.clone();
                    tokio::task::spawn_local(async move { layer.dial(connection, place).await });
                }
                Command::Close { connection } => drop(self.free.borrow_mut().remove(&connection)),
                Command::Lease {
                    waiter,
                    connection,
                    idle_for,
                } => {
                    let lease = Lease {
                        layer: self.clone(),
                        number: connection,
                        connection: self.free.borrow_mut().remove(&connection),
                        idle_for: idle_for.map(span),
                        end: None,
                    };
                    self.answer(waiter, Ok(lease));
                }
                Command::Deny { waiter, why } => self.answer(waiter, Err(why)),
            }
        }
    }

    fn answer(&self, waiter: u64, answer: Result<Lease, Denied>) {
        let waiting = self.waiting.borrow_mut().remove(&waiter);
        // one that waits no more has called off before, and gets nothing
        if let Some(waiting) = waiting {
            drop(waiting.send(answer));
        }
    }

    async fn connect(&self, place: Place) -> Result<(Connection, Driven), ConnectError> {
        let up = match &self.dialler {
            Dialler::Tcp => {
                handshake(Stream::connect(place.address, self.dial_timeout.get()).await?).await
            }
            #[cfg(test)]
            Dialler::Ready(streams) => {
                let stream = streams.borrow_mut().pop_front();
                let refused = || ConnectError::Peer(io::ErrorKind::ConnectionRefused.into());
                handshake(stream.ok_or_else(refused)?).await
            }
        };
        up.map_err(ConnectError::Peer)
    }

    async fn dial(self: &Rc<Self>, connection: u64, place: Place) {
        let why = match self.connect(place).await {
            Ok((up, driven)) => {
                let layer = self.clone();
                tokio::task::spawn_local(async move {
                    driven.await;
                    layer.with(|pool, out| pool.closed(connection, out));
                });
                self.free.borrow_mut().insert(connection, up);
                let now = self.now();
                return self.with(|pool, out| pool.up(now, connection, out));
            }
            Err(ConnectError::Peer(error)) if error.kind() == io::ErrorKind::ConnectionRefused => {
                DialFailure::Refused
            }
            Err(ConnectError::Peer(_)) => DialFailure::Other,
            Err(ConnectError::Time) => DialFailure::TimedOut,
            Err(ConnectError::Local(error)) => {
                self.faults
                    .log(format_args!("calls: no connection made: {error}"));
                self.failed_locally.set(Some(Instant::now()));
                DialFailure::Local
            }
        };
        let now = self.now();
        self.with(|pool, out| pool.dial_failed(now, connection, why, out));
    }
}

/// The connection, and what drives it until it ends.
async fn handshake<S>(stream: S) -> io::Result<(Connection, Driven)>
where
    S: AsyncRead + AsyncWrite + Now + Unpin + Send + 'static,
{
    let traffic = Arc::new(Traffic::default());
    let counted = Counted {
        stream,
        traffic: traffic.clone(),
    };
    let shake = http1::Builder::new()
        .max_buf_size(MAX_BODY_BYTES)
        .handshake(TokioIo::new(counted));
    let (sender, connection) = shake.await.map_err(io::Error::other)?;
    // how it ends is told to the call on it
    let driven = Box::pin(async move { drop(connection.await) });
    Ok((Connection { sender, traffic }, driven))
}

/// A connection that one call has to itself. Dropped, it is closed.
pub struct Lease {
    layer: Rc<Layer>,
    number: u64,
    connection: Option<Connection>,
    /// How long it had stood idle; none if it is new.
    pub idle_for: Option<Duration>,
    /// How its call ends should that drop it; none as long as the call has not taken it up.
    end: Option<Rc<Cell<Cause>>>,
}

impl Lease {
    /// What it is about.
    pub fn connection(&mut self) -> &mut Connection {
        self.connection
            .as_mut()
            .expect("taken only when the lease ends")
    }

    /// An answer has come.
    pub fn answered(&self, answered: Answered) -> bool {
        self.layer
            .pool
            .borrow_mut()
            .answered(self.layer.now(), self.number, answered)
    }

    /// The call is over and the connection can carry another.
    pub fn give_back(mut self) {
        self.end = None;
    }

    /// The connection is of no more use.
    pub fn spoil(self, cause: Cause) {
        if let Some(end) = &self.end {
            end.set(cause);
        }
    }
}

impl Drop for Lease {
    fn drop(&mut self) {
        let Some(connection) = self.connection.take() else {
            return;
        };
        let now = self.layer.now();
        let cause = match &self.end {
            Some(end) => end.get(),
            // an answer that came too late leaves it as it was given up
            None if connection.traffic.is_shut() => Cause::CalledOff,
            None if connection.sender.is_closed() => Cause::Peer,
            // nothing is on it
            None => {
                self.layer.free.borrow_mut().insert(self.number, connection);
                return self
                    .layer
                    .with(|pool, out| pool.give_back(now, self.number, out));
            }
        };
        self.layer
            .with(|pool, out| pool.spoiled(now, self.number, cause, out));
    }
}

#[cfg(test)]
mod compatibility;
