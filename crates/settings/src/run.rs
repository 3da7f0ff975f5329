//! The end of reading settings, common to all binaries.

use crate::SettingsReader;

/// The exit code of a process whose settings are missing or invalid.
pub const EXIT_BAD_SETTING: i32 = 2;

/// Exits with [`EXIT_BAD_SETTING`] if a setting is invalid; with `--check`, prints the effective
/// settings and exits.
pub fn check_or_exit(reader: SettingsReader, check_only: bool) {
    match reader.finish() {
        Ok(effective) if check_only => {
            print!("{effective}");
            std::process::exit(0);
        }
        Ok(_) => {}
        Err(errors) => {
            eprintln!("{errors}");
            std::process::exit(EXIT_BAD_SETTING);
        }
    }
}
