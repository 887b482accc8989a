//! Rows that another writer left among those of the endpoints.

use boragepass_platform::{encode_endpoint, names};
use boragepass_soak::{ODD_KEYS, Store, odd_entries};

use crate::support::{EntryVm, Reply, serve};
use crate::{CONFIGURATION, endpoint, post, status_of, wait_until};

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
            let entry = encode_endpoint(&endpoint("i-odd", "api", self.api));
            self.store.put_row(names::ENDPOINT_TABLE, key, entry);
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

/// A page that starts behind such a key would start at one that the store does not take.
#[test]
fn an_odd_key_as_long_as_the_store_takes_does_not_hide_the_rest_of_the_list() {
    let site = Site::start();
    site.store.put_row(names::ENDPOINT_TABLE, &"k".repeat(names::KEY_BYTES_MAX), b"{}".to_vec());
    site.list("zzz-last");
    site.store.limit_pages(2);
    let vm = EntryVm::start(site.store.address);
    vm.wait_ready();
    wait_until("the whole list is read", || status_of(&vm).contains("zzz-last"));
}

/// The list comes in pages that start behind the last key of the one before.
#[test]
fn an_odd_key_at_the_end_of_a_page_does_not_hide_the_rest_of_the_list() {
    for key in ODD_KEYS {
        let site = Site::start();
        site.store.put_row(names::ENDPOINT_TABLE, key, b"{}".to_vec());
        site.list("zzz-last");
        site.store.limit_pages(1);
        let vm = EntryVm::start(site.store.address);
        vm.wait_ready();
        wait_until("the whole list is read", || status_of(&vm).contains("zzz-last"));
    }
}
