//! Looks at the process's memory, ten times a second while it is scarce and else twice, and hands what it sees to the accounts; what they find is
//! logged. The only place that asks the system.

use crate::memory::{Finding, Ledger, Level, Notice, Seen};
use crate::{clock, log};
use tokio::time::sleep_until;

/// Between two looks while memory is scarce, and while it is not: a look costs some hundred microseconds (seconds).
const EVERY: (f64, f64) = (0.1, 0.5);

/// Pages that the allocator has: those with something live in them, and all that are in memory (bytes).
#[derive(Debug, Clone, Copy, Default)]
struct HeapPages {
    active: usize,
    resident: usize,
}

/// Reads the allocator's pages. Where it does not tell, they count as none, and the accounts alone hold.
fn heap_pages() -> HeapPages {
    use tikv_jemalloc_ctl::{epoch, stats};
    let read = || {
        epoch::advance()?;
        Ok::<_, tikv_jemalloc_ctl::Error>(HeapPages {
            active: stats::active::read()?,
            resident: stats::resident::read()?,
        })
    };
    read().unwrap_or_default()
}

/// Reads the process's resident memory (bytes); 0 where the system does not tell.
fn resident_memory() -> usize {
    memory_stats::memory_stats().map_or(0, |stats| stats.physical_mem)
}

/// Reads both, the allocator first. Reading the process's size allocates, upon which the allocator may return freed
/// pages: an allocator that is asked later no longer counts them, and they would be taken for the program's own.
fn sample(heap: impl FnOnce() -> HeapPages, resident: impl FnOnce() -> usize) -> Seen {
    let heap = heap();
    Seen { resident: resident(), active: heap.active, heap: heap.resident }
}

/// Looks for ever.
pub async fn memory(ledger: Ledger) {
    loop {
        let seen = sample(heap_pages, resident_memory);
        let (finding, notices) = ledger.turn(seen);
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
                        "memory: '{}' refuses: {} bytes held, cap {}, {} shared left; level {}, of the process {} are in memory, {} of it the allocator's, {} live",
                        s.purpose.name(),
                        s.now,
                        s.cap,
                        ledger.accounts().remainder().0,
                        ledger.level().name(),
                        seen.resident,
                        seen.heap,
                        seen.active
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

#[cfg(test)]
mod tests;
