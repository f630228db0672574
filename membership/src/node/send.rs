//! Datagrams that go out, and the gossip that each carries as far as it has room.

use super::Node;
use crate::broadcast::BroadcastKey;
use crate::output::{Datagram, Output};
use crate::record::{Record, State};
use crate::wire::{self, Message, Packet};
use std::net::SocketAddr;

/// Members that are told directly that this node leaves: the rest hear from these.
const LEAVE_FANOUT: usize = 8;
/// With fewer bytes left no further broadcast is tried.
const MIN_RECORD_ROOM: usize = 32;

/// The records of a datagram, and the bytes that are left for more.
struct RecordRoom {
    records: Vec<Record>,
    bytes_left: usize,
}

impl RecordRoom {
    /// Adds a record that fits and is not there yet; whether it did.
    fn add(&mut self, record: Record) -> bool {
        let size = wire::size(&record);
        let fits = size <= self.bytes_left && !self.records.contains(&record);
        if fits {
            self.bytes_left -= size;
            self.records.push(record);
        }
        fits
    }
}

impl Node {
    /// Sends a datagram with these records, and with as much gossip as has room.
    pub(super) fn send(
        &mut self,
        destination: SocketAddr,
        name: &str,
        message: Message,
        records: Vec<Record>,
        output: &mut Output,
    ) {
        self.counter += 1;
        let is_sync = matches!(
            message,
            Message::SyncRequest { .. } | Message::SyncResponse { .. }
        );
        let view_holders = self.table.holders_to_send(is_sync);
        let mut packet = self.packet(self.counter, view_holders, message, records);
        if !self.has_yielded {
            let bytes_left = self.room(&packet);
            let mut room = RecordRoom {
                records: packet.records,
                bytes_left,
            };
            self.add_gossip(name, &mut room);
            packet.records = room.records;
        }
        let payload = wire::encode(&packet, self.settings.key.as_deref());
        self.counters.sent += 1;
        self.counters.bytes_sent += payload.len() as u64;
        output.datagrams.push(Datagram {
            destination,
            payload,
        });
    }

    /// Sends the own record to some members at random.
    pub(super) fn send_local_record(&mut self, fanout: usize, output: &mut Output) {
        let record = self.local_record();
        for name in self.sample_members(fanout, &[]) {
            let Some(address) = self.table.get(&name).map(|member| member.address) else {
                continue;
            };
            self.send(
                address,
                &name,
                Message::Gossip,
                vec![record.clone()],
                output,
            );
        }
    }

    /// A packet of this node, with this number.
    pub(super) fn packet(
        &self,
        counter: u64,
        view_holders: Vec<u8>,
        message: Message,
        records: Vec<Record>,
    ) -> Packet {
        Packet {
            fleet: self.settings.fleet.clone(),
            from: self.settings.name.clone(),
            address: self.settings.advertise,
            incarnation: self.incarnation,
            instance: self.instance,
            counter,
            passive: self.has_yielded,
            view_hash: self.table.view_hash(),
            view_holders,
            message,
            records,
        }
    }

    /// Bytes that a packet leaves for further records.
    pub(super) fn room(&self, packet: &Packet) -> usize {
        // the count of records takes one byte more where there are more than 127
        let used = wire::overhead(self.settings.key.as_deref()) + wire::size(packet) + 1;
        wire::MAX_DATAGRAM_BYTES.saturating_sub(used)
    }

    /// Adds first what is said against the receiver, so that it can refute it (Lifeguard's buddy system, section IV-B;
    /// for the dead as well, which is an extension), then queued broadcasts.
    fn add_gossip(&mut self, receiver: &str, room: &mut RecordRoom) {
        if let Some(record) = self.buddy_record(receiver) {
            room.add(record);
        }
        let limit = self.settings.retransmit_multiplier * self.cluster_scale().ceil() as u32;
        for key in self.broadcasts.in_send_order() {
            match self.broadcast_record(&key) {
                Some(record) => {
                    if room.add(record) {
                        self.broadcasts.record_transmission(&key, limit);
                    } else if room.bytes_left < MIN_RECORD_ROOM {
                        return;
                    }
                }
                // it has been overtaken
                None => self.broadcasts.remove(&key),
            }
        }
    }

    /// What is said against a member, where Lifeguard's buddy system is on.
    fn buddy_record(&self, name: &str) -> Option<Record> {
        if self.settings.lifeguard && self.is_accused(name) {
            self.table.record(name, None)
        } else {
            None
        }
    }

    /// Whether a member is held for suspect, dead or left.
    pub(super) fn is_accused(&self, name: &str) -> bool {
        self.table
            .get(name)
            .is_some_and(|member| member.state != State::Alive)
    }

    fn broadcast_record(&self, key: &BroadcastKey) -> Option<Record> {
        if key.observer.is_none() && key.member == self.settings.name {
            Some(self.local_record())
        } else {
            self.table.record(&key.member, key.observer.as_deref())
        }
    }

    fn local_record(&self) -> Record {
        Record {
            name: self.settings.name.clone(),
            address: self.settings.advertise,
            incarnation: self.incarnation,
            instance: self.instance,
            state: if self.has_left {
                State::Left
            } else {
                State::Alive
            },
            observer: None,
        }
    }

    /// How time-outs and transmissions grow with the fleet: log10 of its members, at least 1 (Lifeguard, section IV-C).
    pub(super) fn cluster_scale(&self) -> f64 {
        (self.table.present().len() as f64).log10().max(1.0)
    }

    /// Says that this node leaves; it takes part no more.
    pub fn leave(&mut self, output: &mut Output) {
        if self.has_left || self.has_yielded {
            return;
        }
        self.has_left = true;
        self.send_local_record(LEAVE_FANOUT, output);
    }
}
