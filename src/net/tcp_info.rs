//! The kernel's state of a TCP connection: TCP_INFO of tcp(7).

use nix::libc;
use nix::sys::socket::{getsockopt, sockopt::GetStruct};
use std::os::fd::AsFd;
use std::sync::OnceLock;
use std::time::Duration;

/// The first Linux release that fills all fields that are used here.
const MIN_KERNEL_RELEASE: [u32; 2] = [5, 4];
/// The file that holds the kernel's release.
const RELEASE_FILE: &str = "/proc/sys/kernel/osrelease";

/// The kernel's `struct tcp_info` up to the last field that is used here. The one in `libc` also has the
/// fields of the newest kernels, which an older one would not fill.
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

/// The socket option that reads [`TcpInfo`].
#[derive(Debug, Clone, Copy)]
struct TcpInfoOption;

nix::getsockopt_impl!(TcpInfoOption, libc::IPPROTO_TCP, libc::TCP_INFO, TcpInfo, GetStruct<TcpInfo>);

impl TcpInfo {
    /// Queries the kernel about a connected socket; `None` if it does not support that.
    pub(super) fn of(stream: &impl AsFd) -> Option<Self> {
        // `GetStruct` panics if the kernel fills fewer fields.
        is_supported().then(|| getsockopt(stream, TcpInfoOption).ok()).flatten()
    }

    /// Returns how many written bytes this kernel has not sent.
    pub(super) fn unsent_bytes(&self) -> u32 {
        self.notsent_bytes
    }

    /// Returns whether this kernel has unsent bytes.
    pub(super) fn has_unsent(&self) -> bool {
        self.notsent_bytes > 0
    }

    /// Returns whether the peer has not acknowledged everything that was sent.
    pub(super) fn has_unacknowledged(&self) -> bool {
        self.unacked > 0
    }

    /// Returns how many bytes the peer has room for beyond those it has acknowledged. An end of stream counts
    /// as one byte.
    pub(super) fn send_window(&self) -> u32 {
        self.snd_wnd
    }

    /// Returns whether the peer's kernel has closed its window without acknowledging everything that the
    /// window had allowed, which indicates that it had no room and dropped some of it.
    pub(super) fn is_dropped(&self) -> bool {
        self.send_window() == 0 && self.has_unacknowledged()
    }

    /// Returns whether the kernel considers unacknowledged data lost, or is about to.
    pub(super) fn is_overdue(&self) -> bool {
        self.retransmits > 0 || self.probes > 0 || self.since_last_sent() > self.retransmission_timeout()
    }

    /// Returns how long ago data was last sent or resent, to the kernel's tick (1 to 10 ms).
    pub(super) fn since_last_sent(&self) -> Duration {
        Duration::from_millis(self.last_data_sent_ms.into())
    }

    fn retransmission_timeout(&self) -> Duration {
        Duration::from_micros(self.rto_us.into())
    }
}

/// Returns whether this kernel fills all fields that are used here.
fn is_supported() -> bool {
    static SUPPORTED: OnceLock<bool> = OnceLock::new();
    *SUPPORTED
        .get_or_init(|| std::fs::read_to_string(RELEASE_FILE).is_ok_and(|release| fills_fields(&release)))
}

/// Returns whether Linux of this release fills all fields that are used here.
fn fills_fields(release: &str) -> bool {
    let numbers: Vec<u32> =
        release.split(|c: char| !c.is_ascii_digit()).map_while(|part| part.parse().ok()).collect();
    numbers.as_slice() >= MIN_KERNEL_RELEASE.as_slice()
}

#[cfg(test)]
mod tests;
