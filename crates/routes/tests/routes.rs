//! The choice of a route, the minimum number of shards and the merge of parts.

use bytes::Bytes;
use egret_model::Version;
use egret_routes::{Backend, CallerLimits, GatherPlan, Homes, Route, RouteTable, merge_top_records};

fn table(routes: &[(&str, &str)]) -> RouteTable {
    let route = |&(host, prefix): &(&str, &str)| Route {
        name: format!("{host}{prefix}").into(),
        host: host.into(),
        prefix: prefix.into(),
        idempotent: true,
        timeout_ms: 1000,
        latency_objective_ms: 100,
        priority: 1,
        attempts_max: 2,
        backend: Backend::One("vault".into()),
        homes: Homes::default(),
    };
    RouteTable::new(Version(1), routes.iter().map(route).collect(), Vec::new(), CallerLimits::default())
}

#[test]
fn the_longest_prefix_of_the_host_wins() {
    let table = table(&[("a", "/x/"), ("a", "/x/y/"), ("b", "/"), ("a", "/x/yy/")]);
    let cases = [
        ("a", "/x/y/z", Some("a/x/y/")),
        ("a", "/x/yz", Some("a/x/")),
        ("a", "/x/y", Some("a/x/")),
        ("a", "/x", None),
        ("a", "/y/", None),
        ("b", "/x/y/z", Some("b/")),
        ("c", "/x/", None),
        ("a", "/q?p=/x/", None),
        ("a", "/x/?p=/y/", Some("a/x/")),
        ("a", "//x/", None),
        ("a", "*", None),
    ];
    for (host, path, expected) in cases {
        assert_eq!(table.find(host, path).map(|route| &*route.name), expected, "{host} {path}");
    }
}

#[test]
fn the_minimum_number_of_shards_is_the_share_rounded_up() {
    for (count, least_share, expected) in
        [(20, 0.89, 18), (20, 0.9, 18), (20, 0.75, 15), (30, 0.89, 27), (1, 0.0, 1)]
    {
        let shards = (0..count).map(|shard| format!("s{shard}").into()).collect();
        let plan = GatherPlan { shards, top_k: 5, least_share };
        assert_eq!(plan.least_shards(), expected, "{count} {least_share}");
    }
}

fn part(records: &[u8], incomplete_bytes: usize) -> Bytes {
    let mut bytes: Vec<u8> =
        records.iter().flat_map(|&first| std::iter::once(first).chain([0; 15])).collect();
    bytes.extend(vec![255; incomplete_bytes]);
    bytes.into()
}

#[test]
fn the_greatest_records_are_kept_including_duplicates() {
    let parts = [part(&[3, 9, 1], 15), part(&[9, 200], 0), part(&[], 7)];
    let first_bytes =
        |top| merge_top_records(&parts, top).chunks(16).map(|record| record[0]).collect::<Vec<_>>();
    assert_eq!(first_bytes(3), [200, 9, 9]);
    assert_eq!(first_bytes(9), [200, 9, 9, 3, 1]);
    assert!(first_bytes(0).is_empty());
}
