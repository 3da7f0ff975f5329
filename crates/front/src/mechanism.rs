//! Mechanisms that can be switched off, to measure what each is worth.

use std::str::FromStr;

use derive_more::{Display, Error};

macro_rules! mechanisms {
    ($($(#[$meta:meta])* $name:ident = $text:literal;)+) => {
        /// A mechanism that can be switched off. docs/measurements/further.md has its worth.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
        pub enum Mechanism { $($(#[$meta])* $name,)+ }

        impl FromStr for Mechanism {
            type Err = UnknownMechanism;

            fn from_str(text: &str) -> Result<Self, UnknownMechanism> {
                match text {
                    $($text => Ok(Self::$name),)+
                    _ => Err(UnknownMechanism { name: text.to_owned(), known: [$($text),+].join(", ") }),
                }
            }
        }
    };
}

mechanisms! {
    /// A few hosts of each data centre ask the targets of gathers for all.
    Gatherers = "gatherers";
    /// Gatherers of other data centres bring the parts of their targets, merged.
    RemoteMerging = "merging-elsewhere";
    /// A second copy goes out when the first one takes long.
    Hedging = "second-copies";
    /// Overloaded shards are left out where enough others remain.
    ShardShedding = "leaving-out";
    /// What too many overloaded shards would delay is refused at its start.
    EarlyRefusal = "start-refusal";
    /// What a host would refuse goes to another one first.
    ForwardBeforeRefusing = "second-opinion";
    /// An answer over enough parts goes out shortly before the goal.
    EarlyAnswers = "early-answers";
    /// The time that this host takes to pass an answer on is learned.
    LearnedAnswerDelay = "learned-moment";
    /// The time of a long answer on this host's link counts.
    LinkTransferTime = "link-share";
    /// How far callers are is learned from the budgets that they state.
    LearnedCallerDelay = "caller-way";
    /// A request that lacks few parts waits for room.
    WaitForSlot = "waiting-for-room";
    /// Targets that fail or shed get no work for a while.
    Ejection = "avoidance";
    /// Targets that were slow get less work.
    LatencyWeighting = "slowness";
    /// Targets' own reports of their load count.
    LoadReports = "load-reports";
    /// Changes are told to some hosts at once.
    GossipPush = "push";
}

/// A name that is no mechanism's.
#[derive(Debug, Display, Error)]
#[display("there is no mechanism {name}: use one of {known}")]
pub struct UnknownMechanism {
    name: String,
    known: String,
}

/// The mechanisms that are switched off, sorted.
#[derive(Clone, Debug, Default)]
pub struct DisabledMechanisms(Vec<Mechanism>);

impl DisabledMechanisms {
    /// Tells whether a mechanism is switched off.
    #[must_use]
    pub fn contains(&self, mechanism: Mechanism) -> bool {
        self.0.binary_search(&mechanism).is_ok()
    }
}

impl FromStr for DisabledMechanisms {
    type Err = UnknownMechanism;

    /// Reads names that are separated by commas.
    fn from_str(text: &str) -> Result<Self, UnknownMechanism> {
        let names = text.split(',').map(str::trim).filter(|name| !name.is_empty());
        let mut off = names.map(str::parse).collect::<Result<Vec<Mechanism>, _>>()?;
        off.sort_unstable();
        Ok(Self(off))
    }
}
