//! What is believed of a member.

use egret_model::record;

record! {
    /// What is believed of a member; a later one overrides an earlier one of the same run.
    pub enum MemberState {
        /// It answers, as far as anybody knows.
        Live,
        /// It did not answer somebody; it may still show that it lives.
        Suspect,
        /// It did not show that it lives, or shuts down.
        Gone,
    }
}
