//! Looks at the process's memory, ten times a second while it is scarce and else twice, and hands what it sees to the accounts; what they find is
//! logged. The only place that asks the system.

use crate::memory::{Finding, Ledger, Level, Notice, Seen};
use crate::{clock, log};
use tokio::time::sleep_until;

/// Between two looks while memory is scarce, and while it is not: a look costs some hundred microseconds (seconds).
const EVERY: (f64, f64) = (0.1, 0.5);

/// What the system and the allocator say. Where one does not tell, it counts as nothing, and the accounts alone hold.
fn seen() -> Seen {
    use tikv_jemalloc_ctl::{epoch, stats};
    let resident = memory_stats::memory_stats().map_or(0, |s| s.physical_mem);
    let heap = epoch::advance().and_then(|_| Ok((stats::active::read()?, stats::resident::read()?)));
    let (active, heap) = heap.unwrap_or((0, 0));
    Seen { resident, active, heap }
}

/// Looks for ever.
pub async fn memory(ledger: Ledger) {
    loop {
        let (finding, notices) = ledger.turn(seen());
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
        let pause = if ledger.level() == Level::Calm { EVERY.1 } else { EVERY.0 };
        sleep_until(clock::instant(clock::now() + pause)).await;
    }
}
