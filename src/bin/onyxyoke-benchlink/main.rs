//! Adapter between many directors and the simulator, whose frames it exchanges on standard input and output.
//! It only translates; every decision is made by the library.
#![forbid(unsafe_code)]

mod wire;

use onyxyoke::Director;
use onyxyoke::interface::{Event, Node};
use std::collections::BTreeMap;
use std::io::{self, BufReader, BufWriter, Read, Write};
use std::process::ExitCode;
use std::sync::Arc;
use wire::{Record, Reply};

/// Node lists that can exist at a time.
const MAX_LISTS: usize = 16;

/// The directors of this process by instance, and the node lists that list events refer to.
#[derive(Default)]
struct Host {
    directors: BTreeMap<u16, Director>,
    lists: [Option<Arc<[Node]>>; MAX_LISTS],
}

impl Host {
    /// Handles one batch and returns the reply frame.
    fn handle(&mut self, frame: &[u8]) -> Result<Vec<u8>, String> {
        let batch = wire::Batch::parse(frame)?;
        let mut reply = Reply::new(batch.number);
        let mut current = None;
        let mut actions = Vec::new();
        for record in batch.records() {
            let event = match record? {
                Record::Instance(instance) => {
                    current = Some(instance);
                    continue;
                }
                Record::NodeList { number, nodes } => {
                    let slot = self.lists.get_mut(usize::from(number)).ok_or("list number out of range")?;
                    *slot = Some(nodes.into());
                    continue;
                }
                Record::Start { seed, settings } => {
                    let instance = current.ok_or("start without an instance")?;
                    let settings = onyxyoke::config::settings(settings)?;
                    self.directors.insert(instance, Director::new(seed, settings));
                    continue;
                }
                Record::Stop => {
                    self.directors.remove(&current.ok_or("stop without an instance")?);
                    continue;
                }
                Record::ListEvent { kind, number } => {
                    let nodes = match number {
                        None => Vec::new().into(),
                        Some(number) => self
                            .lists
                            .get(usize::from(number))
                            .and_then(Clone::clone)
                            .ok_or("list event refers to a node list that was never given")?,
                    };
                    Event::List { kind, nodes }
                }
                Record::Event(event) => event,
            };
            let instance = current.ok_or("event without an instance")?;
            let director = self
                .directors
                .get_mut(&instance)
                .ok_or_else(|| format!("event for instance {instance}, which is not running"))?;
            if let Event::Request(request) = &event
                && usize::from(request.class.0) >= director.settings().classes.len()
            {
                return Err(format!("class {} is out of range", request.class.0));
            }
            if let Event::List { nodes, .. } = &event {
                let zones = director.settings().hub_of_zone.len();
                if let Some(bad) = nodes.iter().find(|n| usize::from(n.zone.0) >= zones) {
                    return Err(format!("zone {} is out of range", bad.zone.0));
                }
            }
            director.handle(batch.clock, event, &mut actions);
            reply.extend(instance, actions.drain(..));
        }
        Ok(reply.finish())
    }
}

/// Reads one frame; `None` at the end of the input.
fn read_frame(input: &mut impl Read) -> Result<Option<Vec<u8>>, String> {
    let mut head = [0u8; 4];
    let mut got = 0;
    while got < head.len() {
        match input.read(&mut head[got..]) {
            Ok(0) if got == 0 => return Ok(None),
            Ok(0) => return Err("input ends inside a frame".into()),
            Ok(n) => got += n,
            Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
            Err(e) => return Err(format!("cannot read: {e}")),
        }
    }
    let size = wire::frame_size(head)?;
    let mut frame = head.to_vec();
    let rest = (size - head.len()) as u64;
    input.take(rest).read_to_end(&mut frame).map_err(|e| format!("cannot read: {e}"))?;
    if frame.len() != size {
        return Err("input ends inside a frame".into());
    }
    Ok(Some(frame))
}

fn run() -> Result<(), String> {
    let mut input = BufReader::new(io::stdin().lock());
    let mut output = BufWriter::new(io::stdout().lock());
    let mut host = Host::default();
    while let Some(frame) = read_frame(&mut input)? {
        let reply = host.handle(&frame)?;
        output.write_all(&reply).and_then(|()| output.flush()).map_err(|e| format!("cannot write: {e}"))?;
    }
    Ok(())
}

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("onyxyoke-benchlink: {message}");
            ExitCode::FAILURE
        }
    }
}
