//! A connection's buffer: grows as it needs, is compacted in place, gives memory back when it is empty.

use std::io;
use tokio::net::TcpStream;

/// Room made before each read.
const READ: usize = 16 * 1024;
/// An empty buffer larger than this is given back: most connections wait most of the time, and are many.
const KEEP: usize = 4 * 1024;

/// Bytes in order: appended at the tail, taken from the head.
#[derive(Default)]
pub struct Buffer {
    data: Vec<u8>,
    head: usize,
    taken: u64,
}

impl Buffer {
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
        if self.is_empty() {
            self.data.clear();
            self.head = 0;
            if self.data.capacity() > KEEP {
                self.data = Vec::new();
            }
        }
    }

    /// Appends.
    pub fn push(&mut self, bytes: &[u8]) {
        self.make_room(bytes.len());
        self.data.extend_from_slice(bytes);
    }

    /// Moves what is held to the front when that is cheaper than growing.
    fn make_room(&mut self, wanted: usize) {
        if self.head > 0 && self.data.capacity() - self.data.len() < wanted && self.head >= self.len() {
            self.data.copy_within(self.head.., 0);
            self.data.truncate(self.data.len() - self.head);
            self.head = 0;
        }
    }

    /// Reads once without waiting; `Ok(0)` is the end of the stream.
    pub fn read_from(&mut self, stream: &TcpStream) -> io::Result<usize> {
        self.make_room(READ);
        self.data.reserve(READ);
        stream.try_read_buf(&mut self.data)
    }

    /// Writes what the socket takes without waiting.
    pub fn write_to(&mut self, stream: &TcpStream) -> io::Result<usize> {
        let mut sent = 0;
        while !self.is_empty() {
            match stream.try_write(self.bytes()) {
                Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
                Ok(n) => {
                    self.consume(n);
                    sent += n;
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => break,
                Err(e) => return Err(e),
            }
        }
        Ok(sent)
    }
}
