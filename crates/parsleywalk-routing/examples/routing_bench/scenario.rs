//! The scenarios of the benchmark.

/// A load and a fault in one zone. Times are in microseconds.
#[derive(Debug, Clone)]
pub(crate) struct Scenario {
    pub name: &'static str,
    pub entries: u32,
    pub endpoints: usize,
    pub slots: u32,
    /// The mean service time of an endpoint with a factor of 1.
    pub service_time: f64,
    /// The rate of regular callers' requests as a multiple of the capacity of the slots.
    pub load: f64,
    /// The rate of one misbehaving caller's requests, including resends, as a multiple of the capacity.
    pub misbehaving_load: f64,
    /// The share of repeatable requests.
    pub repeatable: f64,
    pub fault_at: u64,
    pub fault_end: u64,
    /// The share of dispatches that fail during the fault.
    pub failure_share: f64,
    /// The share of requests that fail at every endpoint, after their full service time.
    pub poison_share: f64,
    /// The number of endpoints that stop responding when the fault starts.
    pub unresponsive_endpoints: usize,
    /// The index of the endpoint that resets each connection immediately once the fault has started.
    pub dead_endpoint: usize,
    /// The number of endpoints that start cold at `late_at`.
    pub late_endpoints: usize,
    pub late_at: u64,
    /// The time for which an endpoint that starts late is cold.
    pub cold: u64,
    pub warm_up: u64,
    pub end: u64,
}

impl Default for Scenario {
    fn default() -> Self {
        Self {
            name: "steady",
            entries: 3,
            endpoints: 17,
            slots: 8,
            service_time: 20_000.0,
            load: 0.9,
            misbehaving_load: 0.0,
            repeatable: 0.5,
            fault_at: u64::MAX,
            fault_end: u64::MAX,
            failure_share: 0.0,
            poison_share: 0.0,
            unresponsive_endpoints: 0,
            dead_endpoint: usize::MAX,
            late_endpoints: 0,
            late_at: 0,
            cold: 0,
            warm_up: 3_000_000,
            end: 13_000_000,
        }
    }
}

impl Scenario {
    pub(crate) fn slots_f64(&self) -> f64 {
        f64::from(self.slots)
    }
}
