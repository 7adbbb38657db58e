//! A claim service that follows the rules of the replicated state.

use std::collections::BTreeMap;

use parsleywalk_routing::{ClaimDecision, ClaimState};
use parsleywalk_units::{ClaimId, ClaimOutcome, RequestKey, VmNumber};

#[derive(Debug, Default)]
pub struct ModelClaims {
    claims: BTreeMap<RequestKey, (ClaimId, u32, ClaimState)>,
}

impl ModelClaims {
    pub fn claim(&mut self, key: &RequestKey, entry: u32, claim: ClaimId) -> ClaimDecision {
        let record = self.claims.entry(key.clone()).or_insert((claim, entry, ClaimState::InProgress));
        if *record == (claim, entry, ClaimState::InProgress) {
            return ClaimDecision::Granted;
        }
        ClaimDecision::HeldBy { entry: VmNumber::new(record.1), state: record.2 }
    }

    pub fn settle(&mut self, key: &RequestKey, claim: ClaimId, outcome: ClaimOutcome) {
        let Some(record) = self.claims.get_mut(key).filter(|record| record.0 == claim) else { return };
        match outcome {
            ClaimOutcome::NotRun => {
                self.claims.remove(key);
            }
            ClaimOutcome::Done => record.2 = ClaimState::Done,
            ClaimOutcome::Unknown => record.2 = ClaimState::Unknown,
        }
    }

    /// Whether the entry holds the claim on the key and its request has not ended.
    pub fn is_held_by(&self, key: &RequestKey, entry: u32) -> bool {
        self.claims.get(key).is_some_and(|record| record.1 == entry && record.2 == ClaimState::InProgress)
    }
}
