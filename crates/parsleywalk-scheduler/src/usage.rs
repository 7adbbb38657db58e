//! Estimates of the resource usage and run times of services.

use std::time::Duration;

use parsleywalk_units::{MemoryBytes, MilliCores, ResourceSize};

/// Number of samples before an estimate is used.
const MIN_SAMPLES: u32 = 5;
/// Rates at which the memory estimate follows larger and smaller samples. It follows the peaks closely, because a task
/// that runs out of memory is killed.
const MEMORY_RATES: (f64, f64) = (0.1, 0.02);
/// Rates at which the processor estimate follows larger and smaller samples. It follows the upper quartile, because a
/// shortage of processors only slows a task.
const CORE_RATES: (f64, f64) = (0.06, 0.02);
/// Rate at which the run time estimate follows samples.
const RUN_TIME_RATE: f64 = 0.2;
/// Memory estimates in bytes are rounded up to a multiple of this, so that small changes do not change the allocated
/// size.
const MEMORY_STEP_BYTES: u64 = 64_000_000;

/// Usage estimate of one service.
#[derive(Debug, Clone, Copy, Default)]
struct ServiceUsage {
    samples: u32,
    /// Used over declared processors.
    core_ratio: f64,
    /// Used over declared memory.
    memory_ratio: f64,
    runs: u32,
    /// Actual over declared run time, or seconds if no run time is declared.
    run_time_ratio: f64,
    /// Mean absolute deviation of `run_time_ratio`.
    run_time_deviation: f64,
}

/// Estimates the resource usage and run times of each service relative to the declared values.
#[derive(Debug, Clone, Default)]
pub(crate) struct UsageEstimate {
    services: Vec<ServiceUsage>,
}

/// Moves a value towards a sample, by the first rate if the sample is larger and by the second rate otherwise.
fn move_towards(value: &mut f64, sample: f64, rates: (f64, f64)) {
    *value += (sample - *value) * if sample > *value { rates.0 } else { rates.1 };
}

impl UsageEstimate {
    fn service(&mut self, service: u32) -> &mut ServiceUsage {
        let index = service as usize;
        if self.services.len() <= index {
            self.services.resize(index + 1, ServiceUsage::default());
        }
        &mut self.services[index]
    }

    /// Records the measured usage of a task.
    #[expect(clippy::cast_precision_loss, reason = "a ratio needs no more precision")]
    pub(crate) fn record(&mut self, service: u32, declared: &ResourceSize, cores: MilliCores, memory: MemoryBytes) {
        let usage = self.service(service);
        if declared.cores.get() > 0 {
            move_towards(&mut usage.core_ratio, f64::from(cores.get()) / f64::from(declared.cores.get()), CORE_RATES);
        }
        if declared.memory.get() > 0 {
            move_towards(&mut usage.memory_ratio, memory.get() as f64 / declared.memory.get() as f64, MEMORY_RATES);
        }
        usage.samples = usage.samples.saturating_add(1);
    }

    /// Records the run time of a completed task.
    pub(crate) fn record_run(&mut self, service: u32, declared: Option<Duration>, actual: Duration) {
        let sample = actual.as_secs_f64() / reference_seconds(declared);
        let usage = self.service(service);
        if usage.runs == 0 {
            usage.run_time_ratio = sample;
            usage.run_time_deviation = sample * 0.5;
        } else {
            usage.run_time_deviation +=
                ((sample - usage.run_time_ratio).abs() - usage.run_time_deviation) * RUN_TIME_RATE;
            usage.run_time_ratio += (sample - usage.run_time_ratio) * RUN_TIME_RATE;
        }
        usage.runs = usage.runs.saturating_add(1);
    }

    /// Returns the processors that a task of the service is expected to use, which may be less than declared.
    #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "rounded")]
    pub(crate) fn cores(&self, service: u32, declared: &ResourceSize) -> MilliCores {
        let usage = self.services.get(service as usize).filter(|usage| usage.samples >= MIN_SAMPLES);
        let ratio = usage.map_or(0.0, |usage| usage.core_ratio);
        MilliCores::new((f64::from(declared.cores.get()) * ratio) as u32)
    }

    /// Returns the size to allocate for a task of the service: the declared size, with more memory if its tasks use
    /// more.
    ///
    /// Processors are not raised, because a task may use processors that other tasks leave idle. The expected usage of
    /// all tasks on a worker is kept within its capacity instead.
    #[expect(clippy::cast_precision_loss, clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "rounded")]
    pub(crate) fn size(&self, service: u32, declared: &ResourceSize) -> ResourceSize {
        let Some(usage) = self.services.get(service as usize).filter(|usage| usage.samples >= MIN_SAMPLES) else {
            return *declared;
        };
        let memory = (declared.memory.get() as f64 * usage.memory_ratio) as u64;
        let estimate =
            ResourceSize::new(declared.cores, MemoryBytes::new(memory.div_ceil(MEMORY_STEP_BYTES) * MEMORY_STEP_BYTES));
        declared.componentwise_max(&estimate)
    }

    /// Returns a conservative estimate of a whole run, or the declared run time before there are enough samples.
    pub(crate) fn run_time(&self, service: u32, declared: Option<Duration>) -> Option<Duration> {
        match self.services.get(service as usize).filter(|usage| usage.runs >= 3) {
            Some(usage) => Some(Duration::from_secs_f64(
                reference_seconds(declared) * (usage.run_time_ratio + usage.run_time_deviation).clamp(0.0, 1e6),
            )),
            None => declared,
        }
    }
}

/// Returns the seconds to which the run time ratio refers: the declared run time, or one second.
fn reference_seconds(declared: Option<Duration>) -> f64 {
    declared.map(|declared| declared.as_secs_f64()).filter(|seconds| *seconds > 0.0).unwrap_or(1.0)
}
