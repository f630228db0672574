//! The log lines of the raft engine.

/// The engine's lines go where this program's do.
pub(super) struct EngineLog;

impl slog::Drain for EngineLog {
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
