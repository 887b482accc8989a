//! Endpoints in virtual time.

use std::net::SocketAddr;

use super::name;
use crate::stage_output;
use boragepass_core::{AttemptTag, Dispatch, LoadReport, StageReply, VmListEntry, VmState};
use boragepass_types::{IdempotencyKey, ModelId, Payload, SpanMs, StageKind, TimeMs};

/// Tokens of a generated text.
const TOKENS: u32 = 8;
const CHUNK: u32 = 4;

/// Stage that began to run.
#[derive(Debug, Clone)]
pub struct StageRun {
    /// Attempt.
    pub tag: AttemptTag,
    /// Key of a stage that may not be repeated.
    pub idempotency_key: Option<IdempotencyKey>,
    /// Endpoint by index.
    pub endpoint: usize,
    /// When it began.
    pub started_at: TimeMs,
    /// Whether the endpoint crashed on it.
    pub caused_crash: bool,
}

/// Endpoint in virtual time.
#[derive(Debug, Clone)]
pub struct SimEndpoint {
    /// Entry in the VM list.
    pub entry: VmListEntry,
    /// Address.
    pub address: SocketAddr,
    /// Time of a stage.
    pub stage_ms: u64,
    /// Until when it is down.
    pub down_until: TimeMs,
    /// Raised with every crash; work of an earlier life is gone.
    pub life: u32,
    /// Whether it reports that it takes no new work, and since when.
    pub leaving_since: Option<TimeMs>,
    /// Word that crashes it.
    pub crash_on: Option<String>,
    /// Replies to send twice.
    pub replies_to_duplicate: u32,
    /// Replies to send under another attempt's name.
    pub replies_to_mistag: u32,
    /// Replies to lose after the work was done.
    pub replies_to_lose: u32,
    /// Work in progress.
    pub running: u32,
    /// Models it holds.
    pub models: Vec<ModelId>,
    /// Highest fencing number it has seen.
    pub highest_fence: u64,
    /// Whether it refuses orders with an old number.
    pub checks_fence: bool,
}

impl SimEndpoint {
    /// Endpoint of a pool.
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
            life: 0,
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

    /// Whether it is up.
    pub fn is_up(&self, now: TimeMs) -> bool {
        self.down_until <= now
    }

    /// Load report.
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

    /// Replies to a dispatch in the order in which they come.
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
        let output = stage_output(dispatch.kind, stage, &input, TOKENS);
        let mut replies = if dispatch.kind == StageKind::Generate {
            stream(&output, dispatch.resume.as_ref().map_or(0, |point| point.tokens))
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

fn stream(output: &str, from: u32) -> Vec<StageReply> {
    let tokens: Vec<_> = output.split_inclusive(' ').collect();
    let mut replies = Vec::new();
    let mut index = from;
    while index < TOKENS {
        let count = CHUNK.min(TOKENS - index);
        let text: String = tokens[index as usize..(index + count) as usize].concat();
        replies.push(StageReply::Tokens { first_index: index, count, text: Payload::new(&text) });
        index += count;
    }
    replies.push(StageReply::StreamEnd { tokens: TOKENS });
    replies
}
