//! How long to rest before asking discovery again, and by when what a silent watch missed counts as told.

use rand_pcg::Pcg32;
use rand_pcg::rand_core::{RngCore, SeedableRng};
use std::time::Duration;

/// An empty line is due every 2 s; a watch that is silent for longer has lost its connection.
pub const SILENCE: Duration = Duration::from_millis(2500);
/// What a silent watch missed counts as told so long after its last byte, arrived or not.
pub const TOLD: Duration = Duration::from_secs(6);
pub const RETRY_FIRST: Duration = Duration::from_millis(50);
const RETRY_MOST: Duration = Duration::from_millis(1000);
/// The same for each sender that shares discovery: so many calls a second may come from all together, where all
/// have lost their watches at one moment.
const RETRY_FIRST_EACH: Duration = Duration::from_millis(25);
const RETRY_MOST_EACH: Duration = Duration::from_millis(300);
/// No longer than this, however many senders there are said to be: one that never asks learns of no drain.
const FIRST_LONGEST: Duration = Duration::from_secs(10);
const MOST_LONGEST: Duration = Duration::from_secs(30);
/// Tries of senders whose watches all fell silent at one moment are spread over this at most: with [`SILENCE`] it
/// leaves a quarter of [`TOLD`] for the answer.
const OWED_SPREAD: Duration = Duration::from_millis(2000);
/// A sender that has not asked for the settings' time is held to what was listed then; one whose call failed, for so
/// many times that.
const FAILED_TIMES: f64 = 4.0;
/// Part of such a time that the longest rest fills, which lasts one and a half times what is due.
const FILLED: f64 = 0.9 / 1.5;

/// Who shares discovery, and how it is told apart.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Shared {
    /// Senders that ask it.
    pub senders: u32,
    /// It is asked: one service for all. Else each sender has an agent of its own, to which lists are pushed.
    pub asked: bool,
    /// Where it is asked: for how long the list of a sender that neither watches nor asks is good.
    pub ask_every: Duration,
}

/// How long to rest between two tries: longer each time, never just as long as others do, and by the number of
/// senders, since their tries together are what discovery must bear.
#[derive(Debug)]
pub struct Backoff {
    random: Pcg32,
    first: Duration,
    most: Duration,
    rest: Duration,
    crowd: Duration,
}

impl Backoff {
    /// For one of so many senders.
    pub fn new(shared: Shared, seed: u64) -> Self {
        // an agent of one's own bears as many tries as one sender makes
        let senders = if shared.asked { shared.senders } else { 1 };
        let crowd = RETRY_FIRST_EACH.saturating_mul(senders);
        let mut first = RETRY_FIRST.max(crowd).min(FIRST_LONGEST);
        let mut most = RETRY_MOST.max(RETRY_MOST_EACH.saturating_mul(senders)).min(MOST_LONGEST);
        if shared.asked {
            let good = shared.ask_every.mul_f64(FILLED).max(RETRY_FIRST);
            (first, most) = (first.min(good), most.min(good.mul_f64(FAILED_TIMES)));
        }
        Backoff { random: Pcg32::seed_from_u64(seed), first, most, rest: first, crowd }
    }

    /// Longer rests from now on, or again the first.
    pub fn advance(&mut self, failed: bool) {
        self.rest = if failed { (self.rest * 2).min(self.most) } else { self.first };
    }

    /// The rest before the first try; none for the few senders that can't crowd discovery.
    pub fn start(&mut self) -> Duration {
        if self.first > RETRY_MOST { self.first.mul_f64(1.5 * self.part()) } else { Duration::ZERO }
    }

    /// The next rest: from half to one and a half times as long as is due.
    pub fn spread(&mut self) -> Duration {
        self.rest.mul_f64(0.5 + self.part())
    }

    /// The rest before a watch that fell silent is begun anew. It is bound by the clock of what counts as told, not
    /// by what discovery would like: the first try falls within [`OWED_SPREAD`], later ones are no further apart.
    pub fn owed(&mut self, first: bool) -> Duration {
        let crowd = self.crowd.min(OWED_SPREAD);
        if first { crowd.mul_f64(self.part()) } else { crowd.max(RETRY_FIRST * 4).mul_f64(0.5 + self.part()) }
    }

    pub fn part(&mut self) -> f64 {
        f64::from(self.random.next_u32()) / f64::from(u32::MAX)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn asked(senders: u32) -> Shared {
        Shared { senders, asked: true, ask_every: Duration::from_secs(10) }
    }

    /// Tries within `from` and `to` of so many senders that all lose their watches at 0 and find no room.
    fn tries(senders: u32, from: Duration, to: Duration) -> usize {
        let count = |seed| {
            let (mut backoff, mut at, mut count) = (Backoff::new(asked(senders), seed), Duration::ZERO, 0);
            while at < to {
                at += backoff.spread();
                backoff.advance(true);
                count += usize::from(at >= from && at < to);
            }
            count
        };
        (0..u64::from(senders)).map(count).sum()
    }

    #[test]
    fn many_senders_together_try_seldom_and_few_try_soon() {
        let second = Duration::from_secs(1);
        assert!(tries(2, Duration::ZERO, second) >= 6);
        let crowd = [24, 48].map(|senders| tries(senders, 20 * second, 40 * second));
        assert!(crowd.iter().all(|&tries| tries <= 100), "{crowd:?} in 20 s");
        let first = tries(48, Duration::ZERO, second / 10);
        assert_eq!(first, 0, "none comes back at once");
        // those that start at one moment do not ask at one moment, where they have a list
        let mut starts: Vec<_> = (0..48).map(|seed| Backoff::new(asked(48), seed).start()).collect();
        starts.sort_unstable();
        assert!(starts[36] - starts[12] > second / 2, "{starts:?}");
        assert_eq!(Backoff::new(asked(3), 1).start(), Duration::ZERO);
        // a number that makes no sense keeps none from the list
        let mut absurd = Backoff::new(asked(u32::MAX), 1);
        assert!(absurd.start() <= 2 * FIRST_LONGEST && absurd.most <= MOST_LONGEST);
    }

    #[test]
    fn no_rest_outlasts_the_time_for_which_a_list_is_good() {
        for senders in [1, 30, 300, 3000, u32::MAX] {
            for seed in 0..200 {
                let shared = asked(senders);
                let mut backoff = Backoff::new(shared, seed);
                assert!(backoff.start() < shared.ask_every && backoff.spread() < shared.ask_every);
                for _ in 0..20 {
                    backoff.advance(true);
                    assert!(backoff.spread() < shared.ask_every * 4, "{senders} senders");
                }
            }
        }
        // an agent of one's own is asked soon, however many other senders there are
        let mut own = Backoff::new(Shared { asked: false, ..asked(300) }, 1);
        (0..20).for_each(|_| own.advance(true));
        assert!(own.spread() <= RETRY_MOST.mul_f64(1.5) && own.start() == Duration::ZERO);
    }

    #[test]
    fn hundreds_that_fall_silent_together_are_back_in_time_without_a_crowd() {
        // a discovery that takes 5 ms for each call, one after another; 300 senders, all silent since 0
        let mut calls: Vec<Duration> =
            (0..300).map(|seed| SILENCE + Backoff::new(asked(300), seed).owed(true)).collect();
        calls.sort_unstable();
        let mut free = Duration::ZERO;
        let answered = calls.iter().map(|&at| {
            free = free.max(at) + Duration::from_millis(5);
            (free, free - at)
        });
        let (last, waited) = answered.fold((Duration::ZERO, Duration::ZERO), |(last, waited), (at, for_)| {
            (last.max(at), waited.max(for_))
        });
        assert!(last < TOLD - Duration::from_secs(1), "the last has its answer at {last:?}");
        assert!(waited < Duration::from_millis(250), "one waits for {waited:?}");
        // alone, at once
        assert!(Backoff::new(asked(1), 1).owed(true) <= Duration::from_millis(25));
    }
}
