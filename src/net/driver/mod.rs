//! The turns: all that is ready becomes events, the decision module is asked once, its actions become calls.
//! This is the only owner of the module and of the messages.

mod frozen;
mod handing;
mod intake;
mod orders;
mod outcomes;
mod routes;
mod undelivered;
mod violations;

use super::RateLimitedLog;
use super::calls::{CallOut, Calls, Item};
use super::clock::Clock;
use super::discovery::Notice;
use super::events::{
    AdminCommand, DemandReport, DriverInput, HandoverMessage, ListUpdate, SettingsUpdate,
    Submission, SubmissionResult,
};
use super::journal::{Ending, Journal, JournalError};
use super::local_errors::RETRY_INTERVAL;
use super::server::Classes;
use super::upgrade::{Handover, Link, Lock, Successor};
use hyper::header::HeaderValue;
use message_sender::decisions::InFlightAttempt;
use message_sender::lifecycle::Lifecycle;
use message_sender::pool::PoolSettings;
use message_sender::wire::Names;
use message_sender::{
    Action, Agreed, Bounds, EndpointId, Event, MILLISECOND, MessageId, Micros, Quotas, Sender,
    Settings,
};
use std::cell::Cell;
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{Semaphore, mpsc, oneshot, watch};
use tokio::time::{Instant, MissedTickBehavior, sleep_until};
use undelivered::Untold;
use violations::Violations;

/// Delivered ids that are remembered, for clients whose request crossed a closed connection.
const REMEMBERED: usize = 4096;
/// How often idle connections are looked at.
const SWEEP: Duration = Duration::from_millis(250);
/// What goes and comes back within this time is the same endpoint still, with its waits: longer than these are.
const FORGET_AFTER: Duration = Duration::from_secs(10);
/// Inputs taken into one turn, so that a turn stays short: the ends of a call to each of as many endpoints.
const MOST_AT_ONCE: usize = 1024;

#[derive(Clone)]
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

/// A turn's sends to one endpoint that travel together.
struct Bundle {
    endpoint: EndpointId,
    expires: Micros,
    /// None of them may begin later.
    start_by: Option<Micros>,
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
    /// Its zone and weight, as listed last.
    zone: String,
    weight: f64,
    /// Since when nothing needs it any more, as far as that has been looked at.
    gone: Option<Instant>,
}

/// What the driver has in common with the rest of the process.
pub struct Shared {
    pub clock: Clock,
    pub inputs: mpsc::UnboundedSender<DriverInput>,
    pub lock: Lock,
    /// The clients' places, and how many there are when none is taken.
    pub places: Arc<Semaphore>,
    pub most: usize,
    /// What clients may name.
    pub classes: Classes,
    /// Tells that the process takes nothing new, and that another has taken over.
    pub draining: Rc<Cell<bool>>,
    pub handed: watch::Sender<bool>,
    /// The number of senders that the decisions scale by.
    pub counted: Rc<Cell<u32>>,
    /// The version of the list that they go by.
    pub listed: Rc<Cell<u64>>,
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
    /// Attempts of all messages that have no outcome yet.
    attempts_out: usize,
    violations: Violations,
    /// What has happened to each message: asked before a call begins.
    lifecycle: Lifecycle,
    by_id: HashMap<HeaderValue, MessageId>,
    next_message: u64,
    out: BTreeMap<u64, CallOut>,
    next_call: u64,
    delivered: VecDeque<HeaderValue>,
    /// Messages that came in this turn, with their clients and the times when these sent them.
    arrived: BTreeMap<MessageId, (Submission, Micros)>,
    /// Clients that handed in once more what came in this turn: a promise to them must wait for the journal.
    doubled: Vec<(MessageId, HeaderValue, oneshot::Sender<SubmissionResult>)>,
    events: Vec<Event>,
    alarm: Option<Micros>,
    journal_fault: RateLimitedLog,
    /// What the module knows of the journal: that it can't be written.
    host_failing: bool,
    /// Ends that are not durable yet, and so not told.
    untold: Vec<Untold>,
    list_version: u64,
    /// Senders agree on rules, and the list is the registry's: no lower version than this is taken.
    agreed: bool,
    /// A lower version came: what changes of it tell rests on another list.
    behind: bool,
    behind_fault: RateLimitedLog,
    /// What a freeze holds of the lists.
    frozen: Option<Box<frozen::Frozen>>,
    ramp: frozen::Ramp,
    /// Those that wait until agreed rules bind.
    binding: Vec<oneshot::Sender<()>>,
    shared: Shared,
    /// The old process, while it has calls out or clients connected, and the places that its clients hold.
    predecessor: Option<(mpsc::UnboundedSender<HandoverMessage>, usize)>,
}

impl Driver {
    /// Sets the module up and hands it the list as last known and what the journal holds.
    #[allow(clippy::too_many_arguments)]
    pub fn new(
        sender: Sender,
        settings: Settings,
        names: Names,
        pool: PoolSettings,
        known: Option<ListUpdate>,
        journal: Journal,
        calls: Calls,
        notices: mpsc::UnboundedSender<Notice>,
        ready: watch::Sender<bool>,
        shared: Shared,
        handover: Option<Handover>,
        floor: Option<Bounds>,
        floors: Option<Quotas>,
        seed: u64,
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
            attempts_out: 0,
            violations: Violations::default(),
            lifecycle: Lifecycle::default(),
            by_id: HashMap::new(),
            next_message: 0,
            out: BTreeMap::new(),
            next_call: 0,
            delivered: VecDeque::new(),
            arrived: BTreeMap::new(),
            doubled: Vec::new(),
            events: Vec::new(),
            alarm: None,
            journal_fault: RateLimitedLog::default(),
            host_failing: false,
            untold: Vec::new(),
            list_version: 0,
            agreed: floor.is_some(),
            behind: false,
            behind_fault: RateLimitedLog::default(),
            frozen: None,
            ramp: frozen::Ramp(seed),
            binding: Vec::new(),
            shared,
            predecessor: None,
        };
        let taken_over = handover.is_some();
        if let Some(handover) = handover {
            driver.take_over(handover);
        }
        if taken_over {
            // what the old process saw of the others is its own affair
            driver.events.push(Event::Fleet(None));
        }
        // a start begins on the floor: what an old process was granted is its own
        let agreed = floor.map(|fallback| {
            Box::new(Agreed {
                leased: None,
                fallback,
            })
        });
        if taken_over || agreed.is_some() {
            driver.events.push(Event::Agreed(agreed));
        }
        if taken_over || floors.is_some() {
            driver.events.push(Event::Shared(floors.map(Box::new)));
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
        mut self,
        mut inputs: mpsc::UnboundedReceiver<DriverInput>,
        mut orders: mpsc::Receiver<AdminCommand>,
        mut successors: mpsc::Receiver<Successor>,
    ) {
        let mut sweep = tokio::time::interval(SWEEP);
        let mut disk = tokio::time::interval(RETRY_INTERVAL);
        disk.set_missed_tick_behavior(MissedTickBehavior::Delay);
        // what was told before the first turn binds it
        while let Ok(input) = inputs.try_recv() {
            self.learn(input);
        }
        self.turns();
        loop {
            let alarm = [self.alarm, self.next_untold()].into_iter().flatten().min();
            let alarm = alarm.map(|at| self.clock.instant(at));
            tokio::select! {
                // operators wait a second at most, however much waits to be done
                biased;
                Some(order) = orders.recv() => match order {
                    AdminCommand::SetDisabled { uid, disabled: out, reply } => self.obey(uid, out, reply),
                    AdminCommand::PoolReport { reply } => {
                        let uid_of = |id: EndpointId| Some(self.routes.get(&id)?.uid.clone());
                        // an operator that has gone asks again
                        let _ = reply.send(self.calls.connections().report(uid_of));
                        continue;
                    }
                    AdminCommand::FreezeReport { reply } => {
                        // without an answer it is off
                        if let Some(report) = self.freeze_report() {
                            let _ = reply.send(report);
                        }
                        continue;
                    }
                },
                Some(successor) = successors.recv() => match self.hand_over(successor).await {
                    Next::GoOn => {}
                    Next::Leave(link) => return self.leave(link).run(inputs, orders).await,
                    Next::End => return,
                },
                _ = sweep.tick() => {
                    self.calls.connections().run_maintenance();
                    let recovered = self.retry_disk();
                    if !self.thaw() && !recovered && self.untold.is_empty() {
                        continue;
                    }
                }
                // all waits for the disk meanwhile
                _ = disk.tick(), if self.host_failing => {
                    if !self.retry_disk() {
                        continue;
                    }
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

    /// Tries again what the disk failed; whether it takes records again.
    fn retry_disk(&mut self) -> bool {
        let written = self.journal.retry();
        self.check(written);
        self.host_failing && !self.journal.is_failing()
    }

    /// The list that is known, by its version.
    pub fn list_version(&self) -> u64 {
        self.list_version
    }

    /// A turn, and further ones while its own actions led to news for the module.
    fn turns(&mut self) {
        self.turn();
        while !self.events.is_empty() || self.find_lost_attempts() {
            self.turn();
        }
        self.tell_durable_ends();
    }

    fn learn(&mut self, input: DriverInput) {
        match input {
            DriverInput::Submitted(arrival) => self.arrive(arrival),
            DriverInput::ClientDisconnected(id) => {
                let Some(&message) = self.by_id.get(&id) else {
                    return;
                };
                let Some(held) = self.messages.get_mut(&message) else {
                    return;
                };
                held.clients = held.clients.saturating_sub(1);
                if held.clients == 0 {
                    self.events.push(Event::Dropped(message));
                    self.end(message);
                }
            }
            DriverInput::ShuttingDown(at) => self.events.push(Event::Stopping {
                ends: self.clock.at(at),
            }),
            DriverInput::AttemptEnded(ended) => self.ended(ended),
            DriverInput::RetryAfter { endpoint, wait } => {
                self.told_wait(endpoint, wait);
                self.events.push(Event::ToldWait { endpoint, wait });
            }
            DriverInput::AgreedRules { rules, applied } => {
                self.agreed = rules.is_some();
                self.events.push(Event::Agreed(rules));
                self.binding.push(applied);
            }
            DriverInput::Quotas { quotas, applied } => {
                self.events.push(Event::Shared(quotas));
                self.binding.push(applied);
            }
            DriverInput::Freeze(freezing) => self.freeze(freezing),
            DriverInput::FleetHealth {
                destination,
                unavailable,
            } => self.events.push(Event::Word {
                destination,
                out: unavailable,
            }),
            DriverInput::Demand {
                complete_up_to,
                reply,
            } => {
                let (listed, by_destination) = self.sender.demand_in_use(complete_up_to);
                // a ledger client that is off by now asks no more
                let _ = reply.send(DemandReport {
                    listed,
                    by_destination,
                });
            }
            DriverInput::FleetView(view) => self.events.push(Event::Fleet(view)),
            DriverInput::EndpointList(update) => self.list(update, false),
            DriverInput::ListStale(stale) => self.events.push(Event::Stale(stale)),
            DriverInput::SettingsChanged(new) => {
                let SettingsUpdate {
                    settings,
                    names,
                    pool,
                } = *new;
                self.pool = pool;
                self.retune(settings, names);
            }
            DriverInput::Handover(frame) => self.linked(frame),
            DriverInput::HandoverLinkLost => self.link_lost(),
            DriverInput::NotificationsDelivered(numbers) => {
                for number in numbers {
                    let written = self.journal.over(number);
                    self.check(written);
                    self.lifecycle.over(MessageId(number));
                    self.events.push(Event::Noticed(MessageId(number)));
                }
            }
        }
    }

    fn turn(&mut self) {
        let now = self.clock.at(Instant::now());
        if self.alarm.take_if(|at| *at <= now).is_some() {
            self.events.push(Event::Alarm);
        }
        if self.journal.is_failing() != self.host_failing {
            self.host_failing = !self.host_failing;
            let state = if self.host_failing {
                "takes nothing: no call begins"
            } else {
                "takes records again"
            };
            super::log(format_args!("journal: the disk {state}"));
            self.events.push(Event::HostFailing(self.host_failing));
        }
        let events = std::mem::take(&mut self.events);
        let mut actions = Vec::new();
        self.sender.handle(now, &events, &mut actions);
        for binds in self.binding.drain(..) {
            // the part that waits lives as long as the process
            let _ = binds.send(());
        }
        let counted = self.sender.fleet_size();
        let before = self.shared.counted.replace(counted);
        if counted != before
            && events
                .iter()
                .any(|event| matches!(event, Event::Fleet(_) | Event::Alarm))
        {
            super::log(format_args!(
                "members: limits are shared by {counted} senders, no longer by {before}"
            ));
        }
        self.answer_arrivals(&actions);
        let mut bundles: Vec<Bundle> = Vec::new();
        for action in actions {
            match action {
                Action::Send {
                    message,
                    attempt,
                    endpoint,
                    expires,
                    start_by,
                } => {
                    let attempt = InFlightAttempt {
                        message,
                        number: attempt,
                        endpoint,
                    };
                    self.send(now, attempt, (expires, start_by), &mut bundles);
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
                        self.calls.connections().close_idle(place);
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

    /// What the journal tells of an entry; none if it was not written.
    fn check<T>(&self, written: Result<T, JournalError>) -> Option<T> {
        written
            .inspect_err(|error| self.journal_fault.log(format_args!("journal: {error}")))
            .ok()
    }
}
