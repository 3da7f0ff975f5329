//! Whether a request was executed.

record! {
    /// Whether any target executed any part of a request.
    ///
    /// `No` is a guarantee: not one byte of any sub-request was sent, or every target
    /// that received one reported that it did not run it (docs/DESIGN.md, "Refusals").
    #[derive(Default, derive_more::Display)]
    pub enum Ran {
        /// No target executed any part.
        #[default]
        #[display("no")]
        No,
        /// At least one target executed a part.
        #[display("yes")]
        Yes,
        /// Bytes were sent, and no answer says whether they were executed.
        #[display("unknown")]
        Unknown,
    }
}

impl Ran {
    /// Combines the outcomes of two parts of one request.
    #[must_use]
    pub fn combine(self, other: Self) -> Self {
        match (self, other) {
            (Self::Yes, _) | (_, Self::Yes) => Self::Yes,
            (Self::Unknown, _) | (_, Self::Unknown) => Self::Unknown,
            (Self::No, Self::No) => Self::No,
        }
    }
}
