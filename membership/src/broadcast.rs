//! The broadcast queue: records to gossip, each a bounded number of times (SWIM's infection-style dissemination,
//! section IV-A).

use std::collections::BTreeMap;

/// What is gossiped: a member's record, or one observer's suspicion of it.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct BroadcastKey {
    pub member: String,
    /// The observer, for a suspicion.
    pub observer: Option<String>,
}

impl BroadcastKey {
    /// The key of a member's record.
    pub fn of_member(member: &str) -> Self {
        BroadcastKey {
            member: member.to_string(),
            observer: None,
        }
    }

    /// The key of one observer's suspicion.
    pub fn of_suspicion(member: &str, observer: &str) -> Self {
        BroadcastKey {
            member: member.to_string(),
            observer: Some(observer.to_string()),
        }
    }
}

/// How far a broadcast is.
#[derive(Debug, Clone, Copy)]
struct Progress {
    transmissions: u32,
    /// Numbers the broadcasts in the order in which they were queued.
    sequence: u64,
}

/// Records that are still to be gossiped.
#[derive(Debug, Default, Clone)]
pub struct BroadcastQueue {
    queued: BTreeMap<BroadcastKey, Progress>,
    next_sequence: u64,
}

impl BroadcastQueue {
    /// Queues a member's record; it replaces all earlier broadcasts about the member.
    pub fn queue_member(&mut self, member: &str) {
        self.invalidate(member);
        self.queue(BroadcastKey::of_member(member));
    }

    /// Queues an observer's suspicion of a member, beside those of other observers.
    pub fn queue_suspicion(&mut self, member: &str, observer: &str) {
        self.queue(BroadcastKey::of_suspicion(member, observer));
    }

    fn queue(&mut self, key: BroadcastKey) {
        self.next_sequence += 1;
        let progress = Progress {
            transmissions: 0,
            sequence: self.next_sequence,
        };
        self.queued.insert(key, progress);
    }

    /// Removes all broadcasts about a member.
    pub fn invalidate(&mut self, member: &str) {
        let first = BroadcastKey::of_member(member);
        let about_member: Vec<BroadcastKey> = self
            .queued
            .range(first..)
            .take_while(|(key, _)| key.member == member)
            .map(|(key, _)| key.clone())
            .collect();
        for key in &about_member {
            self.queued.remove(key);
        }
    }

    /// The queued broadcasts, those with the fewest transmissions first, of these the newest.
    pub fn in_send_order(&self) -> Vec<BroadcastKey> {
        let mut order: Vec<_> = self.queued.iter().collect();
        order.sort_by_key(|(_, progress)| (progress.transmissions, u64::MAX - progress.sequence));
        order.into_iter().map(|(key, _)| key.clone()).collect()
    }

    /// Counts a transmission, and removes the broadcast at the limit.
    pub fn record_transmission(&mut self, key: &BroadcastKey, limit: u32) {
        if let Some(progress) = self.queued.get_mut(key) {
            progress.transmissions += 1;
            if progress.transmissions >= limit {
                self.queued.remove(key);
            }
        }
    }

    /// Removes one broadcast.
    pub fn remove(&mut self, key: &BroadcastKey) {
        self.queued.remove(key);
    }

    #[cfg(test)]
    fn len(&self) -> usize {
        self.queued.len()
    }
}

#[cfg(test)]
mod tests;
