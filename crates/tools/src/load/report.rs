//! The results of a load run.

use std::{collections::BTreeMap, fmt, time::Duration};

use egret_client::Error;
use egret_wire::QueryAnswer;
use hdrhistogram::Histogram;
use serde::Serialize;

/// The decimal digits to which histograms keep a latency.
const SIGNIFICANT_DIGITS: u8 = 3;
/// The highest latency that histograms tell apart; longer ones count as this.
const MAX_LATENCY_US: u64 = 120_000_000;

/// Latencies, coverage, attempts and refusals of one run.
#[derive(Clone, Debug)]
pub struct Report {
    latency_us: Histogram<u64>,
    refusal_us: Histogram<u64>,
    sent: u64,
    answered: u64,
    in_time: u64,
    coverage_sum: f64,
    coverage_min: f64,
    attempts: u64,
    needed: u64,
    refusals: BTreeMap<String, u64>,
}

/// The summary of a report, as `egret-load --json` prints it.
#[derive(Clone, Debug, Serialize)]
pub struct Summary {
    /// The number of queries sent.
    pub sent: u64,
    /// The number of queries answered.
    pub answered: u64,
    /// Queries answered within the time budget, as a fraction of those sent.
    pub in_time_share: f64,
    /// Median latency of answers, in milliseconds from the intended start.
    pub p50_ms: f64,
    /// 99th percentile of the same latency, which 99 in 100 answers stay within.
    pub p99_ms: f64,
    /// 99.9th percentile of the same latency, which 999 in 1000 answers stay within.
    pub p999_ms: f64,
    /// Median time until a query was refused, in milliseconds from the intended start.
    pub refusal_p50_ms: f64,
    /// Mean coverage of the answers.
    pub coverage_mean: f64,
    /// Lowest coverage of any answer; 1 if there is none.
    pub coverage_least: f64,
    /// Attempts beyond the needed ones, as a fraction of the needed ones.
    pub extra_share: f64,
    /// The number of refusals by kind and by whether the query may have run.
    pub refusals: BTreeMap<String, u64>,
}

impl Default for Report {
    fn default() -> Self {
        let histogram = || {
            Histogram::new_with_bounds(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS).expect("the bounds are valid")
        };
        Self {
            latency_us: histogram(),
            refusal_us: histogram(),
            sent: 0,
            answered: 0,
            in_time: 0,
            coverage_sum: 0.0,
            coverage_min: 1.0,
            attempts: 0,
            needed: 0,
            refusals: BTreeMap::new(),
        }
    }
}

impl Report {
    /// Adds the result of one query.
    pub fn add(&mut self, latency: Duration, budget: Duration, result: &Result<QueryAnswer, Error>) {
        self.sent += 1;
        let micros = latency.as_micros() as u64;
        match result {
            Ok(answer) => {
                self.answered += 1;
                self.in_time += u64::from(latency <= budget);
                self.latency_us.saturating_record(micros);
                self.coverage_sum += answer.coverage;
                self.coverage_min = self.coverage_min.min(answer.coverage);
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

    /// Returns the summary of all results added so far.
    #[must_use]
    pub fn summary(&self) -> Summary {
        let fraction = |part: f64, whole: u64| if whole == 0 { 0.0 } else { part / whole as f64 };
        let ms = |histogram: &Histogram<u64>, q: f64| histogram.value_at_quantile(q) as f64 / 1000.0;
        Summary {
            sent: self.sent,
            answered: self.answered,
            in_time_share: fraction(self.in_time as f64, self.sent),
            p50_ms: ms(&self.latency_us, 0.5),
            p99_ms: ms(&self.latency_us, 0.99),
            p999_ms: ms(&self.latency_us, 0.999),
            refusal_p50_ms: ms(&self.refusal_us, 0.5),
            coverage_mean: fraction(self.coverage_sum, self.answered),
            coverage_least: self.coverage_min,
            extra_share: fraction(self.attempts as f64 - self.needed as f64, self.needed),
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
