//! Looks at the process's memory some ten times a second and hands what it sees to the accounts; what they find is
//! logged. The only place that asks the system.

use crate::memory::{Finding, Ledger, Notice};
use crate::{clock, log};
use tokio::time::sleep_until;

/// Between two looks (seconds).
const EVERY: f64 = 0.1;

/// Looks for ever.
pub async fn memory(ledger: Ledger) {
    loop {
        // Where the system does not tell, the rest counts as nothing, and the accounts alone hold.
        let resident = memory_stats::memory_stats().map_or(0, |s| s.physical_mem);
        let (finding, notices) = ledger.turn(resident);
        match finding {
            Finding::Usual => {}
            Finding::Grew(rest) => log!("memory: {rest} bytes are in no account, more than when last told"),
            Finding::Over(rest, cap) => {
                log!(
                    "memory: {rest} bytes are in no account, over 'memory.program.cap' ({cap}); others are refused sooner"
                );
            }
        }
        for notice in notices {
            match notice {
                Notice::Refuses(s) => {
                    log!(
                        "memory: '{}' refuses: {} bytes held, cap {}, {} shared left",
                        s.purpose.name(),
                        s.now,
                        s.cap,
                        ledger.accounts().remainder().0
                    );
                }
                Notice::Recovered(s) => {
                    log!(
                        "memory: '{}' has recovered: {} bytes held, {} refused so far",
                        s.purpose.name(),
                        s.now,
                        s.refused
                    );
                }
            }
        }
        sleep_until(clock::instant(clock::now() + EVERY)).await;
    }
}
