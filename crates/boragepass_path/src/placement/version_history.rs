//! Software versions that each pool had while a stream that clients may still take up could have begun.
//!
//! The list of endpoints shows only the present ones, and a VM that has just started never saw endpoints that left
//! before. So one VM keeps the versions in a row of the store, which each VM reads when it starts. A version stays
//! there until the pool was seen without it for as long as clients take up streams.

use std::collections::{BTreeMap, BTreeSet};

use boragepass_types::{PoolId, TimeMs};

use crate::request::{BeginningVersion, STREAM_RETENTION};

/// Software versions of each pool, as the store keeps them.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RecordedVersions {
    /// Versions by pool; `None` stands for endpoints that state no version.
    pub by_pool: BTreeMap<PoolId, BTreeSet<BeginningVersion>>,
}

/// What is known of the versions that a pool had.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum PastVersions<'a> {
    /// Only this one.
    One(&'a BeginningVersion),
    /// Several, or none.
    Several,
    /// Not known yet: no row that names the pool was read, and this VM has not known the pool for long enough.
    Unknown,
}

/// Versions that were listed, and those that the store's row names.
#[derive(Debug, Default)]
pub(crate) struct VersionHistory {
    last_listed_at: BTreeMap<PoolId, BTreeMap<BeginningVersion, TimeMs>>,
    recorded: Option<RecordedVersions>,
    watched_since: Option<TimeMs>,
}

impl VersionHistory {
    /// Records the versions of all listed endpoints.
    pub(crate) fn on_listed<'a>(
        &mut self,
        now: TimeMs,
        endpoints: impl Iterator<Item = (&'a PoolId, &'a BeginningVersion)>,
    ) {
        for (pool, version) in endpoints {
            self.watched_since.get_or_insert(now);
            let versions = match self.last_listed_at.get_mut(pool) {
                Some(versions) => versions,
                None => self.last_listed_at.entry(pool.clone()).or_default(),
            };
            match versions.get_mut(version) {
                Some(at) => *at = now,
                None => {
                    versions.insert(version.clone(), now);
                }
            }
        }
    }

    /// Records what the store's row states. When its versions were last listed is not known, so a version that it did not
    /// state before counts as listed now.
    pub(crate) fn on_recorded(&mut self, now: TimeMs, recorded: RecordedVersions) {
        let known_before = self.recorded.take().unwrap_or_default();
        for (pool, versions) in &recorded.by_pool {
            let known = known_before.by_pool.get(pool);
            for version in versions.iter().filter(|version| !known.is_some_and(|known| known.contains(*version))) {
                self.last_listed_at.entry(pool.clone()).or_default().insert(version.clone(), now);
            }
        }
        self.recorded = Some(recorded);
    }

    /// Versions that a pool had since the oldest stream began that a client may take up.
    pub(crate) fn past_versions(&self, now: TimeMs, pool: &PoolId) -> PastVersions<'_> {
        let has_watched = self.watched_since.is_some_and(|since| now.since(since) >= STREAM_RETENTION);
        let is_recorded = self.recorded.as_ref().is_some_and(|recorded| recorded.by_pool.contains_key(pool));
        if !is_recorded && !has_watched {
            return PastVersions::Unknown;
        }
        let mut recent = self.recent_versions(now, pool);
        match (recent.next(), recent.next()) {
            (Some(version), None) => PastVersions::One(version),
            _ => PastVersions::Several,
        }
    }

    /// Pools of which any version is known.
    pub(crate) fn pools(&self) -> impl Iterator<Item = &PoolId> {
        self.last_listed_at.keys()
    }

    /// Versions of a pool that were listed since the oldest stream began that a client may take up.
    pub(crate) fn recent_versions(&self, now: TimeMs, pool: &PoolId) -> impl Iterator<Item = &BeginningVersion> {
        let versions = self.last_listed_at.get(pool).into_iter().flatten();
        versions.filter(move |(_, at)| now.since(**at) < STREAM_RETENTION).map(|(version, _)| version)
    }

    /// What the store's row has to state; `None` if it does, or if the row was not read yet.
    pub(crate) fn unrecorded(&self, now: TimeMs) -> Option<RecordedVersions> {
        let recorded = self.recorded.as_ref()?;
        let recent = |versions: &BTreeMap<BeginningVersion, TimeMs>| {
            let recent = versions.iter().filter(|(_, at)| now.since(**at) < STREAM_RETENTION);
            recent.map(|(version, _)| version.clone()).collect::<BTreeSet<_>>()
        };
        let by_pool = self.last_listed_at.iter().map(|(pool, versions)| (pool.clone(), recent(versions)));
        let present = RecordedVersions { by_pool: by_pool.filter(|(_, versions)| !versions.is_empty()).collect() };
        (present != *recorded).then_some(present)
    }
}
