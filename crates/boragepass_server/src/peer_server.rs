//! Messages from other VMs.

use std::time::Duration;

use async_std::channel::Sender;
use async_std::future::timeout;
use async_std::net::{TcpListener, TcpStream};
use async_std::stream::StreamExt;
use boragepass_core::Event;
use boragepass_types::{AccessKey, Incarnation, VmId};
use boragepass_wire::{FRAME_BYTES_MAX, decode_message};
use bytes::{Buf, Bytes, BytesMut};
use h2::RecvStream;
use h2::server::SendResponse;
use tokio_util::compat::FuturesAsyncReadCompatExt;

use crate::peer_link::{INCARNATION_HEADER, PATH, VM_HEADER};
use crate::tasks::Tasks;

const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(3);
const WINDOW_BYTES: u32 = 1_048_576;
const FRAME_HEAD_BYTES: usize = 4;

/// Takes the messages of other VMs.
pub trait Inbox: Clone + Send + Sync + 'static {
    /// Takes a message; false ends the connection.
    fn take(&self, vm: &VmId, incarnation: Incarnation, message: &[u8]) -> impl Future<Output = bool> + Send;
}

/// Feeds messages to the reducer of a daemon.
#[derive(Clone)]
pub(crate) struct EventInbox(pub(crate) Sender<Event>);

impl Inbox for EventInbox {
    async fn take(&self, vm: &VmId, incarnation: Incarnation, message: &[u8]) -> bool {
        match decode_message(message) {
            Ok(message) => {
                self.0.send(Event::PeerMessageReceived { from: vm.clone(), incarnation, message }).await.is_ok()
            }
            Err(error) => {
                log::warn!("message of VM {vm} refused: {error}");
                false
            }
        }
    }
}

/// Accepts connections of other VMs.
pub async fn serve(listener: TcpListener, key: AccessKey, inbox: impl Inbox, tasks: Tasks) {
    let mut incoming = listener.incoming();
    while let Some(stream) = incoming.next().await {
        let Ok(stream) = stream else {
            continue;
        };
        let (key, inbox, inner) = (key.clone(), inbox.clone(), tasks.clone());
        tasks.spawn(async move { serve_connection(stream, key, inbox, inner).await });
    }
}

async fn serve_connection(stream: TcpStream, key: AccessKey, inbox: impl Inbox, tasks: Tasks) {
    stream.set_nodelay(true).ok();
    let mut builder = h2::server::Builder::new();
    builder.initial_window_size(WINDOW_BYTES).initial_connection_window_size(WINDOW_BYTES);
    builder.max_concurrent_streams(1);
    let handshake = timeout(HANDSHAKE_TIMEOUT, builder.handshake::<_, Bytes>(stream.compat())).await;
    let Ok(Ok(mut connection)) = handshake else {
        return;
    };
    while let Some(Ok((request, respond))) = connection.accept().await {
        let (key, inbox) = (key.clone(), inbox.clone());
        tasks.spawn(async move { serve_stream(request, respond, &key, &inbox).await });
    }
}

struct Peer {
    vm: VmId,
    incarnation: Incarnation,
}

fn identify(request: &http::Request<RecvStream>, key: &AccessKey) -> Option<Peer> {
    let header = |name: &str| request.headers().get(name).and_then(|value| value.to_str().ok());
    let presented = header("authorization")?.strip_prefix("Bearer ")?;
    let is_known = key.matches(&AccessKey::new(presented)) && request.uri().path() == PATH;
    if !is_known {
        return None;
    }
    Some(Peer { vm: header(VM_HEADER)?.parse().ok()?, incarnation: header(INCARNATION_HEADER)?.parse().ok()? })
}

async fn serve_stream(
    request: http::Request<RecvStream>,
    mut respond: SendResponse<Bytes>,
    key: &AccessKey,
    inbox: &impl Inbox,
) {
    let Some(peer) = identify(&request, key) else {
        log::warn!("refused a connection of a VM without the key");
        let refusal = http::Response::builder().status(403).body(());
        if let Ok(refusal) = refusal {
            respond.send_response(refusal, true).ok();
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
        while let Some(frame) = take_frame(&mut buffer) {
            if !inbox.take(&peer.vm, peer.incarnation, &frame).await {
                return;
            }
        }
        if buffer.len() > FRAME_BYTES_MAX + FRAME_HEAD_BYTES {
            log::warn!("VM {} sent a message that is too long", peer.vm);
            return;
        }
    }
}

fn take_frame(buffer: &mut BytesMut) -> Option<BytesMut> {
    let head = buffer.get(..FRAME_HEAD_BYTES)?;
    let len = u32::from_be_bytes(head.try_into().ok()?) as usize;
    if buffer.len() < FRAME_HEAD_BYTES + len {
        return None;
    }
    buffer.advance(FRAME_HEAD_BYTES);
    Some(buffer.split_to(len))
}
