//! The queue, and the choice of an upstream with a free slot.

use std::cell::LazyCell;

use super::*;

impl Balancer {
    pub(super) fn hold(&mut self, id: RequestId, at_head: bool) {
        let Some(e) = self.requests.get_mut(&id) else {
            return;
        };
        e.held = true;
        let class = e.class;
        self.count_queued(class, 1);
        if at_head {
            self.queue.push_front(id);
        } else {
            self.queue.push_back(id);
        }
    }

    /// Takes it out of the count of the queue; its place there is passed over.
    pub(super) fn unhold(&mut self, id: RequestId) {
        if let Some(e) = self.requests.get_mut(&id).filter(|e| e.held) {
            e.held = false;
            let class = e.class;
            self.count_queued(class, -1);
        }
    }

    pub(super) fn count_queued(&mut self, class: usize, change: isize) {
        let own = self.room_of[class];
        for (r, room) in self.rooms.iter_mut().enumerate() {
            if r == 0 || r == own {
                room.queued = room.queued.saturating_add_signed(change);
            }
        }
    }

    /// Takes or frees slots of an upstream, in every room that it belongs to.
    pub(super) fn count_in_flight(&mut self, server: usize, change: i32) {
        let s = &mut self.servers[server];
        s.in_flight = s.in_flight.saturating_add_signed(change);
        for r in 0..self.rooms.len() {
            if self.counts(&self.rooms[r], &self.servers[server]) {
                let n = &mut self.rooms[r].in_flight;
                *n = n.saturating_add_signed(change as isize);
            }
        }
    }

    /// An ordered request goes to the back of its key's line.
    pub(super) fn join_line(&mut self, now: Time, id: RequestId) {
        let Some(key) = self.requests.get(&id).and_then(|e| e.turn) else {
            return;
        };
        let new = || Line {
            waiting: VecDeque::new(),
            rest_until: now,
        };
        self.lines
            .entry(key)
            .or_insert_with(new)
            .waiting
            .push_back(id);
    }

    /// Whether it is at the head of its key's line and the key has rested; always, once it was sent.
    pub(super) fn has_turn(&self, now: Time, id: RequestId, e: &Entry) -> bool {
        let Some(line) = e.turn.and_then(|k| self.lines.get(&k)) else {
            return true;
        };
        !e.attempts.is_empty() || (line.waiting.front() == Some(&id) && now >= line.rest_until)
    }

    /// First come, first served, while some upstream has a free slot. One that waits for its key's turn, or
    /// finds no slot among the upstreams it is bound to, holds up only its like.
    pub(super) fn dispatch(&mut self, now: Time, out: &mut Vec<Action>) {
        let mut i = 0;
        let mut shut = vec![false; self.rooms.len()];
        while let Some(&id) = self.queue.get(i) {
            let Some(e) = self.requests.get(&id).filter(|e| e.held) else {
                self.queue.remove(i);
                continue;
            };
            let fresh = e.attempts.is_empty() && e.shard.is_none();
            let r = self.room_of[e.class];
            if (fresh && shut[r]) || !self.has_turn(now, id, e) {
                i += 1;
                continue;
            }
            let full = self.rooms[r].in_flight as f64 >= self.rooms[r].slots.max(1.0);
            match self.pick(now, id, full) {
                Some(server) => {
                    self.queue.remove(i);
                    self.send(now, id, server, out);
                }
                // Nothing is free. A repeat may merely be bound to other upstreams: look behind it.
                None => {
                    shut[r] |= fresh;
                    if shut.iter().all(|s| *s) {
                        break;
                    }
                    i += 1;
                }
            }
        }
    }

    /// Whether so much of the fleet is shut to a class that it is open to it all the same. Failure: looked at
    /// for every class again and again, a thousand routes took all the time of a small machine.
    fn panics(&self, now: Time, class: usize) -> bool {
        let open = self.order.iter().map(|&i| &self.servers[i]);
        let open = open.filter(|s| self.open_to(Some(class), s));
        let (all, shut) = open.fold((0.0, 0.0), |(all, shut), s| {
            (all + 1.0, shut + f64::from(now < s.by_class[class].until))
        });
        shut > all * PANIC
    }

    /// The first upstream in the order of cost that has a free slot. One that already failed this request
    /// comes last. Lanes on trial are filled once the ordinary slots are all taken.
    pub(super) fn pick(&self, now: Time, id: RequestId, full: bool) -> Option<usize> {
        let e = self.requests.get(&id)?;
        let panics = LazyCell::new(|| self.panics(now, e.class));
        let only = e.shard.map(|key| self.holders.of(now, key));
        let mut last: Option<(bool, f64, usize)> = None;
        for &i in &self.order {
            let s = &self.servers[i];
            let tried = e.attempts.iter().any(|a| a.server == i);
            // Failure: where no holder had its keys any more, each request went to its own twice.
            if only.is_some_and(|only| only != Some(s.id) || tried) {
                continue;
            }
            let trial = if full { s.trial } else { s.trial.min(0) };
            let load = f64::from(s.in_flight) + self.others(now, s);
            // Failure: in overload all that found no slot elsewhere went to the upstreams of a lost zone.
            let most = if s.silent >= SILENT {
                1
            } else {
                self.k(s, trial)
            };
            // Failure: a proxy at its limit sent on trial to upstreams that it had left idle as slow.
            let taken = load >= f64::from(most) || (full && s.in_flight < self.k(s, 0));
            let shut = now < s.by_class[e.class].until && !*panics;
            if taken || shut || now < s.breaker.until || !self.may_send(now, id, e, i) {
                continue;
            }
            if s.slots == 0 && !tried {
                return Some(i);
            }
            let cost = if s.slots == 0 {
                0.0
            } else {
                self.told_cost(now, s)
            };
            if last.is_none_or(|(t, c, _)| (tried, cost) < (t, c)) {
                last = Some((tried, cost, i));
            }
        }
        last.map(|(.., i)| i)
    }

    /// Others' requests at an upstream, as far as those that it told of have not ended by now.
    pub(super) fn others(&self, now: Time, s: &Server) -> f64 {
        s.others * (-now.since(s.told).as_micros() / self.ts(s)).exp()
    }

    /// The time to an answer of one that tells its load, in mean service times, with others' requests come
    /// since. One's own part comes first: its answers are known.
    fn told_cost(&self, now: Time, s: &Server) -> f64 {
        let (f, lanes) = (&self.fleet, self.lanes(s));
        let load = f64::from(s.in_flight)
            + f.others
                .by(now, lanes, (s.others, s.told), f.ts, self.ts(s));
        let away = |d: &Span| if d.0 > 0 { REGION_AWAY } else { ZONE_AWAY };
        let far = self
            .settings
            .zone_distances
            .get(s.zone as usize)
            .map_or(0.0, away);
        let own = s.zone == self.settings.zone;
        let (far, ring) = if own {
            (0.0, s.reach)
        } else {
            (far, s.reach - FAR)
        };
        s.est.slow * (1.0 + load / lanes) + far + OUTSIDE * (ring - SHARED).clamp(0.0, 1.0)
    }

    pub(super) fn send(&mut self, now: Time, id: RequestId, server: usize, out: &mut Vec<Action>) {
        self.count_send(now, server);
        self.count_level(now, server, None);
        self.unhold(id);
        let Some(e) = self.requests.get_mut(&id) else {
            return;
        };
        let first = e.attempts.is_empty();
        self.out.push((id, e.attempts.len()));
        e.attempts.push(Attempt::new(server, now));
        let timeout = e.worth_until.since(now);
        self.count_in_flight(server, 1);
        if first {
            self.extra = (self.extra + EXTRA).min(self.rooms[0].slots.max(1.0));
        } else {
            self.fleet.budget.tried_again(now, &self.settings.rules);
        }
        out.push(Action::Send {
            request: id,
            server: self.servers[server].id,
            timeout,
        });
    }
}
