//! Pages served to the platform, clients and operators: readiness, addresses of VMs, metrics and status.

use std::rc::Rc;

use boragepass_path::{Endpoint, VmSummary};
use boragepass_platform::{AddressQuery, encode_addresses, names};
use boragepass_types::{FailureDomain, SpanMs};
use http::{Request, StatusCode};
use hyper::body::Incoming;
use serde_json::{Value, json};

use crate::driver::Driver;
use crate::page_server::Page;

/// How long clients cache the addresses, and so how long they may still connect to a VM that leaves.
const ADDRESSES_TTL: SpanMs = SpanMs(2_000);

/// Tells the platform whether this VM takes requests.
pub(crate) fn readiness(driver: Rc<Driver>) -> impl Fn(&Request<Incoming>) -> Page {
    move |request| {
        if request.uri().path() != names::READINESS_PATH {
            return Page::text(StatusCode::NOT_FOUND, "unknown path\n");
        }
        match driver.is_ready.get() {
            true => Page::text(StatusCode::OK, "ready\n"),
            false => Page::text(StatusCode::SERVICE_UNAVAILABLE, "not ready\n"),
        }
    }
}

/// Tells clients the addresses of VMs that serve, for the host, region and failure domain of their query.
pub(crate) fn addresses(driver: Rc<Driver>) -> impl Fn(&Request<Incoming>) -> Page {
    move |request| {
        if request.uri().path() != names::ADDRESSES_PATH {
            return Page::text(StatusCode::NOT_FOUND, "unknown path\n");
        }
        let query = AddressQuery::from_query(request.uri().query().unwrap_or_default());
        let (region, domain) = (query.region.as_ref(), query.failure_domain.as_ref());
        let addresses = driver.with_path(|path, now| match &query.host {
            Some(host) => path.host_addresses(now, host, region, domain),
            None => path.addresses(now, region, domain),
        });
        if addresses.is_empty() {
            return Page::text(StatusCode::SERVICE_UNAVAILABLE, "no VM is known to serve yet\n");
        }
        Page::json(encode_addresses(&addresses, ADDRESSES_TTL))
    }
}

/// Shows the metrics, on any path.
pub(crate) fn metrics(driver: Rc<Driver>) -> impl Fn(&Request<Incoming>) -> Page {
    move |_| {
        let (in_progress, cold_endpoints, evacuated_domains) = driver.with_path(|path, now| {
            (path.in_progress(), path.cold_endpoints(now).len(), path.evacuated_domains(now).count())
        });
        driver.metrics.set_evacuated_domains(evacuated_domains);
        driver.metrics.set_held_bytes(driver.budget.used_bytes());
        let (exchanges, sends) = driver.kept_entries();
        for (kind, entries) in [("requests", in_progress), ("exchanges", exchanges), ("sends", sends)] {
            driver.metrics.set_kept_entries(kind, entries);
        }
        Page::text(
            StatusCode::OK,
            driver.metrics.encode(
                in_progress,
                cold_endpoints,
                driver.log.dropped_lines(),
                driver.connections.excess_bytes(),
            ),
        )
    }
}

/// Shows operators the state of this VM: its configuration, and the endpoints and VMs it knows.
pub(crate) fn status(driver: Rc<Driver>) -> impl Fn(&Request<Incoming>) -> Page {
    move |request| match request.uri().path() {
        "/v1/status" => Page::json(status_document(&driver).to_string().into_bytes()),
        _ => Page::text(StatusCode::NOT_FOUND, "unknown path; /v1/status shows what this VM knows\n"),
    }
}

fn status_document(driver: &Driver) -> Value {
    driver.with_path(|path, now| {
        let endpoint = |endpoint: &Endpoint| {
            let speed = path.endpoint_speed(now, &endpoint.id);
            json!({
                "id": endpoint.id.as_str(),
                "pool": endpoint.pool.as_str(),
                "failure_domain": endpoint.failure_domain.as_str(),
                "address": endpoint.address.to_string(),
                "is_draining": endpoint.is_draining,
                "work_factor": speed.work_factor,
                "prefill_tokens_per_ms": speed.prefill_tokens_per_ms(),
            })
        };
        let vm = |summary: &VmSummary| {
            json!({
                "vm": summary.vm.as_str(),
                "state": summary.state.to_string(),
                "configuration": summary.configuration.0,
                "peer_revision": summary.process.map(|process| process.peer_revision),
                "settings_digest": summary.process.map(|process| process.settings_digest.to_string()),
                "settings_reads": summary.process.map(|process| process.settings_reads),
            })
        };
        let evacuated = |(domain, duration): (&FailureDomain, SpanMs)| {
            json!({ "failure_domain": domain.as_str(), "known_for_ms": duration.0 })
        };
        json!({
            "evacuated": path.evacuated_domains(now).map(evacuated).collect::<Vec<_>>(),
            "evacuations_version": path.evacuations().map(|evacuations| evacuations.version.to_string()),
            "evacuations_source": path.evacuation_source().map(|source| source.to_string()),
            "is_ready": driver.is_ready.get(),
            "configuration": path.configuration().map(|configuration| configuration.version.0),
            "endpoints_version": path.endpoints_version().number,
            "store_era": path.endpoints_version().era.0,
            "rejected_settings": *driver.last_settings_error.borrow(),
            "vms": path.vm_summaries(now).iter().map(vm).collect::<Vec<_>>(),
            "requests_in_progress": path.in_progress(),
            "serving_vms": path.serving_vms(now).iter().map(|vm| vm.as_str().to_owned()).collect::<Vec<_>>(),
            "endpoints": path.endpoints().map(endpoint).collect::<Vec<_>>(),
        })
    })
}
