//! What is known of one other member: its state, a running suspicion, and which of its datagrams have come.

use crate::Micros;
use crate::record::{Precedence, State};
use std::collections::BTreeSet;
use std::net::SocketAddr;

/// Datagrams below the newest one for which the replay window remembers whether they came.
const REPLAY_WINDOW_BITS: u64 = 64;

/// A running suspicion.
#[derive(Debug, Clone)]
pub struct Suspicion {
    pub since: Micros,
    /// Observers that saw the member fail, each by itself.
    pub observers: BTreeSet<String>,
    /// Another member holds it for dead already.
    pub reported_dead: bool,
    /// Own probes, since the suspicion began, of members that were not suspect: those that had an answer.
    pub answered_probes: u32,
    /// Those of them that had none.
    pub unanswered_probes: u32,
    /// The suspicion ends no sooner than this.
    pub not_before: Micros,
}

impl Suspicion {
    /// A suspicion by one observer that begins now.
    pub fn new(now: Micros, observer: String, reported_dead: bool) -> Self {
        Suspicion {
            since: now,
            observers: BTreeSet::from([observer]),
            reported_dead,
            answered_probes: 0,
            unanswered_probes: 0,
            not_before: 0,
        }
    }

    /// Forgets what own probes have shown so far.
    pub fn reset_probe_counts(&mut self) {
        self.answered_probes = 0;
        self.unanswered_probes = 0;
    }
}

/// What is known of another member.
#[derive(Debug, Clone)]
pub struct Member {
    pub address: SocketAddr,
    pub incarnation: u64,
    /// The process's start, Unix microseconds.
    pub instance: u64,
    pub state: State,
    /// When it came to this state.
    pub since: Micros,
    pub suspicion: Option<Suspicion>,
    /// When a datagram of its own last came.
    pub last_heard: Option<Micros>,
    pub replay_window: ReplayWindow,
}

impl Member {
    pub fn precedence(&self) -> Precedence {
        Precedence::new(self.incarnation, self.state, self.instance)
    }
}

/// Which datagrams of one process have come, as in RFC 4303 (section 3.4.3): late ones pass, repeated ones do not.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ReplayWindow {
    instance: u64,
    highest: u64,
    /// Bit n: the datagram n below the highest came.
    received: u64,
}

impl ReplayWindow {
    /// Notes a datagram; false if it came before or is too old to tell.
    pub fn accept(&mut self, instance: u64, counter: u64) -> bool {
        if instance != self.instance {
            *self = ReplayWindow {
                instance,
                highest: counter,
                received: 1,
            };
            return true;
        }
        if counter > self.highest {
            let step = counter - self.highest;
            self.received = if step < REPLAY_WINDOW_BITS {
                self.received << step | 1
            } else {
                1
            };
            self.highest = counter;
            return true;
        }
        let distance = u32::try_from(self.highest - counter).unwrap_or(u32::MAX);
        let bit = 1u64.checked_shl(distance).unwrap_or(0);
        let is_new = bit != 0 && self.received & bit == 0;
        self.received |= bit;
        is_new
    }

    /// The process whose datagrams it knows; 0 before the first.
    pub fn instance(&self) -> u64 {
        self.instance
    }
}

#[cfg(test)]
mod tests;
