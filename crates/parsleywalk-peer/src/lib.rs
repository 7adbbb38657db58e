//! Streams of messages between daemons.
