//! Collecting declarations and writing what the platform serves.

mod error;
mod output;
mod sources;

pub use error::PublishError;
pub use output::{Published, load_previous, write_output};
pub use sources::{DECLARATION_FILE, read_sources};
