//! Fleets of real front processes with faults: what nodes and clients observe must keep the rules and stay
//! within bounds. These runs are small and short; runs of 300 fronts by hand are judged by the same rules.
//! `cargo test --workspace` builds the front that the tests start.

mod common;

use common::{TestFolder, lab, run_and_check, run_plan};
use serde_json::{Value, json};

#[test]
fn a_newcomers_first_look_serves_and_exits_0() {
    let output = run_and_check(lab().arg("fleet"));
    assert!(output.contains("all held"), "{output}");
}

#[test]
fn an_invalid_plan_is_reported_by_its_key_and_a_schema_is_printed() {
    let folder = TestFolder(std::env::temp_dir().join(format!("onyxyoke-plan-wrong-{}", std::process::id())));
    std::fs::create_dir_all(&folder.0).unwrap();
    let file = folder.0.join("plan.json");
    std::fs::write(&file, r#"{"clients": {"zipff": 1}}"#).unwrap();
    let out = lab().arg("fleet").arg(&file).output().unwrap();
    assert_eq!(out.status.code(), Some(2));
    assert!(String::from_utf8_lossy(&out.stderr).contains("clients.zipff"));
    let schema = lab().args(["fleet", "--schema"]).output().unwrap().stdout;
    let schema: Value = serde_json::from_slice(&schema).unwrap();
    assert!(schema["properties"]["faults"].is_object());
}

/// Two series of signals for one front, the second of them during the first: it applies to the process that
/// the first one leaves.
#[test]
fn a_series_of_signals_waits_for_the_previous_one() {
    let series = |at: f64| {
        let cycled = json!({"front-cycled": {"series": "term", "gap_s": 0.1}});
        json!({"fault": cycled, "at": at, "until": at, "fronts": {"places": [0]}})
    };
    run_plan("series", json!({"faults": [series(5.0), series(5.2)]}));
}

/// Guards against small links that get as many objects as large ones.
#[test]
fn unequal_links_are_loaded_in_proportion() {
    let f = run_plan("links", json!({"links": [1, 8, 2, 5], "bounds": {"in_time": 0.9}}));
    assert!(f["most"].as_f64().unwrap() < 1.6 && f["least"].as_f64().unwrap() > 0.4, "{f}");
}

/// Guards against overload of the home node of an object that becomes a third of all traffic within a second.
#[test]
fn a_hot_object_is_served_by_all_nodes() {
    let hot = json!([{"fault": {"hot": {"share": 0.33}}, "at": 2, "until": 14}]);
    let f = run_plan("hot", json!({"faults": hot, "judged_from": 6, "bounds": {"most": 1.6}}));
    assert!(f["least"].as_f64().unwrap() > 0.5, "{f}");
}

#[test]
fn a_killed_node_comes_back_cold_and_is_used_again() {
    let killed = json!([{"fault": "node-killed", "at": 4, "until": 7, "nodes": {"places": [3]}}]);
    let f = run_plan("killed", json!({"seconds": 24, "faults": killed}));
    assert!(f["back_least"].as_f64().unwrap() > 0.5, "{f}");
}

#[test]
fn a_new_node_at_an_old_address_replaces_the_old_node() {
    let replaced = json!([{"fault": "node-replaced", "at": 4, "until": 8, "nodes": {"share": 0.5}}]);
    run_plan("replaced", json!({"seconds": 18, "faults": replaced, "bounds": {"served": 0.8}}));
}

#[test]
fn a_draining_node_gets_no_new_request() {
    let drained = json!([{"fault": "node-drained", "at": 4, "until": 9, "nodes": {"places": [1, 5]}}]);
    run_plan("drained", json!({"faults": drained}));
}

#[test]
fn a_silent_node_is_avoided_and_used_again_after_recovery() {
    let silent = json!([{"fault": "node-silent", "at": 4, "until": 8, "nodes": {"places": [2]}}]);
    let f = run_plan("silent", json!({"seconds": 24, "faults": silent, "bounds": {"served": 0.9}}));
    assert!(f["back_least"].as_f64().unwrap() > 0.5, "{f}");
}

/// Guards against fronts that send a recovered node too little to notice its recovery.
#[test]
fn a_slow_node_is_avoided_and_soon_has_its_share_again_after_recovery() {
    let slow = json!([{"fault": {"node-slow": {"times": 8}}, "at": 4, "until": 9, "nodes": {"places": [2]}}]);
    let f = run_plan(
        "slow",
        json!({"seconds": 26, "faults": slow, "bounds": {"back_least": 0.6, "back_most": 2}}),
    );
    assert!(f["back_least"].as_f64().is_some(), "{f}");
}

/// Guards against balancing by latency alone, where quick errors attract requests that other nodes answer
/// more slowly.
#[test]
fn a_node_that_fails_quickly_attracts_no_requests() {
    let failing =
        json!([{"fault": {"node-failing": {"share": 0.8}}, "at": 4, "until": 12, "nodes": {"places": [6]}}]);
    run_plan("failing", json!({"faults": failing}));
}

#[test]
fn a_node_unreachable_from_half_of_the_fronts_costs_few_answers() {
    for (i, fault) in [json!("path-silent"), json!("path-reset"), json!({"path-delayed": {"seconds": 0.3}})]
        .into_iter()
        .enumerate()
    {
        let cut = json!([{"fault": fault, "at": 4, "until": 9, "nodes": {"places": [4]},
            "fronts": {"share": 0.5}}]);
        run_plan(&format!("path{i}"), json!({"faults": cut, "bounds": {"served": 0.9}}));
    }
}

/// Guards against requests lost on half-open connections: half of those to three of eight nodes, new ones
/// included.
#[test]
fn half_open_connections_to_some_nodes_cost_few_answers() {
    let dead = json!([{"fault": {"path-half-open": {"share": 0.5}}, "at": 4, "until": 9,
        "nodes": {"places": [1, 4, 6]}, "fronts": {"share": 0.7}}]);
    run_plan("half-open", json!({"faults": dead, "bounds": {"served": 0.9}}));
}

/// Guards against a stale list from updates that come twice, late and out of order: coordinators repeat all
/// of them from the first event on while nodes come and go, and the connections to others are cut.
#[test]
fn repeated_or_cut_updates_restore_no_stale_list() {
    let faults = json!([
        {"fault": "news-repeated", "at": 2, "until": 14, "fronts": {"share": 0.6}},
        {"fault": "news-cut", "at": 3, "until": 6, "fronts": {"places": [0, 1, 2]}},
        {"fault": "node-killed", "at": 4, "until": 6, "nodes": {"places": [3]}},
        {"fault": "purged", "at": 7, "until": 7},
        {"fault": "node-drained", "at": 8, "until": 11, "nodes": {"places": [5]}}]);
    run_plan("news-repeated", json!({"faults": faults, "seconds": 17, "bounds": {"served": 0.9}}));
}

/// Fronts with different lists: a third gets no updates on a node that is killed and on two that are
/// replaced.
#[test]
fn fronts_with_different_lists_overload_no_cold_node() {
    let faults = json!([
        {"fault": "news-partial", "at": 3, "until": 12, "fronts": {"share": 0.33},
            "nodes": {"places": [2, 6, 7]}},
        {"fault": "node-killed", "at": 4, "until": 8, "nodes": {"places": [2]}},
        {"fault": "node-replaced", "at": 5, "until": 8, "nodes": {"places": [6, 7]}}]);
    run_plan("news-partial", json!({"faults": faults, "seconds": 18, "bounds": {"served": 0.85}}));
}

#[test]
fn killed_fronts_come_back_without_a_broken_rule() {
    let killed = json!([{"fault": "front-killed", "at": 4, "until": 7, "fronts": {"share": 0.5}}]);
    run_plan("front-killed", json!({"faults": killed, "bounds": {"served": 0.85}}));
}

/// Guards against stale state: a front that was stopped must not route by the list it had before.
#[test]
fn stopped_fronts_apply_the_updates_that_came_meanwhile() {
    let faults = json!([
        {"fault": "front-stopped", "at": 4, "until": 9, "fronts": {"share": 0.25}},
        {"fault": "node-killed", "at": 5, "until": 7, "nodes": {"places": [0]}}]);
    run_plan("stopped", json!({"faults": faults, "bounds": {"served": 0.7}}));
}

#[test]
fn fronts_are_replaced_by_new_processes_without_a_lost_request() {
    let replaced = json!([{"fault": "front-replaced", "at": 4, "until": 10}]);
    let f = run_plan("front-replaced", json!({"faults": replaced, "bounds": {"served": 0.97}}));
    assert_eq!(f["failed"].as_f64(), Some(0.0), "{f}");
}

#[test]
fn a_rolling_restart_costs_few_answers() {
    let restarted = json!([{"fault": "front-restarted", "at": 4, "until": 12}]);
    run_plan("front-restarted", json!({"faults": restarted, "seconds": 16, "bounds": {"served": 0.9}}));
}

/// Guards against restarts with a stale list: half of the fronts get the updates on a killed node three
/// seconds later than the others.
#[test]
fn late_updates_at_half_of_the_fronts_overload_no_cold_node() {
    let faults = json!([
        {"fault": "news-late", "at": 3, "until": 11, "fronts": {"share": 0.5}},
        {"fault": "front-killed", "at": 6, "until": 7, "fronts": {"share": 0.3}},
        {"fault": "node-killed", "at": 4, "until": 6, "nodes": {"places": [3]}}]);
    run_plan("news-late", json!({"faults": faults, "seconds": 18, "bounds": {"served": 0.85}}));
}

#[test]
fn a_purge_of_all_objects_leaves_no_stale_copy_served() {
    let faults = json!([
        {"fault": "purged", "at": 5, "until": 5},
        {"fault": {"burst": {"times": 1.5}}, "at": 5, "until": 8}]);
    run_plan("purged", json!({"faults": faults, "bounds": {"served": 0.85}}));
}

/// A sibling fails while other nodes of its location are killed.
#[test]
fn killed_nodes_and_a_failing_sibling_leave_the_other_nodes_serving() {
    let faults = json!([
        {"fault": "node-killed", "at": 4, "until": 8, "nodes": {"places": [0, 2]}},
        {"fault": {"node-failing": {"share": 0.5}}, "at": 4, "until": 9, "nodes": {"places": [4]}}]);
    run_plan(
        "lost-part",
        json!({"locations": 2, "faults": faults, "seconds": 16, "bounds": {"served": 0.75}}),
    );
}

/// Guards against cordons that are lost when a process is replaced: they hold in the new process whatever its
/// list says, and no request is lost.
#[test]
fn cordons_survive_the_replacement_of_every_front() {
    let faults = json!([
        {"fault": "node-cordoned", "at": 4, "until": 12, "nodes": {"places": [2, 6]}},
        {"fault": "front-replaced", "at": 6, "until": 10}]);
    let f = run_plan("cordoned", json!({"faults": faults, "seconds": 15, "bounds": {"served": 0.95}}));
    assert_eq!(f["failed"].as_f64(), Some(0.0), "{f}");
}
