//! Sends messages to other VMs: a bounded queue and one h2 connection per VM, opened on first use.
//!
//! A connection carries one request whose body is a sequence of frames, each a length and a
//! message. Soft state may be lost, so a full queue drops the new message and counts it.

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

const QUEUE_LEN_MAX: usize = 1_024;
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
const SEND_TIMEOUT: Duration = Duration::from_secs(3);
const RECONNECT_DELAY: Duration = Duration::from_millis(200);
/// Time after which a connection with unacknowledged bytes is closed.
const UNACKNOWLEDGED_TIME_MAX: Duration = Duration::from_secs(2);
const FRAME_HEADER_BYTES: usize = 4;

/// Header that names the sending VM.
pub(crate) const VM_HEADER: &str = "x-boragepass-vm";
/// Header that holds the incarnation of the sending VM.
pub(crate) const INCARNATION_HEADER: &str = "x-boragepass-incarnation";
/// Path of the request that a connection carries.
pub(crate) const MESSAGES_PATH: &str = "/v1/messages";

/// How this VM identifies itself to other VMs.
#[derive(Debug, Clone)]
pub struct Identity {
    /// The VM.
    pub vm: VmId,
    /// Incarnation of its process.
    pub incarnation: Incarnation,
    /// Key that VMs present to each other.
    pub key: AccessKey,
}

/// Traffic to other VMs since the start.
#[derive(Debug, Default)]
pub struct Traffic {
    /// Bytes of the encoded messages and their length headers, dropped ones included.
    pub bytes: AtomicU64,
    /// Encoded messages, dropped ones included.
    pub messages: AtomicU64,
    /// Messages dropped: not encodable, refused by a full queue, or still queued when a connection failed.
    /// The message that was being sent at that time is not counted.
    pub dropped: AtomicU64,
}

/// Queues by VM and address; a restarted VM may have another address.
type LinkQueues = HashMap<(VmId, SocketAddr), Sender<Bytes>>;

/// Links to the VMs to which a message was sent, one per VM and address. Clones share the links.
#[derive(Clone)]
pub struct PeerLinks {
    identity: Arc<Identity>,
    tasks: Tasks,
    queues: Arc<Mutex<LinkQueues>>,
    /// Counts of the traffic to other VMs.
    pub traffic: Arc<Traffic>,
}

impl PeerLinks {
    /// Creates the sending side of a VM, without links yet.
    pub fn new(identity: Identity, tasks: Tasks) -> Self {
        Self { identity: Arc::new(identity), tasks, queues: Arc::default(), traffic: Arc::default() }
    }

    /// Encodes and queues a message.
    pub(crate) fn send(&self, to: &VmId, address: SocketAddr, message: &PeerMessage) {
        let Ok(encoded) = encode_message(message) else {
            self.traffic.dropped.fetch_add(1, Ordering::Relaxed);
            return;
        };
        self.send_encoded(to, address, &encoded);
    }

    /// Queues an encoded message.
    pub fn send_encoded(&self, to: &VmId, address: SocketAddr, encoded: &[u8]) {
        let mut frame = BytesMut::with_capacity(FRAME_HEADER_BYTES + encoded.len());
        frame.put_u32(encoded.len() as u32);
        frame.put_slice(encoded);
        self.traffic.bytes.fetch_add(frame.len() as u64, Ordering::Relaxed);
        self.traffic.messages.fetch_add(1, Ordering::Relaxed);
        let sender = self.queue_to(to, address);
        if sender.try_send(frame.freeze()).is_err() {
            self.traffic.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Queue of the link to a VM, which is started if there is none.
    fn queue_to(&self, to: &VmId, address: SocketAddr) -> Sender<Bytes> {
        let mut queues = self.queues.lock().expect("no holder of this lock panics");
        if let Some(sender) = queues.get(&(to.clone(), address)) {
            return sender.clone();
        }
        let (sender, receiver) = bounded(QUEUE_LEN_MAX);
        queues.insert((to.clone(), address), sender.clone());
        let (identity, traffic) = (self.identity.clone(), self.traffic.clone());
        self.tasks.spawn(async move { run_link(&identity, address, &receiver, &traffic).await });
        sender
    }
}

/// Sends queued frames. After a connection has failed, the next frame opens a new one.
async fn run_link(identity: &Identity, address: SocketAddr, queue: &Receiver<Bytes>, traffic: &Traffic) {
    while let Ok(first_frame) = queue.recv().await {
        let opened = timeout(CONNECT_TIMEOUT, open_connection(identity, address)).await;
        let Ok(Ok((mut stream, driver))) = opened else {
            drop_queued(queue, traffic);
            async_std::task::sleep(RECONNECT_DELAY).await;
            continue;
        };
        let send_loop = send_queued(&mut stream, first_frame, queue);
        futures::pin_mut!(send_loop, driver);
        futures::future::select(send_loop, driver).await;
        drop_queued(queue, traffic);
    }
}

/// Drops queued frames: they would be outdated by the time the VM can be reached.
fn drop_queued(queue: &Receiver<Bytes>, traffic: &Traffic) {
    while queue.try_recv().is_ok() {
        traffic.dropped.fetch_add(1, Ordering::Relaxed);
    }
}

/// Sends frames until one fails or takes too long.
async fn send_queued(stream: &mut SendStream<Bytes>, first_frame: Bytes, queue: &Receiver<Bytes>) {
    let mut frame = first_frame;
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

/// Sends a frame in as many chunks as flow control demands.
async fn send_frame(stream: &mut SendStream<Bytes>, mut frame: Bytes) -> Result<(), h2::Error> {
    while !frame.is_empty() {
        stream.reserve_capacity(frame.len());
        let capacity = futures::future::poll_fn(|context| stream.poll_capacity(context)).await;
        let Some(capacity) = capacity else {
            return Err(h2::Reason::CANCEL.into());
        };
        let chunk = frame.split_to(capacity?.min(frame.len()));
        stream.send_data(chunk, false)?;
    }
    Ok(())
}

/// Future that runs the I/O of a connection; it ends when the connection closes.
type ConnectionDriver = futures::future::BoxFuture<'static, ()>;

/// Opens a connection and starts its request.
async fn open_connection(
    identity: &Identity,
    address: SocketAddr,
) -> Result<(SendStream<Bytes>, ConnectionDriver), std::io::Error> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    SockRef::from(&stream).set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIME_MAX))?;
    let (client, connection) = h2::client::handshake(stream.compat()).await.map_err(std::io::Error::other)?;
    let driver: ConnectionDriver = Box::pin(async move {
        // After an error the link opens a new connection.
        connection.await.ok();
    });
    let request = http::Request::builder()
        .method("POST")
        .uri(format!("http://{address}{MESSAGES_PATH}"))
        .header("authorization", format!("Bearer {}", identity.key.reveal()))
        .header(VM_HEADER, identity.vm.as_str())
        .header(INCARNATION_HEADER, identity.incarnation.to_string())
        .body(())
        .map_err(std::io::Error::other)?;
    let mut client = client;
    let (_response, stream) = client.send_request(request, false).map_err(std::io::Error::other)?;
    Ok((stream, driver))
}
