//! What a VM keeps of requests that have ended.

use std::collections::BTreeMap;
use std::io::Write;
use std::net::TcpStream;
use std::time::Duration;

use boragepass_platform::names;

use crate::support::{EntryVm, Reply, get, serve, stage_endpoint};
use crate::{STREAM, endpoint, post, start_vm, wait_until};

/// Requests of each kind.
const REQUESTS: u32 = 100;

/// Entries that a VM keeps, by their kind.
fn kept_entries(vm: &EntryVm) -> BTreeMap<String, u64> {
    let metrics = get(vm.address("metrics"), "/metrics").body.unwrap_or_default();
    let lines =
        metrics.lines().filter_map(|line| line.strip_prefix("boragepass_kept_entries{kind=\"")?.split_once("\"} "));
    lines.map(|(kind, entries)| (kind.to_owned(), entries.parse().expect("a number"))).collect()
}

/// Sends a request and leaves before its answer.
fn send_and_leave(vm: &EntryVm, path: &str, id: &str) {
    let mut connection = TcpStream::connect(vm.address("clients")).expect("the VM listens");
    let head = format!(
        "POST {path} HTTP/1.1\r\nhost: gigs.example\r\n{}: {id}\r\n{}: 8000\r\n{}: 2,1\r\n{}: key\r\n\
         authorization: Bearer key-of-a-client\r\ncontent-length: 4\r\n\r\nbody",
        names::ATTEMPT_ID,
        names::DEADLINE_MS,
        names::PIECES,
        names::PIECE_KEY,
    );
    connection.write_all(head.as_bytes()).expect("the VM reads");
    std::thread::sleep(Duration::from_millis(5));
}

#[test]
fn a_vm_keeps_nothing_of_requests_that_have_ended() {
    let (engine, _) = serve(|got| {
        let body = if got.path.ends_with("broken") { "id: 0\ndata: a\n\nid: 1\nda" } else { STREAM };
        Some(Reply::signed(got, body))
    });
    let (api, _) = serve(|got| match got.path.rsplit('/').next() {
        Some("full") => Some(Reply { headers: vec![(names::NOT_RUN, "1".to_owned())], ..Reply::new(503, "") }),
        Some("lost") => None,
        Some("slow") => Some(Reply { head_delay: Duration::from_millis(300), ..Reply::signed(got, "late") }),
        _ => Some(Reply::signed(got, "sound")),
    });
    let (stage_address, _) = stage_endpoint();
    let endpoints = [("i-model", "models", engine), ("i-api", "api", api), ("i-rates", "rates", stage_address)];
    let vm = start_vm(&endpoints.map(|(id, pool, address)| endpoint(id, pool, address)));
    let before = kept_entries(&vm);
    let ways =
        ["/status/1", "/status/full", "/deposits/1", "/deposits/full", "/reviews/7", "/reviews/broken", "/none/1"];
    std::thread::scope(|scope| {
        for way in ways.iter().chain(&["/deposits/lost", "/status/lost"]) {
            let vm = &vm;
            scope.spawn(move || (0..REQUESTS).for_each(|number| drop(post(vm, way, &format!("{way}-{number}")))));
        }
        for way in ["/status/slow", "/deposits/slow", "/reviews/7"] {
            let vm = &vm;
            scope.spawn(move || {
                (0..REQUESTS).for_each(|number| send_and_leave(vm, way, &format!("{way}-left-{number}")))
            });
        }
    });
    assert_eq!(before.len(), 3, "{before:?}");
    let mut after = BTreeMap::new();
    wait_until(&format!("the VM keeps {before:?}"), || {
        after = kept_entries(&vm);
        after == before
    });
}
