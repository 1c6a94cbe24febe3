//! Writes that upstreams begin while they hold a lease, and that reach a store with fencing token checks later.

use crate::world::{STEP_MS, World};

/// A write that an upstream has begun.
pub(crate) struct Write {
    upstream: String,
    key: u16,
    /// Fencing token of the lease under which it was begun.
    fencing_token: u64,
    arrives_at: u64,
}

impl World {
    /// Lets each holder of a lease on a random key begin a write to it, and applies the writes that are due.
    pub(crate) fn run_writes(&mut self) {
        // Only 16 keys, so that different upstreams write the same ones.
        let key = (self.rng.rand_range(0..16) * 4000) as u16;
        let arrives_at = self.now + self.rng.rand_range(0..20 * STEP_MS);
        let now = self.now;
        let begun = self.upstreams.iter().filter_map(|(id, upstream)| {
            Some(Write {
                upstream: id.clone(),
                key,
                fencing_token: upstream.token_to_write(key, now)?,
                arrives_at,
            })
        });
        self.writes.extend(begun);
        let (due, rest): (Vec<Write>, Vec<Write>) = std::mem::take(&mut self.writes)
            .into_iter()
            .partition(|write| write.arrives_at <= now);
        self.writes = rest;
        for write in due {
            self.apply_write(write);
        }
    }

    fn apply_write(&mut self, write: Write) {
        let upstream = self.upstreams.get(&write.upstream).filter(|u| u.is_up);
        let Some(upstream) = upstream else { return };
        if upstream.frozen_until > self.now {
            // The paused upstream completes the write when it resumes.
            self.writes.push(Write {
                arrives_at: upstream.frozen_until,
                ..write
            });
            return;
        }
        let highest_token = self.written_tokens.entry(write.key).or_default();
        if self.checks_write_tokens && write.fencing_token < *highest_token {
            self.rejected_writes += 1;
            return;
        }
        assert!(
            write.fencing_token >= *highest_token,
            "{} wrote key {} with token {} after token {highest_token}",
            write.upstream,
            write.key,
            write.fencing_token
        );
        *highest_token = write.fencing_token;
    }
}
