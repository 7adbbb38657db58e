//! The scheduling policy: placement, fairness, guards and quarantine.
