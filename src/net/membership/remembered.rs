//! What a member remembers over a restart, in the state folder.

use crate::net::log;
use fleet_membership::PersistedState;
use std::path::Path;

/// The file's name.
pub(super) const FILE: &str = "members";

/// Reads what an earlier process remembered; nothing if that can't be read.
pub(super) async fn load(folder: &Path) -> PersistedState {
    let path = folder.join(FILE);
    let read = tokio::task::spawn_blocking(move || std::fs::read(path)).await;
    let Ok(Ok(bytes)) = read else {
        return PersistedState::default();
    };
    serde_json::from_slice(&bytes).unwrap_or_else(|error| {
        log(format_args!(
            "members: the remembered members can't be read: {error}"
        ));
        PersistedState::default()
    })
}

/// Replaces the file in one step.
pub(super) fn store(folder: &Path, remembered: &PersistedState) -> std::io::Result<()> {
    let new = folder.join(FILE).with_extension("new");
    std::fs::write(&new, serde_json::to_vec(remembered)?)?;
    std::fs::rename(&new, folder.join(FILE))
}
