//! Settings and command lines of all binaries.
//!
//! An invalid setting must be refused at the start with its name, its value and what to
//! give instead, rather than show as a failure later.

use std::process::{Command, Output};

use egret_proofs::binary_path;

const DAEMONS: [&str; 3] = ["egret-agent", "egret-relay", "egret-entry"];

fn run(name: &str, args: &[&str], env: &[(&str, &str)]) -> Output {
    Command::new(binary_path(name)).args(args).envs(env.iter().copied()).output().unwrap()
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

#[test]
fn an_invalid_setting_is_refused_with_name_value_and_remedy() {
    for (name, flag, value, expected) in [
        ("egret-agent", "--listen", "nowhere", "--listen (EGRET_LISTEN) is \"nowhere\""),
        ("egret-agent", "--peers", "127.0.0.1:1,x", "has \"x\""),
        ("egret-relay", "--threads", "0", "is 0, which is out of range: give 1 to 64"),
        ("egret-entry", "--log-format", "xml", "expected text or json"),
        ("egret-entry", "--host", "No Name", "use 1 to 64"),
        ("egret-load", "--rate", "fast", "--rate (EGRET_RATE) is \"fast\""),
        ("egret-target", "--behaviour", "{\"speed\":1}", "unknown field"),
        ("egret-timeline", "--query", "zz", "EGRET_QUERY"),
    ] {
        let output = run(name, &[flag, value], &[]);
        assert_eq!(output.status.code(), Some(2), "{name} {flag} {value}");
        let error = text(&output.stderr);
        assert!(error.contains(expected), "{name}: {error}");
    }
    // One start reports every invalid setting.
    let error = text(&run("egret-entry", &["--listen", "x", "--threads", "y"], &[]).stderr);
    assert_eq!(error.lines().count(), 2, "{error}");
}

#[test]
fn flags_override_variables_and_variables_override_defaults() {
    for name in DAEMONS {
        let check = |args: &[&str], env: &[(&str, &str)]| {
            let output = run(name, &[args, &["--check"]].concat(), env);
            assert_eq!(output.status.code(), Some(0), "{name}: {}", text(&output.stderr));
            text(&output.stdout)
        };
        let variable = [("EGRET_GRACE_MS", "777")];
        assert!(check(&[], &[]).contains("grace-ms = 5000"));
        assert!(check(&[], &variable).contains("grace-ms = 777"));
        assert!(check(&["--grace-ms", "888"], &variable).contains("grace-ms = 888"));
    }
}

#[test]
fn help_names_every_setting() {
    for name in ["egret-agent", "egret-relay", "egret-entry", "egret-load", "egret-timeline", "egret-target"]
    {
        let output = run(name, &["--help"], &[]);
        assert_eq!(output.status.code(), Some(0));
        assert!(text(&output.stdout).contains("--check"), "{name}");
    }
}

#[test]
fn publish_refuses_invalid_declarations_and_versions_that_are_not_higher() {
    let directory = std::env::temp_dir().join(format!("egret-publish-{}", std::process::id()));
    let declarations = directory.join("declarations");
    std::fs::create_dir_all(&declarations).unwrap();
    let out = directory.join("out").display().to_string();
    let from = declarations.display().to_string();
    let error = text(&run("egret-publish", &["check", &from], &[]).stderr);
    assert!(error.contains("holds no declaration"), "{error}");
    let good = egret_proofs::example_declaration();
    std::fs::write(declarations.join("egret.toml"), good.replace("slots = 2", "slots = 0")).unwrap();
    let output = run("egret-publish", &["check", &from], &[]);
    assert_eq!(output.status.code(), Some(1));
    assert!(text(&output.stderr).contains("egret.toml:3: slots is 0"), "{}", text(&output.stderr));
    std::fs::write(declarations.join("egret.toml"), &good).unwrap();
    let collect =
        |version: &str| run("egret-publish", &["collect", &from, "--out", &out, "--version", version], &[]);
    assert_eq!(collect("2").status.code(), Some(0));
    let output = collect("2");
    assert_eq!(output.status.code(), Some(1));
    assert!(text(&output.stderr).contains("version 2 is not higher than 2: give 3 or more"));
    std::fs::write(declarations.join("egret.toml"), good.replace("slots = 2", "slots = 3")).unwrap();
    let output = collect("3");
    assert!(text(&output.stdout).contains("changed desk-00"), "{}", text(&output.stdout));
    std::fs::remove_dir_all(&directory).unwrap();
}
