//! Membership among the senders: the socket, the clock and the file round the protocol. Off unless the configuration
//! has a `membership` object.

pub mod settings;

use super::clock::Clock;
use super::events::{DriverInput, ReportRequest};
use super::{RateLimitedLog, log};
use fleet_membership::{
    Change, Datagram, MAX_DATAGRAM_BYTES, MemberReport, Node, Output, PersistedState, State, View,
};
use message_sender::FleetView;
use serde_json::json;
use settings::Membership;
use std::cell::Cell;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::sync::{mpsc, watch};
use tokio::time::{Instant, sleep_until, timeout_at};

/// What is remembered, in the lasting folder, and the most that it takes there, twice while it is replaced.
const FILE: &str = "members";
pub const DISK: u64 = 2 * 4096;
/// How often it is written, at most.
const KEEP_EVERY: Duration = Duration::from_secs(5);
/// Between two tries for the socket: an old process may still have the address, and leaves it within 3.3 s.
const AGAIN: Duration = Duration::from_millis(100);
/// Datagrams taken before something else has its turn.
const AT_ONCE: usize = 64;
/// Lines of the log for changes in so long; more are counted.
const LINES: u32 = 400;
const LINES_IN: Duration = Duration::from_secs(10);

/// What the part shares with the rest of the process.
pub struct Means {
    pub clock: Clock,
    pub seed: u64,
    /// The lasting folder.
    pub state: PathBuf,
    pub inputs: mpsc::UnboundedSender<DriverInput>,
    /// The number of senders that the decisions scale by now.
    pub counted: Rc<Cell<u32>>,
}

/// Takes part for as long as the settings want it, until the process stops. Ends by being dropped at a hand-over: the
/// next process is the same member.
pub async fn take_part(
    means: Means,
    mut wanted: watch::Receiver<Option<Membership>>,
    mut queries: mpsc::Receiver<ReportRequest>,
    mut stopping: watch::Receiver<bool>,
) {
    let instance = u64::try_from(means.clock.at(Instant::now())).unwrap_or(0);
    loop {
        let membership = wanted.borrow_and_update().clone();
        let Some(membership) = membership else {
            tokio::select! {
                changed = wanted.changed() => if changed.is_err() { return },
                Some(query) = queries.recv() => drop(query),
                _ = stopping.wait_for(|stopping| *stopping) => return,
            }
            continue;
        };
        let Some(socket) = bind(membership.listen, &mut wanted, &mut stopping).await else {
            continue;
        };
        let remembered = recall(&means.state).await;
        let seed = means.seed ^ instance;
        let now = now(&means.clock);
        let node = match Node::new(membership.settings.clone(), remembered, seed, instance, now) {
            Ok(node) => node,
            // the settings were checked when they were read
            Err(error) => return log(format_args!("members: off, {error}")),
        };
        log(format_args!(
            "members: {} at {}",
            node.name(),
            membership.settings.advertise
        ));
        let told = View::default();
        let (lines, since, kept) = (0, Instant::now(), Instant::now());
        let buffer = vec![0; MAX_DATAGRAM_BYTES + 1];
        let mut part = Part {
            means: &means,
            node,
            socket,
            act: membership.act,
            told,
            lines,
            since,
            kept,
            buffer,
        };
        let stops = part.run(&mut wanted, &mut queries, &mut stopping).await;
        // others' word binds no more
        let _ = means.inputs.send(DriverInput::FleetView(None));
        if stops {
            return;
        }
    }
}

fn now(clock: &Clock) -> u64 {
    u64::try_from(clock.at(Instant::now())).unwrap_or(0)
}

/// The socket, once it is to be had; none if the settings change or the process stops before.
async fn bind(
    address: SocketAddr,
    wanted: &mut watch::Receiver<Option<Membership>>,
    stopping: &mut watch::Receiver<bool>,
) -> Option<UdpSocket> {
    let first = Instant::now();
    let told = Cell::new(false);
    loop {
        match UdpSocket::bind(address).await {
            Ok(socket) => return Some(socket),
            Err(error) if first.elapsed() > Duration::from_secs(4) && !told.replace(true) => {
                log(format_args!(
                    "members: off until {address} is to be had: {error}"
                ));
            }
            Err(_) => {}
        }
        tokio::select! {
            () = tokio::time::sleep(AGAIN) => {}
            _ = wanted.changed() => return None,
            _ = stopping.wait_for(|stopping| *stopping) => return None,
        }
    }
}

/// What an earlier process remembered; nothing if that can't be read.
async fn recall(folder: &Path) -> PersistedState {
    let path = folder.join(FILE);
    let read = tokio::task::spawn_blocking(move || std::fs::read(path)).await;
    let Ok(Ok(bytes)) = read else {
        return PersistedState::default();
    };
    serde_json::from_slice(&bytes).unwrap_or_else(|error| {
        log(format_args!(
            "members: what was remembered can't be read: {error}"
        ));
        PersistedState::default()
    })
}

fn keep(folder: &Path, remembered: &PersistedState) -> std::io::Result<()> {
    let new = folder.join(FILE).with_extension("new");
    std::fs::write(&new, serde_json::to_vec(remembered)?)?;
    std::fs::rename(&new, folder.join(FILE))
}

/// Taking part with one socket and one set of settings.
struct Part<'a> {
    means: &'a Means,
    node: Node,
    socket: UdpSocket,
    act: bool,
    /// The view that the decisions were told last.
    told: View,
    /// Lines logged since a time.
    lines: u32,
    since: Instant,
    /// When what is remembered was last written.
    kept: Instant,
    buffer: Vec<u8>,
}

impl Part<'_> {
    /// Until other settings come (false) or the process stops (true).
    async fn run(
        &mut self,
        wanted: &mut watch::Receiver<Option<Membership>>,
        queries: &mut mpsc::Receiver<ReportRequest>,
        stopping: &mut watch::Receiver<bool>,
    ) -> bool {
        let fault = RateLimitedLog::default();
        loop {
            let wake = self
                .means
                .clock
                .instant(i64::try_from(self.node.next_deadline()).unwrap_or(i64::MAX));
            let mut output = Output::default();
            tokio::select! {
                received = self.socket.recv_from(&mut self.buffer) => match received {
                    Ok((length, from)) => self.take(length, from, &mut output),
                    // an earlier datagram found nobody, which the protocol sees by itself
                    Err(error) => fault.log(format_args!("members: {error}")),
                },
                () = sleep_until(wake) => {}
                Some(query) = queries.recv() => {
                    // an operator that has gone asks again
                    let _ = query.send(self.report());
                    continue;
                }
                changed = wanted.changed() => {
                    if changed.is_err() {
                        return true;
                    }
                    if self.takes_over(wanted) {
                        continue;
                    }
                    self.node.leave(&mut output);
                    self.carry_out(output);
                    return false;
                }
                _ = stopping.wait_for(|stopping| *stopping) => {
                    self.node.leave(&mut output);
                    self.carry_out(output);
                    self.remember().await;
                    return true;
                }
            }
            self.node.tick(now(&self.means.clock), &mut output);
            self.carry_out(output);
            self.tell_view();
            if self.kept.elapsed() >= KEEP_EVERY {
                self.remember().await;
            }
        }
    }

    /// Another number of senders alone is taken over as it goes on.
    fn takes_over(&mut self, wanted: &mut watch::Receiver<Option<Membership>>) -> bool {
        let wanted = wanted.borrow_and_update();
        let Some(new) = wanted.as_ref() else {
            return false;
        };
        let mut same = self.node.settings().clone();
        (same.expected_members, same.max_members) =
            (new.settings.expected_members, new.settings.max_members);
        let listens = self
            .socket
            .local_addr()
            .is_ok_and(|address| new.listen == address);
        if same != new.settings || self.act != new.act || !listens {
            return false;
        }
        self.node
            .set_expected_members(new.settings.expected_members);
        true
    }

    /// Takes a datagram in, and those that wait behind it.
    fn take(&mut self, length: usize, from: SocketAddr, output: &mut Output) {
        let mut next = Some((length, from));
        for _ in 0..AT_ONCE {
            let Some((length, from)) = next else { return };
            self.node
                .handle_datagram(now(&self.means.clock), from, &self.buffer[..length], output);
            next = self.socket.try_recv_from(&mut self.buffer).ok();
        }
        if let Some((length, from)) = next {
            self.node
                .handle_datagram(now(&self.means.clock), from, &self.buffer[..length], output);
        }
    }

    fn carry_out(&mut self, output: Output) {
        for Datagram {
            destination,
            payload,
        } in output.datagrams
        {
            // one that can't be sent is one that was lost
            let _ = self.socket.try_send_to(&payload, destination);
        }
        for change in output.changes {
            self.log_change(&change);
        }
    }

    fn log_change(&mut self, change: &Change) {
        if self.since.elapsed() > LINES_IN {
            if let Some(more) = self.lines.checked_sub(LINES).filter(|more| *more > 0) {
                log(format_args!("members: and {more} changes more"));
            }
            (self.lines, self.since) = (0, Instant::now());
        }
        self.lines += 1;
        if self.lines > LINES {
            return;
        }
        match change {
            Change::MemberState {
                name,
                previous,
                current,
                incarnation,
                address,
            } => {
                let previous = previous.map_or("unknown", word);
                let current = word(*current);
                log(format_args!(
                    "members: {name} {current} (was {previous}), incarnation {incarnation}, {address}"
                ));
            }
            Change::Refuted {
                claimed,
                incarnation,
            } => {
                log(format_args!(
                    "members: held for {} by others, refuted with incarnation {incarnation}",
                    word(*claimed)
                ));
            }
            Change::NameConflict { address, yields } => {
                let what = if *yields {
                    "it is the elder and the member, this one only listens"
                } else {
                    "this one is the elder"
                };
                log(format_args!(
                    "members: another process bears this name at {address}: {what}"
                ));
            }
            Change::Paused { micros } => {
                log(format_args!(
                    "members: this process stood still for {} ms",
                    micros / 1000
                ));
            }
            Change::Isolation { isolated: true } => log(format_args!(
                "members: nobody answers, this one doubts itself"
            )),
            Change::Isolation { isolated: false } => {
                log(format_args!("members: others answer again"))
            }
        }
    }

    /// Tells the decisions what has changed.
    fn tell_view(&mut self) {
        let view = self.node.view();
        if view != self.told && self.act {
            self.told = view;
            // the driver lives as long as the process
            let _ = self
                .means
                .inputs
                .send(DriverInput::FleetView(Some(FleetView {
                    present: view.present,
                    suspects: view.suspects,
                    departed: view.departed,
                    agreeing: view.agreeing,
                    isolated: view.isolated,
                })));
        }
    }

    async fn remember(&mut self) {
        self.kept = Instant::now();
        let (folder, remembered) = (self.means.state.clone(), self.node.persisted_state());
        let write = tokio::task::spawn_blocking(move || keep(&folder, &remembered));
        // a folder that hangs must not stop the protocol
        let written = timeout_at(Instant::now() + AGAIN, write).await;
        if let Ok(Ok(Err(error))) = written {
            log(format_args!("members: not remembered: {error}"));
        }
    }

    fn report(&self) -> String {
        let view = self.node.view();
        let members: Vec<MemberReport> = self.node.member_reports(now(&self.means.clock));
        json!({
            "name": self.node.name(), "incarnation": self.node.incarnation(), "health": self.node.health_score(),
            "doubt": view.isolated, "living": view.present, "suspects": view.suspects, "gone": view.departed, "holders": view.agreeing,
            "configured": self.node.settings().expected_members, "scaled_by": self.means.counted.get(),
            "counts": self.node.counters(), "members": members,
        })
        .to_string()
    }
}

fn word(state: State) -> &'static str {
    match state {
        State::Alive => "alive",
        State::Suspect => "suspect",
        State::Dead => "dead",
        State::Left => "left",
    }
}

#[cfg(test)]
mod tests;
