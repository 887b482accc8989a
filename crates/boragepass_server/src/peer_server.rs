//! Receives messages from other VMs: checks the key of each stream and passes its messages to an
//! [`Inbox`].

use std::time::Duration;

use async_std::channel::Sender;
use async_std::future::timeout;
use async_std::net::{TcpListener, TcpStream};
use boragepass_core::Event;
use boragepass_types::{AccessKey, Incarnation, VmId};
use boragepass_wire::{FRAME_BYTES_MAX, decode_message};
use bytes::{Buf, Bytes, BytesMut};
use h2::RecvStream;
use h2::server::SendResponse;
use tokio_util::compat::FuturesAsyncReadCompatExt;

use crate::accept::{AcceptChange, Acceptor};
use crate::peer_link::{INCARNATION_HEADER, MESSAGES_PATH, VM_HEADER};
use crate::tasks::Tasks;

const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(3);
const FLOW_CONTROL_WINDOW_BYTES: u32 = 1_048_576;
const FRAME_HEADER_BYTES: usize = 4;

/// Receives the messages of other VMs.
pub trait Inbox: Clone + Send + Sync + 'static {
    /// Receives an encoded message; false ends the stream that it came on.
    fn deliver(&self, vm: &VmId, incarnation: Incarnation, message: &[u8]) -> impl Future<Output = bool> + Send;
}

/// Sends the messages of other VMs to the reducer of a daemon.
#[derive(Clone)]
pub(crate) struct EventInbox(pub(crate) Sender<Event>);

impl Inbox for EventInbox {
    async fn deliver(&self, vm: &VmId, incarnation: Incarnation, message: &[u8]) -> bool {
        match decode_message(message) {
            Ok(message) => {
                self.0.send(Event::PeerMessageReceived { from: vm.clone(), incarnation, message }).await.is_ok()
            }
            Err(error) => {
                log::warn!("cannot decode a message of VM {vm}, closing its stream: {error}");
                false
            }
        }
    }
}

/// Accepts connections of other VMs and passes their messages to `inbox`.
pub async fn serve(listener: TcpListener, key: AccessKey, inbox: impl Inbox, tasks: Tasks) {
    let mut acceptor = Acceptor::new(listener, AcceptChange::log);
    loop {
        let stream = acceptor.accept().await;
        let (key, inbox, connection_tasks) = (key.clone(), inbox.clone(), tasks.clone());
        tasks.spawn(async move { serve_connection(stream, key, inbox, connection_tasks).await });
    }
}

async fn serve_connection(stream: TcpStream, key: AccessKey, inbox: impl Inbox, tasks: Tasks) {
    stream.set_nodelay(true).ok();
    let mut builder = h2::server::Builder::new();
    builder.initial_window_size(FLOW_CONTROL_WINDOW_BYTES).initial_connection_window_size(FLOW_CONTROL_WINDOW_BYTES);
    builder.max_concurrent_streams(1);
    let handshake = timeout(HANDSHAKE_TIMEOUT, builder.handshake::<_, Bytes>(stream.compat())).await;
    let Ok(Ok(mut connection)) = handshake else {
        return;
    };
    while let Some(Ok((request, responder))) = connection.accept().await {
        let (key, inbox) = (key.clone(), inbox.clone());
        tasks.spawn(async move { serve_stream(request, responder, &key, &inbox).await });
    }
}

/// VM that presented the right key.
struct AuthenticatedPeer {
    vm: VmId,
    incarnation: Incarnation,
}

/// Reads which VM sends a request; `None` if its key, path or headers are wrong.
fn authenticate(request: &http::Request<RecvStream>, key: &AccessKey) -> Option<AuthenticatedPeer> {
    let header = |name: &str| request.headers().get(name).and_then(|value| value.to_str().ok());
    let presented_key = header("authorization")?.strip_prefix("Bearer ")?;
    let is_authorized = key.matches(&AccessKey::new(presented_key)) && request.uri().path() == MESSAGES_PATH;
    if !is_authorized {
        return None;
    }
    Some(AuthenticatedPeer {
        vm: header(VM_HEADER)?.parse().ok()?,
        incarnation: header(INCARNATION_HEADER)?.parse().ok()?,
    })
}

/// Passes the messages of a stream to the inbox until the stream ends or a message is invalid.
async fn serve_stream(
    request: http::Request<RecvStream>,
    mut responder: SendResponse<Bytes>,
    key: &AccessKey,
    inbox: &impl Inbox,
) {
    let Some(peer) = authenticate(&request, key) else {
        log::warn!("refused a stream of another VM: wrong key or path, or invalid VM headers");
        let refusal = http::Response::builder().status(403).body(());
        if let Ok(refusal) = refusal {
            responder.send_response(refusal, true).ok();
        }
        return;
    };
    let mut body = request.into_body();
    let mut buffer = BytesMut::new();
    while let Some(Ok(data)) = body.data().await {
        let len = data.len();
        buffer.extend_from_slice(&data);
        if body.flow_control().release_capacity(len).is_err() {
            return;
        }
        while let Some(frame) = split_frame(&mut buffer) {
            if !inbox.deliver(&peer.vm, peer.incarnation, &frame).await {
                return;
            }
        }
        if buffer.len() > FRAME_BYTES_MAX + FRAME_HEADER_BYTES {
            log::warn!("VM {} sent a message longer than {FRAME_BYTES_MAX} bytes; closing its stream", peer.vm);
            return;
        }
    }
}

/// Removes the first frame from the buffer and returns its message; `None` while it is incomplete.
fn split_frame(buffer: &mut BytesMut) -> Option<BytesMut> {
    let header = buffer.get(..FRAME_HEADER_BYTES)?;
    let len = u32::from_be_bytes(header.try_into().ok()?) as usize;
    if buffer.len() < FRAME_HEADER_BYTES + len {
        return None;
    }
    buffer.advance(FRAME_HEADER_BYTES);
    Some(buffer.split_to(len))
}
