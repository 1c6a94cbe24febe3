//! Tenant quotas.

use load_balancing::interface::*;

use crate::harness::{MS, World, settings};

/// Runs two seconds in which each upstream serves at most 100 requests per second and each tenant sends at its rate.
/// Returns how many requests of each tenant were not rejected.
fn admitted_by_tenant(rates: [u64; 2], servers: u32) -> [u64; 2] {
    let tenant = || Tenant {
        quota_rps: 50.0,
        share: 0.5,
    };
    let tenants = vec![tenant(), tenant()];
    let mut w = World::with_servers(
        Settings {
            tenants,
            ..settings()
        },
        servers,
    );
    let (mut id, mut tenant_of) = (0, vec![]);
    for step in 0..200 {
        for (tenant, rate) in rates.iter().enumerate() {
            let due = (step + 1) * rate / 100 - step * rate / 100;
            for _ in 0..due {
                w.request_of(tenant, id, 0, w.now.plus(Span(600 * MS)));
                tenant_of.push(tenant);
                id += 1;
            }
        }
        w.advance(Span(10 * MS));
        for server in 0..servers {
            if let Some(i) = (0..id).find(|&i| w.upstream_of(i) == Some(ServerId(server))) {
                w.end_attempt(i, 0, AttemptOutcome::Ok);
            }
        }
    }
    [0, 1].map(|t| {
        (0..id)
            .filter(|&i| tenant_of[i as usize] == t && !w.is_rejected(i))
            .count() as u64
    })
}

#[test]
fn a_tenant_is_kept_to_its_quota_when_the_fleet_is_full() {
    // Regression: a tenant that sent three times its quota took the other tenants' share of a full fleet.
    let [greedy, modest] = admitted_by_tenant([400, 45], 1);
    assert!(
        modest >= 80,
        "{modest} of 90 requests within the quota admitted"
    );
    assert!(
        greedy >= 80,
        "the greedy tenant must get its own quota, got {greedy}"
    );
    assert!(
        greedy <= 130,
        "{greedy} requests of the greedy tenant admitted"
    );
}

#[test]
fn a_tenant_may_exceed_its_quota_while_the_fleet_is_idle() {
    assert_eq!(admitted_by_tenant([150, 20], 8), [300, 40]);
}
