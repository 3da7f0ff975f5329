//! Generated well records.

use egret_model::{ServiceName, ShardName, SnapshotId, record};
use egret_wire::TargetHit;
use serde::Deserialize;
use serde_json::value::to_raw_value;

const FIELDS: [&str; 8] = ["nizwa", "ibri", "adam", "haima", "fahud", "marmul", "lekhwair", "yibal"];
const CASINGS: [&str; 4] = ["13 3/8 in", "9 5/8 in", "7 in", "4 1/2 in"];
const LIMIT: usize = 10;

record! {
    /// A geothermal well as the stand-ins store it.
    pub struct WellRecord {
        /// The well's name, unique in the index.
        pub well: String,
        /// The field that it was drilled in.
        pub field: String,
        /// The depth in metres.
        pub depth_m: u32,
        /// The casing at that depth.
        pub casing: String,
        /// Temperatures in degrees Celsius, from the surface down.
        pub temperature_log: Vec<f64>,
        /// The snapshot that the record was read from.
        pub snapshot: SnapshotId,
    }
}

/// What the stand-ins understand of a body; other fields are ignored.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct Wanted {
    field: Option<String>,
    min_depth_m: Option<u32>,
    limit: Option<usize>,
}

/// Generates the records of one shard, equal for equal arguments.
#[must_use]
pub fn well_records(
    service: &ServiceName,
    shard: &ShardName,
    snapshot: SnapshotId,
    count: u32,
) -> Vec<WellRecord> {
    let seed = egret_model::Fingerprint::of(service.as_str(), shard.as_str()).0;
    let mut random = fastrand::Rng::with_seed(seed);
    let mut generate = |number: u32| {
        let depth_m = random.u32(300..4200);
        let steps = 1 + depth_m / 500;
        let gradient = 20.0 + random.f64() * 25.0;
        let temperature = |step: u32| ((28.0 + gradient * f64::from(step) * 0.5) * 10.0).round() / 10.0;
        WellRecord {
            well: format!("{service}-{shard}-w{number:04}"),
            field: FIELDS[random.usize(..FIELDS.len())].to_owned(),
            depth_m,
            casing: CASINGS[random.usize(..CASINGS.len())].to_owned(),
            temperature_log: (0..steps).map(temperature).collect(),
            snapshot,
        }
    };
    (0..count).map(&mut generate).collect()
}

/// Searches records with a caller's body; deeper wells score higher.
#[must_use]
pub fn search(records: &[WellRecord], body: &str) -> Vec<TargetHit> {
    let wanted: Wanted = serde_json::from_str(body).unwrap_or_default();
    let fits = |record: &&WellRecord| {
        wanted.field.as_ref().is_none_or(|field| record.field == *field)
            && wanted.min_depth_m.is_none_or(|depth| record.depth_m >= depth)
    };
    let mut found: Vec<&WellRecord> = records.iter().filter(fits).collect();
    found.sort_by(|a, b| b.depth_m.cmp(&a.depth_m).then_with(|| a.well.cmp(&b.well)));
    found.truncate(wanted.limit.unwrap_or(LIMIT));
    let hit = |record: &&WellRecord| TargetHit {
        key: record.well.clone(),
        score: f64::from(record.depth_m),
        record: to_raw_value(record).expect("a record has a JSON form"),
    };
    found.iter().map(hit).collect()
}
