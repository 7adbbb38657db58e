//! Identifiers, sizes and times shared by all packages of parsleywalk.
//!
//! Most types are small opaque newtypes whose [`Display`](std::fmt::Display) text parses back to the same value with
//! [`FromStr`](std::str::FromStr). [`MilliCores`], [`MemoryBytes`] and [`TimeSpan`] serialize as that text in
//! human-readable formats (JSON, YAML) and as a number in binary formats. The other newtypes serialize as their number
//! or string in all formats.
//!
//! ```
//! use parsleywalk_units::{MemoryBytes, MilliCores, ResourceSize};
//!
//! let size = ResourceSize::new("2.5".parse()?, "16GB".parse()?);
//! assert_eq!(size.cores, MilliCores::new(2500));
//! assert_eq!(size.memory, MemoryBytes::new(16_000_000_000));
//! assert!(size.fits_within(&ResourceSize::new(MilliCores::new(4000), MemoryBytes::new(64_000_000_000))));
//! # Ok::<(), parsleywalk_units::UnitError>(())
//! ```
//!
//! - Names: [`ZoneName`], [`RackName`], [`TeamName`], [`WorkspaceName`], [`ServiceName`], [`WorkerId`], [`EndpointId`], [`CallerName`],
//!   [`IdempotencyKey`], [`OperationId`].
//! - Numbers: [`VmNumber`], [`Incarnation`], [`TaskId`], [`AttemptNumber`], [`ConfigurationVersion`], [`ClaimId`],
//!   [`RequestId`], [`DispatchId`].
//! - Keys: [`JobKey`], [`RequestKey`].
//! - Sizes: [`MilliCores`], [`MemoryBytes`], [`AcceleratorCount`], [`ResourceSize`].
//! - Times: [`MonotonicTime`], [`StateTime`], [`TimeSpan`].
//! - Enumerations: [`TaskClass`], [`ZoneDirection`], [`ThrottleLevel`], [`ClaimOutcome`].

mod class;
mod error;
mod key;
mod memory;
mod millicores;
mod monotonic;
mod name;
mod number;
mod size;
mod span;
mod state_time;

pub use class::{ClaimOutcome, TaskClass, ThrottleLevel, ZoneDirection};
pub use error::{Result, UnitError};
pub use key::{JobKey, RequestKey};
pub use memory::MemoryBytes;
pub use millicores::MilliCores;
pub use monotonic::MonotonicTime;
pub use name::{
    CallerName, EndpointId, IdempotencyKey, OperationId, RackName, ServiceName, TeamName, WorkerId, WorkspaceName,
    ZoneName,
};
pub use number::{
    AcceleratorCount, AttemptNumber, ClaimId, ConfigurationVersion, DispatchId, Incarnation, RequestId, TaskId,
    VmNumber,
};
pub use size::ResourceSize;
pub use span::TimeSpan;
pub use state_time::StateTime;
