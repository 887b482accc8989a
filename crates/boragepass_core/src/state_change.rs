//! State changes that are logged for operators.

use boragepass_types::{ContentDigest, EndpointId, FenceNumber, ListVersion, Region, SpanMs, VmId, WorkspaceId};

/// One logged state change; its `Display` is the log line.
#[derive(Debug, Clone, PartialEq, Eq, derive_more::Display)]
pub enum StateChange {
    /// Lists came into force on this VM.
    #[display("lists at version {version} are in force")]
    ListsInForce {
        /// Version in force.
        version: ListVersion,
    },
    /// This VM starts to admit requests.
    #[display("admitting with lists at version {version}")]
    Admitting {
        /// Version in force.
        version: ListVersion,
    },
    /// This VM stops admitting because it hears neither the table service nor another VM.
    #[display("isolated: heard neither the table service nor another VM for {for_ms}")]
    Isolated {
        /// Time since this VM last heard either.
        for_ms: SpanMs,
    },
    /// This VM hears the table service or another VM again.
    #[display("no longer isolated")]
    Reconnected,
    /// A VM was declared dead.
    #[display("VM {vm} is dead: not heard for {unheard_ms}")]
    MemberDead {
        /// The VM.
        vm: VmId,
        /// Time since it was last heard.
        unheard_ms: SpanMs,
    },
    /// A VM was heard for the first time or again.
    #[display("VM {vm} is alive")]
    MemberAlive {
        /// The VM.
        vm: VmId,
    },
    /// A VM is leaving.
    #[display("VM {vm} is leaving")]
    MemberLeaving {
        /// The VM.
        vm: VmId,
    },
    /// An endpoint was ejected and gets no new work until the ejection ends.
    #[display("endpoint {endpoint} ejected for {for_ms}: {cause}")]
    EndpointEjected {
        /// The endpoint.
        endpoint: EndpointId,
        /// Length of the ejection.
        for_ms: SpanMs,
        /// Cause.
        cause: crate::ejection::EjectionCause,
    },
    /// An ejected endpoint gets new work again.
    #[display("endpoint {endpoint} returned after its ejection")]
    EndpointReturned {
        /// The endpoint.
        endpoint: EndpointId,
    },
    /// An endpoint is leaving.
    #[display("endpoint {endpoint} is leaving")]
    EndpointLeaving {
        /// The endpoint.
        endpoint: EndpointId,
    },
    /// Content was put in quarantine.
    #[display("content {digest} of workspace {workspace} in quarantine for {for_ms}: two endpoints were lost to it")]
    ContentQuarantined {
        /// The content.
        digest: ContentDigest,
        /// Workspace that sent it.
        workspace: WorkspaceId,
        /// Length of the quarantine.
        for_ms: SpanMs,
    },
    /// The table service stopped answering.
    #[display("table service is down")]
    TableDown,
    /// The table service answers again.
    #[display("table service is up")]
    TableUp,
    /// This VM holds the lease for orders in its region.
    #[display("holds the order lease of region {region} with fencing number {fence}")]
    LeaseHeld {
        /// The region.
        region: Region,
        /// Fencing number.
        fence: FenceNumber,
    },
    /// This VM lost the lease for orders.
    #[display("order lease of region {region} lapsed")]
    LeaseLapsed {
        /// The region.
        region: Region,
    },
    /// This VM started to drain.
    #[display("draining: {in_progress} requests in progress")]
    Draining {
        /// Requests in progress.
        in_progress: usize,
    },
    /// This VM has drained.
    #[display("drained")]
    Drained,
}
