//! Why a shard is missing from an answer.

record! {
    /// The cause of a shard's absence from an answer.
    #[derive(derive_more::Display)]
    pub enum MissCause {
        /// The time budget ended before the target answered.
        #[display("deadline")]
        Deadline,
        /// The expected wait for a slot was longer than the time budget.
        #[display("overload")]
        Overload,
        /// No replica of the shard is live.
        #[display("no-live-replica")]
        NoLiveReplica,
        /// The replicas do not hold the snapshot of the query.
        #[display("snapshot")]
        Snapshot,
        /// The target's reply was broken, truncated or for another request.
        #[display("bad-reply")]
        BadReply,
        /// The connection broke while the target ran the request.
        #[display("broken-connection")]
        BrokenConnection,
        /// The request broke targets before and is not sent to the last replica.
        #[display("suspect")]
        Suspect,
        /// No relay that may serve the shard answered.
        #[display("no-relay")]
        NoRelay,
        /// The relay does not know the service, or is no candidate for it.
        #[display("not-owner")]
        NotOwner,
        /// The target refused the work.
        #[display("shed")]
        Shed,
        /// The query was decided without this shard.
        #[display("cancelled")]
        Cancelled,
    }
}
