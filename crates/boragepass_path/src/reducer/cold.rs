//! Endpoints that are cold after their start: what this VM learns of them from others, its part of each, and the log lines.

use boragepass_types::{SpanMs, TimeMs};

use super::RequestPath;
use crate::fleet::{LEADING_VMS_MAX, cold_leading_vms, cold_sharing_vms};
use crate::message::ColdReport;
use crate::placement::{KnownEndpoint, Turn, cold_share_per_s, cold_sharing_vms_max};
use crate::record::Record;

impl RequestPath {
    /// Cold endpoints and the time for which they stay cold, to be passed on together with the endpoint list.
    pub fn cold_endpoints(&self, now: TimeMs) -> Vec<ColdReport> {
        let cold = self.endpoint_table.iter().filter(|known| known.is_cold(now));
        cold.map(|known| ColdReport {
            endpoint: known.endpoint.id.clone(),
            left_ms: known.statements.cold_limiter.left(now),
        })
        .collect()
    }

    /// Records the cold endpoints that another VM passes on.
    pub(super) fn on_cold_reports(&mut self, now: TimeMs, reports: Vec<ColdReport>) {
        if reports.is_empty() {
            return;
        }
        self.endpoint_table.on_cold_reports(now, reports);
        self.update_cold_shares(now);
    }

    /// Sets what the pool of each endpoint states, for endpoints that are new to the list and for a new configuration.
    pub(super) fn update_cold_terms(&mut self, now: TimeMs) {
        let Some(configuration) = &self.configuration else {
            return;
        };
        for known in self.endpoint_table.iter_mut() {
            let service = configuration.service(&known.endpoint.pool);
            known.statements.cold_limiter.set_terms(service.and_then(|service| service.cold_start));
        }
        self.update_cold_shares(now);
    }

    /// Updates this VM's part of each cold endpoint, and logs which turned cold or warm.
    pub(super) fn update_cold_shares(&mut self, now: TimeMs) {
        let mut records = Vec::new();
        let mut endpoint_table = std::mem::take(&mut self.endpoint_table);
        for known in endpoint_table.iter_mut().filter(|known| known.statements.cold_limiter.terms().is_some()) {
            let share_per_s = if known.is_cold(now) { self.cold_share_per_s(now, known) } else { 0.0 };
            let limiter = &mut known.statements.cold_limiter;
            limiter.set_share(now, share_per_s);
            let what = match limiter.take_turn(now) {
                Some(Turn::Cold) => "endpoint turned cold",
                Some(Turn::Warm) => "endpoint turned warm",
                None => continue,
            };
            let record = Record::new(what).text("endpoint", &known.endpoint.id).text("pool", &known.endpoint.pool);
            let SpanMs(left_ms) = limiter.left(now);
            records.push(record.number("left_ms", left_ms).number("share_per_1000_s", limiter.share_per_1000_s()));
        }
        self.endpoint_table = endpoint_table;
        records.into_iter().for_each(|record| self.log(record));
    }

    /// Requests a second that this VM may send a cold endpoint; zero if it has no part of it.
    fn cold_share_per_s(&self, now: TimeMs, known: &KnownEndpoint) -> f64 {
        let Some(terms) = known.statements.cold_limiter.terms() else {
            return 0.0;
        };
        if !self.cold_settling.is_settled(now, &self.fleet) {
            return 0.0;
        }
        let (endpoint, bounds) = (&known.endpoint, self.settings.cold_bounds);
        let region = self.settings.region_of(&endpoint.failure_domain);
        let vms_max = cold_sharing_vms_max(terms, bounds);
        let is_stage = self.configuration.as_ref().is_some_and(|known| known.stage_pool(&endpoint.pool).is_some());
        if is_stage {
            // Usually one of them leads and the others send nothing, so each may use the whole rate as far as the bound allows.
            let vms_max = vms_max.min(LEADING_VMS_MAX);
            let vms = cold_leading_vms(&self.fleet, now, &endpoint.pool, region, vms_max);
            return vms.map_or(0.0, |vms| cold_share_per_s(terms, bounds, terms.rate.per_s() * vms as f64, vms));
        }
        let vms = cold_sharing_vms(&self.fleet, now, endpoint, region, vms_max);
        vms.map_or(0.0, |vms| cold_share_per_s(terms, bounds, terms.rate.per_s(), vms))
    }
}
