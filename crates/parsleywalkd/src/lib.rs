//! The parsleywalk daemon.
