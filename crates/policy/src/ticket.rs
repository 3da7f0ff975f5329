//! Tickets for non-idempotent requests.

use std::{fmt, net::SocketAddr, str::FromStr};

use derive_more::{Display, Error};
use egret_model::Incarnation;

const PREFIX: &str = "t1";
const SEPARATOR: char = '_';

/// The right to run one non-idempotent request once, as callers send it.
///
/// It names the one run of the one process that may run the request, so that any
/// entry can forward the request there, and no other process can run it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ticket {
    /// The address at which the entry that minted it listens for other processes.
    pub home: SocketAddr,
    /// The run of that entry.
    pub incarnation: Incarnation,
    /// The number of the ticket, unique in that run.
    pub number: u64,
    /// When it expires, in milliseconds since that run started.
    pub expires_ms: u64,
    /// The signature of the other fields, which proves that the entry minted the ticket.
    pub signature: u64,
}

/// The error for a text that is not a ticket.
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
