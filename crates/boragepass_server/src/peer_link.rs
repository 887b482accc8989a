//! Messages to other VMs: one h2 connection a pair that needs one, with a bounded queue.
//!
//! A connection carries one request whose body is a sequence of frames, each a length and a
//! message. Soft state may be lost; a full queue drops its newest message and counts it.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use async_std::channel::{Receiver, Sender, bounded};
use async_std::future::timeout;
use async_std::net::TcpStream;
use boragepass_core::PeerMessage;
use boragepass_types::{AccessKey, Incarnation, VmId};
use boragepass_wire::encode_message;
use bytes::{BufMut, Bytes, BytesMut};
use h2::SendStream;
use socket2::SockRef;
use tokio_util::compat::FuturesAsyncReadCompatExt;

use crate::tasks::Tasks;

const QUEUE_LEN: usize = 1_024;
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
const SEND_TIMEOUT: Duration = Duration::from_secs(3);
const RECONNECT_PAUSE: Duration = Duration::from_millis(200);
/// Time after which a connection whose bytes are not acknowledged is closed.
const UNACKNOWLEDGED_MAX: Duration = Duration::from_secs(2);
const FRAME_HEAD_BYTES: usize = 4;

/// Header that names the sending VM.
pub(crate) const VM_HEADER: &str = "x-boragepass-vm";
/// Header with its incarnation.
pub(crate) const INCARNATION_HEADER: &str = "x-boragepass-incarnation";
/// Path of the one request of a connection.
pub(crate) const PATH: &str = "/v1/messages";

/// Who this VM is towards others.
#[derive(Debug, Clone)]
pub struct Identity {
    /// The VM.
    pub vm: VmId,
    /// Start of its process.
    pub incarnation: Incarnation,
    /// Key that VMs present to each other.
    pub key: AccessKey,
}

/// Traffic to other VMs since the start.
#[derive(Debug, Default)]
pub struct Traffic {
    /// Bytes sent.
    pub bytes: AtomicU64,
    /// Messages sent.
    pub messages: AtomicU64,
    /// Messages that were not sent.
    pub dropped: AtomicU64,
}

/// Queues by VM and address; a VM that starts anew may have another address.
type Links = HashMap<(VmId, SocketAddr), Sender<Bytes>>;

/// Links to all VMs that were sent something.
#[derive(Clone)]
pub struct PeerLinks {
    identity: Arc<Identity>,
    tasks: Tasks,
    links: Arc<Mutex<Links>>,
    /// What was sent.
    pub traffic: Arc<Traffic>,
}

impl PeerLinks {
    /// Links of a VM that has sent nothing yet.
    pub fn new(identity: Identity, tasks: Tasks) -> Self {
        Self { identity: Arc::new(identity), tasks, links: Arc::default(), traffic: Arc::default() }
    }

    /// Queues a message.
    pub(crate) fn send(&self, to: &VmId, address: SocketAddr, message: &PeerMessage) {
        let Ok(encoded) = encode_message(message) else {
            self.traffic.dropped.fetch_add(1, Ordering::Relaxed);
            return;
        };
        self.send_encoded(to, address, &encoded);
    }

    /// Queues a message that is encoded already.
    pub fn send_encoded(&self, to: &VmId, address: SocketAddr, encoded: &[u8]) {
        let mut frame = BytesMut::with_capacity(FRAME_HEAD_BYTES + encoded.len());
        frame.put_u32(encoded.len() as u32);
        frame.put_slice(encoded);
        self.traffic.bytes.fetch_add(frame.len() as u64, Ordering::Relaxed);
        self.traffic.messages.fetch_add(1, Ordering::Relaxed);
        let sender = self.link(to, address);
        if sender.try_send(frame.freeze()).is_err() {
            self.traffic.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }

    fn link(&self, to: &VmId, address: SocketAddr) -> Sender<Bytes> {
        let mut links = self.links.lock().expect("no holder of this lock panics");
        if let Some(sender) = links.get(&(to.clone(), address)) {
            return sender.clone();
        }
        let (sender, receiver) = bounded(QUEUE_LEN);
        links.insert((to.clone(), address), sender.clone());
        let (identity, traffic) = (self.identity.clone(), self.traffic.clone());
        self.tasks.spawn(async move { keep_link(&identity, address, &receiver, &traffic).await });
        sender
    }
}

/// Sends what is queued, over a new connection whenever one fails.
async fn keep_link(identity: &Identity, address: SocketAddr, queue: &Receiver<Bytes>, traffic: &Traffic) {
    while let Ok(first) = queue.recv().await {
        let opened = timeout(CONNECT_TIMEOUT, open(identity, address)).await;
        let Ok(Ok((mut stream, driver))) = opened else {
            drop_queued(queue, traffic);
            async_std::task::sleep(RECONNECT_PAUSE).await;
            continue;
        };
        let sending = send_all(&mut stream, first, queue);
        futures::pin_mut!(sending, driver);
        futures::future::select(sending, driver).await;
        drop_queued(queue, traffic);
    }
}

/// What waited for a VM that cannot be reached is old by the time it can.
fn drop_queued(queue: &Receiver<Bytes>, traffic: &Traffic) {
    while queue.try_recv().is_ok() {
        traffic.dropped.fetch_add(1, Ordering::Relaxed);
    }
}

async fn send_all(stream: &mut SendStream<Bytes>, first: Bytes, queue: &Receiver<Bytes>) {
    let mut frame = first;
    loop {
        match timeout(SEND_TIMEOUT, send_frame(stream, frame)).await {
            Ok(Ok(())) => {}
            Ok(Err(_)) | Err(_) => return,
        }
        frame = match queue.recv().await {
            Ok(next) => next,
            Err(_) => return,
        };
    }
}

async fn send_frame(stream: &mut SendStream<Bytes>, mut frame: Bytes) -> Result<(), h2::Error> {
    while !frame.is_empty() {
        stream.reserve_capacity(frame.len());
        let granted = futures::future::poll_fn(|context| stream.poll_capacity(context)).await;
        let Some(granted) = granted else {
            return Err(h2::Reason::CANCEL.into());
        };
        let part = frame.split_to(granted?.min(frame.len()));
        stream.send_data(part, false)?;
    }
    Ok(())
}

type Driver = futures::future::BoxFuture<'static, ()>;

async fn open(identity: &Identity, address: SocketAddr) -> Result<(SendStream<Bytes>, Driver), std::io::Error> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    SockRef::from(&stream).set_tcp_user_timeout(Some(UNACKNOWLEDGED_MAX))?;
    let (client, connection) = h2::client::handshake(stream.compat()).await.map_err(std::io::Error::other)?;
    let driver: Driver = Box::pin(async move {
        // An error ends the connection; the link opens another.
        connection.await.ok();
    });
    let request = http::Request::builder()
        .method("POST")
        .uri(format!("http://{address}{PATH}"))
        .header("authorization", format!("Bearer {}", identity.key.reveal()))
        .header(VM_HEADER, identity.vm.as_str())
        .header(INCARNATION_HEADER, identity.incarnation.to_string())
        .body(())
        .map_err(std::io::Error::other)?;
    let mut client = client;
    let (_response, send) = client.send_request(request, false).map_err(std::io::Error::other)?;
    Ok((send, driver))
}
