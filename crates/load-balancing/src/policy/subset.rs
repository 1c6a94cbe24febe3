//! Subsetting: which part of the fleet of upstreams is this balancer's own.
//!
//! The live upstreams of each zone lie on a ring, and so does each balancer, at its own point of it
//! ([`ring`]). The nearer an upstream, the sooner it gets this balancer's requests; so
//! balancers spread over the upstreams without a message between them.

use super::Balancer;
use super::state::upstream::Upstream;
use super::state::upstream_table::UpstreamIndex;
use crate::fleet::ring;

/// Upstreams within half an even part of the fleet to either side are this balancer's own.
pub(super) const OWN_SUBSET_DISTANCE: f64 = 0.5;
/// Upstreams within so many even parts to either side are known by their answers.
pub(super) const KNOWN_SUBSET_DISTANCE: f64 = 1.0;
/// An upstream in another zone is so many even parts further away.
pub(super) const OTHER_ZONE_DISTANCE: f64 = 1.0;
/// Added to the distance, in even parts, so that slowness tells among one's own upstreams.
const MIN_DISTANCE: f64 = 0.1;

impl Balancer {
    /// Lays the live upstreams of each zone on a ring and takes their distances from this balancer's point. Without
    /// a price on crossing zones, all zones are one.
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

    /// Puts the upstreams in the order of cost: the near and the fast first.
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
