//! The choice of the caller connection that is closed when memory or descriptors are short.

use std::{
    net::{IpAddr, Ipv4Addr},
    time::{Duration, Instant},
};

use egret_policy::{
    ConnectionLoad,
    ConnectionPhase::{self, Body, Head, Idle, New, Running, Silent, Writing},
    Shortage::{self, Connections, Memory},
    choose_evicted,
};

/// The default of the setting.
const ADDRESS_PERCENT: usize = 25;

/// Chooses among connections of one address, given as phase, milliseconds without progress, and bytes held.
fn chosen(shortage: Shortage, connections: &[(ConnectionPhase, u64, usize)]) -> Option<usize> {
    let of_one: Vec<_> = connections.iter().map(|&connection| (1, connection)).collect();
    chosen_of(shortage, &of_one)
}

/// Chooses among connections that are each given with the last byte of its address.
fn chosen_of(shortage: Shortage, connections: &[(u8, (ConnectionPhase, u64, usize))]) -> Option<usize> {
    let start = Instant::now();
    let now = start + Duration::from_secs(1000);
    let load = |&(address, (phase, stalled_ms, held_bytes))| ConnectionLoad {
        address: IpAddr::V4(Ipv4Addr::new(127, 0, 0, address)),
        phase,
        progress_at: now - Duration::from_millis(stalled_ms),
        held_bytes,
    };
    choose_evicted(now, shortage, ADDRESS_PERCENT, connections.iter().map(load).enumerate())
}

/// A body that is still arriving must not be refused in place of one that stopped just short of its end.
#[test]
fn a_stalled_body_is_evicted_before_a_larger_one_that_makes_progress() {
    assert_eq!(chosen(Memory, &[(Body, 5, 200_000), (Body, 3000, 100_000)]), Some(1));
}

#[test]
fn among_bodies_with_equal_progress_the_largest_is_evicted() {
    assert_eq!(chosen(Memory, &[(Body, 60, 1000), (Body, 5, 200_000), (Body, 20, 50_000)]), Some(1));
}

/// Small requests must not be closed one after the other for a large one: they free next to nothing.
#[test]
fn large_bodies_are_evicted_before_requests_of_an_ordinary_size() {
    assert_eq!(chosen(Memory, &[(Body, 3000, 200), (Head, 2000, 0), (Body, 5, 200_000)]), Some(2));
}

/// A request that may be running must not be reported as not run.
#[test]
fn a_running_request_is_never_evicted() {
    for shortage in [Memory, Connections] {
        assert_eq!(chosen(shortage, &[(Running, 60_000, 1 << 20)]), None);
        assert_eq!(chosen(shortage, &[(Running, 60_000, 1 << 20), (Body, 1, 10)]), Some(1));
    }
}

#[test]
fn an_answer_that_is_being_read_is_not_evicted() {
    assert_eq!(chosen(Memory, &[(Writing, 100, 1 << 20)]), None);
    assert_eq!(chosen(Memory, &[(Writing, 800, 1 << 20), (Writing, 100, 1 << 23)]), Some(0));
}

/// Closing idle connections frees hardly any memory, so that ordinary callers would lose theirs for nothing.
#[test]
fn idle_connections_are_never_closed_for_memory_and_first_for_connections() {
    let connections = [(Idle, 9000, 24_000), (Idle, 12_000, 24_000), (Head, 10, 24_000)];
    assert_eq!(chosen(Memory, &connections), Some(2));
    assert_eq!(chosen(Memory, &connections[..2]), None);
    assert_eq!(chosen(Connections, &connections), Some(1));
}

/// New idle connections of one address must not displace the older ones of all others.
#[test]
fn the_address_with_most_connections_gives_way_first_among_idle_ones() {
    let mut connections = vec![(2, (Idle, 60_000, 0)), (3, (Idle, 50_000, 0))];
    connections.extend([(1, (Idle, 10, 0)), (1, (Idle, 30, 0)), (1, (Idle, 20, 0))]);
    assert_eq!(chosen_of(Connections, &connections), Some(3));
}

/// Unfinished heads of one address must not displace the idle connections of others, unless they just arrive.
#[test]
fn stalled_requests_of_the_address_with_most_connections_count_as_idle() {
    let of_one = |stalled_ms| vec![(1, (Head, stalled_ms, 0)); 5];
    let with_idle = |mut connections: Vec<_>| {
        connections.push((2, (Idle, 60_000, 0)));
        chosen_of(Connections, &connections)
    };
    assert_eq!(with_idle(of_one(100)), Some(5));
    assert!(with_idle(of_one(800)).is_some_and(|at| at < 5));
}

/// A balancer's address may hold nearly everything; what its callers still send is not given up for a body that stopped.
#[test]
fn a_body_that_makes_progress_is_kept_whatever_its_address_holds() {
    let mut connections = vec![(1, (Body, 5, 200_000)); 9];
    connections.push((2, (Body, 3000, 100_000)));
    assert_eq!(chosen_of(Memory, &connections), Some(9));
}

#[test]
fn the_address_with_most_large_bodies_gives_way_first_among_equals() {
    let connections =
        [(2, (Body, 5, 250_000)), (1, (Body, 5, 200_000)), (1, (Body, 5, 180_000)), (3, (Body, 5, 100_000))];
    assert_eq!(chosen_of(Memory, &connections), Some(1));
}

/// Where one balancer stands for all callers, its address must change nothing.
#[test]
fn one_address_that_holds_everything_changes_no_order() {
    assert_eq!(chosen(Connections, &[(Head, 9000, 0), (Head, 9000, 0), (Idle, 10, 0)]), Some(2));
}

/// Up to its share of a quarter, an address has no effect.
#[test]
fn an_address_within_its_share_does_not_give_way_first() {
    let connections: Vec<_> = (0..4_u8).map(|at| (at, (Idle, u64::from(at) * 10, 0))).collect();
    assert_eq!(chosen_of(Connections, &connections), Some(3));
}

/// A crowd that opens its connections again must not displace new ones before they are read, nor heads that just arrive.
#[test]
fn a_connection_that_was_just_accepted_is_evicted_last() {
    let busy = [(New, 40, 0), (Body, 1, 30_000), (Head, 200, 0)];
    assert_eq!(chosen(Connections, &busy), Some(1));
    assert_eq!(chosen(Connections, &[(Head, 90, 0), (New, 5, 0), (New, 95, 0)]), Some(2));
}

#[test]
fn a_connection_that_stays_silent_counts_as_idle() {
    assert_eq!(chosen(Connections, &[(Silent, 100, 0), (Body, 5, 200)]), Some(1));
    assert_eq!(chosen(Connections, &[(Silent, 800, 0), (Body, 5, 200)]), Some(0));
}

/// A crowd behind an address that most callers share must not displace the new connections of all of them.
#[test]
fn the_requests_of_the_address_with_most_connections_give_way_before_its_new_connections() {
    let connections =
        [(1, (New, 40, 0)), (1, (Body, 5, 9000)), (1, (Body, 10, 9000)), (2, (Idle, 60_000, 0))];
    assert_eq!(chosen_of(Connections, &connections), Some(2));
}
