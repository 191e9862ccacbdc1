use super::*;

/// Shares that are answered, small and large, of a class in which one in ten is large, where so many of each would be late.
fn shares(late: [f64; 2], waited: bool) -> [f64; 2] {
    let mut random = fastrand::Rng::with_seed(7);
    let mut sizes = Sizes::default();
    let (mut asked, mut sent) = ([0.0; 2], [0.0; 2]);
    for i in 0..20_000 {
        let large = usize::from(random.f64() < 0.1);
        let refused =
            sizes.refuses(f64::from(i) * 0.2, [0.8, 2.5][large], random.f64() < late[large], waited);
        asked[large] += 1.0;
        sent[large] += f64::from(u8::from(!refused));
    }
    [sent[0] / asked[0], sent[1] / asked[1]]
}

#[test]
fn large_ones_keep_their_part_of_what_their_class_is_answered() {
    for late in [[0.0, 1.0], [0.2, 0.9], [0.6, 1.0]] {
        let [small, large] = shares(late, true);
        assert!(large > 0.66 * small, "{late:?}: {small} {large}");
        assert!((small - (1.0 - late[0])).abs() < 0.02, "the small ones are decided on as before: {small}");
    }
}

#[test]
fn nothing_is_let_through_that_no_client_waits_for_or_that_has_its_part() {
    let [_, large] = shares([0.0, 1.0], false);
    assert!(large < 0.01, "{large}");
    // What is refused alike at all sizes stays refused.
    let [small, large] = shares([0.5, 0.5], true);
    assert!((small - 0.5).abs() < 0.05 && (0.45..0.62).contains(&large), "{small} {large}");
}

/// Large ones that are sent though their clients leave before they could come are not answered: they take nothing from
/// those that can be.
#[test]
fn what_is_sent_in_vain_is_no_part_of_what_a_size_is_answered() {
    let mut random = fastrand::Rng::with_seed(7);
    let mut sizes = Sizes::default();
    let (mut asked, mut sent) = (0.0, 0.0);
    for i in 0..20_000 {
        let large = random.f64() < 0.1;
        let (late, waited) = (large && random.f64() < 0.5, !large || random.f64() < 0.5);
        let refused = sizes.refuses(f64::from(i) * 0.2, if large { 2.5 } else { 0.8 }, late, waited);
        if large && waited {
            asked += 1.0;
            sent += f64::from(u8::from(!refused));
        }
    }
    let share = sent / asked;
    assert!(share > 0.95, "of those that can be answered {share} were sent, though fewer than owed are");
}
