//! Why a shard is missing from an answer.

record! {
    /// Why an answer does not cover a shard.
    #[derive(derive_more::Display)]
    pub enum MissCause {
        /// The time budget ended before the target answered.
        #[display("deadline")]
        Deadline,
        /// The expected wait for a slot was longer than the time budget.
        #[display("overload")]
        Overload,
        /// The shard has no live replica.
        #[display("no-live-replica")]
        NoLiveReplica,
        /// The replicas do not hold the query's snapshot.
        #[display("snapshot")]
        Snapshot,
        /// The target's reply was malformed, truncated or for another request.
        #[display("bad-reply")]
        BadReply,
        /// The connection broke while the target executed the request.
        #[display("broken-connection")]
        BrokenConnection,
        /// The request is suspected of crashing targets and is not sent to the last live replica.
        #[display("suspect")]
        Suspect,
        /// No relay that is a candidate for the shard answered.
        #[display("no-relay")]
        NoRelay,
        /// The relay does not know the service or is not a candidate for it.
        #[display("not-owner")]
        NotOwner,
        /// The target refused the sub-request.
        #[display("shed")]
        Shed,
        /// The query finished without waiting for this shard.
        #[display("cancelled")]
        Cancelled,
    }
}
