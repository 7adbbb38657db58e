//! Stand-ins for endpoints and workers.
