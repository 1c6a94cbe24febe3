//! Follows the settings file: read again upon SIGHUP and when it was changed. A bad change keeps what was
//! good.

use std::path::PathBuf;
use std::time::{Duration, SystemTime};

use protocol::settings::Settings;
use tokio::signal::unix::Signal;
use tokio::sync::mpsc;
use tokio::time::sleep;

/// How often the file is looked at.
const LOOK: Duration = Duration::from_secs(2);

pub async fn follow(
    path: PathBuf,
    mut current: Settings,
    mut hangup: Signal,
    reload: mpsc::UnboundedSender<Settings>,
) {
    let changed = |path: &PathBuf| -> Option<(SystemTime, u64)> {
        let meta = std::fs::metadata(path).ok()?;
        Some((meta.modified().ok()?, meta.len()))
    };
    let mut seen = changed(&path);
    loop {
        let told = tokio::select! {
            told = hangup.recv() => told.is_some(),
            () = sleep(LOOK) => false,
        };
        let now = changed(&path);
        if !told && now == seen {
            continue;
        }
        seen = now;
        match Settings::read(&path) {
            Ok(settings) if settings == current => {
                tracing::info!("the settings are what they were");
            }
            Ok(settings) => {
                let moved = settings.listen != current.listen || settings.zone != current.zone;
                if moved {
                    tracing::warn!("a new zone or address takes effect with the next start");
                }
                tracing::info!(seeds = ?settings.seeds, "settings read again");
                current = settings.clone();
                let _ = reload.send(settings);
            }
            Err(cause) => tracing::error!(%cause, "the old settings stay"),
        }
    }
}
