//! A network partition splits the fleet while each side keeps serving.

use std::{sync::Arc, time::Duration};

use egret_proofs::{
    BidOutcomes, Fleet, FleetSpec, Forwarder, LinkMode, Role, VersionHistory, assert_at_most_once,
    assert_valid_answer, verify_not_run,
};
use tokio::{
    task::JoinSet,
    time::{Instant, sleep},
};

/// The bound for a published configuration.
const IN_FORCE_WITHIN: Duration = Duration::from_secs(6);
const CUT_LASTS: Duration = Duration::from_secs(5);
/// Often enough to reach entries of both sides.
const TRIES: usize = 4;
const SIDE: [usize; 2] = [0, 1];
const OTHER_SIDE: [usize; 2] = [2, 3];
const VERSION: &str = "egret_config_version";

/// Starts four hosts, all of which reach the platform through the returned forwarder.
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

/// Asks one side until the end and returns its last answer that missed a shard, and all answers.
async fn ask_side(fleet: Arc<Fleet>, side: [usize; 2], end: Instant) -> (Duration, usize) {
    let started = Instant::now();
    let (mut last_short, mut answered) = (Duration::ZERO, 0);
    let mut number = side[0] as u64 * 100_000;
    while Instant::now() < end {
        number += 1;
        let client = fleet.client_of(side[number as usize % 2]);
        match client.query_once(&fleet.lookup(number)).await {
            Ok(answer) => {
                assert_valid_answer(&fleet, number, &answer);
                answered += 1;
                if !answer.missing.is_empty() {
                    last_short = started.elapsed();
                }
            }
            Err(_) => last_short = started.elapsed(),
        }
        sleep(Duration::from_millis(10)).await;
    }
    (last_short, answered)
}

#[tokio::test(flavor = "multi_thread")]
async fn each_side_serves_and_bids_run_at_most_once() {
    for mode in [LinkMode::Silent, LinkMode::Cut] {
        let (fleet, platform) = start().await;
        let end = Instant::now() + CUT_LASTS;
        let mut sides = JoinSet::new();
        [SIDE, OTHER_SIDE]
            .into_iter()
            .for_each(|side| drop(sides.spawn(ask_side(Arc::clone(&fleet), side, end))));
        let mut bidders = JoinSet::new();
        for caller in 0..3 {
            bidders.spawn(BidOutcomes::collect(fleet.client(), caller, TRIES, end + CUT_LASTS / 2));
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
        for (last_short, answered) in served {
            assert!(answered > 20, "a side answered only {answered}");
            assert!(last_short < Duration::from_secs(3), "a side was short until {last_short:?}");
        }
        assert!(all.answered > 20, "{all:?}");
        assert_at_most_once(&fleet);
        assert_eq!(verify_not_run(&fleet.executions(), &all.not_run), Ok(()));
    }
}

async fn version(fleet: &Fleet, host: usize) -> u64 {
    fleet.metric(host, Role::Entry, VERSION).await as u64
}

/// A side without the platform keeps its version, and takes the newer one once the network heals.
#[tokio::test(flavor = "multi_thread")]
async fn a_side_without_the_platform_catches_up_when_the_network_heals() {
    let (fleet, platform) = start().await;
    platform.set_for(fleet.source_addresses(&OTHER_SIDE), LinkMode::Silent);
    fleet.partition(&SIDE, LinkMode::Silent);
    let mut history = VersionHistory::starting_at(4, 1);
    history.begin_publish(2);
    assert_eq!(fleet.publish(|declared| declared.spec.slots += 1), 2);
    let published = Instant::now();
    while version(&fleet, 0).await != 2 || version(&fleet, 1).await != 2 {
        assert!(published.elapsed() < IN_FORCE_WITHIN, "the side with the platform is late");
        sleep(Duration::from_millis(50)).await;
    }
    for host in 0..4 {
        history.record_read(host, version(&fleet, host).await);
    }
    assert_eq!((version(&fleet, 2).await, version(&fleet, 3).await), (1, 1), "the cut leaks");
    // The platform goes down as the network heals, so that only peers can tell.
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
