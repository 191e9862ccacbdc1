//! Compares the belief table with a reference (a hash map of lists with a queue of ages) in one run: bytes
//! per belief, and the time of an insertion and of a lookup. `cargo bench --bench beliefs`

use onyxyoke::interface::{NodeId, ObjectId};
use onyxyoke::routing::Beliefs;
use rustc_hash::FxHashMap;
use std::collections::VecDeque;
use std::hint::black_box;
use std::time::Instant;
use tikv_jemalloc_ctl::{epoch, stats};

#[global_allocator]
static ALLOCATOR: tikv_jemallocator::Jemalloc = tikv_jemallocator::Jemalloc;

const MAX_AGE_S: f64 = 30.0;
const ROUNDS: usize = 7;
const BELIEFS: u64 = 60_000;
const LOOKUPS: u64 = 1_000_000;

/// The reference table.
#[derive(Default)]
struct ReferenceTable {
    held: FxHashMap<(ObjectId, u32), Vec<(NodeId, f64)>>,
    order: VecDeque<((ObjectId, u32), f64)>,
}

impl ReferenceTable {
    fn believe(&mut self, now: f64, object: ObjectId, part: u32, node: NodeId, since: f64) {
        let held = self.held.entry((object, part)).or_default();
        held.retain(|b| b.0 != node);
        held.push((node, since));
        self.order.push_back(((object, part), now));
        while let Some(&(key, at)) = self.order.front()
            && (at + MAX_AGE_S <= now || self.order.len() > 100_000)
        {
            self.order.pop_front();
            let Some(held) = self.held.get_mut(&key) else { continue };
            held.retain(|b| b.1 > at);
            if held.is_empty() {
                self.held.remove(&key);
            }
        }
    }
}

/// Object of the belief with this index, where each object has `holders` of them.
fn object(index: u64, holders: u64) -> ObjectId {
    ObjectId((index / holders).wrapping_mul(0x9e37_79b9_7f4a_7c15))
}

/// Allocated bytes of the process.
fn allocated_bytes() -> usize {
    let _ = epoch::advance();
    stats::allocated::read().unwrap_or(0)
}

/// Returns the bytes per belief, and the nanoseconds of one insertion and of one lookup.
fn measure<T>(
    new: impl Fn() -> T,
    believe: impl Fn(&mut T, f64, u64),
    lookup: impl Fn(&T, ObjectId) -> usize,
    holders: u64,
) -> [f64; 3] {
    let before = allocated_bytes();
    let mut table = new();
    let started = Instant::now();
    (0..BELIEFS).for_each(|i| believe(&mut table, 1000.0 + i as f64 * 25.0 / BELIEFS as f64, i));
    let insertion_ns = started.elapsed().as_secs_f64() / BELIEFS as f64 * 1e9;
    let bytes = (allocated_bytes() - before) as f64 / BELIEFS as f64;
    let started = Instant::now();
    let mut found = 0;
    for i in 0..LOOKUPS {
        // Half of the objects looked up are in the table.
        let i = i.wrapping_mul(7_919) % (2 * BELIEFS);
        found += lookup(&table, black_box(object(i, holders)));
    }
    black_box(found);
    [bytes, insertion_ns, started.elapsed().as_secs_f64() / LOOKUPS as f64 * 1e9]
}

fn main() {
    for holders in [1, 3] {
        println!("{holders} holders of each object");
        compare(holders);
    }
}

/// Results of one round: the belief table and the reference.
type Row = ([f64; 3], [f64; 3]);

fn compare(holders: u64) {
    let mut rows = Vec::new();
    for _ in 0..ROUNDS {
        let beliefs = measure(
            || Beliefs::new(7, MAX_AGE_S),
            |t, now, i| t.believe(now, object(i, holders), 0, NodeId(i % holders), now),
            |t, o| {
                let mut n = 0;
                t.for_each_holder(o, 0, |_, _| n += 1);
                n
            },
            holders,
        );
        let reference = measure(
            ReferenceTable::default,
            |t, now, i| t.believe(now, object(i, holders), 0, NodeId(i % holders), now),
            |t, o| t.held.get(&(o, 0)).map_or(0, Vec::len),
            holders,
        );
        rows.push((beliefs, reference));
    }
    let median = |of: &dyn Fn(&Row) -> f64| {
        let mut all: Vec<f64> = rows.iter().map(of).collect();
        all.sort_by(f64::total_cmp);
        all[all.len() / 2]
    };
    for (i, name) in ["bytes per belief", "ns per insertion", "ns per lookup"].into_iter().enumerate() {
        let (beliefs, reference) = (median(&|r| r.0[i]), median(&|r| r.1[i]));
        println!(
            "{name}: belief table {beliefs:.1}, reference {reference:.1}, ratio {:.2}",
            median(&|r| r.0[i] / r.1[i])
        );
    }
}
