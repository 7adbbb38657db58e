//! Closed sets that several packages share.

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
    /// What a service's tasks are judged by.
    TaskClass {
        /// Judged by tail latency; kept at a number of instances.
        LatencyCritical = "latency-critical",
        /// Judged by throughput; runs to completion.
        Batch = "batch",
    }
}

text_enum! {
    /// Which way an operator moves an availability zone.
    ZoneDirection {
        /// Out of service.
        Out = "out",
        /// Back into service.
        In = "in",
    }
}

text_enum! {
    /// How strongly a task is slowed to protect its neighbours.
    ThrottleLevel {
        /// Not slowed.
        None = "none",
        /// Slowed to about half of its processors.
        Light = "light",
        /// Slowed to about an eighth of its processors.
        Hard = "hard",
    }
}

text_enum! {
    /// How a claimed request ended.
    ClaimOutcome {
        /// The request never ran; its key may be claimed again.
        NotRun = "not_run",
        /// The request ran and its answer arrived whole.
        Done = "done",
        /// The request may have run.
        Unknown = "unknown",
    }
}
