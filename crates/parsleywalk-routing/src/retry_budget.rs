//! The retry budget of a service.

use parsleywalk_units::MonotonicTime;

/// The number of buckets, one for each second of the last 10.
const BUCKET_COUNT: usize = 10;
/// The time that one bucket covers.
const BUCKET_MICROS: u64 = 1_000_000;

/// Limits the retries of the last 10 s to a share of the requests in that time, plus a minimum.
#[derive(Debug, Clone, Default)]
pub struct RetryBudget {
    /// The numbers of requests and retries in each bucket.
    buckets: [(u32, u32); BUCKET_COUNT],
    newest_bucket: u64,
    requests: u32,
    retries: u32,
}

impl RetryBudget {
    /// Records a new request.
    pub fn record_request(&mut self, now: MonotonicTime) {
        self.advance(now);
        self.buckets[bucket_index(self.newest_bucket)].0 += 1;
        self.requests += 1;
    }

    /// Takes a retry from the budget. Returns false if the budget is exhausted.
    ///
    /// In 10 s, `ratio` times the number of requests, plus `minimum` retries are permitted.
    pub fn try_retry(&mut self, now: MonotonicTime, ratio: f64, minimum: u32) -> bool {
        self.advance(now);
        if f64::from(self.retries) + 1.0 > f64::from(self.requests) * ratio + f64::from(minimum) {
            return false;
        }
        self.record_retry(now);
        true
    }

    /// Records a retry without checking the budget.
    pub fn record_retry(&mut self, now: MonotonicTime) {
        self.advance(now);
        self.buckets[bucket_index(self.newest_bucket)].1 += 1;
        self.retries += 1;
    }

    fn advance(&mut self, now: MonotonicTime) {
        let bucket = now.as_micros() / BUCKET_MICROS;
        while self.newest_bucket < bucket {
            if bucket - self.newest_bucket > BUCKET_COUNT as u64 {
                *self = Self { newest_bucket: bucket, ..Self::default() };
                return;
            }
            self.newest_bucket += 1;
            let (requests, retries) = std::mem::take(&mut self.buckets[bucket_index(self.newest_bucket)]);
            self.requests -= requests;
            self.retries -= retries;
        }
    }
}

impl RetryBudget {
    /// Returns the numbers of requests and retries in the 10 s before the last call that recorded or took one.
    #[must_use]
    pub fn totals(&self) -> (u32, u32) {
        (self.requests, self.retries)
    }
}

fn bucket_index(bucket: u64) -> usize {
    usize::try_from(bucket % BUCKET_COUNT as u64).unwrap_or(0)
}
