//! Numeric identifiers and counts.

/// Defines an identifier or a count as a newtype over an unsigned integer.
///
/// The type has `ZERO`, `new`, `get`, `next` and `previous`. Its `Display` and `FromStr` use the decimal number. The
/// package that uses the macro needs `serde` with its derive macros.
///
/// ```
/// parsleywalk_units::number_type! {
///     /// The position of a page.
///     PageNumber(u32)
/// }
///
/// let page: PageNumber = "7".parse()?;
/// assert_eq!(page.next().to_string(), "8");
/// assert_eq!(PageNumber::ZERO.previous(), PageNumber::new(0));
/// # Ok::<(), parsleywalk_units::UnitError>(())
/// ```
#[macro_export]
macro_rules! number_type {
    ($(#[$doc:meta])* $name:ident($inner:ty)) => {
        $(#[$doc])*
        ///
        /// The text is the decimal number.
        #[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
        #[derive(serde::Serialize, serde::Deserialize)]
        #[serde(transparent)]
        pub struct $name($inner);

        impl $name {
            /// Zero.
            pub const ZERO: Self = Self(0);

            /// Wraps a number.
            #[must_use]
            pub const fn new(value: $inner) -> Self {
                Self(value)
            }

            /// Returns the number.
            #[must_use]
            pub const fn get(self) -> $inner {
                self.0
            }

            /// Returns the next number, saturating at the largest one.
            #[must_use]
            pub const fn next(self) -> Self {
                Self(self.0.saturating_add(1))
            }

            /// Returns the previous number, saturating at zero.
            #[must_use]
            pub const fn previous(self) -> Self {
                Self(self.0.saturating_sub(1))
            }
        }

        impl std::fmt::Display for $name {
            fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                std::fmt::Display::fmt(&self.0, formatter)
            }
        }

        impl std::str::FromStr for $name {
            type Err = $crate::UnitError;

            fn from_str(text: &str) -> $crate::Result<Self> {
                text.parse()
                    .map(Self)
                    .map_err(|_| $crate::UnitError::invalid(stringify!($name), text, "a decimal number in range"))
            }
        }
    };
}

number_type! {
    /// The number of a VM, unique within a deployment. A deployment that discovers its daemons uses the bits of the
    /// VM's IPv4 address.
    VmNumber(u32)
}
number_type! {
    /// Distinguishes successive incarnations of a VM, worker or endpoint. A larger number is newer.
    Incarnation(u64)
}
number_type! {
    /// The id of a task, assigned by the replicated state.
    TaskId(u64)
}
number_type! {
    /// The number of an attempt of a task, counted from 1.
    AttemptNumber(u32)
}
number_type! {
    /// The version of the operators' configuration. The first accepted configuration has version 1.
    ConfigurationVersion(u64)
}
number_type! {
    /// The id of an entry daemon's claim on a request key, unique across entry daemons and their restarts.
    ClaimId(u64)
}
number_type! {
    /// The id of a request, unique within one entry daemon.
    RequestId(u64)
}
number_type! {
    /// The id of a dispatch, which is one attempt to send a request to an endpoint. Unique within one entry daemon.
    DispatchId(u64)
}
number_type! {
    /// A number of accelerators.
    AcceleratorCount(u16)
}
