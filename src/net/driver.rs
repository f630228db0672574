//! The turns: all that is ready becomes events, the decision module is asked once, its actions become calls.
//! This is the only owner of the module and of the messages.

use super::Seldom;
use super::calls::{self, BODY_MOST, Call, Calls, Item};
use super::config::PoolSettings;
use super::discovery::{ListUpdate, Notice};
use super::journal::{Ending, Journal, JournalError, Origin, Taken, Terms};
use super::leaving::Leaving;
use super::server::{Classes, Named};
use super::upgrade::{
    self, Frame, HandedCall, HandedMessage, HandedRoute, Handover, Link, Lock, Passed, Successor, text,
};
use bytes::Bytes;
use hyper::header::HeaderValue;
use milletturn::pool::Place;
use milletturn::wire::{Names, position};
use milletturn::{
    Action, Class, Effect, EndpointId, Entry, Event, Listing, MILLISECOND, MessageId, Micros, NewMessage,
    Outcome, PastAttempt, Sender, Settings, Status,
};
use serde::{Deserialize, Serialize};
use std::cell::Cell;
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::sync::{Semaphore, mpsc, oneshot, watch};
use tokio::time::{Instant, sleep_until};

/// Delivered ids that are remembered, for clients whose request crossed a closed connection.
const REMEMBERED: usize = 4096;
/// How often idle connections are looked at.
const SWEEP: Duration = Duration::from_millis(250);
/// What goes and comes back within this time is the same endpoint still, with its waits: longer than these are.
const FORGET_AFTER: Duration = Duration::from_secs(10);
/// Inputs taken into one turn, so that a turn stays short.
const MOST_AT_ONCE: usize = 1000;

/// What the rest of the program tells the driver.
#[derive(Debug)]
pub enum Input {
    Arrived(Arrival),
    ClientLeft(HeaderValue),
    /// The process ends at this time.
    Stopping(Instant),
    Ended(calls::Ended),
    Listed(ListUpdate),
    /// Notices that the platform has taken, by number of message.
    Noticed(Vec<u64>),
    /// New settings, checked.
    Retuned(Box<(Settings, Names, PoolSettings)>),
    /// What the other process of an upgrade says, and that it says no more.
    Linked(Frame),
    LinkLost,
}

/// What operators order; it overtakes all that waits.
#[derive(Debug)]
pub enum Order {
    /// Take an endpoint out, or put it back.
    SetOut { uid: String, out: bool, reply: oneshot::Sender<Verdict> },
    /// Tell how the connections to endpoints stand, as JSON.
    Pools { reply: oneshot::Sender<String> },
    /// A next process asks for all that this one holds.
    HandOver(Successor),
}

/// What came of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Verdict {
    Done,
    /// No list has this endpoint.
    Unknown,
    /// It could not be written down.
    Unwritten,
}

/// A message that is handed in.
#[derive(Debug)]
pub struct Arrival {
    pub id: HeaderValue,
    pub key: Option<HeaderValue>,
    /// What the message is about; messages of one subject take turns in classes that keep order.
    pub subject: Option<String>,
    /// Whose message it is, for the shares of the tenants.
    pub tenant: Option<String>,
    pub class: usize,
    pub destination: u64,
    pub time: Micros,
    pub began: Instant,
    pub again: bool,
    pub orphan: bool,
    pub body: Bytes,
    pub reply: oneshot::Sender<Answer>,
}

/// The answer to a client.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Answer {
    Taken,
    Delivered,
    Refused { wait: Option<Micros> },
    NoRoom,
    Failed,
}

/// Module time: Unix microseconds at the start, carried on by the monotonic clock.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    start: Instant,
    unix: Micros,
}

impl Clock {
    pub fn new() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_micros();
        Clock { start: Instant::now(), unix: Micros::try_from(unix).unwrap_or(0) }
    }

    /// Module time of an instant.
    pub fn at(&self, instant: Instant) -> Micros {
        self.unix + Micros::try_from(instant.saturating_duration_since(self.start).as_micros()).unwrap_or(0)
    }

    fn instant(&self, at: Micros) -> Instant {
        self.start + Duration::from_micros(u64::try_from(at - self.unix).unwrap_or(0))
    }
}

/// Gives what both settings name the place that it had, and what is new one at the end; the places of the new
/// settings' classes. What is named no more stays for the messages and endpoints that still have it.
fn keep_places(new: &mut Settings, old: Settings, known: &mut Names, names: Names) -> Vec<usize> {
    let place = |list: &mut Vec<String>, name: &str| {
        list.iter().position(|known| known == name).unwrap_or_else(|| {
            list.push(name.to_string());
            list.len() - 1
        })
    };
    let classes = std::mem::replace(&mut new.classes, old.classes);
    let places = classes.into_iter().map(|class| new.place(class)).collect();
    for kind in std::mem::replace(&mut new.kinds, old.kinds) {
        match place(&mut known.kinds, &kind.name) {
            at if at < new.kinds.len() => new.kinds[at] = kind,
            _ => new.kinds.push(kind),
        }
    }
    for tenant in std::mem::replace(&mut new.tenants, old.tenants) {
        match place(&mut known.tenants, &tenant.name) {
            at if at < new.tenants.len() => new.tenants[at] = tenant,
            _ => new.tenants.push(tenant),
        }
    }
    let zone = names.zones.get(usize::from(new.zone)).cloned();
    let fees = std::mem::replace(&mut new.zone_fees, old.zone_fees);
    for (at, name) in names.zones.iter().enumerate() {
        let to = place(&mut known.zones, name);
        if let Some(&fee) = fees.get(at) {
            new.zone_fees.resize(new.zone_fees.len().max(to + 1), 0.0);
            new.zone_fees[to] = fee;
        }
    }
    new.zone = zone.map_or(u16::MAX, |zone| place(&mut known.zones, &zone) as u16);
    known.classes = new.classes.iter().map(|class| class.name.clone()).collect();
    (known.report_fields, known.dial_timeout) = (names.report_fields, names.dial_timeout);
    places
}

/// The module's number for a subject. Two subjects with the same number only wait for one another.
fn key_of(subject: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    subject.hash(&mut hasher);
    hasher.finish()
}

struct Attempt {
    endpoint: EndpointId,
    sent: Micros,
    call: u64,
    item: usize,
    out: bool,
    /// Its position in the journal; none where it was not written down, so that it never left.
    record: Option<usize>,
}

struct Message {
    item: Item,
    open: bool,
    /// Clients that were told, or are to be told, that it is taken on.
    clients: usize,
    /// Attempts of an earlier life count too, as calls that are over.
    attempts: Vec<Attempt>,
}

/// A call that has not ended.
pub struct CallOut {
    /// Takes the positions that are called off; none where the old process has the call out.
    pub cancels: Option<mpsc::UnboundedSender<usize>>,
    /// The message and attempt of each position.
    items: Vec<(MessageId, usize)>,
    /// Positions that have not ended.
    pub left: usize,
}

/// A turn's sends to one endpoint that travel together.
struct Bundle {
    endpoint: EndpointId,
    expires: Micros,
    sends: Vec<(MessageId, usize)>,
    size: usize,
}

/// Where an endpoint is and what its kind allows.
struct Route {
    uid: String,
    address: Option<SocketAddr>,
    /// Its kind, by position in the settings.
    kind: usize,
    destination: u64,
    /// The last list that named it did not say that it is gone.
    listed: bool,
    /// Nor that it drains.
    up: bool,
    /// Since when nothing needs it any more, as far as that has been looked at.
    gone: Option<Instant>,
}

/// What the driver has in common with the rest of the process.
pub struct Shared {
    pub clock: Clock,
    pub inputs: mpsc::UnboundedSender<Input>,
    pub lock: Lock,
    /// The clients' places, and how many there are when none is taken.
    pub places: Arc<Semaphore>,
    pub most: usize,
    /// What clients may name.
    pub classes: Classes,
    /// Tells that the process takes nothing new, and that another has taken over.
    pub draining: Rc<Cell<bool>>,
    pub handed: watch::Sender<bool>,
}

/// What follows once a next process has asked.
enum Next {
    GoOn,
    Leave(Link),
    End,
}

/// Owner of the module and the messages.
pub struct Driver {
    sender: Sender,
    clock: Clock,
    names: Names,
    /// As the module has them: all that was ever in force, each in its place.
    settings: Settings,
    pool: PoolSettings,
    journal: Journal,
    calls: Calls,
    notices: mpsc::UnboundedSender<Notice>,
    ready: watch::Sender<bool>,
    routes: BTreeMap<EndpointId, Route>,
    next_endpoint: u32,
    by_uid: HashMap<String, EndpointId>,
    messages: BTreeMap<MessageId, Message>,
    by_id: HashMap<HeaderValue, MessageId>,
    next_message: u64,
    out: BTreeMap<u64, CallOut>,
    next_call: u64,
    delivered: VecDeque<HeaderValue>,
    /// Messages that came in this turn, with their clients and the times when these sent them.
    arrived: BTreeMap<MessageId, (Arrival, Micros)>,
    /// Clients that handed in once more what came in this turn: a promise to them must wait for the journal.
    doubled: Vec<(MessageId, HeaderValue, oneshot::Sender<Answer>)>,
    events: Vec<Event>,
    alarm: Option<Micros>,
    journal_fault: Seldom,
    list_version: u64,
    shared: Shared,
    /// The old process, while it has calls out or clients connected, and the places that its clients hold.
    predecessor: Option<(mpsc::UnboundedSender<Frame>, usize)>,
}

impl Driver {
    /// Sets the module up and hands it the list as last known and what the journal holds.
    #[allow(clippy::too_many_arguments)]
    pub fn new(
        sender: Sender, settings: Settings, names: Names, pool: PoolSettings, known: Option<ListUpdate>,
        journal: Journal, calls: Calls, notices: mpsc::UnboundedSender<Notice>, ready: watch::Sender<bool>,
        shared: Shared, handover: Option<Handover>,
    ) -> Self {
        let mut driver = Driver {
            settings: sender.settings().clone(),
            sender,
            clock: shared.clock,
            names: names.clone(),
            pool,
            journal,
            calls,
            notices,
            ready,
            routes: BTreeMap::new(),
            next_endpoint: 0,
            by_uid: HashMap::new(),
            messages: BTreeMap::new(),
            by_id: HashMap::new(),
            next_message: 0,
            out: BTreeMap::new(),
            next_call: 0,
            delivered: VecDeque::new(),
            arrived: BTreeMap::new(),
            doubled: Vec::new(),
            events: Vec::new(),
            alarm: None,
            journal_fault: Seldom::default(),
            list_version: 0,
            shared,
            predecessor: None,
        };
        let taken_over = handover.is_some();
        if let Some(handover) = handover {
            driver.take_over(handover);
        }
        driver.retune(settings, names);
        if let Some(known) = known.filter(|_| !taken_over) {
            driver.list(known, true);
        }
        let out: Vec<String> = driver.journal.out().map(str::to_string).collect();
        for uid in out {
            let endpoint = driver.endpoint_of(&uid);
            driver.events.push(Event::Disabled(endpoint));
        }
        driver.resume(taken_over);
        driver
    }

    /// Turns until the inputs end.
    pub async fn run(
        mut self, mut inputs: mpsc::UnboundedReceiver<Input>, mut orders: mpsc::Receiver<Order>,
    ) {
        let mut sweep = tokio::time::interval(SWEEP);
        self.turns();
        loop {
            let alarm = self.alarm.map(|at| self.clock.instant(at));
            tokio::select! {
                // operators wait a second at most, however much waits to be done
                biased;
                Some(order) = orders.recv() => match order {
                    Order::SetOut { uid, out, reply } => self.obey(uid, out, reply),
                    Order::Pools { reply } => {
                        let uid_of = |id: EndpointId| Some(self.routes.get(&id)?.uid.clone());
                        // an operator that has gone asks again
                        let _ = reply.send(self.calls.connections().report(uid_of));
                        continue;
                    }
                    Order::HandOver(successor) => match self.hand_over(successor).await {
                        Next::GoOn => {}
                        Next::Leave(link) => return self.leave(link).run(inputs, orders).await,
                        Next::End => return,
                    },
                },
                _ = sweep.tick() => {
                    self.calls.connections().sweep();
                    let written = self.journal.retry();
                    self.check(written);
                    continue;
                }
                input = inputs.recv() => match input {
                    Some(input) => self.learn(input),
                    None => return,
                },
                () = sleep_until(alarm.unwrap_or_else(Instant::now)), if alarm.is_some() => {}
            }
            for _ in 0..MOST_AT_ONCE {
                let Ok(input) = inputs.try_recv() else { break };
                self.learn(input);
            }
            self.turns();
        }
    }

    fn obey(&mut self, uid: String, out: bool, reply: oneshot::Sender<Verdict>) {
        let was_out = self.journal.is_out(&uid);
        let listed = self.by_uid.get(&uid).and_then(|endpoint| self.routes.get(endpoint));
        let verdict = if !was_out && !listed.is_some_and(|route| route.listed) {
            Verdict::Unknown
        } else if was_out == out {
            Verdict::Done
        } else {
            let written = self.journal.set_out(&uid, out);
            if self.check(written).is_some() {
                let endpoint = self.endpoint_of(&uid);
                self.admit(endpoint);
                self.events.push(if out { Event::Disabled(endpoint) } else { Event::Enabled(endpoint) });
                Verdict::Done
            } else {
                Verdict::Unwritten
            }
        };
        let order = if out { "out" } else { "back" };
        super::log(format_args!("control: endpoint {uid} {order}: {verdict:?}"));
        // an operator that has gone sees the log
        let _ = reply.send(verdict);
    }

    /// Puts new settings in force for all that comes from now on.
    fn retune(&mut self, mut settings: Settings, names: Names) {
        self.calls.connections().retune(&self.pool, &settings, names.dial_timeout);
        self.calls.retune(names.report_fields.clone());
        let before = (self.settings.clone(), self.names.clone());
        let places = keep_places(&mut settings, before.0, &mut self.names, names);
        let named = |index: usize| {
            let class: &Class = &settings.classes[index];
            Named { name: class.name.clone(), index, keyed: matches!(class.effect, Effect::Keyed { .. }) }
        };
        self.shared.classes.replace(places.into_iter().map(named).collect());
        if settings != *self.sender.settings() {
            self.events.push(Event::Retuned(Box::new(settings.clone())));
        }
        self.settings = settings;
    }

    /// Hands all to the next process, if that one takes it; nothing is decided meanwhile.
    async fn hand_over(&mut self, successor: Successor) -> Next {
        let mut link = match successor {
            Successor::Heir(link) => link,
            Successor::Stranger => {
                super::log(format_args!("upgrade: the new process speaks another version, this one ends"));
                return Next::End;
            }
        };
        if self.predecessor.is_some() {
            return Next::GoOn; // it asks again once the process before this one is gone
        }
        self.turns();
        let handover = match self.handover() {
            Ok(handover) => handover,
            Err(error) => {
                super::log(format_args!("upgrade: not handed over: {error}"));
                return Next::GoOn;
            }
        };
        let (messages, calls) = (self.by_id.len(), self.out.len());
        let handed = match self.shared.lock.give_up() {
            Ok(()) => link.hand(handover).await,
            Err(error) => Err(error.into()),
        };
        match handed {
            Ok(()) => {
                super::log(format_args!("upgrade: handed over {messages} messages, {calls} calls are out"));
                Next::Leave(link)
            }
            Err(error) => match self.shared.lock.try_take() {
                Ok(true) => {
                    super::log(format_args!("upgrade: not taken over, this process goes on: {error}"));
                    let opened = self.journal.reopen();
                    if self.check(opened).is_some() { Next::GoOn } else { Next::End }
                }
                Ok(false) | Err(_) => {
                    super::log(format_args!("upgrade: another process owns the journal, this one ends"));
                    Next::End
                }
            },
        }
    }

    fn handover(&self) -> Result<Handover, postcard::Error> {
        let route = |(endpoint, route): (&EndpointId, &Route)| HandedRoute {
            endpoint: endpoint.0,
            uid: route.uid.clone(),
            address: route.address,
            kind: route.kind,
            destination: route.destination,
            listed: route.listed,
            up: route.up,
        };
        let message = |(number, held): (&MessageId, &Message)| HandedMessage {
            number: number.0,
            id: text(&held.item.id),
            key: held.item.key.as_ref().map(text),
            body: held.item.body.to_vec(),
            open: held.open,
            clients: held.clients,
            attempts: held
                .attempts
                .iter()
                .map(|a| (a.endpoint.0, a.sent, a.call, a.item, a.out, a.record))
                .collect(),
        };
        let call = |(&number, call): (&u64, &CallOut)| HandedCall {
            number,
            items: call.items.iter().map(|&(message, attempt)| (message.0, attempt)).collect(),
            left: call.left,
        };
        Ok(Handover {
            sender: postcard::to_allocvec(&self.sender)?,
            names: self.names.clone(),
            routes: self.routes.iter().map(route).collect(),
            messages: self.messages.iter().map(message).collect(),
            next_endpoint: self.next_endpoint,
            next_message: self.next_message,
            out: self.out.iter().map(call).collect(),
            next_call: self.next_call,
            delivered: self.delivered.iter().map(text).collect(),
            list_version: self.list_version,
            alarm: self.alarm,
            clients: self.shared.most.saturating_sub(self.shared.places.available_permits()),
        })
    }

    /// Takes up what an old process handed over, but for the module itself. Its calls are still out there.
    fn take_over(&mut self, handover: Handover) {
        self.names = handover.names;
        (self.next_message, self.next_call) = (handover.next_message, handover.next_call);
        (self.list_version, self.alarm) = (handover.list_version, handover.alarm);
        self.next_endpoint = handover.next_endpoint;
        for handed in handover.routes {
            let HandedRoute { endpoint, uid, address, kind, destination, listed, up } = handed;
            let (endpoint, gone) = (EndpointId(endpoint), None);
            self.by_uid.insert(uid.clone(), endpoint);
            self.routes.insert(endpoint, Route { uid, address, kind, destination, listed, up, gone });
            self.admit(endpoint);
        }
        for handed in handover.messages {
            let Some(item) = handed.item() else { continue };
            let message = MessageId(handed.number);
            if handed.open {
                self.by_id.insert(item.id.clone(), message);
            }
            let attempt = |(endpoint, sent, call, item, out, record)| {
                let endpoint = EndpointId(endpoint);
                Attempt { endpoint, sent, call, item, out, record }
            };
            let attempts = handed.attempts.into_iter().map(attempt).collect();
            let (open, clients) = (handed.open, handed.clients);
            self.messages.insert(message, Message { item, open, clients, attempts });
        }
        for HandedCall { number, items, left } in handover.out {
            let items = items.into_iter().map(|(message, attempt)| (MessageId(message), attempt)).collect();
            self.out.insert(number, CallOut { cancels: None, items, left });
        }
        self.count_elsewhere();
        self.delivered = handover.delivered.iter().filter_map(|id| HeaderValue::from_str(id).ok()).collect();
        if self.routes.values().any(|route| route.listed) {
            self.ready.send_replace(true);
        }
    }

    /// Names the process that this one took over from, and the places that its clients hold.
    pub fn follow(&mut self, mut link: upgrade::Writer, places: usize) {
        let (frames, mut queue) = mpsc::unbounded_channel();
        tokio::task::spawn_local(async move {
            while let Some(frame) = queue.recv().await {
                if link.send(&frame).await.is_err() {
                    return; // the reader of the link tells of its end
                }
            }
        });
        self.predecessor = Some((frames, places));
    }

    /// The list that is known, by its version.
    pub fn list_version(&self) -> u64 {
        self.list_version
    }

    fn leave(self, link: Link) -> Leaving {
        self.shared.draining.set(true);
        self.shared.handed.send_replace(true);
        self.calls.connections().leave();
        Leaving {
            writer: link.listen(self.shared.inputs),
            clock: self.clock,
            out: self.out,
            places: self.shared.places,
            most: self.shared.most,
            answers: HashMap::new(),
            verdicts: HashMap::new(),
            next: 0,
        }
    }

    /// What the old process reports and passes on.
    fn linked(&mut self, frame: Frame) {
        let Some((old, _)) = &self.predecessor else { return };
        let old = old.clone();
        match frame {
            Frame::Ended(ended) => self.ended(ended),
            Frame::Left(id) => {
                if let Ok(id) = HeaderValue::from_str(&id) {
                    self.learn(Input::ClientLeft(id));
                }
            }
            Frame::Arrived { number, arrival } => {
                let (reply, answer) = oneshot::channel();
                if let Some(arrival) = self.passed(*arrival, reply) {
                    self.arrive(arrival);
                }
                tokio::task::spawn_local(async move {
                    let answer = answer.await.unwrap_or(Answer::NoRoom);
                    // the old process is gone, and its clients with it
                    let _ = old.send(Frame::Answered { number, answer });
                });
            }
            Frame::Ordered { number, uid, out } => {
                let (reply, verdict) = oneshot::channel();
                self.obey(uid, out, reply);
                tokio::task::spawn_local(async move {
                    let verdict = verdict.await.unwrap_or(Verdict::Unwritten);
                    let _ = old.send(Frame::Judged { number, verdict });
                });
            }
            _ => {}
        }
    }

    fn passed(&self, passed: Passed, reply: oneshot::Sender<Answer>) -> Option<Arrival> {
        Some(Arrival {
            id: HeaderValue::from_str(&passed.id).ok()?,
            key: passed.key.as_deref().map(HeaderValue::from_str).transpose().ok()?,
            subject: passed.subject,
            tenant: passed.tenant,
            class: passed.class,
            destination: passed.destination,
            time: passed.time,
            began: self.clock.instant(passed.began),
            again: passed.again,
            orphan: passed.orphan,
            body: passed.body.into(),
            reply,
        })
    }

    /// The old process has ended: nobody will tell how its last calls do.
    fn link_lost(&mut self) {
        let Some((_, places)) = self.predecessor.take() else { return };
        self.shared.places.add_permits(places);
        self.shared.most += places;
        let lost: Vec<(u64, usize)> = self
            .out
            .iter()
            .filter(|(_, call)| call.cancels.is_none())
            .flat_map(|(&number, call)| (0..call.items.len()).map(move |item| (number, item)))
            .collect();
        super::log(format_args!("upgrade: the old process has ended, {} calls with it", lost.len()));
        for (call, item) in lost {
            let ended = calls::Ended {
                call,
                item,
                outcome: upgrade::LOST,
                closed: false,
                report: Vec::new(),
                wait: None,
            };
            self.ended(ended);
        }
    }

    /// The module's number for an endpoint.
    fn endpoint_of(&mut self, uid: &str) -> EndpointId {
        if let Some(&endpoint) = self.by_uid.get(uid) {
            return endpoint;
        }
        let endpoint = EndpointId(self.next_endpoint);
        self.next_endpoint += 1;
        let (uid, kind) = (uid.to_string(), usize::MAX);
        let (address, destination, listed, up, gone) = (None, 0, false, false, None);
        self.by_uid.insert(uid.clone(), endpoint);
        self.routes.insert(endpoint, Route { uid, address, kind, destination, listed, up, gone });
        endpoint
    }

    /// Forgets endpoints that no list has had for a while, that are not out and that no message was sent to.
    fn forget_routes(&mut self) {
        let now = Instant::now();
        let (messages, journal, by_uid) = (&self.messages, &self.journal, &mut self.by_uid);
        if self.routes.values().all(|route| route.listed) {
            return;
        }
        let tried: BTreeSet<EndpointId> =
            messages.values().flat_map(|held| &held.attempts).map(|tried| tried.endpoint).collect();
        self.routes.retain(|endpoint, route| {
            let gone = *route.gone.get_or_insert(now);
            let kept = route.listed || journal.is_out(&route.uid) || tried.contains(endpoint);
            if kept {
                route.gone = None;
            } else if now - gone >= FORGET_AFTER {
                by_uid.remove(&route.uid);
                return false;
            }
            true
        });
    }

    /// Tells the pool whether the endpoint takes calls.
    fn admit(&self, endpoint: EndpointId) {
        let Some(route) = self.routes.get(&endpoint) else { return };
        if let Some(address) = route.address {
            let serving = route.listed && route.up && !self.journal.is_out(&route.uid);
            self.calls.connections().serve(Place { address, endpoint }, serving);
        }
    }

    /// Connections of an old process's calls count among this one's.
    fn count_elsewhere(&self) {
        let count = self.out.values().filter(|call| call.cancels.is_none()).count();
        self.calls.connections().elsewhere(count);
    }

    /// Where an endpoint is.
    fn place_of(&self, endpoint: EndpointId) -> Option<Place> {
        let address = self.routes.get(&endpoint)?.address?;
        Some(Place { address, endpoint })
    }

    /// An endpoint has told to wait, which holds for its whole destination where that is one route: a call to any
    /// of it that has no connection yet must not be written when one comes up.
    fn told_wait(&self, endpoint: EndpointId, wait: Micros) {
        let Some(told) = self.routes.get(&endpoint) else { return };
        let apart = self.settings.kinds.get(told.kind).is_some_and(|kind| kind.separate_routes);
        for (&other, route) in &self.routes {
            let concerned = other == endpoint || !apart && route.destination == told.destination;
            if let Some(address) = route.address.filter(|_| concerned) {
                self.calls.connections().told_wait(Place { address, endpoint: other }, wait);
            }
        }
    }

    /// A turn, and further ones while its own actions led to news for the module.
    fn turns(&mut self) {
        self.turn();
        while !self.events.is_empty() {
            self.turn();
        }
    }

    /// Hands back what an earlier life had taken on; what had ended is owed its notice again.
    fn resume(&mut self, taken_over: bool) {
        let owed = self.journal.owed().clone();
        let now = self.clock.at(Instant::now());
        for owed in owed.values() {
            if let Some(terms) = &owed.terms {
                self.settings.place(terms.class(&owed.taken.class));
            }
        }
        if self.settings != *self.sender.settings() {
            self.events.push(Event::Retuned(Box::new(self.settings.clone())));
        }
        for (number, owed) in owed {
            self.next_message = self.next_message.max(number + 1);
            let message = MessageId(number);
            let class = match &owed.terms {
                Some(terms) => self.settings.place(terms.class(&owed.taken.class)),
                None => {
                    let named = |class: &Class| class.name == owed.taken.class;
                    self.settings.classes.iter().rposition(named).unwrap_or(usize::MAX)
                }
            };
            let new = NewMessage {
                key: owed.origin.subject.as_deref().map(key_of),
                tenant: owed.origin.tenant.as_deref().map(|name| position(&self.names.tenants, name)),
                attempts: owed.terms.as_ref().map(|terms| terms.attempts as usize),
                ..NewMessage::new(message, class, owed.taken.destination, owed.taken.deadline - now)
            };
            if let Some(ending) = owed.ending {
                if !taken_over {
                    self.events.push(Event::Unnoticed(new));
                }
                self.notify(number, owed.taken.id, ending);
                continue;
            }
            if self.messages.contains_key(&message) {
                continue; // handed over, with all that the journal does not hold
            }
            let (Ok(id), key) = (
                HeaderValue::from_str(&owed.taken.id),
                owed.taken.key.as_deref().and_then(|key| HeaderValue::from_str(key).ok()),
            ) else {
                continue;
            };
            let past: Vec<PastAttempt> = owed
                .attempts
                .iter()
                .map(|sent| PastAttempt {
                    endpoint: self.by_uid.get(&sent.uid).copied().unwrap_or(EndpointId(u32::MAX)),
                    sent: sent.sent_at,
                    may_have_run: !sent.never_ran,
                })
                .collect();
            let attempts = past
                .iter()
                .enumerate()
                .map(|(record, past)| Attempt {
                    endpoint: past.endpoint,
                    sent: past.sent,
                    call: u64::MAX,
                    item: 0,
                    out: false,
                    record: Some(record),
                })
                .collect();
            self.events.push(Event::Resumed { message: new, attempts: past });
            let item = Item { id: id.clone(), key, body: owed.taken.body.into() };
            self.messages.insert(message, Message { item, open: true, clients: 1, attempts });
            self.by_id.insert(id, message);
        }
    }

    fn learn(&mut self, input: Input) {
        match input {
            Input::Arrived(arrival) => self.arrive(arrival),
            Input::ClientLeft(id) => {
                let Some(&message) = self.by_id.get(&id) else { return };
                let Some(held) = self.messages.get_mut(&message) else { return };
                held.clients = held.clients.saturating_sub(1);
                if held.clients == 0 {
                    self.events.push(Event::Dropped(message));
                    self.end(message);
                }
            }
            Input::Stopping(at) => self.events.push(Event::Stopping { ends: self.clock.at(at) }),
            Input::Ended(ended) => self.ended(ended),
            Input::Listed(update) => self.list(update, false),
            Input::Retuned(new) => {
                let (settings, names, pool) = *new;
                self.pool = pool;
                self.retune(settings, names);
            }
            Input::Linked(frame) => self.linked(frame),
            Input::LinkLost => self.link_lost(),
            Input::Noticed(numbers) => {
                for number in numbers {
                    let written = self.journal.over(number);
                    self.check(written);
                    self.events.push(Event::Noticed(MessageId(number)));
                }
            }
        }
    }

    fn arrive(&mut self, arrival: Arrival) {
        // a receiver that is gone is a client that left: its guard says so too
        if let Some(&message) = self.by_id.get(&arrival.id) {
            if let Some(held) = self.messages.get_mut(&message) {
                held.clients += 1;
            }
            self.doubled.push((message, arrival.id, arrival.reply));
        } else if self.delivered.contains(&arrival.id) {
            let _ = arrival.reply.send(Answer::Delivered);
        } else {
            let message = MessageId(self.next_message);
            self.next_message += 1;
            let began = self.clock.at(arrival.began);
            let left = began + arrival.time - self.clock.at(Instant::now());
            let new = NewMessage {
                key: arrival.subject.as_deref().map(key_of),
                tenant: arrival.tenant.as_deref().map(|name| position(&self.names.tenants, name)),
                again: arrival.again,
                orphan: arrival.orphan,
                ..NewMessage::new(message, arrival.class, arrival.destination, left)
            };
            self.events.push(Event::Accepted(new));
            let item = Item { id: arrival.id.clone(), key: arrival.key.clone(), body: arrival.body.clone() };
            self.messages.insert(message, Message { item, open: true, clients: 1, attempts: Vec::new() });
            self.by_id.insert(arrival.id.clone(), message);
            self.arrived.insert(message, (arrival, began));
        }
    }

    fn ended(&mut self, ended: calls::Ended) {
        let Some(call) = self.out.get_mut(&ended.call) else { return };
        let Some(&(message, attempt)) = call.items.get(ended.item) else { return };
        call.left -= 1;
        if call.left == 0 {
            let elsewhere = call.cancels.is_none();
            self.out.remove(&ended.call);
            if elsewhere {
                self.count_elsewhere();
            }
        }
        let now = self.clock.at(Instant::now());
        let Some(held) = self.messages.get_mut(&message) else { return };
        let Some(tried) = held.attempts.get_mut(attempt).filter(|tried| tried.out) else { return };
        tried.out = false;
        let (endpoint, latency) = (tried.endpoint, now - tried.sent);
        if let Some(record) = tried.record.filter(|_| ended.outcome.never_ran() && held.open) {
            let written = self.journal.never_ran(message.0, record);
            self.check(written);
        }
        if let Outcome::Refused { wait: Some(wait) } = ended.outcome {
            self.told_wait(endpoint, wait);
        }
        if let Some(wait) = ended.wait {
            self.told_wait(endpoint, wait);
            self.events.push(Event::ToldWait { endpoint, wait });
        }
        if ended.closed {
            if ended.outcome == Outcome::Success {
                self.remember(message);
            }
            self.end(message);
        }
        let closed = self.messages.get(&message).is_none_or(|held| !held.open);
        self.events.push(Event::Ended {
            message,
            attempt,
            endpoint,
            outcome: ended.outcome,
            latency,
            closed,
            report: ended.report,
        });
        self.forget_if_done(message);
    }

    fn remember(&mut self, message: MessageId) {
        let Some(held) = self.messages.get(&message) else { return };
        if self.delivered.len() >= REMEMBERED {
            self.delivered.pop_front();
        }
        self.delivered.push_back(held.item.id.clone());
    }

    /// Nothing more is owed for the message.
    fn end(&mut self, message: MessageId) {
        if self.close(message) {
            let written = self.journal.over(message.0);
            self.check(written);
        }
    }

    /// Marks the message as ended; false if it was.
    fn close(&mut self, message: MessageId) -> bool {
        let Some(held) = self.messages.get_mut(&message).filter(|held| held.open) else { return false };
        held.open = false;
        if self.by_id.get(&held.item.id) == Some(&message) {
            self.by_id.remove(&held.item.id);
        }
        self.forget_if_done(message);
        true
    }

    fn forget_if_done(&mut self, message: MessageId) {
        let done = |held: &Message| !held.open && held.attempts.iter().all(|attempt| !attempt.out);
        if self.messages.get(&message).is_some_and(done) {
            self.messages.remove(&message);
        }
    }

    fn list(&mut self, update: ListUpdate, old: bool) {
        // a list as known that is empty is none: the first watch is to tell all
        if !(old && update.targets.is_empty()) {
            self.list_version = update.version;
        }
        if update.full {
            self.routes.values_mut().for_each(|route| (route.listed, route.up) = (false, false));
        }
        let mut entries = Vec::with_capacity(update.targets.len());
        for listed in update.targets {
            let kind = position(&self.names.kinds, &listed.kind);
            let endpoint = self.endpoint_of(&listed.uid);
            if let Some(route) = self.routes.get_mut(&endpoint) {
                if let Some(address) = route.address.filter(|&before| before != listed.address) {
                    self.calls.connections().serve(Place { address, endpoint }, false);
                }
                route.address = Some(listed.address);
                route.listed = listed.status != Status::Gone;
                route.up = listed.status == Status::Serving;
                (route.kind, route.destination) = (kind, listed.destination);
            }
            if !update.full {
                self.admit(endpoint);
            }
            entries.push(Entry {
                endpoint,
                destination: listed.destination,
                zone: position(&self.names.zones, &listed.zone) as u16,
                kind,
                status: listed.status,
                weight: listed.weight,
            });
        }
        if update.full {
            self.routes.keys().for_each(|&endpoint| self.admit(endpoint));
        }
        self.forget_routes();
        if !entries.is_empty() {
            self.ready.send_replace(true);
        }
        let listing = match (old, update.full) {
            (true, _) => Listing::Old,
            (false, true) => Listing::Full,
            (false, false) => Listing::Changes,
        };
        self.events.push(Event::Listed { listing, entries });
    }

    fn turn(&mut self) {
        let now = self.clock.at(Instant::now());
        if self.alarm.take_if(|at| *at <= now).is_some() {
            self.events.push(Event::Alarm);
        }
        let events = std::mem::take(&mut self.events);
        let mut actions = Vec::new();
        self.sender.handle(now, &events, &mut actions);
        self.answer_arrivals(&actions);
        let mut bundles: Vec<Bundle> = Vec::new();
        for action in actions {
            match action {
                Action::Send { message, endpoint, expires } => {
                    self.send(now, message, endpoint, expires, &mut bundles);
                }
                Action::Cancel { message, attempt } => self.cancel(message, attempt),
                Action::Refuse { message, wait } => {
                    let after_ms = wait.and_then(|wait| u64::try_from(wait / MILLISECOND).ok());
                    self.give_up(message, Ending::Returned { after_ms });
                }
                Action::Fail(message) => self.give_up(message, Ending::Failed),
                Action::SetAlarm(at) => self.alarm = Some(at),
                Action::Disconnect(endpoint) => {
                    if let Some(place) = self.place_of(endpoint) {
                        self.calls.connections().disconnect(place);
                    }
                }
                Action::Log(text) => super::log(format_args!("{text}")),
                // the watch is always on; probes and notes are not to be had on sockets
                Action::Subscribe | Action::Probe(_) | Action::Note(_) => {}
            }
        }
        for bundle in bundles {
            self.start(bundle);
        }
    }

    /// Promises what the module keeps, once it is in the journal; what it ends at once was never promised.
    fn answer_arrivals(&mut self, actions: &[Action]) {
        for (message, (arrival, began)) in std::mem::take(&mut self.arrived) {
            let ends = actions.iter().find_map(|action| match action {
                Action::Refuse { message: m, wait } if *m == message => Some(Answer::Refused { wait: *wait }),
                Action::Fail(m) if *m == message => Some(Answer::Failed),
                _ => None,
            });
            if !self.messages.get(&message).is_some_and(|held| held.open) {
                continue; // its client has left
            }
            let answer = ends.unwrap_or_else(|| self.write_down(message, &arrival, began));
            if answer != Answer::Taken {
                self.close(message);
                if answer == Answer::NoRoom {
                    self.events.push(Event::Dropped(message));
                }
            }
            // a client that is gone has said so by its guard
            let _ = arrival.reply.send(answer);
        }
        for (message, id, reply) in std::mem::take(&mut self.doubled) {
            let held = self.messages.get(&message).is_some_and(|held| held.open);
            let _ = reply.send(match held {
                true => Answer::Taken,
                false if self.delivered.contains(&id) => Answer::Delivered,
                false => Answer::Refused { wait: None },
            });
        }
    }

    fn write_down(&mut self, message: MessageId, arrival: &Arrival, began: Micros) -> Answer {
        // what came from an old process has its class's place too
        let class = self.settings.classes.get(arrival.class);
        let Some(terms) = class.map(|class| Terms::of(class, self.settings.max_attempts)) else {
            return Answer::NoRoom;
        };
        let taken = Taken {
            id: text(&arrival.id),
            key: arrival.key.as_ref().map(text),
            class: class.map(|class| class.name.clone()).unwrap_or_default(),
            destination: arrival.destination,
            taken_at: began,
            deadline: began + arrival.time,
            body: arrival.body.to_vec(),
        };
        let origin = Origin { subject: arrival.subject.clone(), tenant: arrival.tenant.clone() };
        let written = self.journal.take(message.0, taken, origin, terms);
        if self.check(written).is_some() { Answer::Taken } else { Answer::NoRoom }
    }

    fn send(
        &mut self, now: Micros, message: MessageId, endpoint: EndpointId, expires: Micros,
        bundles: &mut Vec<Bundle>,
    ) {
        let Some(held) = self.messages.get_mut(&message) else { return };
        let attempt = held.attempts.len();
        held.attempts.push(Attempt { endpoint, sent: now, call: u64::MAX, item: 0, out: true, record: None });
        let size = calls::bulk_size(&held.item);
        let open = held.open;
        let Some((uid, kind)) = self.routes.get(&endpoint).map(|route| (route.uid.clone(), route.kind))
        else {
            return self.unsent(message, attempt, endpoint);
        };
        let most = self.settings.kinds.get(kind).map_or(1, |kind| kind.bundle_max);
        // one that is not open was dropped in this very turn
        let written = open.then(|| self.journal.sent(message.0, &uid, now));
        let Some(record) = written.and_then(|written| self.check(written)) else {
            return self.unsent(message, attempt, endpoint);
        };
        if let Some(tried) = self.messages.get_mut(&message).and_then(|held| held.attempts.get_mut(attempt)) {
            tried.record = Some(record);
        }
        let room = |bundle: &&mut Bundle| {
            bundle.endpoint == endpoint && bundle.sends.len() < most && bundle.size + size <= BODY_MOST
        };
        match bundles.iter_mut().find(room) {
            Some(bundle) => {
                bundle.sends.push((message, attempt));
                bundle.expires = bundle.expires.max(expires);
                bundle.size += size;
            }
            None => bundles.push(Bundle { endpoint, expires, sends: vec![(message, attempt)], size }),
        }
    }

    /// An attempt that never left: the module hears of it in a turn of its own.
    fn unsent(&mut self, message: MessageId, attempt: usize, endpoint: EndpointId) {
        let Some(held) = self.messages.get_mut(&message) else { return };
        if let Some(tried) = held.attempts.get_mut(attempt) {
            tried.out = false;
        }
        let closed = !held.open;
        let outcome = Outcome::Unsent { no_slot: false };
        let report = Vec::new();
        self.events.push(Event::Ended { message, attempt, endpoint, outcome, latency: 0, closed, report });
        self.forget_if_done(message);
    }

    fn start(&mut self, bundle: Bundle) {
        let number = self.next_call;
        self.next_call += 1;
        let Some(place) = self.place_of(bundle.endpoint) else {
            bundle
                .sends
                .iter()
                .for_each(|&(message, attempt)| self.unsent(message, attempt, bundle.endpoint));
            return;
        };
        let mut items = Vec::with_capacity(bundle.sends.len());
        for (item, &(message, attempt)) in bundle.sends.iter().enumerate() {
            let Some(held) = self.messages.get_mut(&message) else { continue };
            items.push(held.item.clone());
            if let Some(tried) = held.attempts.get_mut(attempt) {
                (tried.call, tried.item) = (number, item);
            }
        }
        let (cancels, receiver) = mpsc::unbounded_channel();
        let left = bundle.sends.len();
        self.out.insert(number, CallOut { cancels: Some(cancels), items: bundle.sends, left });
        let expires = self.clock.instant(bundle.expires);
        self.calls.start(Call { number, place, items, expires }, receiver);
    }

    fn cancel(&mut self, message: MessageId, attempt: usize) {
        let tried = self.messages.get(&message).and_then(|held| held.attempts.get(attempt));
        let Some(tried) = tried.filter(|tried| tried.out) else { return };
        if let Some(call) = self.out.get(&tried.call) {
            // a call that has just ended has told how
            match (&call.cancels, &self.predecessor) {
                (Some(cancels), _) => drop(cancels.send(tried.item)),
                (None, Some((old, _))) => {
                    drop(old.send(Frame::Cancel { call: tried.call, item: tried.item }));
                }
                (None, None) => {}
            }
        }
    }

    /// The module has ended the message undelivered: the platform is told.
    fn give_up(&mut self, message: MessageId, ending: Ending) {
        let Some(held) = self.messages.get(&message).filter(|held| held.open) else {
            // its client's own answer told it: no notice is owed
            return self.events.push(Event::Noticed(message));
        };
        let id = held.item.id.to_str().map(str::to_string).unwrap_or_default();
        let written = self.journal.ending(message.0, ending);
        self.check(written);
        self.close(message);
        self.notify(message.0, id, ending);
    }

    fn notify(&self, number: u64, id: String, ending: Ending) {
        // the poster lives as long as the process
        let _ = self.notices.send(Notice { number, id, ending });
    }

    /// What the journal tells of an entry; none if it was not written.
    fn check<T>(&self, written: Result<T, JournalError>) -> Option<T> {
        written.inspect_err(|error| self.journal_fault.log(format_args!("journal: {error}"))).ok()
    }
}
