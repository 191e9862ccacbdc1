//! Fleets of real front processes with a fault between them: what nodes and clients saw must keep the rules and stay
//! within bounds. Small and short; the same verdict judges 300 fronts by hand. `cargo test --workspace` builds the front
//! that they start.

mod common;

use common::{Files, all_held, hold, lab};
use serde_json::{Value, json};

#[test]
fn a_newcomers_first_look_serves_and_exits_0() {
    let said = all_held(lab().arg("fleet"));
    assert!(said.contains("all held"), "{said}");
}

#[test]
fn a_wrong_plan_is_told_by_its_key_and_the_schema_is_there() {
    let files = Files(std::env::temp_dir().join(format!("onyxyoke-plan-wrong-{}", std::process::id())));
    std::fs::create_dir_all(&files.0).unwrap();
    let file = files.0.join("plan.json");
    std::fs::write(&file, r#"{"clients": {"zipff": 1}}"#).unwrap();
    let out = lab().arg("fleet").arg(&file).output().unwrap();
    assert_eq!(out.status.code(), Some(2));
    assert!(String::from_utf8_lossy(&out.stderr).contains("clients.zipff"));
    let schema = lab().args(["fleet", "--schema"]).output().unwrap().stdout;
    let schema: Value = serde_json::from_slice(&schema).unwrap();
    assert!(schema["properties"]["faults"].is_object());
}

/// Two series of signals for one front, of which the second comes while the first goes on: it is for the process that comes of
/// the first.
#[test]
fn a_series_of_signals_waits_for_the_one_before() {
    let series = |at: f64| {
        let cycled = json!({"front-cycled": {"series": "term", "gap_s": 0.1}});
        json!({"fault": cycled, "at": at, "until": at, "fronts": {"places": [0]}})
    };
    hold("series", json!({"faults": [series(5.0), series(5.2)]}));
}

/// Guards small links against as many objects as large ones get.
#[test]
fn unequal_links_are_used_alike() {
    let f = hold("links", json!({"links": [1, 8, 2, 5], "bounds": {"in_time": 0.9}}));
    assert!(f["most"].as_f64().unwrap() < 1.6 && f["least"].as_f64().unwrap() > 0.4, "{f}");
}

/// Guards the home of an object that becomes a third of all traffic within a second.
#[test]
fn an_object_that_turns_hot_is_served_by_all_nodes() {
    let hot = json!([{"fault": {"hot": {"share": 0.33}}, "at": 2, "until": 14}]);
    let f = hold("hot", json!({"faults": hot, "judged_from": 6, "bounds": {"most": 1.6}}));
    assert!(f["least"].as_f64().unwrap() > 0.5, "{f}");
}

#[test]
fn a_node_that_is_killed_comes_back_cold_and_is_used() {
    let killed = json!([{"fault": "node-killed", "at": 4, "until": 7, "nodes": {"places": [3]}}]);
    let f = hold("killed", json!({"seconds": 24, "faults": killed}));
    assert!(f["back_least"].as_f64().unwrap() > 0.5, "{f}");
}

#[test]
fn another_node_at_an_old_address_takes_its_place() {
    let replaced = json!([{"fault": "node-replaced", "at": 4, "until": 8, "nodes": {"share": 0.5}}]);
    hold("replaced", json!({"seconds": 18, "faults": replaced, "bounds": {"served": 0.8}}));
}

#[test]
fn nothing_new_goes_to_a_node_that_drains() {
    let drained = json!([{"fault": "node-drained", "at": 4, "until": 9, "nodes": {"places": [1, 5]}}]);
    hold("drained", json!({"faults": drained}));
}

#[test]
fn a_silent_node_is_left_and_asked_again() {
    let silent = json!([{"fault": "node-silent", "at": 4, "until": 8, "nodes": {"places": [2]}}]);
    let f = hold("silent", json!({"seconds": 24, "faults": silent, "bounds": {"served": 0.9}}));
    assert!(f["back_least"].as_f64().unwrap() > 0.5, "{f}");
}

/// Guards a node that is well again against fronts that see too little of it to find out.
#[test]
fn a_slow_node_is_left_and_has_its_part_again_soon() {
    let slow = json!([{"fault": {"node-slow": {"times": 8}}, "at": 4, "until": 9, "nodes": {"places": [2]}}]);
    let f =
        hold("slow", json!({"seconds": 26, "faults": slow, "bounds": {"back_least": 0.6, "back_most": 2}}));
    assert!(f["back_least"].as_f64().is_some(), "{f}");
}

/// The trap of least latency: quick failures must not draw what the others answer more slowly.
#[test]
fn a_node_that_fails_quickly_draws_nothing() {
    let failing =
        json!([{"fault": {"node-failing": {"share": 0.8}}, "at": 4, "until": 12, "nodes": {"places": [6]}}]);
    hold("failing", json!({"faults": failing}));
}

#[test]
fn a_node_that_half_of_the_fronts_do_not_reach_costs_no_answer() {
    for (i, fault) in [json!("path-silent"), json!("path-reset"), json!({"path-delayed": {"seconds": 0.3}})]
        .into_iter()
        .enumerate()
    {
        let cut = json!([{"fault": fault, "at": 4, "until": 9, "nodes": {"places": [4]}, "fronts": {"share": 0.5}}]);
        hold(&format!("path{i}"), json!({"faults": cut, "bounds": {"served": 0.9}}));
    }
}

/// Guards requests against connections that are up and dead: half of all to three of eight nodes, also new ones.
#[test]
fn half_open_connections_to_some_nodes_cost_little() {
    let dead = json!([{"fault": {"path-half-open": {"share": 0.5}}, "at": 4, "until": 9,
        "nodes": {"places": [1, 4, 6]}, "fronts": {"share": 0.7}}]);
    hold("half-open", json!({"faults": dead, "bounds": {"served": 0.9}}));
}

/// Guards the list against news that come twice, late and out of their order: all of it from the first event on again
/// and again, while nodes come and go and the feed of others is cut.
#[test]
fn a_coordinator_that_repeats_and_one_that_is_cut_bring_no_old_list_back() {
    let faults = json!([
        {"fault": "news-repeated", "at": 2, "until": 14, "fronts": {"share": 0.6}},
        {"fault": "news-cut", "at": 3, "until": 6, "fronts": {"places": [0, 1, 2]}},
        {"fault": "node-killed", "at": 4, "until": 6, "nodes": {"places": [3]}},
        {"fault": "purged", "at": 7, "until": 7},
        {"fault": "node-drained", "at": 8, "until": 11, "nodes": {"places": [5]}}]);
    hold("news-repeated", json!({"faults": faults, "seconds": 17, "bounds": {"served": 0.9}}));
}

/// Fronts with different lists: a third hears nothing of a node that goes and of two that are replaced.
#[test]
fn fronts_that_are_told_different_lists_push_nothing_over() {
    let faults = json!([
        {"fault": "news-partial", "at": 3, "until": 12, "fronts": {"share": 0.33}, "nodes": {"places": [2, 6, 7]}},
        {"fault": "node-killed", "at": 4, "until": 8, "nodes": {"places": [2]}},
        {"fault": "node-replaced", "at": 5, "until": 8, "nodes": {"places": [6, 7]}}]);
    hold("news-partial", json!({"faults": faults, "seconds": 18, "bounds": {"served": 0.85}}));
}

#[test]
fn fronts_that_are_killed_come_back_without_a_broken_rule() {
    let killed = json!([{"fault": "front-killed", "at": 4, "until": 7, "fronts": {"share": 0.5}}]);
    hold("front-killed", json!({"faults": killed, "bounds": {"served": 0.85}}));
}

/// Guards against old news: a front that stood still must not send by what it knew before.
#[test]
fn fronts_that_stood_still_heed_what_they_were_told_meanwhile() {
    let faults = json!([
        {"fault": "front-stopped", "at": 4, "until": 9, "fronts": {"share": 0.25}},
        {"fault": "node-killed", "at": 5, "until": 7, "nodes": {"places": [0]}}]);
    hold("stopped", json!({"faults": faults, "bounds": {"served": 0.7}}));
}

#[test]
fn fronts_are_replaced_beside_the_old_ones_without_a_lost_request() {
    let replaced = json!([{"fault": "front-replaced", "at": 4, "until": 10}]);
    let f = hold("front-replaced", json!({"faults": replaced, "bounds": {"served": 0.97}}));
    assert_eq!(f["failed"].as_f64(), Some(0.0), "{f}");
}

#[test]
fn a_rolling_restart_costs_little() {
    let restarted = json!([{"fault": "front-restarted", "at": 4, "until": 12}]);
    hold("front-restarted", json!({"faults": restarted, "seconds": 16, "bounds": {"served": 0.9}}));
}

/// Guards a restart with a stale list, end to end: half the fronts hear of a lost node three seconds later than others.
#[test]
fn half_of_the_fronts_told_late_push_nothing_over() {
    let faults = json!([
        {"fault": "news-late", "at": 3, "until": 11, "fronts": {"share": 0.5}},
        {"fault": "front-killed", "at": 6, "until": 7, "fronts": {"share": 0.3}},
        {"fault": "node-killed", "at": 4, "until": 6, "nodes": {"places": [3]}}]);
    hold("news-late", json!({"faults": faults, "seconds": 18, "bounds": {"served": 0.85}}));
}

#[test]
fn all_copies_purged_at_once_serve_no_old_copy() {
    let faults = json!([{"fault": "purged", "at": 5, "until": 5}, {"fault": {"burst": {"times": 1.5}}, "at": 5, "until": 8}]);
    hold("purged", json!({"faults": faults, "bounds": {"served": 0.85}}));
}

/// A sibling fails while others of its location are gone.
#[test]
fn a_lost_part_of_a_location_and_a_failing_sibling_leave_the_rest_serving() {
    let faults = json!([
        {"fault": "node-killed", "at": 4, "until": 8, "nodes": {"places": [0, 2]}},
        {"fault": {"node-failing": {"share": 0.5}}, "at": 4, "until": 9, "nodes": {"places": [4]}}]);
    hold("lost-part", json!({"locations": 2, "faults": faults, "seconds": 16, "bounds": {"served": 0.75}}));
}

/// Guards the day on which a process is replaced while nodes are cordoned by hand: the cordon holds in the new process,
/// whatever its list says, and no request is lost.
#[test]
fn cordons_hold_over_a_replacement_of_every_front() {
    let faults = json!([
        {"fault": "node-cordoned", "at": 4, "until": 12, "nodes": {"places": [2, 6]}},
        {"fault": "front-replaced", "at": 6, "until": 10}]);
    let f = hold("cordoned", json!({"faults": faults, "seconds": 15, "bounds": {"served": 0.95}}));
    assert_eq!(f["failed"].as_f64(), Some(0.0), "{f}");
}
