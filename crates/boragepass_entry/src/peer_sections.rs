//! Sections behind a frame: additions to a message that builds without them skip.
//!
//! Each section is a tag of 2 bytes, a length of 4 bytes and its content, numbers in little-endian order. A tag keeps its
//! content's layout; another layout gets another tag. The build of the first landing with format 8 ignores all that
//! follows a frame, so sections need no other format.

use std::collections::BTreeSet;

use boragepass_path::{ColdReport, Evacuations, ProcessStatement, StoreVersion};
use boragepass_types::{Hash64, StoreEra};

use crate::cold_section::{decode_cold, encode_cold};
use crate::peer_wire::{PeerWireError, parse_field};

/// What the sender's process runs: revision of messages, digest of its settings, and number of times that it read them.
const PROCESS_TAG: u16 = 1;
/// Evacuated failure domains: era and number of the store's version, the number of domains in 2 bytes, and each name
/// behind its length in 2 bytes.
const EVACUATIONS_TAG: u16 = 3;
/// Cold endpoints, in heartbeats and behind shared endpoints.
const COLD_TAG: u16 = 4;
const HEADER_BYTES: usize = 6;
const PROCESS_BYTES: usize = 16;

/// Sections that this build reads.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Sections {
    /// What the sender's process runs.
    pub process: Option<ProcessStatement>,
    /// Failure domains that the operators evacuate, as far as the sender knows.
    pub evacuations: Option<Evacuations>,
    /// Cold endpoints.
    pub cold_endpoints: Vec<ColdReport>,
}

impl Sections {
    /// Appends the sections that are present.
    pub(crate) fn encode_onto(&self, bytes: &mut Vec<u8>) {
        if let Some(process) = &self.process {
            bytes.extend(PROCESS_TAG.to_le_bytes());
            bytes.extend((PROCESS_BYTES as u32).to_le_bytes());
            bytes.extend(process.peer_revision.to_le_bytes());
            bytes.extend(process.settings_digest.0.to_le_bytes());
            bytes.extend(process.settings_reads.to_le_bytes());
        }
        if let Some(evacuations) = &self.evacuations {
            let content = encode_evacuations(evacuations);
            bytes.extend(EVACUATIONS_TAG.to_le_bytes());
            bytes.extend((content.len() as u32).to_le_bytes());
            bytes.extend(content);
        }
        if !self.cold_endpoints.is_empty() {
            let content = encode_cold(&self.cold_endpoints);
            bytes.extend(COLD_TAG.to_le_bytes());
            bytes.extend((content.len() as u32).to_le_bytes());
            bytes.extend(content);
        }
    }

    /// Decodes all sections; unknown ones are skipped.
    pub(crate) fn decode(mut bytes: &[u8]) -> Result<Self, PeerWireError> {
        let mut sections = Self::default();
        while !bytes.is_empty() {
            let (header, rest) = bytes.split_first_chunk::<HEADER_BYTES>().ok_or_else(cut_off)?;
            let [tag_low, tag_high, len @ ..] = *header;
            let (content, rest) = rest.split_at_checked(u32::from_le_bytes(len) as usize).ok_or_else(cut_off)?;
            match u16::from_le_bytes([tag_low, tag_high]) {
                PROCESS_TAG => sections.process = Some(decode_process(content)?),
                EVACUATIONS_TAG => sections.evacuations = Some(decode_evacuations(content)?),
                COLD_TAG => sections.cold_endpoints = decode_cold(content)?,
                _ => {}
            }
            bytes = rest;
        }
        Ok(sections)
    }
}

fn decode_process(content: &[u8]) -> Result<ProcessStatement, PeerWireError> {
    let (revision, rest) = content.split_first_chunk::<4>().ok_or_else(cut_off)?;
    let (digest, rest) = rest.split_first_chunk::<8>().ok_or_else(cut_off)?;
    let reads = rest.first_chunk::<4>().ok_or_else(cut_off)?;
    Ok(ProcessStatement {
        peer_revision: u32::from_le_bytes(*revision),
        settings_digest: Hash64(u64::from_le_bytes(*digest)),
        settings_reads: u32::from_le_bytes(*reads),
    })
}

fn encode_evacuations(evacuations: &Evacuations) -> Vec<u8> {
    let Evacuations { version, domains } = evacuations;
    let mut content = Vec::new();
    content.extend(version.era.0.to_le_bytes());
    content.extend(version.number.to_le_bytes());
    content.extend((domains.len() as u16).to_le_bytes());
    for domain in domains {
        content.extend((domain.as_str().len() as u16).to_le_bytes());
        content.extend(domain.as_str().as_bytes());
    }
    content
}

fn decode_evacuations(content: &[u8]) -> Result<Evacuations, PeerWireError> {
    let (era, rest) = content.split_first_chunk::<8>().ok_or_else(cut_off)?;
    let (number, rest) = rest.split_first_chunk::<8>().ok_or_else(cut_off)?;
    let (count, mut rest) = rest.split_first_chunk::<2>().ok_or_else(cut_off)?;
    let mut domains = BTreeSet::new();
    for _ in 0..u16::from_le_bytes(*count) {
        let (len, behind) = rest.split_first_chunk::<2>().ok_or_else(cut_off)?;
        let (name, behind) = behind.split_at_checked(usize::from(u16::from_le_bytes(*len))).ok_or_else(cut_off)?;
        let name = std::str::from_utf8(name).map_err(|error| PeerWireError::Undecodable(error.to_string()))?;
        domains.insert(parse_field(name)?);
        rest = behind;
    }
    let version = StoreVersion { era: StoreEra(u64::from_le_bytes(*era)), number: u64::from_le_bytes(*number) };
    Ok(Evacuations { version, domains })
}

fn cut_off() -> PeerWireError {
    PeerWireError::Undecodable("a section is cut off".to_owned())
}
