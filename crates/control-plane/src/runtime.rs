//! A control balancer as a process: puts the parts together, and ends in order.

use std::collections::BTreeMap;
use std::future::Future;
use std::hash::{BuildHasher, Hasher, RandomState};
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;

use data_plane::client_connections::ClientTimeouts;
use data_plane::listener::{FINAL_REQUEST_WAIT, Listener, ListenerLimits, RequestHandler};
use load_balancing::settings::stable_hash;
use protocol::settings::Settings;
use raft::{Members, NodeId, PersistentState};
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};
use tokio::time::sleep;

use crate::http_api::{DirectoryApi, OperatorApi};
use crate::server::{Channels, ControlServer, ELECTION_TIMEOUT_MS, Environment};
use crate::store::{Store, StoreError, WRITE_RETRY_INTERVAL, quarantine};
use crate::{connections, discovery, key_leases};

/// Heads of calls are small.
const HEAD: usize = 16 << 10;
/// Callers of `ctl` and `dir` may take and stay idle for so long.
const TIMES: ClientTimeouts = ClientTimeouts {
    head: Duration::from_secs(3),
    idle: Duration::from_secs(15),
};
/// A leader that ends hands over within round trips; an election in its place takes as long as this at least.
const HAND_OVER: Duration = Duration::from_millis(ELECTION_TIMEOUT_MS);
/// Descriptors that are no caller's.
const RESERVED: usize = 300;

fn drawn() -> NodeId {
    RandomState::new().build_hasher().finish()
}

/// Who the disk makes of this machine. The founders are the seeds of the first start, the same at all; each
/// knows the others' ids by their addresses. Whoever comes later, or comes back without its disk, is new.
fn found(store: &Store, settings: &Settings, again: bool) -> Result<(), StoreError> {
    let founder = |at: std::net::SocketAddr| stable_hash(&at.to_string());
    let mut founders = Members::default();
    let own = settings.listen.ctl;
    let mut id = drawn();
    if settings.bootstrap && !again && own.is_some_and(|own| settings.seeds.contains(&own)) {
        id = founder(settings.internal_addr());
        let seeds = settings.internal_seeds();
        founders.voters = seeds
            .map(|at| (founder(at), at.to_string()))
            .collect::<BTreeMap<_, _>>();
    }
    store.initialize(id, &founders)
}

/// What the disk holds; a machine that is new on it by then. Tried until the disk gives an answer.
async fn stored(
    settings: &Settings,
    folder: &Path,
) -> Result<(Store, NodeId, PersistentState), String> {
    let mut again = false;
    loop {
        let cause = match Store::open(folder) {
            Ok((store, Some((id, stored)))) => return Ok((store, id, stored)),
            Ok((store, None)) => match found(&store, settings, again) {
                Ok(()) => continue,
                Err(cause) => cause,
            },
            Err(cause) => cause,
        };
        if matches!(cause, StoreError::UnsupportedFormat { .. }) {
            return Err(cause.to_string());
        }
        if cause.is_corrupted() {
            tracing::error!(%cause, "damaged: set aside, and this machine joins as a new member");
            again = true;
            if quarantine(folder).is_ok() {
                continue;
            }
        }
        tracing::warn!(%cause, "the disk refused; trying again");
        sleep(WRITE_RETRY_INTERVAL).await;
    }
}

/// Serves until `stop`.
pub async fn run(
    settings: Settings,
    mut reloads: mpsc::UnboundedReceiver<Settings>,
    stop: impl Future<Output = ()>,
) -> Result<(), String> {
    let bind = async |what: &str, at: Option<std::net::SocketAddr>| match at {
        None => Ok(None),
        Some(at) => TcpListener::bind(at)
            .await
            .map(Some)
            .map_err(|e| format!("{what} on {at}: {e}")),
    };
    let inner = bind("peers", Some(settings.internal_addr())).await?;
    let operators = bind("ctl", settings.listen.ctl).await?;
    let directory = bind("dir", settings.listen.dir).await?;
    tokio::pin!(stop);
    // Without a disk nothing is ever saved, and the channel must not end.
    let mut _nothing = None;
    let (disk, saved, id, stored) = match settings.data_dir.clone() {
        Some(folder) => {
            let (store, id, stored) = tokio::select! {
                stored = stored(&settings, &folder) => stored?,
                () = &mut stop => return Ok(()),
            };
            let (disk, saved) = store
                .spawn_writer()
                .map_err(|e| format!("disk thread: {e}"))?;
            (disk, saved, id, stored)
        }
        // Without a disk it takes no part in the log: it points callers to those that do.
        None => {
            let ((disk, _), (kept, saved)) =
                (std::sync::mpsc::channel(), mpsc::unbounded_channel());
            _nothing = Some(kept);
            (disk, saved, drawn(), PersistentState::default())
        }
    };
    let (dial, wanted) = mpsc::unbounded_channel();
    let most = settings.limits.max_fds.saturating_sub(RESERVED).max(16) / 4;
    let (breaks, mut broken) = mpsc::unbounded_channel();
    let cell = ControlServer::new(
        settings,
        id,
        stored,
        Channels {
            disk,
            dial,
            fatal_errors: breaks,
        },
        Environment::of_machine(),
    );
    tracing::info!(
        node = cell.settings.node,
        id = format!("{id:016x}"),
        "control"
    );
    tokio::task::spawn_local(connections::dial_peers(cell.clone(), wanted));
    tokio::task::spawn_local(cell.clone().run_clock());
    tokio::task::spawn_local(discovery::run(cell.clone()));
    tokio::task::spawn_local(key_leases::run(cell.clone()));
    if let Some(listener) = inner {
        tokio::task::spawn_local(connections::accept_connections(cell.clone(), listener));
    }
    let follows = cell.clone();
    tokio::task::spawn_local(async move {
        while let Some(settings) = reloads.recv().await {
            follows.add_seeds(&settings.seeds);
        }
    });
    let (ending, ended) = watch::channel(false);
    let bounds = ListenerLimits {
        max_connections: most,
        idle_eviction_threshold: most / 2,
        max_header_bytes: HEAD,
        timeouts: TIMES,
        accept_grace: Duration::ZERO,
        drain_timeout: Duration::from_secs(1),
        final_request_wait: FINAL_REQUEST_WAIT,
    };
    let mut fronts = Vec::new();
    if let Some(listener) = operators {
        let gate = Rc::new(OperatorApi {
            server: cell.clone(),
        });
        fronts.push(front(gate, bounds, listener, ended.clone()));
    }
    if let Some(listener) = directory {
        let gate = Rc::new(DirectoryApi::new(cell.clone()));
        fronts.push(front(gate, bounds, listener, ended.clone()));
    }
    let disk_failed = cell.clone().run_disk_events(saved);
    tokio::pin!(disk_failed);
    tokio::select! {
        () = &mut stop => {}
        why = broken.recv() => return Err(why.unwrap_or_default()),
        () = &mut disk_failed => return Err("the disk failed".into()),
    }
    tokio::select! {
        () = cell.shut_down(HAND_OVER) => {}
        () = &mut disk_failed => return Err("the disk failed".into()),
    }
    let _ = ending.send(true);
    for front in fronts {
        let _ = front.await;
    }
    Ok(())
}

fn front<G: RequestHandler>(
    gate: Rc<G>,
    bounds: ListenerLimits,
    listener: TcpListener,
    mut ended: watch::Receiver<bool>,
) -> tokio::task::JoinHandle<()> {
    let stop = async move {
        let _ = ended.wait_for(|e| *e).await;
    };
    tokio::task::spawn_local(Listener::new(gate, bounds).serve(listener, stop))
}

#[cfg(test)]
mod tests {
    use super::*;

    #[tokio::test]
    async fn a_machine_whose_file_is_damaged_joins_as_a_new_member() {
        let folder = crate::store::tests::folder("again");
        let text = r#"{"node": "n", "ip": "127.0.0.1", "zone": "a", "region": "r",
            "zone_map": {"a": "r"}, "listen": {"ctl": "127.0.0.1:9"}, "port_range": [7000, 7010],
            "seeds": ["127.0.0.1:9"], "bootstrap": true}"#;
        let settings = Settings::parse(Path::new("boot.json"), text.as_bytes()).expect("good");
        let (store, founder, first) = stored(&settings, &folder).await.expect("a new one");
        let voters =
            |s: &PersistentState| s.snapshot.as_ref().map_or(0, |s| s.members.voters.len());
        assert_eq!(voters(&first), 1);
        drop(store);
        let (store, same, _) = stored(&settings, &folder).await.expect("the same again");
        assert_eq!(same, founder);
        drop(store);
        let file = folder.join("control.redb");
        let mut bytes = std::fs::read(&file).expect("readable");
        bytes[..16].fill(7);
        std::fs::write(&file, bytes).expect("written");
        let (_store, other, found) = stored(&settings, &folder).await.expect("a new one");
        assert_ne!(other, founder, "under its old name it might vote twice");
        assert_eq!(voters(&found), 0, "and it founds nothing");
        let _ = std::fs::remove_dir_all(&folder);
    }
}
