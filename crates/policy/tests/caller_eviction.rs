//! The choice of the caller connection that is closed when memory or descriptors are short.

use std::time::{Duration, Instant};

use egret_policy::{
    ConnectionLoad,
    ConnectionPhase::{self, Body, Head, Idle, Running, Writing},
    Shortage::{self, Connections, Memory},
    choose_evicted,
};

/// Chooses among connections given as phase, milliseconds without progress, and bytes held.
fn chosen(shortage: Shortage, connections: &[(ConnectionPhase, u64, usize)]) -> Option<usize> {
    let start = Instant::now();
    let now = start + Duration::from_secs(1000);
    let load = |&(phase, stalled_ms, held_bytes)| ConnectionLoad {
        phase,
        progress_at: now - Duration::from_millis(stalled_ms),
        held_bytes,
    };
    choose_evicted(now, shortage, connections.iter().map(load).enumerate())
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
