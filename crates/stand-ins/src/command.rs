//! The commands that a front sends to a cache node.

use std::io;
use tokio::io::{AsyncRead, AsyncReadExt};

/// A command, parsed from its line.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Command<'a> {
    /// A request; a body of `length` bytes follows the line.
    Serve {
        /// The request's id, which the answer repeats.
        id: &'a str,
        /// The request's fields, `name=value,name=value`.
        fields: &'a str,
        /// Length of the body in bytes.
        length: usize,
    },
    /// Cancels a request.
    Cancel {
        /// The id of the cancelled request.
        id: &'a str,
    },
}

impl<'a> Command<'a> {
    /// Parses a line; returns `None` if it is not a command.
    pub fn parse(line: &'a str) -> Option<Command<'a>> {
        let words: Vec<&str> = line.trim_end().split(' ').collect();
        match words[..] {
            ["serve", id, fields, length] => {
                Some(Command::Serve { id, fields, length: length.parse().unwrap_or(0) })
            }
            ["cancel", id] => Some(Command::Cancel { id }),
            _ => None,
        }
    }
}

/// Reads and discards a body of this length and the line end that follows it.
pub async fn discard_body<R: AsyncRead + Unpin>(read: &mut R, length: usize) -> io::Result<()> {
    let mut body = vec![0; length + b"\r\n".len()];
    read.read_exact(&mut body).await.map(drop)
}
