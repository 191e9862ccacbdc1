//! Parser of the coordinator's binary frames.

use super::ProtocolError;
use crate::broker::{DiscoveryUpdate, Member};
use crate::interface::*;
use std::net::{Ipv4Addr, SocketAddr};

/// Length of a record in a node list (bytes).
const RECORD_BYTES: usize = 27;
/// Upper bound on the length of a frame, which allows a list of several thousand nodes (bytes).
const MAX_FRAME_BYTES: usize = 256 * 1024;

/// The content of a frame.
#[derive(Debug, PartialEq)]
pub enum Frame {
    /// No event; the frame's number is that of the coordinator's last event.
    Heartbeat,
    /// An event.
    Event(DiscoveryUpdate),
}

/// Decodes a big-endian number.
fn from_big_endian(bytes: &[u8]) -> u64 {
    bytes.iter().fold(0, |number, &byte| number << 8 | u64::from(byte))
}

/// Parses the frame at the head of `bytes`. Returns its number, content and length; `None` if it is
/// incomplete.
pub fn parse(bytes: &[u8]) -> Result<Option<(u64, Frame, usize)>, ProtocolError> {
    let Some(length) = bytes.get(..4).map(|prefix| from_big_endian(prefix) as usize) else { return Ok(None) };
    if !(9..=MAX_FRAME_BYTES).contains(&length) {
        return Err(ProtocolError("frame length is out of range"));
    }
    let Some(frame) = bytes.get(4..4 + length) else { return Ok(None) };
    let (number, kind, payload) = (from_big_endian(&frame[..8]), frame[8], &frame[9..]);
    let check_length = |expected: usize| match payload.len() == expected {
        true => Ok(()),
        false => Err(ProtocolError("frame length does not match its kind")),
    };
    let seconds = |milliseconds: &[u8]| from_big_endian(milliseconds) as f64 / 1000.0;
    let frame = match kind {
        0 => Frame::Heartbeat,
        1 | 2 => {
            check_length(payload.len() / RECORD_BYTES * RECORD_BYTES)?;
            let members = payload.chunks_exact(RECORD_BYTES).map(parse_record).collect::<Result<_, _>>()?;
            Frame::Event(DiscoveryUpdate::NodeList { full: kind == 1, members })
        }
        3 => {
            check_length(16)?;
            let (object, at) = (ObjectId(from_big_endian(&payload[..8])), seconds(&payload[8..]));
            Frame::Event(DiscoveryUpdate::Purge { scope: PurgeScope::Object(object), at })
        }
        4 => {
            check_length(10)?;
            let (group, at) = (GroupId(from_big_endian(&payload[..2]) as u32), seconds(&payload[2..]));
            Frame::Event(DiscoveryUpdate::Purge { scope: PurgeScope::Group(group), at })
        }
        _ => return Err(ProtocolError("frame of an unknown kind")),
    };
    Ok(Some((number, frame, 4 + length)))
}

/// Parses a record of a node list.
fn parse_record(record: &[u8]) -> Result<Member, ProtocolError> {
    let state = match record[10] {
        0 => NodeState::Ready,
        1 => NodeState::Draining,
        2 => NodeState::Withdrawn,
        _ => return Err(ProtocolError("record with an unknown state")),
    };
    let node = Node {
        id: NodeId(from_big_endian(&record[..4])),
        state,
        zone: ZoneId(u16::from(record[11])),
        kind: u16::from(record[12]),
        cell: from_big_endian(&record[13..15]) as u16,
        weight: from_big_endian(&record[15..19]) as f64 / 1000.0,
        ready_at: from_big_endian(&record[19..27]) as f64 / 1000.0,
    };
    let ip = Ipv4Addr::new(record[4], record[5], record[6], record[7]);
    let address = SocketAddr::from((ip, from_big_endian(&record[8..10]) as u16));
    Ok(Member { node, address })
}
