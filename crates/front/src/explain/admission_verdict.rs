//! What admission would decide about a gather.

use egret_model::record;

record! {
    /// What admission would decide about a gather.
    pub enum AdmissionVerdict {
        /// It starts now.
        Start,
        /// It waits in the queue.
        Wait,
        /// It is refused.
        Refuse,
    }
}
