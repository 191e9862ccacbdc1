//! Outcomes of a fill, by the state of its source.

use super::*;
use crate::emulate::operator_settings;
use crate::emulate::scenario::Scenario;
use crate::emulate::world::upstream::Upstream;
use onyxyoke::interface::RequestId;

const OBJECT: u64 = 7;
const ASKED_CACHE: CacheIndex = 0;
const SIBLING_CACHE: CacheIndex = 1;
const REQUEST: RequestKey = RequestKey { front: 0, id: RequestId(1) };

/// How an attempt ended, and after how many seconds.
#[derive(Debug, PartialEq)]
struct Ending {
    outcome: Outcome,
    note: Note,
    after: f64,
}

/// Creates three caches without copies, and a front whose request rate is too low for an arrival within a
/// test.
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

/// Plays an attempt with this fill source to its end.
fn fill_from(world: &mut World, source: NodeId) -> Ending {
    let now = world.schedule.now();
    let request =
        OpenRequest { object: OBJECT, work: 0.1, arrived_at: now, expires: now + 10.0, attempts: 0 };
    world.open.insert(REQUEST, request);
    let order = FetchOrder { node: world.caches[ASKED_CACHE].id, source, only_if_cached: false };
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

fn insert_copy(world: &mut World, cache: CacheIndex) {
    world.caches[cache].copies.insert(OBJECT, CACHE_CAPACITY);
}

#[track_caller]
fn assert_ending(ending: &Ending, outcome: Outcome, note: Note) {
    assert_eq!((ending.outcome, ending.note), (outcome, note));
}

#[test]
fn sibling_with_a_copy_fills_the_cache() {
    let mut world = world();
    insert_copy(&mut world, SIBLING_CACHE);
    let sibling = world.caches[SIBLING_CACHE].id;
    assert_ending(&fill_from(&mut world, sibling), Outcome::Ok, Note::Filled);
    assert_eq!(world.statistics.work_filled, 0.0, "no parent was asked");
}

#[test]
fn sibling_without_a_copy_reports_a_miss_and_fetches_nothing() {
    let mut world = world();
    let sibling = world.caches[SIBLING_CACHE].id;
    assert_ending(&fill_from(&mut world, sibling), Outcome::Miss, Note::SourceMiss);
    assert_eq!(world.statistics.work_filled, 0.0, "no parent was asked");
}

#[test]
fn fill_from_a_sibling_that_is_down_fails() {
    let mut world = world();
    insert_copy(&mut world, SIBLING_CACHE);
    world.caches[SIBLING_CACHE].up = false;
    let sibling = world.caches[SIBLING_CACHE].id;
    let ending = fill_from(&mut world, sibling);
    assert_ending(&ending, Outcome::Error, Note::SourceFailed);
    assert!((ending.after - SIBLING_WAIT_S).abs() < 1e-9, "{ending:?}");
    assert_eq!(world.statistics.work_filled, 0.0, "no parent was asked");
    assert_eq!(world.statistics.work_from_origin, 0.0, "nor the origin");
}

#[test]
fn restarted_sibling_is_empty() {
    let mut world = world();
    insert_copy(&mut world, SIBLING_CACHE);
    world.caches[SIBLING_CACHE].up = false;
    let sibling = world.caches[SIBLING_CACHE].id;
    assert_ending(&fill_from(&mut world, sibling), Outcome::Error, Note::SourceFailed);
    world.caches[SIBLING_CACHE].up = true;
    world.caches[SIBLING_CACHE].restart_empty(world.schedule.now());
    assert_ending(&fill_from(&mut world, sibling), Outcome::Miss, Note::SourceMiss);
}

#[test]
fn cache_named_as_its_own_source_reports_a_miss() {
    let mut world = world();
    let asked = world.caches[ASKED_CACHE].id;
    assert_ending(&fill_from(&mut world, asked), Outcome::Miss, Note::None);
}

#[test]
fn parent_fetches_a_missing_object_once() {
    let mut world = world();
    let parent = Upstream::parent_of(OBJECT);
    assert_ending(&fill_from(&mut world, parent), Outcome::Ok, Note::FilledFromOrigin);
    assert_ending(&fill_from(&mut world, parent), Outcome::Ok, Note::Filled);
}

/// A source that was on none of the front's lists is a fault of the front.
#[test]
#[should_panic(expected = "a listed source")]
fn unlisted_source_panics() {
    let mut world = world();
    fill_from(&mut world, NodeId(0xdead));
}
