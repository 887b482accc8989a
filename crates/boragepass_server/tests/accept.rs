//! Acceptance of connections by a process that runs out of descriptors. A process of its own, since it lowers its limit.

use std::fs::File;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use async_std::future::timeout;
use async_std::net::TcpListener;
use async_std::task;
use boragepass_server::{AcceptChange, Acceptor};
use rustix::process::{Resource, Rlimit, setrlimit};

/// Descriptors that the process may have in all.
const DESCRIPTORS_MAX: u64 = 64;

#[async_std::test]
async fn failures_to_accept_end_once_descriptors_are_free_though_no_client_connects() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let changes = Arc::new(Mutex::new(Vec::new()));
    let listener_changes = changes.clone();
    let mut acceptor = Acceptor::new(listener, move |change| {
        let change = match change {
            AcceptChange::Failing(_) => "failing",
            AcceptChange::Recovered(_) => "recovered",
        };
        listener_changes.lock().expect("the lock is not poisoned").push(change);
    });
    // The timers of the runtime need descriptors, which they take at their first use.
    task::sleep(Duration::from_millis(1)).await;
    setrlimit(Resource::Nofile, Rlimit { current: Some(DESCRIPTORS_MAX), maximum: Some(DESCRIPTORS_MAX) })
        .expect("the limit is lowered");
    let files: Vec<File> = std::iter::from_fn(|| File::open("/dev/null").ok()).collect();
    assert!(timeout(Duration::from_millis(300), acceptor.accept()).await.is_err(), "no client connects");
    assert_eq!(*changes.lock().expect("the lock is not poisoned"), ["failing"]);
    drop(files);
    assert!(timeout(Duration::from_millis(300), acceptor.accept()).await.is_err(), "no client connects");
    assert_eq!(*changes.lock().expect("the lock is not poisoned"), ["failing", "recovered"]);
}
