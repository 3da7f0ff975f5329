//! Sending queries at fixed times.

use std::time::Duration;

use egret_client::{Client, Query};
use tokio::{task::JoinSet, time::Instant};

use super::Report;

/// One load: what is sent, how often and for how long.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The group that is asked.
    pub group: String,
    /// The class of work.
    pub class: String,
    /// The body; `%N` becomes the query's number.
    pub body: String,
    /// The time budget.
    pub budget: Duration,
    /// Queries per second.
    pub rate: f64,
    /// For how long.
    pub duration: Duration,
    /// The seed of the arrival times.
    pub seed: u64,
    /// Whether every query must run at most once.
    pub non_idempotent: bool,
}

/// Sends the load and reports.
///
/// Arrival times are drawn beforehand and latency counts from them, so that a
/// slow answer does not hide the wait of the queries behind it.
///
/// # Errors
/// Fails where the plan makes no valid query.
pub async fn run(client: &Client, plan: &Plan) -> egret_client::Result<Report> {
    let mut random = fastrand::Rng::with_seed(plan.seed);
    let mut tasks = JoinSet::new();
    let start = Instant::now();
    let mut at = Duration::ZERO;
    let mut number = 0_u64;
    while at < plan.duration {
        let query = query(plan, number)?;
        let (client, budget) = (client.clone(), plan.budget);
        let intended = start + at;
        tokio::time::sleep_until(intended).await;
        tasks.spawn(async move {
            let result = client.query_once(&query).await;
            (intended.elapsed(), budget, result)
        });
        // Exponential gaps: callers arrive independently of each other.
        at += Duration::from_secs_f64(-(1.0 - random.f64()).ln() / plan.rate);
        number += 1;
    }
    let mut report = Report::default();
    while let Some(ended) = tasks.join_next().await {
        if let Ok((latency, budget, result)) = ended {
            report.add(latency, budget, &result);
        }
    }
    Ok(report)
}

fn query(plan: &Plan, number: u64) -> egret_client::Result<Query> {
    let body = plan.body.replace("%N", &number.to_string());
    let query = Query::group(&plan.group, &plan.class, &body)?.budget(plan.budget);
    Ok(if plan.non_idempotent { query.non_idempotent() } else { query })
}
