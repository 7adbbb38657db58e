//! Numeric identifiers and counts.

/// Defines an identifier or a count as a newtype over an unsigned integer.
///
/// The type wraps and returns its number by `new` and `get`, has `ZERO`, `next` and `previous`, and its `Display` and
/// `FromStr` are the decimal number. The using package needs `serde` with its derive macros.
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

            /// Returns the next number, saturating at the largest.
            #[must_use]
            pub const fn next(self) -> Self {
                Self(self.0.saturating_add(1))
            }

            /// Returns the previous number, stopping at zero.
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
    /// The number of a VM of the system, unique within a deployment. A deployment that discovers its daemons uses the
    /// bits of the VM's IPv4 address.
    VmNumber(u32)
}
number_type! {
    /// Distinguishes the lives of one VM, worker or endpoint; a larger one is newer.
    Incarnation(u64)
}
number_type! {
    /// The identity of a task, assigned by the replicated state.
    TaskId(u64)
}
number_type! {
    /// Counts the attempts of one task from 1.
    AttemptNumber(u32)
}
number_type! {
    /// The version of the operators' configuration; the first accepted one is 1.
    ConfigurationVersion(u64)
}
number_type! {
    /// The identity of an entry's claim on a request key, unique across entries and their restarts.
    ClaimId(u64)
}
number_type! {
    /// The identity of a request at one entry.
    RequestId(u64)
}
number_type! {
    /// The identity of one attempt to send a request to an endpoint, at one entry.
    DispatchId(u64)
}
number_type! {
    /// A number of accelerators.
    AcceleratorCount(u16)
}
