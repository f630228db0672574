//! The connections to the endpoints, from dial to close: carries out what the pool's rules say, and owns the
//! sockets. Calls ask for a connection, use it, and give it back or say that it is spoilt.

use super::config::pool_most;
use super::events::BODY_MOST;
use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use milletturn::pool::{
    Answered, Cause, Command, Denied, DialFailure, Limits, Place, Pool, PoolSettings, SiteView,
};
use milletturn::{EndpointId, MILLISECOND, Micros, SECOND, Settings};
use serde_json::json;
use socket2::SockRef;
use std::cell::{Cell, RefCell};
use std::cmp::Reverse;
use std::collections::HashMap;
use std::io::{self, Read};
use std::net::Shutdown;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, Waker};
use std::time::Duration;
use thiserror::Error;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::{Notify, oneshot};
use tokio::time::{Instant, timeout};

/// Endpoints in one report.
const LISTED: usize = 200;
/// As much of an answer as tells its status.
const FIRST_LINE: usize = 16;
/// Idle connections to one endpoint, and in all where the descriptors allow it.
const IDLE_EACH: usize = 16;
const IDLE_ALL: usize = 200;
/// Idle time that endpoints are taken to allow where the settings tell none.
const IDLE_USUAL: Duration = Duration::from_secs(5);

/// A connection that is up.
pub struct Connection {
    pub sender: SendRequest<Full<Bytes>>,
    pub traffic: Arc<Traffic>,
}

/// What has gone over a connection, beside what hyper tells of it.
#[derive(Default)]
pub struct Traffic {
    written: AtomicU64,
    /// The first bytes that came since the last request.
    first: Mutex<Vec<u8>>,
    ending: Mutex<Ending>,
    looked: Notify,
}

/// What follows once the system has nothing more to read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Then {
    /// Whoever asked closes the connection.
    Close,
    /// The sending side is shut, which gives a call up; what comes is read on.
    Listen,
}

/// How far a call is given up. It ends at the one moment at which the system has nothing more to read: an answer that
/// has come by then counts.
#[derive(Default)]
struct Ending {
    wanted: Option<Then>,
    looked: bool,
    shut: bool,
    /// Who reads, and waits for more.
    reader: Option<Waker>,
}

impl Traffic {
    /// Bytes written so far.
    pub fn written(&self) -> u64 {
        self.written.load(Ordering::Relaxed)
    }

    fn ending(&self) -> MutexGuard<'_, Ending> {
        self.ending.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits until all that is there has been read, for a call that is given up then.
    pub async fn read_out(&self, then: Then) {
        let reader = {
            let mut ending = self.ending();
            (ending.wanted, ending.looked) = (Some(then), false);
            ending.reader.take()
        };
        reader.into_iter().for_each(Waker::wake);
        while !self.ending().looked {
            self.looked.notified().await;
        }
    }

    /// An answer has come first: the connection goes on.
    pub fn keep(&self) {
        self.ending().wanted = None;
    }

    /// True if nothing can be sent any more.
    fn is_shut(&self) -> bool {
        self.ending().shut
    }

    /// What comes from now on is another answer.
    pub fn forget_answer(&self) {
        self.first.lock().unwrap_or_else(PoisonError::into_inner).clear();
    }

    fn keep_answer(&self, bytes: &[u8]) {
        let mut first = self.first.lock().unwrap_or_else(PoisonError::into_inner);
        let room = FIRST_LINE.saturating_sub(first.len());
        first.extend_from_slice(&bytes[..bytes.len().min(room)]);
    }

    /// True if an answer's first line says 200, whatever follows it.
    pub fn says_ok(&self) -> bool {
        let first = self.first.lock().unwrap_or_else(PoisonError::into_inner);
        let rest = first.strip_prefix(b"HTTP/1.1 200").or_else(|| first.strip_prefix(b"HTTP/1.0 200"));
        rest.and_then(<[u8]>::first).is_some_and(|after| b" \r\n".contains(after))
    }
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
}

/// The limits that settings come to. Caps that are not set follow from the descriptors.
pub fn limits(pool: &PoolSettings, descriptors: usize, settings: &Settings) -> Limits {
    let idle = if settings.connection_idle > 0 { span(settings.connection_idle) } else { IDLE_USUAL };
    // connections are given up somewhat before the endpoint would close them
    let keep = (idle * 9 / 10).min(idle.saturating_sub(Duration::from_millis(300)));
    // a file that was read for more descriptors than the process started with allows no more
    let most = pool_most(descriptors);
    let all = pool.all.unwrap_or(most).min(most);
    let cap = |set: Option<usize>, usual: usize| set.unwrap_or(usual).min(all);
    Limits {
        per_endpoint: cap(pool.per_endpoint, all),
        dials: cap(pool.dials, all),
        all,
        idle: cap(pool.idle, (descriptors / 3).clamp(1, IDLE_ALL)),
        idle_per_endpoint: cap(pool.idle_per_endpoint, IDLE_EACH),
        keep: micros(keep),
        decay: (pool.decay_s * 1e6) as Micros,
        learn_caps: pool.learn_caps,
        warm_share: pool.warm_share,
        cold: settings.safety.cold_time,
        senders: settings.senders,
    }
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
        Connections::from(dialler, limits, milletturn::SECOND, Means { descriptors: 100, seed: 1 })
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
        self.0.with(|pool, out| if serving { pool.open(now, place) } else { pool.retire(place, out) });
    }

    /// Gives back the connections to a place that carry nothing now.
    pub fn disconnect(&self, place: Place) {
        self.0.with(|pool, out| pool.disconnect(place, out));
    }

    /// The endpoint's destination has told to wait so long: a call that waits for a connection ends unwritten.
    pub fn told_wait(&self, place: Place, wait: Micros) {
        let until = self.0.now().saturating_add(wait);
        self.0.with(|pool, out| pool.told_wait(place, until, out));
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

    /// Figures for operators, as JSON: the busiest endpoints and how many are left out, and the sums of all.
    pub fn report(&self, uid_of: impl Fn(EndpointId) -> Option<String>) -> String {
        let pool = self.0.pool.borrow();
        let limits = pool.limits();
        let (mut sites, all) = pool.view(self.0.now());
        let sum = |count: fn(&SiteView) -> usize| sites.iter().map(count).sum::<usize>();
        let totals = json!({
            "endpoints": sites.len(),
            "open": sum(|site| site.idle + site.leased),
            "idle": sum(|site| site.idle),
            "leased": sum(|site| site.leased),
            "dialling": sum(|site| site.dialling),
            "waiting": sum(|site| site.waiting),
            "counts": all,
        });
        sites.sort_by_key(|site| {
            Reverse((site.leased + site.dialling + site.waiting, site.idle, site.counts.dials))
        });
        let left_out = sites.len().saturating_sub(LISTED);
        sites.truncate(LISTED);
        let endpoint = |site: SiteView| {
            json!({
                "uid": uid_of(site.place.endpoint),
                "address": site.place.address.to_string(),
                "serving": site.serving,
                "open": site.idle + site.leased,
                "idle": site.idle,
                "leased": site.leased,
                "dialling": site.dialling,
                "waiting": site.waiting,
                "wanted": site.wanted,
                "learned_cap": site.learned_cap,
                "counts": site.counts,
            })
        };
        json!({
            "limits": {
                "all": limits.all,
                "per_endpoint": limits.per_endpoint,
                "dials": limits.dials,
                "idle": limits.idle,
                "idle_per_endpoint": limits.idle_per_endpoint,
                "keep_ms": limits.keep / MILLISECOND,
                "decay_s": limits.decay as f64 / SECOND as f64,
                "learn_caps": limits.learn_caps,
                "warm_share": limits.warm_share,
            },
            "totals": totals,
            "left_out": left_out,
            "endpoints": sites.into_iter().map(endpoint).collect::<Vec<_>>(),
        })
        .to_string()
    }

    /// A connection to the place, ready to be written to. `end` says how its call ends should that drop it.
    pub async fn lease(&self, place: Place, end: &Rc<Cell<Cause>>) -> Result<Lease, NoLease> {
        let until = Instant::now() + self.0.dial_timeout.get();
        loop {
            let waiter = self.0.next_waiter.get();
            self.0.next_waiter.set(waiter + 1);
            let (give, mut given) = oneshot::channel();
            self.0.waiting.borrow_mut().insert(waiter, give);
            let waits = Waits { layer: &self.0, waiter };
            let now = self.0.now();
            self.0.with(|pool, out| pool.ask(now, place, waiter, out));
            // what is there already is taken whatever the time
            let given = match given.try_recv() {
                Ok(given) => given,
                Err(_) => match tokio::time::timeout_at(until, given).await {
                    Ok(given) => given.map_err(|_| NoLease::Ended)?,
                    Err(_) => return Err(NoLease::Time),
                },
            };
            drop(waits);
            let mut lease = given.map_err(NoLease::Denied)?;
            end.set(Cause::CalledOff);
            lease.end = Some(end.clone());
            // one that has closed meanwhile carried nothing: another is asked for
            if lease.rested.is_none() || lease.connection().sender.ready().await.is_ok() {
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
                Command::Lease { waiter, connection, rested } => {
                    let lease = Lease {
                        layer: self.clone(),
                        number: connection,
                        connection: self.free.borrow_mut().remove(&connection),
                        rested: rested.map(span),
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

    async fn connect(&self, place: Place) -> io::Result<(Connection, Driven)> {
        match &self.dialler {
            Dialler::Tcp => {
                let stream = TcpStream::connect(place.address).await?;
                stream.set_nodelay(true)?;
                handshake(stream).await
            }
            #[cfg(test)]
            Dialler::Ready(streams) => {
                let stream = streams.borrow_mut().pop_front();
                handshake(stream.ok_or(io::Error::from(io::ErrorKind::ConnectionRefused))?).await
            }
        }
    }

    async fn dial(self: &Rc<Self>, connection: u64, place: Place) {
        let up = timeout(self.dial_timeout.get(), self.connect(place)).await;
        let why = match up {
            Ok(Ok((up, driven))) => {
                let layer = self.clone();
                tokio::task::spawn_local(async move {
                    driven.await;
                    layer.with(|pool, out| pool.closed(connection, out));
                });
                self.free.borrow_mut().insert(connection, up);
                let now = self.now();
                return self.with(|pool, out| pool.up(now, connection, out));
            }
            Ok(Err(error)) if error.kind() == io::ErrorKind::ConnectionRefused => DialFailure::Refused,
            Ok(Err(_)) => DialFailure::Other,
            Err(_) => DialFailure::TimedOut,
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
    let counted = Counted { stream, traffic: traffic.clone() };
    let shake = http1::Builder::new().max_buf_size(BODY_MOST).handshake(TokioIo::new(counted));
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
    pub rested: Option<Duration>,
    /// How its call ends should that drop it; none as long as the call has not taken it up.
    end: Option<Rc<Cell<Cause>>>,
}

impl Lease {
    /// What it is about.
    pub fn connection(&mut self) -> &mut Connection {
        self.connection.as_mut().expect("taken only when the lease ends")
    }

    /// An answer has come.
    pub fn answered(&self, answered: Answered) {
        self.layer.pool.borrow_mut().answered(self.layer.now(), self.number, answered);
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
        let Some(connection) = self.connection.take() else { return };
        let now = self.layer.now();
        let cause = match &self.end {
            Some(end) => end.get(),
            // an answer that came too late leaves it as it was given up
            None if connection.traffic.is_shut() => Cause::CalledOff,
            None if connection.sender.is_closed() => Cause::Peer,
            // nothing is on it
            None => {
                self.layer.free.borrow_mut().insert(self.number, connection);
                return self.layer.with(|pool, out| pool.give_back(now, self.number, out));
            }
        };
        self.layer.with(|pool, out| pool.spoiled(now, self.number, cause, out));
    }
}

/// Counts what has been written: a call whose last byte was not can't have run. Keeps the start of what is read.
struct Counted<S> {
    stream: S,
    traffic: Arc<Traffic>,
}

impl<S> Counted<S> {
    fn count(&self, result: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        if let Poll::Ready(Ok(bytes)) = &result {
            self.traffic.written.fetch_add(*bytes as u64, Ordering::Relaxed);
        }
        result
    }
}

/// What the system itself tells of a socket. The runtime asks it only between turns, in which a timer may come first.
trait Now {
    /// Reads what is there.
    fn read_now(&self, room: &mut [u8]) -> io::Result<usize>;

    /// Nothing more is sent; what comes can still be read.
    fn end_sending(&self);
}

impl Now for TcpStream {
    fn read_now(&self, room: &mut [u8]) -> io::Result<usize> {
        (&mut &*SockRef::from(self)).read(room)
    }

    fn end_sending(&self) {
        // a connection that has ended sends nothing either
        let _ = SockRef::from(self).shutdown(Shutdown::Write);
    }
}

#[cfg(test)]
impl Now for tokio::io::DuplexStream {
    fn read_now(&self, _: &mut [u8]) -> io::Result<usize> {
        Err(io::ErrorKind::WouldBlock.into())
    }

    fn end_sending(&self) {}
}

impl<S: AsyncRead + Now + Unpin> AsyncRead for Counted<S> {
    fn poll_read(
        mut self: Pin<&mut Self>, context: &mut Context<'_>, buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let mut result = Pin::new(&mut self.stream).poll_read(context, buffer);
        if result.is_pending() {
            let mut ending = self.traffic.ending();
            ending.reader = Some(context.waker().clone());
            if let Some(then) = ending.wanted.take() {
                match self.stream.read_now(buffer.initialize_unfilled()) {
                    Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                        if then == Then::Listen {
                            self.stream.end_sending();
                            ending.shut = true;
                        }
                        ending.looked = true;
                        self.traffic.looked.notify_one();
                    }
                    Err(error) => result = Poll::Ready(Err(error)),
                    Ok(read) => {
                        buffer.advance(read);
                        // there may be more, and the reader comes again
                        ending.wanted = Some(then);
                        result = Poll::Ready(Ok(()));
                    }
                }
            }
        }
        self.traffic.keep_answer(&buffer.filled()[before..]);
        result
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for Counted<S> {
    fn poll_write(
        mut self: Pin<&mut Self>, context: &mut Context<'_>, buffer: &[u8],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write(context, buffer);
        self.count(result)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>, context: &mut Context<'_>, buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write_vectored(context, buffers);
        self.count(result)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
