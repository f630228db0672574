//! The event loop: the only owner of the decision module and of the messages.
//!
//! All input that is ready becomes events, the decision module is asked once, and its actions are carried out: one turn.
//! Each kind of state has a module of its own ([`endpoints`], [`messages`], [`calls_in_flight`], [`journal_state`],
//! [`completion`], [`submissions`]); so has each job.

mod admin;
mod attempts;
mod calls_in_flight;
mod completion;
mod draining_predecessor;
mod end_counts;
mod endpoint_list;
mod endpoints;
mod freeze_filter;
mod handover;
mod journal_state;
mod messages;
mod process_state;
mod recovery;
mod settings;
mod submissions;
mod takeover;
mod turn;
mod violations;

use super::calls::Calls;
use super::clock::Clock;
use super::discovery::OutcomeNotification;
use super::events::{AdminCommand, DemandReport, DriverInput, ListUpdate, SettingsUpdate};
use super::handover::{HandoverState, SuccessorRequest};
use super::journal::Journal;
use super::local_errors::RETRY_INTERVAL;
use super::message_log::{self, MessageEvent};
use calls_in_flight::CallsInFlight;
use completion::Notifications;
use end_counts::EndCounts;
use endpoint_list::ListState;
use endpoints::Endpoints;
use freeze_filter::{AdmissionJitter, FreezeFilter};
use handover::AfterRequest;

use journal_state::JournalState;
use message_sender::lifecycle::Lifecycle;
use message_sender::wire::Names;
use message_sender::{AgreedRules, Event, MessageId, Micros, Quotas, RuleBounds, Sender, Settings};
use messages::Messages;
pub use process_state::{ClientSlots, ProcessState};
use std::time::Duration;
use submissions::WaitingClients;
use takeover::Predecessor;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::{Instant, MissedTickBehavior, interval, sleep_until};
use violations::Violations;

/// How often idle connections are closed and frozen entries are looked at.
const SWEEP_INTERVAL: Duration = Duration::from_millis(250);
/// Inputs of one turn, so that a turn stays short: the ends of a call to each of as many endpoints.
const MAX_INPUTS_PER_TURN: usize = 1024;

/// What the driver works with.
pub struct Dependencies {
    /// State that it shares with the other tasks.
    pub process: ProcessState,
    /// The open journal.
    pub journal: Journal,
    /// Starts calls to endpoints.
    pub calls: Calls,
    /// Takes the notifications of undelivered messages.
    pub notifications: mpsc::UnboundedSender<OutcomeNotification>,
    /// Set once endpoints are known.
    pub ready: watch::Sender<bool>,
    /// Seed of the jitter of frozen entries.
    pub seed: u64,
}

/// What the driver starts from.
pub struct InitialState {
    /// The decision module, new or handed over.
    pub sender: Sender,
    /// The settings of the configuration file.
    pub settings: SettingsUpdate,
    /// The endpoint list of the configuration file.
    pub known_list: Option<ListUpdate>,
    /// Rules that hold until some are leased; none while agreement is off.
    pub fallback_rules: Option<RuleBounds>,
    /// Quotas that hold until some are leased; none while the ledger is off.
    pub fallback_quotas: Option<Quotas>,
    /// What a predecessor handed over, but for the decision module.
    pub handover: Option<HandoverState>,
}

/// The channels that the event loop reads.
pub struct DriverChannels {
    /// Input of the other tasks.
    pub inputs: mpsc::UnboundedReceiver<DriverInput>,
    /// Commands of operators.
    pub commands: mpsc::Receiver<AdminCommand>,
    /// Processes that ask to take over.
    pub successors: mpsc::Receiver<SuccessorRequest>,
}

/// Owner of the decision module and of the messages.
pub struct Driver {
    sender: Sender,
    clock: Clock,
    names: Names,
    /// As the decision module has them: all that was ever in force, each at its position.
    settings: Settings,
    /// What has happened to each message: asked before a call begins.
    lifecycle: Lifecycle,
    journal: JournalState,
    messages: Messages,
    clients: WaitingClients,
    calls: Calls,
    calls_in_flight: CallsInFlight,
    notifications: Notifications,
    end_counts: EndCounts,
    endpoints: Endpoints,
    list: ListState,
    /// What a freeze holds back of the list; none while it is off.
    freeze: Option<Box<FreezeFilter>>,
    admission_jitter: AdmissionJitter,
    /// Events of the next turn.
    events: Vec<Event>,
    /// When the decision module wants its next turn.
    timer: Option<Micros>,
    /// Tasks that wait until what they sent binds.
    waiting_for_turn: Vec<oneshot::Sender<()>>,
    violations: Violations,
    ready: watch::Sender<bool>,
    process: ProcessState,
    /// The process before this one, while it has calls in flight or clients connected.
    predecessor: Option<Predecessor>,
}

impl Driver {
    /// A driver whose decision module knows the list as last known and what the journal holds.
    pub fn new(dependencies: Dependencies, initial: InitialState) -> Self {
        let InitialState {
            sender,
            settings,
            known_list,
            fallback_rules,
            fallback_quotas,
            handover,
        } = initial;
        let names = settings.names.clone();
        let mut driver = Driver::empty(dependencies, sender, names);
        driver.list.rules_agreed = fallback_rules.is_some();
        let taken_over = handover.is_some();
        if let Some(state) = handover {
            driver.take_over(state);
            // what the predecessor saw of the fleet is its own
            driver.events.push(Event::FleetView(None));
        }
        driver.push_fallbacks(fallback_rules, fallback_quotas, taken_over);
        driver.apply_settings(settings);
        if let Some(known) = known_list.filter(|_| !taken_over) {
            driver.apply_known_list(known);
        }
        driver.push_disabled_endpoints();
        driver.recover_messages(taken_over);
        driver
    }

    fn empty(dependencies: Dependencies, sender: Sender, names: Names) -> Self {
        let Dependencies {
            process,
            journal,
            calls,
            notifications,
            ready,
            seed,
        } = dependencies;
        Driver {
            settings: sender.settings().clone(),
            sender,
            clock: process.clock,
            names,
            lifecycle: Lifecycle::default(),
            journal: JournalState::new(journal),
            messages: Messages::default(),
            clients: WaitingClients::default(),
            calls,
            calls_in_flight: CallsInFlight::default(),
            notifications: Notifications::new(notifications),
            end_counts: EndCounts::new(Instant::now()),
            endpoints: Endpoints::default(),
            list: ListState::default(),
            freeze: None,
            admission_jitter: AdmissionJitter::new(seed),
            events: Vec::new(),
            timer: None,
            waiting_for_turn: Vec::new(),
            violations: Violations::default(),
            ready,
            process,
            predecessor: None,
        }
    }

    /// A start begins with the fallbacks: what a predecessor was granted is its own.
    fn push_fallbacks(
        &mut self,
        rules: Option<RuleBounds>,
        quotas: Option<Quotas>,
        taken_over: bool,
    ) {
        if taken_over || rules.is_some() {
            let rules = rules.map(|fallback| {
                Box::new(AgreedRules {
                    leased: None,
                    fallback,
                })
            });
            self.events.push(Event::AgreedRules(rules));
        }
        if taken_over || quotas.is_some() {
            self.events.push(Event::Quotas(quotas.map(Box::new)));
        }
    }

    fn push_disabled_endpoints(&mut self) {
        let disabled: Vec<String> = self
            .journal
            .disabled_endpoints()
            .map(str::to_string)
            .collect();
        for uid in disabled {
            let endpoint = self.endpoints.id_or_new(&uid);
            self.events.push(Event::Disabled(endpoint));
        }
    }

    /// The version of the list that is in force.
    pub fn list_version(&self) -> u64 {
        self.list.version
    }

    /// Turns until the inputs end, or until another process owns the messages.
    pub async fn run(mut self, mut channels: DriverChannels) {
        let mut sweep = interval(SWEEP_INTERVAL);
        let mut journal_retry = interval(RETRY_INTERVAL);
        journal_retry.set_missed_tick_behavior(MissedTickBehavior::Delay);
        // what was sent before the first turn binds it
        while let Ok(input) = channels.inputs.try_recv() {
            self.receive(input);
        }
        self.take_turns();
        loop {
            let deadline = self.next_deadline();
            tokio::select! {
                // operators wait a second at most, however much input waits
                biased;
                Some(command) = channels.commands.recv() => {
                    if !self.execute(command) {
                        continue;
                    }
                }
                Some(request) = channels.successors.recv() => match self.hand_over(request).await {
                    AfterRequest::Continue => {}
                    AfterRequest::Drain(link) => {
                        let draining = self.into_draining_predecessor(link);
                        return draining.run(channels.inputs, channels.commands).await;
                    }
                    AfterRequest::Exit => return,
                },
                _ = sweep.tick() => {
                    if !self.sweep() {
                        continue;
                    }
                }
                // all waits for the disk meanwhile
                _ = journal_retry.tick(), if self.journal.is_reported_failing() => {
                    if !self.journal.retry() {
                        continue;
                    }
                }
                input = channels.inputs.recv() => match input {
                    Some(input) => self.receive(input),
                    None => return,
                },
                () = sleep_until(deadline.unwrap_or_else(Instant::now)), if deadline.is_some() => {}
            }
            self.receive_waiting(&mut channels.inputs);
            self.take_turns();
        }
    }

    /// When the next turn is due without further input.
    fn next_deadline(&self) -> Option<Instant> {
        let deadlines = [self.timer, self.notifications.next_deadline()];
        let next = deadlines.into_iter().flatten().min();
        next.map(|at| self.clock.instant(at))
    }

    /// Regular work; true if a turn is due.
    fn sweep(&mut self) -> bool {
        self.calls.connections().run_maintenance();
        self.end_counts.log_if_due(Instant::now());
        let journal_recovered = self.journal.retry();
        self.admit_unfrozen() || journal_recovered || self.notifications.has_pending()
    }

    /// Further input that has come already.
    fn receive_waiting(&mut self, inputs: &mut mpsc::UnboundedReceiver<DriverInput>) {
        for _ in 0..MAX_INPUTS_PER_TURN {
            let Ok(input) = inputs.try_recv() else { break };
            self.receive(input);
        }
    }

    /// Turns one input to events of the next turn.
    fn receive(&mut self, input: DriverInput) {
        match input {
            DriverInput::Submitted(submission) => self.receive_submission(submission),
            DriverInput::ClientDisconnected(client) => self.client_disconnected(&client),
            DriverInput::ShuttingDown(at) => {
                self.end_counts.log(Instant::now());
                self.events.push(Event::ShuttingDown {
                    at: self.clock.at(at),
                });
            }
            DriverInput::AttemptEnded(end) => self.attempt_ended(end),
            DriverInput::RetryAfter { endpoint, wait } => self.retry_after(endpoint, wait),
            DriverInput::EndpointList(update) => self.receive_list(update),
            DriverInput::ListStale(stale) => self.events.push(Event::EndpointListStale(stale)),
            DriverInput::NotificationsAccepted(accepted) => self.notifications_accepted(accepted),
            DriverInput::AgreedRules { rules, applied } => {
                self.list.rules_agreed = rules.is_some();
                self.events.push(Event::AgreedRules(rules));
                self.waiting_for_turn.push(applied);
            }
            DriverInput::Quotas { quotas, applied } => {
                self.events.push(Event::Quotas(quotas));
                self.waiting_for_turn.push(applied);
            }
            DriverInput::Freeze(change) => self.change_freeze(change),
            DriverInput::FleetHealth {
                destination,
                unavailable,
            } => self.events.push(Event::FleetHealth {
                destination,
                unavailable,
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
            DriverInput::FleetView(view) => self.events.push(Event::FleetView(view)),
            DriverInput::SettingsChanged(update) => self.apply_settings(*update),
            DriverInput::Handover(message) => self.receive_from_predecessor(message),
            DriverInput::HandoverLinkLost => self.predecessor_lost(),
        }
    }

    /// Logs a step of the message.
    fn log_event(&self, message: MessageId, event: &MessageEvent<'_>) {
        if let Some(held) = self.messages.get(message) {
            message_log::record(&held.item.id, event);
        }
    }
}
