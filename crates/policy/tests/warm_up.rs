//! Replicas that warm up: hosts that cannot count each other's requests keep one common bound.
//!
//! Guards against a cold replica that crashes under requests of many hosts, each of which knows only its
//! own, while their views of the fleet differ.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use egret_policy::{WarmUpLimits, WarmUpWindow, warm_up_owner};

fn hosts(count: u8) -> Vec<SocketAddr> {
    (1..=count).map(|last| format!("10.0.0.{last}:80").parse().unwrap()).collect()
}

#[test]
fn three_owners_at_once_stay_within_the_bound() {
    for (per_s, overage, slack) in [(2.0, 1.5, 5.0), (20.0, 1.5, 5.0), (20.0, 1.0, 0.0), (1.0, 1.0, 0.0)] {
        let quota = WarmUpLimits { overage, slack }.owner_quota(per_s);
        assert!(3.0 * quota as f64 <= per_s * overage + slack, "{per_s} {overage} {slack}: {quota}");
    }
    let limits = WarmUpLimits { overage: 1.5, slack: 5.0 };
    assert_eq!([limits.owner_quota(2.0), limits.owner_quota(20.0)], [2, 11]);
}

/// Each host plays 20 requests a second for ten seconds, in views that lack some of the others.
#[test]
fn hosts_with_different_views_stay_within_the_bound() {
    let limits = WarmUpLimits { overage: 1.5, slack: 5.0 };
    for (per_s, count) in [(2.0, 1), (20.0, 1), (2.0, 145), (20.0, 145)] {
        let all = hosts(count);
        let start = Instant::now();
        let quota = limits.owner_quota(per_s);
        let mut sent: Vec<Duration> = Vec::new();
        for (at, host) in all.iter().enumerate() {
            // A third of the hosts lacks the true owner, another third its successor, too.
            let mut view = all.clone();
            for _ in 0..at % 3 {
                let owner = warm_up_owner("i-1", &view);
                view.retain(|known| Some(*known) != owner || known == host);
            }
            let is_owner = warm_up_owner("i-1", &view) == Some(*host);
            let mut window = WarmUpWindow::default();
            for tick in 0..200 {
                let after = Duration::from_millis(50 * tick + at as u64 % 50);
                if is_owner && window.try_send(start + after, quota) {
                    sent.push(after);
                }
            }
        }
        sent.sort_unstable();
        let in_window = |from: &Duration| {
            sent.iter().filter(|at| **at >= *from && **at < *from + Duration::from_secs(1)).count()
        };
        let most = sent.iter().map(in_window).max().unwrap_or(0);
        assert!(most > 0 && most as f64 <= per_s * 1.5 + 5.0, "{count} hosts, {per_s} a second: {most}");
    }
}

#[test]
fn the_owner_moves_only_when_it_is_lost() {
    let all = hosts(20);
    let owner = warm_up_owner("i-1", &all).unwrap();
    for lost in all.iter().filter(|host| **host != owner) {
        let view: Vec<SocketAddr> = all.iter().copied().filter(|host| host != lost).collect();
        assert_eq!(warm_up_owner("i-1", &view), Some(owner));
    }
    let owners: std::collections::BTreeSet<_> =
        (0..200).filter_map(|id| warm_up_owner(&format!("i-{id}"), &all)).collect();
    assert_eq!(owners.len(), 20, "replicas are spread over the hosts");
    assert_eq!(warm_up_owner("i-1", &[]), None);
}
