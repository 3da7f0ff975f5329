//! What a load run measured.

use std::{collections::BTreeMap, fmt, time::Duration};

use egret_client::Error;
use egret_wire::QueryAnswer;
use hdrhistogram::Histogram;
use serde::Serialize;

const SIGNIFICANT_DIGITS: u8 = 3;
const LATENCY_MAX_US: u64 = 120_000_000;

/// Latencies, coverage and extra attempts of one run.
#[derive(Clone, Debug)]
pub struct Report {
    latency_us: Histogram<u64>,
    refusal_us: Histogram<u64>,
    sent: u64,
    answered: u64,
    in_time: u64,
    coverage_sum: f64,
    coverage_least: f64,
    attempts: u64,
    needed: u64,
    refusals: BTreeMap<String, u64>,
}

/// The numbers of a report as they are stored.
#[derive(Clone, Debug, Serialize)]
pub struct Summary {
    /// Queries sent.
    pub sent: u64,
    /// Queries answered.
    pub answered: u64,
    /// Queries answered within the time budget, as a share of those sent.
    pub in_time_share: f64,
    /// Milliseconds from the intended start, half of the answers.
    pub p50_ms: f64,
    /// 99 in 100 answers.
    pub p99_ms: f64,
    /// 999 in 1000 answers.
    pub p999_ms: f64,
    /// Milliseconds to half of the refusals.
    pub refusal_p50_ms: f64,
    /// Mean coverage of answers.
    pub coverage_mean: f64,
    /// Least coverage of an answer.
    pub coverage_least: f64,
    /// Attempts beyond the needed ones, as a share of these.
    pub extra_share: f64,
    /// Refusals by kind.
    pub refusals: BTreeMap<String, u64>,
}

impl Default for Report {
    fn default() -> Self {
        let histogram = || {
            Histogram::new_with_bounds(1, LATENCY_MAX_US, SIGNIFICANT_DIGITS)
                .expect("the bounds are in range")
        };
        Self {
            latency_us: histogram(),
            refusal_us: histogram(),
            sent: 0,
            answered: 0,
            in_time: 0,
            coverage_sum: 0.0,
            coverage_least: 1.0,
            attempts: 0,
            needed: 0,
            refusals: BTreeMap::new(),
        }
    }
}

impl Report {
    /// Adds the end of one query.
    pub fn add(&mut self, latency: Duration, budget: Duration, result: &Result<QueryAnswer, Error>) {
        self.sent += 1;
        let micros = latency.as_micros() as u64;
        match result {
            Ok(answer) => {
                self.answered += 1;
                self.in_time += u64::from(latency <= budget);
                self.latency_us.saturating_record(micros);
                self.coverage_sum += answer.coverage;
                self.coverage_least = self.coverage_least.min(answer.coverage);
                self.attempts += u64::from(answer.attempts);
                self.needed += u64::from(answer.needed);
            }
            Err(error) => {
                self.refusal_us.saturating_record(micros);
                let kind = error.kind().map_or("unreachable".to_owned(), |kind| kind.to_string());
                *self.refusals.entry(format!("{kind} (ran {})", error.ran())).or_default() += 1;
            }
        }
    }

    /// Returns the numbers.
    #[must_use]
    pub fn summary(&self) -> Summary {
        let share = |part: f64, whole: u64| if whole == 0 { 0.0 } else { part / whole as f64 };
        let ms = |histogram: &Histogram<u64>, q: f64| histogram.value_at_quantile(q) as f64 / 1000.0;
        Summary {
            sent: self.sent,
            answered: self.answered,
            in_time_share: share(self.in_time as f64, self.sent),
            p50_ms: ms(&self.latency_us, 0.5),
            p99_ms: ms(&self.latency_us, 0.99),
            p999_ms: ms(&self.latency_us, 0.999),
            refusal_p50_ms: ms(&self.refusal_us, 0.5),
            coverage_mean: share(self.coverage_sum, self.answered),
            coverage_least: self.coverage_least,
            extra_share: share(self.attempts as f64 - self.needed as f64, self.needed),
            refusals: self.refusals.clone(),
        }
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let n = self.summary();
        writeln!(f, "sent {} answered {} in time {:.4}", n.sent, n.answered, n.in_time_share)?;
        writeln!(f, "latency ms p50 {:.2} p99 {:.2} p99.9 {:.2}", n.p50_ms, n.p99_ms, n.p999_ms)?;
        writeln!(f, "coverage mean {:.5} least {:.5}", n.coverage_mean, n.coverage_least)?;
        write!(f, "extra attempts {:.4} refusals {:?}", n.extra_share, n.refusals)?;
        if !n.refusals.is_empty() {
            write!(f, " refusal ms p50 {:.2}", n.refusal_p50_ms)?;
        }
        Ok(())
    }
}
