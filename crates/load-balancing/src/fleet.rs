//! What the balancers of a bank share of one upstream, without a word between them: which part is whose, at
//! which moments each may send to one that is cold, and how many requests of others it has by now. No clock and
//! no I/O, as the policy that uses it.

use crate::interface::*;

/// Points of the balancers on the ring: multiples of the golden ratio are even for any run and every n-th.
const GOLDEN: f64 = 0.618_033_988_749_895;

/// A balancer's own point of the ring.
pub(crate) fn point(position: u32) -> f64 {
    (f64::from(position) * GOLDEN).fract()
}

/// Where a balancer's turn at one upstream lies between two sends to it, the same in its whole cold spell.
/// Failure: drawn by lot, nine of ninety balancers drew the same second.
pub(crate) fn turn(position: u32, identity: u64) -> f64 {
    (f64::from(position) * GOLDEN + identity as f64 / u64::MAX as f64).fract()
}

/// A balancer has so many times the root of its even part of the slots beside them for bursts, which outlast a
/// slot: all but a few in a hundred fit. Failure: a hundred balancers with even parts under one slot refused a
/// third beside a half idle fleet.
const BURST: f64 = 2.0;

/// A balancer's share of the slots of a bank, at so many even parts of them; and the share of that which is not
/// there for bursts.
pub(crate) fn part(slots: f64, leeway: f64, balancers: u32) -> (f64, f64) {
    let even = slots * leeway / f64::from(balancers);
    let part = ((even + BURST * even.sqrt()) / slots.max(1.0)).min(1.0);
    (
        part,
        if even < slots * part {
            even / (slots * part)
        } else {
            1.0
        },
    )
}

/// Sends to a cold upstream that a balancer has earned, one at most.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Pace {
    earned: f64,
    since: Time,
}

impl Pace {
    pub(crate) fn new(earned: f64, now: Time) -> Self {
        Self { earned, since: now }
    }

    /// As of now, at so many sends per microsecond. One that is not used within `wait` is lost, and earned anew:
    /// kept, those of a whole bank could come in one second.
    pub(crate) fn by(&self, now: Time, pace: f64, wait: Option<Span>) -> f64 {
        let earned = self.earned + now.since(self.since).as_micros().max(0.0) * pace;
        match wait {
            Some(wait) if earned > 1.0 + pace * wait.as_micros() => earned.fract(),
            Some(_) => earned,
            None => earned.min(1.0),
        }
    }
}

/// How many requests of others upstreams have: what each told last makes way for what is usual.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Others {
    /// For each slot of an upstream, and when that was told.
    usual: f64,
    told: Time,
}

/// The usual level goes by about the last eight answers, and fades over as many service times without one.
const GAIN: f64 = 0.125;

impl Others {
    pub(crate) fn new(now: Time) -> Self {
        Self {
            usual: 0.0,
            told: now,
        }
    }

    pub(crate) fn learn(&mut self, now: Time, for_each_slot: f64) {
        (self.usual, self.told) = (self.usual + (for_each_slot - self.usual) * GAIN, now);
    }

    /// Others' requests at an upstream of so many slots that told of so many then, where service takes `ts` on
    /// the whole and `own` there. Failure: counted as none once they had time to end, those never heard of lately
    /// looked empty, and a bank under load sent most to those it knew least.
    pub(crate) fn by(&self, now: Time, slots: f64, then: (f64, Time), ts: f64, own: f64) -> f64 {
        let fade = |since: Time, time: f64| (-now.since(since).as_micros() / time).exp();
        let usual = self.usual * slots * fade(self.told, ts / GAIN);
        usual + (then.0 - usual) * fade(then.1, own)
    }
}

/// The window of the budget for further tries is counted in so many pieces.
const PIECES: i64 = 10;

/// A balancer's part of what all may send beyond the first try of each request: a share of its own requests of
/// late, and its even part of the rest. Parts add up to the whole, whatever each balancer gets.
#[derive(Clone, Debug, Default)]
pub(crate) struct Budget {
    /// By their number modulo the pieces kept: which it is, its requests and its further tries.
    pieces: [(i64, u32, u32); PIECES as usize + 1],
}

impl Budget {
    /// The number of the piece that is now.
    fn number(now: Time, rules: &Rules) -> i64 {
        now.0 / (rules.retry_window.0 / PIECES).max(1)
    }

    fn piece(&mut self, now: Time, rules: &Rules) -> &mut (i64, u32, u32) {
        let n = Self::number(now, rules);
        let piece = &mut self.pieces[n.rem_euclid(PIECES + 1) as usize];
        if piece.0 != n {
            *piece = (n, 0, 0);
        }
        piece
    }

    pub(crate) fn requested(&mut self, now: Time, rules: &Rules) {
        self.piece(now, rules).1 += 1;
    }

    pub(crate) fn tried_again(&mut self, now: Time, rules: &Rules) {
        self.piece(now, rules).2 += 1;
    }

    /// Whether one more further try is within this balancer's part. Tries are counted over a
    /// piece more than the window, requests over no more than it.
    pub(crate) fn allows(&self, now: Time, settings: &Settings) -> bool {
        let rules = &settings.rules;
        if rules.retry_window.0 <= 0 {
            return true;
        }
        let n = Self::number(now, rules);
        let kept = |age: i64| {
            self.pieces
                .iter()
                .filter(move |p| (0..age).contains(&(n - p.0)))
        };
        let tries: u32 = kept(PIECES + 1).map(|p| p.2).sum();
        let requests: u32 = kept(PIECES).map(|p| p.1).sum();
        let part = rules.retry_allowance / f64::from(settings.balancers.max(1));
        f64::from(tries) + 1.0 <= rules.retry_ratio * f64::from(requests) + part
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn further_tries_in_any_window_stay_within_the_part() {
        let mut settings = Settings::basic(vec![RequestClass::safe(Span(1), Span(1))]);
        settings.balancers = 10;
        let rules = &mut settings.rules;
        (rules.retry_ratio, rules.retry_window) = (0.2, Span(10_000_000));
        rules.retry_allowance = 30.0;
        let rules = &settings.rules;
        let (mut budget, mut requests, mut tries) = (Budget::default(), Vec::new(), Vec::new());
        let mut step = |ms: i64, asks: bool| {
            let now = Time(ms * 1000);
            if asks {
                budget.requested(now, rules);
                requests.push(ms);
            }
            while budget.allows(now, &settings) {
                budget.tried_again(now, rules);
                tries.push(ms);
            }
        };
        // Twenty a second, then none for a while, then twenty again.
        (0..60_000)
            .step_by(50)
            .for_each(|ms| step(ms, !(15_000..40_000).contains(&ms)));
        let within = |of: &[i64], from: i64| {
            of.iter()
                .filter(|ms| (from..from + 10_000).contains(*ms))
                .count()
        };
        for from in (0..50_000).step_by(10) {
            // Requests of the window before count where there were more.
            let asked = within(&requests, from).max(within(&requests, from - 10_000));
            let most = 0.2 * asked as f64 + 3.0;
            assert!(
                within(&tries, from) as f64 <= most,
                "{from}: {}",
                within(&tries, from)
            );
        }
        assert!(within(&tries, 0) >= 30, "and it is used");
        settings.rules.retry_window = Span(0);
        assert!(
            Budget::default().allows(Time(0), &settings),
            "where no rule says so"
        );
    }

    #[test]
    fn turns_are_even_over_a_bank_at_every_upstream() {
        for identity in [0u64, 1 << 40, u64::MAX / 3, u64::MAX] {
            let mut turns: Vec<f64> = (0..89).map(|p| turn(p, identity)).collect();
            turns.sort_by(f64::total_cmp);
            let widest = turns.windows(2).map(|w| w[1] - w[0]).fold(0.0, f64::max);
            assert!(widest < 2.0 / 89.0, "{widest}");
        }
    }

    #[test]
    fn a_part_holds_the_even_one_and_bursts_and_one_balancer_has_all() {
        let (share, even) = part(330.0, 1.2, 86);
        assert!((share * 330.0 - 8.9).abs() < 0.1, "{share}");
        assert!((even * share * 330.0 - 4.6).abs() < 0.1, "{even}");
        assert_eq!(part(330.0, 1.2, 1), (1.0, 1.0));
        assert_eq!(part(0.0, 1.2, 86), (0.0, 1.0), "nothing to share");
    }

    #[test]
    fn what_was_told_makes_way_for_what_is_usual() {
        let at = |ms: i64| Time(ms * 1000);
        let mut others = Others::new(at(0));
        for _ in 0..64 {
            others.learn(at(0), 0.5);
        }
        let by = |ms: i64| others.by(at(ms), 4.0, (0.0, at(0)), 100_000.0, 100_000.0);
        assert!(by(0) < 0.01, "just told: it has none");
        assert!(
            (1.0..2.0).contains(&by(200)),
            "by then as many as the others: {}",
            by(200)
        );
        assert!(by(10_000) < 0.01, "nothing is known of any more");
    }
}
