//! Follows the settings file: it is read again upon SIGHUP and whenever it has changed.
//!
//! The running role gets each new version over a channel. A file that can't be used, or is gone, leaves the settings
//! that are in force. A new zone or address takes effect only with the next start of the process.

use std::path::{Path, PathBuf};
use std::time::{Duration, SystemTime};

use protocol::settings::Settings;
use tokio::signal::unix::Signal;
use tokio::sync::mpsc;
use tokio::time::sleep;

/// How often the file is checked for changes.
const CHECK_INTERVAL: Duration = Duration::from_secs(2);

/// Tells one version of the file from another.
#[derive(PartialEq, Eq)]
struct FileVersion {
    modified: SystemTime,
    bytes: u64,
}

impl FileVersion {
    fn of(path: &Path) -> Option<Self> {
        let metadata = std::fs::metadata(path).ok()?;
        Some(Self {
            modified: metadata.modified().ok()?,
            bytes: metadata.len(),
        })
    }
}

/// Sends settings other than `current` to `reloads` as they come, until the process ends.
pub(crate) async fn run(
    path: PathBuf,
    mut current: Settings,
    mut hangup: Signal,
    reloads: mpsc::UnboundedSender<Settings>,
) {
    let mut version = FileVersion::of(&path);
    loop {
        let is_requested = tokio::select! {
            signal = hangup.recv() => signal.is_some(),
            () = sleep(CHECK_INTERVAL) => false,
        };
        let new_version = FileVersion::of(&path);
        if !is_requested && new_version == version {
            continue;
        }
        version = new_version;
        match Settings::read(&path) {
            Ok(settings) if settings == current => {
                tracing::info!("settings file read again without a change");
            }
            Ok(settings) => {
                if settings.listen != current.listen || settings.zone != current.zone {
                    tracing::warn!(
                        zone = settings.zone,
                        "a change of zone or listen addresses takes effect with the next start"
                    );
                }
                tracing::info!(seeds = ?settings.seeds, "settings reloaded");
                current = settings.clone();
                // The role that would receive them has ended, and the process is about to.
                let _ = reloads.send(settings);
            }
            Err(error) => {
                tracing::warn!(%error, "settings not reloaded, those in force are kept");
            }
        }
    }
}
