//! Tests of `turns.rs`.

use super::*;

const SECOND: Duration = Duration::from_secs(1);

#[test]
fn a_turn_that_lasts_is_told_of_again_each_time_it_has_lasted_twice_as_long() {
    let start = Instant::now();
    let mut meter = TurnMeter::new(start, Duration::ZERO);
    meter.wake(start);
    let mut told = Vec::new();
    // Two tasks that are always ready, for twenty seconds.
    for step in 1..=200 {
        let now = start + SECOND / 10 * step;
        let kind = if step % 4 == 0 { TaskKind::Broker } else { TaskKind::Client };
        told.extend(meter.polled(kind, now, || SECOND / 20 * step));
    }
    let lasted: Vec<f64> = told.iter().map(|t| t.lasted.as_secs_f64()).collect();
    assert_eq!(lasted, [0.5, 1.0, 2.0, 4.0, 8.0, 16.0]);
    let line = told[0].to_string();
    assert!(line.starts_with("a turn of 0.500 s without a wait so far, at most 0.250 s of it"), "{line}");
    assert!(line.contains("polled client=4 broker=1;"), "{line}");
    assert!(line.ends_with("longest poll was of client, 0.100 s"), "{line}");
}

#[test]
fn the_longest_turns_are_kept_and_short_ones_are_not_told_of() {
    let start = Instant::now();
    let mut meter = TurnMeter::new(start, Duration::ZERO);
    let mut turn = |from: Duration, lasts: Duration, processor: Duration| {
        meter.wake(start + from);
        let told = meter.wait(start + from + lasts, || processor);
        (told.map(|t| t.to_string()), meter.longest)
    };
    assert_eq!(turn(SECOND, SECOND / 10, SECOND / 20).0, None);
    let (told, longest) = turn(2 * SECOND, SECOND, SECOND / 4);
    assert!(told.unwrap().starts_with("a turn of 1.000 s without a wait, at most 0.200 s"));
    assert_eq!(longest, LongestTurns { lasted: SECOND, processor: SECOND / 5, long: 1 });
    // More processor time than the turn has lasted was used before it.
    let (_, longest) = turn(4 * SECOND, SECOND / 2, 2 * SECOND);
    assert_eq!((longest.processor, longest.long), (SECOND / 2, 2));
}

/// A task that does not wait is seen by the runtime that the front runs on.
#[test]
fn a_long_turn_of_a_real_task_is_measured() {
    let busy = async {
        let until = Instant::now() + SECOND / 10;
        while Instant::now() < until {}
        tokio::task::yield_now().await;
    };
    runtime().unwrap().block_on(async {
        track_polls(TaskKind::Broker, busy).await;
        // The turn ends as the thread waits.
        tokio::time::sleep(Duration::from_millis(1)).await;
    });
    let longest = longest();
    assert!(longest.lasted >= SECOND / 10, "{longest}");
    let meter = METER.with_borrow(|meter| meter.longest_poll);
    assert!(meter.is_none_or(|(_, took)| took < longest.lasted), "the next turn began anew");
}
