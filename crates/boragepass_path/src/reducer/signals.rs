//! What endpoints state of themselves in replies: load, rate limit, the rejections that they bear, leaving, and a pause
//! after a rejection.

use boragepass_types::{EndpointId, TimeMs};

use super::RequestPath;
use crate::effect::{Effect, SendTarget};
use crate::event::EndpointSignals;
use crate::fleet::{limit_sharing_vms, pool_leader};
use crate::placement::{Statement, brittle_sharing_vms_max, sharing_vms_max};
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
        let was_cold = known_endpoint.is_cold(now);
        known_endpoint.statements.cold_limiter.on_reply(now, signals.cold_left_ms);
        let has_turned = was_cold != known_endpoint.is_cold(now);
        if let Some(pause) = signals.pause_ms {
            known_endpoint.statements.on_pause(now, pause);
        }
        let is_newly_leaving = signals.is_leaving && known_endpoint.statements.on_leaving();
        let limit = Statement { value: signals.rate_limit, stated_at: now };
        let has_new_limit = known_endpoint.statements.rate_limiter.statement.on_own(limit);
        let rejections = Statement { value: signals.rejections_max, stated_at: now };
        let has_new_rejections = known_endpoint.statements.rejection_limiter.statement.on_own(rejections);
        if has_new_limit {
            let limit = signals.rate_limit.map_or_else(|| "none".to_owned(), |limit| limit.to_string());
            self.log(Record::new("endpoint states a rate limit").text("endpoint", endpoint).text("limit", limit));
        }
        if has_new_rejections {
            let rejections = signals.rejections_max.map_or_else(|| "any".to_owned(), |number| number.to_string());
            let record = Record::new("endpoint states how many rejections it bears").text("endpoint", endpoint);
            self.log(record.text("rejections_per_s", rejections));
        }
        if has_turned {
            self.update_cold_shares(now);
        }
        if has_new_limit || has_new_rejections {
            self.update_limit_shares(now);
        }
        if is_newly_leaving {
            let is_listed = self.endpoint_table.get(endpoint).is_some();
            let record = Record::new("endpoint announces its leaving").text("endpoint", endpoint);
            self.log(record.text("is_listed", is_listed));
        }
    }

    /// Asks endpoints that stated their leaving and restarted since, or may have, whether they are still leaving.
    pub(super) fn query_doubted_statements(&mut self, now: TimeMs) {
        let Some(configuration) = self.configuration.clone() else {
            return;
        };
        for known_endpoint in self.endpoint_table.leaving_to_be_asked(now) {
            let endpoint = &known_endpoint.endpoint;
            let Some(service) = configuration.service(&endpoint.pool) else {
                continue;
            };
            let target = SendTarget { endpoint: endpoint.id.clone(), address: endpoint.address };
            known_endpoint.statements.on_leaving_asked();
            self.effects.push(Effect::QueryStatements(target, service.health_path.clone()));
        }
    }

    pub(super) fn on_statements_queried(
        &mut self,
        now: TimeMs,
        endpoint: &EndpointId,
        signals: Option<EndpointSignals>,
    ) {
        let has_replied = signals.is_some();
        if let Some(signals) = signals {
            self.on_endpoint_signals(now, endpoint, signals);
        }
        let Some(known_endpoint) = self.endpoint_table.get_mut(endpoint) else {
            return;
        };
        known_endpoint.statements.on_leaving_answered(has_replied);
        let is_leaving = known_endpoint.statements.is_leaving();
        let record = Record::new("endpoint asked if it is leaving after a restart").text("endpoint", endpoint);
        self.log(record.text("has_replied", has_replied).text("is_leaving", is_leaving));
    }

    /// Updates this VM's part of each rate limit and of the slots of brittle endpoints: for a stage pool that of its
    /// leader, else an equal one of a few VMs.
    pub(super) fn update_limit_shares(&mut self, now: TimeMs) {
        for known_endpoint in self.endpoint_table.limited_mut() {
            let endpoint = &known_endpoint.endpoint;
            let region = self.settings.region_of(&endpoint.failure_domain);
            let is_stage = self.configuration.as_ref().is_some_and(|known| known.stage_pool(&endpoint.pool).is_some());
            let is_leader =
                is_stage && pool_leader(&self.fleet, now, &endpoint.pool, region).as_ref() == Some(&self.settings.vm);
            let sharing_vms = |vms_max: usize| {
                if is_stage {
                    is_leader.then_some(1)
                } else {
                    limit_sharing_vms(&self.fleet, now, endpoint, region, vms_max)
                }
            };
            let limit_sharing =
                known_endpoint.statements.rate_limiter.limit().and_then(|limit| sharing_vms(sharing_vms_max(limit)));
            let rejections_max = known_endpoint.statements.rejection_limiter.statement.value();
            let slots = endpoint.slots;
            let slot_sharing =
                rejections_max.and_then(|rejections_max| sharing_vms(brittle_sharing_vms_max(rejections_max, slots)));
            known_endpoint.statements.rate_limiter.set_sharing_vms(now, limit_sharing);
            known_endpoint.statements.rejection_limiter.set_sharing_vms(slots, slot_sharing);
        }
    }
}
