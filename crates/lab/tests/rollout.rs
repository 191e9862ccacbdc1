//! Rollouts over twelve front processes under load, driven by an `onyxyoke-rollout` process, with faults.
//! They are judged by the processes that run in the end and by what nodes and clients observe: the rules
//! hold, no request is lost, and the fronts are all old or all new, as the tool's exit says. The new
//! fronts' faults are planted by an environment variable (feature `planted`, which only tests have).

mod common;

use common::run_plan;
use serde_json::{Value, json};

/// Spans for a short rollout.
fn short_spans(soak_s: u32) -> Value {
    json!({"watch_s": 3, "soak_s": soak_s, "longest_stage_s": 25, "longest_s": 120, "window_s": 0.5,
        "stale_s": 2, "warm_s": 4, "start_s": 4, "steady_s": 0.3, "end_s": 5, "patience_s": 8, "silent_s": 2})
}

/// Runs a rollout whose new fronts have the `planted` fault, with changes to the rollout and to the plan. It
/// must end as `end`.
fn run_rollout(name: &str, planted: &str, end: &str, rollout: Value, plan: Value) -> Value {
    let mut changes = json!({"seconds": 34, "judged_from": 3, "clients": {"holds": 0.1},
        "bounds": {"served": 0.93},
        "rollout": {"at": 1, "variables": {"ONYXYOKE_PLANTED": planted}, "end": end, "seed": 1,
            "spans": short_spans(3),
            "limits": {"stages": [0.25, 1.0], "at_once": 0.5}, "gates": {"least_requests": 3}}});
    for (key, value) in rollout.as_object().unwrap() {
        changes["rollout"][key] = value.clone();
    }
    for (key, value) in plan.as_object().unwrap() {
        changes[key] = value.clone();
    }
    run_plan(&format!("rollout-{name}"), changes)
}

/// Runs a rollout whose new fronts have the `planted` fault; it must be stopped.
fn check_stopped(name: &str, planted: &str) {
    run_rollout(name, planted, "stopped", json!({}), json!({}));
}

#[test]
fn a_rollout_of_the_same_build_is_done_and_loses_no_request() {
    let f = run_rollout("same", "", "done", json!({}), json!({"bounds": {"served": 0.98}}));
    assert_eq!(f["failed"].as_f64(), Some(0.0), "{f}");
}

#[test]
fn a_build_that_refuses_requests_is_stopped() {
    check_stopped("refuse", "refuse=0.4");
}

#[test]
fn a_build_that_refuses_a_rare_class_is_stopped() {
    check_stopped("holds", "refuse=0.8 class=2");
}

#[test]
fn a_build_that_does_not_start_or_get_ready_is_stopped() {
    check_stopped("no-start", "no-start");
    check_stopped("never", "never");
}

#[test]
fn a_build_that_reports_another_build_is_stopped() {
    check_stopped("other", "other");
}

#[test]
fn a_build_that_exits_by_itself_is_stopped() {
    run_rollout("exit", "exit=3", "stopped", json!({"crashes": true}), json!({}));
}

#[test]
fn a_build_that_stops_answering_operators_is_stopped() {
    check_stopped("mute", "mute=3");
}

#[test]
fn a_build_that_ignores_sigterm_is_rolled_back() {
    // Requests open at a process that is killed are lost, which `crashes` allows. The longer soak is there so
    // that the fault is found in the first stage.
    let rollout = json!({"crashes": true, "spans": short_spans(6)});
    run_rollout("deaf", "deaf refuse=0.5", "stopped", rollout, json!({}));
}

/// The build delays its requests to cache nodes: nearly all are served, but later than the aim of their
/// class.
#[test]
fn a_slow_build_is_stopped() {
    check_stopped("delay", "delay=0.7");
}

#[test]
fn a_build_that_leaks_memory_is_stopped() {
    check_stopped("leak", "leak=12000");
}

#[test]
fn a_tool_killed_repeatedly_finishes_the_rollout() {
    let kills = json!({"killed_at": [1, 2, 3, 6, 10, 15, 22, 30]});
    run_rollout("killed", "", "done", kills, json!({"seconds": 44}));
}

#[test]
fn a_tool_killed_during_rollback_rolls_all_fronts_back() {
    let kills = json!({"killed_at": [4, 9, 11, 12]});
    run_rollout("killed-back", "refuse=0.5", "stopped", kills, json!({"bounds": {"served": 0.9}}));
}

#[test]
fn a_stopped_tool_does_not_count_the_pause_as_evidence() {
    run_rollout("still", "", "done", json!({"stopped": [6, 13]}), json!({"seconds": 46}));
}

#[test]
fn an_operator_pauses_resumes_and_aborts() {
    run_rollout("pause", "", "done", json!({"words": [[5, "pause"], [9, "resume"]]}), json!({"seconds": 38}));
    run_rollout("abort", "", "aborted", json!({"words": [[8, "abort"]]}), json!({"seconds": 24}));
}

/// Faults that affect old and new fronts alike must not stop the rollout: a killed node, late updates on it,
/// a burst, a purge.
#[test]
fn faults_of_both_sides_do_not_stop_the_rollout() {
    let faults = json!([
        {"fault": "node-killed", "at": 9, "until": 14, "nodes": {"places": [3]}},
        {"fault": "news-late", "at": 8, "until": 13, "fronts": {"share": 0.5}},
        {"fault": {"burst": {"times": 2}}, "at": 11, "until": 15},
        {"fault": "purged", "at": 16, "until": 16}]);
    run_rollout(
        "troubles",
        "",
        "done",
        json!({}),
        json!({"seconds": 50, "faults": faults, "bounds": {"served": 0.85}}),
    );
}

/// Nearly half of the fronts are killed in the last stage, old and new alike: they are restarted, and the
/// rollout continues.
#[test]
fn fronts_killed_on_both_sides_do_not_stop_the_rollout() {
    let faults = json!([{"fault": "front-killed", "at": 15, "until": 15, "fronts": {"share": 0.46}}]);
    let rollout = json!({"limits": {"stages": [0.5, 1.0], "at_once": 0.5}});
    run_rollout(
        "killed-fronts",
        "",
        "done",
        rollout,
        json!({"seconds": 56, "faults": faults, "bounds": {"served": 0.8}}),
    );
}

#[test]
fn settings_change_by_replacement_and_by_reload() {
    let sockets = json!({"variables": {}, "settings": {"limits": {"sockets": 224}}});
    run_rollout("settings", "", "done", sockets, json!({}));
    let memory = json!({"variables": {}, "settings": {"limits": {"memory_mb": 72}},
        "limits": {"stages": [0.25, 1.0], "at_once": 0.5, "reload": true}});
    run_rollout("reload", "", "done", memory, json!({}));
}
