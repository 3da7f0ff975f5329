//! What keeps requests from a target, or makes it slower.

use derive_more::Display;
use egret_model::record;

record! {
    /// What keeps requests from a target, or makes it slower.
    #[derive(Display)]
    pub enum TargetCondition {
        /// It takes requests.
        #[display("ready")]
        Ready,
        /// It leaves and takes no new requests, or a restored store lists it although it was deleted.
        #[display("draining")]
        Draining,
        /// Its data centre is evacuated.
        #[display("evacuated")]
        Evacuated,
        /// It is outside the homes of the request.
        #[display("outside the homes")]
        OutsideHomes,
        /// It failed, and is picked only if there is no other.
        #[display("ejected")]
        Ejected,
        /// It asked for no requests for a while.
        #[display("backed off")]
        BackedOff,
        /// This host's share of the rate that it allows is used up.
        #[display("rate limited")]
        RateLimited,
        /// It warms up and takes no more requests of this host now, or is slower meanwhile.
        #[display("cold")]
        Cold,
        /// It refused a request because its queue was full.
        #[display("full")]
        Full,
    }
}
