//! The platform's list of upstreams, asked for zone by zone by the one cell that keeps a zone.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use data_plane::http_client::{HttpClient, HttpClientError};
use protocol::upstream_list::Upstream;
use serde::Deserialize;
use tokio::time::{Instant, sleep, sleep_until};

use crate::server::ControlServer;

/// A zone is asked for this many times within the time that a drain leaves.
const ASKS_PER_DRAIN: u32 = 4;
/// How long a call may take.
const CALL: Duration = Duration::from_millis(1500);
/// A list has no more pages than this.
const PAGES: usize = 1000;

#[derive(Deserialize)]
struct Page {
    instances: Vec<Instance>,
    #[serde(default)]
    next_token: Option<String>,
}

#[derive(Deserialize)]
struct Instance {
    id: String,
    svc: String,
    addr: SocketAddr,
    #[serde(default)]
    slots: u32,
    #[serde(default)]
    state: String,
    #[serde(default)]
    warm_left_ms: f64,
}

/// Asks for the zones that this cell keeps, for good. What can't be had leaves the last list in force.
pub async fn run(cell: Rc<ControlServer>) {
    let Some(platform) = cell.settings.cloud_api.clone() else {
        tracing::warn!("no `cloud_api` in the settings: no upstreams are known");
        return;
    };
    let client = HttpClient::new(platform.addr);
    let every = Duration::from_millis(cell.settings.bounds.drain_ms.max(400)) / ASKS_PER_DRAIN;
    loop {
        let next = Instant::now() + every;
        for zone in cell.managed_zones() {
            match list(&client, &zone).await {
                Ok(upstreams) => cell.set_platform_list(&zone, upstreams),
                Err(cause) => tracing::info!(%cause, zone, "the platform's list"),
            }
        }
        sleep_until(next).await;
    }
}

async fn list(client: &HttpClient, zone: &str) -> Result<Vec<Upstream>, HttpClientError> {
    let (mut all, mut token) = (Vec::new(), None::<String>);
    for _ in 0..PAGES {
        let page = token
            .as_ref()
            .map(|t| format!("&page_token={t}"))
            .unwrap_or_default();
        let body = client
            .get(&format!("/instances?zone={zone}{page}"), CALL)
            .await?;
        let page: Page = serde_json::from_slice(&body).map_err(HttpClientError::Malformed)?;
        all.extend(page.instances.into_iter().map(|i| Upstream {
            draining: i.state != "ready",
            warmup_remaining_ms: i.warm_left_ms.clamp(0.0, 1e9) as u64,
            id: i.id,
            service: i.svc,
            addr: i.addr,
            slots: i.slots,
        }));
        token = page.next_token.filter(|t| !t.is_empty());
        if token.is_none() {
            return Ok(all);
        }
        sleep(Duration::ZERO).await;
    }
    Err(HttpClientError::TooManyPages)
}
