//! Small numbers that the state assigns, so that commands and records stay compact.

use std::fmt::{self, Display, Formatter};
use std::str::FromStr;

use parsleywalk_units::UnitError;
use serde::{Deserialize, Serialize};

macro_rules! assigned_number {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(u32);

        impl $name {
            /// Wraps a number.
            #[must_use]
            pub const fn new(value: u32) -> Self {
                Self(value)
            }

            /// Returns the number.
            #[must_use]
            pub const fn get(self) -> u32 {
                self.0
            }
        }

        impl Display for $name {
            fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
                Display::fmt(&self.0, formatter)
            }
        }

        impl FromStr for $name {
            type Err = UnitError;

            fn from_str(text: &str) -> Result<Self, UnitError> {
                text.parse().map(Self).map_err(|_| UnitError::Invalid {
                    unit: stringify!($name),
                    text: text.chars().take(64).collect(),
                    expected: "a decimal number below 2^32",
                })
            }
        }
    };
}

assigned_number! {
    /// One registration of a worker: a worker id together with an incarnation.
    ///
    /// Every registration gets a number of its own and no number is used twice, so a command that names an earlier
    /// registration is recognized without carrying the id and the incarnation.
    WorkerNumber
}

assigned_number! {
    /// The position of a job in the order of submissions.
    JobNumber
}
