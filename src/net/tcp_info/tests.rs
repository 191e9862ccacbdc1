//! Tests of `tcp_info.rs`.

use super::{TcpInfo, fills_fields};
use nix::libc::tcp_info;
use std::mem::offset_of;

/// The fields have the same offsets as in the kernel's header.
#[test]
fn the_fields_have_the_kernels_offsets() {
    let actual = [
        offset_of!(TcpInfo, retransmits),
        offset_of!(TcpInfo, probes),
        offset_of!(TcpInfo, rto_us),
        offset_of!(TcpInfo, unacked),
        offset_of!(TcpInfo, last_data_sent_ms),
        offset_of!(TcpInfo, notsent_bytes),
        offset_of!(TcpInfo, snd_wnd),
    ];
    let expected = [
        offset_of!(tcp_info, tcpi_retransmits),
        offset_of!(tcp_info, tcpi_probes),
        offset_of!(tcp_info, tcpi_rto),
        offset_of!(tcp_info, tcpi_unacked),
        offset_of!(tcp_info, tcpi_last_data_sent),
        offset_of!(tcp_info, tcpi_notsent_bytes),
        offset_of!(tcp_info, tcpi_snd_wnd),
    ];
    assert_eq!(actual, expected);
}

/// On a kernel that fills fewer fields, the query would panic.
#[test]
fn older_kernels_are_not_queried() {
    let queried = ["5.4.0-42-generic", "5.10.1\n", "6.1"].map(fills_fields);
    let not_queried = ["4.19.0", "5.3.18-lp152", "4.4.0\n", "", "unknown"].map(fills_fields);
    assert_eq!((queried, not_queried), ([true; 3], [false; 5]));
}
