//! Why a query was not answered.

use std::fmt;

use egret_model::{Ran, RefusalKind};
use egret_wire::RefusalBody;

/// The result of a call to the client.
pub type Result<T> = std::result::Result<T, Error>;

/// Why a query was not answered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Error {
    code: Box<ErrorCode>,
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum ErrorCode {
    Refused(RefusalBody),
    Unreachable { may_have_run: bool },
    Invalid(String),
}

impl Error {
    pub(crate) fn refused(body: RefusalBody) -> Self {
        Self { code: Box::new(ErrorCode::Refused(body)) }
    }

    pub(crate) fn unreachable(may_have_run: bool) -> Self {
        Self { code: Box::new(ErrorCode::Unreachable { may_have_run }) }
    }

    /// Combines the error with whether earlier attempts of the query ran.
    pub(crate) fn with_ran(mut self, earlier: Ran) -> Self {
        match &mut *self.code {
            ErrorCode::Refused(body) => body.ran = body.ran.combine(earlier),
            ErrorCode::Unreachable { may_have_run } => *may_have_run |= earlier != Ran::No,
            ErrorCode::Invalid(_) => {}
        }
        self
    }

    pub(crate) fn invalid(reason: impl fmt::Display) -> Self {
        Self { code: Box::new(ErrorCode::Invalid(reason.to_string())) }
    }

    /// Returns the refusal, if an entry refused the query.
    #[must_use]
    pub fn refusal(&self) -> Option<&RefusalBody> {
        match &*self.code {
            ErrorCode::Refused(body) => Some(body),
            _ => None,
        }
    }

    /// Returns the kind of the refusal, if an entry refused the query.
    #[must_use]
    pub fn kind(&self) -> Option<RefusalKind> {
        self.refusal().map(|body| body.kind)
    }

    /// Returns whether any target ran any part of the query in any attempt.
    #[must_use]
    pub fn ran(&self) -> Ran {
        match &*self.code {
            ErrorCode::Refused(body) => body.ran,
            ErrorCode::Unreachable { may_have_run: true } => Ran::Unknown,
            _ => Ran::No,
        }
    }

    /// Returns whether no entry answered; the query may still have run, see [`ran`](Self::ran).
    #[must_use]
    pub fn is_unreachable(&self) -> bool {
        matches!(&*self.code, ErrorCode::Unreachable { .. })
    }

    /// Returns whether the query is invalid and was not sent.
    #[must_use]
    pub fn is_invalid(&self) -> bool {
        matches!(&*self.code, ErrorCode::Invalid(_))
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &*self.code {
            ErrorCode::Refused(body) => {
                write!(f, "refused as {} (ran: {}): {}; {}", body.kind, body.ran, body.message, body.remedy)
            }
            ErrorCode::Unreachable { .. } => {
                f.write_str("no entry answered: check their addresses and the network")
            }
            ErrorCode::Invalid(reason) => write!(f, "the query is not valid ({reason}): correct it"),
        }
    }
}

impl std::error::Error for Error {}
