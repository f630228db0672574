//! What the calendar means on a clock: when windows are active, and which entries a leader proposes. Local times are read by
//! the rules of the window's time zone; where an hour is skipped or comes twice, the window is the longer one.

use super::{
    ActiveWindow, FreezeCalendar, FreezeEntry, FreezeError, FreezeState, FreezeWindow, Recurrence,
};
use jiff::civil::DateTime;
use jiff::tz::TimeZone;
use jiff::{Timestamp, ToSpan};
use std::collections::BTreeMap;

/// How far clocks of replicas may differ, ms: a window begins so much early and ends so much late.
pub const MAX_CLOCK_SKEW_MS: u64 = 2_000;

/// How often the log's clock is written while there are windows, ms.
pub const CLOCK_INTERVAL_MS: u64 = 30_000;

/// What a leader's clocks show, Unix time in ms: its own, and the log's as carried on by the time that has passed since. Where
/// they differ, a window begins by the later and ends by the earlier: a clock that jumps neither opens one nor skips one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Clocks {
    /// The leader's own.
    pub wall_ms: u64,
    /// The log's.
    pub log_ms: u64,
}

impl Clocks {
    /// What has surely passed.
    pub fn earliest(self) -> u64 {
        self.wall_ms.min(self.log_ms)
    }

    /// What may have passed.
    pub fn latest(self) -> u64 {
        self.wall_ms.max(self.log_ms)
    }

    /// Whether they differ by more than they may.
    pub fn differ(self) -> bool {
        self.latest() - self.earliest() > MAX_CLOCK_SKEW_MS
    }
}

/// A span of time, Unix ms.
type Span = (u64, u64);

fn ms(at: Timestamp) -> u64 {
    u64::try_from(at.as_millisecond()).unwrap_or(0)
}

impl FreezeWindow {
    fn read(&self) -> Result<(TimeZone, DateTime, DateTime), String> {
        let zone =
            TimeZone::get(&self.zone).map_err(|_| format!("zone {} is not known", self.zone))?;
        let time = |text: &str| {
            text.parse::<DateTime>()
                .map_err(|error| format!("{text}: {error}"))
        };
        let (begin, end) = (time(&self.begin)?, time(&self.end)?);
        if end <= begin {
            return Err("it has no length".to_string());
        }
        let longest = match self.recurrence {
            Some(Recurrence::Week) => begin.checked_add(1.week()),
            Some(Recurrence::Year) => begin.checked_add(1.year()),
            None => Ok(DateTime::MAX),
        };
        if longest.is_ok_and(|next| end > next) {
            return Err("it is on again before it has ended".to_string());
        }
        Ok((zone, begin, end))
    }

    /// The spans of it that end after a time: the one that is on or next, and the one after.
    fn spans(&self, now_ms: u64) -> Result<Vec<Span>, String> {
        let (zone, begin, end) = self.read()?;
        let now = Timestamp::from_millisecond(i64::try_from(now_ms).unwrap_or(i64::MAX / 2));
        let now = now
            .map_err(|error| error.to_string())?
            .to_zoned(zone.clone())
            .datetime();
        let first = match self.recurrence {
            None => 0,
            Some(Recurrence::Year) => i64::from(now.year()) - i64::from(begin.year()) - 1,
            Some(Recurrence::Week) => i64::from((now.date() - begin.date()).get_days()) / 7 - 1,
        };
        let count = if self.recurrence.is_some() { 4 } else { 1 };
        let at = |time: DateTime, number: i64| match self.recurrence {
            Some(Recurrence::Week) => time.checked_add(number.weeks()),
            // the 29th of a February that has none is its last day
            Some(Recurrence::Year) => time.checked_add(number.years()),
            None => Ok(time),
        };
        let mut spans = Vec::new();
        for number in first.max(0)..first.max(0) + count {
            let (Ok(begin), Ok(end)) = (at(begin, number), at(end, number)) else {
                break;
            };
            let early = zone.to_ambiguous_zoned(begin).earlier();
            let late = zone.to_ambiguous_zoned(end).later();
            let (Ok(begin), Ok(end)) = (early, late) else {
                break;
            };
            let span = (ms(begin.timestamp()), ms(end.timestamp()));
            if span.1 > now_ms {
                spans.push(span);
            }
        }
        spans.truncate(2);
        Ok(spans)
    }

    fn on(&self, until_ms: u64) -> ActiveWindow {
        let (reason, owner) = (self.reason.clone(), self.owner.clone());
        ActiveWindow {
            until_ms,
            scope: self.scope.clone(),
            held_changes: self.held_changes.clone(),
            reason,
            owner,
        }
    }
}

impl FreezeCalendar {
    /// Checks that each window can be read.
    ///
    /// # Errors
    /// Names the first that can't.
    pub fn check_times(&self) -> Result<(), FreezeError> {
        self.windows.iter().try_for_each(|(name, window)| {
            let read = window.read().map(drop);
            read.map_err(|problem| FreezeError::InvalidWindow {
                window: name.clone(),
                problem,
            })
        })
    }

    /// Windows that have ended for good.
    pub fn ended_windows(&self, now_ms: u64) -> Vec<&String> {
        let ended =
            |window: &FreezeWindow| window.spans(now_ms).is_ok_and(|spans| spans.is_empty());
        self.windows
            .iter()
            .filter(|(_, window)| ended(window))
            .map(|(name, _)| name)
            .collect()
    }
}

impl FreezeState {
    /// What a leader proposes: windows that begin or end, a glass that is whole again, the log's clock.
    pub fn due_entries(&self, clocks: Clocks) -> Vec<FreezeEntry> {
        let mut due = Vec::new();
        let calendars = self
            .previous_calendar()
            .into_iter()
            .chain([self.calendar()]);
        // of two windows of one name that of the new calendar comes last, and stays on no shorter than the other
        let mut wanted: BTreeMap<&String, ActiveWindow> = BTreeMap::new();
        for (name, window) in calendars.flat_map(|calendar| &calendar.windows) {
            let spans = window
                .spans(clocks.earliest().saturating_sub(MAX_CLOCK_SKEW_MS))
                .unwrap_or_default();
            if let Some((_, end)) = spans
                .into_iter()
                .find(|(begin, _)| *begin <= clocks.latest() + MAX_CLOCK_SKEW_MS)
            {
                let until = wanted.get(name).map_or(end, |on| end.max(on.until_ms));
                wanted.insert(name, window.on(until));
            }
        }
        for (name, on) in &wanted {
            if self.active_windows().get(*name) != Some(on) {
                due.push(FreezeEntry::BeginWindow((*name).clone(), on.clone()));
            }
        }
        let over = self
            .active_windows()
            .keys()
            .filter(|name| !wanted.contains_key(name));
        due.extend(over.cloned().map(FreezeEntry::EndWindow));
        if self
            .break_glass_override()
            .is_some_and(|glass| glass.until_ms <= clocks.latest())
        {
            due.push(FreezeEntry::EndOverride);
        }
        let windows = !self.calendar().windows.is_empty() || self.previous_calendar().is_some();
        if windows && clocks.earliest() >= self.clock_ms() + CLOCK_INTERVAL_MS {
            due.push(FreezeEntry::AdvanceClock(clocks.earliest()));
        }
        due
    }

    /// Windows that begin within so long, with the time until then: what one goes by that hears nothing more.
    pub fn upcoming_windows(
        &self,
        clocks: Clocks,
        within_ms: u64,
    ) -> Vec<(String, u64, ActiveWindow)> {
        let calendars = self
            .previous_calendar()
            .into_iter()
            .chain([self.calendar()]);
        let windows = calendars.flat_map(|calendar| &calendar.windows);
        let soon = windows.flat_map(|(name, window)| {
            let spans = window.spans(clocks.latest()).unwrap_or_default();
            let now = clocks.latest() + MAX_CLOCK_SKEW_MS;
            let next = spans
                .into_iter()
                .filter(move |(begin, _)| *begin > now && *begin <= now + within_ms);
            next.map(move |(begin, end)| (name.clone(), begin - now, window.on(end)))
        });
        soon.collect()
    }
}

#[cfg(test)]
mod tests;
