//! The limit on requests that a target states for all hosts together, divided among the hosts.
//!
//! A host sees only its own requests. The hosts that use a target therefore each take an equal share
//! of its limit. Of a limit too small for that only some take a share, so that the requests which all
//! hosts have saved up stay within it. See docs/DESIGN.md, "Limits that targets state".

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The part of a limit, in seconds, that the hosts may save up together while they send less.
const SAVED_UP_SECS: f64 = 0.5;
/// Hosts that may share a limit beyond one for each request per second: each may have one request saved
/// up, and targets tolerate a few requests beyond their limit.
const SHARING_HOSTS_EXTRA: f64 = 2.0;
/// The least rate of the requests of all hosts together, in requests per second: only answers tell that a
/// limit has ended.
const RATE_MIN: f64 = 0.25;
/// After what time the caller of a host without a share should retry, at another host.
const NO_SHARE_RETRY_AFTER: Duration = Duration::from_millis(500);
/// The time until room is never stated longer than this.
const ROOM_AFTER_MAX: Duration = Duration::from_secs(10);
/// How many hosts without a share of a limit may send a request per second, to see whether it holds.
const CHECKS_PER_S: f64 = 0.5;
/// After what time a host that does not use a limited target checks whether the limit holds.
const UNUSED_CHECK_AFTER: Duration = Duration::from_secs(30);

/// The place of this host among those that share the limit of one target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LimitShare {
    /// Its rank by rendezvous hashing, from 0; `None` if it does not use the target while it is limited.
    pub rank: Option<usize>,
    /// The number of hosts that use the target.
    pub hosts: usize,
}

impl LimitShare {
    /// Returns the place of host `own` among the hosts that use a target.
    #[must_use]
    pub fn of(own: SocketAddr, target: &str, hosts: &[SocketAddr]) -> Self {
        let seed = xxh3_64_with_seed(target.as_bytes(), 0);
        let score = |host: SocketAddr| (xxh3_64_with_seed(host.to_string().as_bytes(), seed), host);
        let own_score = score(own);
        let rank = hosts.iter().filter(|host| score(**host) > own_score).count();
        Self { rank: hosts.contains(&own).then_some(rank), hosts: hosts.len() }
    }

    /// Returns by how many this host's share of a limit is divided; `None` if it has no share.
    fn divisor(self, per_s: f64) -> Option<f64> {
        let sharing = (self.hosts as f64).min((per_s + SHARING_HOSTS_EXTRA).floor());
        self.rank.filter(|rank| (*rank as f64) < sharing).map(|_| sharing)
    }
}

/// This host's share of the limit of one target, as a token bucket.
#[derive(Clone, Copy, Debug)]
pub struct RequestLimit {
    per_s: f64,
    share: LimitShare,
    stated_at: Instant,
    /// Requests that may be sent at `refilled_at`.
    tokens: f64,
    refilled_at: Instant,
}

impl RequestLimit {
    /// Creates the limit of a target that states it for the first time.
    #[must_use]
    pub fn new(now: Instant, per_s: f64, share: LimitShare) -> Self {
        Self { per_s: per_s.max(RATE_MIN), share, stated_at: now, tokens: 0.0, refilled_at: now }
    }

    /// Records that the target stated its limit, perhaps another one.
    pub fn state(&mut self, now: Instant, per_s: f64) {
        self.tokens = self.tokens(now);
        (self.per_s, self.stated_at, self.refilled_at) = (per_s.max(RATE_MIN), now, now);
    }

    /// Sets the place of this host among those that share the limit.
    pub fn set_share(&mut self, now: Instant, share: LimitShare) {
        self.tokens = self.tokens(now);
        (self.share, self.refilled_at) = (share, now);
    }

    /// Returns whether an answer without a limit ends this one: it is the answer to a request that was
    /// sent after the target stated the limit.
    #[must_use]
    pub fn is_ended_by_answer_to(&self, sent_at: Instant) -> bool {
        sent_at >= self.stated_at
    }

    /// Returns whether this host has to see anew whether the limit holds, as it gets no answers from the
    /// target. Hosts do so one after the other.
    #[must_use]
    pub fn is_outdated(&self, now: Instant) -> bool {
        if self.share.divisor(self.per_s).is_some() {
            return false;
        }
        let after = self.share.rank.map_or(UNUSED_CHECK_AFTER, |rank| {
            Duration::from_secs_f64((self.share.hosts as f64 / 2.0 + rank as f64) / CHECKS_PER_S)
        });
        now.saturating_duration_since(self.stated_at) > after
    }

    /// Returns how long until this host may send a request; zero if it may now.
    #[must_use]
    pub fn time_until_room(&self, now: Instant) -> Duration {
        let Some(divisor) = self.share.divisor(self.per_s) else { return NO_SHARE_RETRY_AFTER };
        let missing = 1.0 - self.tokens(now);
        if missing <= 0.0 {
            return Duration::ZERO;
        }
        Duration::from_secs_f64(missing * divisor / self.per_s).min(ROOM_AFTER_MAX)
    }

    /// Takes a request out of this host's share.
    pub fn take(&mut self, now: Instant) {
        (self.tokens, self.refilled_at) = (self.tokens(now) - 1.0, now);
    }

    /// Puts back a request that was taken and not sent.
    pub fn put_back(&mut self, now: Instant) {
        (self.tokens, self.refilled_at) = (self.tokens(now) + 1.0, now);
    }

    fn tokens(&self, now: Instant) -> f64 {
        let Some(divisor) = self.share.divisor(self.per_s) else { return 0.0 };
        let rate = self.per_s / divisor;
        let elapsed = now.saturating_duration_since(self.refilled_at).as_secs_f64();
        (self.tokens + rate * elapsed).min((rate * SAVED_UP_SECS).max(1.0))
    }
}
