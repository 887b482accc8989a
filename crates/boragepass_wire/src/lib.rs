//! Wire types only: what travels between VMs in bincode, and between everybody else in JSON.
//!
//! Each wire type is plain data with serde derives. `From` makes it from a domain type, `TryFrom`
//! checks it on the way back. Nothing here decides anything.

mod error;
mod frame;
mod json;
mod lists;
mod members;
mod messages;
mod operators;
mod outcomes;
mod rows;
mod stage;
mod verdict;
mod vms;

pub use error::WireError;
pub use frame::{FRAME_BYTES_MAX, decode_message, encode_message};
pub use json::{JsonObject, parse_object};
pub use lists::{
    WireAllowlist, WireListChange, WireListEdit, WireListsSnapshot, WirePlan, allowlist_from_json, plan_from_json,
};
pub use operators::{
    WireEndpointStatus, WireFleetStatus, WireOperatorReply, WireRequestTrace, WireServiceLevel, WireStageCost,
    WireUsageReport, WireVmStatus,
};
pub use outcomes::{AddressesJson, OutcomeJson, request_from_json};
pub use rows::{
    WireExpectedVersion, WireRow, WireRowValue, WireRowWrite, WireTableReply, WireTableRequest, WireWriteId,
};
pub use stage::{LoadJson, OrderJson, StageReplyLine, StageRequestJson, WireAttemptTag};
pub use verdict::WireVerdict;
pub use vms::{VmListJson, WireVmListEntry};
