//! The event loop: the only owner of the decision module and of the messages.
//!
//! In each turn the driver converts queued inputs into events, passes them to the decision module
//! in one call, and carries out the actions that the decision module returns. The number of inputs
//! in one turn is limited (see [`inputs`]).
//!
//! The main state is in the modules [`endpoints`], [`messages`], [`calls_in_flight`],
//! [`journal_state`], [`completion`] and [`submissions`]. Most other modules contain one operation
//! of the driver, such as a handover or the recovery from the journal.

mod admin;
mod attempts;
mod calls_in_flight;
mod class_terms;
mod completion;
mod draining_predecessor;
mod end_counts;
mod ended_ids;
mod endpoint_list;
mod endpoints;
mod freeze_filter;
mod handover;
mod inputs;
mod journal_state;
mod memory;
mod messages;
mod process_state;
mod recovery;
mod settings;
mod submissions;
mod takeover;
mod turn;
mod violations;

use super::calls::Calls;
use super::class_terms_file::ClassTermsFile;
use super::clock::Clock;
use super::discovery::OutcomeNotification;
use super::events::{AdminCommand, DriverInput, ListUpdate, SettingsUpdate};
use super::handover::{HandoverState, SuccessorRequest};
use super::journal::Journal;
use super::local_errors::RETRY_INTERVAL;
use super::message_log::{self, MessageEvent};
use calls_in_flight::CallsInFlight;
use class_terms::ClassTerms;
use completion::Notifications;
use end_counts::EndCounts;
use endpoint_list::ListState;
use endpoints::Endpoints;
use freeze_filter::{AdmissionJitter, FreezeFilter};
use handover::AfterRequest;

use journal_state::JournalState;
pub use memory::DriverMemory;
use message_sender::class_transition::ClassTransition;
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

/// Interval of the periodic maintenance, which closes idle connections, retries failed journal
/// writes, and checks whether endpoints that a freeze held back can be admitted.
const MAINTENANCE_INTERVAL: Duration = Duration::from_millis(250);

/// Components and channels that the driver uses while it runs.
pub struct Dependencies {
    /// State that the driver shares with the other tasks of the process.
    pub process: ProcessState,
    /// Journal of accepted messages, already open.
    pub journal: Journal,
    /// Starts calls to endpoints.
    pub calls: Calls,
    /// Queue of the task that posts outcome notifications to the platform.
    pub notifications: mpsc::UnboundedSender<OutcomeNotification>,
    /// Set to true once an endpoint is listed; the process then reports itself as ready.
    pub ready: watch::Sender<bool>,
    /// Memory of the process.
    pub memory: DriverMemory,
    /// File with the terms of classes that may still hold for new messages.
    pub class_terms_file: ClassTermsFile,
    /// Seed of the random delays between admissions of endpoints after a freeze.
    pub seed: u64,
}

/// State with which the driver starts.
pub struct InitialState {
    /// Decision module, either new or handed over by the predecessor.
    pub sender: Sender,
    /// Settings read from the configuration file.
    pub settings: SettingsUpdate,
    /// Terms of classes that an earlier process has stored; `None` if there are none.
    pub class_terms: Option<ClassTransition>,
    /// Endpoint list from the configuration file, used until discovery sends one.
    pub configured_list: Option<ListUpdate>,
    /// Fallback rules, in force until rules are leased; `None` if agreement is off.
    pub fallback_rules: Option<RuleBounds>,
    /// Fallback quotas, in force until quotas are leased; `None` if the ledger is off.
    pub fallback_quotas: Option<Quotas>,
    /// State that the predecessor handed over, without the decision module; `None` if no handover
    /// took place.
    pub handover: Option<HandoverState>,
}

/// Channels that the event loop reads.
pub struct DriverChannels {
    /// Input from the other tasks of the process.
    pub inputs: mpsc::UnboundedReceiver<DriverInput>,
    /// Commands of operators, which are handled before all other input.
    pub commands: mpsc::Receiver<AdminCommand>,
    /// Requests of newly started processes to take over from this one.
    pub successors: mpsc::Receiver<SuccessorRequest>,
}

/// Event loop of the process: owns the decision module and all messages.
pub struct Driver {
    sender: Sender,
    clock: Clock,
    names: Names,
    /// Settings as passed to the decision module. Classes, kinds and tenants that were removed from
    /// the configuration remain, so that positions never change while the process runs.
    settings: Settings,
    /// Terms of classes that may hold for new messages.
    class_terms: ClassTerms,
    /// Independent record of each message's calls. It is checked before each call, and forbids
    /// calls that would repeat a message or break the order of its key.
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
    /// Filter that holds back changes of the endpoint list during a freeze; `None` while the freeze
    /// is off.
    freeze: Option<Box<FreezeFilter>>,
    admission_jitter: AdmissionJitter,
    /// Events to pass to the decision module in the next turn.
    events: Vec<Event>,
    /// Time in microseconds at which the decision module requested its next turn.
    timer: Option<Micros>,
    /// Channels to notify once the decision module has handled the queued events, among them the
    /// rules or quotas that a task sent.
    waiting_for_turn: Vec<oneshot::Sender<()>>,
    violations: Violations,
    memory: DriverMemory,
    ready: watch::Sender<bool>,
    process: ProcessState,
    /// Predecessor process, while it still has calls in flight or clients connected.
    predecessor: Option<Predecessor>,
}

impl Driver {
    /// Creates a driver, and queues the events that give the decision module the last known
    /// endpoint list and the messages of the journal.
    pub fn new(dependencies: Dependencies, initial: InitialState) -> Self {
        let InitialState {
            sender,
            settings,
            class_terms,
            configured_list,
            fallback_rules,
            fallback_quotas,
            handover,
        } = initial;
        let file = dependencies.class_terms_file.clone();
        let class_terms = ClassTerms::restore(file, class_terms, &settings.settings);
        let names = settings.names.clone();
        let mut driver = Driver::empty(dependencies, sender, names, class_terms);
        driver.list.is_agreement_on = fallback_rules.is_some();
        let taken_over = handover.is_some();
        if let Some(state) = handover {
            driver.take_over(state);
            // the predecessor's view of the fleet does not apply to this process
            driver.events.push(Event::FleetView(None));
        }
        driver.push_fallbacks(fallback_rules, fallback_quotas, taken_over);
        driver.apply_settings(settings);
        if let Some(list) = configured_list.filter(|_| !taken_over) {
            driver.apply_configured_list(list);
        }
        driver.push_disabled_endpoints();
        driver.recover_messages(taken_over);
        driver
    }

    fn empty(
        dependencies: Dependencies,
        sender: Sender,
        names: Names,
        class_terms: ClassTerms,
    ) -> Self {
        let Dependencies {
            process,
            journal,
            calls,
            notifications,
            ready,
            memory,
            seed,
            ..
        } = dependencies;
        Driver {
            settings: sender.settings().clone(),
            class_terms,
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
            memory,
            ready,
            process,
            predecessor: None,
        }
    }

    /// Queues the fallback rules and quotas. Leases are granted to one process, so those of a
    /// predecessor do not apply to its successor.
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

    /// Returns the version of the endpoint list that is in force.
    pub fn list_version(&self) -> u64 {
        self.list.version
    }

    /// Runs turns until the input channel is closed or a successor owns the messages. After a
    /// handover it also drains the calls and clients that are left.
    pub async fn run(mut self, mut channels: DriverChannels) {
        let mut maintenance = interval(MAINTENANCE_INTERVAL);
        let mut journal_retry = interval(RETRY_INTERVAL);
        journal_retry.set_missed_tick_behavior(MissedTickBehavior::Delay);
        // rules and quotas that were sent before the first turn must already apply to it
        while let Ok(input) = channels.inputs.try_recv() {
            self.receive(input);
        }
        self.take_turns();
        loop {
            let deadline = self.next_deadline();
            tokio::select! {
                // commands come first: operators must be answered within a second, even under heavy
                // input
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
                _ = maintenance.tick() => {
                    if !self.run_maintenance() {
                        continue;
                    }
                }
                // failed writes are retried at short intervals, because no message is accepted and
                // no call begins until the journal can be written
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

    /// Returns the time at which the next turn is due if no input arrives.
    fn next_deadline(&self) -> Option<Instant> {
        let deadlines = [self.timer, self.notifications.next_deadline()];
        let next = deadlines.into_iter().flatten().min();
        next.map(|at| self.clock.instant(at))
    }

    /// Performs the periodic maintenance; returns true if a turn is due afterwards.
    fn run_maintenance(&mut self) -> bool {
        self.calls.connections().run_maintenance();
        self.end_expired_class_terms();
        self.end_counts.log_if_due(Instant::now());
        let held = self.held_for_peers();
        self.memory.log.measure_if_due(held);
        let journal_recovered = self.journal.retry();
        self.admit_unfrozen() || journal_recovered || self.notifications.has_pending()
    }

    /// Logs an event of a message, if the driver still holds the message.
    fn log_event(&self, message: MessageId, event: &MessageEvent<'_>) {
        if let Some(held) = self.messages.get(message) {
            message_log::log_event(&held.item.id, event);
        }
    }
}
