//! A model of callers, endpoints, the claim service and the network around several routers, with an oracle.
//!
//! Messages are delivered in any order, lost, or delivered twice. The oracle checks each action of a router when it is
//! applied.

#![allow(dead_code, unreachable_pub, reason = "each test file uses a part of the model")]

mod actions;
mod claims;
mod network;
mod oracle;
mod world;

pub use oracle::Oracle;
pub use world::World;

/// One step of the model. `pick` and `value` select among the possibilities in the current state.
#[derive(Debug, Clone, Copy)]
pub struct Step {
    pub kind: StepKind,
    pub pick: u32,
    pub value: u32,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StepKind {
    Submit,
    Resend,
    ReuseKey,
    Abandon,
    Deliver,
    Lose,
    DeliverTwice,
    Announce,
    Leave,
    Restart,
    SetMode,
    Advance,
    Drain,
    Crash,
    Reconfigure,
}

/// The kinds of steps with their weights.
pub const WEIGHTS: [(u32, StepKind); 15] = [
    (90, StepKind::Submit),
    (36, StepKind::Resend),
    (6, StepKind::ReuseKey),
    (15, StepKind::Abandon),
    (720, StepKind::Deliver),
    (30, StepKind::Lose),
    (24, StepKind::DeliverTwice),
    (36, StepKind::Announce),
    (6, StepKind::Leave),
    (6, StepKind::Restart),
    (9, StepKind::SetMode),
    (48, StepKind::Advance),
    (1, StepKind::Drain),
    (1, StepKind::Crash),
    (3, StepKind::Reconfigure),
];

impl Step {
    /// Creates a step from three random numbers.
    pub fn from_random(kind: u32, pick: u32, value: u32) -> Self {
        let mut rest = kind % WEIGHTS.iter().map(|(weight, _)| weight).sum::<u32>();
        for (weight, kind) in WEIGHTS {
            if rest < weight {
                return Self { kind, pick, value };
            }
            rest -= weight;
        }
        unreachable!("the remainder is below the sum of the weights")
    }
}
