//! Gathers: second copies, early answers, shards that are left out, and who gathers.

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

fn limits(start: Instant, least: usize) -> GatherLimits {
    GatherLimits {
        min_shards: least,
        goal_at: start + ms(200),
        deadline: start + ms(1000),
        hedge_delay: Some(ms(60)),
        attempts_max: 2,
    }
}

fn begun(start: Instant, shards: usize, least: usize) -> GatherProgress {
    let mut progress = GatherProgress::new(shards, limits(start, least));
    for shard in 0..shards {
        progress.record_sent(start, shard);
    }
    progress
}

#[test]
fn an_answer_waits_for_all_parts_until_the_goal() {
    let start = Instant::now();
    let mut progress = begun(start, 4, 3);
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
fn below_the_least_share_it_waits_until_the_end() {
    let start = Instant::now();
    let mut progress = begun(start, 4, 3);
    for shard in 0..4 {
        progress.forbid_hedge(shard);
    }
    progress.record_part(0);
    assert_eq!(progress.next_step(start + ms(300)), GatherStep::Wait(start + ms(1000)));
    progress.record_part(1);
    progress.record_part(2);
    assert_eq!(progress.next_step(start + ms(300)), GatherStep::Answer, "late, so at once");
    assert_eq!(begun(start, 4, 3).next_step(start + ms(1000)), GatherStep::Fail);
}

#[test]
fn it_gives_up_as_soon_as_enough_cannot_come() {
    let start = Instant::now();
    let mut progress = begun(start, 4, 3);
    for shard in 0..2 {
        assert!(progress.record_failure(shard), "another replica may be tried");
        progress.abandon_shard(shard);
    }
    assert_eq!(progress.next_step(start + ms(5)), GatherStep::Fail);
}

#[test]
fn a_second_copy_goes_out_once_it_is_due_and_only_as_often_as_allowed() {
    let start = Instant::now();
    let mut progress = begun(start, 2, 2);
    progress.record_part(0);
    assert_eq!(progress.next_step(start + ms(10)), GatherStep::Wait(start + ms(60)));
    assert_eq!(progress.next_step(start + ms(60)), GatherStep::Hedge(1));
    progress.record_sent(start + ms(60), 1);
    assert_eq!(progress.next_step(start + ms(130)), GatherStep::Wait(start + ms(1000)));
}

fn outlook(expected_ms: u64, has_free_slot: bool) -> ShardEstimate {
    ShardEstimate { expected_latency: Some(ms(expected_ms)), has_free_slot, backoff_left: Duration::ZERO }
}

#[test]
fn overloaded_shards_are_left_out_where_enough_remain() {
    let mut outlooks = vec![outlook(40, true); 20];
    outlooks[3] = outlook(400, false);
    outlooks[7] = outlook(300, false);
    let ShardChoice::Ask(asked) = choose_shards(&outlooks, 18, ms(186)) else { panic!("it is asked") };
    assert_eq!(asked.len(), 18);
    assert!(!asked.contains(&3) && !asked.contains(&7));
}

#[test]
fn slow_shards_that_are_needed_are_asked_while_they_have_room() {
    let mut outlooks = vec![outlook(40, true); 20];
    for slow in outlooks.iter_mut().take(4) {
        *slow = outlook(250, true);
    }
    assert!(matches!(choose_shards(&outlooks, 18, ms(186)), ShardChoice::Ask(asked) if asked.len() >= 18));
    for slow in outlooks.iter_mut().take(4) {
        *slow = outlook(700, false);
    }
    assert_eq!(choose_shards(&outlooks, 18, ms(186)), ShardChoice::Refuse(ms(700)));
}

#[test]
fn a_shard_without_replicas_is_never_asked() {
    let mut outlooks = vec![outlook(40, true); 3];
    outlooks[1].expected_latency = None;
    assert_eq!(choose_shards(&outlooks, 2, ms(100)), ShardChoice::Ask(vec![0, 2]));
    assert!(matches!(choose_shards(&outlooks, 3, ms(100)), ShardChoice::Refuse(_)));
}

/// Plays a day on which six of twenty shards serve four fifths of what they are asked for.
///
/// What callers get: with the choice all are answered in time over eighteen shards or more;
/// without it every query waits for a queue that only grows.
#[test]
fn a_day_with_six_slow_shards_is_served_in_time() {
    const SERVICE_MS: f64 = 28.0;
    const SLOTS: f64 = 2.25;
    const QUERIES_PER_S: f64 = 99.0;
    let play = |chooses: bool| {
        let mut waiting_ms = [0.0_f64; 20];
        let step_ms = 1000.0 / QUERIES_PER_S;
        let mut in_time = 0;
        for _ in 0..2000 {
            let capacity = |shard: usize| if shard < 6 { SLOTS } else { 4.0 };
            let outlooks: Vec<ShardEstimate> = (0..20)
                .map(|shard| outlook((SERVICE_MS + waiting_ms[shard]) as u64, waiting_ms[shard] < 1.0))
                .collect();
            let asked = match choose_shards(&outlooks, 18, ms(186)) {
                ShardChoice::Ask(asked) if chooses => asked,
                ShardChoice::Refuse(_) if chooses => Vec::new(),
                _ => (0..20).collect(),
            };
            let parts = asked.iter().filter(|&&shard| waiting_ms[shard] + SERVICE_MS <= 186.0).count();
            in_time += usize::from(parts >= 18);
            for &shard in &asked {
                waiting_ms[shard] += SERVICE_MS / capacity(shard);
            }
            for waiting in &mut waiting_ms {
                *waiting = (*waiting - step_ms).max(0.0);
            }
        }
        in_time
    };
    assert!(play(true) >= 1900, "{} of 2000 in time", play(true));
    assert!(play(false) < 400, "{} of 2000 in time without a choice", play(false));
}

fn host(last: u8, data_centre: &str, millicores: u32, parts_per_s: u32) -> GathererCandidate {
    GathererCandidate {
        address: SocketAddr::from(([10, 0, 0, last], 80)),
        data_centre: data_centre.into(),
        millicores,
        parts_per_s,
    }
}

#[test]
fn the_greatest_hosts_of_a_data_centre_gather() {
    let mut hosts: Vec<GathererCandidate> = (1..30).map(|last| host(last, "seeb", 84, 0)).collect();
    hosts.extend([host(100, "seeb", 500, 0), host(101, "seeb", 500, 0), host(102, "barka", 84, 0)]);
    let mut chosen = choose_gatherers(&hosts, "seeb");
    chosen.sort_unstable();
    assert_eq!(chosen, [hosts[29].address, hosts[30].address]);
    assert_eq!(choose_gatherers(&hosts, "barka"), [hosts[31].address]);
    assert!(choose_gatherers(&hosts, "rusayl").is_empty());
}

#[test]
fn more_hosts_gather_where_more_parts_are_asked_for() {
    let fleet = |parts_per_s: u32| -> Vec<GathererCandidate> {
        (1..=60).map(|last| host(last, "seeb", 170, if last <= 4 { parts_per_s } else { 0 })).collect()
    };
    let few = choose_gatherers(&fleet(100), "seeb");
    let many = choose_gatherers(&fleet(2000), "seeb");
    assert!(few.len() < many.len(), "{} {}", few.len(), many.len());
    assert!(few.iter().all(|address| many.contains(address)), "those that gather go on");
}

#[test]
fn the_loss_of_a_host_moves_no_other() {
    let hosts: Vec<GathererCandidate> = (1..=20).map(|last| host(last, "seeb", 170, 0)).collect();
    let before = choose_gatherers(&hosts, "seeb");
    let left: Vec<GathererCandidate> = hosts.into_iter().filter(|host| host.address != before[0]).collect();
    let after = choose_gatherers(&left, "seeb");
    assert!(before[1..].iter().all(|address| after.contains(address)));
}

#[test]
fn few_hosts_read_the_store_and_hosts_that_agree_choose_the_same() {
    for (hosts, expected) in [(1, 2), (20, 2), (116, 4), (550, 8)] {
        assert_eq!(store_reader_count(hosts), expected, "{hosts}");
    }
    let hosts: Vec<SocketAddr> = (1..=20).map(|last| host(last, "seeb", 0, 0).address).collect();
    let chosen = store_readers(hosts.iter().map(|host| (*host, true)));
    assert_eq!(chosen.len(), 2);
    assert_eq!(chosen, store_readers(hosts.iter().rev().map(|host| (*host, true))));
}

#[test]
fn far_shards_are_grouped_by_as_few_data_centres_as_hold_them() {
    let holders =
        vec![vec![0], vec![1], vec![1, 2], vec![1, 2], vec![1], vec![0, 2], vec![2], vec![2], vec![2]];
    let groups = group_remote_shards(&holders, Some(0), 0);
    assert_eq!(
        groups,
        [RemoteShardGroup { data_centre: 2, shards: vec![2, 3, 6, 7, 8] }],
        "two are left, too few for a message of their own"
    );
}

#[test]
fn equals_take_turns() {
    let holders = vec![vec![1, 2]; 10];
    let first = |random| group_remote_shards(&holders, Some(0), random)[0].data_centre;
    assert_eq!((first(0), first(1)), (1, 2));
}

/// Plays an outage of the store of three seconds over 116 hosts, whose news all grow old.
#[test]
fn hosts_that_are_no_readers_call_a_store_that_is_down_seldom() {
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
fn a_store_that_is_closed_to_a_third_of_the_hosts_keeps_readers() {
    let hosts: Vec<SocketAddr> = (1..=116).map(|last| format!("10.0.0.{last}:80").parse().unwrap()).collect();
    let is_closed = |host: &SocketAddr| host.ip().to_string().len().is_multiple_of(3);
    let mut turned_away: Vec<SocketAddr> = Vec::new();
    for _ in 0..200 {
        let chosen = store_readers(hosts.iter().map(|host| (*host, !turned_away.contains(host))));
        let is_new = |host: &SocketAddr| is_closed(host) && !turned_away.contains(host);
        let new: Vec<SocketAddr> = chosen.into_iter().filter(is_new).collect();
        turned_away.extend(new);
    }
    let chosen = store_readers(hosts.iter().map(|host| (*host, !turned_away.contains(host))));
    assert!(chosen.len() == 4 && !chosen.iter().any(is_closed), "{chosen:?}");
}

/// After an outage in which all hosts were turned away, one reads again: no other may be taken
/// for the reader, or nobody reads until the news are old.
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

fn closed(for_ms: u64) -> ShardEstimate {
    ShardEstimate { backoff_left: ms(for_ms), ..outlook(10, false) }
}

#[test]
fn shards_whose_replicas_want_nothing_are_left_out() {
    let outlooks = [outlook(20, true), closed(900), outlook(20, true)];
    assert_eq!(choose_shards(&outlooks, 2, ms(150)), ShardChoice::Ask(vec![0, 2]));
}

#[test]
fn a_query_that_needs_closed_shards_comes_back_when_enough_are_open() {
    let outlooks = [outlook(20, true), closed(4000), closed(2500), closed(3000)];
    assert_eq!(choose_shards(&outlooks, 3, ms(150)), ShardChoice::Refuse(ms(3000)));
}

/// A free slot delays nobody, so a slow shard's part may come as well.
#[test]
fn slow_shards_with_room_are_asked_although_enough_others_remain() {
    let mut outlooks = vec![outlook(40, true); 20];
    outlooks[3] = outlook(400, true);
    outlooks[7] = outlook(400, false);
    let ShardChoice::Ask(asked) = choose_shards(&outlooks, 18, ms(186)) else { panic!("it is asked") };
    assert_eq!((asked.len(), asked.contains(&7)), (19, false));
}
