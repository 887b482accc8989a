//! Stage requests and orders to endpoints, and their replies and load reports, in JSON.

use boragepass_core::{AttemptTag, CacheEvent, Dispatch, LoadReport, Order};
use boragepass_types::{AttemptId, Hash64, Incarnation, SpanMs};
use serde::{Deserialize, Serialize};

use crate::WireError;
use crate::error::{parse_field, parse_fields, to_strings};

/// Wire type of [`AttemptTag`]: identity of an attempt, which the endpoint echoes in every line.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct WireAttemptTag {
    /// VM that dispatched the attempt.
    pub vm: String,
    /// Incarnation of that VM.
    pub incarnation: u64,
    /// Request.
    pub request: String,
    /// Stage.
    pub stage: String,
    /// Number of the attempt.
    pub attempt: u64,
}

impl From<&AttemptTag> for WireAttemptTag {
    fn from(tag: &AttemptTag) -> Self {
        Self {
            vm: tag.vm.to_string(),
            incarnation: tag.incarnation.0,
            request: tag.request.to_string(),
            stage: tag.stage.to_string(),
            attempt: tag.attempt.0,
        }
    }
}

impl TryFrom<WireAttemptTag> for AttemptTag {
    type Error = WireError;

    fn try_from(wire: WireAttemptTag) -> Result<Self, Self::Error> {
        Ok(Self {
            vm: parse_field("vm", &wire.vm)?,
            incarnation: Incarnation(wire.incarnation),
            request: parse_field("request", &wire.request)?,
            stage: parse_field("stage", &wire.stage)?,
            attempt: AttemptId(wire.attempt),
        })
    }
}

/// Request to run a stage, made from a [`Dispatch`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StageRequestJson {
    /// Identity of the attempt, to be echoed.
    pub tag: WireAttemptTag,
    /// Kind of stage.
    pub kind: String,
    /// Model to use.
    pub model: Option<String>,
    /// Adapter to use.
    pub adapter: Option<String>,
    /// Priority in the endpoint's queue.
    pub priority: u8,
    /// Input of the stage.
    pub input: String,
    /// Stream to start or resume.
    pub stream: u64,
    /// Number of tokens that the VM has already received.
    pub resume_tokens: u32,
    /// Text of those tokens.
    pub resume_text: String,
    /// Milliseconds until the deadline.
    pub left_ms: u64,
    /// Idempotency key, for a stage that must not be repeated.
    pub idempotency_key: Option<String>,
}

impl From<&Dispatch> for StageRequestJson {
    fn from(dispatch: &Dispatch) -> Self {
        let resume = dispatch.resume.as_ref();
        Self {
            tag: (&dispatch.tag).into(),
            kind: dispatch.kind.to_string(),
            model: dispatch.model.as_ref().map(ToString::to_string),
            adapter: dispatch.adapter.as_ref().map(ToString::to_string),
            priority: dispatch.priority.0,
            input: dispatch.input.to_string(),
            stream: dispatch.stream.0,
            resume_tokens: resume.map_or(0, |point| point.tokens),
            resume_text: resume.map_or_else(String::new, |point| point.text.to_string()),
            left_ms: dispatch.left_ms.0,
            idempotency_key: dispatch.idempotency_key.as_ref().map(ToString::to_string),
        }
    }
}

/// Line of an endpoint's reply to a [`StageRequestJson`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StageReplyLine {
    /// Tokens of a stream.
    Tokens {
        /// Echoed identity of the attempt.
        tag: WireAttemptTag,
        /// Index of the first token in the stream.
        first_index: u32,
        /// Number of tokens.
        count: u32,
        /// Text of the tokens.
        text: String,
    },
    /// End of a stream.
    StreamEnd {
        /// Echoed identity of the attempt.
        tag: WireAttemptTag,
        /// Number of tokens in the whole stream.
        tokens: u32,
    },
    /// Result of a stage that does not stream.
    Whole {
        /// Echoed identity of the attempt.
        tag: WireAttemptTag,
        /// Output of the stage.
        output: String,
    },
}

/// Load report of an endpoint.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadJson {
    /// Running attempts.
    pub running: u32,
    /// Queued attempts.
    pub queued: u32,
    /// Attempts that it can run at the same time.
    pub slots: u32,
    /// Whether it accepts no new work.
    pub leaving: bool,
    /// Age of the figures when they were sent.
    pub lag_ms: u64,
    /// Models that it has loaded.
    pub models: Vec<String>,
    /// Adapters that it has loaded.
    pub adapters: Vec<String>,
    /// Changes of the prefix cache: number of the event, prefix hash, whether it is now cached.
    pub cache_events: Vec<(u64, u64, bool)>,
}

impl TryFrom<LoadJson> for LoadReport {
    type Error = WireError;

    fn try_from(json: LoadJson) -> Result<Self, Self::Error> {
        let events = json.cache_events.into_iter();
        let events = events.map(|(number, prefix, held)| CacheEvent { number, prefix: Hash64(prefix), is_held: held });
        Ok(Self {
            running: json.running,
            queued: json.queued,
            slots: json.slots,
            is_leaving: json.leaving,
            lag_ms: SpanMs(json.lag_ms),
            models: parse_fields("models", &json.models)?,
            adapters: parse_fields("adapters", &json.adapters)?,
            cache_events: events.collect(),
        })
    }
}

/// Order to an endpoint, made from an [`Order`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderJson {
    /// Fencing number of the sender's lease.
    pub fence: u64,
    /// Models that it should have loaded.
    pub models: Vec<String>,
    /// Adapters that it should have loaded.
    pub adapters: Vec<String>,
}

impl From<&Order> for OrderJson {
    fn from(order: &Order) -> Self {
        Self { fence: order.fence.0, models: to_strings(&order.models), adapters: to_strings(&order.adapters) }
    }
}
