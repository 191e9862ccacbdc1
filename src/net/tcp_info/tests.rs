//! Tests of `tcp_info.rs`.

use super::{TcpInfo, has_fields};
use nix::libc::tcp_info;
use std::mem::offset_of;

/// The fields lie where the system's header has them.
#[test]
fn the_fields_lie_where_the_system_writes_them() {
    let here = [
        offset_of!(TcpInfo, retransmits),
        offset_of!(TcpInfo, probes),
        offset_of!(TcpInfo, rto_us),
        offset_of!(TcpInfo, unacked),
        offset_of!(TcpInfo, last_data_sent_ms),
        offset_of!(TcpInfo, notsent_bytes),
        offset_of!(TcpInfo, snd_wnd),
    ];
    let system = [
        offset_of!(tcp_info, tcpi_retransmits),
        offset_of!(tcp_info, tcpi_probes),
        offset_of!(tcp_info, tcpi_rto),
        offset_of!(tcp_info, tcpi_unacked),
        offset_of!(tcp_info, tcpi_last_data_sent),
        offset_of!(tcp_info, tcpi_notsent_bytes),
        offset_of!(tcp_info, tcpi_snd_wnd),
    ];
    assert_eq!(here, system);
}

/// Guards against a panic on a system that fills less.
#[test]
fn older_systems_are_not_asked() {
    let asked = ["5.4.0-42-generic", "5.10.1\n", "6.1"].map(has_fields);
    let not_asked = ["4.19.0", "5.3.18-lp152", "4.4.0\n", "", "unknown"].map(has_fields);
    assert_eq!((asked, not_asked), ([true; 3], [false; 5]));
}
