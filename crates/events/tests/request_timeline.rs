//! The timeline of a request from the logs of hosts whose clocks differ.

use egret_events::{LogLine, request_timeline};

fn line(second: u32, number: u16, request: &str, age: &str, detail: &str) -> String {
    format!(
        r#"{{"timestamp":"2026-08-11T20:07:{second:02}.000318Z","level":"WARN","message":"a thing happened","number":{number},"request":"{request}",{age}"detail":"{detail}"}}"#
    )
}

#[test]
fn lines_are_ordered_by_the_age_of_the_request() {
    // The gatherer's clock is 30 seconds behind; the suspicion has no age.
    let entry = line(41, 502, "a1", r#""age_ms":812.5,"#, "without 3 of 20 shards");
    let other = line(41, 502, "b2", r#""age_ms":1.0,"#, "another request");
    let gatherer = line(11, 503, "a1", r#""age_ms":800.25,"#, "without 1 of 10 shards");
    let suspicion = line(10, 420, "a1", "", "target i-1 is down after it");
    let lines = [("entry", entry), ("entry", other), ("far", suspicion), ("far", gatherer)];
    let lines = lines.iter().filter_map(|(host, line)| LogLine::parse(host, line));
    let timeline: Vec<String> = request_timeline("a1", lines).iter().map(ToString::to_string).collect();
    assert_eq!(
        timeline,
        [
            "    800.2 ms  far  E503 a thing happened: without 1 of 10 shards",
            "    812.5 ms  entry  E502 a thing happened: without 3 of 20 shards",
            "           -  far  E420 a thing happened: target i-1 is down after it",
        ]
    );
}

#[test]
fn a_collectors_prefix_names_the_host_and_other_lines_are_skipped() {
    let text = format!(" 3.5 front-seeb-1 {}", line(1, 501, "a1", "", "x"));
    assert_eq!(LogLine::parse("file", &text).unwrap().host, "front-seeb-1");
    assert_eq!(LogLine::parse("file", "a panic, say {"), None);
    assert_eq!(LogLine::parse("file", ""), None);
}
