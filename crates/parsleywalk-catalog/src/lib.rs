//! Parser and validator of the operators' YAML configuration.
//!
//! [`Catalog::parse`] parses a text and returns every error that it finds, each with its line and field.
//!
//! ```
//! use parsleywalk_catalog::Catalog;
//! use parsleywalk_units::TaskClass;
//!
//! let text = "
//! version: 1
//! teams:
//!   - { name: planning, weight: 2 }
//! services:
//!   - name: marker-planning
//!     class: latency-critical
//!     team: planning
//!     size: { cores: 4, memory: 16GB }
//!     instances: 50
//!     slots: 8
//!     deadline: 2s
//!     depends_on: [terrain-store]
//!   - name: terrain-store
//!     class: batch
//!     team: planning
//!     size: { cores: 2, memory: 8GB }
//! ";
//! let catalog = Catalog::parse(text)?;
//! let names: Vec<_> = catalog.start_order().iter().map(|service| service.name.as_str()).collect();
//! assert_eq!(names, ["terrain-store", "marker-planning"]);
//! assert_eq!(catalog.effective_class(&"terrain-store".parse()?), Some(TaskClass::LatencyCritical));
//!
//! let errors = Catalog::parse(&text.replace("[terrain-store]", "[terrain]")).unwrap_err();
//! assert_eq!(errors.to_string(), "line 13: services[marker-planning].depends_on: unknown service \"terrain\"");
//! # Ok::<(), Box<dyn std::error::Error>>(())
//! ```
//!
//! # Keys
//!
//! | key | required | permitted |
//! | --- | --- | --- |
//! | `version` | yes | from 1 |
//! | `objective.batch_throughput`, `objective.service_latency` | no, 0.5 each | 0 to 1000, not both 0 |
//! | `teams[].name`, `teams[].weight` | yes | weight 1 to 1000 |
//! | `teams[].quota` | no, unlimited | `cores` and `memory` required, `accelerators` 0 if absent |
//! | `services[].name`, `class`, `team`, `size` | yes | size up to 1024 cores, 16TB, 64 accelerators |
//! | `services[].instances` | for latency-critical | 1 to 10000; 0 or absent for batch |
//! | `services[].slots` | for latency-critical | 1 to 65535; 1 if absent for batch |
//! | `services[].connections` | no, 64 | 1 to 65535 |
//! | `services[].repeatable` | no, `false` | `true` or `false` |
//! | `services[].deadline` | for latency-critical | 1ms to 1d; 30s if absent for batch |
//! | `services[].depends_on` | no | names of services, without cycles |
//! | `services[].run_time` | no | batch only; 1ms to 30d |
//! | `services[].urgent` | no, `false` | `true` for batch only |

mod catalog;
mod check;
mod draft;
mod entry;
mod error;
mod field_reader;
mod graph;
mod node;
mod parse;

pub use catalog::Catalog;
pub use entry::{ObjectiveWeights, ServiceEntry, TeamEntry};
pub use error::{CatalogError, CatalogErrors, Result};
