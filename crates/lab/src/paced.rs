//! A client's reading at a pace: what has come lies in its system for a while before its program reads some of it.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::io::{AsyncRead, ReadBuf};
use tokio::net::tcp::OwnedReadHalf;
use tokio::time::{Sleep, sleep};

/// How clients read.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Pace {
    /// What has come is left for so long (seconds).
    pub pause_s: f64,
    /// Then so much is read as it comes, up to the next pause (bytes).
    pub chunk: usize,
    /// The system keeps about so much that is unread (bytes); else as much as it will.
    #[serde(default)]
    pub receive_buffer: Option<usize>,
}

/// Reads a connection at a pace, or as it comes. An end that nothing unread lies before is seen at once.
pub struct PacedReader {
    inner: OwnedReadHalf,
    pace: Option<Pace>,
    pause: Option<Pin<Box<Sleep>>>,
    /// What may be read up to the next pause (bytes).
    allowed: usize,
}

impl PacedReader {
    /// Reads at this pace.
    pub fn new(inner: OwnedReadHalf, pace: Option<Pace>) -> Self {
        PacedReader { inner, pace, pause: None, allowed: 0 }
    }

    /// Waits until something has come and the pause is over; `false` at the end of the stream.
    fn poll_pause(&mut self, pace: Pace, context: &mut Context<'_>) -> Poll<io::Result<bool>> {
        if self.pause.is_none() {
            let mut byte = [0];
            let unread = ready!(self.inner.poll_peek(context, &mut ReadBuf::new(&mut byte)))?;
            if unread == 0 {
                return Poll::Ready(Ok(false));
            }
            self.pause = Some(Box::pin(sleep(Duration::from_secs_f64(pace.pause_s))));
        }
        if let Some(pause) = &mut self.pause {
            ready!(pause.as_mut().poll(context));
        }
        self.pause = None;
        self.allowed = pace.chunk;
        Poll::Ready(Ok(true))
    }
}

impl AsyncRead for PacedReader {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let Some(pace) = self.pace else { return Pin::new(&mut self.inner).poll_read(context, buffer) };
        if self.allowed == 0 && !ready!(self.poll_pause(pace, context))? {
            return Poll::Ready(Ok(()));
        }
        let mut bytes = vec![0; self.allowed.min(buffer.remaining())];
        let mut chunk = ReadBuf::new(&mut bytes);
        ready!(Pin::new(&mut self.inner).poll_read(context, &mut chunk))?;
        self.allowed -= chunk.filled().len();
        buffer.put_slice(chunk.filled());
        Poll::Ready(Ok(()))
    }
}
