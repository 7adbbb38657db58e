//! Claims of request keys.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use parsleywalk_units::{ClaimId, ClaimOutcome, RequestKey, StateTime, TimeSpan, VmNumber};
use serde::{Deserialize, Serialize};

use crate::{CommandRefusal, ControlReply};

/// The claims that are kept at most; further ones are refused.
const CLAIM_LIMIT: usize = 200_000;
/// How long a claim is kept past its request's deadline.
const KEPT_AFTER_DEADLINE: Duration = Duration::from_mins(10);
/// The latest deadline that counts, so that a misbehaving caller's claim does not stay for good.
const DEADLINE_LIMIT: TimeSpan = TimeSpan::from_secs(3600);
/// The expired claims that one command drops at most, so that no single command takes long.
const DROPPED_PER_COMMAND: usize = 64;

/// One claimed request key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRecord {
    /// The entry that claimed the key.
    pub entry: VmNumber,
    /// Its claim.
    pub claim: ClaimId,
    /// How the request ended, once it has.
    pub outcome: Option<ClaimOutcome>,
    /// When the claim is dropped.
    pub expires: StateTime,
}

/// All claims, with an index by the time at which they are dropped.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct ClaimTable {
    records: BTreeMap<RequestKey, ClaimRecord>,
    #[serde(skip)]
    expiries: BTreeSet<(StateTime, RequestKey)>,
}

/// Commands.
impl ClaimTable {
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
                // A resent command of a claim that its entry has given up must not take the key again.
                Some(ClaimOutcome::NotRun) if !is_same => self.remove(key),
                outcome => return Ok(ControlReply::ClaimHeld { entry: record.entry, claim: record.claim, outcome }),
            }
        }
        if self.records.len() >= CLAIM_LIMIT {
            return Err(CommandRefusal::TooManyClaims { limit: CLAIM_LIMIT });
        }
        let expires = now.saturating_add(deadline.min(DEADLINE_LIMIT).as_duration() + KEPT_AFTER_DEADLINE);
        self.expiries.insert((expires, key.clone()));
        self.records.insert(key.clone(), ClaimRecord { entry, claim, outcome: None, expires });
        Ok(ControlReply::ClaimGranted)
    }

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

    /// Drops expired claims and returns their keys.
    pub(crate) fn expire(&mut self, now: StateTime) -> Vec<RequestKey> {
        let mut dropped = Vec::new();
        while dropped.len() < DROPPED_PER_COMMAND
            && let Some((expires, _)) = self.expiries.first()
            && *expires <= now
            && let Some((_, key)) = self.expiries.pop_first()
        {
            self.records.remove(&key);
            dropped.push(key);
        }
        dropped
    }

    fn remove(&mut self, key: &RequestKey) {
        if let Some(record) = self.records.remove(key) {
            self.expiries.remove(&(record.expires, key.clone()));
        }
    }

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

    pub(crate) fn is_consistent(&self) -> bool {
        self.records.len() == self.expiries.len()
            && self.records.len() <= CLAIM_LIMIT
            && self.expiries.iter().all(|(expires, key)| self.records.get(key).is_some_and(|it| it.expires == *expires))
    }
}
