//! Rows that another writer left among those of the endpoints.

use boragepass_platform::{encode_endpoint, names};
use boragepass_soak::Store;

use crate::support::{EntryVm, Reply, serve};
use crate::{CONFIGURATION, endpoint, post, status_of, wait_until};

/// Entry of an endpoint with some fields replaced or added, as JSON text.
fn entry_with(changed_fields: &[(&str, &str)]) -> Vec<u8> {
    let mut fields = vec![
        ("service", r#""api""#),
        ("address", r#""127.0.0.1:9""#),
        ("zone", r#""lagos-a""#),
        ("state", r#""ready""#),
        ("slots", "6"),
        ("born", "1"),
        ("version", r#""1""#),
    ];
    for (name, value) in changed_fields {
        fields.retain(|(known, _)| known != name);
        fields.push((name, value));
    }
    let fields: Vec<_> = fields.iter().map(|(name, value)| format!("{name:?}:{value}")).collect();
    format!("{{{}}}", fields.join(",")).into_bytes()
}

/// Entries that name no endpoint.
fn odd_entries() -> Vec<Vec<u8>> {
    let nested = format!("{}{}", "[".repeat(20_000), "]".repeat(20_000));
    let nested_objects = format!("{}1{}", r#"{"a":"#.repeat(20_000), "}".repeat(20_000));
    vec![
        nested.clone().into_bytes(),
        nested_objects.into_bytes(),
        "[".repeat(60_000).into_bytes(),
        entry_with(&[("service", &nested)]),
        entry_with(&[("state", &nested)]),
        entry_with(&[("slots", "1e400")]),
        entry_with(&[("slots", "99999999999999999999999999")]),
        entry_with(&[("slots", "-1")]),
        entry_with(&[("born", "1e300")]),
        entry_with(&[("born", "18446744073709551615")]),
        entry_with(&[("born", "18446744073709551616")]),
        entry_with(&[("coldLeftMs", "1e308")]),
        entry_with(&[("coldLeftMs", "1e999")]),
        entry_with(&[("coldLeftMs", "-5")]),
        entry_with(&[("address", r#""127.0.0.1:70000""#)]),
        entry_with(&[("address", r#""127.0.0.1:0""#)]),
        entry_with(&[("address", r#""no address""#)]),
        entry_with(&[("zone", r#""""#)]),
        entry_with(&[("state", r#""asleep""#)]),
        entry_with(&[("service", "7")]),
        b"null".to_vec(),
        b"{}".to_vec(),
        vec![0xff, 0xfe, 0x00],
        Vec::new(),
    ]
}

/// Keys that are no ids or mean something in a query.
const ODD_KEYS: [&str; 5] = ["i odd", "i&limit=1#", "i%zz", "zürich", "zz\u{1}"];

struct Site {
    store: Store,
    api: std::net::SocketAddr,
}

impl Site {
    fn start() -> Self {
        let store = Store::start();
        store.put_row(names::CONFIGURATION_TABLE, names::CONFIGURATION_KEY, CONFIGURATION.into());
        let (api, _) = serve(|got| Some(Reply::signed(got, "sound")));
        let site = Self { store, api };
        site.list("i-first");
        site
    }

    fn list(&self, id: &str) {
        self.store.put_row(names::ENDPOINT_TABLE, id, encode_endpoint(&endpoint(id, "api", self.api)));
    }

    fn put_odd_rows(&self) {
        for (number, entry) in odd_entries().into_iter().enumerate() {
            self.store.put_row(names::ENDPOINT_TABLE, &format!("i-odd-{number}"), entry);
        }
        for key in ODD_KEYS {
            self.store.put_row(names::ENDPOINT_TABLE, key, entry_with(&[]));
        }
    }
}

fn assert_serves(vm: &mut EntryVm) {
    let status = status_of(vm);
    assert!(!status.contains("i-odd"), "an odd entry names no endpoint: {status}");
    assert_eq!(post(vm, "/deposits/1", "deposit-1").status, 200);
    assert!(vm.process().try_wait().expect("a process").is_none(), "the VM runs on");
}

#[test]
fn odd_entries_neither_end_a_vm_nor_keep_it_from_following_the_list() {
    let site = Site::start();
    let mut vm = EntryVm::start(site.store.address);
    vm.wait_ready();
    site.put_odd_rows();
    site.list("i-second");
    wait_until("the VM follows the list", || status_of(&vm).contains("i-second"));
    assert_serves(&mut vm);
    let mut later_vm = EntryVm::start(site.store.address);
    later_vm.wait_ready();
    wait_until("a VM that starts later reads the list", || status_of(&later_vm).contains("i-second"));
    assert_serves(&mut later_vm);
}

#[test]
fn an_endpoint_whose_entry_was_overwritten_by_an_odd_one_is_used_again_after_its_next_entry() {
    for entry in odd_entries() {
        let site = Site::start();
        let vm = EntryVm::start(site.store.address);
        vm.wait_ready();
        site.store.put_row(names::ENDPOINT_TABLE, "i-first", entry.clone());
        wait_until("the odd entry names no endpoint", || !status_of(&vm).contains("i-first"));
        site.list("i-first");
        wait_until("the endpoint's own entry counts", || status_of(&vm).contains("i-first"));
        assert_eq!(post(&vm, "/deposits/1", "deposit-1").status, 200, "{}", String::from_utf8_lossy(&entry));
    }
}

/// The list comes in pages that start behind the last key of the one before.
#[test]
fn an_odd_key_at_the_end_of_a_page_does_not_hide_the_rest_of_the_list() {
    for key in ODD_KEYS {
        let site = Site::start();
        site.store.put_row(names::ENDPOINT_TABLE, key, entry_with(&[("state", "7")]));
        site.list("zzz-last");
        site.store.limit_pages(1);
        let vm = EntryVm::start(site.store.address);
        vm.wait_ready();
        wait_until("the whole list is read", || status_of(&vm).contains("zzz-last"));
    }
}
