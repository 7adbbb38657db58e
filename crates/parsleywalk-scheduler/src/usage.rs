//! Learned sizes and run times of services.

use std::time::Duration;

use parsleywalk_units::{MemoryBytes, MilliCores, ResourceSize};

/// Samples before an estimate is used.
const ENOUGH: u32 = 5;
/// Steps towards larger and smaller samples. Memory follows its peaks closely, since too little of it ends the task;
/// processors follow the upper quarter, since a shortage of them only slows it.
const MEMORY_STEPS: (f64, f64) = (0.1, 0.02);
const CORE_STEPS: (f64, f64) = (0.06, 0.02);
const TIME_STEP: f64 = 0.2;
/// Estimates are rounded up to this grain, so that small changes do not change the committed size.
const MEMORY_GRAIN: u64 = 64_000_000;

#[derive(Debug, Clone, Copy, Default)]
struct ServiceUsage {
    samples: u32,
    /// Used over declared.
    cores: f64,
    memory: f64,
    runs: u32,
    /// Actual over declared run time, or seconds where none is declared.
    time: f64,
    deviation: f64,
}

/// What each service's tasks use and how long they run, relative to what is declared.
#[derive(Debug, Clone, Default)]
pub(crate) struct UsageEstimate {
    services: Vec<ServiceUsage>,
}

fn step(value: &mut f64, sample: f64, steps: (f64, f64)) {
    *value += (sample - *value) * if sample > *value { steps.0 } else { steps.1 };
}

impl UsageEstimate {
    fn service(&mut self, service: u32) -> &mut ServiceUsage {
        let place = service as usize;
        if self.services.len() <= place {
            self.services.resize(place + 1, ServiceUsage::default());
        }
        &mut self.services[place]
    }

    #[expect(clippy::cast_precision_loss, reason = "a ratio needs no more precision")]
    pub(crate) fn learn(&mut self, service: u32, declared: &ResourceSize, cores: MilliCores, memory: MemoryBytes) {
        let usage = self.service(service);
        if declared.cores.get() > 0 {
            step(&mut usage.cores, f64::from(cores.get()) / f64::from(declared.cores.get()), CORE_STEPS);
        }
        if declared.memory.get() > 0 {
            step(&mut usage.memory, memory.get() as f64 / declared.memory.get() as f64, MEMORY_STEPS);
        }
        usage.samples = usage.samples.saturating_add(1);
    }

    pub(crate) fn learn_run(&mut self, service: u32, declared: Option<Duration>, actual: Duration) {
        let sample = actual.as_secs_f64() / base_seconds(declared);
        let usage = self.service(service);
        if usage.runs == 0 {
            usage.time = sample;
            usage.deviation = sample * 0.5;
        } else {
            usage.deviation += ((sample - usage.time).abs() - usage.deviation) * TIME_STEP;
            usage.time += (sample - usage.time) * TIME_STEP;
        }
        usage.runs = usage.runs.saturating_add(1);
    }

    /// The processors that a task of the service is expected to use, which may be less than declared.
    #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "rounded")]
    pub(crate) fn cores(&self, service: u32, declared: &ResourceSize) -> MilliCores {
        let usage = self.services.get(service as usize).filter(|usage| usage.samples >= ENOUGH);
        let ratio = usage.map_or(0.0, |usage| usage.cores);
        MilliCores::new((f64::from(declared.cores.get()) * ratio) as u32)
    }

    /// The size to commit for a task of the service: never less than declared, and more memory where that is used.
    /// Processors are not raised: what one task uses beyond its size may be what another leaves, and the expected use of
    /// all tasks on a worker is kept within its capacity instead.
    #[expect(clippy::cast_precision_loss, clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "rounded")]
    pub(crate) fn size(&self, service: u32, declared: &ResourceSize) -> ResourceSize {
        let Some(usage) = self.services.get(service as usize).filter(|usage| usage.samples >= ENOUGH) else {
            return *declared;
        };
        let memory = (declared.memory.get() as f64 * usage.memory) as u64;
        let estimate =
            ResourceSize::new(declared.cores, MemoryBytes::new(memory.div_ceil(MEMORY_GRAIN) * MEMORY_GRAIN));
        declared.componentwise_max(&estimate)
    }

    /// How long a whole run takes, on the long side; the declared time where nothing has been learned.
    pub(crate) fn run_time(&self, service: u32, declared: Option<Duration>) -> Option<Duration> {
        match self.services.get(service as usize).filter(|usage| usage.runs >= 3) {
            Some(usage) => {
                Some(Duration::from_secs_f64(base_seconds(declared) * (usage.time + usage.deviation).clamp(0.0, 1e6)))
            }
            None => declared,
        }
    }
}

fn base_seconds(declared: Option<Duration>) -> f64 {
    declared.map(|declared| declared.as_secs_f64()).filter(|seconds| *seconds > 0.0).unwrap_or(1.0)
}
