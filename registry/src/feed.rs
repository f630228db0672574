//! What watchers are told: each change encoded once for all of them, the whole list once a version. A watcher has a place in
//! the feed and no queue of its own, so one that does not read costs nothing.

use crate::state::Changed;
use crate::target::Target;
use bytes::Bytes;
use std::collections::{BTreeMap, VecDeque};

/// Bytes of changes that are kept; a watcher from before them gets the whole list.
const KEPT_MOST: usize = 1 << 20;

/// A version's changes: each entry's line, and all as one.
#[derive(Debug)]
struct Recent {
    rev: u64,
    entries: Vec<(String, String)>,
    line: Bytes,
}

/// The list and its last changes, as lines.
#[derive(Debug, Default)]
pub struct Feed {
    rev: u64,
    entries: BTreeMap<String, String>,
    changes: VecDeque<Recent>,
    bytes: usize,
    whole: Option<Bytes>,
}

fn line<'a>(rev: u64, all: bool, entries: impl Iterator<Item = &'a String>) -> Bytes {
    let entries = entries.map(String::as_str).collect::<Vec<_>>().join(",");
    format!("{{\"rev\":{rev},\"all\":{all},\"targets\":[{entries}]}}\n").into()
}

impl Feed {
    /// Begins anew with a list: changes up to it are not known.
    pub fn reset(&mut self, rev: u64, targets: &BTreeMap<String, Target>) {
        let entries = targets
            .iter()
            .map(|(uid, target)| (uid.clone(), target.line(uid, false)))
            .collect();
        *self = Feed {
            rev,
            entries,
            ..Feed::default()
        };
    }

    /// A version came, with these changes.
    pub fn push(&mut self, rev: u64, changed: &[Changed]) {
        let lines: Vec<String> = changed
            .iter()
            .map(|(uid, target, gone)| target.line(uid, *gone))
            .collect();
        for ((uid, _, gone), line) in changed.iter().zip(&lines) {
            if *gone {
                self.entries.remove(uid);
            } else {
                self.entries.insert(uid.clone(), line.clone());
            }
        }
        let encoded = line(rev, false, lines.iter());
        self.bytes += encoded.len();
        let entries = changed
            .iter()
            .map(|(uid, ..)| uid.clone())
            .zip(lines)
            .collect();
        self.changes.push_back(Recent {
            rev,
            entries,
            line: encoded,
        });
        (self.rev, self.whole) = (rev, None);
        while self.bytes > KEPT_MOST
            && let Some(oldest) = self.changes.pop_front()
        {
            self.bytes -= oldest.line.len();
        }
    }

    /// The list's version.
    pub fn rev(&self) -> u64 {
        self.rev
    }

    /// The whole list, as a line.
    pub fn whole(&mut self) -> Bytes {
        let whole = self
            .whole
            .take()
            .unwrap_or_else(|| line(self.rev, true, self.entries.values()));
        self.whole.insert(whole).clone()
    }

    /// What one that knows version `from` lacks, as one line, and the version that it then knows: the changes since, or the
    /// whole list where these are not known, the version is ahead or none; nothing, if it lacks nothing.
    pub fn since(&mut self, from: u64) -> Option<(u64, Bytes)> {
        if from == self.rev {
            return None;
        }
        let first = self.changes.front().map_or(u64::MAX, |change| change.rev);
        if from == 0 || from > self.rev || first > from + 1 {
            return Some((self.rev, self.whole()));
        }
        let mut lacked = self.changes.iter().skip((from + 1 - first) as usize);
        let line = match (lacked.next(), lacked.next()) {
            (Some(only), None) => only.line.clone(),
            // each entry as it was last
            _ => {
                let lacked = self.changes.iter().skip((from + 1 - first) as usize);
                let entries: BTreeMap<&String, &String> = lacked
                    .flat_map(|change| &change.entries)
                    .map(|(uid, line)| (uid, line))
                    .collect();
                line(self.rev, false, entries.into_values())
            }
        };
        Some((self.rev, line))
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::state::{Change, Command, State};
    use rand::{Rng, SeedableRng};
    use serde_json::Value;

    /// A watcher that keeps the list by the lines alone.
    #[derive(Default)]
    struct Watcher {
        rev: u64,
        list: BTreeMap<String, Value>,
    }

    impl Watcher {
        fn read(&mut self, line: &Bytes) {
            let line: Value = serde_json::from_slice(line).expect("JSON");
            let rev = line["rev"].as_u64().expect("a version");
            assert!(rev > self.rev, "{rev} after {}", self.rev);
            self.rev = rev;
            if line["all"] == true {
                self.list.clear();
            }
            for target in line["targets"].as_array().expect("entries") {
                let uid = target["uid"].as_str().expect("a name").to_string();
                if target["state"] == "removed" {
                    self.list.remove(&uid);
                } else {
                    self.list.insert(uid, target.clone());
                }
            }
        }
    }

    #[test]
    fn every_watcher_from_any_version_ends_with_the_list_and_sees_versions_rise() {
        let mut random = rand_pcg::Pcg64::seed_from_u64(9);
        let (mut state, mut feed) = (State::default(), Feed::default());
        let mut watchers: Vec<Watcher> = Vec::new();
        for turn in 0..600 {
            let uid = format!("e{}", random.random_range(0..8));
            let change = match random.random_range(0..4) {
                0 => Change::Remove { uid },
                1 => Change::Drain { uid },
                _ => {
                    let target = serde_json::json!({
                        "endpoint": format!("10.0.0.1:{}", random.random_range(1..5)), "pod_group": 1, "boot_ms": turn
                    });
                    Change::Put {
                        uid,
                        target: serde_json::from_value(target).expect("a target"),
                    }
                }
            };
            if let Ok(applied) = state.apply(Command::List {
                if_match: None,
                changes: vec![change],
            }) && !applied.changed.is_empty()
            {
                feed.push(applied.rev, &applied.changed);
            }
            if turn == 300 {
                feed.reset(state.rev, &state.targets); // a snapshot took the place of the changes
            }
            watchers.push(Watcher::default());
            for watcher in &mut watchers {
                if random.random_range(0..20) == 0
                    && let Some((rev, line)) = feed.since(watcher.rev)
                {
                    watcher.read(&line);
                    assert_eq!(watcher.rev, rev);
                }
            }
        }
        for watcher in &mut watchers {
            if let Some((_, line)) = feed.since(watcher.rev) {
                watcher.read(&line);
            }
            let uids: Vec<&String> = watcher.list.keys().collect();
            assert_eq!(uids, state.targets.keys().collect::<Vec<_>>());
            for (uid, target) in &state.targets {
                assert_eq!(watcher.list[uid].to_string(), target.line(uid, false));
            }
        }
    }

    #[test]
    fn an_unknown_version_or_one_ahead_gets_the_whole_list() {
        let mut feed = Feed::default();
        feed.reset(7, &BTreeMap::new());
        for from in [0, 6, 8] {
            let (rev, line) = feed.since(from).expect("the list");
            assert_eq!(
                (rev, &line[..]),
                (7, &b"{\"rev\":7,\"all\":true,\"targets\":[]}\n"[..])
            );
        }
        assert!(feed.since(7).is_none());
    }
}
