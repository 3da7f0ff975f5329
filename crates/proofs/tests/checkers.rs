//! The checkers report histories that break their promises.
//!
//! They guard against a checker that passes everything: each gets a correct history
//! and then one with a single fault.

use egret_model::{MissCause, PlacementId, QueryId, Ran, ServiceName, ShardName, SnapshotId};
use egret_proofs::{
    VersionHistory, Violation, expected_hits, lookup_body, verify_answer, verify_at_most_once, verify_not_run,
};
use egret_standin::{Execution, search, well_records};
use egret_wire::{AnswerHit, MissingShard, QueryAnswer, ServiceShards};

const RECORDS: u32 = 40;
const NUMBER: u64 = 3;
const SNAPSHOT: SnapshotId = SnapshotId(1);

fn service() -> ServiceName {
    ServiceName::new("desk-00").unwrap()
}

fn shard(name: &str) -> ShardName {
    ShardName::new(name).unwrap()
}

fn hits(of: &str, snapshot: SnapshotId) -> Vec<AnswerHit> {
    let records = well_records(&service(), &shard(of), snapshot, RECORDS);
    let found = search(&records, &lookup_body(NUMBER)).into_iter();
    found.map(|hit| AnswerHit { key: hit.key, score: hit.score, record: hit.record }).collect()
}

/// Returns a correct answer that covers one of two shards.
fn answer() -> QueryAnswer {
    let missing = MissingShard { service: service(), shard: shard("s1"), cause: MissCause::Deadline };
    let mut hits = hits("s0", SNAPSHOT);
    hits.sort_by(|a, b| b.score.total_cmp(&a.score).then_with(|| a.key.cmp(&b.key)));
    QueryAnswer {
        query: QueryId(1),
        snapshot: SNAPSHOT,
        coverage: 0.5,
        covered: vec![ServiceShards { service: service(), shards: vec![shard("s0")] }],
        missing: vec![missing],
        hits,
        ran: Ran::Yes,
        attempts: 2,
        needed: 2,
    }
}

fn verify(answer: &QueryAnswer) -> Result<(), Violation> {
    verify_answer(RECORDS, NUMBER, answer)
}

fn execution(body: &str, shards: &[&str]) -> Execution {
    Execution {
        query: QueryId(1),
        attempt: 1,
        service: service(),
        shards: shards.iter().map(|name| shard(name)).collect(),
        snapshot: SNAPSHOT,
        placement: PlacementId(1),
        idempotent: false,
        body: body.to_owned(),
        at_ms: 0,
        completed: true,
    }
}

#[test]
fn a_correct_answer_passes() {
    assert!(answer().hits.len() > 1, "the checks need at least two hits");
    assert_eq!(expected_hits(&service(), &shard("s0"), SNAPSHOT, RECORDS, NUMBER).len(), answer().hits.len());
    assert_eq!(verify(&answer()), Ok(()));
}

#[test]
fn missing_duplicate_foreign_and_uncovered_hits_are_reported() {
    let mut missing = answer();
    missing.hits.pop();
    assert!(matches!(verify(&missing), Err(Violation::WrongHits { .. })));
    let mut duplicate = answer();
    let again = duplicate.hits[0].clone();
    duplicate.hits.insert(0, again);
    assert!(matches!(verify(&duplicate), Err(Violation::WrongHits { .. })));
    let mut foreign = answer();
    foreign.hits[0].key = "another caller's".to_owned();
    assert!(matches!(verify(&foreign), Err(Violation::WrongHits { .. })));
    let mut uncovered = answer();
    uncovered.hits.extend(hits("s1", SNAPSHOT));
    assert!(matches!(verify(&uncovered), Err(Violation::WrongHits { .. })));
}

#[test]
fn a_covered_shard_without_its_hits_is_reported() {
    let mut answer = answer();
    answer.covered[0].shards.push(shard("s1"));
    answer.missing.clear();
    answer.coverage = 1.0;
    assert!(matches!(verify(&answer), Err(Violation::WrongHits { .. })));
}

#[test]
fn a_hit_of_another_snapshot_is_reported() {
    let mut answer = answer();
    let other = hits("s0", SnapshotId(2)).remove(0).record;
    answer.hits[0].record = other;
    assert!(matches!(verify(&answer), Err(Violation::MixedSnapshots { .. })));
}

#[test]
fn a_wrong_coverage_and_a_wrong_order_are_reported() {
    let wrong = QueryAnswer { coverage: 1.0, ..answer() };
    assert!(matches!(verify(&wrong), Err(Violation::WrongCoverage { .. })));
    let mut wrong = answer();
    wrong.hits.reverse();
    assert!(matches!(verify(&wrong), Err(Violation::WrongOrder { .. })));
}

#[test]
fn a_second_run_by_one_shard_is_reported() {
    let once = [execution("one", &["s0"]), execution("one", &["s1"]), execution("two", &["s0"])];
    assert_eq!(verify_at_most_once(&once), Ok(3));
    let mut idempotent = execution("one", &["s0"]);
    idempotent.idempotent = true;
    assert_eq!(verify_at_most_once(&[execution("one", &["s0"]), idempotent]), Ok(1));
    let twice = [execution("one", &["s0", "s1"]), execution("one", &["s1"])];
    assert!(matches!(verify_at_most_once(&twice), Err(Violation::RanTwice { count: 2, .. })));
}

#[test]
fn a_run_of_a_request_refused_as_not_run_is_reported() {
    let runs = [execution("bid-1-", &["s0"])];
    assert_eq!(verify_not_run(&runs, &["bid-2-".to_owned()]), Ok(()));
    let result = verify_not_run(&runs, &["bid-1-".to_owned()]);
    assert!(matches!(result, Err(Violation::RanDespiteRefusal { .. })));
}

#[test]
fn reads_during_a_rollout_may_show_either_version() {
    let mut history = VersionHistory::starting_at(2, 1);
    history.begin_publish(2);
    history.record_read(0, 1);
    history.record_read(1, 2);
    history.record_read(0, 2);
    history.end_publish(2);
    history.record_read(0, 2);
    assert_eq!(history.verify(), Ok(()));
}

#[test]
fn a_version_that_reverts_or_is_late_is_reported() {
    let mut reverts = VersionHistory::starting_at(2, 1);
    reverts.begin_publish(2);
    reverts.record_read(1, 2);
    reverts.record_read(1, 1);
    reverts.end_publish(2);
    assert_eq!(reverts.verify(), Err(Violation::NotLinearizable { process: 1, seen: vec![2, 1] }));
    let mut late = VersionHistory::starting_at(1, 1);
    late.begin_publish(2);
    late.end_publish(2);
    late.record_read(0, 1);
    assert_eq!(late.verify(), Err(Violation::NotLinearizable { process: 0, seen: vec![1] }));
}
