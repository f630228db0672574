//! Plain records that the decisions keep. No rule, table or tuned value is here: those are in `decide.rs`.

use crate::backlog::Standing;
use crate::interface::{
    DestinationId, EndpointEntry, EndpointId, EndpointStatus, MessageId, Micros, PastAttempt,
    QuotaAllocation, QuotaShare, SECOND,
};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};
use std::ops::RangeInclusive;

/// What shares health, waits and limits: a destination, or one endpoint where routes are apart.
pub type UnitId = (DestinationId, Option<EndpointId>);

/// The ids that units of a destination may have.
pub fn units_of(destination: DestinationId) -> RangeInclusive<UnitId> {
    (destination, None)..=(destination, Some(EndpointId(u32::MAX)))
}

/// What is known of one endpoint.
#[derive(Debug, Default, Serialize, Deserialize)]
pub struct Endpoint {
    /// Its destination, zone and kind, as listed last.
    pub destination: DestinationId,
    pub zone: u16,
    pub kind: usize,
    /// Listed, neither draining nor gone.
    pub serving: bool,
    /// For each class, by position: failures in a row, until when they count against it, last answer.
    pub classes: BTreeMap<usize, ClassRecord>,
    /// How often calls lately found no connection.
    pub crowded: f64,
    /// Taken out by the operators, which holds whatever is listed.
    pub out: bool,
    /// It was put back a short while ago and may be cold.
    pub warmup: Option<Warmup>,
}

impl Endpoint {
    /// True if new calls may go there.
    pub fn is_open(&self) -> bool {
        self.serving && !self.out
    }

    /// Takes over what the list says of it.
    pub fn update(&mut self, entry: &EndpointEntry) {
        (self.destination, self.zone, self.kind) = (entry.destination, entry.zone, entry.kind);
        self.serving = entry.status == EndpointStatus::Serving;
    }
}

/// The token bucket of an endpoint that was put back.
#[derive(Debug, Serialize, Deserialize)]
pub struct Warmup {
    pub since: Micros,
    pub tokens: f64,
    pub tokens_at: Micros,
}

impl Warmup {
    /// That of an endpoint put back now, which may have one call at once.
    pub fn new(now: Micros) -> Self {
        Warmup {
            since: now,
            tokens: 1.0,
            tokens_at: now,
        }
    }

    /// Adds what a rate, calls a second, has brought since the last time; one call at most is saved up.
    pub fn refill(&mut self, now: Micros, rate: f64) {
        self.tokens = (self.tokens + rate * seconds(now - self.tokens_at)).min(1.0);
        self.tokens_at = now;
    }
}

/// How one class fares at one endpoint.
#[derive(Debug, Default, Serialize, Deserialize)]
pub struct ClassRecord {
    pub strikes: u32,
    pub struck_until: Micros,
    pub alive_at: Micros,
}

/// One send of a message.
#[derive(Debug, Serialize, Deserialize)]
pub struct Attempt {
    /// Where it went and when.
    pub endpoint: EndpointId,
    pub sent: Micros,
    /// The call that carries it.
    pub call: u64,
    /// Its outcome has not come.
    pub out: bool,
    /// Its outcome does not prove that it never ran.
    pub may_have_run: bool,
    /// A later attempt started while this one was out.
    pub overlapped: bool,
    /// It was called off.
    pub cancelled: bool,
}

impl Attempt {
    /// One that starts now.
    pub fn new(endpoint: EndpointId, sent: Micros, call: u64) -> Self {
        let (out, may_have_run, overlapped, cancelled) = (true, false, false, false);
        Attempt {
            endpoint,
            sent,
            call,
            out,
            may_have_run,
            overlapped,
            cancelled,
        }
    }

    /// One of an earlier process, whose call has ended; nobody knows what it overlapped with.
    pub fn resumed(past: &PastAttempt) -> Self {
        let attempt = Attempt::new(past.endpoint, past.sent, u64::MAX);
        Attempt {
            out: false,
            may_have_run: past.may_have_run,
            overlapped: true,
            ..attempt
        }
    }
}

/// A message until its end and the end of its attempts.
#[derive(Debug, Default, Serialize, Deserialize)]
pub struct PendingMessage {
    /// Position of its class.
    pub class: usize,
    pub destination: DestinationId,
    /// Its key, if its class keeps order.
    pub key: Option<u64>,
    /// When it was first handed in, and when its time is up.
    pub created_at: Micros,
    pub deadline: Micros,
    /// What its delivery is worth.
    pub priority_weight: f64,
    /// Attempts that it may have.
    pub most_attempts: usize,
    /// No final answer yet.
    pub open: bool,
    /// It has ended, but that has not arrived: its key's turn is not over.
    pub unnoticed: bool,
    pub attempts: Vec<Attempt>,
    /// Earliest next attempt, and the rest after the one that fails then.
    pub retry_at: Micros,
    pub retry_rest: Micros,
    /// When the next copy is due, and the offset after it.
    pub hedge_at: Micros,
    pub copy_step: Micros,
    /// Where it stands in the index.
    #[serde(skip)]
    pub index_entry: Standing,
}

impl PendingMessage {
    pub fn has_attempt_in_flight(&self) -> bool {
        self.attempts.iter().any(|attempt| attempt.out)
    }

    /// Attempts that may run or have run. While there are any, also those that a later one overlapped: a
    /// key's window counts from the first, even if that one turns out never to have run.
    pub fn attempts_at_risk(&self) -> impl Iterator<Item = &Attempt> {
        let any = self
            .attempts
            .iter()
            .any(|attempt| attempt.out || attempt.may_have_run);
        self.attempts
            .iter()
            .filter(move |a| any && (a.out || a.may_have_run || a.overlapped))
    }

    /// When the first attempt that may have run leaves a key's window; none where there is no such attempt.
    pub fn window_ends(&self, window: Micros) -> Option<Micros> {
        self.attempts_at_risk()
            .map(|attempt| attempt.sent.saturating_add(window))
            .min()
    }
}

/// One call in flight, with one message or a bundle.
#[derive(Debug, Serialize, Deserialize)]
pub struct Call {
    /// Whose window and limit it counts for.
    pub unit: UnitId,
    pub endpoint: EndpointId,
    pub sent: Micros,
    /// Messages in it whose outcome has not come, and all of them.
    pub left: usize,
    pub size: usize,
    /// It carries copies.
    pub copy: bool,
}

/// Messages that take turns.
#[derive(Debug, Default, Serialize, Deserialize)]
pub struct KeyLine {
    /// Messages of the key, in the order of arrival.
    pub turn: VecDeque<MessageId>,
    /// Nothing of the key starts before.
    pub rest_until: Micros,
}

/// How a unit seems to be.
#[derive(Debug, Clone, Copy, PartialEq, Default, Serialize, Deserialize)]
pub enum Health {
    #[default]
    Well,
    Sick {
        /// For silence only, no failure or refusal.
        silent: bool,
        since: Micros,
    },
    Returning {
        since: Micros,
    },
}

/// What is known of a unit.
#[derive(Debug, Default, Serialize, Deserialize)]
pub struct Unit {
    pub health: Health,
    /// Calls that may be in flight, and when that was cut last.
    pub window: f64,
    pub last_cut: Micros,
    /// End of the last told wait.
    pub wait_until: Micros,
    /// Latencies of the last successes, and the copy offset that follows from them.
    pub latencies: Samples,
    pub offset: Option<Micros>,
    /// The latency as it is over a long time.
    pub usual: Option<Micros>,
    /// Failure score, from 0 to 1.
    pub fails: f64,
    /// Last answer that shows life.
    pub alive_at: Micros,
    /// Last failure or refusal.
    pub failed_at: Micros,
    /// First refusal of the present run, and its length.
    pub refused_since: Micros,
    pub refused_run: u32,
    pub in_flight: usize,
    /// Calls in flight that are quiet beyond the silence limit; oldest age with no sign of life since;
    /// whether a call is out far beyond the usual latency. Taken anew in each turn.
    pub quiet: usize,
    pub quiet_age: Micros,
    pub lags: bool,
    /// When calls were served over the last fall span, and the highest rate served, calls a second.
    pub served: Samples,
    pub best_rate: f64,
    /// Calls sent since the unit was first seen.
    pub sent: u64,
    pub since: Micros,
    /// The limit that answers report, and this sender's even share of what list or answers tell, or 0.
    pub told_limit: Option<f64>,
    pub share: f64,
    /// Its even part of the rate that the list gives, taken at its word, or 0.
    pub listed: f64,
    /// Calls a second allowed, infinite before any refusal; whether a call succeeded since its last cut.
    pub pace: f64,
    pub succeeded: bool,
    /// The token bucket of the pace.
    pub tokens: f64,
    pub tokens_at: Micros,
}

impl Unit {
    pub fn is_sick(&self) -> bool {
        matches!(self.health, Health::Sick { .. })
    }

    /// True if its calls together with those of other such units may hold only a part of the slots.
    pub fn is_burden(&self) -> bool {
        self.lags || self.is_sick()
    }

    /// Forgets what one look at the calls in flight has shown, before the next.
    pub fn look_anew(&mut self) {
        (self.quiet, self.quiet_age, self.lags) = (0, 0, false);
    }

    /// Calls a second that this sender makes, over `least` or longer.
    pub fn usual_rate(&self, now: Micros, least: Micros) -> f64 {
        self.sent as f64 / seconds((now - self.since).max(least).max(1))
    }

    /// Calls a second that were served over the last span.
    pub fn served_rate(&mut self, now: Micros, span: Micros) -> f64 {
        self.served.drop_until(now - span);
        self.served.len() as f64 / seconds(span)
    }
}

/// Calls that a shared limit allows now, in thousand millionths, so that nothing is rounded up.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub struct Bucket {
    pub tokens: i64,
    pub at: Micros,
}

impl Bucket {
    /// One call.
    pub const CALL: i64 = 1_000_000_000;

    /// Adds what a rate, thousandths of a call a second, has brought since; at most a call or what comes in
    /// `burst`.
    pub fn refill(&mut self, now: Micros, rate: u64, burst: Micros) {
        let rate = i64::try_from(rate).unwrap_or(i64::MAX);
        let most = rate.saturating_mul(burst).max(Bucket::CALL);
        let come = rate.saturating_mul(now - self.at);
        (self.tokens, self.at) = (self.tokens.saturating_add(come).min(most), now);
    }

    /// Another share of the rate holds. What has come so far came by the one before; a larger part may be
    /// used up at its beginning.
    pub fn change(&mut self, now: Micros, [before, after]: [Option<QuotaShare>; 2], burst: Micros) {
        let rate = before.and_then(|share| share.at(now)).unwrap_or(0);
        self.refill(now, rate, burst);
        let allocation =
            |share: Option<QuotaShare>| share.and_then(|share| share.allocation_at(now));
        if let Some(QuotaAllocation {
            amount: Some(more),
            until,
        }) = allocation(after)
        {
            let had = allocation(before).map_or(0, |allocation| allocation.amount.unwrap_or(more));
            let more = i64::try_from(more.saturating_sub(had)).unwrap_or(0);
            self.tokens = self.tokens.saturating_add(more.saturating_mul(until - now));
        }
    }

    /// How long until there is a whole call.
    pub fn rest(&self, rate: u64) -> Micros {
        let rate = i64::try_from(rate).unwrap_or(i64::MAX).max(1);
        (Bucket::CALL - self.tokens).max(0) / rate + 1
    }
}

/// The last values of something, oldest first.
#[derive(Debug, Default, Serialize, Deserialize)]
pub struct Samples(VecDeque<Micros>);

impl Samples {
    /// Adds a value and keeps `most`.
    pub fn push(&mut self, value: Micros, most: usize) {
        self.0.push_back(value);
        while self.0.len() > most {
            self.0.pop_front();
        }
    }

    /// Drops the values at the front that are `end` or less.
    pub fn drop_until(&mut self, end: Micros) {
        while self.0.front().is_some_and(|&value| value <= end) {
            self.0.pop_front();
        }
    }

    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// The value below which `part` of `whole` parts lie; none while there are no values.
    pub fn ranked(&self, part: usize, whole: usize) -> Option<Micros> {
        let mut sorted: Vec<Micros> = self.0.iter().copied().collect();
        sorted.sort_unstable();
        sorted
            .get((sorted.len() * part / whole).min(sorted.len().saturating_sub(1)))
            .copied()
    }
}

pub fn seconds(span: Micros) -> f64 {
    span as f64 / SECOND as f64
}

/// How long a token bucket takes until it holds a whole call.
pub fn rest_until_call(tokens: f64, rate: f64) -> Micros {
    ((1.0 - tokens) / rate.max(0.001) * SECOND as f64) as Micros
}
