//! The numbers and the texts of all events.

use std::fmt;

use egret_model::record;

macro_rules! codes {
    ($($(#[$meta:meta])* $name:ident = $number:literal, $text:literal;)+) => {
        record! {
            /// The number of an event; docs/EVENTS.md explains each.
            pub enum Code { $($(#[$meta])* $name = $number,)+ }
        }

        impl Code {
            /// Returns all codes in the order of their declaration.
            #[must_use]
            pub fn all() -> &'static [Self] {
                &[$(Self::$name,)+]
            }

            /// Returns the short text of the event.
            #[must_use]
            pub fn text(self) -> &'static str {
                match self { $(Self::$name => $text,)+ }
            }
        }
    };
}

codes! {
    /// A daemon started to listen.
    Started = 100, "started";
    /// A daemon received the signal to stop.
    Stopping = 101, "stopping";
    /// A daemon finished its requests in flight and stopped.
    Stopped = 102, "stopped";
    /// The control thread was not scheduled for a long time.
    Paused = 103, "control thread was paused";
    /// A newer configuration is in force.
    ConfigInForce = 200, "configuration in force";
    /// An older configuration was received and ignored.
    ConfigOlderIgnored = 201, "older configuration ignored";
    /// The platform did not answer.
    PlatformUnreachable = 202, "platform unreachable";
    /// A newer host list is in force.
    HostsInForce = 203, "host list in force";
    /// A published value does not match its hash or cannot be read.
    ConfigBroken = 204, "published value is broken";
    /// The agent has its first configuration.
    AgentReady = 205, "agent ready";
    /// A query was accepted.
    QueryAccepted = 300, "query accepted";
    /// A query was answered.
    QueryAnswered = 301, "query answered";
    /// A query was refused.
    QueryRefused = 302, "query refused";
    /// A part of a query was sent to a relay.
    ScatterSent = 303, "sent to relay";
    /// A relay did not answer in time or cannot be reached.
    RelayDown = 304, "relay down";
    /// A relay answers again.
    RelayUp = 305, "relay up";
    /// A query was planned again with another snapshot.
    QueryReplanned = 306, "planned again";
    /// A request with a ticket was forwarded to the entry that issued the ticket.
    TicketForwarded = 307, "ticket forwarded";
    /// A reply did not belong to a pending request and was dropped.
    ForeignReply = 308, "mismatched reply dropped";
    /// A query was refused before any part of it was sent for execution.
    PreflightRefused = 309, "preflight refused";
    /// A relay received a part of a query.
    ScatterReceived = 400, "received by relay";
    /// A sub-request was sent to a target.
    TargetSent = 401, "sent to target";
    /// A target answered.
    TargetReplied = 402, "target replied";
    /// A target refused or failed.
    TargetFailed = 403, "target failed";
    /// A hedge, a second attempt at a sub-request, was sent.
    HedgeSent = 404, "hedge sent";
    /// A sub-request was sent again after a failure.
    RetrySent = 405, "retry sent";
    /// A sub-request was cancelled at its target.
    TargetCancelled = 406, "cancelled at target";
    /// A relay answered a part of a query.
    ScatterReplied = 407, "relay replied";
    /// A replica accepts requests.
    ReplicaReady = 410, "replica ready";
    /// A replica is leaving and accepts no new requests.
    ReplicaLeaving = 411, "replica leaving";
    /// A replica does not answer.
    ReplicaDown = 412, "replica down";
    /// A replica is too slow or fails and receives no requests for a while.
    ReplicaEjected = 413, "replica ejected";
    /// A request broke a connection while a target executed it.
    SuspectMarked = 420, "request marked";
    /// A caller's request could not be read completely or is malformed.
    RequestNotTaken = 500, "request not accepted";
    /// A caller's request was refused without being sent to a target.
    RequestRefused = 501, "request refused";
    /// A caller's request ended without an answer from its targets.
    RequestFailed = 502, "request failed";
    /// An answer does not cover all shards.
    AnswerPartial = 503, "partial answer";
    /// The operating system gave no file descriptor for a caller's connection.
    AcceptFailed = 504, "connection not accepted";
    /// A gatherer did not answer; another host gathers instead.
    GathererFailed = 505, "gatherer failed";
    /// Another host became known for the first time.
    HostFound = 510, "host found";
    /// A changed set of usable replicas is in force.
    ReplicasInForce = 511, "replicas in force";
    /// The platform answers again.
    StoreRegained = 512, "platform answers again";
    /// A published entry cannot be read and names no replica.
    EntryUnreadable = 513, "entry cannot be read";
    /// A changed set of gatherers is in force.
    GatherersChosen = 516, "gatherers chosen";
    /// A host did not answer.
    HostSuspected = 517, "host suspected";
    /// A target asked this host to send no requests for a while.
    TargetClosed = 519, "target asked for a pause";
    /// A target stated how many requests it takes.
    TargetLimited = 523, "target limits requests";
    /// No target can be reached from this host.
    TargetsUnreachable = 524, "no target can be reached";
    /// Targets can be reached again from this host.
    TargetsReachable = 525, "targets can be reached again";
    /// Another host sent a request to a target for this one.
    RequestForwarded = 526, "request forwarded";
    /// The mark of a crashing request ended, and this host sent it to one target; or what came of it.
    SuspectProbed = 527, "crashing request probed";
    /// Callers' requests were refused, or their connections closed, for lack of memory.
    MemoryShort = 530, "memory is short";
    /// Callers' connections were closed to accept others.
    ConnectionsShort = 531, "connection limit reached";
    /// A message of another host was refused for lack of memory.
    MessageRefused = 532, "message refused for lack of memory";
    /// The configuration allows larger bodies than this host has memory for.
    BodyLimitTooHigh = 533, "body limit too high for this host's memory";
    /// An answer of another host was dropped for lack of memory.
    AnswerWithoutMemory = 542, "answer dropped for lack of memory";
    /// Gathers wait or are refused because the targets have queues.
    QueriesLimited = 535, "queries limited";
    /// The system does not limit the receive buffer of a connection as it was told.
    ReceiveBufferUnlimited = 543, "receive buffer not limited";
    /// The platform dropped the history after the last known revision.
    StoreHistoryLost = 518, "platform history lost";
    /// The platform's store was restored from a backup.
    StoreRestored = 520, "store restored from a backup";
    /// An answer of the store was dropped because its epoch cannot be the present one.
    StoreAnswerDropped = 521, "store answer dropped";
    /// A changed set of evacuated data centres is in force.
    EvacuationsInForce = 522, "evacuations in force";
    /// Settings were reloaded.
    SettingsReloaded = 514, "settings reloaded";
    /// Settings could not be reloaded; the old ones stay in force.
    SettingsRejected = 515, "settings rejected";
}

impl Code {
    /// Returns the number.
    #[must_use]
    pub fn number(self) -> u16 {
        self as u16
    }

    /// Returns whether operators should look at the event.
    #[must_use]
    pub fn is_warning(self) -> bool {
        matches!(
            self,
            Self::Paused
                | Self::ConfigOlderIgnored
                | Self::PlatformUnreachable
                | Self::ConfigBroken
                | Self::RelayDown
                | Self::ForeignReply
                | Self::ReplicaDown
                | Self::ReplicaEjected
                | Self::SuspectMarked
                | Self::AcceptFailed
                | Self::EntryUnreadable
                | Self::StoreRestored
                | Self::StoreAnswerDropped
                | Self::ReceiveBufferUnlimited
                | Self::SettingsRejected
        )
    }

    /// Returns whether the event belongs to a single query and is frequent.
    #[must_use]
    pub fn is_per_query(self) -> bool {
        matches!(self.number(), 300..=303 | 306..=309 | 400..=407)
    }
}

impl fmt::Display for Code {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "E{}", self.number())
    }
}
