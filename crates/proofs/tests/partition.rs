//! A network partition splits the fleet, and each side must keep serving.
//!
//! Failures guarded against: queries stall on hosts of the other side, a bid runs on both
//! sides, and a side without the platform reverts or never gets the version that it missed.

use std::{sync::Arc, time::Duration};

use egret_proofs::{
    BidOutcomes, Fleet, FleetSpec, Forwarder, LinkMode, Role, VersionHistory, assert_at_most_once,
    assert_valid_answer, verify_not_run,
};
use tokio::{
    task::JoinSet,
    time::{Instant, sleep},
};

/// The promised bound from the publishing of a version until it is in force.
const IN_FORCE_WITHIN: Duration = Duration::from_secs(6);
const PARTITION_LENGTH: Duration = Duration::from_secs(5);
/// The tries of one bid: enough to reach entries of both sides.
const TRIES: usize = 4;
const SIDE: [usize; 2] = [0, 1];
const OTHER_SIDE: [usize; 2] = [2, 3];
const VERSION_METRIC: &str = "egret_config_version";

/// Starts four hosts whose agents reach the platform through the returned forwarder.
async fn start() -> (Arc<Fleet>, Forwarder) {
    let spec = FleetSpec { hosts: 4, has_forwarders: true, budget_ms: 500, ..FleetSpec::default() };
    let mut fleet = Fleet::prepare(spec, |platform| platform).await;
    let platform = Forwarder::bind(fleet.spare_address(0), fleet.platform.address()).await;
    for host in 0..4 {
        fleet.set_platform_address(host, platform.address());
    }
    fleet.start_daemons();
    fleet.wait_ready().await;
    (Arc::new(fleet), platform)
}

/// Sends lookups to one side until `end`; returns the time of the last failure or partial answer
/// and the number of answers.
async fn query_side(fleet: Arc<Fleet>, side: [usize; 2], end: Instant) -> (Duration, usize) {
    let started = Instant::now();
    let (mut last_partial, mut answered) = (Duration::ZERO, 0);
    let mut number = side[0] as u64 * 100_000;
    while Instant::now() < end {
        number += 1;
        let client = fleet.client_of(side[number as usize % 2]);
        match client.query_once(&fleet.lookup(number)).await {
            Ok(answer) => {
                assert_valid_answer(&fleet, number, &answer);
                answered += 1;
                if !answer.missing.is_empty() {
                    last_partial = started.elapsed();
                }
            }
            Err(_) => last_partial = started.elapsed(),
        }
        sleep(Duration::from_millis(10)).await;
    }
    (last_partial, answered)
}

#[tokio::test(flavor = "multi_thread")]
async fn each_side_of_a_partition_serves_and_bids_run_at_most_once() {
    for mode in [LinkMode::Silent, LinkMode::Cut] {
        let (fleet, platform) = start().await;
        let end = Instant::now() + PARTITION_LENGTH;
        let mut sides = JoinSet::new();
        [SIDE, OTHER_SIDE]
            .into_iter()
            .for_each(|side| drop(sides.spawn(query_side(Arc::clone(&fleet), side, end))));
        let mut bidders = JoinSet::new();
        for caller in 0..3 {
            bidders.spawn(BidOutcomes::collect(fleet.client(), caller, TRIES, end + PARTITION_LENGTH / 2));
        }
        platform.set_for(fleet.source_addresses(&OTHER_SIDE), mode);
        fleet.partition(&SIDE, mode);
        let served = sides.join_all().await;
        platform.set(LinkMode::Open);
        fleet.heal();
        let mut all = BidOutcomes::default();
        bidders.join_all().await.into_iter().for_each(|bids| all.add(bids));
        println!(
            "{mode:?}: sides {served:?}; bids: {} answered, {} unknown, {} not run",
            all.answered,
            all.unknown,
            all.not_run.len()
        );
        for (last_partial, answered) in served {
            assert!(answered > 20, "a side answered only {answered} queries");
            assert!(
                last_partial < Duration::from_secs(3),
                "a side failed queries or missed shards until {last_partial:?}"
            );
        }
        assert!(all.answered > 20, "{all:?}");
        assert_at_most_once(&fleet);
        assert_eq!(verify_not_run(&fleet.executions(), &all.not_run), Ok(()));
    }
}

async fn version(fleet: &Fleet, host: usize) -> u64 {
    fleet.metric(host, Role::Entry, VERSION_METRIC).await as u64
}

/// The side without the platform keeps its version and gets the newer one when the partition ends.
#[tokio::test(flavor = "multi_thread")]
async fn a_side_without_the_platform_catches_up_after_the_partition() {
    let (fleet, platform) = start().await;
    platform.set_for(fleet.source_addresses(&OTHER_SIDE), LinkMode::Silent);
    fleet.partition(&SIDE, LinkMode::Silent);
    let mut history = VersionHistory::starting_at(4, 1);
    history.begin_publish(2);
    assert_eq!(fleet.publish(|declared| declared.spec.slots += 1), 2);
    let published = Instant::now();
    while version(&fleet, 0).await != 2 || version(&fleet, 1).await != 2 {
        assert!(
            published.elapsed() < IN_FORCE_WITHIN,
            "the side with the platform does not have version 2 in force in time"
        );
        sleep(Duration::from_millis(50)).await;
    }
    for host in 0..4 {
        history.record_read(host, version(&fleet, host).await);
    }
    assert_eq!(
        (version(&fleet, 2).await, version(&fleet, 3).await),
        (1, 1),
        "the version crossed the partition"
    );
    // The platform goes down as the partition ends, so that the version can only come from peers.
    platform.set(LinkMode::Cut);
    fleet.heal();
    let healed = Instant::now();
    loop {
        let mut versions = Vec::new();
        for host in 0..4 {
            versions.push(version(&fleet, host).await);
        }
        history.record_reads(&versions);
        if versions == [2; 4] {
            break;
        }
        assert!(healed.elapsed() < IN_FORCE_WITHIN, "versions are {versions:?}");
        sleep(Duration::from_millis(50)).await;
    }
    history.end_publish(2);
    assert_eq!(history.verify(), Ok(()));
}
