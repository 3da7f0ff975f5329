//! What every binary does with its settings before it starts.

use crate::SettingsReader;

/// The exit code of a process that refuses its settings.
pub const EXIT_BAD_SETTING: i32 = 2;

/// Ends the process where a setting is wrong, or after printing them for `--check`.
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
