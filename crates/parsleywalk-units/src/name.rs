//! Textual identifiers.

/// The length of the longest permitted name, in bytes.
const MAX_NAME_BYTES: usize = 128;

fn is_name(text: &str) -> bool {
    // Names are segments of URL paths, from which clients remove "." and "..".
    !matches!(text, "" | "." | "..")
        && text.len() <= MAX_NAME_BYTES
        && text.bytes().all(|byte| byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_' | b'.' | b':'))
}

macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        ///
        /// The text holds 1 to 128 ASCII letters, digits, `-`, `_`, `.` or `:`. Cloning is cheap.
        #[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(std::sync::Arc<str>);

        impl $name {
            /// Returns the text.
            #[must_use]
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl std::fmt::Display for $name {
            fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                formatter.pad(&self.0)
            }
        }

        impl std::fmt::Debug for $name {
            fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                write!(formatter, "{}({})", stringify!($name), self.0)
            }
        }

        impl std::str::FromStr for $name {
            type Err = crate::UnitError;

            fn from_str(text: &str) -> crate::Result<Self> {
                if is_name(text) {
                    Ok(Self(text.into()))
                } else {
                    Err(crate::UnitError::invalid(
                        stringify!($name),
                        text,
                        "1 to 128 ASCII letters, digits, '-', '_', '.' or ':'",
                    ))
                }
            }
        }

        impl serde::Serialize for $name {
            fn serialize<S: serde::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
                serializer.serialize_str(&self.0)
            }
        }

        impl<'de> serde::Deserialize<'de> for $name {
            fn deserialize<D: serde::Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
                let text = <std::borrow::Cow<'de, str>>::deserialize(deserializer)?;
                text.parse().map_err(serde::de::Error::custom)
            }
        }
    };
}

name_type! {
    /// The name of an availability zone.
    ZoneName
}
name_type! {
    /// The name of a rack of workers.
    RackName
}
name_type! {
    /// The name of a team that owns services and jobs.
    TeamName
}
name_type! {
    /// The name of a workspace, which owns jobs on the users' platform.
    WorkspaceName
}
name_type! {
    /// The name of a service in the operators' configuration.
    ServiceName
}
name_type! {
    /// The id of a worker, stable across restarts of its VM.
    WorkerId
}
name_type! {
    /// The id of an endpoint, stable across its restarts.
    EndpointId
}
name_type! {
    /// The name under which a caller's requests are counted against its share.
    CallerName
}
name_type! {
    /// A key chosen by a caller, by which resends of the same request or job are recognized.
    IdempotencyKey
}
name_type! {
    /// The id of an operator command, chosen by the client and repeated on resends.
    OperationId
}
