//! Samples the process's memory, ten times a second while memory is scarce and otherwise twice, updates the
//! accounts, and logs what they find. Nothing else queries the system for it.

use crate::memory::{AuditFinding, Ledger, Level, Notice, ProcessMemory};
use crate::{clock, log};
use tokio::time::sleep_until;

/// Interval of the samples while memory is scarce (seconds).
const SCARCE_INTERVAL_S: f64 = 0.1;
/// Interval of the samples while memory is not scarce (seconds): a sample costs some hundred microseconds.
const CALM_INTERVAL_S: f64 = 0.5;

/// Pages of the allocator: those with live allocations, and all resident ones (bytes).
#[derive(Debug, Clone, Copy, Default)]
struct HeapPages {
    active: usize,
    resident: usize,
}

/// Reads the allocator's pages. If it reports nothing they count as none, and only the accounts apply.
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

/// Reads the process's resident memory (bytes); 0 if the system does not report it.
fn resident_memory() -> usize {
    memory_stats::memory_stats().map_or(0, |stats| stats.physical_mem)
}

/// Samples the allocator's pages first and then the resident memory. Reading the resident memory allocates,
/// upon which the allocator may return freed pages: read in the other order, these would be taken for the
/// program's own memory.
fn sample(heap: impl FnOnce() -> HeapPages, resident: impl FnOnce() -> usize) -> ProcessMemory {
    let heap = heap();
    ProcessMemory { resident: resident(), active: heap.active, heap: heap.resident }
}

/// Updates the accounts at intervals, without end.
pub async fn watch_memory(ledger: Ledger) {
    loop {
        let process = sample(heap_pages, resident_memory);
        let (finding, notices) = ledger.update(process);
        match finding {
            AuditFinding::Normal => {}
            AuditFinding::Grew(unaccounted) => {
                log!("memory: {unaccounted} bytes are in no account, more than when last logged");
            }
            AuditFinding::OverCap { unaccounted, cap } => {
                log!(
                    "memory: {unaccounted} bytes are in no account, over 'memory.program.cap' ({cap}); other \
                     accounts are refused sooner"
                );
            }
        }
        for notice in notices {
            match notice {
                Notice::RefusalsBegan(s) => {
                    log!(
                        "memory: '{}' refuses: {} bytes held, cap {}, {} shared bytes free; level {}; \
                         resident {}, of these {} in the allocator, {} in its active pages",
                        s.purpose.name(),
                        s.now,
                        s.cap,
                        ledger.accounts().remainder().0,
                        ledger.update_level().name(),
                        process.resident,
                        process.heap,
                        process.active
                    );
                }
                Notice::Recovered(s) => {
                    log!(
                        "memory: '{}' has recovered: {} bytes held, {} requests refused since the start",
                        s.purpose.name(),
                        s.now,
                        s.refused
                    );
                }
            }
        }
        let pause = if ledger.update_level() == Level::Calm { CALM_INTERVAL_S } else { SCARCE_INTERVAL_S };
        sleep_until(clock::instant(clock::now() + pause)).await;
    }
}

#[cfg(test)]
mod tests;
