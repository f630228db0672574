//! Decides which messages are accepted and with what priority, and restores messages after a
//! restart.

use super::Sender;
use super::fleet_size::contention;
use super::retry::INITIAL_RETRY_BACKOFF;
use super::state::{Attempt, PendingMessage};
use crate::interface::{Action, MessageId, Micros, NewMessage, PastAttempt};
use crate::message_index::IndexEntry;

/// Size of a tenant's token bucket, as the number of seconds in which the tenant's rate at this
/// sender fills it. Larger lets a tenant submit more messages at once before their priority is
/// reduced.
const TENANT_BURST_SECONDS: f64 = 2.0;
/// Minimum size of a tenant's token bucket at a sender of a large fleet, in messages beyond the
/// first, since several messages of a tenant may reach the same sender by chance. Higher detects a
/// tenant beyond its share later; lower reduces the priority of tenants within theirs.
const TENANT_CHANCE_BURST: f64 = 4.0;

impl Sender {
    pub(super) fn admit_or_reject(&mut self, message: &NewMessage, actions: &mut Vec<Action>) {
        if self.has_capacity() && self.may_accept(message.class) {
            self.admit(message);
        } else {
            actions.push(Action::Reject {
                message: message.id,
                retry_after: self.client_retry_after(),
            });
        }
    }

    fn has_capacity(&self) -> bool {
        let max_pending =
            self.limit_with_rules(|bounds| bounds.max_messages, self.settings.max_pending);
        self.index.open() < max_pending
    }

    /// Adds an accepted message to the pending messages.
    pub(super) fn admit(&mut self, new: &NewMessage) {
        let deadline = self.now + new.time_left;
        let class = self.settings.classes.get(new.class);
        let class_weight = class.map_or(1.0, |class| class.priority_weight);
        let created_at = class.map_or(self.now, |class| deadline - class.deadline);
        let priority_weight = class_weight * self.tenant_factor(new.tenant);
        let key = new.key.filter(|_| self.is_ordered(new.class));
        if let Some(key) = key {
            self.join_key_queue(key, new.id);
        }
        let message = PendingMessage {
            class: new.class,
            destination: new.destination,
            key,
            created_at,
            deadline,
            priority_weight,
            max_attempts: new.max_attempts.unwrap_or(self.settings.max_attempts),
            open: true,
            retry_backoff: INITIAL_RETRY_BACKOFF,
            ..PendingMessage::default()
        };
        if let Some(replaced) = self.messages.insert(new.id, message) {
            let indexed = replaced.indexed(new.id);
            self.index
                .replace(indexed, replaced.index_entry, IndexEntry::default());
        }
        self.reindex(new.id);
    }

    /// Returns the factor on the priority weight of a new message of a tenant: 1 while the tenant
    /// stays within its share, `over_share_weight` beyond it. Each message within the share takes
    /// one token from the tenant's bucket.
    fn tenant_factor(&mut self, position: Option<usize>) -> f64 {
        let Some(position) = position else {
            return 1.0;
        };
        let Some(tenant) = self.settings.tenants.get(position) else {
            return 1.0;
        };
        let senders = f64::from(self.fleet_size);
        let rate = tenant.allowance / senders;
        // in a large fleet, a few messages of one tenant may reach the same sender within a short
        // time by chance; that does not show that the tenant exceeds its share
        let chance_burst = 1.0 + TENANT_CHANCE_BURST * contention(senders);
        let burst = (rate * TENANT_BURST_SECONDS).max(chance_burst);
        let bucket = &mut self.tenant_buckets[position];
        bucket.refill(self.now, rate, burst);
        if bucket.has_token() {
            bucket.tokens -= 1.0;
            1.0
        } else {
            self.settings.over_share_weight
        }
    }

    /// Restores a pending message after a restart. Its calls ended with the earlier process; the
    /// destination may have processed those without a known outcome. All attempts count as
    /// overlapped: the order in which they ended is not known, and the window of an idempotency key
    /// must count from the first attempt.
    pub(super) fn restore(&mut self, message: &NewMessage, attempts: &[PastAttempt]) {
        self.admit(message);
        let backoff = self.key_backoff(message.class);
        let Some(pending) = self.messages.get_mut(&message.id) else {
            return;
        };
        let restored = attempts.iter().map(Attempt::restored);
        pending.attempts.extend(restored);
        let key = pending.key;
        if attempts.iter().any(|past| past.may_have_run) {
            self.back_off_key(key, backoff);
        }
        self.reindex(message.id);
    }

    /// Restores a message that has an outcome of which the client has not been notified.
    pub(super) fn restore_ended(&mut self, message: &NewMessage) {
        self.admit(message);
        if let Some(pending) = self.messages.get_mut(&message.id) {
            pending.open = false;
            pending.notification_pending = true;
        }
        self.reindex(message.id);
    }

    pub(super) fn record_notification(&mut self, message: MessageId) {
        if let Some(pending) = self.messages.get_mut(&message) {
            pending.notification_pending = false;
        }
        self.forget_if_done(message);
    }

    /// Returns the Retry-After delay in microseconds for a client whose message is rejected: half
    /// of the configured maximum; `None` if that is 0.
    pub(super) fn client_retry_after(&self) -> Option<Micros> {
        Some(self.settings.max_retry_after / 2).filter(|&wait| wait > 0)
    }
}
