//! The reply of the platform's configuration service.

use egret_model::record;

record! {
    /// The value of one key at the platform.
    #[derive(Eq)]
    pub struct PlatformValue {
        /// The revision of the key, which grows with every change.
        pub revision: u64,
        /// The text of the value.
        pub value: String,
    }
}
