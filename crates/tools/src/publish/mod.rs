//! Collecting declarations and writing what the platform serves.

mod declarations;
mod error;
mod output;

pub use declarations::{DECLARATION_FILE_NAME, read_declarations};
pub use error::PublishError;
pub use output::{PreviousOutput, read_previous_output, write_output};
