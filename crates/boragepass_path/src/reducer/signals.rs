//! What endpoints state of themselves in replies: load, rate limit, leaving, and a pause after a rejection.

use boragepass_types::{EndpointId, TimeMs};

use super::RequestPath;
use crate::event::EndpointSignals;
use crate::fleet::{limit_sharing_vms, pool_leader};
use crate::placement::{LimitStatement, sharing_vms_max};
use crate::record::Record;

impl RequestPath {
    /// Records what an endpoint states of itself in a reply.
    pub(super) fn on_endpoint_signals(&mut self, now: TimeMs, endpoint: &EndpointId, signals: EndpointSignals) {
        if let Some(load) = signals.load {
            self.endpoint_table.on_report(now, endpoint, load);
        }
        let Some(known_endpoint) = self.endpoint_table.get_mut(endpoint) else {
            if signals.is_leaving {
                self.log(Record::new("unknown endpoint announces its leaving").text("endpoint", endpoint));
            }
            return;
        };
        if let Some(pause) = signals.pause_ms {
            known_endpoint.statements.on_pause(now, pause);
        }
        let is_newly_leaving = signals.is_leaving && known_endpoint.statements.on_leaving(now);
        let statement = LimitStatement { limit: signals.rate_limit, stated_at: now };
        if known_endpoint.statements.rate_limiter.on_own_statement(statement) {
            let limit = signals.rate_limit.map_or_else(|| "none".to_owned(), |limit| limit.to_string());
            self.log(Record::new("endpoint states a rate limit").text("endpoint", endpoint).text("limit", limit));
            self.update_limit_shares(now);
        }
        if is_newly_leaving {
            let is_listed = self.endpoint_table.get(endpoint).is_some();
            let record = Record::new("endpoint announces its leaving").text("endpoint", endpoint);
            self.log(record.text("is_listed", is_listed));
        }
    }

    /// Updates this VM's part of each rate limit: for a stage pool that of its leader, else an equal one of a few VMs.
    pub(super) fn update_limit_shares(&mut self, now: TimeMs) {
        for known_endpoint in self.endpoint_table.limited_mut() {
            let endpoint = &known_endpoint.endpoint;
            let region = self.settings.region_of(&endpoint.failure_domain);
            let is_stage = self.configuration.as_ref().is_some_and(|known| known.stage_pool(&endpoint.pool).is_some());
            let sharing_vms = if is_stage {
                let leader = pool_leader(&self.fleet, now, &endpoint.pool, region);
                (leader.as_ref() == Some(&self.settings.vm)).then_some(1)
            } else {
                let vms_max = known_endpoint.statements.rate_limiter.limit().map_or(0, sharing_vms_max);
                limit_sharing_vms(&self.fleet, now, endpoint, region, vms_max)
            };
            known_endpoint.statements.rate_limiter.set_sharing_vms(now, sharing_vms);
        }
    }
}
