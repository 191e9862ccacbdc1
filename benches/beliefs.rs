//! The belief table against a plain one (a hash map of lists with a queue of ages, as it was before): bytes a belief
//! and the time of a look-up and of a belief, side by side in one run. `cargo bench --bench beliefs`

use onyxyoke::interface::{NodeId, ObjectId};
use onyxyoke::routing::Beliefs;
use rustc_hash::FxHashMap;
use std::collections::VecDeque;
use std::hint::black_box;
use std::time::Instant;
use tikv_jemalloc_ctl::{epoch, stats};

#[global_allocator]
static ALLOCATOR: tikv_jemallocator::Jemalloc = tikv_jemallocator::Jemalloc;

const AGE: f64 = 30.0;
const ROUNDS: usize = 7;
/// Beliefs, nodes that hold an object (an argument), and look-ups.
const BELIEFS: u64 = 60_000;
const LOOKS: u64 = 1_000_000;

#[derive(Default)]
struct Plain {
    held: FxHashMap<(ObjectId, u32), Vec<(NodeId, f64)>>,
    order: VecDeque<((ObjectId, u32), f64)>,
}

impl Plain {
    fn believe(&mut self, now: f64, object: ObjectId, part: u32, node: NodeId, since: f64) {
        let held = self.held.entry((object, part)).or_default();
        held.retain(|b| b.0 != node);
        held.push((node, since));
        self.order.push_back(((object, part), now));
        while let Some(&(key, at)) = self.order.front()
            && (at + AGE <= now || self.order.len() > 100_000)
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

fn object(i: u64, nodes: u64) -> ObjectId {
    ObjectId((i / nodes).wrapping_mul(0x9e37_79b9_7f4a_7c15))
}

fn allocated() -> usize {
    let _ = epoch::advance();
    stats::allocated::read().unwrap_or(0)
}

/// Bytes, and nanoseconds of one belief and one look-up.
fn measure<T>(
    new: impl Fn() -> T,
    believe: impl Fn(&mut T, f64, u64),
    look: impl Fn(&T, ObjectId) -> usize,
    nodes: u64,
) -> [f64; 3] {
    let before = allocated();
    let mut table = new();
    let begun = Instant::now();
    (0..BELIEFS).for_each(|i| believe(&mut table, 1000.0 + i as f64 * 25.0 / BELIEFS as f64, i));
    let believed = begun.elapsed().as_secs_f64() / BELIEFS as f64 * 1e9;
    let bytes = (allocated() - before) as f64 / BELIEFS as f64;
    let begun = Instant::now();
    let mut found = 0;
    for i in 0..LOOKS {
        // Half of what is looked for is there.
        let i = i.wrapping_mul(7_919) % (2 * BELIEFS);
        found += look(&table, black_box(object(i, nodes)));
    }
    black_box(found);
    [bytes, believed, begun.elapsed().as_secs_f64() / LOOKS as f64 * 1e9]
}

fn main() {
    for nodes in [1, 3] {
        println!("{nodes} holders of each object");
        compare(nodes);
    }
}

/// What one round measured of both.
type Row = ([f64; 3], [f64; 3]);

fn compare(nodes: u64) {
    let mut rows = Vec::new();
    for _ in 0..ROUNDS {
        let made = measure(
            || Beliefs::new(7, AGE),
            |t, now, i| t.believe(now, object(i, nodes), 0, NodeId(i % nodes), now),
            |t, o| {
                let mut n = 0;
                t.for_each_holder(o, 0, |_, _| n += 1);
                n
            },
            nodes,
        );
        let plain = measure(
            Plain::default,
            |t, now, i| t.believe(now, object(i, nodes), 0, NodeId(i % nodes), now),
            |t, o| t.held.get(&(o, 0)).map_or(0, Vec::len),
            nodes,
        );
        rows.push((made, plain));
    }
    let median = |of: &dyn Fn(&Row) -> f64| {
        let mut all: Vec<f64> = rows.iter().map(of).collect();
        all.sort_by(f64::total_cmp);
        all[all.len() / 2]
    };
    for (i, name) in ["bytes a belief", "ns a belief", "ns a look-up"].into_iter().enumerate() {
        let (made, plain) = (median(&|r| r.0[i]), median(&|r| r.1[i]));
        println!(
            "{name}: made for it {made:.1}, plain {plain:.1}, ratio {:.2}",
            median(&|r| r.0[i] / r.1[i])
        );
    }
}
