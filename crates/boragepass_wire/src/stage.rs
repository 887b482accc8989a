//! Stages, load reports and orders in JSON, as endpoints take and give them.

use boragepass_core::{AttemptTag, CacheEvent, Dispatch, LoadReport, Order};
use boragepass_types::{AttemptId, Hash64, Incarnation, SpanMs};
use serde::{Deserialize, Serialize};

use crate::WireError;
use crate::error::{field, fields, texts};

/// Identity of an attempt, which the endpoint echoes.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct WireTag {
    /// VM that dispatched.
    pub vm: String,
    /// Incarnation that dispatched.
    pub incarnation: u64,
    /// Request.
    pub request: String,
    /// Stage.
    pub stage: String,
    /// Attempt.
    pub attempt: u64,
}

impl From<&AttemptTag> for WireTag {
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

impl TryFrom<WireTag> for AttemptTag {
    type Error = WireError;

    fn try_from(wire: WireTag) -> Result<Self, Self::Error> {
        Ok(Self {
            vm: field("vm", &wire.vm)?,
            incarnation: Incarnation(wire.incarnation),
            request: field("request", &wire.request)?,
            stage: field("stage", &wire.stage)?,
            attempt: AttemptId(wire.attempt),
        })
    }
}

/// Stage on its way to an endpoint.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StageRequestJson {
    /// Identity to echo.
    pub tag: WireTag,
    /// Kind of stage.
    pub kind: String,
    /// Model to use.
    pub model: Option<String>,
    /// Adapter to use.
    pub adapter: Option<String>,
    /// Priority within the endpoint.
    pub priority: u8,
    /// Input.
    pub input: String,
    /// Stream to start or resume.
    pub stream: u64,
    /// Tokens that the asker holds already.
    pub resume_tokens: u32,
    /// Their text.
    pub resume_text: String,
    /// Time left.
    pub left_ms: u64,
    /// Key of a call that may not be repeated.
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

/// Line of an endpoint's answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StageLine {
    /// Tokens of a stream.
    Tokens {
        /// Echo of the attempt.
        tag: WireTag,
        /// Index of the first.
        first_index: u32,
        /// Number.
        count: u32,
        /// Text.
        text: String,
    },
    /// End of a stream.
    StreamEnd {
        /// Echo of the attempt.
        tag: WireTag,
        /// Tokens of the whole stream.
        tokens: u32,
    },
    /// Whole result.
    Whole {
        /// Echo of the attempt.
        tag: WireTag,
        /// Output.
        output: String,
    },
}

/// Load report.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadJson {
    /// Work that runs.
    pub running: u32,
    /// Work that waits.
    pub queued: u32,
    /// Work it can run at once.
    pub slots: u32,
    /// Whether it takes no new work.
    pub leaving: bool,
    /// Age of the figures.
    pub lag_ms: u64,
    /// Models it holds.
    pub models: Vec<String>,
    /// Adapters it holds.
    pub adapters: Vec<String>,
    /// Cache events: number, prefix, whether it is held.
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
            models: fields("models", &json.models)?,
            adapters: fields("adapters", &json.adapters)?,
            cache_events: events.collect(),
        })
    }
}

/// Order to an engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderJson {
    /// Fencing number.
    pub fence: u64,
    /// Models it is to hold.
    pub models: Vec<String>,
    /// Adapters it is to hold.
    pub adapters: Vec<String>,
}

impl From<&Order> for OrderJson {
    fn from(order: &Order) -> Self {
        Self { fence: order.fence.0, models: texts(&order.models), adapters: texts(&order.adapters) }
    }
}
