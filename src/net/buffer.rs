//! Input and output buffers of a connection ([`Buffer`], [`Output`]). Memory beyond a connection's own share
//! is acquired from an account before it is used.

use super::ClientSocket;
use crate::memory::{Grant, MemoryRefusal};
use std::cell::Cell;
use std::collections::VecDeque;
use std::io::{self, IoSlice};
use std::ops::Range;
use std::rc::Rc;
use tokio::net::TcpStream;

/// Up to this size a buffer grows by doubling, beyond it in steps of [`GROWTH_STEP_BYTES`].
const MAX_DOUBLING_BYTES: usize = 64 * 1024;
/// Step by which a large buffer grows.
const GROWTH_STEP_BYTES: usize = 16 * 1024;

/// Converts the result of a write to the number of bytes that the socket accepted; `None` if it would block.
fn accepted_bytes(result: io::Result<usize>) -> io::Result<Option<usize>> {
    match result {
        Ok(0) => Err(io::ErrorKind::WriteZero.into()),
        Ok(n) => Ok(Some(n)),
        Err(e) if e.kind() == io::ErrorKind::WouldBlock => Ok(None),
        Err(e) => Err(e),
    }
}

/// A byte queue: appended to at the tail, consumed from the head, in one allocation that is compacted in
/// place. The first `own_bytes` of capacity are the connection's own. Capacity beyond that is covered by a
/// grant and released as soon as the buffer is empty, since connections are many and most of them are idle
/// most of the time.
pub struct Buffer {
    data: Vec<u8>,
    /// Index of the first byte that is not consumed.
    head: usize,
    /// Number of bytes consumed since the buffer was created.
    consumed: u64,
    own_bytes: usize,
    grant: Grant,
    /// Number of bytes that are discarded when they arrive.
    bytes_to_skip: usize,
}

impl Buffer {
    /// Creates an empty buffer. `grant` is empty and grows by the capacity beyond `own_bytes`.
    pub fn new(own_bytes: usize, grant: Grant) -> Self {
        Buffer { data: Vec::new(), head: 0, consumed: 0, own_bytes, grant, bytes_to_skip: 0 }
    }

    /// Charges another account from now on, unless the current grant is in use.
    pub fn set_grant(&mut self, grant: impl FnOnce() -> Grant) {
        if self.grant.bytes() == 0 {
            self.grant = grant();
        }
    }

    /// Returns the bytes that are not consumed.
    pub fn bytes(&self) -> &[u8] {
        &self.data[self.head..]
    }

    /// Returns the number of bytes that are not consumed.
    pub fn len(&self) -> usize {
        self.data.len() - self.head
    }

    /// Returns whether all bytes are consumed.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the number of bytes consumed since the buffer was created.
    pub fn consumed(&self) -> u64 {
        self.consumed
    }

    /// Consumes `n` bytes from the head.
    pub fn consume(&mut self, n: usize) {
        let n = n.min(self.len());
        self.head += n;
        self.consumed += n as u64;
        self.release_if_empty();
    }

    /// Removes the last `n` bytes that were appended, without counting them as consumed.
    pub fn retract(&mut self, n: usize) {
        self.data.truncate(self.data.len() - n.min(self.len()));
        self.release_if_empty();
    }

    /// Releases the granted memory if the buffer is empty.
    fn release_if_empty(&mut self) {
        if self.is_empty() {
            self.data.clear();
            self.head = 0;
            if self.data.capacity() > self.own_bytes || self.grant.should_release_buffers() {
                self.data = Vec::new();
                self.grant.shrink(usize::MAX);
            }
        }
    }

    /// Consumes `n` bytes from the head, including bytes that have not arrived, which need no memory.
    pub fn skip(&mut self, n: usize) {
        let here = n.min(self.len());
        self.consume(here);
        self.bytes_to_skip += n - here;
    }

    /// Returns how many bytes are discarded when they arrive.
    pub fn bytes_to_skip(&self) -> usize {
        self.bytes_to_skip
    }

    /// Reserves space for `wanted` bytes at the tail: moves the content to the front, and grows if necessary.
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
                n if n <= self.own_bytes => self.own_bytes,
                n if n <= MAX_DOUBLING_BYTES => n.next_power_of_two(),
                n => n.next_multiple_of(GROWTH_STEP_BYTES),
            };
            self.grant.resize(size - self.own_bytes.min(size))?;
            self.data.reserve_exact(size - self.data.len());
        }
        Ok(())
    }

    /// Appends `bytes` and returns true, or appends nothing and returns false if there is no memory.
    #[must_use]
    pub fn push(&mut self, bytes: &[u8]) -> bool {
        let fits = self.reserve(bytes.len()).is_ok();
        if fits {
            self.data.extend_from_slice(bytes);
        }
        fits
    }

    /// Reads once without blocking; `Ok(0)` is the end of the stream. If a full buffer cannot grow, the error
    /// is [`io::ErrorKind::OutOfMemory`] and nothing is read.
    pub fn read_from(&mut self, stream: &TcpStream) -> io::Result<usize> {
        if self.data.capacity() == self.data.len() {
            let more = if self.head > 0 { 1 } else { self.data.len().max(self.own_bytes) };
            self.reserve(more).map_err(|_| io::ErrorKind::OutOfMemory)?;
        }
        let n = stream.try_read_buf(&mut self.data)?;
        self.discard_skipped();
        Ok(n)
    }

    /// Discards the bytes to skip that have arrived.
    fn discard_skipped(&mut self) {
        let skipped = self.bytes_to_skip.min(self.len());
        self.bytes_to_skip -= skipped;
        self.consume(skipped);
    }

    /// Appends `bytes` in pieces, as reads from a socket would.
    #[cfg(test)]
    pub fn push_as_read(&mut self, bytes: &[u8]) {
        for piece in bytes.chunks(100) {
            assert!(self.push(piece));
            self.discard_skipped();
        }
    }

    /// Writes as much as the socket accepts without blocking. Returns the number of bytes written.
    pub fn write_to(&mut self, stream: &TcpStream) -> io::Result<usize> {
        let mut written = 0;
        while !self.is_empty() {
            let Some(n) = accepted_bytes(stream.try_write(self.bytes()))? else { break };
            self.consume(n);
            written += n;
        }
        Ok(written)
    }
}

/// Memory that a client connection owns for unwritten text, which is everything but bodies. No further
/// requests are read while more than half of it is unwritten; the rest is for the answers to open requests.
pub const OUTPUT_TEXT_BYTES: usize = 8 * 1024;
/// Upper bound on the segments that are written with one system call.
const MAX_SEGMENTS_PER_WRITE: usize = 16;

/// A run of text, or (a part of) a body.
struct Segment {
    data: Vec<u8>,
    /// The bytes of `data` that are not consumed.
    unwritten: Range<usize>,
    /// The grant of a body and its deadline (Unix seconds); `None` for text, whose memory is the connection's
    /// own.
    body: Option<(Grant, f64)>,
}

/// Answers to a client that are not written yet: text in the connection's own memory, interleaved with
/// bodies. A body is not copied, and its grant is released once it is written.
#[derive(Default)]
pub struct Output {
    segments: VecDeque<Segment>,
    /// Number of unwritten bytes.
    len: usize,
    /// Number of unwritten bytes of text.
    text_len: usize,
    /// Allocation of a consumed text segment, for reuse.
    spare: Vec<u8>,
    /// Account in which unwritten text is shown.
    text_grant: Grant,
    /// Number of bytes granted for this client's answers and not written.
    unread_content: Rc<Cell<usize>>,
}

impl Output {
    /// Creates an empty output. `text_grant` belongs to the account in which unwritten text is shown.
    pub fn new(text_grant: Grant) -> Self {
        Output { text_grant, ..Output::default() }
    }

    /// Returns the number of unwritten bytes.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Returns whether everything is written. The kernel may still hold written bytes
    /// ([`super::SendState::delivery`]).
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Returns whether so much text is unwritten that no further requests are to be read.
    pub fn has_text_backlog(&self) -> bool {
        self.text_len > OUTPUT_TEXT_BYTES / 2
    }

    /// Appends text.
    pub fn push(&mut self, bytes: &[u8]) {
        if self.segments.back().is_none_or(|segment| segment.body.is_some()) {
            let data = std::mem::take(&mut self.spare);
            self.segments.push_back(Segment { data, unwritten: 0..0, body: None });
        }
        if let Some(segment) = self.segments.back_mut() {
            segment.data.extend_from_slice(bytes);
            segment.unwritten.end = segment.data.len();
            (self.len, self.text_len) = (self.len + bytes.len(), self.text_len + bytes.len());
        }
    }

    /// Returns the shared counter of bytes that are granted for this client's answers and not written. It
    /// decides whether the client gets further content.
    pub fn unread_content(&self) -> Rc<Cell<usize>> {
        self.unread_content.clone()
    }

    /// Returns the deadline of the body that is being written (Unix seconds).
    pub fn due(&self) -> Option<f64> {
        self.segments.iter().take(2).find_map(|segment| segment.body.as_ref()).map(|(_, due)| *due)
    }

    /// Appends the range `unwritten` of a body, which keeps its grant until it is written.
    pub fn push_body(&mut self, data: Vec<u8>, unwritten: Range<usize>, grant: Grant, due: f64) {
        if !unwritten.is_empty() {
            self.len += unwritten.len();
            self.segments.push_back(Segment { data, unwritten, body: Some((grant, due)) });
        }
    }

    /// Writes as much as the socket accepts without blocking. Returns the number of bytes written.
    pub fn write_to(&mut self, socket: &ClientSocket) -> io::Result<usize> {
        let mut written = 0;
        while !self.is_empty() {
            let mut slices = [IoSlice::new(&[]); MAX_SEGMENTS_PER_WRITE];
            let count = self.segments.len().min(MAX_SEGMENTS_PER_WRITE);
            for (slice, segment) in slices.iter_mut().zip(&self.segments) {
                *slice = IoSlice::new(&segment.data[segment.unwritten.clone()]);
            }
            let Some(n) = accepted_bytes(socket.try_write_vectored(&slices[..count]))? else { break };
            self.consume(n);
            written += n;
        }
        // This only shows the unwritten text in the account, since the connection owns its memory. A refusal
        // leaves the sum unchanged.
        let _ = self.text_grant.resize(self.text_len);
        Ok(written)
    }

    /// Consumes `n` bytes from the head.
    pub fn consume(&mut self, mut n: usize) {
        while n > 0
            && let Some(segment) = self.segments.front_mut()
        {
            let here = n.min(segment.unwritten.len());
            segment.unwritten.start += here;
            (n, self.len) = (n - here, self.len - here);
            if segment.body.is_none() {
                self.text_len -= here;
            }
            if !segment.unwritten.is_empty() {
                return;
            }
            if let Some(Segment { mut data, body: None, .. }) = self.segments.pop_front()
                && data.capacity() <= OUTPUT_TEXT_BYTES
            {
                data.clear();
                self.spare = data;
            }
        }
    }

    /// Returns all unwritten bytes in one piece.
    #[cfg(test)]
    pub fn bytes(&self) -> Vec<u8> {
        self.segments.iter().flat_map(|segment| &segment.data[segment.unwritten.clone()]).copied().collect()
    }
}

#[cfg(test)]
impl Default for Buffer {
    /// Creates a buffer without a memory limit.
    fn default() -> Self {
        use crate::memory::{AccountOwner, Ledger, Purpose};
        Buffer::new(4096, Ledger::unlimited().empty_grant(AccountOwner::of(Purpose::Caches)))
    }
}

#[cfg(test)]
mod tests;
