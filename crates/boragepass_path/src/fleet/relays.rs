//! Chooses the VM that serves a request for one that reaches no endpoint: a serving one that reaches endpoints, of the own
//! region if there is one, and first one that is known to have the same configuration or a newer one. A request with home regions is relayed only within those and this VM's region. A rendezvous hash of the request spreads requests over them.

use boragepass_types::{TimeMs, VmId, rendezvous_weight};

use super::{Fleet, VmRecord};
use crate::configuration::ConfigurationVersion;
use crate::placement::Homes;

/// VM to which this one relays a request, other than those in `excluded`; `None` if no VM that reaches endpoints is left.
pub(crate) fn relay_vm<'a>(
    fleet: &'a Fleet,
    now: TimeMs,
    client_id: &str,
    excluded: &[VmId],
    homes: &Homes,
    configuration: ConfigurationVersion,
) -> Option<&'a VmRecord> {
    let is_candidate = |record: &&VmRecord| {
        record.vm != fleet.local_record.vm
            && fleet.does_reach_endpoints(&record.vm)
            && !excluded.contains(&record.vm)
            && homes.allows_vm_of(&record.region, &fleet.local_record.region)
    };
    fleet.serving(now).filter(is_candidate).max_by_key(|record| {
        let is_up_to_date = fleet.configuration_version_of(&record.vm) >= configuration;
        (is_up_to_date, record.region == fleet.local_record.region, rendezvous_weight(client_id, record.vm.as_str()))
    })
}
