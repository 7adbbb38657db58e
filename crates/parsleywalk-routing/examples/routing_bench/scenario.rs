//! What is measured.

/// One load on one zone. Times are in microseconds.
#[derive(Debug, Clone)]
pub(crate) struct Scenario {
    pub name: &'static str,
    pub entries: u32,
    pub endpoints: usize,
    pub slots: u32,
    /// The mean service time of an endpoint with factor one.
    pub service_time: f64,
    /// Arrivals of careful callers, as a multiple of what the slots can finish.
    pub load: f64,
    /// Arrivals of one misbehaving caller, resends included.
    pub misbehaving_load: f64,
    /// The share of repeatable requests.
    pub repeatable: f64,
    pub fault_at: u64,
    pub fault_end: u64,
    /// The share of dispatches that fail while the fault lasts.
    pub failures: f64,
    /// The share of requests that take their time and fail wherever they run.
    pub poison: f64,
    /// Endpoints that go silent when the fault starts.
    pub silent_endpoints: usize,
    /// The endpoint that drops every connection at once when the fault starts.
    pub dead_endpoint: usize,
    /// Endpoints that start later, cold.
    pub late_endpoints: usize,
    pub late_at: u64,
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
            failures: 0.0,
            poison: 0.0,
            silent_endpoints: 0,
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
