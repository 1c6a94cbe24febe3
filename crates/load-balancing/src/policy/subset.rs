//! Subsetting: determines which of the upstreams this balancer prefers.
//!
//! The live upstreams of each zone are placed on a ring, and so is each balancer, at a point of its own ([`ring`]). The
//! closer an upstream is to that point, the earlier it is chosen. Balancers are thereby spread over the upstreams
//! without communicating. Distances are measured in even shares: the part of the ring that each balancer would have if
//! it were divided equally.

use super::Balancer;
use super::state::upstream::Upstream;
use super::state::upstream_table::UpstreamIndex;
use crate::fleet::ring;

/// Maximum distance of upstreams in the balancer's own subset: half an even share to either side.
pub(super) const OWN_SUBSET_DISTANCE: f64 = 0.5;
/// Maximum distance of upstreams whose estimates are kept up to date by this balancer's own traffic.
pub(super) const KNOWN_SUBSET_DISTANCE: f64 = 1.0;
/// Distance added to an upstream in another zone.
pub(super) const OTHER_ZONE_DISTANCE: f64 = 1.0;
/// Distance added to every upstream, so that slowness makes a difference among the closest ones too.
const MIN_DISTANCE: f64 = 0.1;

impl Balancer {
    /// Places the live upstreams of each zone on a ring and computes their distances from this balancer's point. All
    /// zones share one ring if crossing zones has no price.
    pub(super) fn assign_subset(&mut self) {
        let has_zones = self.settings.prices.cross_zone > 0.0;
        let zone = |upstream: &Upstream| if has_zones { upstream.zone } else { 0 };
        let mut live: Vec<UpstreamIndex> = self.upstreams.indexes().collect();
        live.retain(|&i| self.upstreams[i].is_live());
        live.sort_by_key(|&i| (zone(&self.upstreams[i]), self.upstreams[i].identity));
        let own_point = ring::point(self.settings.position);
        let zones = if has_zones {
            f64::from(self.settings.zones.max(1))
        } else {
            1.0
        };
        let balancers_per_zone = (f64::from(self.settings.balancers) / zones).max(1.0);
        let is_same_zone = |a: &UpstreamIndex, b: &UpstreamIndex| {
            zone(&self.upstreams[*a]) == zone(&self.upstreams[*b])
        };
        let mut distances = Vec::with_capacity(live.len());
        for on_ring in live.chunk_by(is_same_zone) {
            let is_own_zone = !has_zones || zone(&self.upstreams[on_ring[0]]) == self.settings.zone;
            let zone_distance = if is_own_zone {
                0.0
            } else {
                OTHER_ZONE_DISTANCE
            };
            for place in 0..on_ring.len() {
                let point = (place as f64 + 0.5) / on_ring.len() as f64;
                let apart = (point - own_point).abs();
                distances.push(apart.min(1.0 - apart) * balancers_per_zone + zone_distance);
            }
        }
        for (&i, distance) in live.iter().zip(distances) {
            self.upstreams[i].subset_distance = distance;
        }
        self.by_cost = live;
    }

    /// Sorts the upstreams by cost: close and fast ones first.
    pub(super) fn sort_by_cost(&mut self) {
        let upstreams = &self.upstreams;
        let cost = |i: UpstreamIndex| {
            let upstream = &upstreams[i];
            let slowness = upstream.estimate.slowness;
            (MIN_DISTANCE + upstream.subset_distance) * slowness * slowness
        };
        self.by_cost.sort_by(|&a, &b| cost(a).total_cmp(&cost(b)));
    }
}
