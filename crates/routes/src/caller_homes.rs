//! The homes of a client account.

use std::sync::Arc;

use egret_model::record;

use crate::Homes;

record! {
    /// The homes of a client account (a caller).
    #[derive(Eq)]
    pub struct CallerHomes {
        /// The name that requests of the account state.
        pub name: Arc<str>,
        /// The regions in which its requests must stay.
        pub homes: Homes,
    }
}
