//! Mechanisms that can be disabled, to measure the effect of each.

use std::str::FromStr;

use derive_more::{Display, Error};

macro_rules! mechanisms {
    ($($(#[$meta:meta])* $name:ident = $text:literal;)+) => {
        /// A mechanism that can be disabled; docs/measurements/further.md has the effect of each.
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
    /// A few hosts of each data centre, the gatherers, send the requests for parts to its targets
    /// for all hosts.
    Gatherers = "gatherers";
    /// Gatherers of other data centres merge the parts of their targets into one reply.
    RemoteMerging = "merging-elsewhere";
    /// A gatherer with little processor time asks others of its data centre for shares of a gather.
    GatherSpread = "gather-spread";
    /// A hedge, a second attempt at a slow request, goes to another target.
    Hedging = "second-copies";
    /// Overloaded shards are not asked if enough others remain for the answer.
    ShardShedding = "leaving-out";
    /// A request that too many overloaded shards would delay is refused at once.
    EarlyRefusal = "start-refusal";
    /// A gather starts only while the targets' queues are short; others wait in the order of their
    /// priority or are refused.
    QueryAdmission = "query-admission";
    /// A request that a host would refuse is first forwarded to another host.
    ForwardBeforeRefusing = "second-opinion";
    /// An answer with enough parts is sent shortly before the latency objective, without the missing
    /// parts.
    EarlyAnswers = "early-answers";
    /// The time that this host needs to write an answer is estimated from past answers.
    LearnedAnswerDelay = "learned-moment";
    /// The transfer time of a long answer over this host's link is taken into account.
    LinkTransferTime = "link-share";
    /// The network delay of callers is estimated from the time budgets that they state.
    LearnedCallerDelay = "caller-way";
    /// A request that lacks only a few parts waits for free slots of the targets.
    WaitForSlot = "waiting-for-room";
    /// Targets that fail or shed requests are ejected: they get no requests for a while.
    Ejection = "avoidance";
    /// Slow targets get fewer requests.
    LatencyWeighting = "slowness";
    /// The load that targets report in their responses is taken into account.
    LoadReports = "load-reports";
    /// A request for one target goes to the one that is expected to complete it first, by the expected
    /// cost of the request and the targets' backlogs, or is refused where none can complete it in time.
    CostAwarePlacement = "cost-aware-placement";
    /// Changes are pushed to some hosts at once, besides the periodic gossip.
    GossipPush = "push";
}

/// The error for a name that no mechanism has.
#[derive(Debug, Display, Error)]
#[display("there is no mechanism {name}: use one of {known}")]
pub struct UnknownMechanism {
    name: String,
    known: String,
}

/// The disabled mechanisms, sorted.
#[derive(Clone, Debug, Default)]
pub struct DisabledMechanisms(Vec<Mechanism>);

impl DisabledMechanisms {
    /// Returns whether a mechanism is disabled.
    #[must_use]
    pub fn contains(&self, mechanism: Mechanism) -> bool {
        self.0.binary_search(&mechanism).is_ok()
    }
}

impl FromStr for DisabledMechanisms {
    type Err = UnknownMechanism;

    /// Parses names that are separated by commas; empty names are ignored.
    fn from_str(text: &str) -> Result<Self, UnknownMechanism> {
        let names = text.split(',').map(str::trim).filter(|name| !name.is_empty());
        let mut disabled = names.map(str::parse).collect::<Result<Vec<Mechanism>, _>>()?;
        disabled.sort_unstable();
        Ok(Self(disabled))
    }
}
