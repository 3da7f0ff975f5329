//! The validation of declarations, and the versions of the collected configuration.

use egret_conf::{Config, DeclarationFile, Head, RECENT_CHANGES_MAX, collect};
use egret_model::Version;

const VALID: &str = r#"service = "vault-read"
group = "vault-read"
slots = 4
connections = 240
[[class]]
name = "archive-pull"
rank = 3
time_budget_ms = 2000
min_coverage = 0.9
[[replica]]
name = "r0"
address = "127.0.0.1:7000"
host = "t-0"
data_centre = "seeb"
[[placement]]
id = 1
shards = [{ name = "s0", replicas = ["r0"] }]
[[snapshot]]
id = 1
placement = 1
"#;

fn problems(text: &str) -> Vec<String> {
    let problems = collect(Version(1), &[DeclarationFile::new("x.toml", text)]).unwrap_err();
    problems.list().iter().map(ToString::to_string).collect()
}

fn config(version: u64, slots: &str) -> Config {
    let text = VALID.replace("slots = 4", &format!("slots = {slots}"));
    collect(Version(version), &[DeclarationFile::new("x.toml", text)]).unwrap()
}

#[test]
fn each_error_names_file_line_and_remedy() {
    for (from, to, line, words) in [
        ("slots = 4", "slots = 0", 3, "slots is 0"),
        ("slots = 4", "slots = \"four\"", 3, "invalid type"),
        ("slots = 4", "slotz = 4", 3, "unknown field"),
        ("connections = 240", "connections = 4", 4, "connections is not above slots"),
        ("rank = 3", "rank = 0", 5, "rank 0"),
        ("min_coverage = 0.9", "min_coverage = 1.5", 5, "min_coverage 1.5"),
        ("[\"r0\"]", "[\"r9\"]", 17, "replica r9, which is not declared"),
        ("[\"r0\"]", "[]", 17, "has no replica"),
        ("placement = 1", "placement = 7", 18, "placement 7, which is not declared"),
        ("127.0.0.1:7000", "localhost", 12, "invalid socket address"),
        ("\"vault-read\"\ngroup", "\"Vault\"\ngroup", 1, "use 1 to 64"),
    ] {
        let found = problems(&VALID.replacen(from, to, 1));
        assert!(
            found.iter().any(|p| p.starts_with(&format!("x.toml:{line}: ")) && p.contains(words)),
            "{to}: {found:?}"
        );
    }
}

#[test]
fn all_errors_of_all_files_are_reported_at_once() {
    let text = VALID.replace("slots = 4", "slots = 0").replace("rank = 3", "rank = 0");
    let other = DeclarationFile::new("b.toml", VALID.replace("placement = 1", "placement = 2"));
    let problems = collect(Version(1), &[DeclarationFile::new("a.toml", text), other]).unwrap_err();
    assert_eq!(problems.list().len(), 3, "{problems}");
    let twice = [DeclarationFile::new("a.toml", VALID), DeclarationFile::new("b.toml", VALID)];
    let problems = collect(Version(1), &twice).unwrap_err();
    assert!(problems.to_string().contains("is declared in a.toml too"), "{problems}");
}

#[test]
fn a_collected_file_that_does_not_match_its_hash_is_rejected() {
    let config = config(3, "4");
    let text = config.to_collected();
    assert_eq!(Config::from_collected(&text).unwrap().root(), config.root());
    let changed = text.replace("\"slots\": 4", "\"slots\": 9");
    assert!(Config::from_collected(&changed).unwrap_err().to_string().contains("does not match its hash"));
}

#[test]
fn differences_list_added_changed_and_removed_services() {
    let (older, newer) = (config(1, "4"), config(2, "5"));
    let difference = newer.difference(&older);
    assert_eq!((difference.changed.len(), difference.added.len(), difference.removed.len()), (1, 0, 0));
    assert_eq!(Config::default().difference(&newer).removed.len(), 1);
}

#[test]
fn a_follower_advances_by_changes_and_detects_a_gap() {
    let configs: Vec<Config> =
        (1..=50).map(|version| config(version, &(version % 7 + 1).to_string())).collect();
    let mut head = Head { version: Version(1), root: configs[0].root(), recent: Vec::new() };
    for pair in configs.windows(2) {
        head = head.with_change(pair[1].change_from(&pair[0]));
    }
    assert_eq!(head.recent.len(), RECENT_CHANGES_MAX);
    for (older, is_reached) in [(49, true), (18, true), (17, false), (1, false)] {
        let mut manifest = configs[older as usize - 1].manifest();
        assert_eq!(head.advance(&mut manifest), is_reached, "from version {older}");
        let expected = if is_reached { Version(50) } else { Version(older) };
        assert_eq!(manifest.version, expected);
    }
    // The head for a peer that is only a little behind carries only the changes that it lacks.
    let shortened = head.with_changes_since(Version(48));
    assert_eq!(shortened.recent.len(), 2);
    assert_eq!(shortened.with_history(&head), head);
}

#[test]
fn equal_versions_are_ordered_by_hash() {
    let (one, two) = (config(5, "4"), config(5, "5"));
    let head = |config: &Config| Head { version: config.version(), root: config.root(), recent: Vec::new() };
    let (low, high) = if one.root() < two.root() { (one, two) } else { (two, one) };
    assert!(head(&high).supersedes(low.version(), low.root()));
    assert!(!head(&low).supersedes(high.version(), high.root()));
    assert!(!head(&low).supersedes(low.version(), low.root()));
}
