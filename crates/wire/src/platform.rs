//! What the platform's configuration service answers.

use egret_model::record;

record! {
    /// One value of the platform.
    #[derive(Eq)]
    pub struct PlatformValue {
        /// Counts the changes of the key.
        pub revision: u64,
        /// The value's text.
        pub value: String,
    }
}
