//! What the system knows of the bytes that were written to a TCP socket: sent or not, acknowledged or not (TCP_INFO, tcp(7)).

use nix::libc::{self, tcp_info};
use nix::sys::socket::getsockopt;
use nix::sys::socket::sockopt::GetStruct;
use std::mem::offset_of;
use tokio::net::TcpStream;

/// So many words of `tcp_info` are asked for: no more than needed, so that the kernels that know these have them all
/// (Linux 5.4 and later).
const WORDS: usize = word(offset_of!(tcp_info, tcpi_snd_wnd)) + 1;
const UNACKNOWLEDGED_SEGMENTS: usize = word(offset_of!(tcp_info, tcpi_unacked));
const UNSENT_BYTES: usize = word(offset_of!(tcp_info, tcpi_notsent_bytes));
const PEER_WINDOW_BYTES: usize = word(offset_of!(tcp_info, tcpi_snd_wnd));

/// The head of `tcp_info`, up to the last field that is read here.
type TcpInfoWords = [u32; WORDS];

/// The socket option that gives the head of `tcp_info`.
#[derive(Debug, Clone, Copy)]
struct TcpInfo;

nix::getsockopt_impl!(TcpInfo, libc::IPPROTO_TCP, libc::TCP_INFO, TcpInfoWords, GetStruct<TcpInfoWords>);

/// The word of `tcp_info` that a field of four bytes at this offset is.
const fn word(offset: usize) -> usize {
    assert!(offset.is_multiple_of(size_of::<u32>()));
    offset / size_of::<u32>()
}

/// How far a socket's bytes have come.
#[derive(Debug, Clone, Copy)]
pub(super) struct Transmission {
    /// Bytes that the system has taken and not sent.
    pub(super) unsent: u32,
    /// Segments that were sent and are not acknowledged.
    unacknowledged_segments: u32,
    /// What the peer's system said last that it has room for (bytes).
    peer_window: u32,
}

impl Transmission {
    /// Asks the system; `None` where it does not tell.
    pub(super) fn of(stream: &TcpStream) -> Option<Self> {
        let words = getsockopt(stream, TcpInfo).ok()?;
        Some(Transmission {
            unsent: words[UNSENT_BYTES],
            unacknowledged_segments: words[UNACKNOWLEDGED_SEGMENTS],
            peer_window: words[PEER_WINDOW_BYTES],
        })
    }

    /// Was everything that was sent acknowledged?
    pub(super) fn is_acknowledged(&self) -> bool {
        self.unacknowledged_segments == 0
    }

    /// Has the peer's system closed its window without acknowledging all that it had let in? That is how it tells that it
    /// had no room and dropped some of it.
    pub(super) fn is_dropped(&self) -> bool {
        self.peer_window == 0 && !self.is_acknowledged()
    }
}
