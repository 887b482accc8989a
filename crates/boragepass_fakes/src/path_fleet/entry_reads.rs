//! Store that answers the reads of single entries, for tests of one request path.

use boragepass_path::{Effect, Endpoint, EndpointEntry, Event, RequestPath};
use boragepass_types::TimeMs;

/// Answers the reads of endpoints' entries among some effects, and those that follow from the answers, with what `entry`
/// gives for the known endpoint. Returns the effects of the answers.
pub fn answer_entry_reads(
    path: &mut RequestPath,
    now: TimeMs,
    effects: &[Effect],
    entry: impl Fn(&Endpoint) -> EndpointEntry,
) -> Vec<Effect> {
    let read_of = |effect: &Effect| match effect {
        Effect::ReadEndpointEntry(id) => Some(id.clone()),
        _ => None,
    };
    let mut pending: Vec<_> = effects.iter().filter_map(read_of).collect();
    let mut answered = Vec::new();
    while let Some(id) = pending.pop() {
        let listed = path.endpoints().find(|endpoint| endpoint.id == id).map_or(EndpointEntry::Missing, &entry);
        let effects = path.handle(now, Event::EndpointEntryRead(id, listed));
        pending.extend(effects.iter().filter_map(read_of));
        answered.extend(effects);
    }
    answered
}

/// Entry that a path knows already.
pub fn known_entry(endpoint: &Endpoint) -> EndpointEntry {
    EndpointEntry::StartedAt(endpoint.started_at_unix_ms)
}
