//! Messages to and from other VMs: heartbeats as datagrams, all else over h2.
//!
//! A connection can go silent for seconds before it is given up. Heartbeats must not wait for that,
//! so they travel as datagrams, of which some may be lost.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;

use async_std::channel::{Receiver, Sender};
use async_std::net::{TcpListener, UdpSocket};
use async_std::task;
use boragepass_path::{EndpointUpdate, Event, PeerMessage, Record, RequestPath};
use boragepass_platform::decode_configuration;
use boragepass_server::{Identity, Inbox, PeerLinks, Tasks, serve_peers};
use boragepass_types::{AccessKey, Incarnation, VmId};
use bytes::Bytes;

use crate::driver::Driver;
use crate::peer_wire::{WireFrame, WireState, decode, encode};

/// Messages of other VMs that wait for the request path.
const INBOX_MAX: usize = 16_384;
/// Largest datagram.
const DATAGRAM_BYTES_MAX: usize = 65_507;

/// Message of another VM as it arrived.
type Arrived = (VmId, Incarnation, Vec<u8>);

#[derive(Clone)]
struct PeerInbox(Sender<Arrived>);

impl Inbox for PeerInbox {
    async fn deliver(&self, vm: &VmId, incarnation: Incarnation, message: &[u8]) -> bool {
        self.0.send((vm.clone(), incarnation, message.to_vec())).await.is_ok()
    }
}

/// Outgoing messages.
pub(crate) struct Peers {
    links: PeerLinks,
    datagrams: Rc<UdpSocket>,
    /// Configuration in force, as the store holds it.
    configuration: RefCell<Option<Bytes>>,
    last_datagram: RefCell<Option<(PeerMessage, Vec<u8>)>>,
}

/// Sockets on which other VMs are heard.
pub(crate) struct PeerSockets {
    pub(crate) listener: TcpListener,
    pub(crate) datagrams: Rc<UdpSocket>,
}

impl Peers {
    pub(crate) fn new(identity: Identity, tasks: Tasks, datagrams: Rc<UdpSocket>) -> Self {
        Self {
            links: PeerLinks::new(identity, tasks),
            datagrams,
            configuration: RefCell::default(),
            last_datagram: RefCell::default(),
        }
    }

    /// Notes the configuration in force, for VMs that the store turns away.
    pub(crate) fn set_configuration(&self, value: Bytes) {
        self.configuration.replace(Some(value));
    }

    /// Sends a message over the connection to a VM.
    pub(crate) fn tell(&self, vm: &VmId, address: SocketAddr, message: &PeerMessage) {
        self.links.send_encoded(vm, address, &encode(&WireFrame::Message(message.into())));
    }

    /// Sends a message that may be lost. The same one usually goes to many VMs and is encoded once.
    pub(crate) fn datagram(&self, address: SocketAddr, message: &PeerMessage) {
        let mut last = self.last_datagram.borrow_mut();
        if last.as_ref().is_none_or(|(known, _)| known != message) {
            *last = Some((message.clone(), encode(&WireFrame::Message(message.into()))));
        }
        let Some((_, bytes)) = last.as_ref() else {
            return;
        };
        let (socket, bytes) = (self.datagrams.clone(), bytes.clone());
        task::spawn_local(async move {
            // A datagram that cannot be sent is as good as lost; the next one follows soon.
            socket.send_to(&bytes, address).await.ok();
        });
    }

    /// Sends configuration and endpoints to a VM that lacks them.
    pub(crate) fn share_state(&self, vm: &VmId, address: SocketAddr, path: &RequestPath, with_configuration: bool) {
        let state = WireState {
            configuration: self
                .configuration
                .borrow()
                .as_ref()
                .filter(|_| with_configuration)
                .map(|value| value.to_vec()),
            endpoints: path.endpoints().map(Into::into).collect(),
            endpoints_version: path.endpoints_version(),
        };
        self.links.send_encoded(vm, address, &encode(&WireFrame::State(state)));
    }
}

/// Hears other VMs until the process ends.
pub(crate) fn start(driver: &Rc<Driver>, sockets: PeerSockets, key: AccessKey, tasks: Tasks) {
    let (sender, receiver) = async_std::channel::bounded(INBOX_MAX);
    let inner = tasks.clone();
    tasks.spawn(async move { serve_peers(sockets.listener, key, PeerInbox(sender), inner).await });
    task::spawn_local(take_messages(driver.clone(), receiver));
    task::spawn_local(take_datagrams(driver.clone(), sockets.datagrams));
}

async fn take_messages(driver: Rc<Driver>, messages: Receiver<Arrived>) {
    while let Ok((vm, incarnation, bytes)) = messages.recv().await {
        match decode(&bytes) {
            Ok(frame) => take_frame(&driver, Some((vm, incarnation)), frame),
            Err(error) => driver.record(&Record::new("message not read").text("vm", vm).text("reason", error)),
        }
    }
}

async fn take_datagrams(driver: Rc<Driver>, socket: Rc<UdpSocket>) {
    let mut buffer = vec![0; DATAGRAM_BYTES_MAX];
    loop {
        let (len, address) = match socket.recv_from(&mut buffer).await {
            Ok(received) => received,
            Err(error) => {
                driver.record(&Record::new("datagram not received").text("error", error));
                task::sleep(std::time::Duration::from_millis(50)).await;
                continue;
            }
        };
        match decode(&buffer[..len]) {
            Ok(frame) => take_frame(&driver, None, frame),
            Err(error) => {
                driver.record(&Record::new("datagram not read").text("from", address).text("reason", error));
            }
        }
    }
}

fn take_frame(driver: &Rc<Driver>, sender: Option<(VmId, Incarnation)>, frame: WireFrame) {
    let message = match frame {
        WireFrame::Message(wire) => PeerMessage::try_from(wire),
        WireFrame::State(state) => {
            take_state(driver, state);
            return;
        }
    };
    match (message, sender) {
        (Ok(PeerMessage::Heartbeat(heartbeat)), _) => {
            let (from, incarnation) = (heartbeat.vm.vm.clone(), heartbeat.vm.incarnation);
            driver.dispatch(Event::PeerMessageReceived {
                from,
                incarnation,
                message: PeerMessage::Heartbeat(heartbeat),
            });
        }
        (Ok(message), Some((from, incarnation))) => {
            driver.dispatch(Event::PeerMessageReceived { from, incarnation, message })
        }
        (Ok(_), None) => driver.record(&Record::new("datagram not read").text("reason", "not a heartbeat")),
        (Err(error), _) => driver.record(&Record::new("message not read").text("reason", error)),
    }
}

/// Takes over what another VM knows; older versions change nothing.
fn take_state(driver: &Rc<Driver>, state: WireState) {
    if let Some(value) = state.configuration {
        match decode_configuration(&value) {
            Ok(configuration) => {
                let current = driver.read(|path, _| path.configuration().map(|known| known.version));
                if current.is_none_or(|version| version < configuration.version) {
                    driver.peers.set_configuration(value.into());
                }
                driver.dispatch(Event::ConfigurationReceived(configuration.into()));
            }
            Err(error) => driver.record(&Record::new("configuration not read").text("reason", error)),
        }
    }
    let endpoints: Result<Vec<_>, _> = state.endpoints.into_iter().map(TryInto::try_into).collect();
    match endpoints {
        Ok(endpoints) => {
            driver.dispatch(Event::EndpointsUpdated(EndpointUpdate::PeerSnapshot(endpoints, state.endpoints_version)));
        }
        Err(error) => driver.record(&Record::new("endpoints not read").text("reason", error)),
    }
}
