//! Changes of the voting members.

use std::time::Duration;

use parsleywalk_consensus::{MembershipChange, ReplicaRole};
use parsleywalk_units::{VmNumber, ZoneName};

/// A voter without contact for this long is replaced by an available learner. Longer than an election, so that a short
/// interruption changes nothing, and much shorter than the time within which a new replica must catch up.
const VOTER_TIMEOUT: Duration = Duration::from_millis(1200);
/// A learner heard from within this time is available.
const LEARNER_TIMEOUT: Duration = Duration::from_millis(600);
/// The maximum number of entries by which a learner may lag; these are usually in flight.
const MAX_LEARNER_LAG_ENTRIES: u64 = 16;

/// A replica as known to the leader.
#[derive(Debug, Clone)]
pub(crate) struct MemberView {
    pub(crate) vm: VmNumber,
    pub(crate) zone: Option<ZoneName>,
    pub(crate) role: ReplicaRole,
    pub(crate) since_contact: Duration,
    /// The number of entries by which the replica lags behind the leader.
    pub(crate) lag: u64,
}

/// Returns the next membership change: an available learner replaces an unresponsive voter, or is added while there are
/// too few voters. The learner from the zone with the fewest voters is chosen first, so that a majority survives the
/// loss of a zone.
pub(crate) fn choose_change(
    own: &(VmNumber, ZoneName),
    peers: &[MemberView],
    target_voters: usize,
) -> Option<MembershipChange> {
    let voters: Vec<&MemberView> = peers.iter().filter(|peer| peer.role == ReplicaRole::Follower).collect();
    let voters_in_zone = |zone: &Option<ZoneName>| {
        let own = usize::from(zone.as_ref() == Some(&own.1));
        own + voters.iter().filter(|voter| voter.zone == *zone).count()
    };
    let is_available = |peer: &&MemberView| {
        peer.role == ReplicaRole::Learner && peer.since_contact < LEARNER_TIMEOUT && peer.lag <= MAX_LEARNER_LAG_ENTRIES
    };
    let learner = peers.iter().filter(is_available).min_by_key(|peer| voters_in_zone(&peer.zone))?;
    let unresponsive = voters.iter().find(|voter| voter.since_contact >= VOTER_TIMEOUT && voter.vm != learner.vm);
    if let Some(unresponsive) = unresponsive {
        return Some(MembershipChange::Replace { old: unresponsive.vm, new: learner.vm });
    }
    let is_voter = voters.iter().any(|voter| voter.vm == learner.vm);
    (voters.len() + 1 < target_voters && !is_voter).then_some(MembershipChange::Add { vm: learner.vm })
}
