//! Measurements: slopes of cost against size, and policies against baselines in one run.
//!
//! Nothing here is a test: figures depend on the machine and go into commits and pages by hand.

mod agreement;
mod attainment;
mod baseline;
mod decisions;
mod path;
mod platform;
mod process;
mod slopes;
mod times;

pub use agreement::{AgreementFigures, ClaimFigures, agreement};
pub use attainment::{AttainmentFigures, attainment};
pub use decisions::{DecisionFigures, decisions};
pub use path::{PathFigures, path};
pub use platform::{KindFigures, PlatformFigures, PlatformLoad, platform};
pub use process::heap_bytes;
pub use slopes::{Slope, SlopeFigures, slopes};
