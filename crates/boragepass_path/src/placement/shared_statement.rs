//! A statement of an endpoint that VMs share in heartbeats: the newest one to any VM is in force.

use boragepass_types::{SpanMs, TimeMs};

/// Time for which other VMs are told that a statement was withdrawn.
const WITHDRAWAL_REPORT_TIME: SpanMs = SpanMs(10_000);

/// What a reply of an endpoint stated; no value if it stated none.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Statement<T> {
    pub(crate) value: Option<T>,
    pub(crate) stated_at: TimeMs,
}

/// Newest statement, and the last one to this VM.
#[derive(Debug, Clone, Copy)]
pub(crate) struct SharedStatement<T> {
    newest: Option<Statement<T>>,
    /// Last statement to this VM, if it or an earlier one had a value.
    own: Option<Statement<T>>,
}

impl<T> Default for SharedStatement<T> {
    fn default() -> Self {
        Self { newest: None, own: None }
    }
}

impl<T: Copy + PartialEq> SharedStatement<T> {
    /// Value in force.
    pub(crate) fn value(&self) -> Option<T> {
        self.newest?.value
    }

    /// Records a statement to this VM; returns whether the value in force changed.
    pub(crate) fn on_own(&mut self, statement: Statement<T>) -> bool {
        if statement.value.is_some() || self.own.is_some() {
            self.own = Some(statement);
        }
        self.on_any(statement)
    }

    /// Records a statement to any VM; returns whether the value in force changed.
    pub(crate) fn on_any(&mut self, statement: Statement<T>) -> bool {
        if self.newest.is_some_and(|newest| newest.stated_at > statement.stated_at) {
            return false;
        }
        let old_value = self.value();
        self.newest = Some(statement);
        old_value != statement.value
    }

    /// Statement that this VM reports to others: a value that it was told, or for a while that it was withdrawn.
    pub(crate) fn reported(&self, now: TimeMs) -> Option<Statement<T>> {
        self.own.filter(|own| own.value.is_some() || now.since(own.stated_at) < WITHDRAWAL_REPORT_TIME)
    }
}
