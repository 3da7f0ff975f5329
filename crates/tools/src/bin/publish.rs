//! Checks declarations and writes the configuration: `egret-publish`.

use std::{path::PathBuf, process::ExitCode};

use argh::FromArgs;
use egret_conf::{Config, collect};
use egret_model::Version;
use egret_tools::publish::{PublishError, read_declarations, read_previous_output, write_output};

/// Checks declaration files and writes the collected, versioned configuration.
#[derive(FromArgs)]
struct Args {
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    Check(Check),
    Collect(Collect),
    Diff(Diff),
}

/// Check all declarations below a directory.
#[derive(FromArgs)]
#[argh(subcommand, name = "check")]
struct Check {
    /// directory with declarations
    #[argh(positional)]
    directory: PathBuf,
}

/// Write the configuration that a platform serves.
#[derive(FromArgs)]
#[argh(subcommand, name = "collect")]
struct Collect {
    /// directory with declarations
    #[argh(positional)]
    directory: PathBuf,
    /// directory to write to; an earlier output there is the version before
    #[argh(option)]
    out: PathBuf,
    /// version, higher than the one before
    #[argh(option)]
    version: u64,
}

/// Show which services differ between two collected configurations.
#[derive(FromArgs)]
#[argh(subcommand, name = "diff")]
struct Diff {
    /// older collected.json
    #[argh(positional)]
    older: PathBuf,
    /// newer collected.json
    #[argh(positional)]
    newer: PathBuf,
}

fn main() -> ExitCode {
    let args: Args = argh::from_env();
    let result = match args.command {
        Command::Check(args) => check(&args),
        Command::Collect(args) => write(&args),
        Command::Diff(args) => diff(&args),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}

fn check(args: &Check) -> Result<(), PublishError> {
    let config = collect(Version(0), &read_declarations(&args.directory)?)?;
    println!("{} services are declared correctly", config.services().len());
    Ok(())
}

fn write(args: &Collect) -> Result<(), PublishError> {
    let config = collect(Version(args.version), &read_declarations(&args.directory)?)?;
    let previous = read_previous_output(&args.out)?;
    write_output(&args.out, &config, previous.as_ref())?;
    println!(
        "version {} with {} services, hash {}",
        config.version(),
        config.services().len(),
        config.root()
    );
    if let Some(previous) = &previous {
        print_difference(&previous.config, &config);
    }
    Ok(())
}

fn diff(args: &Diff) -> Result<(), PublishError> {
    let read = |path: &PathBuf| {
        let text = std::fs::read_to_string(path)
            .map_err(|source| PublishError::File { path: path.clone(), source })?;
        Ok::<Config, PublishError>(Config::from_collected(&text)?)
    };
    print_difference(&read(&args.older)?, &read(&args.newer)?);
    Ok(())
}

fn print_difference(older: &Config, newer: &Config) {
    let difference = newer.difference(older);
    println!("from version {} to {}", difference.from, difference.to);
    let lists =
        [("added", difference.added), ("changed", difference.changed), ("removed", difference.removed)];
    for (what, services) in lists {
        for service in services {
            println!("{what} {service}");
        }
    }
}
