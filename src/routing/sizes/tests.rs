use super::*;

/// Returns the shares of small and large requests that are sent, of a class in which one in ten is large.
/// `late` is the share of each that would be late.
fn sent_shares(late: [f64; 2], in_time: bool) -> [f64; 2] {
    let mut random = fastrand::Rng::with_seed(7);
    let mut fairness = SizeFairness::default();
    let (mut asked, mut sent) = ([0.0; 2], [0.0; 2]);
    for i in 0..20_000 {
        let large = usize::from(random.f64() < 0.1);
        let late = random.f64() < late[large];
        let refused = fairness.should_refuse(f64::from(i) * 0.2, [0.8, 2.5][large], late, in_time);
        asked[large] += 1.0;
        sent[large] += f64::from(u8::from(!refused));
    }
    [sent[0] / asked[0], sent[1] / asked[1]]
}

#[test]
fn large_requests_keep_their_part_of_the_answered_share() {
    for late in [[0.0, 1.0], [0.2, 0.9], [0.6, 1.0]] {
        let [small, large] = sent_shares(late, true);
        assert!(large > 0.66 * small, "{late:?}: {small} {large}");
        assert!((small - (1.0 - late[0])).abs() < 0.02, "decisions on small ones do not change: {small}");
    }
}

#[test]
fn no_late_request_is_sent_that_no_client_waits_for_or_whose_size_has_its_part() {
    let [_, large] = sent_shares([0.0, 1.0], false);
    assert!(large < 0.01, "{large}");
    // All sizes are refused alike.
    let [small, large] = sent_shares([0.5, 0.5], true);
    assert!((small - 0.5).abs() < 0.05 && (0.45..0.62).contains(&large), "{small} {large}");
}

/// Large answers that are sent though their clients leave before they arrive do not count as answered, and so
/// take nothing from those that can be.
#[test]
fn answers_sent_in_vain_do_not_count_towards_the_share_of_a_size() {
    let mut random = fastrand::Rng::with_seed(7);
    let mut fairness = SizeFairness::default();
    let (mut asked, mut sent) = (0.0, 0.0);
    for i in 0..20_000 {
        let large = random.f64() < 0.1;
        let (late, in_time) = (large && random.f64() < 0.5, !large || random.f64() < 0.5);
        let refused =
            fairness.should_refuse(f64::from(i) * 0.2, if large { 2.5 } else { 0.8 }, late, in_time);
        if large && in_time {
            asked += 1.0;
            sent += f64::from(u8::from(!refused));
        }
    }
    let share = sent / asked;
    assert!(share > 0.95, "{share} of those that can be answered were sent");
}
