//! Claims of request keys, which keep a resent request from running twice.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use parsleywalk_units::{ClaimId, ClaimOutcome, RequestKey, StateTime, TimeSpan, VmNumber};
use serde::{Deserialize, Serialize};

use crate::{CommandRefusal, ControlReply};

/// The maximum number of claims; further ones are refused.
const MAX_CLAIMS: usize = 200_000;
/// The retention of a claim after its request's deadline.
const CLAIM_RETENTION_AFTER_DEADLINE: Duration = Duration::from_mins(10);
/// The longest deadline that extends a claim, so that no caller can keep one indefinitely.
const MAX_CLAIM_DEADLINE: TimeSpan = TimeSpan::from_secs(3600);
/// The maximum number of expired claims that one command removes, which bounds the time to apply a command.
const MAX_EXPIRED_PER_COMMAND: usize = 64;

/// The claim of a request key by an entry daemon.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRecord {
    /// The entry daemon that claimed the key.
    pub entry: VmNumber,
    /// The id that the entry daemon gave the claim.
    pub claim: ClaimId,
    /// The outcome of the request, once it has ended.
    pub outcome: Option<ClaimOutcome>,
    /// The time from which the claim may be removed.
    pub expires: StateTime,
}

/// All claims, with an index by expiry time.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct ClaimTable {
    records: BTreeMap<RequestKey, ClaimRecord>,
    #[serde(skip)]
    expiries: BTreeSet<(StateTime, RequestKey)>,
}

/// Commands.
impl ClaimTable {
    /// Grants a request key to a claim, or returns the claim that holds it.
    ///
    /// A key whose request did not run can be claimed again under another id.
    pub(crate) fn claim(
        &mut self,
        now: StateTime,
        key: &RequestKey,
        entry: VmNumber,
        claim: ClaimId,
        deadline: TimeSpan,
    ) -> Result<ControlReply, CommandRefusal> {
        if let Some(record) = self.records.get(key) {
            let is_same = record.claim == claim && record.entry == entry;
            match record.outcome {
                None if is_same => return Ok(ControlReply::ClaimGranted),
                // A resent command of the claim that was settled as not run must not take the key again.
                Some(ClaimOutcome::NotRun) if !is_same => self.remove(key),
                outcome => return Ok(ControlReply::ClaimHeld { entry: record.entry, claim: record.claim, outcome }),
            }
        }
        if self.records.len() >= MAX_CLAIMS {
            return Err(CommandRefusal::TooManyClaims { limit: MAX_CLAIMS });
        }
        let expires =
            now.saturating_add(deadline.min(MAX_CLAIM_DEADLINE).as_duration() + CLAIM_RETENTION_AFTER_DEADLINE);
        self.expiries.insert((expires, key.clone()));
        self.records.insert(key.clone(), ClaimRecord { entry, claim, outcome: None, expires });
        Ok(ControlReply::ClaimGranted)
    }

    /// Records the outcome of a claim. Settling it again with the same outcome has no effect.
    pub(crate) fn settle(
        &mut self,
        key: &RequestKey,
        claim: ClaimId,
        outcome: ClaimOutcome,
    ) -> Result<ControlReply, CommandRefusal> {
        let Some(record) = self.records.get_mut(key) else {
            return Err(CommandRefusal::UnknownClaim { key: key.clone() });
        };
        if record.claim != claim || record.outcome.is_some_and(|settled| settled != outcome) {
            return Err(CommandRefusal::NotHolder { key: key.clone() });
        }
        record.outcome = Some(outcome);
        Ok(ControlReply::Accepted)
    }

    /// Removes expired claims and returns their keys.
    pub(crate) fn expire(&mut self, now: StateTime) -> Vec<RequestKey> {
        let mut removed = Vec::new();
        while removed.len() < MAX_EXPIRED_PER_COMMAND
            && let Some((expires, _)) = self.expiries.first()
            && *expires <= now
            && let Some((_, key)) = self.expiries.pop_first()
        {
            self.records.remove(&key);
            removed.push(key);
        }
        removed
    }

    fn remove(&mut self, key: &RequestKey) {
        if let Some(record) = self.records.remove(key) {
            self.expiries.remove(&(record.expires, key.clone()));
        }
    }

    /// Rebuilds the index, which a snapshot leaves out.
    pub(crate) fn rebuild(&mut self) {
        self.expiries = self.records.iter().map(|(key, record)| (record.expires, key.clone())).collect();
    }
}

/// Queries.
impl ClaimTable {
    pub(crate) fn get(&self, key: &RequestKey) -> Option<&ClaimRecord> {
        self.records.get(key)
    }

    pub(crate) fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns true if the index matches the records and the limit is kept.
    pub(crate) fn is_consistent(&self) -> bool {
        self.records.len() == self.expiries.len()
            && self.records.len() <= MAX_CLAIMS
            && self
                .expiries
                .iter()
                .all(|(expires, key)| self.records.get(key).is_some_and(|record| record.expires == *expires))
    }
}
