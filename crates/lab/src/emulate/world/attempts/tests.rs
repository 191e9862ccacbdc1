//! What becomes of a fill, by the state of the source that is named for it.

use super::*;
use crate::emulate::operator_settings;
use crate::emulate::scenario::Scenario;
use crate::emulate::world::upstream::Upstream;
use onyxyoke::interface::RequestId;

const OBJECT: u64 = 7;
const ASKED: CacheIndex = 0;
const SIBLING: CacheIndex = 1;
const REQUEST: RequestKey = RequestKey { front: 0, id: RequestId(1) };

/// How an attempt ended, and after so many seconds.
#[derive(Debug, PartialEq)]
struct Ending {
    outcome: Outcome,
    note: Note,
    after: f64,
}

/// Three caches without copies, and a front to which nobody sends a request in the time of a test.
fn world() -> World {
    let scenario = Scenario {
        fronts: 1,
        caches: 3,
        request_rate: 1e-9,
        busy_share: 0.0,
        busy_factor: 1.0,
        zipf_exponent: 0.9,
        objects: 10,
        link_sizes: vec![4.0],
        mean_work: 1.0,
        duration: 10.0,
        seed: 1,
        faults: Vec::new(),
        policy: None,
    };
    World::new(scenario, operator_settings().unwrap())
}

/// Plays an attempt that is to be filled from this source, to its end.
fn fill_from(world: &mut World, source: NodeId) -> Ending {
    let now = world.schedule.now();
    let request =
        OpenRequest { object: OBJECT, work: 0.1, arrived_at: now, expires: now + 10.0, attempts: 0 };
    world.open.insert(REQUEST, request);
    let order = FetchOrder { node: world.caches[ASKED].id, source, only_if_cached: false };
    world.start_attempt(REQUEST, order);
    loop {
        match world.schedule.advance().expect("the end of the attempt") {
            ScheduledEvent::AttemptEnd(transfer, outcome) => {
                return Ending { outcome, note: transfer.note, after: world.schedule.now() - now };
            }
            event => world.handle(event),
        }
    }
}

fn hold_copy(world: &mut World, cache: CacheIndex) {
    world.caches[cache].copies.insert(OBJECT, CACHE_CAPACITY);
}

#[track_caller]
fn assert_ending(ending: &Ending, outcome: Outcome, note: Note) {
    assert_eq!((ending.outcome, ending.note), (outcome, note));
}

#[test]
fn a_sibling_gives_what_it_holds() {
    let mut world = world();
    hold_copy(&mut world, SIBLING);
    let sibling = world.caches[SIBLING].id;
    assert_ending(&fill_from(&mut world, sibling), Outcome::Ok, Note::Filled);
    assert_eq!(world.statistics.work_filled, 0.0, "no parent was asked");
}

#[test]
fn a_sibling_without_a_copy_fetches_none() {
    let mut world = world();
    let sibling = world.caches[SIBLING].id;
    assert_ending(&fill_from(&mut world, sibling), Outcome::Miss, Note::SourceMiss);
    assert_eq!(world.statistics.work_filled, 0.0, "no parent was asked");
}

#[test]
fn a_sibling_that_is_gone_fails_the_fill() {
    let mut world = world();
    hold_copy(&mut world, SIBLING);
    world.caches[SIBLING].up = false;
    let sibling = world.caches[SIBLING].id;
    let ending = fill_from(&mut world, sibling);
    assert_ending(&ending, Outcome::Error, Note::SourceFailed);
    assert!((ending.after - SIBLING_WAIT).abs() < 1e-9, "{ending:?}");
    assert_eq!(world.statistics.work_filled, 0.0, "no parent was asked");
    assert_eq!(world.statistics.work_from_origin, 0.0, "nor the origin");
}

#[test]
fn a_sibling_that_is_back_holds_nothing() {
    let mut world = world();
    hold_copy(&mut world, SIBLING);
    world.caches[SIBLING].up = false;
    let sibling = world.caches[SIBLING].id;
    assert_ending(&fill_from(&mut world, sibling), Outcome::Error, Note::SourceFailed);
    world.caches[SIBLING].up = true;
    world.caches[SIBLING].return_empty(world.schedule.now());
    assert_ending(&fill_from(&mut world, sibling), Outcome::Miss, Note::SourceMiss);
}

#[test]
fn the_asked_cache_as_its_source_fills_nothing() {
    let mut world = world();
    let asked = world.caches[ASKED].id;
    assert_ending(&fill_from(&mut world, asked), Outcome::Miss, Note::None);
}

#[test]
fn a_parent_fetches_what_it_lacks_once() {
    let mut world = world();
    let parent = Upstream::parent_of(OBJECT);
    assert_ending(&fill_from(&mut world, parent), Outcome::Ok, Note::FilledFromOrigin);
    assert_ending(&fill_from(&mut world, parent), Outcome::Ok, Note::Filled);
}

/// A front that names a node that was on none of its lists is at fault.
#[test]
#[should_panic(expected = "a listed source")]
fn a_source_that_was_never_listed_is_a_fault() {
    let mut world = world();
    fill_from(&mut world, NodeId(0xdead));
}
