//! Enumerations shared by several packages.

use std::fmt::{self, Display, Formatter};
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::{Result, UnitError};

macro_rules! text_enum {
    ($(#[$doc:meta])* $name:ident { $($(#[$variant_doc:meta])* $variant:ident = $text:literal),+ $(,)? }) => {
        $(#[$doc])*
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        pub enum $name {
            $($(#[$variant_doc])* #[serde(rename = $text)] $variant,)+
        }

        impl Display for $name {
            fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
                formatter.pad(match self { $(Self::$variant => $text,)+ })
            }
        }

        impl FromStr for $name {
            type Err = UnitError;

            fn from_str(text: &str) -> Result<Self> {
                match text {
                    $($text => Ok(Self::$variant),)+
                    _ => Err(UnitError::invalid(stringify!($name), text, concat!("one of", $(" ", $text),+))),
                }
            }
        }
    };
}

text_enum! {
    /// The class of a service's tasks, which determines their performance objective.
    TaskClass {
        /// Tasks with a tail-latency objective, kept at a number of instances.
        LatencyCritical = "latency-critical",
        /// Tasks that run to completion and are measured by throughput.
        Batch = "batch",
    }
}

text_enum! {
    /// The direction in which an operator changes the service state of an availability zone.
    ZoneDirection {
        /// Takes the zone out of service.
        Out = "out",
        /// Puts the zone back in service.
        In = "in",
    }
}

text_enum! {
    /// How much a task's processor time is throttled to reduce interference with other tasks on its worker.
    ThrottleLevel {
        /// Not throttled.
        None = "none",
        /// Throttled to about half of its cores.
        Light = "light",
        /// Throttled to about an eighth of its cores.
        Hard = "hard",
    }
}

text_enum! {
    /// The outcome of a claimed request.
    ClaimOutcome {
        /// The request did not run. Its key may be claimed again.
        NotRun = "not_run",
        /// The request ran and its response arrived completely.
        Done = "done",
        /// The request may have run.
        Unknown = "unknown",
    }
}
