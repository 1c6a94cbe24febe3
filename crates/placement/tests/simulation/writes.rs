//! Writes that upstreams begin while they hold a lease, and that land later, in a store that checks fencing tokens.

use crate::world::{STEP_MS, World};

/// A write that an upstream has begun.
pub(crate) struct Write {
    upstream: String,
    key: u16,
    /// That of the lease under which it was begun.
    fencing_token: u64,
    lands_at: u64,
}

impl World {
    /// Whoever holds a lease on a key begins a write to it; writes that are due land.
    pub(crate) fn write(&mut self) {
        // Few keys, so that different upstreams come to write the same.
        let key = (self.rng.rand_range(0..16) * 4000) as u16;
        let lands_at = self.now + self.rng.rand_range(0..20 * STEP_MS);
        let now = self.now;
        let begun = self.upstreams.iter().filter_map(|(id, upstream)| {
            Some(Write {
                upstream: id.clone(),
                key,
                fencing_token: upstream.token_to_write(key, now)?,
                lands_at,
            })
        });
        self.writes.extend(begun);
        let (due, rest): (Vec<Write>, Vec<Write>) = std::mem::take(&mut self.writes)
            .into_iter()
            .partition(|write| write.lands_at <= now);
        self.writes = rest;
        for write in due {
            self.land(write);
        }
    }

    fn land(&mut self, write: Write) {
        let upstream = self.upstreams.get(&write.upstream).filter(|u| u.is_up);
        let Some(upstream) = upstream else { return };
        if upstream.frozen_until > self.now {
            // It goes on in the middle of it.
            self.writes.push(Write {
                lands_at: upstream.frozen_until,
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
            "{} wrote {} under {}, and {highest_token} had been seen",
            write.upstream,
            write.key,
            write.fencing_token
        );
        *highest_token = write.fencing_token;
    }
}
