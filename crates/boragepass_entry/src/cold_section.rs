//! Section that passes on which endpoints are cold: for each, the milliseconds left in 4 bytes, the length of its id in 2
//! bytes, and the id. Clocks of VMs differ, so it states the time left and not the end.

use boragepass_path::ColdReport;
use boragepass_types::SpanMs;

use crate::peer_wire::PeerWireError;

/// Encodes the content of the section.
pub(crate) fn encode_cold(reports: &[ColdReport]) -> Vec<u8> {
    let mut content = Vec::new();
    for ColdReport { endpoint, left_ms } in reports {
        let (id, Ok(id_len)) = (endpoint.as_str(), u16::try_from(endpoint.as_str().len())) else {
            continue;
        };
        content.extend((left_ms.0.min(u64::from(u32::MAX)) as u32).to_le_bytes());
        content.extend(id_len.to_le_bytes());
        content.extend(id.as_bytes());
    }
    content
}

/// Decodes the content of the section.
pub(crate) fn decode_cold(mut content: &[u8]) -> Result<Vec<ColdReport>, PeerWireError> {
    let cut_off = || PeerWireError::Undecodable("a cold endpoint is cut off".to_owned());
    let invalid = |error: &dyn std::fmt::Display| PeerWireError::Undecodable(format!("a cold endpoint: {error}"));
    let mut reports = Vec::new();
    while !content.is_empty() {
        let (left_ms, rest) = content.split_first_chunk::<4>().ok_or_else(cut_off)?;
        let (id_len, rest) = rest.split_first_chunk::<2>().ok_or_else(cut_off)?;
        let (id, rest) = rest.split_at_checked(usize::from(u16::from_le_bytes(*id_len))).ok_or_else(cut_off)?;
        let id = std::str::from_utf8(id).map_err(|error| invalid(&error))?;
        let endpoint = id.parse().map_err(|error| invalid(&error))?;
        reports.push(ColdReport { endpoint, left_ms: SpanMs(u64::from(u32::from_le_bytes(*left_ms))) });
        content = rest;
    }
    Ok(reports)
}
