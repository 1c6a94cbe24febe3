//! Estimate of how many requests an upstream of one machine type runs concurrently. The paper named in
//! [`policy`](crate::policy) assumes one at a time; here the number is estimated from the throughput at each level,
//! that is, at each number of this balancer's requests in flight at the upstream.
//!
//! Estimating it from the latency at each level made one core look like two: attempts that end before those sent
//! alongside them are the short ones.

/// Highest concurrency that is tried.
pub(in crate::policy) const MAX_CONCURRENCY: usize = 32;
/// Weight of the prior that a level has no more throughput than the one below it, as the paper assumes. In requests of
/// mean work.
const LEVEL_PRIOR_ANSWERS: f64 = 16.0;
/// The totals of a level are halved when its completed work exceeds this, so that old observations lose weight. In
/// requests of mean work.
const LEVEL_MEMORY_ANSWERS: f64 = 128.0;
/// Work that must be completed at the level in use before a round ends and other levels are compared with it. In
/// requests of mean work.
const ROUND_ANSWERS: f64 = 8.0;
/// The lowest level that reaches this share of the best throughput is used, since a higher one increases latency.
const SUFFICIENT_THROUGHPUT_SHARE: f64 = 0.75;

/// Observations of one level, that is, of one number of requests in flight at upstreams of one machine type.
#[derive(Clone, Copy, Debug, Default)]
struct ConcurrencyLevel {
    /// Time spent at the level since the current round began, in microseconds.
    round_time: f64,
    /// Work completed at the level since the current round began, in requests of mean work.
    round_work: f64,
    /// Work completed at the level in all previous rounds, in requests of mean work; see [`LEVEL_MEMORY_ANSWERS`].
    total_work: f64,
    /// Work that the level in use would have completed in the time of `total_work`. The ratio of `total_work` to it is
    /// the relative throughput of the level; it does not change when all upstreams slow down together.
    expected_work: f64,
}

/// A higher level to try instead of the one in use.
#[derive(Clone, Copy, Debug)]
pub(in crate::policy) struct NextLevel {
    pub(in crate::policy) level: usize,
    /// Whether enough is known about the level.
    pub(in crate::policy) is_known: bool,
}

/// Estimated concurrency of upstreams of one machine type, with the observations of each level.
#[derive(Clone, Debug)]
pub(in crate::policy) struct ConcurrencyEstimate {
    /// The level in use.
    pub(in crate::policy) level: usize,
    /// The observations, indexed by level.
    levels: Vec<ConcurrencyLevel>,
}

impl ConcurrencyEstimate {
    pub(in crate::policy) fn new() -> Self {
        Self {
            level: 1,
            levels: vec![ConcurrencyLevel::default(); MAX_CONCURRENCY + 1],
        }
    }

    /// Records time spent and work completed with a number of requests in flight at an upstream.
    pub(in crate::policy) fn record(&mut self, in_flight: usize, time_us: f64, work: f64) {
        let level = &mut self.levels[in_flight];
        level.round_time += time_us;
        level.round_work += work;
    }

    /// Ends the round if enough was observed, and selects the lowest level with sufficient throughput.
    pub(in crate::policy) fn end_round(&mut self) {
        let in_use = self.levels[self.level];
        if in_use.round_work < ROUND_ANSWERS {
            return;
        }
        let work_rate = in_use.round_work / in_use.round_time.max(1.0);
        // By level: completed work divided by the work that the level in use would have completed.
        let mut gain = [1.0; MAX_CONCURRENCY + 1];
        let mut highest_known = 1;
        let mut best_gain = 0.0;
        for n in 1..=MAX_CONCURRENCY {
            let level = &mut self.levels[n];
            level.fold_round(work_rate);
            gain[n] = (level.total_work + LEVEL_PRIOR_ANSWERS * gain[n - 1])
                / (level.expected_work + LEVEL_PRIOR_ANSWERS);
            if level.expected_work > 0.0 {
                highest_known = n;
                best_gain = gain[n].max(best_gain);
            }
        }
        let sufficient = (1..=highest_known)
            .find(|&n| gain[n] >= SUFFICIENT_THROUGHPUT_SHARE * best_gain)
            .unwrap_or(1);
        if sufficient != self.level {
            self.level = sufficient;
            for level in &mut self.levels {
                level.expected_work *= gain[sufficient];
            }
        }
    }

    /// Returns the level to try next: twice the one in use, so that the gain can exceed what
    /// [`SUFFICIENT_THROUGHPUT_SHARE`] requires. With steps of one, estimates for upstreams with six cores never rose
    /// above three.
    pub(in crate::policy) fn next_level(&self) -> NextLevel {
        let level = (2 * self.level).min(MAX_CONCURRENCY);
        NextLevel {
            level,
            is_known: self.levels[level].expected_work >= LEVEL_PRIOR_ANSWERS,
        }
    }
}

impl ConcurrencyLevel {
    /// Adds the current round to the totals and resets it. `work_rate` is the work per microsecond at the level in use.
    fn fold_round(&mut self, work_rate: f64) {
        self.total_work += self.round_work;
        self.expected_work += self.round_time * work_rate;
        self.round_time = 0.0;
        self.round_work = 0.0;
        if self.total_work > LEVEL_MEMORY_ANSWERS {
            self.total_work /= 2.0;
            self.expected_work /= 2.0;
        }
    }
}
