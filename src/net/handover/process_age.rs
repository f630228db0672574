//! Start times of processes on the local host, to find out which of two processes started later.

/// Index of the field of `/proc/PID/stat` with the process's start time, in clock ticks since boot. The first field
/// after the program name has index 0.
const START_TIME_FIELD: usize = 19;

/// Returns true if the process with the given id started after the current process. If both started within the same
/// clock tick, the process with the higher id counts as the later one.
pub(super) fn started_after_this(process_id: i32) -> bool {
    let own = start_time("self");
    let other = start_time(&process_id.to_string());
    let own_id = i64::from(std::process::id());
    own.zip(other)
        .is_some_and(|(own, other)| (other, i64::from(process_id)) > (own, own_id))
}

/// Returns the start time of a process in clock ticks since boot, or `None` if the system does not report it.
fn start_time(process: &str) -> Option<u64> {
    let stat = std::fs::read_to_string(format!("/proc/{process}/stat")).ok()?;
    start_time_in(&stat)
}

/// Parses the start time from the text of `/proc/PID/stat`. The second field is the program name in parentheses, which
/// may itself contain spaces and parentheses, so the fields are counted from the last closing parenthesis.
fn start_time_in(stat: &str) -> Option<u64> {
    let (_, rest) = stat.rsplit_once(") ")?;
    rest.split(' ').nth(START_TIME_FIELD)?.parse().ok()
}

#[cfg(test)]
mod tests;
