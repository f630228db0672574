//! What received records make of the member table (SWIM, section IV-B).

use super::Node;
use crate::Micros;
use crate::member::{Member, ReplayWindow, Suspicion};
use crate::output::{Change, Output};
use crate::record::{Record, State};
use crate::wire::DropReason;
use std::cmp::Ordering;

/// Members that departed make room for new ones after this many periods, and never before.
const DEPARTED_RETENTION_PERIODS: Micros = 3600;

impl Node {
    /// Applies a record that another member sent.
    pub(super) fn apply_record(
        &mut self,
        now: Micros,
        record: Record,
        from: &str,
        output: &mut Output,
    ) {
        if record.name == self.settings.name {
            return self.apply_record_of_self(&record, output);
        }
        let Some(member) = self.table.get(&record.name) else {
            return self.add_member(now, record, output);
        };
        let current_state = member.state;
        match record.precedence().cmp(&member.precedence()) {
            Ordering::Less => {}
            Ordering::Equal => {
                if let Some(observer) = record.observer {
                    self.confirm_suspicion(&record.name, observer);
                }
            }
            Ordering::Greater => {
                self.apply_newer_record(now, &record, current_state, from, output);
            }
        }
    }

    fn apply_newer_record(
        &mut self,
        now: Micros,
        record: &Record,
        current_state: State,
        from: &str,
        output: &mut Output,
    ) {
        match (record.state, current_state) {
            // an extension: no member dies by hearsay alone, see the crate's page
            (State::Dead, State::Alive) if self.settings.lifeguard => {
                let suspicion = Suspicion::new(now, from.to_string(), true);
                self.set_suspect(now, record, suspicion, output);
            }
            (State::Dead, State::Suspect) if self.settings.lifeguard => {
                if let Some(suspicion) = self.suspicion_mut(&record.name) {
                    suspicion.reported_dead = true;
                }
            }
            (State::Suspect, _) => self.set_suspect_by_record(now, record, output),
            _ => self.set_state(now, record, output),
        }
    }

    /// Adds a member that was not known, if there is room.
    fn add_member(&mut self, now: Micros, record: Record, output: &mut Output) {
        if !self.make_room(now) {
            self.counters.count_drop(DropReason::Full);
            return;
        }
        if record.state != State::Suspect {
            return self.set_state(now, &record, output);
        }
        let alive = Record {
            state: State::Alive,
            observer: None,
            ..record.clone()
        };
        self.set_state(now, &alive, output);
        self.set_suspect_by_record(now, &record, output);
    }

    /// Whether the table has room for one more, if need be in place of one that departed long ago.
    fn make_room(&mut self, now: Micros) -> bool {
        if self.table.len() + 1 < self.settings.max_members {
            return true;
        }
        let retention = DEPARTED_RETENTION_PERIODS * self.settings.protocol_period;
        self.table.evict_departed(now.saturating_sub(retention))
    }

    fn set_suspect_by_record(&mut self, now: Micros, record: &Record, output: &mut Output) {
        let observer = record.observer.clone().unwrap_or_default();
        let suspicion = Suspicion::new(now, observer, false);
        self.set_suspect(now, record, suspicion, output);
    }

    /// The member has this state, other than suspect, from now on, and that is gossiped.
    pub(super) fn set_state(&mut self, now: Micros, record: &Record, output: &mut Output) {
        let old = self.table.get(&record.name);
        let previous = old.map(|member| member.state);
        let last_heard = old.and_then(|member| member.last_heard);
        let replay_window = old.map_or_else(ReplayWindow::default, |member| member.replay_window);
        let since = old
            .filter(|member| member.state == record.state)
            .map_or(now, |member| member.since);
        if record.state.is_present() && !previous.is_some_and(State::is_present) {
            self.insert_into_probe_order(&record.name);
        }
        let member = Member {
            address: record.address,
            incarnation: record.incarnation,
            instance: record.instance,
            state: record.state,
            since,
            suspicion: None,
            last_heard,
            replay_window,
        };
        self.table.insert(&record.name, member);
        self.broadcasts.queue_member(&record.name);
        self.report_member_change(&record.name, previous, output);
    }

    pub(super) fn report_member_change(
        &self,
        name: &str,
        previous: Option<State>,
        output: &mut Output,
    ) {
        let Some(member) = self.table.get(name) else {
            return;
        };
        if Some(member.state) == previous {
            return;
        }
        output.changes.push(Change::MemberState {
            name: name.to_string(),
            previous,
            current: member.state,
            incarnation: member.incarnation,
            address: member.address,
        });
    }
}
