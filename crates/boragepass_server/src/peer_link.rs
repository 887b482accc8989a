//! Sends messages to other VMs: a bounded queue and one h2 connection per VM, opened on first use.
//!
//! A connection carries one request whose body is a sequence of frames, each a length and a
//! message. Soft state may be lost, so a full queue drops the new message and counts it. Of messages that replace an
//! earlier one of their kind, such as a whole list, only the newest waits for a slow link.

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
/// Longest time in which a frame makes no progress. A large one may take longer on a slow link.
const STALL_TIMEOUT: Duration = Duration::from_secs(3);
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

/// Kinds of messages of which each replaces the one before.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Replaceable {
    /// List of endpoints.
    Endpoints,
    /// Configuration.
    Configuration,
}

/// Number of the kinds in [`Replaceable`].
const REPLACEABLE_KINDS: usize = 2;

/// Frame that waits for a link.
enum QueuedFrame {
    /// The frame itself.
    Frame(Bytes),
    /// The newest frame of a kind.
    Newest(Replaceable),
}

/// Newest frame of each kind that waits for a link.
type NewestFrames = Arc<Mutex<[Option<Bytes>; REPLACEABLE_KINDS]>>;

/// What waits for a link.
#[derive(Clone)]
struct LinkQueue {
    frames: Sender<QueuedFrame>,
    newest: NewestFrames,
}

/// Queues by VM and address; a restarted VM may have another address.
type LinkQueues = HashMap<(VmId, SocketAddr), LinkQueue>;

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
        let frame = self.count(encode_frame(encoded));
        let queue = self.queue_to(to, address);
        if queue.frames.try_send(QueuedFrame::Frame(frame)).is_err() {
            self.traffic.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Queues a frame of [`encode_frame`] in place of the one of its kind that still waits, if any.
    pub fn send_newest(&self, to: &VmId, address: SocketAddr, kind: Replaceable, frame: Bytes) {
        let frame = self.count(frame);
        let queue = self.queue_to(to, address);
        let replaced = queue.newest.lock().expect("no holder of this lock panics")[kind as usize].replace(frame);
        let is_queued = replaced.is_some() || queue.frames.try_send(QueuedFrame::Newest(kind)).is_ok();
        if replaced.is_some() || !is_queued {
            self.traffic.dropped.fetch_add(1, Ordering::Relaxed);
        }
        if !is_queued {
            queue.newest.lock().expect("no holder of this lock panics")[kind as usize] = None;
        }
    }

    fn count(&self, frame: Bytes) -> Bytes {
        self.traffic.bytes.fetch_add(frame.len() as u64, Ordering::Relaxed);
        self.traffic.messages.fetch_add(1, Ordering::Relaxed);
        frame
    }

    /// Queue of the link to a VM, which is started if there is none.
    fn queue_to(&self, to: &VmId, address: SocketAddr) -> LinkQueue {
        let mut queues = self.queues.lock().expect("no holder of this lock panics");
        if let Some(queue) = queues.get(&(to.clone(), address)) {
            return queue.clone();
        }
        let (frames, receiver) = bounded(QUEUE_LEN_MAX);
        let queue = LinkQueue { frames, newest: NewestFrames::default() };
        queues.insert((to.clone(), address), queue.clone());
        let waiting = WaitingFrames { frames: receiver, newest: queue.newest.clone() };
        let (identity, traffic) = (self.identity.clone(), self.traffic.clone());
        self.tasks.spawn(async move { run_link(&identity, address, &waiting, &traffic).await });
        queue
    }
}

/// Encodes a message with its length before it.
pub fn encode_frame(encoded: &[u8]) -> Bytes {
    let mut frame = BytesMut::with_capacity(FRAME_HEADER_BYTES + encoded.len());
    frame.put_u32(encoded.len() as u32);
    frame.put_slice(encoded);
    frame.freeze()
}

/// Receiving side of a [`LinkQueue`].
struct WaitingFrames {
    frames: Receiver<QueuedFrame>,
    newest: NewestFrames,
}

impl WaitingFrames {
    /// Waits for the next frame; `None` once the sending side is gone.
    async fn next(&self) -> Option<Bytes> {
        loop {
            let frame = match self.frames.recv().await.ok()? {
                QueuedFrame::Frame(frame) => Some(frame),
                QueuedFrame::Newest(kind) => self.take_newest(kind),
            };
            if frame.is_some() {
                return frame;
            }
        }
    }

    fn take_newest(&self, kind: Replaceable) -> Option<Bytes> {
        self.newest.lock().expect("no holder of this lock panics")[kind as usize].take()
    }

    /// Drops all frames: they would be outdated by the time the VM can be reached.
    fn drop_all(&self, traffic: &Traffic) {
        while let Ok(queued) = self.frames.try_recv() {
            if let QueuedFrame::Newest(kind) = queued {
                self.take_newest(kind);
            }
            traffic.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }
}

/// Sends queued frames. After a connection has failed, the next frame opens a new one.
async fn run_link(identity: &Identity, address: SocketAddr, queue: &WaitingFrames, traffic: &Traffic) {
    while let Some(first_frame) = queue.next().await {
        let opened = timeout(CONNECT_TIMEOUT, open_connection(identity, address)).await;
        let Ok(Ok((mut stream, driver))) = opened else {
            queue.drop_all(traffic);
            async_std::task::sleep(RECONNECT_DELAY).await;
            continue;
        };
        let send_loop = send_queued(&mut stream, first_frame, queue);
        futures::pin_mut!(send_loop, driver);
        futures::future::select(send_loop, driver).await;
        queue.drop_all(traffic);
    }
}

/// Sends frames until one fails or makes no progress.
async fn send_queued(stream: &mut SendStream<Bytes>, first_frame: Bytes, queue: &WaitingFrames) {
    let mut frame = first_frame;
    loop {
        if send_frame(stream, frame).await.is_err() {
            return;
        }
        frame = match queue.next().await {
            Some(next) => next,
            None => return,
        };
    }
}

/// Sends a frame in as many chunks as flow control demands.
async fn send_frame(stream: &mut SendStream<Bytes>, mut frame: Bytes) -> Result<(), h2::Error> {
    while !frame.is_empty() {
        stream.reserve_capacity(frame.len());
        let capacity = futures::future::poll_fn(|context| stream.poll_capacity(context));
        let Ok(Some(capacity)) = timeout(STALL_TIMEOUT, capacity).await else {
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
