//! Keys composed of an owner's name and an idempotency key.

use std::fmt::{self, Display, Formatter};
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::{IdempotencyKey, Result, ServiceName, TeamName, UnitError};

macro_rules! key_type {
    ($(#[$doc:meta])* $name:ident { $owner:ident: $owner_type:ty }, $unit:literal) => {
        $(#[$doc])*
        #[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        pub struct $name {
            /// The owner of the key.
            pub $owner: $owner_type,
            /// The key chosen by the caller.
            pub key: IdempotencyKey,
        }

        impl Display for $name {
            fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
                write!(formatter, "{}/{}", self.$owner, self.key)
            }
        }

        impl FromStr for $name {
            type Err = UnitError;

            fn from_str(text: &str) -> Result<Self> {
                let (owner, key) = text
                    .split_once('/')
                    .ok_or_else(|| UnitError::invalid($unit, text, concat!("<", stringify!($owner), ">/<key>")))?;
                Ok(Self { $owner: owner.parse()?, key: key.parse()? })
            }
        }
    };
}

key_type! {
    /// Identifies a job by the team that owns it and the caller's key. The text is `<team>/<key>`.
    JobKey { team: TeamName }, "job key"
}

key_type! {
    /// Identifies a request by its service and the caller's key. The text is `<service>/<key>`.
    RequestKey { service: ServiceName }, "request key"
}
