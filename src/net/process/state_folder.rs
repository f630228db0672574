//! The state folder: who owns it, the time line, and the journal.

use super::ProcessError;
use crate::net;
use crate::net::clock::Clock;
use crate::net::config::Config;
use crate::net::handover::{FolderLock, FolderOwnership, ReceivedHandover, acquire_folder};
use crate::net::journal::{Journal, Recovery};
use crate::net::startup::retry_until_available;

/// The open state folder, owned by this process.
pub(super) struct StateFolder {
    pub lock: FolderLock,
    /// What a predecessor handed over; none where none did.
    pub received: Option<ReceivedHandover>,
    pub clock: Clock,
    pub journal: Journal,
}

/// Opens the state folder, as soon as this process owns it and the machine can read it; none where a process that started
/// later owns it.
///
/// # Errors
/// It fails in a way that does not pass by itself.
pub(super) async fn open_state_folder(
    config: &Config,
) -> Result<Option<StateFolder>, ProcessError> {
    let open_lock = || FolderLock::open(&config.state_folder);
    let lock = retry_until_available("the folder's lock", open_lock).await?;
    let received = match acquire_folder(&lock, &config.state_folder).await {
        FolderOwnership::Free => None,
        FolderOwnership::HandedOver(received) => Some(*received),
        FolderOwnership::NewerProcess => return Ok(None),
    };
    let resume_clock = || Clock::resume(&config.state_folder);
    let clock = retry_until_available("the clock", resume_clock).await?;
    let open_journal = || {
        Journal::open(
            &config.state_folder,
            config.journal_bytes,
            max_records(config),
        )
    };
    let (journal, recovery) = retry_until_available("the journal", open_journal).await?;
    log_recovery(&config.name, &journal, &recovery);
    Ok(Some(StateFolder {
        lock,
        received,
        clock,
        journal,
    }))
}

/// Sends, outcomes and ends that the messages held at once may come to.
fn max_records(config: &Config) -> u64 {
    let settings = &config.settings;
    settings
        .max_pending
        .saturating_mul(2 * settings.max_attempts + 1) as u64
}

fn log_recovery(name: &str, journal: &Journal, recovery: &Recovery) {
    let Recovery {
        records,
        torn,
        damaged,
    } = recovery;
    if *records + *torn + *damaged > 0 {
        let unfinished = journal.unfinished().len();
        net::log(format_args!(
            "{name}: journal has {records} records, {unfinished} unfinished messages, {torn} bytes torn off"
        ));
    }
    if *damaged > 0 {
        net::log(format_args!(
            "{name}: journal damaged, {damaged} bytes skipped; all it holds may have run"
        ));
    }
}
