//! Gathers: hedges, early answers, skipped shards, the choice of gatherers and of store readers.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use egret_policy::{
    GatherLimits, GatherProgress, GatherStep, GathererCandidate, RemoteShardGroup, ShardChoice,
    ShardEstimate, choose_gatherers, choose_shards, group_remote_shards, store_reader_count, store_readers,
    store_retry_backoff,
};

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn limits(start: Instant, min_shards: usize) -> GatherLimits {
    GatherLimits {
        min_shards,
        objective_at: start + ms(200),
        deadline: start + ms(1000),
        hedge_delay: Some(ms(60)),
        attempts_max: 2,
    }
}

fn started_gather(start: Instant, shards: usize, min_shards: usize) -> GatherProgress {
    let mut progress = GatherProgress::new(shards, limits(start, min_shards));
    for shard in 0..shards {
        progress.record_sent(start, shard);
    }
    progress
}

#[test]
fn an_answer_waits_for_all_parts_until_the_latency_objective() {
    let start = Instant::now();
    let mut progress = started_gather(start, 4, 3);
    for shard in 0..3 {
        progress.record_part(shard);
    }
    progress.forbid_hedge(3);
    assert_eq!(progress.next_step(start + ms(150)), GatherStep::Wait(start + ms(200)));
    assert_eq!(progress.next_step(start + ms(200)), GatherStep::Answer);
    progress.record_part(3);
    assert_eq!(progress.next_step(start + ms(150)), GatherStep::Answer);
}

#[test]
fn without_enough_parts_a_gather_waits_until_the_deadline() {
    let start = Instant::now();
    let mut progress = started_gather(start, 4, 3);
    for shard in 0..4 {
        progress.forbid_hedge(shard);
    }
    progress.record_part(0);
    assert_eq!(progress.next_step(start + ms(300)), GatherStep::Wait(start + ms(1000)));
    progress.record_part(1);
    progress.record_part(2);
    assert_eq!(
        progress.next_step(start + ms(300)),
        GatherStep::Answer,
        "past the latency objective, so at once"
    );
    assert_eq!(started_gather(start, 4, 3).next_step(start + ms(1000)), GatherStep::Fail);
}

#[test]
fn a_gather_fails_as_soon_as_enough_parts_cannot_arrive() {
    let start = Instant::now();
    let mut progress = started_gather(start, 4, 3);
    for shard in 0..2 {
        assert!(progress.record_failure(shard), "another replica may be tried");
        progress.abandon_shard(shard);
    }
    assert_eq!(progress.next_step(start + ms(5)), GatherStep::Fail);
}

#[test]
fn a_hedge_is_sent_when_it_is_due_and_within_the_attempt_limit() {
    let start = Instant::now();
    let mut progress = started_gather(start, 2, 2);
    progress.record_part(0);
    assert_eq!(progress.next_step(start + ms(10)), GatherStep::Wait(start + ms(60)));
    assert_eq!(progress.next_step(start + ms(60)), GatherStep::Hedge(1));
    progress.record_sent(start + ms(60), 1);
    assert_eq!(progress.next_step(start + ms(130)), GatherStep::Wait(start + ms(1000)));
}

fn estimate(expected_ms: u64, has_free_slot: bool) -> ShardEstimate {
    ShardEstimate { expected_latency: Some(ms(expected_ms)), has_free_slot, backoff_left: Duration::ZERO }
}

#[test]
fn overloaded_shards_are_skipped_where_enough_remain() {
    let mut estimates = vec![estimate(40, true); 20];
    estimates[3] = estimate(400, false);
    estimates[7] = estimate(300, false);
    let ShardChoice::Ask(asked) = choose_shards(&estimates, 18, ms(186)) else {
        panic!("the query was refused")
    };
    assert_eq!(asked.len(), 18);
    assert!(!asked.contains(&3) && !asked.contains(&7));
}

#[test]
fn slow_shards_that_are_needed_are_asked_while_they_have_free_slots() {
    let mut estimates = vec![estimate(40, true); 20];
    for slow in estimates.iter_mut().take(4) {
        *slow = estimate(250, true);
    }
    assert!(matches!(choose_shards(&estimates, 18, ms(186)), ShardChoice::Ask(asked) if asked.len() >= 18));
    for slow in estimates.iter_mut().take(4) {
        *slow = estimate(700, false);
    }
    assert_eq!(choose_shards(&estimates, 18, ms(186)), ShardChoice::Refuse(ms(700)));
}

#[test]
fn a_shard_without_replicas_is_never_asked() {
    let mut estimates = vec![estimate(40, true); 3];
    estimates[1].expected_latency = None;
    assert_eq!(choose_shards(&estimates, 2, ms(100)), ShardChoice::Ask(vec![0, 2]));
    assert!(matches!(choose_shards(&estimates, 3, ms(100)), ShardChoice::Refuse(_)));
}

/// Simulates a load of which six of twenty shards can serve only four fifths.
///
/// With the choice, queries are answered in time over eighteen shards or more; without it, every query
/// waits for a queue that only grows.
#[test]
fn queries_are_in_time_while_six_shards_are_over_capacity() {
    const SERVICE_MS: f64 = 28.0;
    const SLOTS: f64 = 2.25;
    const QUERIES_PER_S: f64 = 99.0;
    let simulate = |chooses: bool| {
        let mut queue_ms = [0.0_f64; 20];
        let step_ms = 1000.0 / QUERIES_PER_S;
        let mut in_time = 0;
        for _ in 0..2000 {
            let capacity = |shard: usize| if shard < 6 { SLOTS } else { 4.0 };
            let estimates: Vec<ShardEstimate> = (0..20)
                .map(|shard| estimate((SERVICE_MS + queue_ms[shard]) as u64, queue_ms[shard] < 1.0))
                .collect();
            let asked = match choose_shards(&estimates, 18, ms(186)) {
                ShardChoice::Ask(asked) if chooses => asked,
                ShardChoice::Refuse(_) if chooses => Vec::new(),
                _ => (0..20).collect(),
            };
            let parts = asked.iter().filter(|&&shard| queue_ms[shard] + SERVICE_MS <= 186.0).count();
            in_time += usize::from(parts >= 18);
            for &shard in &asked {
                queue_ms[shard] += SERVICE_MS / capacity(shard);
            }
            for queued in &mut queue_ms {
                *queued = (*queued - step_ms).max(0.0);
            }
        }
        in_time
    };
    assert!(simulate(true) >= 1900, "{} of 2000 in time", simulate(true));
    assert!(simulate(false) < 400, "{} of 2000 in time without a choice", simulate(false));
}

fn host(last: u8, data_centre: &str, millicores: u32, parts_per_s: u32) -> GathererCandidate {
    GathererCandidate {
        address: SocketAddr::from(([10, 0, 0, last], 80)),
        data_centre: data_centre.into(),
        millicores,
        parts_per_s,
        reaches_targets: true,
    }
}

#[test]
fn a_host_that_reaches_no_target_does_not_gather() {
    let mut hosts: Vec<GathererCandidate> = (1..=4).map(|last| host(last, "seeb", 170, 0)).collect();
    let chosen = choose_gatherers(&hosts, "seeb");
    for host in &mut hosts {
        host.reaches_targets = host.address != chosen[0];
    }
    assert!(!choose_gatherers(&hosts, "seeb").contains(&chosen[0]));
    hosts.iter_mut().for_each(|host| host.reaches_targets = false);
    assert!(choose_gatherers(&hosts, "seeb").is_empty());
}

#[test]
fn the_hosts_with_most_processor_time_become_gatherers() {
    let mut hosts: Vec<GathererCandidate> = (1..30).map(|last| host(last, "seeb", 84, 0)).collect();
    hosts.extend([host(100, "seeb", 500, 0), host(101, "seeb", 500, 0), host(102, "barka", 84, 0)]);
    let mut chosen = choose_gatherers(&hosts, "seeb");
    chosen.sort_unstable();
    assert_eq!(chosen, [hosts[29].address, hosts[30].address]);
    assert_eq!(choose_gatherers(&hosts, "barka"), [hosts[31].address]);
    assert!(choose_gatherers(&hosts, "rusayl").is_empty());
}

#[test]
fn the_number_of_gatherers_grows_with_the_parts_asked_for() {
    let fleet = |parts_per_s: u32| -> Vec<GathererCandidate> {
        (1..=60).map(|last| host(last, "seeb", 170, if last <= 4 { parts_per_s } else { 0 })).collect()
    };
    let few = choose_gatherers(&fleet(100), "seeb");
    let many = choose_gatherers(&fleet(2000), "seeb");
    assert!(few.len() < many.len(), "{} {}", few.len(), many.len());
    assert!(few.iter().all(|address| many.contains(address)), "existing gatherers stay");
}

#[test]
fn the_loss_of_a_gatherer_keeps_all_others() {
    let hosts: Vec<GathererCandidate> = (1..=20).map(|last| host(last, "seeb", 170, 0)).collect();
    let before = choose_gatherers(&hosts, "seeb");
    let left: Vec<GathererCandidate> = hosts.into_iter().filter(|host| host.address != before[0]).collect();
    let after = choose_gatherers(&left, "seeb");
    assert!(before[1..].iter().all(|address| after.contains(address)));
}

#[test]
fn few_hosts_read_the_store_and_the_choice_ignores_the_order_of_hosts() {
    for (hosts, expected) in [(1, 2), (20, 2), (116, 4), (550, 8)] {
        assert_eq!(store_reader_count(hosts), expected, "{hosts}");
    }
    let hosts: Vec<SocketAddr> = (1..=20).map(|last| host(last, "seeb", 0, 0).address).collect();
    let chosen = store_readers(hosts.iter().map(|host| (*host, true)));
    assert_eq!(chosen.len(), 2);
    assert_eq!(chosen, store_readers(hosts.iter().rev().map(|host| (*host, true))));
}

#[test]
fn remote_shards_are_grouped_by_the_fewest_data_centres() {
    let holders =
        vec![vec![0], vec![1], vec![1, 2], vec![1, 2], vec![1], vec![0, 2], vec![2], vec![2], vec![2]];
    let groups = group_remote_shards(&holders, Some(0), 0);
    assert_eq!(
        groups,
        [RemoteShardGroup { data_centre: 2, shards: vec![2, 3, 6, 7, 8] }],
        "two shards remain, too few for a message"
    );
}

#[test]
fn the_random_number_breaks_ties_between_data_centres() {
    let holders = vec![vec![1, 2]; 10];
    let first = |random| group_remote_shards(&holders, Some(0), random)[0].data_centre;
    assert_eq!((first(0), first(1)), (1, 2));
}

/// Simulates a store outage of three seconds, during which what all of 116 hosts know grows old.
#[test]
fn hosts_that_are_not_readers_rarely_call_a_store_that_is_down() {
    let hosts: Vec<SocketAddr> = (1..=116).map(|last| format!("10.0.0.{last}:80").parse().unwrap()).collect();
    let mut calls = 0;
    for _ in &hosts {
        let (mut at, mut failures) = (Duration::ZERO, 0);
        while at < Duration::from_secs(3) {
            calls += 1;
            at += store_retry_backoff(failures, hosts.len(), false);
            failures += 1;
        }
    }
    assert!(calls <= 3 * hosts.len(), "{calls} calls of {} hosts", hosts.len());
}

#[test]
fn a_store_that_turns_away_a_third_of_the_hosts_keeps_its_readers() {
    let hosts: Vec<SocketAddr> = (1..=116).map(|last| format!("10.0.0.{last}:80").parse().unwrap()).collect();
    let is_refused = |host: &SocketAddr| host.ip().to_string().len().is_multiple_of(3);
    let mut turned_away: Vec<SocketAddr> = Vec::new();
    for _ in 0..200 {
        let chosen = store_readers(hosts.iter().map(|host| (*host, !turned_away.contains(host))));
        let is_new = |host: &SocketAddr| is_refused(host) && !turned_away.contains(host);
        let new: Vec<SocketAddr> = chosen.into_iter().filter(is_new).collect();
        turned_away.extend(new);
    }
    let chosen = store_readers(hosts.iter().map(|host| (*host, !turned_away.contains(host))));
    assert!(chosen.len() == 4 && !chosen.iter().any(is_refused), "{chosen:?}");
}

/// After an outage in which the store turned all hosts away, it answers one again. If another host were
/// chosen, nobody would read until what the hosts know is old.
#[test]
fn the_one_host_that_the_store_answers_reads_for_all() {
    for count in [5, 14, 116] {
        let hosts: Vec<SocketAddr> =
            (1..=count).map(|last| format!("10.0.0.{last}:80").parse().unwrap()).collect();
        for able in &hosts {
            assert_eq!(store_readers(hosts.iter().map(|host| (*host, host == able))), [*able]);
        }
    }
}

fn backing_off(for_ms: u64) -> ShardEstimate {
    ShardEstimate { backoff_left: ms(for_ms), ..estimate(10, false) }
}

#[test]
fn shards_whose_replicas_are_in_backoff_are_skipped() {
    let estimates = [estimate(20, true), backing_off(900), estimate(20, true)];
    assert_eq!(choose_shards(&estimates, 2, ms(150)), ShardChoice::Ask(vec![0, 2]));
}

#[test]
fn a_query_that_needs_shards_in_backoff_is_refused_until_enough_have_ended_it() {
    let estimates = [estimate(20, true), backing_off(4000), backing_off(2500), backing_off(3000)];
    assert_eq!(choose_shards(&estimates, 3, ms(150)), ShardChoice::Refuse(ms(3000)));
}

/// A request in a free slot delays no other, so a slow shard with one is asked although it is not needed.
#[test]
fn slow_shards_with_a_free_slot_are_asked_although_enough_others_remain() {
    let mut estimates = vec![estimate(40, true); 20];
    estimates[3] = estimate(400, true);
    estimates[7] = estimate(400, false);
    let ShardChoice::Ask(asked) = choose_shards(&estimates, 18, ms(186)) else {
        panic!("the query was refused")
    };
    assert_eq!((asked.len(), asked.contains(&7)), (19, false));
}
