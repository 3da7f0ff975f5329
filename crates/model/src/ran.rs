//! Whether a request was run.

record! {
    /// Says whether any target ran any part of a request.
    ///
    /// `No` is a promise: not one byte of any sub-request left, or every target
    /// that received one said that it did not run it (docs/DESIGN.md, "Refusals").
    #[derive(Default, derive_more::Display)]
    pub enum Ran {
        /// No target ran any part.
        #[default]
        #[display("no")]
        No,
        /// At least one target ran a part.
        #[display("yes")]
        Yes,
        /// Bytes left, and no answer says what became of them.
        #[display("unknown")]
        Unknown,
    }
}

impl Ran {
    /// Combines two parts of one request.
    #[must_use]
    pub fn combine(self, other: Self) -> Self {
        match (self, other) {
            (Self::Yes, _) | (_, Self::Yes) => Self::Yes,
            (Self::Unknown, _) | (_, Self::Unknown) => Self::Unknown,
            (Self::No, Self::No) => Self::No,
        }
    }
}
