//! Software versions that began streams, of this VM's requests and of those that other VMs passed on.

use std::collections::HashMap;
use std::sync::Arc;

use boragepass_types::{SoftwareVersion, SpanMs, TimeMs};

/// Time for which a client may take up a stream: longer than the timeouts of routes.
pub(crate) const STREAM_RETENTION: SpanMs = SpanMs(60_000);

/// Software version of the endpoint that began a stream; `None` if the endpoint states none.
pub(crate) type BeginningVersion = Option<SoftwareVersion>;

/// What a request's stream may go on at.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum StreamVersion {
    /// The client has no event yet, so any endpoint may run the request.
    NotBegun,
    /// Only endpoints of this version may go on.
    Begun(BeginningVersion),
    /// The endpoint that began it may have restarted with another version than its entry states.
    BegunUnknown,
    /// Another VM began the stream; the VMs that hold its version were asked this often, if the client names the stream.
    Asked(u32),
}

impl StreamVersion {
    /// Whether an endpoint with this software version, `None` if it is not known, may run the request.
    pub(crate) fn allows(&self, version: Option<&BeginningVersion>) -> bool {
        match self {
            Self::NotBegun => true,
            Self::Begun(beginning_version) => Some(beginning_version) == version,
            Self::BegunUnknown | Self::Asked(_) => false,
        }
    }
}

/// Versions of streams by the client's id of the attempt that brought the first event.
#[derive(Debug, Default)]
pub(crate) struct StreamVersions {
    by_stream: HashMap<Arc<str>, (BeginningVersion, TimeMs)>,
}

impl StreamVersions {
    pub(crate) fn insert(&mut self, now: TimeMs, stream: Arc<str>, version: BeginningVersion) {
        self.by_stream.insert(stream, (version, now));
    }

    /// Version that began a stream; `None` if the stream is not known here.
    pub(crate) fn get(&self, stream: &str) -> Option<&BeginningVersion> {
        self.by_stream.get(stream).map(|(version, _)| version)
    }

    /// Drops streams that no client takes up any more.
    pub(crate) fn sweep(&mut self, now: TimeMs) {
        self.by_stream.retain(|_, (_, at)| now.since(*at) < STREAM_RETENTION);
    }
}
