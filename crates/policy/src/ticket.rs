//! The right to run one non-idempotent request.

use std::{fmt, net::SocketAddr, str::FromStr};

use derive_more::{Display, Error};
use egret_model::Incarnation;

const PREFIX: &str = "t1";
const SEPARATOR: char = '_';

/// A ticket as callers carry it.
///
/// It names the one run of the one process that may use it, so that any entry can
/// pass a request on, and nobody else can run it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ticket {
    /// Where the minting entry listens for other processes.
    pub home: SocketAddr,
    /// The minting entry's run.
    pub incarnation: Incarnation,
    /// Its number in that run.
    pub number: u64,
    /// When it expires, in milliseconds of that run.
    pub expires_ms: u64,
    /// Proves that the entry minted it.
    pub signature: u64,
}

/// A text that is not a ticket.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
#[display("the ticket cannot be read: send it exactly as it was handed out")]
pub struct TicketError;

impl fmt::Display for Ticket {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { home, incarnation, number, expires_ms, signature } = self;
        write!(f, "{PREFIX}_{home}_{incarnation}_{number:x}_{expires_ms:x}_{signature:016x}")
    }
}

impl FromStr for Ticket {
    type Err = TicketError;

    fn from_str(text: &str) -> Result<Self, TicketError> {
        let parts: Vec<&str> = text.split(SEPARATOR).collect();
        let [PREFIX, home, incarnation, number, expires_ms, signature] = parts[..] else {
            return Err(TicketError);
        };
        let hex = |part: &str| u64::from_str_radix(part, 16).map_err(|_| TicketError);
        Ok(Self {
            home: home.parse().map_err(|_| TicketError)?,
            incarnation: Incarnation(hex(incarnation)?),
            number: hex(number)?,
            expires_ms: hex(expires_ms)?,
            signature: hex(signature)?,
        })
    }
}
