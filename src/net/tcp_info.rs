//! What the system knows of a TCP connection: TCP_INFO of tcp(7).

use nix::libc;
use nix::sys::socket::{getsockopt, sockopt::GetStruct};
use std::os::fd::AsFd;
use std::sync::OnceLock;
use std::time::Duration;

/// The first Linux that fills all fields that are used here.
const FIRST_RELEASE: [u32; 2] = [5, 4];
/// Where the system tells its release.
const RELEASE_FILE: &str = "/proc/sys/kernel/osrelease";

/// The system's `struct tcp_info` up to the last field that is used here. `libc` declares the fields of the newest systems too,
/// and an older one would not fill them all.
#[repr(C)]
#[derive(Debug, Clone, Copy)]
pub(super) struct TcpInfo {
    _state: [u8; 2],
    retransmits: u8,
    probes: u8,
    _options: [u8; 4],
    rto_us: u32,
    _segment_sizes: [u32; 3],
    unacked: u32,
    _losses: [u32; 4],
    last_data_sent_ms: u32,
    _estimates: [u32; 14],
    _rates: [u64; 4],
    _segments: [u32; 2],
    notsent_bytes: u32,
    _data_segments: [u32; 3],
    _times: [u64; 4],
    _delivered: [u32; 2],
    _bytes: [u64; 2],
    _reordering: [u32; 3],
    snd_wnd: u32,
}

/// The socket option that reads it.
#[derive(Debug, Clone, Copy)]
struct TcpInfoOption;

nix::getsockopt_impl!(TcpInfoOption, libc::IPPROTO_TCP, libc::TCP_INFO, TcpInfo, GetStruct<TcpInfo>);

impl TcpInfo {
    /// Asks the system about a connected socket; `None` where it does not tell.
    pub(super) fn of(stream: &impl AsFd) -> Option<Self> {
        // `GetStruct` panics where the system fills less.
        is_told().then(|| getsockopt(stream, TcpInfoOption).ok()).flatten()
    }

    /// How much of what was written still lies with this system (bytes).
    pub(super) fn unsent_bytes(&self) -> u32 {
        self.notsent_bytes
    }

    /// Does some of what was written still lie with this system?
    pub(super) fn has_unsent(&self) -> bool {
        self.notsent_bytes > 0
    }

    /// Is something sent that the peer has not acknowledged?
    pub(super) fn has_unacknowledged(&self) -> bool {
        self.unacked > 0
    }

    /// How much the peer has room for, beside what it has acknowledged (bytes). An end of stream counts as one.
    pub(super) fn send_window(&self) -> u32 {
        self.snd_wnd
    }

    /// Has the peer's system closed its window without acknowledging all that it had let in? That is how it tells that it had
    /// no room and dropped some of it.
    pub(super) fn is_dropped(&self) -> bool {
        self.send_window() == 0 && self.has_unacknowledged()
    }

    /// Does the system take what is unacknowledged for lost, or is it about to?
    pub(super) fn is_overdue(&self) -> bool {
        self.retransmits > 0 || self.probes > 0 || self.since_last_sent() > self.retransmission_timeout()
    }

    /// How long ago data was last sent, be it again, to the system's tick (1 to 10 ms).
    pub(super) fn since_last_sent(&self) -> Duration {
        Duration::from_millis(self.last_data_sent_ms.into())
    }

    fn retransmission_timeout(&self) -> Duration {
        Duration::from_micros(self.rto_us.into())
    }
}

/// Does this system fill all fields that are used here?
fn is_told() -> bool {
    static IS_TOLD: OnceLock<bool> = OnceLock::new();
    *IS_TOLD.get_or_init(|| std::fs::read_to_string(RELEASE_FILE).is_ok_and(|release| has_fields(&release)))
}

/// Does Linux of this release fill them?
fn has_fields(release: &str) -> bool {
    let numbers: Vec<u32> =
        release.split(|c: char| !c.is_ascii_digit()).map_while(|part| part.parse().ok()).collect();
    numbers.as_slice() >= FIRST_RELEASE.as_slice()
}

#[cfg(test)]
mod tests;
