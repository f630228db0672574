//! Indirect probes: this node as the helper of another one (SWIM, section III-A), with the nacks of Lifeguard (section
//! IV-A).

use super::Node;
use crate::Micros;
use crate::output::Output;
use crate::wire::{DropReason, Message};
use std::net::SocketAddr;

/// Indirect probes that may be in flight.
const MAX_INDIRECT_PROBES: usize = 64;
/// A helper sends a nack after four tenths of a period: four fifths of the half that is left to it (Lifeguard, section
/// IV-A).
const NACK_PERIOD_NUMERATOR: Micros = 4;
const NACK_PERIOD_DENOMINATOR: Micros = 10;
/// Periods after which an indirect probe is forgotten.
const INDIRECT_PROBE_PERIODS: Micros = 4;

/// The member that asked for an indirect probe.
#[derive(Debug, Clone)]
pub(super) struct Requester {
    pub(super) name: String,
    pub(super) address: SocketAddr,
    /// The number of its probe, which the answer repeats.
    pub(super) sequence: u32,
}

/// A probe on another member's behalf.
#[derive(Debug, Clone)]
pub(super) struct IndirectProbe {
    target: String,
    requester: Requester,
    nack_at: Micros,
    is_nack_sent: bool,
    expires_at: Micros,
}

impl Node {
    /// Probes a member on the requester's behalf.
    pub(super) fn handle_indirect_ping(
        &mut self,
        now: Micros,
        requester: Requester,
        target: String,
        output: &mut Output,
    ) -> Result<(), DropReason> {
        let member = self.table.get(&target).ok_or(DropReason::Unknown)?;
        let address = member.address;
        if self.indirect_probes.len() >= MAX_INDIRECT_PROBES {
            return Err(DropReason::Busy);
        }
        let sequence = self.next_probe_sequence();
        let ping = Message::Ping {
            sequence,
            target: target.clone(),
        };
        self.reply(address, &target, ping, output)?;
        let period = self.settings.protocol_period;
        let probe = IndirectProbe {
            target,
            requester,
            nack_at: now + period * NACK_PERIOD_NUMERATOR / NACK_PERIOD_DENOMINATOR,
            is_nack_sent: false,
            expires_at: now + INDIRECT_PROBE_PERIODS * period,
        };
        self.indirect_probes.insert(sequence, probe);
        Ok(())
    }

    /// Passes the answer of an indirect probe's target on to the requester.
    pub(super) fn forward_ack(
        &mut self,
        from: &str,
        sequence: u32,
        output: &mut Output,
    ) -> Result<(), DropReason> {
        let is_awaited = self
            .indirect_probes
            .get(&sequence)
            .is_some_and(|probe| probe.target == from);
        if !is_awaited {
            return Err(DropReason::Unknown); // it came too late, or was never asked for
        }
        if let Some(probe) = self.indirect_probes.remove(&sequence) {
            let Requester {
                name,
                address,
                sequence,
            } = probe.requester;
            self.send(
                address,
                &name,
                Message::Ack { sequence },
                Vec::new(),
                output,
            );
        }
        Ok(())
    }

    /// When the next nack is due.
    pub(super) fn next_nack_due_at(&self) -> Option<Micros> {
        self.indirect_probes
            .values()
            .filter(|probe| !probe.is_nack_sent)
            .map(|probe| probe.nack_at)
            .min()
    }

    /// Forgets indirect probes that are over, and sends the nacks that are due.
    pub(super) fn run_indirect_probes(&mut self, now: Micros, output: &mut Output) {
        self.indirect_probes
            .retain(|_, probe| probe.expires_at > now);
        let mut unanswered = Vec::new();
        for probe in self.indirect_probes.values_mut() {
            if !probe.is_nack_sent && probe.nack_at <= now {
                // an answer that comes later is passed on all the same: the requester's period may be longer
                probe.is_nack_sent = true;
                unanswered.push(probe.requester.clone());
            }
        }
        for requester in unanswered {
            let nack = Message::Nack {
                sequence: requester.sequence,
            };
            self.send(requester.address, &requester.name, nack, Vec::new(), output);
        }
    }
}
