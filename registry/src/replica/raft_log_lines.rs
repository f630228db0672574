//! Passes the log lines of the raft engine on to `tracing`.

/// A drain for the engine's logger.
pub(super) struct RaftLogLines;

impl slog::Drain for RaftLogLines {
    type Ok = ();
    type Err = slog::Never;

    fn log(&self, record: &slog::Record<'_>, _: &slog::OwnedKVList) -> Result<(), slog::Never> {
        match record.level() {
            slog::Level::Critical | slog::Level::Error => {
                tracing::error!(target: "raft", "{}", record.msg())
            }
            slog::Level::Warning => tracing::warn!(target: "raft", "{}", record.msg()),
            _ => tracing::debug!(target: "raft", "{}", record.msg()),
        }
        Ok(())
    }
}
