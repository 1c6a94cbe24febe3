//! Discovery of upstreams: polls the platform's list of each zone. Only the process that manages a zone polls it.
//!
//! **State.** None. The lists are passed to [`ControlServer`].
//!
//! **Failures.** While the platform does not answer, the last list stays in effect. If a process fails, another one
//! takes over its zone and polls it.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use data_plane::http_client::{HttpClient, HttpClientError};
use protocol::upstream_list::Upstream;
use serde::Deserialize;
use tokio::time::{Instant, sleep, sleep_until};

use crate::server::ControlServer;

/// How many times a zone is polled during the time that a draining upstream keeps serving.
const POLLS_PER_DRAIN: u32 = 4;
/// The lower bound of the drain time from which the polling interval is derived, in ms.
const MIN_DRAIN_MS: u64 = 400;
/// The timeout of a call to the platform.
const CALL_TIMEOUT: Duration = Duration::from_millis(1500);
/// A list with more pages than this is rejected.
const MAX_PAGES: usize = 1000;
/// The upper bound of the remaining warm-up time that the platform reports, in ms.
const MAX_WARM_LEFT_MS: f64 = 1e9;

/// A page of the platform's list of instances.
#[derive(Deserialize)]
struct Page {
    instances: Vec<Instance>,
    #[serde(default)]
    next_token: Option<String>,
}

/// An instance of a service, as the platform describes it.
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

/// Polls the zones that this process manages. If a call fails, the zone keeps its last list. Returns only if the
/// settings have no `cloud_api`.
pub async fn run(server: Rc<ControlServer>) {
    let Some(platform) = server.settings.cloud_api.clone() else {
        tracing::warn!("the settings have no `cloud_api`: no upstreams are discovered");
        return;
    };
    let client = HttpClient::new(platform.addr);
    let drain_ms = server.settings.bounds.drain_ms.max(MIN_DRAIN_MS);
    let interval = Duration::from_millis(drain_ms) / POLLS_PER_DRAIN;
    loop {
        let next = Instant::now() + interval;
        for zone in server.managed_zones() {
            match list_zone(&client, &zone).await {
                Ok(upstreams) => server.set_platform_list(&zone, upstreams),
                Err(error) => tracing::info!(
                    zone,
                    %error,
                    "reading the platform's list of upstreams failed; the last list stays in effect"
                ),
            }
        }
        sleep_until(next).await;
    }
}

/// Reads all pages of the platform's list of a zone.
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
        // Yields, so that a long list does not block the other tasks on this thread.
        sleep(Duration::ZERO).await;
    }
    Err(HttpClientError::TooManyPages)
}
