//! Which entries with a time to live have run out, by the leader's clock. A leader that has just begun gives each a whole
//! time; where a large share runs out at once the fault is likelier here, and they are kept.

use crate::target::Target;
use std::collections::BTreeMap;
use versioned_config::Micros;

/// Entries that are kept for having run out together count with those that run out so much later.
const AT_ONCE: Micros = 2_000_000;
/// What has this part of its time left at most has missed heartbeats too: they come three times in it or more often.
const MISSED: Micros = 4;
/// More than this part of the entries with a time to live is a large share, where they are more than a few.
const LARGE_SHARE: f64 = 0.25;
const FEW: usize = 3;

/// What the leader knows of heartbeats.
#[derive(Debug, Default)]
pub struct Heartbeats {
    due: BTreeMap<String, Micros>,
    /// Run out, and kept: too many did at once.
    kept: BTreeMap<String, Micros>,
}

impl Heartbeats {
    /// A heartbeat came, or the entry was put.
    pub fn beat(&mut self, now: Micros, uid: &str, target: &Target) {
        self.kept.remove(uid);
        match target.ttl_ms {
            Some(ttl) => self.due.insert(uid.to_string(), now + ttl * 1000),
            None => self.due.remove(uid),
        };
    }

    /// Entries that are kept though they have run out.
    pub fn kept(&self) -> impl Iterator<Item = &String> {
        self.kept.keys()
    }

    /// Entries that have run out now and are to go, and how many are newly kept.
    pub fn run_out(
        &mut self,
        now: Micros,
        targets: &BTreeMap<String, Target>,
    ) -> (Vec<(String, Target)>, usize) {
        let living = |uid: &String| {
            targets
                .get(uid)
                .is_some_and(|target| target.ttl_ms.is_some())
        };
        self.due.retain(|uid, _| living(uid));
        self.kept.retain(|uid, _| living(uid));
        for (uid, target) in targets {
            if let Some(ttl) = target.ttl_ms
                && !self.kept.contains_key(uid)
            {
                self.due.entry(uid.clone()).or_insert(now + ttl * 1000);
            }
        }
        if self.due.values().all(|due| *due > now) {
            return (Vec::new(), 0);
        }
        let all = self.due.len() + self.kept.len();
        // those that are about to, too: a registry that was cut off sees them run out one after another
        let silent = |(uid, due): &(&String, &Micros)| {
            let ttl = targets
                .get(*uid)
                .and_then(|target| target.ttl_ms)
                .unwrap_or_default()
                * 1000;
            **due <= now + ttl / MISSED
        };
        let soon = self.due.iter().filter(silent).count()
            + self
                .kept
                .values()
                .filter(|since| **since + AT_ONCE > now)
                .count();
        let late: Vec<String> = self
            .due
            .iter()
            .filter(|(_, due)| **due <= now)
            .map(|(uid, _)| uid.clone())
            .collect();
        self.due.retain(|_, due| *due > now);
        if soon > FEW && soon as f64 > LARGE_SHARE * all as f64 {
            let newly = late.len();
            self.kept.extend(late.into_iter().map(|uid| (uid, now)));
            return (Vec::new(), newly);
        }
        let gone = late
            .into_iter()
            .filter_map(|uid| Some((uid.clone(), targets.get(&uid)?.clone())));
        (gone.collect(), 0)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn targets(count: usize) -> BTreeMap<String, Target> {
        let target =
            serde_json::json!({ "endpoint": "10.0.0.1:80", "pod_group": 1, "ttl_ms": 1000 });
        let target: Target = serde_json::from_value(target).expect("a target");
        (0..count)
            .map(|number| (format!("e{number:02}"), target.clone()))
            .collect()
    }

    #[test]
    fn one_that_is_silent_runs_out_and_those_that_beat_do_not() {
        let (targets, mut heartbeats) = (targets(10), Heartbeats::default());
        assert_eq!(heartbeats.run_out(0, &targets), (vec![], 0));
        for now in [500_000, 1_000_000, 1_500_000] {
            targets
                .keys()
                .skip(1)
                .for_each(|uid| heartbeats.beat(now, uid, &targets[uid]));
            let (gone, kept) = heartbeats.run_out(now, &targets);
            let gone: Vec<&String> = gone.iter().map(|(uid, _)| uid).collect();
            assert_eq!(
                gone,
                if now == 1_000_000 {
                    vec!["e00"]
                } else {
                    vec![]
                },
                "at {now}"
            );
            assert_eq!(kept, 0);
        }
    }

    #[test]
    fn where_many_run_out_at_once_they_are_kept_until_they_beat_again() {
        let (targets, mut heartbeats) = (targets(10), Heartbeats::default());
        heartbeats.run_out(0, &targets);
        // half of them, a little apart
        targets
            .keys()
            .skip(5)
            .for_each(|uid| heartbeats.beat(900_000, uid, &targets[uid]));
        assert_eq!(heartbeats.run_out(1_000_000, &targets), (vec![], 5));
        assert_eq!(heartbeats.kept().count(), 5);
        targets
            .keys()
            .for_each(|uid| heartbeats.beat(1_500_000, uid, &targets[uid]));
        assert_eq!(heartbeats.kept().count(), 0);
        assert_eq!(heartbeats.run_out(2_400_000, &targets), (vec![], 0));
    }
}
