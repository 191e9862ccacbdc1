//! What a connection holds: bytes that come ([`Buffer`]) and bytes that are to go ([`Output`]). Both take what they
//! need beyond their connection's own from an account, before they use it.

use super::ClientSocket;
use crate::memory::{Grant, MemoryRefusal};
use std::cell::Cell;
use std::collections::VecDeque;
use std::io::{self, IoSlice};
use std::ops::Range;
use std::rc::Rc;
use tokio::net::TcpStream;

/// Up to here a buffer grows by doubling, beyond in steps (bytes).
const DOUBLED: usize = 64 * 1024;
const STEP: usize = 16 * 1024;

/// How much a socket took of a write; `None` if it takes nothing just now.
fn taken(written: io::Result<usize>) -> io::Result<Option<usize>> {
    match written {
        Ok(0) => Err(io::ErrorKind::WriteZero.into()),
        Ok(n) => Ok(Some(n)),
        Err(e) if e.kind() == io::ErrorKind::WouldBlock => Ok(None),
        Err(e) => Err(e),
    }
}

/// Bytes in order: appended at the tail, taken from the head; one allocation, compacted in place. The first
/// `keep` bytes are the connection's own, what lies beyond is granted by an account, and given back as soon as
/// the buffer is empty: most connections wait most of the time, and are many.
pub struct Buffer {
    data: Vec<u8>,
    head: usize,
    taken: u64,
    keep: usize,
    room: Grant,
    skip: usize,
}

impl Buffer {
    /// An empty buffer; `room` is granted nothing yet and grows by what exceeds `keep`.
    pub fn new(keep: usize, room: Grant) -> Self {
        Buffer { data: Vec::new(), head: 0, taken: 0, keep, room, skip: 0 }
    }

    /// Another account, or holder, is asked from now on; not while the one before has granted something.
    pub fn set_grant(&mut self, room: impl FnOnce() -> Grant) {
        if self.room.bytes() == 0 {
            self.room = room();
        }
    }

    /// What is held.
    pub fn bytes(&self) -> &[u8] {
        &self.data[self.head..]
    }

    /// How much is held.
    pub fn len(&self) -> usize {
        self.data.len() - self.head
    }

    /// Is nothing held?
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// How many bytes were ever taken from the head.
    pub fn taken(&self) -> u64 {
        self.taken
    }

    /// Takes `n` bytes from the head.
    pub fn consume(&mut self, n: usize) {
        let n = n.min(self.len());
        self.head += n;
        self.taken += n as u64;
        self.tidy();
    }

    /// Takes back the last `n` bytes that were appended, as if they had never been.
    pub fn retract(&mut self, n: usize) {
        self.data.truncate(self.data.len() - n.min(self.len()));
        self.tidy();
    }

    /// Once nothing is held, what was granted beyond the connection's own goes back.
    fn tidy(&mut self) {
        if self.is_empty() {
            self.data.clear();
            self.head = 0;
            if self.data.capacity() > self.keep || self.room.should_release_buffers() {
                self.data = Vec::new();
                self.room.shrink(usize::MAX);
            }
        }
    }

    /// Takes `n` bytes from the head, also those that are still to come. None of these costs memory.
    pub fn skip(&mut self, n: usize) {
        let here = n.min(self.len());
        self.consume(here);
        self.skip += n - here;
    }

    /// How many bytes that are still to come will be passed over.
    pub fn bytes_to_skip(&self) -> usize {
        self.skip
    }

    /// Makes room for `wanted` bytes after those that are held: moves these to the front, and grows.
    pub fn reserve(&mut self, wanted: usize) -> Result<(), MemoryRefusal> {
        if self.data.capacity() - self.data.len() >= wanted {
            return Ok(());
        }
        if self.head > 0 {
            self.data.copy_within(self.head.., 0);
            self.data.truncate(self.data.len() - self.head);
            self.head = 0;
        }
        let needed = self.data.len() + wanted;
        if needed > self.data.capacity() {
            let size = match needed {
                n if n <= self.keep => self.keep,
                n if n <= DOUBLED => n.next_power_of_two(),
                n => n.next_multiple_of(STEP),
            };
            self.room.resize(size - self.keep.min(size))?;
            self.data.reserve_exact(size - self.data.len());
        }
        Ok(())
    }

    /// Appends, if there is memory for it; nothing is appended else.
    #[must_use]
    pub fn push(&mut self, bytes: &[u8]) -> bool {
        let fits = self.reserve(bytes.len()).is_ok();
        if fits {
            self.data.extend_from_slice(bytes);
        }
        fits
    }

    /// Reads once without waiting; `Ok(0)` is the end of the stream. Where a full buffer may not grow, the error
    /// is [`io::ErrorKind::OutOfMemory`] and nothing is read.
    pub fn read_from(&mut self, stream: &TcpStream) -> io::Result<usize> {
        if self.data.capacity() == self.data.len() {
            let more = if self.head > 0 { 1 } else { self.data.len().max(self.keep) };
            self.reserve(more).map_err(|_| io::ErrorKind::OutOfMemory)?;
        }
        let n = stream.try_read_buf(&mut self.data)?;
        self.pass_over();
        Ok(n)
    }

    /// Drops what has come of the bytes that are to be skipped.
    fn pass_over(&mut self) {
        let passed = self.skip.min(self.len());
        self.skip -= passed;
        self.consume(passed);
    }

    /// What a read from a socket would bring, piece by piece.
    #[cfg(test)]
    pub fn arrive(&mut self, bytes: &[u8]) {
        for piece in bytes.chunks(100) {
            assert!(self.push(piece));
            self.pass_over();
        }
    }

    /// Writes what the socket takes without waiting.
    pub fn write_to(&mut self, stream: &TcpStream) -> io::Result<usize> {
        let mut sent = 0;
        while !self.is_empty() {
            let Some(n) = taken(stream.try_write(self.bytes()))? else { break };
            self.consume(n);
            sent += n;
        }
        Ok(sent)
    }
}

/// One buffer's length of text beside the bodies: what a connection has room for as its own. It takes in no more
/// requests while half of it is unsent; the rest is for what its open ones are answered with.
pub const OUTPUT_TEXT_BYTES: usize = 8 * 1024;
/// Pieces that are written with one call.
const PIECES: usize = 16;

struct Part {
    data: Vec<u8>,
    left: Range<usize>,
    /// What a body is held by, and when it is due in Unix seconds; text is the connection's own.
    body: Option<(Grant, f64)>,
}

/// Answers on their way to a client: text that is the connection's own, and between it bodies, each with the
/// grant that it came with, so that none is copied and all is back as it is sent.
#[derive(Default)]
pub struct Output {
    parts: VecDeque<Part>,
    len: usize,
    text: usize,
    spare: Vec<u8>,
    unread: Grant,
    reader: Rc<Cell<usize>>,
}

impl Output {
    /// An empty output; `unread` is the account that unsent text is shown in.
    pub fn new(unread: Grant) -> Self {
        Output { unread, ..Output::default() }
    }

    /// Bytes that are unsent.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Is nothing held here? The system may still hold what it took ([`super::SendState::all_sent`]).
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Is so much text unsent that nothing more is to be taken in?
    pub fn has_text_backlog(&self) -> bool {
        self.text > OUTPUT_TEXT_BYTES / 2
    }

    /// Appends text.
    pub fn push(&mut self, bytes: &[u8]) {
        if self.parts.back().is_none_or(|p| p.body.is_some()) {
            let data = std::mem::take(&mut self.spare);
            self.parts.push_back(Part { data, left: 0..0, body: None });
        }
        if let Some(part) = self.parts.back_mut() {
            part.data.extend_from_slice(bytes);
            part.left.end = part.data.len();
            (self.len, self.text) = (self.len + bytes.len(), self.text + bytes.len());
        }
    }

    /// What is granted for this client's answers and not sent, for whoever decides whether it is to be given more.
    pub fn unread_content(&self) -> Rc<Cell<usize>> {
        self.reader.clone()
    }

    /// When the body that is being sent is due.
    pub fn due(&self) -> Option<f64> {
        self.parts.iter().take(2).find_map(|p| p.body.as_ref()).map(|b| b.1)
    }

    /// Appends a part of a body, which keeps its grant until it is sent.
    pub fn push_body(&mut self, data: Vec<u8>, left: Range<usize>, grant: Grant, due: f64) {
        if !left.is_empty() {
            self.len += left.len();
            self.parts.push_back(Part { data, left, body: Some((grant, due)) });
        }
    }

    /// Writes what the socket takes without waiting.
    pub fn write_to(&mut self, socket: &ClientSocket) -> io::Result<usize> {
        let mut sent = 0;
        while !self.is_empty() {
            let mut pieces = [IoSlice::new(&[]); PIECES];
            let count = self.parts.len().min(PIECES);
            for (piece, part) in pieces.iter_mut().zip(&self.parts) {
                *piece = IoSlice::new(&part.data[part.left.clone()]);
            }
            let Some(n) = taken(socket.try_write_vectored(&pieces[..count]))? else { break };
            self.consume(n);
            sent += n;
        }
        // Shown, not asked: the connection has paid for it. A refusal leaves the sum as it was.
        let _ = self.unread.resize(self.text);
        Ok(sent)
    }

    /// Takes `n` bytes from the head.
    pub fn consume(&mut self, mut n: usize) {
        while n > 0
            && let Some(part) = self.parts.front_mut()
        {
            let here = n.min(part.left.len());
            part.left.start += here;
            (n, self.len) = (n - here, self.len - here);
            if part.body.is_none() {
                self.text -= here;
            }
            if !part.left.is_empty() {
                return;
            }
            if let Some(Part { mut data, body: None, .. }) = self.parts.pop_front()
                && data.capacity() <= OUTPUT_TEXT_BYTES
            {
                data.clear();
                self.spare = data;
            }
        }
    }

    /// All that is unsent, in one piece.
    #[cfg(test)]
    pub fn bytes(&self) -> Vec<u8> {
        self.parts.iter().flat_map(|p| &p.data[p.left.clone()]).copied().collect()
    }
}

#[cfg(test)]
impl Default for Buffer {
    /// A buffer outside of a front, which nothing limits.
    fn default() -> Self {
        use crate::memory::{AccountOwner, Ledger, Purpose};
        Buffer::new(4096, Ledger::unlimited().empty_grant(AccountOwner::of(Purpose::Caches)))
    }
}

#[cfg(test)]
mod tests;
