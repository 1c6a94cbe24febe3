//! How many requests an upstream of one kind runs concurrently. The paper's upstreams run one at a time; here nobody
//! tells, so it is learned from how often answers come while so many of this balancer's requests are in flight.
//!
//! Judged instead by how long answers take at each level, one core looked like two: attempts that end before
//! their neighbour does are the short ones.

/// Most requests that an upstream is tried with concurrently.
pub(in crate::policy) const MAX_CONCURRENCY: usize = 32;
/// An unseen level weighs as so many answers that no more gets done at it than one below, as the paper has it.
const LEVEL_PRIOR_ANSWERS: f64 = 16.0;
/// Answers that what is known of a level reaches back over.
const LEVEL_MEMORY_ANSWERS: f64 = 128.0;
/// Answers at the level in use that others are measured against, each round.
const ROUND_ANSWERS: f64 = 8.0;
/// The lowest level that reaches this share of the best throughput is taken: more is bought with latency.
const SUFFICIENT_THROUGHPUT_SHARE: f64 = 0.75;

/// What is known of so many requests in flight at upstreams of one kind.
#[derive(Clone, Copy, Debug, Default)]
struct ConcurrencyLevel {
    /// This round: time spent at the level, in microseconds.
    round_time: f64,
    /// This round: work done at it, in requests of mean work.
    round_work: f64,
    /// Of all rounds: work done at it.
    total_work: f64,
    /// Of all rounds: what the level in use would have done in that time. A fleet that slows down as a whole
    /// changes neither against the other.
    expected_work: f64,
}

/// A level to try, beside the one in use.
#[derive(Clone, Copy, Debug)]
pub(in crate::policy) struct NextLevel {
    pub(in crate::policy) level: usize,
    /// Whether enough is known of it.
    pub(in crate::policy) is_known: bool,
}

/// The concurrency of upstreams of one kind, with what is known of each level.
#[derive(Clone, Debug)]
pub(in crate::policy) struct ConcurrencyEstimate {
    /// The level in use.
    pub(in crate::policy) level: usize,
    levels: Vec<ConcurrencyLevel>,
}

impl ConcurrencyEstimate {
    pub(in crate::policy) fn new() -> Self {
        Self {
            level: 1,
            levels: vec![ConcurrencyLevel::default(); MAX_CONCURRENCY + 1],
        }
    }

    /// Books time spent, and work done, with so many requests in flight at an upstream.
    pub(in crate::policy) fn record(&mut self, in_flight: usize, time_us: f64, work: f64) {
        let level = &mut self.levels[in_flight];
        level.round_time += time_us;
        level.round_work += work;
    }

    /// Ends a round, if enough was seen, and takes the lowest level that gets enough done.
    pub(in crate::policy) fn end_round(&mut self) {
        let in_use = self.levels[self.level];
        if in_use.round_work < ROUND_ANSWERS {
            return;
        }
        let work_rate = in_use.round_work / in_use.round_time.max(1.0);
        // By level: work done over what the level in use would have done.
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

    /// The level to try next: twice the one in use, a step that wins more than [`SUFFICIENT_THROUGHPUT_SHARE`]
    /// asks. With steps of one, upstreams of six cores stuck at three for good.
    pub(in crate::policy) fn next_level(&self) -> NextLevel {
        let level = (2 * self.level).min(MAX_CONCURRENCY);
        NextLevel {
            level,
            is_known: self.levels[level].expected_work >= LEVEL_PRIOR_ANSWERS,
        }
    }
}

impl ConcurrencyLevel {
    /// Adds the round to the totals, where the level in use did `work_rate` per microsecond.
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
