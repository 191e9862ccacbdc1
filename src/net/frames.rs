//! The coordinator's frames, and the same events as JSON. Parsing only.

use super::ProtocolError;
use crate::broker::{DiscoveryUpdate, Member};
use crate::interface::*;
use std::net::{Ipv4Addr, SocketAddr};

/// Bytes of a record in a list.
const RECORD: usize = 27;
/// Most bytes of a frame: a list of some thousands.
const FRAME: usize = 256 * 1024;

/// What a frame holds.
#[derive(Debug, PartialEq)]
pub enum Frame {
    /// Nothing new; the number says how far the coordinator is.
    Heartbeat,
    /// An event.
    Event(DiscoveryUpdate),
}

fn be(bytes: &[u8]) -> u64 {
    bytes.iter().fold(0, |n, &b| n << 8 | u64::from(b))
}

/// Reads one frame off the head of `bytes`: its number, what it holds, how long it was; `None` while it is
/// not whole.
pub fn parse(bytes: &[u8]) -> Result<Option<(u64, Frame, usize)>, ProtocolError> {
    let Some(length) = bytes.get(..4).map(|b| be(b) as usize) else { return Ok(None) };
    if !(9..=FRAME).contains(&length) {
        return Err(ProtocolError("a frame of an impossible length"));
    }
    let Some(frame) = bytes.get(4..4 + length) else { return Ok(None) };
    let (number, kind, payload) = (be(&frame[..8]), frame[8], &frame[9..]);
    let whole = |wanted: usize| match payload.len() == wanted {
        true => Ok(()),
        false => Err(ProtocolError("a frame whose length does not fit its kind")),
    };
    let seconds = |at: &[u8]| be(at) as f64 / 1000.0;
    let frame = match kind {
        0 => Frame::Heartbeat,
        1 | 2 => {
            whole(payload.len() / RECORD * RECORD)?;
            let members = payload.chunks_exact(RECORD).map(record).collect::<Result<_, _>>()?;
            Frame::Event(DiscoveryUpdate::NodeList { full: kind == 1, members })
        }
        3 => {
            whole(16)?;
            let (object, at) = (ObjectId(be(&payload[..8])), seconds(&payload[8..]));
            Frame::Event(DiscoveryUpdate::Purge { object: Some(object), group: GroupId(0), at })
        }
        4 => {
            whole(10)?;
            let (group, at) = (GroupId(be(&payload[..2]) as u32), seconds(&payload[2..]));
            Frame::Event(DiscoveryUpdate::Purge { object: None, group, at })
        }
        _ => return Err(ProtocolError("a frame of an unknown kind")),
    };
    Ok(Some((number, frame, 4 + length)))
}

fn record(r: &[u8]) -> Result<Member, ProtocolError> {
    let state = match r[10] {
        0 => NodeState::Ready,
        1 => NodeState::Draining,
        2 => NodeState::Withdrawn,
        _ => return Err(ProtocolError("a record with an unknown state")),
    };
    let node = Node {
        id: NodeId(be(&r[..4])),
        state,
        zone: ZoneId(u16::from(r[11])),
        kind: u16::from(r[12]),
        cell: be(&r[13..15]) as u16,
        weight: be(&r[15..19]) as f64 / 1000.0,
        ready_at: be(&r[19..27]) as f64 / 1000.0,
    };
    let address = SocketAddr::from((Ipv4Addr::new(r[4], r[5], r[6], r[7]), be(&r[8..10]) as u16));
    Ok(Member { node, address })
}
