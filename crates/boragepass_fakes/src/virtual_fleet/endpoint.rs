//! Endpoints in virtual time, with faults that a test sets on their fields.

use std::net::SocketAddr;

use super::name;
use crate::stage_output;
use boragepass_core::{AttemptTag, Dispatch, LoadReport, StageReply, VmListEntry, VmState};
use boragepass_types::{IdempotencyKey, ModelId, Payload, SpanMs, StageKind, TimeMs};

/// Tokens of a generated text; a stream sends them in chunks.
const GENERATED_TOKENS: u32 = 8;
const TOKENS_PER_CHUNK: u32 = 4;

/// Start of a stage on an endpoint.
#[derive(Debug, Clone)]
pub struct StageRun {
    /// Attempt that the stage runs for.
    pub tag: AttemptTag,
    /// Key of a stage that must not run twice.
    pub idempotency_key: Option<IdempotencyKey>,
    /// Index of the endpoint in `Fleet::endpoints`.
    pub endpoint: usize,
    /// Time at which the stage started.
    pub started_at: TimeMs,
    /// Whether the input crashed the endpoint.
    pub caused_crash: bool,
}

/// Endpoint in virtual time.
#[derive(Debug, Clone)]
pub struct SimEndpoint {
    /// Its entry in the VM list.
    pub entry: VmListEntry,
    /// Address at which dispatches and orders reach it.
    pub address: SocketAddr,
    /// Shortest run time of a stage; up to half as much is added at random.
    pub stage_ms: u64,
    /// End of the outage after its last crash.
    pub down_until: TimeMs,
    /// Number of crashes; a stage that started before the last one is lost.
    pub crash_count: u32,
    /// Time since which its load reports say that it takes no new work.
    pub leaving_since: Option<TimeMs>,
    /// Text that crashes the endpoint when an input contains it.
    pub crash_on: Option<String>,
    /// Number of dispatches whose replies are sent twice.
    pub replies_to_duplicate: u32,
    /// Number of dispatches that are answered with the tag and output of another attempt.
    pub replies_to_mistag: u32,
    /// Number of dispatches whose reply is lost after the stage ran.
    pub replies_to_lose: u32,
    /// Stages in progress.
    pub running: u32,
    /// Models that it has loaded.
    pub models: Vec<ModelId>,
    /// Highest fencing number of an order that it accepted.
    pub highest_fence: u64,
    /// Whether it refuses an order with a lower fencing number.
    pub checks_fence: bool,
}

impl SimEndpoint {
    /// Live endpoint of a pool; its name and address follow from `number`.
    pub fn new(number: usize, pool: &str, region: &str, models: &[&str], checks_fence: bool) -> Self {
        let address = SocketAddr::from(([10, 1, (number / 250) as u8, (number % 250) as u8], 80));
        let entry = VmListEntry::Endpoint {
            endpoint: name(&format!("{pool}-{number}")),
            pool: name(pool),
            region: name(region),
            failure_domain: name(&format!("{region}-a")),
            address,
            checks_fence,
            state: VmState::Live,
        };
        Self {
            entry,
            address,
            stage_ms: 5,
            down_until: TimeMs(0),
            crash_count: 0,
            leaving_since: None,
            crash_on: None,
            replies_to_duplicate: 0,
            replies_to_mistag: 0,
            replies_to_lose: 0,
            running: 0,
            models: models.iter().map(|model| name(model)).collect(),
            highest_fence: 0,
            checks_fence,
        }
    }

    /// Whether the endpoint is up at `now`.
    pub fn is_up(&self, now: TimeMs) -> bool {
        self.down_until <= now
    }

    /// Its current load report.
    pub fn report(&self) -> LoadReport {
        LoadReport {
            running: self.running,
            queued: 0,
            slots: 8,
            is_leaving: self.leaving_since.is_some(),
            lag_ms: SpanMs(0),
            models: self.models.clone(),
            adapters: Vec::new(),
            cache_events: Vec::new(),
        }
    }

    /// Replies to a dispatch in the order of sending, each with the attempt tag that it echoes.
    pub fn replies(&mut self, dispatch: &Dispatch) -> Vec<(Option<AttemptTag>, StageReply)> {
        let mut tag = dispatch.tag.clone();
        let mut input = dispatch.input.to_string();
        if self.replies_to_mistag > 0 {
            self.replies_to_mistag -= 1;
            tag.attempt = tag.attempt.next();
            input.push_str(" of another request");
        }
        if self.replies_to_lose > 0 {
            self.replies_to_lose -= 1;
            return vec![(None, StageReply::Lost)];
        }
        let stage = dispatch.tag.stage.as_str();
        let output = stage_output(dispatch.kind, stage, &input, GENERATED_TOKENS);
        let mut replies = if dispatch.kind == StageKind::Generate {
            stream_replies(&output, dispatch.resume.as_ref().map_or(0, |point| point.tokens))
        } else {
            vec![StageReply::Whole { output: Payload::new(&output) }]
        };
        if self.replies_to_duplicate > 0 {
            self.replies_to_duplicate -= 1;
            replies = replies.into_iter().flat_map(|reply| [reply.clone(), reply]).collect();
        }
        replies.into_iter().map(|reply| (Some(tag.clone()), reply)).collect()
    }
}

fn stream_replies(output: &str, from: u32) -> Vec<StageReply> {
    let tokens: Vec<_> = output.split_inclusive(' ').collect();
    let mut replies = Vec::new();
    let mut index = from;
    while index < GENERATED_TOKENS {
        let count = TOKENS_PER_CHUNK.min(GENERATED_TOKENS - index);
        let text: String = tokens[index as usize..(index + count) as usize].concat();
        replies.push(StageReply::Tokens { first_index: index, count, text: Payload::new(&text) });
        index += count;
    }
    replies.push(StageReply::StreamEnd { tokens: GENERATED_TOKENS });
    replies
}
