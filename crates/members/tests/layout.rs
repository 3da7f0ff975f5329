//! The order of the fields in messages without field names, which hosts of other releases read.

use egret_members::{COMPACT_LAYOUT, GossipMessage, Member};
use egret_model::{Fingerprint, SuspectMark, Version};
use egret_routes::{
    Backend, CallerHomes, CallerLimits, EvacuationChange, Evacuations, GatherPlan, Homes, RegistryDelta,
    RegistryEntry, Replica, ReplicaRun, Route, RouteTable, Service, StorePosition, WarmUp,
};
use serde_json::{Value, json};

fn position(revision: u64) -> StorePosition {
    StorePosition::new(1, revision)
}

fn table() -> RouteTable {
    let plan = GatherPlan { shards: vec!["s".into()], top_k: 30, least_share: 0.5 };
    let route = Route {
        name: "r".into(),
        host: "h".into(),
        prefix: "/p/".into(),
        idempotent: true,
        timeout_ms: 31,
        latency_objective_ms: 32,
        priority: 33,
        attempts_max: 34,
        backend: Backend::Gather(plan),
        homes: Homes::new(vec!["x".into()]),
    };
    let service = Service {
        name: "s".into(),
        health_path: "/h".into(),
        connections_max: 35,
        warm_up: Some(WarmUp { requests_per_s: 0.25, duration_ms: 36 }),
    };
    let limits =
        CallerLimits { header_bytes: 37, body_bytes: 38, header_timeout_ms: 39, idle_timeout_ms: 40 };
    let caller = CallerHomes { name: "c".into(), homes: Homes::new(vec!["y".into()]) };
    RouteTable::new(Version(41), vec![route], vec![service], limits).with_callers(vec![caller])
}

fn replica() -> Replica {
    Replica {
        id: "i".into(),
        service: "s".into(),
        address: "127.0.0.1:50".parse().unwrap(),
        data_centre: "d".into(),
        slots: 51,
        draining: false,
        warm_up_ms: 52,
        started_at_ms: 53,
        report_number: 54,
    }
}

fn message() -> GossipMessage {
    let mut evacuations = Evacuations::default();
    let order = EvacuationChange { data_centre: "e".into(), position: position(20), is_evacuated: true };
    evacuations.apply_full_read(position(21), &[order]);
    let mark = SuspectMark { fingerprint: Fingerprint(22), breaks: 23, expires_in_ms: 24, suspect_ms: 25 };
    let entry =
        RegistryEntry { id: "i".into(), position: position(26), replica: Some(replica()), gone: false };
    GossipMessage {
        hosts: 10,
        members: vec![Member::new("127.0.0.1:11".parse().unwrap(), "d", 12)],
        version: Version(13),
        synced: position(14),
        changed: position(15),
        store_age_ms: Some(16),
        marks: vec![mark],
        table: Some(table().into()),
        replicas: Some(RegistryDelta {
            synced: position(27),
            is_whole: true,
            has_gap: false,
            entries: vec![entry],
        }),
        leaving: vec![ReplicaRun { id: "i".into(), started_at_ms: 28 }],
        evacuations,
    }
}

#[test]
fn a_change_of_the_layout_of_messages_raises_its_number() {
    let bytes = egret_wire::encode_compact(&message());
    let fields: Value = egret_wire::decode(&bytes).unwrap();
    let layout_3 = json!([
        10,
        [[{"V4": [[127, 0, 0, 1], 11]}, "d", 12, "live", true, 0, 0, 3, true]],
        13,
        [1, 14],
        [1, 15],
        16,
        [["0000000000000016", 23, 24, 25]],
        [
            41,
            [["r", "h", "/p/", true, 31, 32, 33, 34, {"Gather": [["s"], 30, 0.5]}, ["x"]]],
            [["s", "/h", 35, [0.25, 36]]],
            [37, 38, 39, 40],
            [["c", ["y"]]]
        ],
        [
            [1, 27],
            true,
            false,
            [["i", [1, 26], ["i", "s", {"V4": [[127, 0, 0, 1], 50]}, "d", 51, false, 52, 53, 54], false]]
        ],
        [["i", 28]],
        [[1, 21], ["e"]]
    ]);
    assert_eq!((fields, COMPACT_LAYOUT), (layout_3, 3), "another layout needs another number");
}

#[test]
fn a_message_is_read_with_and_without_field_names() {
    for bytes in [egret_wire::encode(&message()), egret_wire::encode_compact(&message())] {
        assert_eq!(egret_wire::decode::<GossipMessage>(&bytes).unwrap(), message());
    }
}
