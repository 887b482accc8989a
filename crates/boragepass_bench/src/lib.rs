//! Benchmarks: cost of a decision and of a request, growth of cost with fleet size, and routing policies under faults.
//!
//! Results depend on the machine, so no test compares them. The binary exits with a failure when a target of
//! [`measure_slopes`] is exceeded or [`measure_platform`] finds a violated guarantee.

mod agreement;
mod attainment;
mod baseline;
mod decisions;
mod path;
mod platform;
mod process;
mod slopes;
mod times;

pub use agreement::{AgreementFigures, ClaimFigures, measure_agreement};
pub use attainment::{AttainmentFigures, measure_attainment};
pub use decisions::{DecisionFigures, measure_decisions};
pub use path::{PathFigures, measure_path};
pub use platform::{KindFigures, PlatformFigures, PlatformLoad, measure_platform};
pub use process::heap_bytes;
pub use slopes::{Slope, SlopeFigures, measure_slopes};
