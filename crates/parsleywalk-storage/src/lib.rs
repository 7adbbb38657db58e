//! Durable storage of the replicated log.
