//! Tests of `turns.rs`.

use super::*;

const SECOND: Duration = Duration::from_secs(1);

#[test]
fn lasting_turn_is_logged_again_each_time_its_length_has_doubled() {
    let start = Instant::now();
    let mut meter = TurnMeter::new(start, Duration::ZERO);
    meter.begin_turn(start);
    let mut reports = Vec::new();
    // Two tasks that are always ready, for twenty seconds.
    for step in 1..=200 {
        let now = start + SECOND / 10 * step;
        let kind = if step % 4 == 0 { TaskKind::Broker } else { TaskKind::Client };
        reports.extend(meter.record_poll(kind, now, || SECOND / 20 * step));
    }
    let lasted: Vec<f64> = reports.iter().map(|report| report.lasted.as_secs_f64()).collect();
    assert_eq!(lasted, [0.5, 1.0, 2.0, 4.0, 8.0, 16.0]);
    let line = reports[0].to_string();
    assert!(line.starts_with("a turn of 0.500 s without a wait so far, at most 0.250 s of it"), "{line}");
    assert!(line.contains("polled client=4 broker=1;"), "{line}");
    assert!(line.ends_with("longest poll was of client, 0.100 s"), "{line}");
}

#[test]
fn longest_turns_are_kept_and_short_turns_are_not_logged() {
    let start = Instant::now();
    let mut meter = TurnMeter::new(start, Duration::ZERO);
    let mut turn = |from: Duration, lasts: Duration, processor: Duration| {
        meter.begin_turn(start + from);
        let report = meter.end_turn(start + from + lasts, || processor);
        (report.map(|turn| turn.to_string()), meter.longest)
    };
    assert_eq!(turn(SECOND, SECOND / 10, SECOND / 20).0, None);
    let (report, longest) = turn(2 * SECOND, SECOND, SECOND / 4);
    assert!(report.unwrap().starts_with("a turn of 1.000 s without a wait, at most 0.200 s"));
    assert_eq!(longest, LongestTurns { lasted: SECOND, processor: SECOND / 5, long: 1 });
    // Processor time beyond the length of the turn was used before it.
    let (_, longest) = turn(4 * SECOND, SECOND / 2, 2 * SECOND);
    assert_eq!((longest.processor, longest.long), (SECOND / 2, 2));
}

/// The front's runtime measures a task that runs without a wait.
#[test]
fn runtime_measures_long_turn_of_a_task() {
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
    assert!(meter.is_none_or(|(_, took)| took < longest.lasted), "the next turn starts with a new count");
}
