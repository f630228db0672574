//! A run in progress: starts the senders, applies the faults in their time, polls the senders for reports, and ends when
//! nothing is left to happen.

use crate::check::membership;
use crate::clients::{self, Frontend, SenderState};
use crate::crowd::Crowd;
use crate::fleet::Fleet;
use crate::history::{Event, History};
use crate::process::LabProcess;
use crate::registry::Replicas;
use crate::relay::Net;
use crate::scenario::{Registry, Scenario};
use crate::schedule::{FaultAction, Schedule, ScheduledAction};
use crate::serve::Simulation;
use crate::workload::{CLASSES, micros};
use anyhow::bail;
use hyper::Method;
use rustix::process::Signal;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::{Instant, interval, sleep_until};

/// A sender must be ready this long after its start.
const READY_WITHIN: Duration = Duration::from_secs(30);
/// After the last deadline, for outcome notifications under way.
const SETTLE_TIME: Duration = Duration::from_millis(1500);
/// How often each sender is polled for its members.
const MEMBERS_POLL: Duration = Duration::from_millis(250);
/// How often each sender is polled for the rules and quotas that it acts on.
const RULES_POLL: Duration = Duration::from_millis(100);
/// How often the memory of each sender is measured.
const MEMORY_POLL: Duration = Duration::from_millis(25);
/// How long a sender may take to answer a poll.
const POLL_TIMEOUT: Duration = Duration::from_secs(1);
/// Clients that write the registry's list conditionally, all upon the same versions.
const CONDITIONAL_WRITERS: usize = 8;
/// Between two log lines on how far a run is, us.
const PROGRESS_US: u64 = 5_000_000;
/// Senders that are started together, so that starting them does not make the lab late.
const START_BATCH: usize = 20;
/// Protocol periods for which members are polled after they must agree.
const POLLED_PERIODS: u64 = 10;

/// All parts of a run.
pub struct ActiveRun {
    /// The links between parties.
    pub net: Arc<Net>,
    /// Endpoints and discovery.
    pub simulation: Arc<Simulation>,
    /// The clients' side.
    pub frontend: Arc<Frontend>,
    /// The senders.
    pub fleet: Fleet,
    /// The registry, if the scenario has one.
    pub replicas: Option<Replicas>,
    /// Crowds of clients, by sender.
    pub crowds: HashMap<usize, Crowd>,
    /// What happens.
    pub history: Arc<History>,
}

/// A sender's process got ready after a start in the run, or did not in time.
struct StartResult {
    sender: usize,
    ready: bool,
    /// The process that it takes over from.
    predecessor: Option<LabProcess>,
}

/// When a run is over, in microseconds since the run or the clients began, as the names say.
struct EndConditions {
    /// When the clients began, since the run did.
    begin_us: u64,
    /// The last action of the schedule, since the clients began.
    last_action_us: u64,
    /// Until when members must agree and be polled, since the clients began.
    agreed_by_us: u64,
    /// The latest end of the run, once clients submit no more.
    latest_end: Option<Instant>,
    /// Since when nothing is left to happen.
    quiet_since: Option<Instant>,
}

impl ActiveRun {
    /// Plays the schedule until its end.
    ///
    /// # Errors
    /// A sender never got ready, or an action could not be carried out.
    pub async fn run(&mut self, schedule: &Schedule, scenario: &Scenario) -> anyhow::Result<()> {
        self.start_senders(scenario.senders).await?;
        let begin_us = self.history.now_us();
        if let Some(settings) = &scenario.registry {
            self.start_registry_clients(settings);
        }
        let frontend = self.frontend.clone();
        let mut clients = tokio::spawn(frontend.run(schedule.arrivals.clone(), begin_us));
        let (start_results, mut started) = mpsc::unbounded_channel();
        let mut members_poll = interval(MEMBERS_POLL);
        let mut rules_poll = interval(RULES_POLL);
        let mut memory_poll = interval(MEMORY_POLL);
        let mut actions = schedule.actions.iter();
        let mut next = actions.next();
        let mut end = EndConditions::new(schedule, scenario, begin_us);
        let mut last_progress = 0;
        loop {
            let next_at = next.map(|action| self.history.instant(begin_us + action.at_us));
            tokio::select! {
                () = sleep_until(next_at.unwrap_or_else(Instant::now)), if next_at.is_some() => {
                    if let Some(ScheduledAction { action, .. }) = next {
                        self.apply(action, &start_results).await?;
                    }
                    next = actions.next();
                }
                Some(result) = started.recv() => self.finish_start(result),
                _ = members_poll.tick() => {
                    let at_us = self.history.now_us() - begin_us;
                    if at_us / PROGRESS_US != last_progress {
                        last_progress = at_us / PROGRESS_US;
                        self.log_progress(at_us);
                    }
                    if scenario.membership.is_some() {
                        self.poll_members();
                    }
                    if end.is_settled(at_us, next.is_none(), &self.history) {
                        return Ok(());
                    }
                }
                _ = memory_poll.tick() => self.fleet.check_memory(),
                _ = rules_poll.tick(), if scenario.registry.is_some() => self.poll_rules(scenario),
                _ = &mut clients, if end.latest_end.is_none() => end.clients_ended(&self.history),
                () = sleep_until(end.latest_end.unwrap_or_else(Instant::now)),
                    if end.latest_end.is_some() && next.is_none() => return Ok(()),
            }
        }
    }

    async fn start_senders(&mut self, count: usize) -> anyhow::Result<()> {
        let senders: Vec<usize> = (0..count).collect();
        for batch in senders.chunks(START_BATCH) {
            for &sender in batch {
                self.fleet.start(sender)?;
            }
            for &sender in batch {
                let address = self.fleet.addresses().client_address(sender);
                let exited = self.fleet.exited(sender);
                if !clients::ready(address, READY_WITHIN, &exited).await {
                    bail!("n{sender} never got ready: see its log");
                }
                self.history.record(Event::ProcessReady { sender });
                self.frontend.set_state(sender, SenderState::InUse);
            }
        }
        tracing::info!(senders = count, "all are ready");
        Ok(())
    }

    /// Starts what changes the registry's rules and list while the run lasts.
    fn start_registry_clients(&self, settings: &Registry) {
        let Some(replicas) = &self.replicas else {
            return;
        };
        let client = replicas.client();
        let interval = Duration::from_secs_f64(settings.change_s);
        let history = self.history.clone();
        tokio::spawn(client.clone().change_rules(interval, history));
        for writer in 0..CONDITIONAL_WRITERS {
            let history = self.history.clone();
            tokio::spawn(client.clone().write_conditionally(writer, history));
        }
    }

    fn log_progress(&self, at_us: u64) {
        let pending = self.history.pending_messages();
        tracing::info!(at_s = at_us / 1_000_000, pending, "running");
    }

    fn poll_members(&self) {
        self.poll_senders("/members", |sender, view| Event::MembershipReported {
            sender,
            view,
        });
    }

    fn poll_rules(&self, scenario: &Scenario) {
        self.poll_senders("/agreement", |sender, report| Event::RulesReported {
            sender,
            report,
        });
        if scenario.ledger().is_some() {
            self.poll_senders("/ledger", |sender, report| Event::QuotasReported {
                sender,
                report,
            });
        }
    }

    /// Asks each sender that runs for a report, without waiting for the answers.
    fn poll_senders(&self, path: &'static str, event: fn(usize, serde_json::Value) -> Event) {
        for sender in 0..self.fleet.len() {
            let Some(control) = self.fleet.control_address(sender) else {
                continue;
            };
            let history = self.history.clone();
            tokio::spawn(async move {
                let answer = clients::get(control, path, POLL_TIMEOUT).await;
                let report = answer.and_then(|(_, body)| serde_json::from_slice(&body).ok());
                if let Some(report) = report {
                    history.record(event(sender, report));
                }
            });
        }
    }

    async fn apply(
        &mut self,
        action: &FaultAction,
        start_results: &mpsc::UnboundedSender<StartResult>,
    ) -> anyhow::Result<()> {
        self.history.record_step(action);
        match action {
            FaultAction::Impair {
                fault,
                from,
                to,
                impairment,
            } => self
                .net
                .change(|links| links.impair(*fault, from, to, *impairment)),
            FaultAction::Heal { fault } => self.net.change(|links| links.heal(*fault)),
            FaultAction::Reset { from, to } => self.net.reset(from.clone(), to.clone()),
            FaultAction::Kill { sender } => {
                self.frontend.set_state(*sender, SenderState::Down);
                self.fleet.kill(*sender);
            }
            FaultAction::Term { sender } => {
                self.frontend.set_state(*sender, SenderState::draining());
                self.fleet.terminate(*sender);
            }
            FaultAction::Crowd {
                sender,
                connections,
                sends,
            } => {
                let address = self.fleet.addresses().client_address(*sender);
                let crowd = Crowd::start(address, *connections, *sends);
                self.crowds.insert(*sender, crowd);
            }
            FaultAction::SpoilAnswers { party, spoiled } => {
                self.simulation.spoil_answers(*party, *spoiled)
            }
            FaultAction::Start {
                sender,
                folder_lost,
            } => {
                if *folder_lost {
                    self.fleet.remove_state(*sender);
                }
                self.fleet.start(*sender)?;
                self.await_ready(*sender, start_results, None);
            }
            FaultAction::Stop { sender } => self.fleet.signal(*sender, Signal::STOP),
            FaultAction::Continue { sender } => self.fleet.signal(*sender, Signal::CONT),
            FaultAction::Upgrade { sender } => {
                let predecessor = self.fleet.supersede(*sender);
                self.fleet.start(*sender)?;
                self.await_ready(*sender, start_results, predecessor);
            }
            FaultAction::FailCalls {
                sender,
                call,
                number,
                percent,
            } => self.fleet.fail_calls(*sender, call, *number, *percent)?,
            FaultAction::RestoreCalls { sender, call } => {
                self.fleet.restore_calls(*sender, call)?
            }
            FaultAction::Shut { endpoint, shut } => self.simulation.shut(*endpoint, *shut),
            FaultAction::Discovery { up } => self.simulation.set_discovery(*up),
            FaultAction::List { endpoint, up } => self.list_endpoint(*endpoint, *up),
            FaultAction::Replica { replica, action } => {
                if let Some(replicas) = &mut self.replicas {
                    replicas.apply(*replica, *action).await?;
                }
            }
        }
        Ok(())
    }

    /// Has the registry list an endpoint as up or as draining, as soon as a replica can write it.
    fn list_endpoint(&self, endpoint: usize, up: bool) {
        let Some(client) = self.replicas.as_ref().map(Replicas::client) else {
            return;
        };
        let path = format!("/v1/endpoints/e{endpoint}");
        if up {
            let body = self.simulation.listed_endpoint(endpoint);
            tokio::spawn(async move { client.write(Method::PUT, &path, body).await });
        } else {
            let path = format!("{path}/drain");
            tokio::spawn(async move { client.write(Method::POST, &path, String::new()).await });
        }
    }

    /// Sends the result of a sender's start once it is known.
    fn await_ready(
        &self,
        sender: usize,
        start_results: &mpsc::UnboundedSender<StartResult>,
        predecessor: Option<LabProcess>,
    ) {
        let Some(control) = self.fleet.control_address(sender) else {
            return;
        };
        let exited = self.fleet.exited(sender);
        let start_results = start_results.clone();
        tokio::spawn(async move {
            let ready = clients::ready(control, READY_WITHIN, &exited).await;
            // the run may have ended meanwhile
            let _ = start_results.send(StartResult {
                sender,
                ready,
                predecessor,
            });
        });
    }

    fn finish_start(&mut self, result: StartResult) {
        let sender = result.sender;
        if !result.ready {
            tracing::warn!(sender, "never got ready after its start");
            return;
        }
        self.history.record(Event::ProcessReady { sender });
        self.frontend.set_state(sender, SenderState::InUse);
        if let Some(predecessor) = result.predecessor {
            predecessor.end(Signal::TERM);
        }
    }
}

impl EndConditions {
    fn new(schedule: &Schedule, scenario: &Scenario, begin_us: u64) -> Self {
        let last_action_us = schedule.actions.last().map_or(0, |action| action.at_us);
        let periods = membership::SETTLING_PERIODS + POLLED_PERIODS;
        let agreed_by_us = scenario
            .period_us()
            .map_or(0, |period_us| last_action_us + period_us * periods);
        EndConditions {
            begin_us,
            last_action_us,
            agreed_by_us,
            latest_end: None,
            quiet_since: None,
        }
    }

    /// Sets the latest end: when no message can be pending, as its outcome may come with the last deadline.
    fn clients_ended(&mut self, history: &History) {
        let longest_deadline_s = CLASSES
            .iter()
            .map(|class| class.deadline_s)
            .fold(0.0, f64::max);
        let now_us = history.now_us();
        let left_us = self
            .last_action_us
            .max(self.agreed_by_us)
            .saturating_sub(now_us - self.begin_us);
        let end_us = now_us + micros(longest_deadline_s).max(left_us);
        self.latest_end = Some(history.instant(end_us) + SETTLE_TIME);
    }

    /// True if nothing was left to happen for long enough to hear of a second outcome of a message.
    fn is_settled(&mut self, at_us: u64, actions_done: bool, history: &History) -> bool {
        let is_quiet = self.latest_end.is_some()
            && actions_done
            && history.pending_messages() == 0
            && at_us > self.agreed_by_us;
        self.quiet_since = is_quiet.then(|| self.quiet_since.unwrap_or_else(Instant::now));
        self.quiet_since
            .is_some_and(|since| since.elapsed() >= SETTLE_TIME)
    }
}
