//! Admission: the sum of N_i, the part of each class, and refusals.

use super::*;

impl Balancer {
    /// A client request has arrived; it is sent, held or refused.
    pub(super) fn request(&mut self, now: Time, r: Request, out: &mut Vec<Action>) {
        let Some(class) = self.settings.classes.get(r.class) else {
            return out.push(Action::Reject {
                request: r.id,
                retry_after: Span(0),
            });
        };
        if self.requests.contains_key(&r.id) {
            return;
        }
        // A held request is worth holding only while its aim can be met, also where a late answer keeps some
        // worth: else, in lasting overload, the whole queue is served late.
        let aim_at = r.deadline.min(now.plus(class.latency_target));
        let worth_until = if class.late_value > 0.0 {
            r.deadline
        } else {
            aim_at
        };
        // Two sweeps early: a refusal must come while it is still harmless.
        let hold_until = aim_at.plus(Span(-2 * self.settings.sweep_every().0));
        let entry = Entry {
            class: r.class,
            drop_dead: r.deadline,
            worth_until,
            hold_until,
            held: false,
            ended: false,
            attempts: Vec::new(),
            turn: r.key.filter(|_| class.in_order),
            shard: r.shard,
        };
        self.fleet.budget.requested(now, &self.settings.rules);
        let ahead = entry
            .turn
            .and_then(|k| self.lines.get(&k))
            .map_or(0, |l| l.waiting.len());
        self.requests.insert(r.id, entry);
        let in_share = self.in_share(now, r.tenant);
        let starts = now.plus(Span::from_micros(ahead as f64 * self.fleet.mean[r.class]));
        if !self.admits(r.class, in_share, r.is_client_retry) || starts >= hold_until {
            self.refuse(r.id, out);
            return;
        }
        if in_share && let Some(q) = self.quotas.get_mut(r.tenant) {
            q.tokens -= 1.0;
        }
        self.join_line(now, r.id);
        self.hold(r.id, false);
        self.dispatch(now, out);
    }

    /// The paper's check: queued plus in-flight stay under the sum of N_i. T_QoS is one for all, the wait
    /// that even the tightest class can bear, or long aims would fill the queue and starve short ones;
    /// classes worth less for their work get a smaller part of it.
    pub(super) fn admits(&self, class: usize, in_share: bool, resent: bool) -> bool {
        // Failure: a tenant that sent three times its share took the others' part of a full fleet.
        let part = if in_share { self.part_of(class) } else { 0.0 };
        let room = &self.rooms[self.room_of[class]];
        // Failure: in overload the room for bursts went to repeats, who can only be late, and first tries
        // were refused for it and came again.
        let n = room.n_per_time * (self.fleet.ts + self.fleet.bearable * part);
        let n = if resent { n * room.even } else { n };
        // With no list yet there is no N to sum: hold until an upstream shows or time is up.
        n == 0.0 || ((room.queued + room.in_flight) as f64) < n.max(1.0)
    }

    /// The part of the bearable wait that a class may use, by its worth for its work beside those that ask
    /// for as much. Failure: beside routes hardly asked for, the one with all the traffic had the least part.
    fn part_of(&self, class: usize) -> f64 {
        let f = &self.fleet;
        let value = |c: usize| self.settings.classes[c].value / f.mean[c].max(1.0);
        let (own, least) = (value(class), f.share[class] * RIVAL);
        let rivals = (0..f.share.len()).filter(|&c| f.share[c] > least);
        let rivals: Vec<f64> = rivals.map(value).collect();
        let below = rivals.iter().filter(|&&rival| rival < own).count() as f64;
        let rank = if rivals.len() <= 1 {
            1.0
        } else {
            below / (rivals.len() - 1) as f64
        };
        LEAST_PART + (1.0 - LEAST_PART) * rank.min(1.0)
    }

    pub(super) fn refresh_admission(&mut self) {
        let f = &mut self.fleet;
        let known = self
            .settings
            .classes
            .iter()
            .zip(&f.mean)
            .filter(|(c, _)| !c.retired);
        let bear = known.map(|(c, mean)| c.latency_target.as_micros() * HOLD_OF_AIM - mean);
        f.bearable = bear.fold(f64::MAX, f64::min).max(0.0);
    }

    pub(super) fn refuse(&mut self, request: RequestId, out: &mut Vec<Action>) {
        // By then all that is queued now has ended: who comes sooner stands behind the same queue.
        let most = self.settings.limits.max_retry_after;
        let retry_after = Span::from_micros(self.fleet.ts + self.fleet.bearable).min(most);
        out.push(Action::Reject {
            request,
            retry_after,
        });
        self.end(request);
    }

    /// Nothing is owed to the client any more.
    pub(super) fn end(&mut self, id: RequestId) {
        self.unhold(id);
        let Some(e) = self.requests.get_mut(&id) else {
            return;
        };
        e.ended = true;
        if e.out() {
            return;
        }
        let line = e.turn.and_then(|k| self.lines.get_mut(&k));
        line.into_iter()
            .for_each(|line| line.waiting.retain(|w| *w != id));
        self.requests.remove(&id);
    }
}
