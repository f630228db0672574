//! What the membership module costs and how soon it knows, by the number of members: the real module in passed-in time.

#[cfg(test)]
mod tests;

use super::places::{Domain, is_in_first};
use super::resources::resident;
use super::simulation::{Direction, Member, Simulation, Used, address, name};
use super::spread::Spread;
use clap::{Args, ValueEnum};
use fleet_membership::{Micros, Node, PersistedState, Settings, SettingsError, State};
use serde::Serialize;
use std::collections::HashMap;

const SECOND: Micros = 1_000_000;
/// Longest cold start that is waited for.
const COLD_START: Micros = 600 * SECOND;
/// After a start the bitmap of who holds the view goes along with 60 datagrams of each member, some 25 s at rest.
const SETTLE: Micros = 40 * SECOND;
/// How long rest is measured: sixty probes of each member.
const REST: Micros = 60 * SECOND;
/// Longest time that is waited until all know a change.
const KNOWN: Micros = 240 * SECOND;
/// How long a domain is cut off: longer than the longest suspicion of a fleet of this size.
const CUT: Micros = 180 * SECOND;
/// A rolling release takes so much of the fleet at once, and the next batch so long after.
const BATCH: usize = 50;
const BATCH_EVERY: Micros = 10 * SECOND;
/// How long one that is restarted is away.
const AWAY: Micros = 5 * SECOND;
/// Batches of the release that are played: an eighth of the fleet.
const BATCHES: usize = 6;
/// A key as in service: each datagram is hashed with it.
const KEY: &[u8; 32] = b"a key of the simulated fleet, 32";

/// What fails.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Fault {
    /// One member leaves, one dies, one joins.
    None,
    /// A rack of 20 is cut off and back.
    Rack,
    /// A zone, one in 15, is cut off and back.
    Zone,
    /// A region, three zones of 15, is cut off and back.
    Region,
    /// Members are restarted in batches of a fiftieth.
    Rolling,
}

impl Fault {
    fn domain(self) -> Option<Domain> {
        match self {
            Fault::Rack => Some(Domain::Rack),
            Fault::Zone => Some(Domain::Zone),
            Fault::Region => Some(Domain::Region),
            Fault::None | Fault::Rolling => None,
        }
    }
}

/// What is played.
#[derive(Debug, Clone, Args)]
pub struct Order {
    /// Members of the fleet.
    #[arg(long)]
    pub members: usize,
    /// Seed of all that is drawn.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Part of the datagrams that are lost.
    #[arg(long, default_value_t = 0.0, value_parser = probability)]
    pub loss: f64,
    /// What fails.
    #[arg(long, value_enum, default_value_t = Fault::None)]
    pub fault: Fault,
    /// A domain's datagrams do not reach the others, while theirs reach it.
    #[arg(long)]
    pub one_way: bool,
}

fn probability(text: &str) -> Result<f64, String> {
    let value: f64 = text.parse().map_err(|error| format!("{error}"))?;
    if (0.0..1.0).contains(&value) {
        Ok(value)
    } else {
        Err("not from 0 to below 1".to_string())
    }
}

/// What each member used in a span of time.
#[derive(Debug, Clone, Copy, Default, Serialize)]
pub struct Rates {
    /// How long it was, seconds of passed-in time.
    pub seconds: f64,
    /// Bytes sent a second, headers included.
    pub bytes_out: Spread,
    /// Bytes received a second, headers included.
    pub bytes_in: Spread,
    /// Datagrams sent a second.
    pub messages_out: Spread,
    /// Datagrams received a second.
    pub messages_in: Spread,
    /// CPU seconds in the module for each second.
    pub cpu: Spread,
}

/// How soon a change was known: seconds after it, for each member that had to learn of each.
#[derive(Debug, Clone, Copy, Default, Serialize)]
pub struct Known {
    /// Over all pairs of an observer and a member that changed.
    pub seconds: Spread,
    /// Pairs that had not learned of it when the wait ended.
    pub missing: usize,
}

/// What a domain's cut or a release came to.
#[derive(Debug, Clone, Copy, Default, Serialize)]
pub struct FaultFigures {
    /// Members that were cut off or restarted.
    pub affected: usize,
    /// Until those that were not affected held them for dead.
    pub dead: Option<Known>,
    /// What members used while it lasted.
    pub during: Rates,
    /// Seconds from its end until all counted alike; none: not in the time that was waited.
    pub agreed: Option<f64>,
    /// What members used from its end until then.
    pub after: Rates,
    /// Times that one held another for dead that ran and that it could reach: while it lasted, and after it.
    pub wrong_deaths: (usize, usize),
}

/// All of one run.
#[derive(Debug, Clone, Serialize)]
pub struct Figures {
    /// Members.
    pub members: usize,
    /// Seed.
    pub seed: u64,
    /// Part of the datagrams that were lost.
    pub loss: f64,
    /// What failed.
    pub fault: Fault,
    /// In one direction alone.
    pub one_way: bool,
    /// Seconds from a start of all until each counted all; none: not in the time that was waited.
    pub cold_start: Option<f64>,
    /// What members used until then.
    pub starting: Rates,
    /// Resident memory of the process for each member, bytes.
    pub memory: u64,
    /// At rest.
    pub rest: Rates,
    /// A member's leaving.
    pub leave: Option<Known>,
    /// A member's death.
    pub death: Option<Known>,
    /// A member's coming.
    pub join: Option<Known>,
    /// Seconds until the one that came counted all; none: not in the time that was waited.
    pub joined: Option<f64>,
    /// What failed together.
    pub failed: Option<FaultFigures>,
    /// Times that one held another for dead that ran and that it could reach.
    pub wrong_deaths: usize,
    /// Pairs at the end of which one holds the other for something else than it is.
    pub disagreements: usize,
}

/// The settings of a member, as in service.
fn settings(member: usize, members: usize) -> Settings {
    let configured = u32::try_from(members).unwrap_or(u32::MAX);
    let mut settings = Settings::new(&name(member), address(member), configured);
    settings.seeds = [1, 2]
        .map(|step| address((member + step) % members))
        .to_vec();
    settings.key = Some(KEY.to_vec());
    // a table has to have room for the whole fleet
    settings.max_members = settings.max_members.max(members);
    settings
}

/// A member that starts now.
pub fn real(member: usize, members: usize, seed: u64, now: Micros) -> Result<Node, SettingsError> {
    // no two processes start at the same microsecond
    Node::new(
        settings(member, members),
        PersistedState::default(),
        seed,
        now + member as Micros,
        now,
    )
}

/// Makes the members of a fleet: number, members of the fleet, seed, time.
pub type Make<M> = fn(usize, usize, u64, Micros) -> Result<M, SettingsError>;

/// Plays a fleet of the real module.
///
/// # Errors
/// The module refuses the settings, or memory can't be read.
pub fn measure(order: &Order) -> anyhow::Result<Figures> {
    anyhow::ensure!(
        order.members > 1,
        "--members: a fleet has two members at least"
    );
    Run::begin(order, real)?.play()
}

/// A run under way.
pub struct Run<M> {
    order: Order,
    make: Make<M>,
    fleet: Simulation<M>,
    resident_before: u64,
    wrong_deaths: usize,
}

impl<M: Member> Run<M> {
    /// Starts all members together.
    ///
    /// # Errors
    /// The module refuses the settings, or memory can't be read.
    pub fn begin(order: &Order, make: Make<M>) -> anyhow::Result<Self> {
        let resident_before = resident()?;
        let fleet = Simulation::new(order.members, order.seed, order.loss);
        let mut run = Run {
            order: order.clone(),
            make,
            fleet,
            resident_before,
            wrong_deaths: 0,
        };
        for member in 0..order.members {
            run.start(member)?;
        }
        Ok(run)
    }

    fn start(&mut self, member: usize) -> Result<(), SettingsError> {
        let seed = self.fleet.draw();
        let made = (self.make)(member, self.order.members, seed, self.fleet.now)?;
        self.fleet.start(member, made);
        Ok(())
    }

    /// Plays all of it.
    ///
    /// # Errors
    /// The module refuses the settings, or memory can't be read.
    pub fn play(mut self) -> anyhow::Result<Figures> {
        let (cold_start, starting) = self.cold_start();
        let rest = self.rest();
        let memory = resident()?.saturating_sub(self.resident_before) / self.order.members as u64;
        let order = self.order.clone();
        let mut figures = Figures {
            members: order.members,
            seed: order.seed,
            loss: order.loss,
            fault: order.fault,
            one_way: order.one_way,
            cold_start,
            starting,
            memory,
            rest,
            leave: None,
            death: None,
            join: None,
            joined: None,
            failed: None,
            wrong_deaths: 0,
            disagreements: 0,
        };
        match order.fault {
            Fault::None => {
                figures.leave = Some(self.leave());
                figures.death = Some(self.death());
                let (known, joined) = self.join()?;
                (figures.join, figures.joined) = (Some(known), joined);
            }
            Fault::Rolling => figures.failed = Some(self.release()?),
            Fault::Rack | Fault::Zone | Fault::Region => {
                figures.failed = order.fault.domain().map(|domain| self.domain(domain));
            }
        }
        self.count_wrong_deaths();
        figures.wrong_deaths = self.wrong_deaths;
        figures.disagreements = self.fleet.disagreements();
        Ok(figures)
    }

    fn cold_start(&mut self) -> (Option<f64>, Rates) {
        let before = (self.fleet.now, self.fleet.used());
        let time = self.fleet.until(COLD_START, Simulation::counts_agree);
        self.fleet.forget_seen();
        (time.map(seconds), self.rates(before))
    }

    /// What members use at rest.
    pub fn rest(&mut self) -> Rates {
        self.fleet.run(SETTLE);
        let before = (self.fleet.now, self.fleet.used());
        self.fleet.run(REST);
        self.rates(before)
    }

    fn rates(&self, (since, before): (Micros, Vec<Used>)) -> Rates {
        let time = seconds(self.fleet.now - since).max(f64::MIN_POSITIVE);
        let used = self.fleet.used();
        let spread = |of: fn(&Used) -> u64| {
            let each = used
                .iter()
                .zip(&before)
                .map(|(now, before)| (of(now) - of(before)) as f64 / time);
            Spread::of(each.collect())
        };
        Rates {
            seconds: time,
            bytes_out: spread(|used| used.bytes_out),
            bytes_in: spread(|used| used.bytes_in),
            messages_out: spread(|used| used.messages_out),
            messages_in: spread(|used| used.messages_in),
            cpu: {
                let Spread { median, p99, worst } = spread(|used| used.cpu_ns);
                Spread {
                    median: median / 1e9,
                    p99: p99 / 1e9,
                    worst: worst / 1e9,
                }
            },
        }
    }

    fn leave(&mut self) -> Known {
        let subject = self.order.members / 3;
        self.change(|fleet| fleet.leave(subject));
        self.wait_known(&[subject], State::Left, self.fleet.now)
    }

    fn death(&mut self) -> Known {
        let subject = self.order.members / 2;
        self.change(|fleet| fleet.kill(subject));
        self.wait_known(&[subject], State::Dead, self.fleet.now)
    }

    /// Until all know of it, and until it counts all.
    fn join(&mut self) -> Result<(Known, Option<f64>), SettingsError> {
        let subject = self.order.members / 3;
        self.change(|_| ());
        let since = self.fleet.now;
        self.start(subject)?;
        let joined = self
            .fleet
            .until(KNOWN, |fleet| fleet.counts_all(subject))
            .map(seconds);
        Ok((self.wait_known(&[subject], State::Alive, since), joined))
    }

    /// Notes the deaths that were told before, and makes a change.
    fn change(&mut self, make: impl FnOnce(&mut Simulation<M>)) {
        self.count_wrong_deaths();
        self.fleet.forget_seen();
        make(&mut self.fleet);
    }

    fn count_wrong_deaths(&mut self) {
        let wrong = self
            .fleet
            .seen
            .iter()
            .filter(|seen| seen.state == State::Dead && seen.reachable);
        self.wrong_deaths += wrong.count();
    }

    /// Waits until every member that runs knows of these.
    fn wait_known(&mut self, subjects: &[usize], state: State, since: Micros) -> Known {
        let observers: Vec<usize> = self
            .fleet
            .running()
            .filter(|index| !subjects.contains(index))
            .collect();
        let pairs = observers.len() * subjects.len();
        // pairs are counted only where something was told since the last look
        let mut told = 0;
        self.fleet.until(KNOWN, |fleet| {
            if fleet.seen.len() == told {
                return false;
            }
            told = fleet.seen.len();
            times(fleet, &observers, subjects, state, since).len() >= pairs
        });
        let times = times(&self.fleet, &observers, subjects, state, since);
        Known {
            missing: pairs - times.len(),
            seconds: Spread::of(times),
        }
    }

    /// Cuts a domain off, and heals.
    fn domain(&mut self, domain: Domain) -> FaultFigures {
        let direction = if self.order.one_way {
            Direction::Outward
        } else {
            Direction::Both
        };
        let group: Vec<usize> = (0..self.order.members)
            .filter(|&member| is_in_first(domain, member))
            .collect();
        let others: Vec<usize> = (0..self.order.members)
            .filter(|&member| !is_in_first(domain, member))
            .collect();
        let since = self.fleet.now;
        self.change(|fleet| fleet.cut(Some(direction), |member| is_in_first(domain, member)));
        let before = (since, self.fleet.used());
        self.fleet.run(CUT);
        let during = self.rates(before);
        let times = times(&self.fleet, &others, &group, State::Dead, since);
        let missing = others.len() * group.len() - times.len();
        let dead = Some(Known {
            missing,
            seconds: Spread::of(times),
        });
        self.change(|fleet| fleet.cut(None, |_| false));
        FaultFigures {
            dead,
            ..self.recovery(group.len(), during)
        }
    }

    /// Restarts batch after batch.
    fn release(&mut self) -> Result<FaultFigures, SettingsError> {
        let batch = self.order.members.div_ceil(BATCH);
        let restarted: Vec<usize> = (0..self.order.members).take(batch * BATCHES).collect();
        let before = (self.fleet.now, self.fleet.used());
        self.change(|_| ());
        for batch in restarted.chunks(batch) {
            batch.iter().for_each(|&member| self.fleet.leave(member));
            self.fleet.run(AWAY);
            for &member in batch {
                self.start(member)?;
            }
            self.fleet.run(BATCH_EVERY - AWAY);
        }
        let during = self.rates(before);
        self.change(|_| ());
        Ok(self.recovery(restarted.len(), during))
    }

    /// What follows once a fault has ended, until all count alike.
    fn recovery(&mut self, affected: usize, during: Rates) -> FaultFigures {
        let wrong_during = self.wrong_deaths;
        let before = (self.fleet.now, self.fleet.used());
        let agreed = self
            .fleet
            .until(KNOWN, Simulation::counts_agree)
            .map(seconds);
        let after = self.rates(before);
        self.change(|_| ());
        let wrong_deaths = (wrong_during, self.wrong_deaths - wrong_during);
        FaultFigures {
            affected,
            dead: None,
            during,
            agreed,
            after,
            wrong_deaths,
        }
    }
}

/// Seconds after which each observer first held each subject for this.
fn times<M: Member>(
    fleet: &Simulation<M>,
    observers: &[usize],
    subjects: &[usize],
    state: State,
    since: Micros,
) -> Vec<f64> {
    let mut first: HashMap<(usize, usize), Micros> = HashMap::new();
    for seen in fleet.seen.iter().filter(|seen| seen.state == state) {
        first
            .entry((seen.observer, seen.subject))
            .or_insert(seen.at);
    }
    let pairs = observers
        .iter()
        .flat_map(|&observer| subjects.iter().map(move |&subject| (observer, subject)));
    pairs
        .filter_map(|pair| first.get(&pair))
        .map(|at| seconds(at.saturating_sub(since)))
        .collect()
}

fn seconds(time: Micros) -> f64 {
    time as f64 / SECOND as f64
}
