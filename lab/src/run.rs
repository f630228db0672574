//! One run: starts the world and the fleet, plays the plan, waits for the last end, and checks.

use crate::agreement;
use crate::check::check;
use crate::clients::{self, Front};
use crate::figures;
use crate::fleet::{Addresses, Fleet};
use crate::history::{self, Event, Head, History};
use crate::limits;
use crate::members;
use crate::plan::{Act, CLASSES, Plan, Step, micros};
use crate::registry::Replicas;
use crate::relay::{Datagrams, Net, watch_lateness};
use crate::scenario::Scenario;
use crate::serve::World;
use crate::usage;
use crate::violation::Violation;
use anyhow::{Context, bail};
use hyper::Method;
use rustix::process::{Resource, Signal, getrlimit};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::{sleep, sleep_until, timeout};

/// A sender must be ready this long after its start.
const READY_WITHIN: Duration = Duration::from_secs(30);
/// A run in which the lab was later than this shows the lab's faults, not the senders'.
const VOID_LATE: Duration = Duration::from_millis(250);
/// After the last deadline, for notices under way.
const SETTLE: Duration = Duration::from_millis(1500);
/// How often each sender is asked for its members.
const ASK_MEMBERS: Duration = Duration::from_millis(250);
/// Clients that write the registry's list conditionally, all upon the same versions.
const WRITERS: usize = 8;
/// How often each sender is asked what rules it acts on.
const ASK_RULES: Duration = Duration::from_millis(100);
/// Between two lines that tell how far a run is, us.
const PROGRESS_US: u64 = 5_000_000;
/// Senders that are started together, so that starting them does not make the lab late.
const START_TOGETHER: usize = 20;

/// What to run.
#[derive(Debug, Clone)]
pub struct Order {
    pub scenario: Scenario,
    pub seed: u64,
    pub program: PathBuf,
    /// The registry's program.
    pub registry: PathBuf,
    /// Gets the history, the plan and the senders' folders.
    pub out: PathBuf,
}

/// How it went.
#[derive(Debug)]
pub struct Outcome {
    pub violations: Vec<Violation>,
    /// Why the run tells nothing, if it does not.
    pub void: Option<String>,
    pub figures: Figures,
}

/// What was counted.
#[derive(Debug, Default, Clone, PartialEq, serde::Serialize)]
pub struct Figures {
    pub handed: usize,
    pub taken: usize,
    pub delivered: usize,
    pub notices: usize,
    pub calls: usize,
    pub refused_calls: usize,
    pub datagrams: u64,
    pub datagram_bytes: u64,
    pub datagrams_lost: u64,
    pub lab_late_ms: f64,
    pub worth: figures::Worth,
    pub evenness: figures::Evenness,
    /// Of the senders' processes at the end.
    pub usage: usage::Usage,
    /// What the senders saw of one another's ends and of the ends of faults.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub members: Vec<members::Seen>,
    /// How the senders agreed on rules.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub agreement: Option<agreement::Agreed>,
    /// How they held limits together.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub limits: Option<limits::Limited>,
}

/// Plays a run.
///
/// # Errors
/// Something that the lab needs is not to be had, or a sender never got ready.
pub async fn run(order: &Order) -> anyhow::Result<Outcome> {
    let Order {
        scenario,
        seed,
        program,
        registry,
        out,
    } = order;
    let plan = Plan::draw(scenario, *seed).map_err(anyhow::Error::msg)?;
    check_means(scenario)?;
    let program = program
        .canonicalize()
        .with_context(|| program.display().to_string())?;
    std::fs::create_dir_all(out).with_context(|| out.display().to_string())?;
    let out = out.canonicalize()?;
    std::fs::write(out.join("plan.json"), serde_json::to_vec(&plan)?)?;
    let path = out.join("history.jsonl");
    let head = Head {
        version: history::VERSION,
        scenario: scenario.name.clone(),
        seed: *seed,
        senders: scenario.senders,
        ends_us: micros(scenario.seconds),
        period_us: scenario.period_us(),
    };
    let history = Arc::new(History::create(&path, &head)?);
    tokio::spawn(watch_lateness(history.clone()));
    let net = Net::new(*seed, history.clone());
    let addresses = Arc::new(Addresses::claim()?);
    let places = (0..scenario.replicas())
        .map(|replica| addresses.replica(replica, false))
        .collect();
    let world = World::new(scenario, *seed, net.clone(), places);
    let all = 0..scenario.senders;
    let mut discovery = Vec::new();
    for sender in all.clone() {
        discovery.push(world.listen_for(sender, addresses.lab(sender)).await?);
    }
    let (stands, own): (Vec<_>, Vec<_>) = all
        .clone()
        .map(|sender| (addresses.stands(sender), addresses.members(sender)))
        .unzip();
    Datagrams::start(net.clone(), &stands, &own).await?;
    let replicas = match &scenario.registry {
        Some(settings) => {
            let program = registry.clone();
            let replicas =
                Replicas::start_all(scenario, settings, program, &out, addresses.clone(), &net)
                    .await?;
            replicas
                .asker()
                .write(Method::POST, "/v1/endpoints", world.batch())
                .await;
            if let Some(ledger) = &settings.ledger {
                let (asker, count) = (replicas.asker(), scenario.destinations.count);
                asker.limit(count, ledger.limit_per_s, &history).await;
                let (history, ledger) = (history.clone(), ledger.clone());
                tokio::spawn(async move {
                    sleep(Duration::from_secs_f64(ledger.lower_at)).await;
                    asker.limit(count, ledger.lower_to_per_s, &history).await;
                });
            }
            Some(replicas)
        }
        None => None,
    };
    let front = Front::new(
        net.clone(),
        all.clone()
            .map(|sender| addresses.clients(sender))
            .collect(),
    );
    let fleet = Fleet::new(
        program,
        out.clone(),
        addresses,
        history.clone(),
        discovery,
        scenario.clone(),
        *seed,
    );
    let mut play = Play {
        net,
        world,
        front: front.clone(),
        fleet,
        replicas,
        history: history.clone(),
    };
    let played = play.play(&plan, scenario).await;
    for (sender, line) in play.fleet.violations() {
        history.tell(Event::Violated { sender, line });
    }
    history.tell(Event::Over {});
    let usage = play.fleet.usage();
    play.fleet.kill_all();
    play.replicas.iter_mut().for_each(Replicas::kill_all);
    sleep(Duration::from_millis(50)).await;
    history.flush()?;
    played?;
    let (_, records) = history::read(&path)?;
    let (late, [datagrams, datagram_bytes, datagrams_lost]) = history.counts();
    let members = if head.period_us.is_some() {
        members::figures(&head, &records)
    } else {
        Vec::new()
    };
    let figures = Figures {
        members,
        agreement: scenario
            .registry
            .is_some()
            .then(|| agreement::figures(&records)),
        limits: scenario
            .ledger()
            .is_some()
            .then(|| limits::figures(&records)),
        usage,
        worth: figures::worth(&records),
        evenness: figures::evenness(&records, scenario.endpoints()),
        datagrams,
        datagram_bytes,
        datagrams_lost,
        lab_late_ms: late.as_secs_f64() * 1e3,
        ..count(&records)
    };
    let void = (late > VOID_LATE).then(|| format!("the lab was {} ms late", late.as_millis()));
    Ok(Outcome {
        violations: check(&head, &records),
        void,
        figures,
    })
}

/// Descriptors: a listener for each sender and endpoint, and connections beside them.
fn check_means(scenario: &Scenario) -> anyhow::Result<()> {
    let each = 4 + 3 * scenario.endpoints() as u64 + 4 * scenario.replicas() as u64;
    let needed = scenario.senders as u64 * each + 200;
    let limit = getrlimit(Resource::Nofile).current.unwrap_or(u64::MAX);
    if limit < needed {
        bail!(
            "descriptors are short: a run of this size needs {needed}, the limit is {limit} (ulimit -n)"
        );
    }
    Ok(())
}

fn count(records: &[history::Record]) -> Figures {
    let mut figures = Figures::default();
    let mut ids = std::collections::HashSet::new();
    for record in records {
        match &record.event {
            Event::Handed { .. } => figures.handed += 1,
            Event::Answered {
                status: 200 | 202, ..
            } => figures.taken += 1,
            Event::Called { .. } => figures.calls += 1,
            Event::Replied { status: 503, .. } => figures.refused_calls += 1,
            Event::Replied {
                id, status: 200, ..
            } if ids.insert(id) => figures.delivered += 1,
            Event::Notice { .. } => figures.notices += 1,
            _ => {}
        }
    }
    figures
}

struct Play {
    net: Arc<Net>,
    world: Arc<World>,
    front: Arc<Front>,
    fleet: Fleet,
    replicas: Option<Replicas>,
    history: Arc<History>,
}

impl Play {
    async fn play(&mut self, plan: &Plan, scenario: &Scenario) -> anyhow::Result<()> {
        let all: Vec<usize> = (0..scenario.senders).collect();
        for some in all.chunks(START_TOGETHER) {
            for &sender in some {
                self.fleet.start(sender)?;
            }
            for &sender in some {
                let ended = self.fleet.ended(sender);
                if !clients::ready(self.fleet.addresses().clients(sender), READY_WITHIN, &ended)
                    .await
                {
                    bail!("n{sender} never got ready: see its log");
                }
                self.history.tell(Event::Ready { sender });
                self.front.set_used(sender, true);
            }
        }
        tracing::info!(senders = scenario.senders, "all are ready");
        let begin = self.history.now_us();
        if let (Some(settings), Some(replicas)) = (&scenario.registry, &self.replicas) {
            let (asker, every) = (replicas.asker(), Duration::from_secs_f64(settings.change_s));
            tokio::spawn(asker.clone().change_rules(every, self.history.clone()));
            for client in 0..WRITERS {
                tokio::spawn(
                    asker
                        .clone()
                        .write_conditionally(client, self.history.clone()),
                );
            }
        }
        let mut handing = tokio::spawn(self.front.clone().play(plan.arrivals.clone(), begin));
        let (later, mut due) = mpsc::unbounded_channel();
        let asking = scenario.membership.is_some();
        let mut ask = tokio::time::interval(ASK_MEMBERS);
        let mut ask_rules = tokio::time::interval(ASK_RULES);
        let mut steps = plan.steps.iter();
        let mut next = steps.next();
        let last_step = plan.steps.last().map_or(0, |step| step.at_us);
        // the members are given their time to agree, and some views more
        let agreed_by = scenario
            .period_us()
            .map_or(0, |period| last_step + period * (members::SETTLES + 10));
        let longest = CLASSES
            .iter()
            .map(|class| class.deadline_s)
            .fold(0.0, f64::max);
        let mut ends = None;
        let mut settled = None;
        let mut told = 0;
        loop {
            let at = next.map(|step| self.history.instant(begin + step.at_us));
            tokio::select! {
                () = async { sleep_until(at.unwrap_or_else(tokio::time::Instant::now)).await }, if at.is_some() => {
                    if let Some(Step { what, .. }) = next {
                        self.act(what, &later).await?;
                    }
                    next = steps.next();
                }
                Some(step) = due.recv() => self.follow_up(step),
                _ = ask.tick() => {
                    let at = self.history.now_us() - begin;
                    if at / PROGRESS_US != told {
                        told = at / PROGRESS_US;
                        tracing::info!(at_s = at / 1_000_000, owed = self.history.owed(), "running");
                    }
                    if asking {
                        self.ask_all(&all, "/members", |sender, view| Event::Members { sender, view });
                    }
                    // nothing is handed in, done or owed any more, for long enough to hear of a second end
                    let quiet = ends.is_some() && next.is_none() && self.history.owed() == 0 && at > agreed_by;
                    settled = quiet.then(|| settled.unwrap_or_else(tokio::time::Instant::now));
                    if settled.is_some_and(|since| since.elapsed() >= SETTLE) {
                        return Ok(());
                    }
                }
                _ = ask_rules.tick(), if scenario.registry.is_some() => {
                    self.ask_all(&all, "/agreement", |sender, report| Event::Rules { sender, report });
                    if scenario.ledger().is_some() {
                        self.ask_all(&all, "/ledger", |sender, report| Event::Parts { sender, report });
                    }
                }
                _ = &mut handing, if ends.is_none() => {
                    // until no message can be owed: its end may come with the last deadline
                    let left = last_step.max(agreed_by).saturating_sub(self.history.now_us() - begin);
                    let quiet = micros(longest).max(left);
                    ends = Some(self.history.instant(self.history.now_us() + quiet) + SETTLE);
                }
                () = async { sleep_until(ends.unwrap_or_else(tokio::time::Instant::now)).await }, if ends.is_some() && next.is_none() => {
                    return Ok(());
                }
            }
        }
    }

    async fn act(
        &mut self,
        what: &Act,
        later: &mpsc::UnboundedSender<Later>,
    ) -> anyhow::Result<()> {
        self.history.step(what);
        match what {
            Act::Impair {
                fault,
                from,
                to,
                how,
            } => {
                self.net
                    .change(|links| links.impair(*fault, from, to, *how));
            }
            Act::Heal { fault } => self.net.change(|links| links.heal(*fault)),
            Act::Reset { from, to } => self.net.reset(from.clone(), to.clone()),
            Act::Kill { sender } => {
                self.front.set_used(*sender, false);
                self.fleet.signal(*sender, Signal::KILL, true);
            }
            Act::Term { sender } => {
                self.front.set_used(*sender, false);
                self.fleet.signal(*sender, Signal::TERM, true);
            }
            Act::Start {
                sender,
                folder_lost,
            } => {
                if *folder_lost {
                    self.fleet.lose_folder(*sender);
                }
                self.fleet.start(*sender)?;
                self.when_ready(*sender, later, None);
            }
            Act::Stop { sender } => self.fleet.signal(*sender, Signal::STOP, false),
            Act::Continue { sender } => self.fleet.signal(*sender, Signal::CONT, false),
            Act::Upgrade { sender } => {
                let end_old = self.fleet.part_with(*sender);
                self.fleet.start(*sender)?;
                let end_old = end_old.map(|end| Box::new(end) as Box<dyn FnOnce() + Send>);
                self.when_ready(*sender, later, end_old);
            }
            Act::FailCalls {
                sender,
                call,
                number,
                percent,
            } => {
                self.fleet.fail_calls(*sender, call, *number, *percent)?;
            }
            Act::RestoreCalls { sender, call } => self.fleet.restore_calls(*sender, call)?,
            Act::Shut { endpoint, shut } => self.world.shut(*endpoint, *shut),
            Act::Discovery { up } => self.world.set_discovery(*up),
            Act::List { endpoint, up } => {
                let path = format!("/v1/endpoints/e{endpoint}");
                let (method, path, body) = match up {
                    true => (Method::PUT, path, self.world.target(*endpoint)),
                    false => (Method::POST, format!("{path}/drain"), String::new()),
                };
                if let Some(asker) = self.replicas.as_ref().map(Replicas::asker) {
                    // it is written once a replica can
                    tokio::spawn(async move { asker.write(method, &path, body).await });
                }
            }
            Act::Replica { replica, what } => {
                if let Some(replicas) = &mut self.replicas {
                    replicas.act(*replica, *what).await?;
                }
            }
        }
        Ok(())
    }

    fn when_ready(
        &self,
        sender: usize,
        later: &mpsc::UnboundedSender<Later>,
        then: Option<Box<dyn FnOnce() + Send>>,
    ) {
        let (control, later, ended) = (
            self.fleet.control(sender),
            later.clone(),
            self.fleet.ended(sender),
        );
        tokio::spawn(async move {
            let Some(control) = control else { return };
            let ready = clients::ready(control, READY_WITHIN, &ended).await;
            // the run has ended meanwhile
            let _ = later.send(Later {
                sender,
                ready,
                then,
            });
        });
    }

    fn follow_up(
        &mut self,
        Later {
            sender,
            ready,
            then,
        }: Later,
    ) {
        if !ready {
            tracing::warn!(sender, "never got ready after its start");
            return;
        }
        self.history.tell(Event::Ready { sender });
        self.front.set_used(sender, true);
        if let Some(then) = then {
            then();
        }
    }

    /// Asks each sender for a report, beside all else.
    fn ask_all(
        &self,
        all: &[usize],
        path: &'static str,
        event: fn(usize, serde_json::Value) -> Event,
    ) {
        for &sender in all {
            let Some(control) = self.fleet.control(sender) else {
                continue;
            };
            let history = self.history.clone();
            tokio::spawn(async move {
                let answer = clients::get(control, path, Duration::from_secs(1)).await;
                let report = answer.and_then(|(_, body)| serde_json::from_slice(&body).ok());
                if let Some(report) = report {
                    history.tell(event(sender, report));
                }
            });
        }
    }
}

/// A start is over.
struct Later {
    sender: usize,
    ready: bool,
    then: Option<Box<dyn FnOnce() + Send>>,
}

/// Reads a scenario's file.
///
/// # Errors
/// Names the file and the line.
pub fn read_scenario(path: &Path) -> anyhow::Result<Scenario> {
    let text = std::fs::read_to_string(path).with_context(|| path.display().to_string())?;
    Scenario::read(&text).with_context(|| path.display().to_string())
}

/// Ends a run that takes longer than its faults, deadlines and starts can.
pub async fn bounded(order: &Order) -> anyhow::Result<Outcome> {
    let faults = order
        .scenario
        .faults
        .iter()
        .map(|fault| fault.get_ref().at + fault.get_ref().seconds);
    let longest =
        faults.fold(order.scenario.seconds, f64::max) + 60.0 + 0.2 * order.scenario.senders as f64;
    timeout(Duration::from_secs_f64(longest), run(order))
        .await
        .context("the run hung")?
}
