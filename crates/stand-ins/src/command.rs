//! The commands that a front writes to a cache node.

use std::io;
use tokio::io::{AsyncRead, AsyncReadExt};

/// A command, by its line.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Command<'a> {
    /// A request, behind which a body of this length comes.
    Serve {
        /// The name that the answer repeats.
        id: &'a str,
        /// `name=value,name=value`.
        fields: &'a str,
        /// Bytes of the body.
        length: usize,
    },
    /// The request of this name is given up.
    Cancel {
        /// Its name.
        id: &'a str,
    },
}

impl<'a> Command<'a> {
    /// Reads a line; `None` if it is no command.
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

/// Reads a body of this length and the end of its line, and forgets it.
pub async fn discard_body<R: AsyncRead + Unpin>(read: &mut R, length: usize) -> io::Result<()> {
    let mut body = vec![0; length + b"\r\n".len()];
    read.read_exact(&mut body).await.map(drop)
}
