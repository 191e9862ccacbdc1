//! A client of a front's operators' socket. Each query uses its own connection, which the front closes after
//! its answer. A connection may also end in the middle of an answer: an answer without its end mark is an
//! error.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Maximum wait for an answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum size of an answer (bytes).
pub const MAX_ANSWER_BYTES: usize = 1 << 20;
/// First line of a multi-line answer, unless the front refuses the query.
const FIRST_LINE: &str = "ok\n";
/// End of a multi-line answer.
const LAST_LINE: &str = "\neof\n";

/// A query to a front.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Query {
    /// Whether the process accepts clients.
    Health,
    /// The digests of its program and settings.
    Version,
    /// Its counters.
    Counters,
    /// Its counts of requests that were served late.
    Slow,
}

impl Query {
    /// Sends the query to a front and returns the complete answer.
    pub async fn send(self, operators: SocketAddr) -> Result<String, QueryError> {
        let exchange = timeout(ANSWER_TIMEOUT, self.exchange(operators)).await;
        let received = exchange.map_err(|_| QueryError::TimedOut(self))?;
        self.complete_answer(received.map_err(QueryError::Connection)?)
    }

    /// Sends the query and reads until the connection ends or the answer exceeds the maximum size.
    async fn exchange(self, operators: SocketAddr) -> std::io::Result<Vec<u8>> {
        let mut stream = TcpStream::connect(operators).await?;
        stream.write_all(format!("{}\n", self.line()).as_bytes()).await?;
        let mut received = Vec::new();
        stream.take(MAX_ANSWER_BYTES as u64 + 1).read_to_end(&mut received).await?;
        Ok(received)
    }

    /// The query's line on the wire, without its line end.
    fn line(self) -> &'static str {
        match self {
            Query::Health => "health",
            Query::Version => "version",
            Query::Counters => "counters",
            Query::Slow => "slow",
        }
    }

    /// The end of a complete answer: the line end of its only line, or a last line `eof`.
    fn end_mark(self, answer: &str) -> &'static str {
        match self {
            Query::Counters | Query::Slow if answer.starts_with(FIRST_LINE) => LAST_LINE,
            _ => "\n",
        }
    }

    /// Returns the answer if it is complete.
    fn complete_answer(self, received: Vec<u8>) -> Result<String, QueryError> {
        if received.len() > MAX_ANSWER_BYTES {
            return Err(QueryError::TooLong(self));
        }
        let length = received.len();
        match String::from_utf8(received) {
            Ok(answer) if answer.ends_with(self.end_mark(&answer)) => Ok(answer),
            Ok(_) => Err(QueryError::CutOff(self, length)),
            Err(_) => Err(QueryError::NotText(self)),
        }
    }
}

/// Why a query has no complete answer.
#[derive(Debug)]
pub enum QueryError {
    /// The connection could not be opened, or failed.
    Connection(std::io::Error),
    /// The answer did not arrive in time.
    TimedOut(Query),
    /// The connection ended after this many bytes, before the end of the answer.
    CutOff(Query, usize),
    /// The answer exceeds the maximum size.
    TooLong(Query),
    /// The answer is not text.
    NotText(Query),
}

impl fmt::Display for QueryError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            QueryError::Connection(error) => write!(f, "the connection failed: {error}"),
            QueryError::TimedOut(query) => write!(f, "no answer to '{}' in time", query.line()),
            QueryError::CutOff(query, length) => {
                write!(f, "the answer to '{}' was cut off after {length} bytes", query.line())
            }
            QueryError::TooLong(query) => {
                write!(f, "the answer to '{}' is longer than {MAX_ANSWER_BYTES} bytes", query.line())
            }
            QueryError::NotText(query) => write!(f, "the answer to '{}' is not text", query.line()),
        }
    }
}

impl std::error::Error for QueryError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            QueryError::Connection(error) => Some(error),
            _ => None,
        }
    }
}
