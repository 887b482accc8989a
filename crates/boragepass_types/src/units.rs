//! Newtypes for times, sizes, rates and shares.

use std::str::FromStr;

use derive_more::{Add, AddAssign, Display};

use crate::IdError;

macro_rules! units {
    ($($(#[$doc:meta])* $name:ident($inner:ty)),+ $(,)?) => {$(
        $(#[$doc])*
        #[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Display)]
        pub struct $name(pub $inner);

        impl FromStr for $name {
            type Err = IdError;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                text.parse().map(Self).map_err(|_| IdError::NotANumber)
            }
        }
    )+};
}

units! {
    /// Requests per second.
    RatePerS(u32),
    /// Thousandths of a whole.
    Permille(u16),
    /// Processing capacity of a VM in thousandths of a core.
    Millicores(u32),
    /// Priority of a plan's requests; the largest is served first.
    Priority(u8),
}

/// Rate of requests as a decimal number, stored in requests per thousand seconds.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RequestRate(pub u64);

impl RequestRate {
    /// Requests per second.
    pub fn per_s(self) -> f64 {
        self.0 as f64 / 1e3
    }
}

impl std::fmt::Display for RequestRate {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}/s", self.per_s())
    }
}

impl FromStr for RequestRate {
    type Err = IdError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text.parse::<f64>() {
            Ok(per_s) if per_s.is_finite() && per_s >= 0.0 => Ok(Self((per_s * 1e3) as u64)),
            Ok(_) | Err(_) => Err(IdError::NotARate),
        }
    }
}

/// Size in bytes.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Display, Add, AddAssign)]
pub struct Bytes(pub u64);

impl FromStr for Bytes {
    type Err = IdError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.parse().map(Self).map_err(|_| IdError::NotANumber)
    }
}

/// Duration in milliseconds.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Display, Add, AddAssign)]
#[display("{_0} ms")]
pub struct SpanMs(pub u64);

impl SpanMs {
    /// Returns `percent` hundredths of this duration, rounded down.
    pub fn percent(self, percent: u64) -> Self {
        Self(self.0 * percent / 100)
    }

    /// Subtracts `other`; zero if `other` is longer.
    pub fn saturating_sub(self, other: Self) -> Self {
        Self(self.0.saturating_sub(other.0))
    }
}

impl FromStr for SpanMs {
    type Err = IdError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.parse().map(Self).map_err(|_| IdError::NotANumber)
    }
}

/// Point in time on the process's monotonic clock, in milliseconds since an arbitrary start.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Display)]
pub struct TimeMs(pub u64);

impl TimeMs {
    /// Returns the duration since `earlier`; zero if `earlier` is later than this.
    pub fn since(self, earlier: Self) -> SpanMs {
        SpanMs(self.0.saturating_sub(earlier.0))
    }
}

impl std::ops::Add<SpanMs> for TimeMs {
    type Output = Self;

    fn add(self, span: SpanMs) -> Self {
        Self(self.0.saturating_add(span.0))
    }
}
