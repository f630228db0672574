//! Which of two processes of this machine started later.

/// The field of `/proc/PID/stat` that holds the start time, in clock ticks since the machine started; counted from 0 behind
/// the program's name.
const START_TIME_FIELD: usize = 19;

/// True if the process with this id started after this one. Of two that started within a clock tick, the later has the
/// higher id.
pub(super) fn started_after_this(process: i32) -> bool {
    let own = start_time("self");
    let other = start_time(&process.to_string());
    let own_id = i64::from(std::process::id());
    own.zip(other)
        .is_some_and(|(own, other)| (other, i64::from(process)) > (own, own_id))
}

/// When a process started; none where the system does not tell.
fn start_time(process: &str) -> Option<u64> {
    let stat = std::fs::read_to_string(format!("/proc/{process}/stat")).ok()?;
    start_time_in(&stat)
}

/// The start time in the text of `/proc/PID/stat`, whose second field is a name in parentheses that may hold anything.
fn start_time_in(stat: &str) -> Option<u64> {
    let (_, rest) = stat.rsplit_once(") ")?;
    rest.split(' ').nth(START_TIME_FIELD)?.parse().ok()
}

#[cfg(test)]
mod tests;
