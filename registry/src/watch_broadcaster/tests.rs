//! Tests of what watchers are sent.

use super::*;
use crate::state::{Command, ListChange, State};
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
fn watcher_from_any_version_ends_with_the_list_and_sees_rising_versions() {
    let mut random = rand_pcg::Pcg64::seed_from_u64(9);
    let (mut state, mut broadcaster) = (State::default(), WatchBroadcaster::default());
    let mut watchers: Vec<Watcher> = Vec::new();
    for turn in 0..600 {
        let uid = format!("e{}", random.random_range(0..8));
        let change = match random.random_range(0..4) {
            0 => ListChange::Remove { uid },
            1 => ListChange::Drain { uid },
            _ => {
                let target = serde_json::json!({
                    "endpoint": format!("10.0.0.1:{}", random.random_range(1..5)), "pod_group": 1, "boot_ms": turn
                });
                ListChange::Put {
                    uid,
                    endpoint: serde_json::from_value(target).expect("a target"),
                }
            }
        };
        if let Ok(applied) = state.apply(Command::ChangeList {
            if_match: None,
            changes: vec![change],
        }) && !applied.changed.is_empty()
        {
            broadcaster.push(applied.rev, &applied.changed);
        }
        if turn == 300 {
            broadcaster.reset(state.rev, &state.endpoints); // a snapshot took the place of the changes
        }
        watchers.push(Watcher::default());
        for watcher in &mut watchers {
            if random.random_range(0..20) == 0
                && let Some(WatchUpdate { rev, line }) = broadcaster.changes_since(watcher.rev)
            {
                watcher.read(&line);
                assert_eq!(watcher.rev, rev);
            }
        }
    }
    for watcher in &mut watchers {
        if let Some(WatchUpdate { line, .. }) = broadcaster.changes_since(watcher.rev) {
            watcher.read(&line);
        }
        let uids: Vec<&String> = watcher.list.keys().collect();
        assert_eq!(uids, state.endpoints.keys().collect::<Vec<_>>());
        for (uid, target) in &state.endpoints {
            assert_eq!(watcher.list[uid].to_string(), target.to_json(uid, false));
        }
    }
}

#[test]
fn version_unknown_or_ahead_gets_the_full_list() {
    let mut broadcaster = WatchBroadcaster::default();
    broadcaster.reset(7, &BTreeMap::new());
    for from in [0, 6, 8] {
        let WatchUpdate { rev, line } = broadcaster.changes_since(from).expect("the list");
        assert_eq!(
            (rev, &line[..]),
            (7, &b"{\"rev\":7,\"all\":true,\"targets\":[]}\n"[..])
        );
    }
    assert!(broadcaster.changes_since(7).is_none());
}
