//! Encoding of a message between VMs: a version byte and the message in bincode.

use boragepass_core::PeerMessage;

use crate::WireError;
use crate::messages::WirePeerMessage;

const PROTOCOL_VERSION: u8 = 1;

/// Largest message that a VM accepts from another.
pub const FRAME_BYTES_MAX: usize = 16 * 1_024 * 1_024;

fn bincode_config() -> impl bincode::config::Config {
    bincode::config::standard().with_limit::<FRAME_BYTES_MAX>()
}

/// Encodes a message with the version byte in front.
pub fn encode_message(message: &PeerMessage) -> Result<Vec<u8>, WireError> {
    let wire = WirePeerMessage::from(message);
    let mut bytes = vec![PROTOCOL_VERSION];
    let body = bincode::serde::encode_to_vec(&wire, bincode_config());
    bytes.extend(body.map_err(|error| WireError::Undecodable(error.to_string()))?);
    Ok(bytes)
}

/// Decodes a message; rejects other versions and trailing bytes.
pub fn decode_message(bytes: &[u8]) -> Result<PeerMessage, WireError> {
    let (version, body) = bytes.split_first().ok_or(WireError::Empty)?;
    if *version != PROTOCOL_VERSION {
        return Err(WireError::UnknownVersion(*version));
    }
    let decoded = bincode::serde::decode_from_slice::<WirePeerMessage, _>(body, bincode_config());
    let (wire, bytes_read) = decoded.map_err(|error| WireError::Undecodable(error.to_string()))?;
    if bytes_read != body.len() {
        return Err(WireError::Undecodable(format!("{} bytes after the end of the message", body.len() - bytes_read)));
    }
    wire.try_into()
}
