//! Token buckets that limit the rate at which each team may submit jobs within its share.

use crate::prelude::*;

/// Time for which unused allowance accumulates.
const BURST: Duration = Duration::from_secs(2);

/// Number of jobs that a team may submit now within its share.
#[derive(Clone, Copy, Debug)]
struct TokenBucket {
    tokens: f64,
    updated: Uptime,
}

/// Token buckets of all teams.
#[derive(Debug, Default)]
pub(super) struct Shares {
    buckets: BTreeMap<Rc<str>, TokenBucket>,
}

impl Shares {
    /// Takes one token, that is one job, from the team's bucket, which is refilled with `weight` tokens per second.
    /// Returns whether the job exceeds the team's share; such jobs get the capacity that the others leave.
    pub(super) fn take(&mut self, team: &Rc<str>, weight: f64, now: Uptime) -> bool {
        let capacity = (weight * BURST.as_secs_f64()).max(1.0);
        let bucket = self
            .buckets
            .entry(Rc::clone(team))
            .or_insert(TokenBucket { tokens: capacity, updated: now });
        let refill = now.saturating_sub(bucket.updated).as_secs_f64() * weight;
        bucket.tokens = (bucket.tokens + refill).min(capacity);
        bucket.updated = now;
        let exceeded = bucket.tokens < 1.0;
        if !exceeded {
            bucket.tokens -= 1.0;
        }
        exceeded
    }
}
