//! Sending queries at random times that are drawn in advance.

use std::time::Duration;

use egret_client::{Client, Query};
use tokio::{task::JoinSet, time::Instant};

use super::Report;

/// A load: the queries that are sent, their rate and the duration.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The group that is queried.
    pub group: String,
    /// The class of the queries.
    pub class: String,
    /// The body as JSON; `%N` is replaced by the query's number, counted from 0.
    pub body: String,
    /// The time budget of each query.
    pub budget: Duration,
    /// The mean number of queries per second.
    pub rate: f64,
    /// The time for which queries are sent.
    pub duration: Duration,
    /// The seed of the random arrival times.
    pub seed: u64,
    /// Whether every query is marked as non-idempotent, so that it runs at most once.
    pub non_idempotent: bool,
}

/// Sends the load and returns a report on all queries.
///
/// Arrival times do not depend on answers, and latency counts from the intended
/// arrival. Thus a slow answer does not hide the wait of the queries behind it
/// (coordinated omission).
///
/// # Errors
/// Fails if the plan's group, class or body does not make a valid query.
pub async fn run(client: &Client, plan: &Plan) -> egret_client::Result<Report> {
    let mut random = fastrand::Rng::with_seed(plan.seed);
    let mut tasks = JoinSet::new();
    let start = Instant::now();
    let mut offset = Duration::ZERO;
    let mut number = 0_u64;
    while offset < plan.duration {
        let query = build_query(plan, number)?;
        let (client, budget) = (client.clone(), plan.budget);
        let intended = start + offset;
        tokio::time::sleep_until(intended).await;
        tasks.spawn(async move {
            let result = client.query_once(&query).await;
            (intended.elapsed(), budget, result)
        });
        // Exponential gaps (a Poisson process): callers arrive independently of each other.
        offset += Duration::from_secs_f64(-(1.0 - random.f64()).ln() / plan.rate);
        number += 1;
    }
    let mut report = Report::default();
    while let Some(joined) = tasks.join_next().await {
        if let Ok((latency, budget, result)) = joined {
            report.add(latency, budget, &result);
        }
    }
    Ok(report)
}

fn build_query(plan: &Plan, number: u64) -> egret_client::Result<Query> {
    let body = plan.body.replace("%N", &number.to_string());
    let query = Query::group(&plan.group, &plan.class, &body)?.budget(plan.budget);
    Ok(if plan.non_idempotent { query.non_idempotent() } else { query })
}
