//! One row of results, and the measuring of resource usage for it.

use std::time::Instant;

use egret_proofs::{Fleet, ResourceUsage, Role};
use egret_tools::load::Report;
use serde::{Deserialize, Serialize};

/// The result of one variant of one case; stored as JSON under its field names.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(crate) struct Row {
    pub(crate) case: String,
    pub(crate) variant: String,
    pub(crate) sent: u64,
    pub(crate) in_time: f64,
    pub(crate) p50_ms: f64,
    pub(crate) p99_ms: f64,
    pub(crate) p999_ms: f64,
    pub(crate) coverage: f64,
    pub(crate) coverage_least: f64,
    pub(crate) extra: f64,
    pub(crate) refusal_p50_ms: f64,
    pub(crate) overruns: u64,
    pub(crate) entry_cpu: f64,
    pub(crate) relay_cpu: f64,
    pub(crate) agent_cpu: f64,
    pub(crate) entry_mb: f64,
    pub(crate) relay_mb: f64,
    pub(crate) agent_mb: f64,
    pub(crate) platform_calls_per_s: f64,
    pub(crate) refusals: String,
}

/// The time and a fleet's counters at the start of a measurement.
pub(crate) struct MeasurementStart {
    at: Instant,
    usage: [f64; 3],
    platform_calls: u64,
    overruns: u64,
}

const ROLES: [Role; 3] = [Role::Entry, Role::Relay, Role::Agent];

fn sum(fleet: &Fleet, role: Role) -> ResourceUsage {
    let hosts = fleet.spec().hosts;
    (0..hosts).map(|host| fleet.usage(host, role)).fold(ResourceUsage::default(), |sum, one| ResourceUsage {
        cpu_secs: sum.cpu_secs + one.cpu_secs,
        rss_mb: sum.rss_mb + one.rss_mb / hosts as f64,
    })
}

fn overruns(fleet: &Fleet) -> u64 {
    fleet.targets.iter().flatten().map(egret_standin::Target::overruns).sum()
}

impl MeasurementStart {
    pub(crate) fn now(fleet: &Fleet) -> Self {
        let usage = ROLES.map(|role| sum(fleet, role).cpu_secs);
        Self { at: Instant::now(), usage, platform_calls: fleet.platform.calls(), overruns: overruns(fleet) }
    }

    /// Ends the measurement; prints and returns its row.
    ///
    /// The `_cpu` fields are cores used per daemon, the `_mb` fields are means over the hosts.
    pub(crate) fn row(&self, fleet: &Fleet, case: &str, variant: &str, report: &Report) -> Row {
        let secs = self.at.elapsed().as_secs_f64();
        let hosts = fleet.spec().hosts as f64;
        let used = ROLES.map(|role| sum(fleet, role));
        let cpu = |at: usize| (used[at].cpu_secs - self.usage[at]) / secs / hosts;
        let n = report.summary();
        let row = Row {
            case: case.to_owned(),
            variant: variant.to_owned(),
            sent: n.sent,
            in_time: n.in_time_share,
            p50_ms: n.p50_ms,
            p99_ms: n.p99_ms,
            p999_ms: n.p999_ms,
            coverage: n.coverage_mean,
            coverage_least: n.coverage_least,
            extra: n.extra_share,
            refusal_p50_ms: n.refusal_p50_ms,
            overruns: overruns(fleet) - self.overruns,
            entry_cpu: cpu(0),
            relay_cpu: cpu(1),
            agent_cpu: cpu(2),
            entry_mb: used[0].rss_mb,
            relay_mb: used[1].rss_mb,
            agent_mb: used[2].rss_mb,
            platform_calls_per_s: (fleet.platform.calls() - self.platform_calls) as f64 / secs,
            refusals: n.refusals.iter().map(|(kind, count)| format!("{kind}: {count}; ")).collect(),
        };
        println!("{}", row.line());
        row
    }
}

impl Row {
    pub(crate) fn heading() -> String {
        "| case | variant | sent | in time | p50 ms | p99 ms | p99.9 ms | coverage | least | extra | refusal p50 ms | overruns | entry cores | relay cores | agent cores | entry MB | relay MB | agent MB | platform calls/s | refusals |\n|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|".to_owned()
    }

    fn line(&self) -> String {
        format!(
            "| {} | {} | {} | {:.4} | {:.2} | {:.2} | {:.2} | {:.4} | {:.3} | {:.4} | {:.2} | {} | {:.3} | {:.3} | {:.4} | {:.0} | {:.0} | {:.0} | {:.1} | {} |",
            self.case,
            self.variant,
            self.sent,
            self.in_time,
            self.p50_ms,
            self.p99_ms,
            self.p999_ms,
            self.coverage,
            self.coverage_least,
            self.extra,
            self.refusal_p50_ms,
            self.overruns,
            self.entry_cpu,
            self.relay_cpu,
            self.agent_cpu,
            self.entry_mb,
            self.relay_mb,
            self.agent_mb,
            self.platform_calls_per_s,
            self.refusals
        )
    }
}

/// Prints the ratio of each row to the row of the same case and variant in an earlier result.
pub(crate) fn print_ratios(rows: &[Row], old: &[Row]) {
    println!("\n| case | variant | p50 ratio | p99 ratio | extra difference |\n|---|---|---|---|---|");
    for row in rows {
        if let Some(old) = old.iter().find(|old| (&old.case, &old.variant) == (&row.case, &row.variant)) {
            let ratio = |new: f64, old: f64| if old == 0.0 { f64::NAN } else { new / old };
            let (p50, p99) = (ratio(row.p50_ms, old.p50_ms), ratio(row.p99_ms, old.p99_ms));
            println!(
                "| {} | {} | {p50:.2} | {p99:.2} | {:+.4} |",
                row.case,
                row.variant,
                row.extra - old.extra
            );
        }
    }
}
