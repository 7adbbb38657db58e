//! The order in which a scheduling cycle serves the waiting steps.
//!
//! Without workspaces, steps are served by priority and urgency. With workspaces, they are divided into bands by priority
//! and by whether their jobs are still useful and within the rate of their workspace. Within a band, the workspace with
//! the lowest weighted dominant share is next, and within a workspace the order is by urgency.
//!
//! A workspace at its limit costs a cycle one look: a step that has to wait for the limit holds back all steps of the
//! workspace that need the same resources. Smaller steps that overtook it would otherwise hold it back for ever. Only a
//! step for which the workspace's long-running tasks leave no room is skipped, because it may have to wait for long.

use crate::account_cycle::AccountCycle;
use crate::ready_step::ReadyStep;
use crate::shared_order::SharedOrder;
use crate::{BatchState, RunPlacement};

/// A step that gets capacity now.
#[derive(Debug, Clone, Copy)]
pub(crate) struct StepTurn {
    pub(crate) step: ReadyStep,
    /// The index of the first task to try; above 0 if the step has had a turn in this cycle.
    pub(crate) first_index: u32,
    /// The number of tasks that may be placed in this turn. A gang gets no turn in which not all may be placed.
    pub(crate) max_tasks: usize,
}

/// The waiting steps of a scheduling cycle in the order in which they are served.
pub(crate) enum StepOrder<'a> {
    /// Without workspaces.
    Plain(std::vec::IntoIter<ReadyStep>),
    /// With workspaces.
    Shared(Box<SharedOrder<'a>>),
}

impl StepOrder<'_> {
    /// Returns the next step.
    pub(crate) fn next_turn(&mut self, state: &BatchState) -> Option<StepTurn> {
        match self {
            Self::Plain(steps) => steps.next().map(|step| StepTurn { step, first_index: 0, max_tasks: usize::MAX }),
            Self::Shared(order) => order.next_turn(state),
        }
    }

    /// Records what has been placed in the last turn.
    pub(crate) fn record_placed(&mut self, placements: &[RunPlacement]) {
        if let Self::Shared(order) = self {
            order.record_placed(placements);
        }
    }

    /// Ends the cycle and returns the results by account; none without workspaces.
    pub(crate) fn into_cycles(self) -> Vec<AccountCycle> {
        match self {
            Self::Plain(_) => Vec::new(),
            Self::Shared(order) => order.into_cycles(),
        }
    }
}
