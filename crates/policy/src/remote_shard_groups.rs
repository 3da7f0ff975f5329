//! Which data centres bring the parts that have no replica nearby.

/// Shards that one other data centre is asked for together.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RemoteShardGroup {
    /// The data centre, as an index of the caller's.
    pub data_centre: usize,
    /// The shards, in order.
    pub shards: Vec<usize>,
}

/// Shards that are worth a message to a gatherer there; fewer are asked for one by one.
const GROUP_MIN: usize = 3;

/// Groups the shards without a replica in the own data centre by others that have one.
///
/// `holders` gives the data centres with replicas of each shard. The data centre with most of
/// the remaining shards goes first, so that few messages cross; a gatherer there merges its
/// parts before they do. `random` decides among equals, so that the load of hosts without
/// replicas spreads over all that have them.
#[must_use]
pub fn group_remote_shards(holders: &[Vec<usize>], own: Option<usize>, random: u64) -> Vec<RemoteShardGroup> {
    let is_near = |shard: &usize| own.is_some_and(|own| holders[*shard].contains(&own));
    let mut left: Vec<usize> = (0..holders.len()).filter(|shard| !is_near(shard)).collect();
    let mut groups = Vec::new();
    loop {
        let mut names: Vec<usize> = left.iter().flat_map(|&shard| holders[shard].iter().copied()).collect();
        names.sort_unstable();
        let Some(data_centre) = most_frequent(&names, random) else { return groups };
        let (shards, rest): (Vec<usize>, Vec<usize>) =
            left.into_iter().partition(|&shard| holders[shard].contains(&data_centre));
        if shards.len() < GROUP_MIN {
            return groups;
        }
        groups.push(RemoteShardGroup { data_centre, shards });
        left = rest;
    }
}

/// Returns the most frequent of sorted numbers, a random one among equals.
fn most_frequent(sorted: &[usize], random: u64) -> Option<usize> {
    let most = sorted.chunk_by(|a, b| a == b).map(<[usize]>::len).max()?;
    let equals: Vec<usize> =
        sorted.chunk_by(|a, b| a == b).filter(|run| run.len() == most).map(|run| run[0]).collect();
    Some(equals[(random % equals.len() as u64) as usize])
}
