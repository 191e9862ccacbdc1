//! Checks the view against a plain model, by random steps from a fixed seed: lists, cordons, uncordons, and a
//! successor that restores the saved state.

use super::*;
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use std::collections::{BTreeMap, BTreeSet};

#[derive(Debug, Clone)]
enum Step {
    /// A full or incremental list of these nodes with these states (0 ready, 1 draining, 2 withdrawn).
    List {
        full: bool,
        nodes: Vec<(u8, u8)>,
    },
    Cordon(u8),
    Uncordon(u8),
    /// A successor starts from the saved state.
    Replace,
}

fn step() -> impl Strategy<Value = Step> {
    let node = 0u8..6;
    prop_oneof![
        (any::<bool>(), vec((node.clone(), 0u8..3), 0..5))
            .prop_map(|(full, nodes)| Step::List { full, nodes }),
        node.clone().prop_map(Step::Cordon),
        node.clone().prop_map(Step::Uncordon),
        Just(Step::Replace),
    ]
}

fn node(id: u8, state: u8) -> Node {
    let state = [NodeState::Ready, NodeState::Draining, NodeState::Withdrawn][usize::from(state)];
    Node { id: NodeId(id.into()), state, ..Node::default() }
}

#[test]
fn cordoned_nodes_are_never_ready_whatever_the_list_says() {
    let config = Config { cases: 512, failure_persistence: None, ..Config::default() };
    let mut runner = TestRunner::new_with_rng(config, TestRng::deterministic_rng(RngAlgorithm::ChaCha));
    runner
        .run(&vec(step(), 1..40), |steps| {
            let mut view = Membership::default();
            // The model: each node's state on the list, the cordons, and the time of each uncordon.
            let (mut listed, mut cordoned, mut uncordoned) =
                (BTreeMap::new(), BTreeSet::new(), BTreeMap::new());
            for (i, step) in steps.into_iter().enumerate() {
                let now = 1000.0 + i as f64;
                match step {
                    Step::List { full, nodes } => {
                        let nodes: Vec<Node> = nodes.iter().map(|&(id, s)| node(id, s)).collect();
                        if full {
                            listed.clear();
                        }
                        for n in &nodes {
                            match n.state {
                                NodeState::Withdrawn => listed.remove(&n.id),
                                state => listed.insert(n.id, state),
                            };
                        }
                        let viewed = view.apply_list(full, &nodes);
                        for (node, viewed) in nodes.iter().zip(&viewed) {
                            let withheld = cordoned.contains(&node.id) && node.state == NodeState::Ready;
                            prop_assert_eq!(
                                viewed.state == NodeState::Draining,
                                withheld || node.state == NodeState::Draining
                            );
                        }
                    }
                    Step::Cordon(id) | Step::Uncordon(id) => {
                        let (id, cordon) = (NodeId(id.into()), matches!(step, Step::Cordon(_)));
                        let known = listed.contains_key(&id) || cordoned.contains(&id);
                        let action = if cordon {
                            OperatorOverride::Cordon(id)
                        } else {
                            OperatorOverride::Uncordon(id)
                        };
                        let result = view.apply_override(now, action);
                        prop_assert_eq!(result.is_ok(), known, "unknown ids are refused");
                        if known {
                            let changed = if cordon { cordoned.insert(id) } else { cordoned.remove(&id) };
                            if changed && !cordon {
                                uncordoned.insert(id, now);
                            }
                            let changed_node = result.unwrap().1;
                            prop_assert_eq!(changed_node.is_some(), changed && listed.contains_key(&id));
                        }
                    }
                    Step::Replace => {
                        let (parsed, errors) = Overrides::parse(&view.overrides().to_text());
                        prop_assert!(errors.is_empty());
                        prop_assert_eq!(&parsed, view.overrides());
                        view = Membership::default();
                        view.merge_overrides(&parsed);
                        let nodes: Vec<Node> = listed
                            .iter()
                            .map(|(&id, &state)| Node { id, state, ..Node::default() })
                            .collect();
                        view.apply_list(true, &nodes);
                    }
                }
                // A cordoned node is never ready in the view, and an uncordoned one is ready since its
                // uncordon.
                for (&id, &state) in &listed {
                    let actual = view.state(id);
                    let expected = if cordoned.contains(&id) { NodeState::Draining } else { state };
                    prop_assert_eq!(actual, Some(expected), "node {}", id.0);
                }
                for n in view.nodes() {
                    prop_assert!(
                        uncordoned.get(&n.id).is_none_or(|&at| (n.ready_at - at).abs() < 0.01),
                        "{:?}",
                        n
                    );
                }
                prop_assert_eq!(view.len(), listed.len());
            }
            Ok(())
        })
        .unwrap_or_else(|e| panic!("{e}"));
}

#[test]
fn repeated_cordons_need_one_uncordon_and_a_full_set_refuses() {
    let mut view = Membership::default();
    let nodes: Vec<Node> =
        (0..=MAX_CORDONS as u64).map(|id| Node { id: NodeId(id), ..Node::default() }).collect();
    view.apply_list(true, &nodes);
    assert_eq!(
        view.apply_override(1.0, OperatorOverride::Cordon(NodeId(1))).unwrap().0,
        "s-00000001 cordoned"
    );
    assert_eq!(
        view.apply_override(2.0, OperatorOverride::Cordon(NodeId(1))).unwrap().0,
        "s-00000001 was cordoned already"
    );
    let (message, node) = view.apply_override(3.0, OperatorOverride::Uncordon(NodeId(1))).unwrap();
    assert_eq!(message, "s-00000001 uncordoned; it starts cold");
    assert_eq!(node.map(|n| (n.state, n.ready_at)), Some((NodeState::Ready, 3.0)));
    assert!(
        view.apply_override(4.0, OperatorOverride::Cordon(NodeId(99_999)))
            .unwrap_err()
            .contains("on no list")
    );
    for id in 0..MAX_CORDONS as u64 {
        view.apply_override(5.0, OperatorOverride::Cordon(NodeId(id))).unwrap();
    }
    assert!(
        view.apply_override(6.0, OperatorOverride::Cordon(NodeId(MAX_CORDONS as u64)))
            .unwrap_err()
            .contains("cordoned already")
    );
}
