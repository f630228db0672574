//! Push-pull sync: the exchange of state with one member at a time, range by range over bounded datagrams. It brings a
//! new member up to date, repairs what gossip has missed and joins halves that were apart. An extension, after the
//! anti-entropy of epidemic protocols (Demers et al., PODC 1987, section 1.3).

use super::Node;
use crate::Micros;
use crate::output::Output;
use crate::record::{Record, State};
use crate::settings::MAX_NAME_BYTES;
use crate::wire::{self, DropReason, Message};
use rand::Rng;
use rand::seq::{IndexedRandom, IteratorRandom};
use std::net::SocketAddr;

/// One in so many syncs goes to a member that died, or to an address once known: so halves find each other.
const DEPARTED_SYNC_RATIO: u32 = 4;
/// The same while no majority is known, when there is a sync each period: a fleet that starts is a set of islands.
const DEPARTED_SYNC_RATIO_WITHOUT_MAJORITY: u32 = 2;
/// Requests to one member without an answer before another one is asked.
const MAX_UNANSWERED_REQUESTS: u32 = 2;
/// While a node joins, the next request follows an answer within this fraction (one eighth) of a period.
const JOIN_PERIOD_DIVISOR: Micros = 8;
/// Bytes that the length and the tag of an optional name take beside it.
const OPTIONAL_NAME_OVERHEAD: usize = 2;

/// The progress of push-pull sync.
#[derive(Debug, Clone)]
pub(super) struct PushPull {
    next_at: Micros,
    /// The last member of the last range that was answered; empty at the begin.
    position: String,
    /// The member that was asked last.
    partner: Option<String>,
    unanswered_requests: u32,
    /// All ranges have been answered once.
    has_joined: bool,
}

impl PushPull {
    pub(super) fn new(now: Micros) -> Self {
        PushPull {
            next_at: now,
            position: String::new(),
            partner: None,
            unanswered_requests: 0,
            has_joined: false,
        }
    }

    /// When the next request is due.
    pub(super) fn next_at(&self) -> Micros {
        self.next_at
    }

    /// No request goes out before this time.
    pub(super) fn postpone_to(&mut self, now: Micros) {
        self.next_at = self.next_at.max(now);
    }
}

/// The members after a name, up to another or to the end.
#[derive(Debug, Clone)]
pub(super) struct SyncRange {
    pub(super) after: String,
    pub(super) until: Option<String>,
}

/// The records of a range as far as they fit, and where they end; none: at the end of all.
struct RecordRange {
    records: Vec<Record>,
    until: Option<String>,
}

/// Whom to ask; the name is empty where only the address is known.
#[derive(Debug, Clone)]
struct SyncPartner {
    name: String,
    address: SocketAddr,
}

impl Node {
    /// Sends the next request if it is due.
    pub(super) fn run_push_pull(&mut self, now: Micros, output: &mut Output) {
        if now < self.push_pull.next_at {
            return;
        }
        let interval = self.sync_interval();
        // members that started together ask at moments of their own
        self.push_pull.next_at = now + interval / 2 + self.random.random_range(0..=interval);
        let Some(partner) = self.choose_sync_partner() else {
            return;
        };
        self.push_pull.unanswered_requests += 1;
        let after = self.push_pull.position.clone();
        // as many as an answer could hold if all of them differed
        let until = self.records_in_range(&after, None, &[]).until;
        let digest = self.table.digest(&after, until.as_deref(), &partner.name);
        let request = Message::SyncRequest {
            after,
            until,
            digest,
        };
        self.send(partner.address, &partner.name, request, Vec::new(), output);
        self.push_pull.partner = Some(partner.name);
    }

    fn sync_interval(&self) -> Micros {
        let period = self.settings.protocol_period;
        if !self.push_pull.has_joined {
            period / 2
        } else if self.lacks_majority() {
            period
        } else {
            period * Micros::from(self.settings.push_pull_periods)
        }
    }

    /// Whom to ask: the member that gave the last range while there are more, else a member at random, and now and then
    /// one that died or an address that is no present member's. A node that knows nobody asks the seeds and the stored
    /// addresses. Without asking strangers, members that start one after the other stay in islands, each of which takes
    /// itself for the fleet.
    fn choose_sync_partner(&mut self) -> Option<SyncPartner> {
        let knows_nobody = self.table.present().len() == 1;
        if knows_nobody || !self.push_pull.has_joined && self.push_pull.partner.is_none() {
            return self.random_join_address();
        }
        if let Some(partner) = self.current_sync_partner() {
            return Some(partner);
        }
        if self.push_pull.unanswered_requests >= MAX_UNANSWERED_REQUESTS {
            self.push_pull.position.clear();
            self.push_pull.unanswered_requests = 0;
            if !self.push_pull.has_joined {
                return self.random_join_address();
            }
        }
        let ratio = if self.lacks_majority() {
            DEPARTED_SYNC_RATIO_WITHOUT_MAJORITY
        } else {
            DEPARTED_SYNC_RATIO
        };
        if self.random.random_ratio(1, ratio)
            && let Some(departed) = self.departed_partners().choose(&mut self.random)
        {
            return Some(departed.clone());
        }
        let name = self.sample_members(1, &[]).pop()?;
        let address = self.table.get(&name)?.address;
        Some(SyncPartner { name, address })
    }

    /// The member that was asked last, while it answers and has more to tell.
    fn current_sync_partner(&self) -> Option<SyncPartner> {
        let sync = &self.push_pull;
        let has_more = !sync.position.is_empty() || !sync.has_joined;
        if !has_more || sync.unanswered_requests >= MAX_UNANSWERED_REQUESTS {
            return None;
        }
        let name = sync.partner.clone()?;
        let address = self.table.get(&name)?.address;
        Some(SyncPartner { name, address })
    }

    /// Members that died, and addresses once known that are no known member's.
    fn departed_partners(&self) -> Vec<SyncPartner> {
        let dead = self
            .table
            .iter()
            .filter(|(_, member)| member.state == State::Dead)
            .map(|(name, member)| SyncPartner {
                name: name.clone(),
                address: member.address,
            });
        let is_known = |address: &SocketAddr| {
            let mut members = self.table.iter();
            members.any(|(_, member)| member.address == *address)
        };
        let strangers = self
            .join_addresses
            .iter()
            .filter(|address| !is_known(address))
            .map(|address| SyncPartner {
                name: String::new(),
                address: *address,
            });
        dead.chain(strangers).collect()
    }

    /// Fewer than a majority of the expected members are present.
    fn lacks_majority(&self) -> bool {
        2 * self.table.present().len() <= self.settings.expected_members as usize
    }

    fn random_join_address(&mut self) -> Option<SyncPartner> {
        let address = *self.join_addresses.iter().choose(&mut self.random)?;
        Some(SyncPartner {
            name: String::new(),
            address,
        })
    }

    /// The records of the members after a name and up to another, as many as an answer has room for beside these, and
    /// the last one's name where there are more.
    fn records_in_range(&self, after: &str, until: Option<&str>, beside: &[Record]) -> RecordRange {
        let view_holders = self.table.view_holders().to_vec();
        let message = Message::SyncResponse {
            after: after.to_string(),
            until: None,
        };
        let frame = self.packet(u64::MAX, view_holders, message, beside.to_vec());
        // the answer names the last member of the range, which is not known yet
        let end_bytes = MAX_NAME_BYTES + OPTIONAL_NAME_OVERHEAD;
        let mut room = self.room(&frame).saturating_sub(end_bytes);
        let mut records = Vec::new();
        let mut last = None;
        for (name, _) in self.table.range(after, until) {
            let Some(record) = self.table.record(name, None) else {
                continue;
            };
            let size = wire::size(&record);
            if size > room {
                return RecordRange {
                    records,
                    until: last,
                };
            }
            room -= size;
            last = Some(name.clone());
            records.push(record);
        }
        RecordRange {
            records,
            until: until.map(str::to_string),
        }
    }

    /// Answers with the records of a range if their digest differs.
    pub(super) fn handle_sync_request(
        &mut self,
        source: SocketAddr,
        from: &str,
        range: SyncRange,
        digest: u64,
        output: &mut Output,
    ) -> Result<(), DropReason> {
        self.reply_budget.take_one()?;
        let SyncRange { after, until } = range;
        // what is said against the requester comes before all else
        let is_accused = self.is_accused(from);
        let mut records: Vec<Record> = if is_accused {
            self.table.record(from, None).into_iter().collect()
        } else {
            Vec::new()
        };
        let is_same = self.table.digest(&after, until.as_deref(), from) == digest;
        let answer = if is_same {
            RecordRange {
                records: Vec::new(),
                until,
            }
        } else {
            self.records_in_range(&after, until.as_deref(), &records)
        };
        let others = answer.records.into_iter();
        records.extend(others.filter(|record| !is_accused || record.name != from));
        let message = Message::SyncResponse {
            after,
            until: answer.until,
        };
        self.send(source, from, message, records, output);
        Ok(())
    }

    /// Goes on to the next range; the records of this one have been applied already.
    pub(super) fn handle_sync_response(
        &mut self,
        now: Micros,
        from: &str,
        after: String,
        until: Option<String>,
    ) -> Result<(), DropReason> {
        let sync = &mut self.push_pull;
        if sync.position != after {
            return Err(DropReason::Unknown); // a late answer to an earlier request
        }
        sync.unanswered_requests = 0;
        sync.partner = Some(from.to_string());
        match until {
            Some(until) if until > after => {
                sync.position = until;
                if !sync.has_joined {
                    let soon = now + self.settings.protocol_period / JOIN_PERIOD_DIVISOR;
                    sync.next_at = sync.next_at.min(soon);
                }
            }
            _ => {
                sync.position.clear();
                sync.partner = None;
                sync.has_joined = true;
            }
        }
        Ok(())
    }
}
