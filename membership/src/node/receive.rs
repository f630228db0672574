//! Datagrams that come: checked, learned from, and handed to the part that they are for.

use super::{Node, indirect, push_pull};
use crate::Micros;
use crate::output::Output;
use crate::record::{Record, State};
use crate::wire::{self, DropReason, Message, Packet};
use std::net::SocketAddr;

/// Replies in one period. Each member is probed once a period on average, and asked little more.
const REPLIES_PER_PERIOD: u32 = 64;

/// The bound on replies in one period.
#[derive(Debug, Clone)]
pub(super) struct ReplyBudget {
    left: u32,
    renewed_at: Micros,
}

impl ReplyBudget {
    pub(super) fn full(renewed_at: Micros) -> Self {
        ReplyBudget {
            left: REPLIES_PER_PERIOD,
            renewed_at,
        }
    }

    pub(super) fn renew_if_due(&mut self, now: Micros, period: Micros) {
        if now >= self.renewed_at {
            *self = ReplyBudget::full(now + period);
        }
    }

    /// Takes one reply.
    ///
    /// # Errors
    /// None is left in this period.
    pub(super) fn take_one(&mut self) -> Result<(), DropReason> {
        self.left = self.left.checked_sub(1).ok_or(DropReason::Busy)?;
        Ok(())
    }
}

impl Node {
    /// Takes in a datagram that came from this address.
    pub fn handle_datagram(
        &mut self,
        now: Micros,
        source: SocketAddr,
        bytes: &[u8],
        output: &mut Output,
    ) {
        if self.has_left {
            return;
        }
        self.detect_pause(now, output);
        self.counters.received += 1;
        self.counters.bytes_received += bytes.len() as u64;
        let decoded = wire::decode(bytes, &self.settings.fleet, self.settings.key.as_deref());
        let handled = decoded.and_then(|packet| self.handle_packet(now, source, packet, output));
        if let Err(reason) = handled {
            self.counters.count_drop(reason);
        }
        self.update_quorum(now);
        // what came may bring a deadline forward, never put it off
        self.next_deadline = self.next_deadline.min(self.compute_next_deadline(now));
    }

    fn handle_packet(
        &mut self,
        now: Micros,
        source: SocketAddr,
        packet: Packet,
        output: &mut Output,
    ) -> Result<(), DropReason> {
        if packet.from == self.settings.name {
            return Err(DropReason::OwnName);
        }
        if !packet.passive {
            self.record_sender(now, &packet, output)?;
            self.table
                .merge_holders(&packet.from, packet.view_hash, &packet.view_holders);
        }
        for record in packet.records {
            self.apply_record(now, record, &packet.from, output);
        }
        self.handle_message(now, source, &packet.from, packet.message, output)
    }

    fn handle_message(
        &mut self,
        now: Micros,
        source: SocketAddr,
        from: &str,
        message: Message,
        output: &mut Output,
    ) -> Result<(), DropReason> {
        match message {
            Message::Gossip => Ok(()),
            Message::SyncResponse { after, until } => {
                self.handle_sync_response(now, from, after, until)
            }
            Message::Ack { sequence } => self.handle_ack(from, sequence, output),
            Message::Nack { sequence } => self.handle_nack(from, sequence, output),
            // a node that only listens answers nobody
            _ if self.has_yielded => Ok(()),
            Message::Ping { sequence, target } => {
                if target != self.settings.name {
                    return Err(DropReason::Misdirected);
                }
                self.reply(source, from, Message::Ack { sequence }, output)
            }
            Message::IndirectPing { sequence, target } => {
                let requester = indirect::Requester {
                    name: from.to_string(),
                    address: source,
                    sequence,
                };
                self.handle_indirect_ping(now, requester, target, output)
            }
            Message::SyncRequest {
                after,
                until,
                digest,
            } => {
                let request = push_pull::SyncRange { after, until };
                self.handle_sync_request(source, from, request, digest, output)
            }
        }
    }

    /// What a datagram itself says of its sender: that this process of it is alive, and that the datagram is new.
    fn record_sender(
        &mut self,
        now: Micros,
        packet: &Packet,
        output: &mut Output,
    ) -> Result<(), DropReason> {
        if let Some(member) = self.table.get_mut(&packet.from) {
            let known_instance = member.replay_window.instance();
            let is_older_process =
                packet.instance != known_instance && packet.incarnation < member.incarnation;
            if is_older_process && known_instance != 0
                || !member.replay_window.accept(packet.instance, packet.counter)
            {
                return Err(DropReason::Replayed);
            }
            member.last_heard = Some(now);
        }
        let record = Record {
            name: packet.from.clone(),
            address: packet.address,
            incarnation: packet.incarnation,
            instance: packet.instance,
            state: State::Alive,
            observer: None,
        };
        self.apply_record(now, record, &packet.from, output);
        let member = self.table.get_mut(&packet.from).ok_or(DropReason::Full)?;
        if member.last_heard.is_none() {
            member.replay_window.accept(packet.instance, packet.counter);
            member.last_heard = Some(now);
        }
        Ok(())
    }

    /// Replies within the budget of a period.
    pub(super) fn reply(
        &mut self,
        destination: SocketAddr,
        name: &str,
        message: Message,
        output: &mut Output,
    ) -> Result<(), DropReason> {
        self.reply_budget.take_one()?;
        self.send(destination, name, message, Vec::new(), output);
        Ok(())
    }
}
