//! Discovery of upstreams: the platform's list, asked for zone by zone by the one process that manages a zone.
//!
//! **State.** None of its own: lists go to [`ControlServer`]. **Neighbours.** While the platform does not answer, the last
//! list stays in force. A process that is gone has its zone managed, and so asked for, by the next one.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use data_plane::http_client::{HttpClient, HttpClientError};
use protocol::upstream_list::Upstream;
use serde::Deserialize;
use tokio::time::{Instant, sleep, sleep_until};

use crate::server::ControlServer;

/// A zone is asked for this many times within the time that a drain leaves.
const REQUESTS_PER_DRAIN: u32 = 4;
/// A drain is taken to leave this at least, in ms.
const MIN_DRAIN_MS: u64 = 400;
/// A call to the platform is given up after this.
const CALL_TIMEOUT: Duration = Duration::from_millis(1500);
/// A list that has more pages than this is not read.
const MAX_PAGES: usize = 1000;
/// The platform's time until an instance is warm is cut to this, in ms.
const MAX_WARM_LEFT_MS: f64 = 1e9;

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

impl From<Instance> for Upstream {
    fn from(instance: Instance) -> Self {
        Self {
            draining: instance.state != "ready",
            warmup_remaining_ms: instance.warm_left_ms.clamp(0.0, MAX_WARM_LEFT_MS) as u64,
            id: instance.id,
            service: instance.svc,
            addr: instance.addr,
            slots: instance.slots,
        }
    }
}

/// Asks for the zones that this process manages, for good. Where that fails the last list stays in force.
pub async fn run(server: Rc<ControlServer>) {
    let Some(platform) = server.settings.cloud_api.clone() else {
        tracing::warn!("the settings have no `cloud_api`: no upstreams are discovered");
        return;
    };
    let client = HttpClient::new(platform.addr);
    let drain_ms = server.settings.bounds.drain_ms.max(MIN_DRAIN_MS);
    let interval = Duration::from_millis(drain_ms) / REQUESTS_PER_DRAIN;
    loop {
        let next = Instant::now() + interval;
        for zone in server.managed_zones() {
            match list_zone(&client, &zone).await {
                Ok(upstreams) => server.set_platform_list(&zone, upstreams),
                Err(error) => tracing::info!(
                    zone,
                    %error,
                    "the platform's list of upstreams could not be read; the last one stays in force"
                ),
            }
        }
        sleep_until(next).await;
    }
}

/// All pages of the platform's list of a zone.
async fn list_zone(client: &HttpClient, zone: &str) -> Result<Vec<Upstream>, HttpClientError> {
    let (mut upstreams, mut token) = (Vec::new(), None::<String>);
    for _ in 0..MAX_PAGES {
        let page = token
            .as_ref()
            .map(|token| format!("&page_token={token}"))
            .unwrap_or_default();
        let path = format!("/instances?zone={zone}{page}");
        let body = client.get(&path, CALL_TIMEOUT).await?;
        let page: Page = serde_json::from_slice(&body).map_err(HttpClientError::Malformed)?;
        upstreams.extend(page.instances.into_iter().map(Upstream::from));
        token = page.next_token.filter(|token| !token.is_empty());
        if token.is_none() {
            return Ok(upstreams);
        }
        // A long list must not keep the other tasks of the thread waiting.
        sleep(Duration::ZERO).await;
    }
    Err(HttpClientError::TooManyPages)
}
