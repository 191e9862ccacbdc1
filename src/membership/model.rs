//! The view against a plain model, by random steps from a fixed seed: lists, cordons, calls back, and what a
//! successor takes in.

use super::*;
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use std::collections::BTreeMap;

#[derive(Debug, Clone)]
enum Step {
    /// A list: full or a change, of these nodes with these states (0 ready, 1 draining, 2 gone).
    List {
        full: bool,
        nodes: Vec<(u8, u8)>,
    },
    Cordon(u8),
    Uncordon(u8),
    /// A successor starts from what was kept, and serves on.
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
fn the_view_keeps_cordons_whatever_the_list_says() {
    let config = Config { cases: 512, failure_persistence: None, ..Config::default() };
    let mut runner = TestRunner::new_with_rng(config, TestRng::deterministic_rng(RngAlgorithm::ChaCha));
    runner
        .run(&vec(step(), 1..40), |steps| {
            let mut view = Membership::default();
            // The model: what the list says of each node, the cordons, and when each was put back.
            let (mut listed, mut cordoned, mut woke) = (BTreeMap::new(), BTreeSet::new(), BTreeMap::new());
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
                        let seen = view.told(full, &nodes);
                        for (told, seen) in nodes.iter().zip(&seen) {
                            let banned = cordoned.contains(&told.id) && told.state == NodeState::Ready;
                            prop_assert_eq!(
                                seen.state == NodeState::Draining,
                                banned || told.state == NodeState::Draining
                            );
                        }
                    }
                    Step::Cordon(id) | Step::Uncordon(id) => {
                        let (id, on) = (NodeId(id.into()), matches!(step, Step::Cordon(_)));
                        let known = listed.contains_key(&id) || cordoned.contains(&id);
                        let hand =
                            if on { OperatorOverride::Cordon(id) } else { OperatorOverride::Uncordon(id) };
                        let done = view.hand(now, hand);
                        prop_assert_eq!(done.is_ok(), known, "ids that nobody has are owed a no");
                        if known {
                            let changed = if on { cordoned.insert(id) } else { cordoned.remove(&id) };
                            if changed && !on {
                                woke.insert(id, now);
                            }
                            let told = done.unwrap().1;
                            prop_assert_eq!(told.is_some(), changed && listed.contains_key(&id));
                        }
                    }
                    Step::Replace => {
                        let kept = view.kept(now, 3600.0);
                        let (read, wrong) = SavedOverrides::read(&kept.text());
                        prop_assert!(wrong.is_empty());
                        prop_assert_eq!(&read.cordoned, &kept.cordoned);
                        view = Membership::default();
                        view.take(now, &read);
                        let nodes: Vec<Node> = listed
                            .iter()
                            .map(|(&id, &state)| Node { id, state, ..Node::default() })
                            .collect();
                        view.told(true, &nodes);
                    }
                }
                // Whatever the list said, a cordoned node is never ready in the view, and one put back starts then.
                for (&id, &state) in &listed {
                    let seen = view.state(id);
                    let expected = if cordoned.contains(&id) { NodeState::Draining } else { state };
                    prop_assert_eq!(seen, Some(expected), "node {}", id.0);
                }
                for n in view.nodes() {
                    prop_assert!(woke.get(&n.id).is_none_or(|&at| (n.ready_at - at).abs() < 0.01), "{:?}", n);
                }
                prop_assert_eq!(view.len(), listed.len());
            }
            Ok(())
        })
        .unwrap_or_else(|e| panic!("{e}"));
}

#[test]
fn unreadable_lines_of_the_file_are_named_and_the_rest_is_taken() {
    let (kept, wrong) =
        SavedOverrides::read("cordon s-0000000a\n\nwoke s-0000000b 1764576000.5\ndrain s-0000000c\n");
    assert_eq!(kept.cordoned, [NodeId(10)]);
    assert_eq!(kept.woke, [(NodeId(11), 1_764_576_000.5)]);
    assert_eq!(wrong, ["line 4: 'drain s-0000000c' is neither 'cordon ID' nor 'woke ID UNIX'"]);
}

#[test]
fn two_cordons_need_one_call_back_and_a_full_set_refuses() {
    let mut view = Membership::default();
    let nodes: Vec<Node> =
        (0..=CORDONS as u64).map(|id| Node { id: NodeId(id), ..Node::default() }).collect();
    view.told(true, &nodes);
    assert_eq!(view.hand(1.0, OperatorOverride::Cordon(NodeId(1))).unwrap().0, "s-00000001 cordoned");
    assert_eq!(
        view.hand(2.0, OperatorOverride::Cordon(NodeId(1))).unwrap().0,
        "s-00000001 was cordoned already"
    );
    let (said, node) = view.hand(3.0, OperatorOverride::Uncordon(NodeId(1))).unwrap();
    assert_eq!(said, "s-00000001 uncordoned; it starts cold");
    assert_eq!(node.map(|n| (n.state, n.ready_at)), Some((NodeState::Ready, 3.0)));
    assert!(view.hand(4.0, OperatorOverride::Cordon(NodeId(99_999))).unwrap_err().contains("on no list"));
    for id in 0..CORDONS as u64 {
        view.hand(5.0, OperatorOverride::Cordon(NodeId(id))).unwrap();
    }
    assert!(
        view.hand(6.0, OperatorOverride::Cordon(NodeId(CORDONS as u64)))
            .unwrap_err()
            .contains("cordoned already")
    );
}
