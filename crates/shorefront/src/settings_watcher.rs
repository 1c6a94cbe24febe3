//! Reloads the settings file upon SIGHUP and whenever the file has changed.
//!
//! The running role receives each new version over a channel. If the file is unusable or missing, the current settings
//! stay in force. A changed zone or listen address takes effect only when the process is restarted.

use std::path::{Path, PathBuf};
use std::time::{Duration, SystemTime};

use protocol::settings::Settings;
use tokio::signal::unix::Signal;
use tokio::sync::mpsc;
use tokio::time::sleep;

/// How often the file is checked for changes.
const CHECK_INTERVAL: Duration = Duration::from_secs(2);

/// Modification time and size of the file, to detect changes.
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

/// Sends each version of the settings that differs from the previous one to `reloads`, until the process ends. The
/// role was started with the settings in `current`.
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
                tracing::info!("settings file reloaded, nothing changed");
            }
            Ok(settings) => {
                if settings.listen != current.listen || settings.zone != current.zone {
                    tracing::warn!(
                        zone = settings.zone,
                        "a changed zone or listen address takes effect only after a restart"
                    );
                }
                tracing::info!(seeds = ?settings.seeds, "settings reloaded");
                current = settings.clone();
                // Sending fails only if the role has ended, and then the process is about to end too.
                let _ = reloads.send(settings);
            }
            Err(error) => {
                tracing::warn!(%error, "settings file not reloaded, the current settings stay in force");
            }
        }
    }
}
