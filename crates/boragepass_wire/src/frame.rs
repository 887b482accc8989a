//! One message between VMs: a version byte and the message in bincode.

use boragepass_core::PeerMessage;

use crate::WireError;
use crate::messages::WirePeerMessage;

const VERSION: u8 = 1;

/// Largest message.
pub const FRAME_BYTES_MAX: usize = 16 * 1_024 * 1_024;

fn config() -> impl bincode::config::Config {
    bincode::config::standard().with_limit::<FRAME_BYTES_MAX>()
}

/// Encodes a message.
pub fn encode_message(message: &PeerMessage) -> Result<Vec<u8>, WireError> {
    let wire = WirePeerMessage::from(message);
    let mut bytes = vec![VERSION];
    let body = bincode::serde::encode_to_vec(&wire, config());
    bytes.extend(body.map_err(|error| WireError::Undecodable(error.to_string()))?);
    Ok(bytes)
}

/// Decodes a message; an unknown version is refused.
pub fn decode_message(bytes: &[u8]) -> Result<PeerMessage, WireError> {
    let (version, body) = bytes.split_first().ok_or(WireError::Empty)?;
    if *version != VERSION {
        return Err(WireError::UnknownVersion(*version));
    }
    let decoded = bincode::serde::decode_from_slice::<WirePeerMessage, _>(body, config());
    let (wire, used) = decoded.map_err(|error| WireError::Undecodable(error.to_string()))?;
    if used != body.len() {
        return Err(WireError::Undecodable(format!("{} bytes too many", body.len() - used)));
    }
    wire.try_into()
}
