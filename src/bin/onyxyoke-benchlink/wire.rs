//! The codec of the simulator's frames: little-endian, without padding; every record starts with its code and
//! length.

use onyxyoke::interface::*;

/// Size of a batch's header (bytes).
const BATCH_HEADER: usize = 20;
/// Size of a reply's header (bytes).
const REPLY_HEADER: usize = 12;
/// Size of an entry of a node list (bytes).
const ENTRY_SIZE: usize = 25;
/// Largest frame that is accepted (bytes).
const MAX_FRAME: usize = 1 << 30;
/// Longest timer that the wire can carry (seconds).
const MAX_TIMER: f64 = 71.0 * 60.0;
/// The recipient that stands for every peer.
const ALL_PEERS: u16 = u16::MAX;

/// Returns the size of a frame from its first bytes, if it is possible.
pub fn frame_size(head: [u8; 4]) -> Result<usize, String> {
    let size = u32::from_le_bytes(head) as usize;
    if (BATCH_HEADER..=MAX_FRAME).contains(&size) {
        Ok(size)
    } else {
        Err(format!("a frame size of {size} bytes cannot be right"))
    }
}

/// Reads the fields of a record one after another.
struct Fields<'a> {
    rest: &'a [u8],
}

impl<'a> Fields<'a> {
    fn bytes(&mut self, n: usize) -> Result<&'a [u8], String> {
        let (head, rest) = self.rest.split_at_checked(n).ok_or("record is cut short")?;
        self.rest = rest;
        Ok(head)
    }
    fn array<const N: usize>(&mut self) -> Result<[u8; N], String> {
        let (head, rest) = self.rest.split_first_chunk::<N>().ok_or("record is cut short")?;
        self.rest = rest;
        Ok(*head)
    }
    fn u8(&mut self) -> Result<u8, String> {
        Ok(u8::from_le_bytes(self.array()?))
    }
    fn u16(&mut self) -> Result<u16, String> {
        Ok(u16::from_le_bytes(self.array()?))
    }
    fn u32(&mut self) -> Result<u32, String> {
        Ok(u32::from_le_bytes(self.array()?))
    }
    fn u64(&mut self) -> Result<u64, String> {
        Ok(u64::from_le_bytes(self.array()?))
    }
    fn f32(&mut self) -> Result<f64, String> {
        finite(f64::from(f32::from_le_bytes(self.array()?)))
    }
    fn f64(&mut self) -> Result<f64, String> {
        finite(f64::from_le_bytes(self.array()?))
    }
    fn node(&mut self) -> Result<NodeId, String> {
        let b: [u8; 6] = self.array()?;
        Ok(NodeId(u64::from_le_bytes([b[0], b[1], b[2], b[3], b[4], b[5], 0, 0])))
    }
    /// Reads an integer that is carried as a float.
    fn integer(&mut self) -> Result<u32, String> {
        let v = self.f32()?;
        if v < 0.0 || v.fract() != 0.0 || v > f64::from(u32::MAX) {
            return Err(format!("{v} is not an integer"));
        }
        Ok(v as u32)
    }
    fn load(&mut self) -> Result<Vec<f64>, String> {
        let n = self.u8()?;
        (0..n).map(|_| self.f32()).collect()
    }
}

fn finite(v: f64) -> Result<f64, String> {
    if v.is_finite() { Ok(v) } else { Err("number is not finite".into()) }
}

/// One record of a batch.
pub enum Record<'a> {
    /// The records that follow are for this instance.
    Instance(u16),
    /// A numbered list of nodes, for all instances.
    NodeList { number: u16, nodes: Vec<Node> },
    /// An instance starts.
    Start { seed: u64, settings: &'a [u8] },
    /// An instance was killed.
    Stop,
    /// A list event, which refers to a node list by its number.
    ListEvent { kind: ListKind, number: Option<u16> },
    /// Any other event.
    Event(Event),
}

/// A batch with a parsed header and encoded records.
pub struct Batch<'a> {
    pub clock: f64,
    pub number: u32,
    count: u32,
    body: &'a [u8],
}

impl<'a> Batch<'a> {
    pub fn parse(frame: &'a [u8]) -> Result<Self, String> {
        let mut fields = Fields { rest: frame };
        let size = fields.u32()? as usize;
        if size != frame.len() {
            return Err("frame length does not match its header".into());
        }
        let clock = fields.f64()?;
        let count = fields.u32()?;
        let number = fields.u32()?;
        Ok(Batch { clock, number, count, body: fields.rest })
    }

    /// Decodes the records in order, up to the first error.
    pub fn records(&self) -> impl Iterator<Item = Result<Record<'a>, String>> {
        let mut fields = Fields { rest: self.body };
        let mut left = self.count;
        std::iter::from_fn(move || {
            if left == 0 {
                let more = !fields.rest.is_empty();
                fields.rest = &[];
                return more.then(|| Err("frame holds more than its records".into()));
            }
            left -= 1;
            let record = decode_record(&mut fields);
            if record.is_err() {
                left = 0;
                fields.rest = &[];
            }
            Some(record)
        })
    }
}

fn decode_record<'a>(fields: &mut Fields<'a>) -> Result<Record<'a>, String> {
    let code = fields.u8()?;
    let length = fields.u32()? as usize;
    let mut f = Fields { rest: fields.bytes(length)? };
    let event = match code {
        0 => {
            let seed = f.u64()?;
            let n = f.u32()? as usize;
            return Ok(Record::Start { seed, settings: f.bytes(n)? });
        }
        1 => {
            let kind = match f.u8()? {
                0 => ListKind::Delta,
                1 => ListKind::Full,
                2 => ListKind::Cached,
                3 => ListKind::Failed,
                other => return Err(format!("unknown view mode {other}")),
            };
            let _version = f.u32()?;
            let number = f.u16()?;
            let number = (kind != ListKind::Failed).then_some(number);
            return Ok(Record::ListEvent { kind, number });
        }
        2 => {
            let mut r = Request {
                id: RequestId(f.u32()?),
                class: ClassId(f.u16()?),
                tenant: f.u16()?,
                object: ObjectId(f.u64()?),
                expires: f.f64()?,
                kb: f.f32()?,
                group: Some(GroupId(f.integer()?)),
                part: f.integer()?,
                ..Request::default()
            };
            let flags = f.u8()?;
            r.repeat = flags & 2 != 0;
            r.write = flags & 4 != 0;
            Event::Request(r)
        }
        3 => {
            let request = RequestId(f.u32()?);
            f.node()?;
            f.f64()?;
            Event::Streaming { request, attempt: f.u16()? }
        }
        4 => Event::AttemptEnd {
            request: RequestId(f.u32()?),
            attempt: f.u16()?,
            node: f.node()?,
            outcome: outcome(f.u16()?)?,
            took: f.f64()?,
            done: f.u8()? != 0,
            note: note(f.u8()?)?,
            source_wait: f.f64()?,
            load: f.load()?,
        },
        5 => Event::Expired { request: RequestId(f.u32()?) },
        6 => Event::TimerFired { token: f.u64()? },
        7 => {
            let outcome = outcome(f.u16()?)?;
            let took = f.f64()?;
            Event::ProbeEnd { node: f.node()?, outcome, took, load: f.load()? }
        }
        8 => {
            let from = PeerId(f.u16()?);
            let n = usize::from(f.u16()?);
            Event::Message { from, content: f.bytes(n)?.to_vec() }
        }
        9 => return Ok(Record::Stop),
        10 => {
            let object = f.u64()?;
            let group = GroupId(u32::from(f.u16()?));
            let scope =
                if object == 0 { PurgeScope::Group(group) } else { PurgeScope::Object(ObjectId(object)) };
            Event::Purged { scope, age: f.f64()? }
        }
        11 => {
            let number = f.u16()?;
            let n = f.u32()? as usize;
            if n > f.rest.len() / ENTRY_SIZE {
                return Err("node list is cut short".into());
            }
            let nodes = (0..n).map(|_| entry(&mut f)).collect::<Result<_, _>>()?;
            return Ok(Record::NodeList { number, nodes });
        }
        12 => return Ok(Record::Instance(f.u16()?)),
        other => return Err(format!("unknown event code {other}")),
    };
    Ok(Record::Event(event))
}

fn entry(f: &mut Fields) -> Result<Node, String> {
    let state = match f.u8()? {
        0 => NodeState::Withdrawn,
        1 => NodeState::Ready,
        2 => NodeState::Draining,
        other => return Err(format!("unknown availability {other}")),
    };
    let cell = f.u16()?;
    let id = f.node()?;
    let weight = f.f32()?;
    let kind = f.u16()?;
    let ready_at = f.f64()?;
    Ok(Node { id, state, cell, weight, kind, ready_at, zone: ZoneId(f.u16()?) })
}

fn outcome(code: u16) -> Result<Outcome, String> {
    Ok(match code {
        100 => Outcome::Ok,
        101 => Outcome::Miss,
        301 => Outcome::Error,
        302 => Outcome::Full,
        303 => Outcome::TimedOut,
        304 => Outcome::ConnectFailed,
        305 => Outcome::Reset,
        306 => Outcome::Cancelled,
        307 => Outcome::NotSent,
        other => return Err(format!("unknown result {other}")),
    })
}

fn note(code: u8) -> Result<Note, String> {
    Ok(match code {
        0 => Note::None,
        1 => Note::Hit,
        2 => Note::Filled,
        3 => Note::FilledFromOrigin,
        4 => Note::Joined,
        5 => Note::Stale,
        6 => Note::SourceRefused,
        7 => Note::SourceFailed,
        8 => Note::SourceMiss,
        9 => Note::NoFillSlot,
        10 => Note::OriginFailed,
        other => return Err(format!("unknown detail {other}")),
    })
}

/// A reply frame that is being written.
pub struct Reply {
    frame: Vec<u8>,
    count: u32,
    instance: Option<u16>,
}

impl Reply {
    pub fn new(number: u32) -> Self {
        let mut frame = vec![0; REPLY_HEADER];
        frame[8..12].copy_from_slice(&number.to_le_bytes());
        Reply { frame, count: 0, instance: None }
    }

    /// Appends the actions of one instance.
    pub fn extend(&mut self, instance: u16, actions: impl Iterator<Item = Action>) {
        for action in actions {
            if self.instance != Some(instance) {
                self.instance = Some(instance);
                self.record(13, |out| out.extend(instance.to_le_bytes()));
            }
            self.action(action);
        }
    }

    pub fn finish(mut self) -> Vec<u8> {
        let size = self.frame.len() as u32;
        self.frame[0..4].copy_from_slice(&size.to_le_bytes());
        self.frame[4..8].copy_from_slice(&self.count.to_le_bytes());
        self.frame
    }

    fn record(&mut self, code: u8, fields: impl FnOnce(&mut Vec<u8>)) {
        self.frame.push(code);
        let at = self.frame.len();
        self.frame.extend([0; 4]);
        fields(&mut self.frame);
        let length = (self.frame.len() - at - 4) as u32;
        self.frame[at..at + 4].copy_from_slice(&length.to_le_bytes());
        self.count += 1;
    }

    fn action(&mut self, action: Action) {
        let put_node = |out: &mut Vec<u8>, node: NodeId| out.extend(&node.0.to_le_bytes()[..6]);
        match action {
            Action::Fetch { request, node, within, source, rank, age, options } => self.record(12, |out| {
                out.extend(request.0.to_le_bytes());
                put_node(out, node);
                out.extend(within.to_le_bytes());
                put_node(out, source);
                out.push(rank);
                out.extend(age.to_le_bytes());
                let FillOptions { join, only_if_cached, no_parent_copy, revalidate } = options;
                let bits = [join, only_if_cached, no_parent_copy, revalidate];
                out.push(bits.iter().enumerate().map(|(i, &on)| u8::from(on) << i).sum());
            }),
            Action::Refuse { request, wait } => self.record(1, |out| {
                out.extend(request.0.to_le_bytes());
                out.extend(wait.to_le_bytes());
            }),
            Action::Fail { request } => self.record(2, |out| out.extend(request.0.to_le_bytes())),
            Action::Cancel { request, attempt } => self.record(3, |out| {
                out.extend(request.0.to_le_bytes());
                out.extend(attempt.to_le_bytes());
            }),
            Action::SetTimer { token, after } => self.record(4, |out| {
                out.extend(token.to_le_bytes());
                out.extend(after.min(MAX_TIMER).to_le_bytes());
            }),
            Action::Probe { node } => self.record(5, |out| put_node(out, node)),
            Action::SendMessage { to, content } => self.record(7, |out| {
                out.extend(to.map_or(ALL_PEERS, |p| p.0).to_le_bytes());
                out.extend((content.len() as u16).to_le_bytes());
                out.extend(content);
            }),
            Action::Watch { on } => self.record(10, |out| out.push(u8::from(on))),
            Action::ReadList => self.record(11, |_| {}),
        }
    }
}
