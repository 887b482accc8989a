//! Messages to and from other VMs: heartbeats as UDP datagrams, all others over h2.
//!
//! A connection can be silent for seconds before it is closed. Heartbeats must not wait for that, so
//! they are datagrams, of which some may be lost.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;

use async_std::channel::{Receiver, Sender};
use async_std::net::{TcpListener, UdpSocket};
use async_std::task;
use boragepass_path::{EndpointUpdate, Event, PeerMessage, Record, RequestPath, StoreVersion};
use boragepass_server::{Identity, Inbox, PeerLinks, Replaceable, Tasks, encode_frame, serve_peers};
use boragepass_types::{AccessKey, Incarnation, TimeMs, VmId};
use bytes::Bytes;

use crate::driver::{ConfigurationSource, Driver};
use crate::peer_sections::Sections;
use crate::peer_wire::{WireFrame, WireState, decode, encode};

/// Capacity of the queue of received messages that wait for the request path.
const INBOX_MESSAGES_MAX: usize = 16_384;
/// Largest payload of a UDP datagram.
const DATAGRAM_BYTES_MAX: usize = 65_507;

/// Sender, its incarnation, and a message that is not decoded yet.
type ReceivedMessage = (VmId, Incarnation, Vec<u8>);

#[derive(Clone)]
struct PeerInbox(Sender<ReceivedMessage>);

impl Inbox for PeerInbox {
    async fn deliver(&self, vm: &VmId, incarnation: Incarnation, message: &[u8]) -> bool {
        self.0.send((vm.clone(), incarnation, message.to_vec())).await.is_ok()
    }
}

/// Configuration in force.
struct KnownConfiguration {
    /// As the store encodes it.
    value: Bytes,
    /// Message with it, which all VMs get alike.
    frame: Bytes,
}

/// Sends messages to other VMs.
pub(crate) struct Peers {
    links: PeerLinks,
    datagrams: Rc<UdpSocket>,
    local_vm: (VmId, Incarnation),
    configuration: RefCell<Option<KnownConfiguration>>,
    last_encoded_datagram: RefCell<Option<(PeerMessage, Vec<u8>)>>,
}

/// Sockets on which messages of other VMs are received.
pub(crate) struct PeerSockets {
    pub(crate) listener: TcpListener,
    pub(crate) datagrams: Rc<UdpSocket>,
}

impl Peers {
    pub(crate) fn new(identity: Identity, tasks: Tasks, datagrams: Rc<UdpSocket>) -> Self {
        Self {
            local_vm: (identity.vm.clone(), identity.incarnation),
            links: PeerLinks::new(identity, tasks),
            datagrams,
            configuration: RefCell::default(),
            last_encoded_datagram: RefCell::default(),
        }
    }

    /// This VM.
    pub(crate) fn local_vm(&self) -> &VmId {
        &self.local_vm.0
    }

    /// Keeps the configuration in force, to share it with VMs that have an older one, because they do not poll
    /// the store or the store refuses them.
    pub(crate) fn set_configuration(&self, value: Bytes) {
        // Without endpoints, and of the oldest version, the message changes no list.
        let endpoints_version = StoreVersion::default().into();
        let state = WireState { configuration: Some(value.to_vec()), endpoints: Vec::new(), endpoints_version };
        let frame = encode_frame(&encode(&WireFrame::State(state), &Sections::default()));
        self.configuration.replace(Some(KnownConfiguration { value, frame }));
    }

    /// Whether a configuration is the one in force, byte for byte.
    pub(crate) fn has_configuration(&self, value: &Bytes) -> bool {
        self.configuration.borrow().as_ref().is_some_and(|known| known.value == *value)
    }

    /// Sends a message over the connection to a VM.
    pub(crate) fn send_message(&self, vm: &VmId, address: SocketAddr, message: &PeerMessage) {
        self.links.send_encoded(vm, address, &encode(&WireFrame::Message(message.into()), &Sections::default()));
    }

    /// Sends a message that may be lost. Many VMs usually get the same one, so its encoding is cached.
    pub(crate) fn send_datagram(&self, address: SocketAddr, message: &PeerMessage) {
        let mut last_encoded = self.last_encoded_datagram.borrow_mut();
        if last_encoded.as_ref().is_none_or(|(encoded_message, _)| encoded_message != message) {
            let sections = match message {
                PeerMessage::Heartbeat(heartbeat) => Sections {
                    process: heartbeat.process,
                    evacuations: heartbeat.evacuations.clone(),
                    cold_endpoints: heartbeat.cold_endpoints.clone(),
                },
                _ => Sections::default(),
            };
            *last_encoded = Some((message.clone(), encode(&self.datagram_frame(message), &sections)));
        }
        let Some((_, bytes)) = last_encoded.as_ref() else {
            return;
        };
        let (socket, bytes) = (self.datagrams.clone(), bytes.clone());
        task::spawn_local(async move {
            // A datagram that cannot be sent counts as lost; the next heartbeat or query follows soon.
            socket.send_to(&bytes, address).await.ok();
        });
    }

    fn datagram_frame(&self, message: &PeerMessage) -> WireFrame {
        let (vm, incarnation) = &self.local_vm;
        match message {
            PeerMessage::Heartbeat(_) => WireFrame::Message(message.into()),
            _ => WireFrame::SentBy { vm: vm.to_string(), incarnation: incarnation.0, message: message.into() },
        }
    }

    /// Sends another VM the known endpoints.
    pub(crate) fn share_state(&self, now: TimeMs, vm: &VmId, address: SocketAddr, path: &RequestPath) {
        let state = WireState {
            configuration: None,
            endpoints: path.shared_endpoints().map(|shared| (&shared).into()).collect(),
            endpoints_version: path.endpoints_version().into(),
        };
        let sections = Sections {
            evacuations: path.evacuations().cloned(),
            cold_endpoints: path.cold_endpoints(now),
            ..Sections::default()
        };
        let frame = encode_frame(&encode(&WireFrame::State(state), &sections));
        self.links.send_newest(vm, address, Replaceable::Endpoints, frame);
    }

    /// Sends another VM the configuration in force; returns the number of bytes.
    pub(crate) fn share_configuration(&self, vm: &VmId, address: SocketAddr) -> usize {
        let Some(frame) = self.configuration.borrow().as_ref().map(|known| known.frame.clone()) else {
            return 0;
        };
        let bytes = frame.len();
        self.links.send_newest(vm, address, Replaceable::Configuration, frame);
        bytes
    }
}

/// Starts to receive messages of other VMs.
pub(crate) fn start(driver: &Rc<Driver>, sockets: PeerSockets, key: AccessKey, tasks: Tasks) {
    let (sender, receiver) = async_std::channel::bounded(INBOX_MESSAGES_MAX);
    let server_tasks = tasks.clone();
    tasks.spawn(async move { serve_peers(sockets.listener, key, PeerInbox(sender), server_tasks).await });
    task::spawn_local(receive_messages(driver.clone(), receiver));
    task::spawn_local(receive_datagrams(driver.clone(), sockets.datagrams));
}

async fn receive_messages(driver: Rc<Driver>, messages: Receiver<ReceivedMessage>) {
    while let Ok((vm, incarnation, bytes)) = messages.recv().await {
        match decode(&bytes) {
            Ok((frame, sections)) => handle_frame(&driver, Some((vm, incarnation)), frame, sections),
            Err(error) => driver.record(&Record::new("message not read").text("vm", vm).text("reason", error)),
        }
    }
}

async fn receive_datagrams(driver: Rc<Driver>, socket: Rc<UdpSocket>) {
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
            Ok((frame, sections)) => handle_frame(&driver, None, frame, sections),
            Err(error) => {
                driver.record(&Record::new("datagram not read").text("from", address).text("reason", error));
            }
        }
    }
}

fn handle_frame(driver: &Rc<Driver>, sender: Option<(VmId, Incarnation)>, frame: WireFrame, sections: Sections) {
    let (message, sender) = match frame {
        WireFrame::Message(wire) => (PeerMessage::try_from(wire), sender),
        WireFrame::SentBy { vm, incarnation, message } => match vm.parse() {
            Ok(vm) => (PeerMessage::try_from(message), Some((vm, Incarnation(incarnation)))),
            Err(error) => {
                driver.record(&Record::new("datagram not read").text("reason", error));
                return;
            }
        },
        WireFrame::State(state) => {
            if let Some(evacuations) = sections.evacuations {
                driver.dispatch(Event::EvacuationsShared(evacuations));
            }
            apply_shared_state(driver, state);
            if !sections.cold_endpoints.is_empty() {
                driver.dispatch(Event::ColdEndpointsShared(sections.cold_endpoints));
            }
            return;
        }
    };
    match (message, sender) {
        (Ok(PeerMessage::Heartbeat(mut heartbeat)), _) => {
            heartbeat.process = sections.process;
            heartbeat.evacuations = sections.evacuations;
            heartbeat.cold_endpoints = sections.cold_endpoints;
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
        (Ok(_), None) => driver.record(&Record::new("datagram not read").text("reason", "no sender")),
        (Err(error), _) => driver.record(&Record::new("message not read").text("reason", error)),
    }
}

/// Passes on the configuration and endpoints that another VM shared; older versions change nothing.
fn apply_shared_state(driver: &Rc<Driver>, state: WireState) {
    if let Some(value) = state.configuration {
        driver.receive_configuration(value.into(), ConfigurationSource::OtherVm);
    }
    let version: StoreVersion = state.endpoints_version.into();
    if version == StoreVersion::default() {
        return;
    }
    let mut endpoints = Vec::with_capacity(state.endpoints.len());
    for endpoint in state.endpoints {
        match endpoint.try_into() {
            Ok(endpoint) => endpoints.push(endpoint),
            Err(error) => driver.record(&Record::new("shared endpoint not read").text("reason", error)),
        }
    }
    driver.dispatch(Event::EndpointsUpdated(EndpointUpdate::PeerSnapshot(endpoints, version)));
}
