//! Attempts: what may be sent (again), what an outcome tells, and what is overdue.

use super::*;

impl Balancer {
    /// The one place that says whether a request may be sent (again), to this upstream, now.
    pub(super) fn may_send(&self, now: Time, id: RequestId, e: &Entry, server: usize) -> bool {
        self.is_open(now, e, server)
            && self.has_turn(now, id, e)
            && self.cold_allows(now, &self.servers[server])
    }

    /// Zones and kinds that a class is bound to.
    pub(super) fn open_to(&self, class: Option<usize>, s: &Server) -> bool {
        let Some(c) = class.map(|c| &self.settings.classes[c]) else {
            return true;
        };
        c.zones.as_ref().is_none_or(|z| z.contains(&s.zone))
            && c.kinds.as_ref().is_none_or(|k| k.contains(&s.kind))
    }

    /// What does not pass by waiting: drain, placement, effect, group, attempts.
    pub(super) fn is_open(&self, now: Time, e: &Entry, server: usize) -> bool {
        let limits = &self.settings.limits;
        let s = &self.servers[server];
        if s.status != Status::Live || !self.open_to(Some(e.class), s) {
            return false;
        }
        let most = self.settings.classes[e.class]
            .max_attempts
            .unwrap_or(limits.max_attempts);
        if e.ended || now >= e.drop_dead || e.attempts.len() >= most.min(limits.max_attempts) {
            return false;
        }
        if !e.attempts.is_empty() && !self.fleet.budget.allows(now, &self.settings) {
            return false;
        }
        let there = |a: &Attempt| a.fate == Fate::Out && a.server == server;
        if e.out() && (!limits.hedging || e.attempts.iter().any(there)) {
            return false;
        }
        let class = &self.settings.classes[e.class];
        match class.effect {
            Effect::Safe => true,
            Effect::Unsafe => e.all_never_ran(),
            Effect::Keyed => e
                .attempts
                .iter()
                .filter(|a| a.fate != Fate::NeverRan)
                .all(|a| {
                    now.since(a.sent) < class.dedup_window
                        && self.same_group(class.dedup_group, a.server, server)
                }),
        }
    }

    pub(super) fn same_group(&self, group: DedupGroup, a: usize, b: usize) -> bool {
        let (a, b) = (&self.servers[a], &self.servers[b]);
        match group {
            DedupGroup::All => true,
            DedupGroup::Zone => a.zone == b.zone,
            DedupGroup::Cell => a.zone == b.zone && a.cell == b.cell,
        }
    }

    /// The one place that says whether a request may be refused.
    pub(super) fn may_refuse(&self, e: &Entry) -> bool {
        let class = &self.settings.classes[e.class];
        let anywhere = class.effect == Effect::Keyed && class.dedup_group == DedupGroup::All;
        class.effect == Effect::Safe || anywhere || e.all_never_ran()
    }

    pub(super) fn outcome(&mut self, now: Time, a: AttemptResult, out: &mut Vec<Action>) {
        let Some(e) = self.requests.get_mut(&a.request) else {
            return;
        };
        let Some(attempt) = e
            .attempts
            .get_mut(a.attempt)
            .filter(|t| t.fate == Fate::Out)
        else {
            return;
        };
        attempt.fate = if a.outcome.has_not_run() {
            Fate::NeverRan
        } else {
            Fate::MayHaveRun
        };
        let attempt = *attempt;
        let server = attempt.server;
        let (class, turn, shard) = (e.class, e.turn, e.shard);
        let over = e.ended || a.last;
        let may_run = matches!(
            a.outcome,
            AttemptOutcome::Timeout | AttemptOutcome::Reset | AttemptOutcome::Cancelled
        );
        if let Some(line) = turn
            .filter(|_| may_run)
            .and_then(|k| self.lines.get_mut(&k))
        {
            line.rest_until = now.plus(self.settings.rules.ordered_retry_delay);
        }
        if let Some(key) = shard {
            self.holders
                .heard(now, key, &a, self.fleet.ts * PAUSE_OF_TS);
        }
        self.learn(now, class, attempt, &a);
        self.close_idle(now, server, out);
        if a.outcome == AttemptOutcome::Ok {
            self.conclude(a.request, out);
        } else if over {
            self.end(a.request);
        } else {
            self.settle(now, a.request, out);
        }
        self.dispatch(now, out);
    }

    /// The client has its answer, or has left: nobody reads what further attempts bring. Those of a request
    /// that may be repeated end at their upstreams; what may run once goes on, since it may be done already.
    pub(super) fn conclude(&mut self, id: RequestId, out: &mut Vec<Action>) {
        if let Some(e) = self
            .requests
            .get(&id)
            .filter(|_| self.settings.limits.cancel)
            && self.settings.classes[e.class].effect == Effect::Safe
        {
            let running = (0..e.attempts.len()).filter(|n| e.attempts[*n].fate == Fate::Out);
            out.extend(running.map(|attempt| Action::Cancel {
                request: id,
                attempt,
            }));
        }
        self.end(id);
    }

    pub(super) fn learn(&mut self, now: Time, class: usize, attempt: Attempt, a: &AttemptResult) {
        let server = attempt.server;
        // Failure: one absurd latency put the mean of its class out of reach for good.
        let latency = a
            .latency
            .as_micros()
            .clamp(1.0, self.settings.classes[class].deadline.as_micros());
        self.count_level(
            now,
            server,
            (a.outcome == AttemptOutcome::Ok).then_some(class),
        );
        // Failure: a second lane on trial made an upstream look slow, and drove its proxy into the parts of
        // others.
        let tried = self.servers[server].in_flight > self.k(&self.servers[server], 0);
        if a.outcome == AttemptOutcome::Ok {
            self.count_served(now, server);
            if !tried {
                self.learn_means(class, latency);
            }
        }
        let mean = self.fleet.mean[class];
        let mean = if mean > 0.0 { mean } else { self.fleet.ts };
        self.learn_leeway(latency / mean, a.outcome);
        let s = &mut self.servers[server];
        if attempt.asked && a.outcome != AttemptOutcome::Cancelled {
            let hopeless = &mut self.fleet.hopeless[class];
            *hopeless += (f64::from(a.outcome != AttemptOutcome::Ok) - *hopeless) * TS_GAIN;
        }
        let counted = attempt.overdue && a.outcome == AttemptOutcome::Timeout;
        if !counted && (a.outcome != AttemptOutcome::Ok || !tried) {
            s.est.learn(a.outcome, latency, mean);
        }
        match a.outcome {
            AttemptOutcome::Rejected | AttemptOutcome::ConnectFailed => {
                s.breaker
                    .trip(now, self.fleet.ts * PAUSE_OF_TS, PAUSE_DOUBLINGS);
                s.silent += u32::from(a.outcome == AttemptOutcome::ConnectFailed);
            }
            AttemptOutcome::Ok => {
                s.answered = s.answered.max(attempt.sent);
                (s.breaker.faults, s.silent) = (0, 0);
                s.by_class[class] = Breaker::default();
            }
            AttemptOutcome::Error | AttemptOutcome::Timeout | AttemptOutcome::Reset
                if !attempt.overdue =>
            {
                s.by_class[class].trip(now, mean, CLASS_DOUBLINGS);
                s.silent += 1;
            }
            _ => {}
        }
        if !attempt.freed {
            self.count_in_flight(server, -1);
        }
        if let Some(running) = a.report.inflight {
            let s = &mut self.servers[server];
            let all = running + a.report.queued.unwrap_or(0.0);
            (s.others, s.told) = ((all - f64::from(s.in_flight)).max(0.0), now);
            self.fleet
                .others
                .learn(now, s.others / f64::from(s.slots.max(1)));
        }
    }

    /// Moves the limit by what an answer tells of the room there. Failure: where a zone was lost with its
    /// proxies, the rest kept to the parts of a whole bank, and refused beside upstreams that idled.
    pub(super) fn learn_leeway(&mut self, latency: f64, outcome: AttemptOutcome) {
        let f = &mut self.fleet;
        let latency = match outcome {
            AttemptOutcome::Ok => latency.min(SLOWNESS_MAX),
            AttemptOutcome::Rejected => SLOWNESS_MAX,
            _ => return,
        };
        f.good += if f.ts < f.good {
            f.ts - f.good
        } else {
            (f.ts - f.good) * GOOD_GAIN
        };
        // Failure: it fell with every heavy request and rose only at the limit, so where bursts alone reach
        // the limit it never left its least value, and proxies refused beside idle upstreams.
        let idle = self.rooms[0].in_flight as f64 + 1.0 < self.rooms[0].slots;
        if idle && outcome == AttemptOutcome::Ok {
            return;
        }
        let crowded = latency * f.ts / f.good > CROWDED;
        let even = self.order.len() as f64 / f64::from(self.settings.balancers);
        let full = if outcome == AttemptOutcome::Ok {
            1.0
        } else {
            FULL_FALL
        };
        let fall = LEEWAY_FALL * (even / FEW).max(1.0) * full;
        f.leeway *= 1.0 + LEEWAY_GAIN * if crowded { -fall } else { 1.0 };
        f.leeway = f
            .leeway
            .clamp(LEEWAY, LEEWAY.max(f64::from(self.settings.balancers)));
    }

    /// When an attempt is overdue, past its class's latency; and when a second one must go to be in time.
    pub(super) fn overdue_at(&self, e: &Entry, a: &Attempt) -> (Time, Time) {
        let class = &self.settings.classes[e.class];
        let (mean, dev) = (self.fleet.mean[e.class], self.fleet.dev[e.class]);
        if mean == 0.0 {
            return (
                a.sent.plus(class.latency_target),
                a.sent.plus(class.latency_target),
            );
        }
        let patience = mean + PATIENCE * dev;
        let left = e.hold_until.since(a.sent).as_micros() - mean;
        let again = patience.min(left).max(mean * LEAST_PATIENCE);
        (
            a.sent.plus(Span::from_micros(patience)),
            a.sent.plus(Span::from_micros(again)),
        )
    }

    /// Watches what is out. What is overdue is a fault of its upstream in its class; in time for a second
    /// one, it is sent elsewhere too where that is allowed, promises something and the budget lasts. Guards
    /// against hung and vanished upstreams, lost answers, stalls, a class that goes unanswered, dead
    /// connections. May hurt where requests of one class differ widely: a heavy one looks lost.
    pub(super) fn watch(&mut self, now: Time) {
        for (id, n) in std::mem::take(&mut self.out) {
            let Some(e) = self.requests.get(&id) else {
                continue;
            };
            let Some(a) = e.attempts.get(n).filter(|a| a.fate == Fate::Out).copied() else {
                continue;
            };
            self.out.push((id, n));
            let (late_at, again_at) = self.overdue_at(e, &a);
            let (late, asked) = (a.overdue || now >= late_at, a.asked || now >= again_at);
            let room = &self.rooms[self.room_of[e.class]];
            let idle = room.queued == 0 && (room.in_flight as f64) < room.slots;
            let likely = self.fleet.hopeless[e.class] > LIKELY;
            let again = asked && !a.asked && likely && idle && self.extra >= 1.0;
            let again = again && !e.ended && !e.held && now < e.hold_until && e.shard.is_none();
            let again = again && self.order.iter().any(|&i| self.is_open(now, e, i));
            let (class, s) = (e.class, &mut self.servers[a.server]);
            // Failure: lost answers held their slots for two aims, and the fleet was refused for. What is
            // overtaken is lost. With a K_i of one nothing overtakes (silent connections held all slots), so
            // between two answers of an upstream one is given up on time alone.
            let over = s.answered > Time(i64::MIN) && now >= late_at.plus(late_at.since(a.sent));
            let lost = late && !a.freed && (s.answered > a.sent || over);
            if lost && s.answered <= a.sent {
                s.answered = Time(i64::MIN);
            }
            if late && !a.overdue {
                let mean = self.fleet.mean[class].max(1.0);
                s.est
                    .learn(AttemptOutcome::Timeout, now.since(a.sent).as_micros(), mean);
                s.by_class[class].trip(now, mean, CLASS_DOUBLINGS);
                s.silent += 1;
            }
            if again {
                self.extra -= 1.0;
                self.hold(id, true);
            }
            if lost {
                self.count_level(now, a.server, None);
                self.count_in_flight(a.server, -1);
            }
            if let Some(a) = self
                .requests
                .get_mut(&id)
                .and_then(|e| e.attempts.get_mut(n))
            {
                (a.overdue, a.asked, a.freed) = (late, asked, a.freed || lost);
            }
        }
    }

    /// After an attempt that did not serve: again, or an end.
    pub(super) fn settle(&mut self, now: Time, id: RequestId, out: &mut Vec<Action>) {
        let Some(e) = self.requests.get(&id) else {
            return;
        };
        if e.held || e.out() {
            return;
        }
        let again = self.order.iter().any(|&i| self.is_open(now, e, i));
        if again && now < e.hold_until {
            self.hold(id, true);
        } else {
            self.give_up(id, out);
        }
    }

    pub(super) fn give_up(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(e) = self.requests.get(&id) else {
            return;
        };
        if self.may_refuse(e) {
            self.refuse(id, out);
        } else {
            out.push(Action::Fail { request: id });
            self.end(id);
        }
    }

    /// What has no holder, or was turned away by it, is refused while that is harmless: nobody knows when
    /// there is another.
    fn held_until(&self, now: Time, e: &Entry) -> Time {
        let tried = |id| e.attempts.iter().any(|a| self.servers[a.server].id == id);
        let homeless = e
            .shard
            .is_some_and(|key| self.holders.of(now, key).is_none_or(tried));
        let wait = self.settings.classes[e.class].latency_target.as_micros() * (1.0 - HARMLESS);
        if homeless {
            e.hold_until.plus(Span::from_micros(-wait))
        } else {
            e.hold_until
        }
    }

    /// Refuses what was held too long.
    pub(super) fn expire(&mut self, now: Time, out: &mut Vec<Action>) {
        let late = |id: &&RequestId| {
            self.requests
                .get(id)
                .is_some_and(|e| e.held && now >= self.held_until(now, e))
        };
        let late: Vec<RequestId> = self.queue.iter().filter(late).copied().collect();
        for id in late {
            // One with an attempt out waited for a second; the first may still be answered.
            if self.requests.get(&id).is_some_and(Entry::out) {
                self.unhold(id);
            } else {
                self.give_up(id, out);
            }
        }
    }
}
