//! A leader-based replicated log as a pure state machine.
