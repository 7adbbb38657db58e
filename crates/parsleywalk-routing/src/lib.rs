//! Routing of requests to endpoints: admission, retries and claims.
