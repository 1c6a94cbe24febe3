//! A control balancer as a process: puts the parts together, and ends in order.

use std::collections::BTreeMap;
use std::future::Future;
use std::hash::{BuildHasher, Hasher, RandomState};
use std::rc::Rc;
use std::time::Duration;

use agreement::{Members, NodeId};
use data_plane::connections::Times;
use data_plane::front::{Bounds, Front, Gate};
use decisions::settings::stable_hash;
use messages::settings::Settings;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};

use crate::cell::Cell;
use crate::interface::{Directory, Operators};
use crate::store::Store;
use crate::{peers, platform};

/// Heads of calls are small.
const HEAD: usize = 16 << 10;
/// Callers of `ctl` and `dir` may take and stay idle for so long.
const TIMES: Times = Times { head: Duration::from_secs(3), idle: Duration::from_secs(15) };
/// Descriptors that are no caller's.
const RESERVED: usize = 300;

/// Who the disk makes of this machine. The founders are the seeds of the first start, the same at all; each
/// knows the others' ids by their addresses. Whoever comes later, or comes back without its disk, is new.
fn identity(store: &Store, settings: &Settings) -> Result<NodeId, String> {
    if let Some(id) = store.identity().map_err(|e| e.to_string())? {
        return Ok(id);
    }
    let founder = |at: std::net::SocketAddr| stable_hash(&at.to_string());
    let mut founders = Members::default();
    let own = settings.listen.ctl;
    let mut id = RandomState::new().build_hasher().finish();
    if settings.bootstrap && own.is_some_and(|own| settings.seeds.contains(&own)) {
        id = founder(settings.inner());
        let seeds = settings.seeds.iter().map(|s| settings.inner_of(*s));
        founders.voters = seeds.map(|at| (founder(at), at.to_string())).collect::<BTreeMap<_, _>>();
    }
    store.found(id, &founders).map_err(|e| e.to_string())?;
    Ok(id)
}

/// Serves until `stop`.
pub async fn run(
    settings: Settings,
    mut reloads: mpsc::UnboundedReceiver<Settings>,
    stop: impl Future<Output = ()>,
) -> Result<(), String> {
    let folder = settings.data_dir.clone().ok_or("`data_dir` is not set: control needs a disk")?;
    let bind = async |what: &str, at: Option<std::net::SocketAddr>| match at {
        None => Ok(None),
        Some(at) => {
            TcpListener::bind(at).await.map(Some).map_err(|e| format!("{what} on {at}: {e}"))
        }
    };
    let inner = bind("peers", Some(settings.inner())).await?;
    let operators = bind("ctl", settings.listen.ctl).await?;
    let directory = bind("dir", settings.listen.dir).await?;
    let store = Store::open(&folder).map_err(|e| e.to_string())?;
    let id = identity(&store, &settings)?;
    let stored = store.load().map_err(|e| e.to_string())?;
    let (disk, saved) = store.serve().map_err(|e| format!("disk thread: {e}"))?;
    let (dial, wanted) = mpsc::unbounded_channel();
    let most = settings.limits.max_fds.saturating_sub(RESERVED).max(16) / 4;
    let cell = Cell::new(settings, id, stored, disk, dial);
    tracing::info!(node = cell.settings.node, id = format!("{id:016x}"), "control");
    tokio::task::spawn_local(peers::call_all(cell.clone(), wanted));
    tokio::task::spawn_local(cell.clone().keep_time());
    tokio::task::spawn_local(platform::follow(cell.clone()));
    if let Some(listener) = inner {
        tokio::task::spawn_local(peers::listen(cell.clone(), listener));
    }
    let follows = cell.clone();
    tokio::task::spawn_local(async move {
        while let Some(settings) = reloads.recv().await {
            follows.seeds(&settings.seeds);
        }
    });
    let (ending, ended) = watch::channel(false);
    let bounds = Bounds {
        most,
        at_ease: most / 2,
        head: HEAD,
        times: TIMES,
        linger: Duration::ZERO,
        finish: Duration::from_secs(1),
    };
    let mut fronts = Vec::new();
    if let Some(listener) = operators {
        let gate = Rc::new(Operators { cell: cell.clone() });
        fronts.push(front(gate, bounds, listener, ended.clone()));
    }
    if let Some(listener) = directory {
        let gate = Rc::new(Directory { cell: cell.clone() });
        fronts.push(front(gate, bounds, listener, ended.clone()));
    }
    tokio::select! {
        () = stop => {}
        () = cell.clone().follow_disk(saved) => return Err("the disk failed".into()),
    }
    let _ = ending.send(true);
    for front in fronts {
        let _ = front.await;
    }
    Ok(())
}

fn front<G: Gate>(
    gate: Rc<G>,
    bounds: Bounds,
    listener: TcpListener,
    mut ended: watch::Receiver<bool>,
) -> tokio::task::JoinHandle<()> {
    let stop = async move {
        let _ = ended.wait_for(|e| *e).await;
    };
    tokio::task::spawn_local(Front::new(gate, bounds).serve(listener, stop))
}
