//! A client of a front's operators' socket. Each query has a connection of its own, which the front closes behind its
//! answer. A connection may also end in the middle of an answer: an answer without its end mark is an error.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Longest wait for an answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);
/// Size of the longest answer that is read (bytes).
pub const LONGEST_ANSWER: usize = 1 << 20;
/// How an answer of several lines begins, if the front does not refuse the query.
const SEVERAL_LINES: &str = "ok\n";
/// How such an answer ends.
const LAST_LINE: &str = "\neof\n";

/// A question to a front.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Query {
    /// Whether the process takes clients.
    Health,
    /// The program and the settings that it runs.
    Version,
    /// Its counts.
    Counters,
    /// Its counts of what was served late.
    Slow,
}

impl Query {
    /// Asks a front, and returns its whole answer.
    pub async fn ask(self, operators: SocketAddr) -> Result<String, QueryError> {
        let exchange = timeout(ANSWER_TIMEOUT, self.exchange(operators)).await;
        let received = exchange.map_err(|_| QueryError::TimedOut(self))?;
        self.whole_answer(received.map_err(QueryError::Connection)?)
    }

    /// Sends the query, and reads until the connection ends or more than the longest answer was received.
    async fn exchange(self, operators: SocketAddr) -> std::io::Result<Vec<u8>> {
        let mut stream = TcpStream::connect(operators).await?;
        stream.write_all(format!("{}\n", self.line()).as_bytes()).await?;
        let mut received = Vec::new();
        stream.take(LONGEST_ANSWER as u64 + 1).read_to_end(&mut received).await?;
        Ok(received)
    }

    /// The query's line on the wire, without its end.
    fn line(self) -> &'static str {
        match self {
            Query::Health => "health",
            Query::Version => "version",
            Query::Counters => "counters",
            Query::Slow => "slow",
        }
    }

    /// How a whole answer ends: with its only line, or with a last line `eof`.
    fn end_mark(self, answer: &str) -> &'static str {
        match self {
            Query::Counters | Query::Slow if answer.starts_with(SEVERAL_LINES) => LAST_LINE,
            _ => "\n",
        }
    }

    /// The answer, if it is whole.
    fn whole_answer(self, received: Vec<u8>) -> Result<String, QueryError> {
        if received.len() > LONGEST_ANSWER {
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

/// Why a query has no answer.
#[derive(Debug)]
pub enum QueryError {
    /// The connection was not made, or failed.
    Connection(std::io::Error),
    /// The answer did not come in time.
    TimedOut(Query),
    /// The connection ended after so many bytes, before the answer did.
    CutOff(Query, usize),
    /// The answer is longer than the longest that is read.
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
                write!(f, "the answer to '{}' is longer than {LONGEST_ANSWER} bytes", query.line())
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
