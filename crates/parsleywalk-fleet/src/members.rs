//! Which replicas vote.

use std::time::Duration;

use parsleywalk_consensus::{MembershipChange, ReplicaRole};
use parsleywalk_units::{VmNumber, ZoneName};

/// A voter that is silent for this long gives its place to a replica that is there. Longer than an election, so that a
/// short gap moves nothing; well below the time that a new replica has to catch up.
const SILENCE_LIMIT: Duration = Duration::from_millis(1200);
/// A learner that was heard from within this time is there.
const PRESENCE_LIMIT: Duration = Duration::from_millis(600);
/// A learner may miss this many entries, which are on their way.
const LAG_LIMIT: u64 = 16;

/// A replica as the leader sees it.
#[derive(Debug, Clone)]
pub(crate) struct MemberView {
    pub(crate) vm: VmNumber,
    pub(crate) zone: Option<ZoneName>,
    pub(crate) role: ReplicaRole,
    pub(crate) silent: Duration,
    pub(crate) lag: u64,
}

/// Returns the next change: a learner takes the place of a silent voter, or is added while there are too few voters.
/// The learner from the zone with the fewest voters comes first, so that the loss of a zone leaves a majority.
pub(crate) fn choose_change(
    own: &(VmNumber, ZoneName),
    peers: &[MemberView],
    wanted: usize,
) -> Option<MembershipChange> {
    let voters: Vec<&MemberView> = peers.iter().filter(|peer| peer.role == ReplicaRole::Follower).collect();
    let in_zone = |zone: &Option<ZoneName>| {
        let own = usize::from(zone.as_ref() == Some(&own.1));
        own + voters.iter().filter(|voter| voter.zone == *zone).count()
    };
    let present =
        |peer: &&MemberView| peer.role == ReplicaRole::Learner && peer.silent < PRESENCE_LIMIT && peer.lag <= LAG_LIMIT;
    let learner = peers.iter().filter(present).min_by_key(|peer| in_zone(&peer.zone))?;
    let gone = voters.iter().find(|voter| voter.silent >= SILENCE_LIMIT && voter.vm != learner.vm);
    if let Some(gone) = gone {
        return Some(MembershipChange::Replace { old: gone.vm, new: learner.vm });
    }
    let is_voter = voters.iter().any(|voter| voter.vm == learner.vm);
    (voters.len() + 1 < wanted && !is_voter).then_some(MembershipChange::Add { vm: learner.vm })
}
