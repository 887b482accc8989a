//! Links to other VMs that are slower than what is sent over them.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use async_std::net::TcpListener;
use async_std::task;
use boragepass_server::{Identity, Inbox, PeerLinks, Replaceable, Tasks, encode_frame, serve_peers};
use boragepass_types::{AccessKey, Incarnation, VmId};

/// Messages that replace each other, each larger than what a link takes before the other VM reads.
const MESSAGES: u8 = 50;
const MESSAGE_BYTES: usize = 200_000;

/// First byte of each message that arrived.
#[derive(Clone, Default)]
struct Received(Arc<Mutex<Vec<u8>>>);

impl Inbox for Received {
    async fn deliver(&self, _vm: &VmId, _incarnation: Incarnation, message: &[u8]) -> bool {
        self.0.lock().expect("no holder of this lock panics").push(message[0]);
        true
    }
}

#[async_std::test]
async fn only_the_newest_of_messages_that_replace_each_other_waits_for_a_slow_link() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    let (vm, key) = ("vm-1".parse::<VmId>().expect("a valid id"), AccessKey::new("key-of-the-vms"));
    let tasks = Tasks::default();
    let links =
        PeerLinks::new(Identity { vm: vm.clone(), incarnation: Incarnation(1), key: key.clone() }, tasks.clone());
    for number in 0..MESSAGES {
        let frame = encode_frame(&vec![number; MESSAGE_BYTES]);
        links.send_newest(&vm, address, Replaceable::Configuration, frame);
    }
    let received = Received::default();
    let (inbox, server_tasks) = (received.clone(), tasks.clone());
    tasks.spawn(async move { serve_peers(listener, key, inbox, server_tasks).await });
    let messages = || received.0.lock().expect("no holder of this lock panics").clone();
    for _ in 0..200 {
        if messages().last() == Some(&(MESSAGES - 1)) {
            break;
        }
        task::sleep(Duration::from_millis(50)).await;
    }
    let messages = messages();
    assert_eq!(messages.last(), Some(&(MESSAGES - 1)), "{messages:?}");
    assert!(messages.len() <= 2, "the one on its way and the newest: {messages:?}");
    tasks.abort_all();
}
