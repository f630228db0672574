//! Opening the state folder: acquires its ownership, continues module time and reads the journal.

use super::ProcessError;
use crate::net;
use crate::net::class_terms_file::ClassTermsFile;
use crate::net::clock::Clock;
use crate::net::config::Config;
use crate::net::discovery::BindingTimesFile;
use crate::net::handover::{FolderLock, FolderOwnership, ReceivedHandover, acquire_folder};
use crate::net::journal::{Journal, Recovery};
use crate::net::startup::retry_until_available;
use message_sender::class_transition::ClassTransition;

/// The open state folder, owned by this process.
pub(super) struct StateFolder {
    pub lock: FolderLock,
    /// State that a predecessor handed over; `None` after a start without a handover.
    pub received: Option<ReceivedHandover>,
    pub clock: Clock,
    pub journal: Journal,
    /// Terms of classes that an earlier process has stored.
    pub class_terms: Option<ClassTransition>,
    pub binding_times: BindingTimesFile,
}

/// Opens the state folder. Waits until this process owns it, and retries while errors of the local host may be
/// temporary. Returns `None` if a process that started later owns the folder.
///
/// # Errors
/// Returns the first error that a retry can't resolve.
pub(super) async fn open_state_folder(
    config: &Config,
) -> Result<Option<StateFolder>, ProcessError> {
    let open_lock = || FolderLock::open(&config.state_folder);
    let lock = retry_until_available("the state folder's lock", open_lock).await?;
    let received = match acquire_folder(&lock, &config.state_folder).await {
        FolderOwnership::WithoutHandover => None,
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
    let read_class_terms = || ClassTermsFile::new(&config.state_folder).read();
    let class_terms =
        retry_until_available("the stored terms of classes", read_class_terms).await?;
    let taken_over = received.is_some();
    let open_binding_times = || BindingTimesFile::open(&config.state_folder, clock, taken_over);
    let binding_times = retry_until_available("the binding times", open_binding_times).await?;
    Ok(Some(StateFolder {
        lock,
        received,
        clock,
        journal,
        class_terms,
        binding_times,
    }))
}

/// Returns the maximum number of journal records that all pending messages can need after their acceptance: for each
/// message, the start and the outcome of each attempt, and one end.
fn max_records(config: &Config) -> u64 {
    let settings = &config.settings;
    settings
        .max_pending
        .saturating_mul(2 * settings.max_attempts + 1) as u64
}

fn log_recovery(name: &str, journal: &Journal, recovery: &Recovery) {
    let Recovery {
        records,
        partial_record_bytes,
        damaged_bytes,
    } = recovery;
    if *records + *partial_record_bytes + *damaged_bytes > 0 {
        let unfinished = journal.unfinished().len();
        net::log(format_args!(
            "{name}: journal has {records} records, {unfinished} unfinished messages, {partial_record_bytes} bytes of an incomplete record dropped"
        ));
    }
    if *damaged_bytes > 0 {
        net::log(format_args!(
            "{name}: journal damaged, {damaged_bytes} bytes skipped; each unfinished message may have been sent"
        ));
    }
}
