//! What endpoints state of themselves in replies, and whether the VMs that were told keep to it.
//!
//! A VM is known by the client's request: it is the one that the client sent the request to.

use std::collections::{BTreeMap, VecDeque};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Time after an announced leaving from which on a VM may send no newer request, as the users' sites set it.
const LEAVING_GRACE: Duration = Duration::from_millis(2_500);
/// Time after a reply from which on a VM has to keep to a pause or limit.
const REACTION_TIME: Duration = Duration::from_millis(500);
/// Requests that are tolerated in the rest of a pause.
const TOLERATED_REQUESTS: u32 = 2;
/// Time after the first statement from which on a limit or brittleness is checked, as the users' sites set it.
const CHECKED_AFTER: Duration = Duration::from_millis(4_000);
const LIMIT_WINDOW: Duration = Duration::from_millis(4_000);
/// Multiple of the limit that the requests of a window may reach, and requests allowed on top.
const LIMIT_TOLERANCE_FACTOR: f64 = 1.5;
const LIMIT_TOLERANCE_REQUESTS: f64 = 5.0;
const REJECTION_WINDOW: Duration = Duration::from_millis(1_000);

/// Pause that a VM was asked for.
#[derive(Debug)]
struct Pause {
    told_at: Instant,
    until: Instant,
    requests: u32,
}

/// Statements of one process of an endpoint.
#[derive(Debug, Clone, Default)]
pub(crate) struct SharedStatements(Arc<Mutex<Statements>>);

impl SharedStatements {
    pub(crate) fn get(&self) -> MutexGuard<'_, Statements> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Statements that are in force at an endpoint, and the VMs that were told.
#[derive(Debug, Default)]
pub(crate) struct Statements {
    pub(crate) is_leaving: bool,
    told_leaving: BTreeMap<usize, Instant>,
    pauses: BTreeMap<usize, Pause>,
    limit: Option<Limit>,
    brittleness: Option<Brittleness>,
}

/// VM to which a client sent a request, and when.
#[derive(Debug, Clone, Copy)]
pub(crate) struct SendingVm {
    pub(crate) vm: usize,
    pub(crate) sent_at: Instant,
    /// End of the VM's last disturbance so far.
    pub(crate) disturbed_until: Option<Instant>,
}

#[derive(Debug)]
struct Limit {
    per_s: u32,
    first_stated_at: Option<Instant>,
    told: BTreeMap<usize, Instant>,
    arrivals: VecDeque<Instant>,
}

#[derive(Debug)]
struct Brittleness {
    rejections_max: u32,
    since: Instant,
    rejected: VecDeque<Instant>,
    pool_falls: Arc<AtomicU32>,
}

impl Statements {
    pub(crate) fn set_limit(&mut self, per_s: Option<u32>) {
        self.limit =
            per_s.map(|per_s| Limit { per_s, first_stated_at: None, told: BTreeMap::new(), arrivals: VecDeque::new() });
    }

    pub(crate) fn set_rejections_max(&mut self, rejections_max: Option<u32>, pool_falls: Arc<AtomicU32>) {
        self.brittleness = rejections_max.map(|rejections_max| Brittleness {
            rejections_max,
            since: Instant::now(),
            rejected: VecDeque::new(),
            pool_falls,
        });
    }

    pub(crate) fn limit(&self) -> Option<u32> {
        self.limit.as_ref().map(|limit| limit.per_s)
    }

    pub(crate) fn rejections_max(&self) -> Option<u32> {
        self.brittleness.as_ref().map(|brittleness| brittleness.rejections_max)
    }

    /// Whether it states that it is brittle and lets no request wait any more.
    pub(crate) fn is_brittle(&self, now: Instant) -> bool {
        self.brittleness.as_ref().is_some_and(|brittleness| now.duration_since(brittleness.since) >= CHECKED_AFTER)
    }

    /// Records a rejection for want of room; returns how often endpoints of the pool have fallen over if this one does so
    /// now.
    pub(crate) fn on_rejection(&mut self, now: Instant) -> Option<u32> {
        let is_brittle = self.is_brittle(now);
        let brittleness = self.brittleness.as_mut()?;
        brittleness.rejected.push_back(now);
        drop_older(&mut brittleness.rejected, now, REJECTION_WINDOW);
        let falls = is_brittle && brittleness.rejected.len() > brittleness.rejections_max as usize;
        if !falls {
            return None;
        }
        brittleness.rejected.clear();
        Some(brittleness.pool_falls.fetch_add(1, Ordering::Relaxed) + 1)
    }

    /// Records that a VM passed on a reply that states what is in force.
    pub(crate) fn on_reply_passed_on(&mut self, now: Instant, vm: usize) {
        if self.is_leaving {
            self.told_leaving.entry(vm).or_insert(now);
        }
        if let Some(limit) = &mut self.limit {
            limit.first_stated_at.get_or_insert(now);
            limit.told.entry(vm).or_insert(now);
        }
    }

    /// Records a rejection that asks a VM for a pause.
    pub(crate) fn on_pause(&mut self, now: Instant, vm: usize, pause: Duration) {
        let until = now + pause;
        let known = self.pauses.entry(vm).or_insert(Pause { told_at: now, until, requests: 0 });
        if now > known.until {
            *known = Pause { told_at: now, until, requests: 0 };
        }
    }

    /// Forgets what a VM was told before its process was disturbed.
    fn forget_disturbed(&mut self, vm: usize, disturbed_until: Instant) {
        let is_forgotten = |other: &usize, told_at: &Instant| *other == vm && *told_at <= disturbed_until;
        self.told_leaving.retain(|vm, told_at| !is_forgotten(vm, told_at));
        self.pauses.retain(|vm, pause| !is_forgotten(vm, &pause.told_at));
        if let Some(limit) = &mut self.limit {
            limit.told.retain(|vm, told_at| !is_forgotten(vm, told_at));
        }
    }

    /// Records a request that a client sent to a VM; returns what the VM does not keep to.
    pub(crate) fn on_request(&mut self, now: Instant, sender: &SendingVm) -> Option<&'static str> {
        let &SendingVm { vm, sent_at, disturbed_until } = sender;
        if let Some(disturbed_until) = disturbed_until {
            self.forget_disturbed(vm, disturbed_until);
        }
        if self.told_leaving.get(&vm).is_some_and(|told_at| sent_at > *told_at + LEAVING_GRACE) {
            return Some("an endpoint got a new request after it announced its leaving");
        }
        if let Some(pause) = self.pauses.get_mut(&vm)
            && now >= pause.told_at + REACTION_TIME
            && now < pause.until
        {
            pause.requests += 1;
            if pause.requests > TOLERATED_REQUESTS {
                return Some("an endpoint got requests in the pause that it asked for");
            }
        }
        let limit = self.limit.as_mut()?;
        if limit.told.get(&vm).is_none_or(|told_at| now < *told_at + REACTION_TIME) {
            return None;
        }
        limit.arrivals.push_back(now);
        drop_older(&mut limit.arrivals, now, LIMIT_WINDOW);
        let allowed = f64::from(limit.per_s) * LIMIT_WINDOW.as_secs_f64() * LIMIT_TOLERANCE_FACTOR;
        let is_checked = limit.first_stated_at.is_some_and(|at| now >= at + CHECKED_AFTER);
        let is_exceeded = is_checked && limit.arrivals.len() as f64 > allowed + LIMIT_TOLERANCE_REQUESTS;
        is_exceeded.then_some("an endpoint got more requests than the limit that it states")
    }
}

fn drop_older(times: &mut VecDeque<Instant>, now: Instant, window: Duration) {
    while times.front().is_some_and(|at| now.duration_since(*at) >= window) {
        times.pop_front();
    }
}
