//! The grouping of shards without a local replica by the data centres that are asked for them.

/// Shards that a gatherer of one other data centre is asked for together.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RemoteShardGroup {
    /// The number of the data centre in `holders` of [`group_remote_shards`].
    pub data_centre: usize,
    /// The indices of the shards, in order.
    pub shards: Vec<usize>,
}

/// The least number of shards that justify a message to a gatherer; fewer are asked for one by one.
const GROUP_SHARDS_MIN: usize = 3;

/// Groups the shards without a replica in the own data centre by other data centres that have one.
///
/// `holders` lists the data centres with replicas of each shard. The data centre with most of the
/// remaining shards is taken first, so that few messages cross between data centres: a gatherer there
/// merges its parts before it answers. `random` breaks ties, so that the load from hosts without local
/// replicas spreads over all data centres that have them.
#[must_use]
pub fn group_remote_shards(holders: &[Vec<usize>], own: Option<usize>, random: u64) -> Vec<RemoteShardGroup> {
    let is_local = |shard: &usize| own.is_some_and(|own| holders[*shard].contains(&own));
    let mut remaining: Vec<usize> = (0..holders.len()).filter(|shard| !is_local(shard)).collect();
    let mut groups = Vec::new();
    loop {
        let mut candidates: Vec<usize> =
            remaining.iter().flat_map(|&shard| holders[shard].iter().copied()).collect();
        candidates.sort_unstable();
        let Some(data_centre) = most_frequent(&candidates, random) else { return groups };
        let (shards, rest): (Vec<usize>, Vec<usize>) =
            remaining.into_iter().partition(|&shard| holders[shard].contains(&data_centre));
        if shards.len() < GROUP_SHARDS_MIN {
            return groups;
        }
        groups.push(RemoteShardGroup { data_centre, shards });
        remaining = rest;
    }
}

/// Returns the most frequent of the sorted numbers; `random` breaks ties.
fn most_frequent(sorted: &[usize], random: u64) -> Option<usize> {
    let most = sorted.chunk_by(|a, b| a == b).map(<[usize]>::len).max()?;
    let tied: Vec<usize> =
        sorted.chunk_by(|a, b| a == b).filter(|run| run.len() == most).map(|run| run[0]).collect();
    Some(tied[(random % tied.len() as u64) as usize])
}
