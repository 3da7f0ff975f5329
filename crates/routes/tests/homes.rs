//! The homes of requests: which regions they allow, and how those of routes and callers combine.
//!
//! Guards against a request that leaves its homes because a list is empty, a region unknown, or only one of the
//! two restrictions is applied.

use std::sync::Arc;

use egret_model::Version;
use egret_routes::{Backend, CallerHomes, CallerLimits, GatherPlan, Homes, RegionMap, Route, RouteTable};
use quickcheck::quickcheck;

fn names(names: &[&str]) -> Vec<Arc<str>> {
    names.iter().map(|&name| name.into()).collect()
}

fn homes(regions: &[&str]) -> Homes {
    Homes::new(names(regions))
}

fn route(homes: Homes) -> Route {
    Route {
        name: "r".into(),
        host: "h".into(),
        prefix: "/".into(),
        idempotent: true,
        timeout_ms: 1000,
        latency_objective_ms: 100,
        priority: 1,
        attempts_max: 2,
        backend: Backend::One("vault".into()),
        homes,
    }
}

#[test]
fn an_empty_list_restricts_nothing_and_an_unknown_region_is_outside_of_every_home() {
    let open = homes(&[]);
    assert!(open.is_unrestricted() && !open.is_nowhere());
    assert!(open.allows(Some("north")) && open.allows(None));
    let north = homes(&["north", "north"]);
    assert!(north.allows(Some("north")));
    assert!(!north.allows(Some("nort")) && !north.allows(Some("south")) && !north.allows(None));
}

#[test]
fn an_empty_intersection_allows_no_region() {
    let nowhere = homes(&["north"]).intersection(&homes(&["south"]));
    assert!(nowhere.is_nowhere() && !nowhere.is_unrestricted());
    assert!(!nowhere.allows(Some("north")) && !nowhere.allows(Some("south")) && !nowhere.allows(None));
    assert!(nowhere.intersection(&homes(&[])).is_nowhere(), "no restriction must not lift another one");
}

quickcheck! {
    fn an_intersection_allows_what_both_allow(a: Vec<u8>, b: Vec<u8>, region: u8) -> bool {
        let homes = |regions: &[u8]| {
            Homes::new(regions.iter().map(|region| (region % 4).to_string().into()).collect())
        };
        let (a, b) = (homes(&a), homes(&b));
        let region = (region % 4).to_string();
        let both = a.intersection(&b);
        both == b.intersection(&a)
            && both.allows(Some(&region)) == (a.allows(Some(&region)) && b.allows(Some(&region)))
            && both.allows(None) == (a.allows(None) && b.allows(None))
    }
}

#[test]
fn a_data_centre_with_two_regions_counts_as_unknown() {
    let pairs = [("a", "north"), ("b", "south"), ("a", "north"), ("c", "north"), ("c", "south")];
    let map = RegionMap::new(pairs.map(|(name, region)| (name.into(), region.into())));
    assert_eq!((map.region_of("a"), map.region_of("b")), (Some("north"), Some("south")));
    assert_eq!((map.region_of("c"), map.region_of("d")), (None, None));
}

#[test]
fn the_homes_of_a_request_are_those_of_its_route_and_of_all_callers_that_it_names() {
    let table = |route_homes: Homes| {
        let caller = |name: &str, homes| CallerHomes { name: name.into(), homes };
        let callers = vec![caller("z", homes(&["south"])), caller("a", homes(&["north", "south"]))];
        RouteTable::new(Version(1), vec![route(route_homes)], Vec::new(), CallerLimits::default())
            .with_callers(callers)
    };
    let of = |table: &RouteTable, callers: &[&str]| {
        table.homes(table.find("h", "/").unwrap(), callers.iter().copied())
    };
    let open = table(homes(&[]));
    assert!(open.has_homes());
    assert!(of(&open, &[]).is_unrestricted() && of(&open, &["unknown"]).is_unrestricted());
    assert_eq!(of(&open, &["a"]), homes(&["north", "south"]));
    assert_eq!(of(&open, &["a", "z"]), homes(&["south"]));
    let north = table(homes(&["north"]));
    assert_eq!(of(&north, &["a"]), homes(&["north"]));
    assert!(of(&north, &["z"]).is_nowhere());
    let without = RouteTable::new(Version(1), vec![route(homes(&[]))], Vec::new(), CallerLimits::default());
    assert!(!without.has_homes());
}

/// A gatherer whose configuration gives a request other homes must not serve it.
#[test]
fn the_fingerprint_of_a_plan_differs_between_homes_and_not_without() {
    let plan = GatherPlan { shards: names(&["s"]), top_k: 3, least_share: 0.5 };
    assert_eq!(plan.fingerprint_within(&Homes::default()), plan.fingerprint());
    let mut all = vec![
        plan.fingerprint(),
        plan.fingerprint_within(&homes(&["north"])),
        plan.fingerprint_within(&homes(&["north", "south"])),
        plan.fingerprint_within(&homes(&["north"]).intersection(&homes(&["south"]))),
    ];
    all.sort_unstable();
    all.dedup();
    assert_eq!(all.len(), 4);
}
