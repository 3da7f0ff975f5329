//! The states of a member.

use egret_model::record;

record! {
    /// The state of a member, as gossiped; at equal incarnation a later variant overrides an earlier one.
    pub enum MemberState {
        /// No host reports it as unresponsive.
        Live,
        /// A host got no reply from it. It counts as lost unless it raises its incarnation in time.
        Suspect,
        /// It announced that it shuts down.
        Gone,
    }
}
