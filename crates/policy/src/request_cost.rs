//! The expected service time of a request, learned from earlier requests that resemble it.

use std::time::{Duration, Instant};

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::CostLevel;

/// The number of entries of the table: 128 KiB.
const ENTRIES: usize = 4096;
/// The entries among which a key is searched; the one with the least weight is replaced.
const WAYS: usize = 4;
/// The levels of resemblance: route, size class of the body, shape of the path, path.
const LEVELS: usize = 4;
/// The weight of the coarser level in an estimate, in samples: a level with as many samples of its own
/// counts as much as the coarser one.
const COARSER_WEIGHT: f64 = 4.0;
/// The greatest weight of an entry, in samples, so that an entry follows a change.
const WEIGHT_MAX: f64 = 64.0;
/// The time constant of the decay of an entry's weight: without new samples, the estimate returns to that
/// of the coarser level.
const WEIGHT_DECAY: Duration = Duration::from_secs(120);

/// What is known of a request before it runs.
#[derive(Clone, Copy, Debug)]
pub struct RequestShape<'a> {
    /// The name of its route.
    pub route: &'a str,
    /// The size of its body.
    pub body_bytes: usize,
    /// Its path with the query.
    pub path: &'a str,
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    key: u64,
    mean_secs: f32,
    weight: f32,
    at: Instant,
}

impl Entry {
    fn weight(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.at).div_duration_f64(WEIGHT_DECAY);
        f64::from(self.weight) * (-age).exp()
    }
}

/// Learns the service time of requests: the time that a target works on one, without queueing.
///
/// A request is looked up at four levels, each narrower than the one before; each level's estimate is the
/// mean of its samples and of the coarser level's estimate, by weight. The table has a fixed size, so that
/// callers cannot fill the host's memory with paths; entries with little weight are replaced first.
///
/// ```
/// use std::time::{Duration, Instant};
/// use egret_policy::{RequestCosts, RequestShape};
///
/// let (now, typical) = (Instant::now(), Duration::from_millis(50));
/// let export = RequestShape { route: "files", body_bytes: 0, path: "/files/export/7" };
/// let mut costs = RequestCosts::default();
/// assert_eq!(costs.expected(now, export, typical), typical);
/// for _ in 0..40 {
///     costs.record(now, export, Duration::from_millis(400), 1.0);
/// }
/// assert!(costs.expected(now, export, typical) > Duration::from_millis(380));
/// ```
#[derive(Clone, Debug, Default)]
pub struct RequestCosts {
    /// Empty, or [`ENTRIES`] long once there is a sample.
    entries: Vec<Option<Entry>>,
}

impl RequestCosts {
    /// Returns the expected service time of a request; `typical` is that of its route without samples.
    #[must_use]
    pub fn expected(&self, now: Instant, shape: RequestShape<'_>, typical: Duration) -> Duration {
        self.estimate(now, &keys(shape), typical)
    }

    /// Returns the mean service time of a route's requests.
    #[must_use]
    pub fn mean(&self, now: Instant, route: &str, typical: Duration) -> Duration {
        self.estimate(now, &[route_key(route)], typical)
    }

    /// Returns whether the mean service time of a route's requests rests on samples more than on its typical latency.
    #[must_use]
    pub fn is_known(&self, now: Instant, route: &str) -> bool {
        self.find(route_key(route)).is_some_and(|entry| entry.weight(now) >= COARSER_WEIGHT)
    }

    /// Returns the narrowest level at which a request's expected service time rests on samples more than on the coarser
    /// level's estimate.
    #[must_use]
    pub fn level(&self, now: Instant, shape: RequestShape<'_>) -> CostLevel {
        let is_known = |key: u64| self.find(key).is_some_and(|entry| entry.weight(now) >= COARSER_WEIGHT);
        let levels = [CostLevel::Route, CostLevel::BodySize, CostLevel::PathShape, CostLevel::Path];
        let known = keys(shape).into_iter().zip(levels).rev().find(|(key, _)| is_known(*key));
        known.map_or(CostLevel::TypicalLatency, |(_, level)| level)
    }

    /// Records the service time of a request; `weight` is the sample's reliability, from 0 to 1.
    pub fn record(&mut self, now: Instant, shape: RequestShape<'_>, service_time: Duration, weight: f64) {
        self.entries.resize(ENTRIES, None);
        for key in keys(shape) {
            let bucket = bucket(key);
            let ways = &mut self.entries[bucket..bucket + WAYS];
            let known = ways.iter().position(|way| way.is_some_and(|entry| entry.key == key));
            let weight_of = |way: &Option<Entry>| way.map_or(-1.0, |entry| entry.weight(now));
            let at = known.unwrap_or_else(|| {
                let least = (0..WAYS).min_by(|a, b| weight_of(&ways[*a]).total_cmp(&weight_of(&ways[*b])));
                least.unwrap_or_default()
            });
            let old = ways[at].filter(|entry| entry.key == key);
            let old_weight = old.map_or(0.0, |entry| entry.weight(now));
            let old_mean = old.map_or(0.0, |entry| f64::from(entry.mean_secs));
            let total = old_weight + weight;
            if total > 0.0 {
                let mean = (old_mean * old_weight + service_time.as_secs_f64() * weight) / total;
                ways[at] = Some(Entry {
                    key,
                    mean_secs: mean as f32,
                    weight: total.min(WEIGHT_MAX) as f32,
                    at: now,
                });
            }
        }
    }

    fn estimate(&self, now: Instant, keys: &[u64], typical: Duration) -> Duration {
        let mut secs = typical.as_secs_f64();
        for &key in keys {
            let Some(entry) = self.find(key) else { continue };
            let weight = entry.weight(now);
            secs = (f64::from(entry.mean_secs) * weight + secs * COARSER_WEIGHT) / (weight + COARSER_WEIGHT);
        }
        Duration::from_secs_f64(secs)
    }

    fn find(&self, key: u64) -> Option<Entry> {
        let bucket = bucket(key);
        let ways = self.entries.get(bucket..bucket + WAYS)?;
        ways.iter().flatten().copied().find(|entry| entry.key == key)
    }
}

fn bucket(key: u64) -> usize {
    key as usize % (ENTRIES / WAYS) * WAYS
}

fn route_key(route: &str) -> u64 {
    xxh3_64_with_seed(route.as_bytes(), 0)
}

/// Returns the keys of a request, from the coarsest level to the finest.
fn keys(shape: RequestShape<'_>) -> [u64; LEVELS] {
    let route = route_key(shape.route);
    let size = xxh3_64_with_seed(&shape.body_bytes.checked_ilog2().unwrap_or(0).to_le_bytes(), route);
    let (path, query) = shape.path.split_once('?').unwrap_or((shape.path, ""));
    // Identifiers contain digits: segments with a digit count as equal, and so do the values of the query.
    let mut path_shape = size;
    for segment in path.split('/') {
        let has_digit = segment.bytes().any(|byte| byte.is_ascii_digit());
        path_shape = xxh3_64_with_seed(if has_digit { b"*" } else { segment.as_bytes() }, path_shape);
    }
    for parameter in query.split('&') {
        let name = parameter.split('=').next().unwrap_or_default();
        path_shape = xxh3_64_with_seed(name.as_bytes(), path_shape);
    }
    [route, size, path_shape, xxh3_64_with_seed(shape.path.as_bytes(), !size)]
}
