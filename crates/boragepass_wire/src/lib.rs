//! Wire types: messages between VMs in bincode, everything else (callers, operators, endpoints, table
//! service, object store, VM list) in JSON.
//!
//! A wire type is plain data with serde derives. `From` converts a domain type into it (`Plan` into
//! `WirePlan`), `TryFrom` validates it on the way back. Names of fields and variants are JSON keys and values;
//! bincode encodes fields and variants by position, so their order is part of the protocol.

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
