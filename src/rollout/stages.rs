//! Assigns fronts to stages, spread over locations and loads so that changed fronts are comparable with the
//! others, and selects the old fronts that are restarted as controls.

use super::plan::GroupBy;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Properties of a front by which it is assigned to a stage.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Placement {
    /// Number of its location.
    pub location: usize,
    /// Requests per second that it ended before anything changed.
    pub rate: f64,
}

/// Fronts of a stage.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Stage {
    /// Fronts that change to the new release.
    pub fronts: Vec<usize>,
    /// Old fronts that are restarted, so that new processes are compared with old ones of the same age.
    pub control: Vec<usize>,
}

/// Returns the stages: one front first, then up to each of `shares`; every front is in one stage. Within a
/// location, fronts sorted by load are visited in bit-reversed order from a random start, so that every
/// prefix mixes loads.
pub fn stages(placements: &[Placement], shares: &[f64], control: f64, by: GroupBy, seed: u64) -> Vec<Stage> {
    let locations = placements.iter().map(|s| s.location + 1).max().unwrap_or(0);
    let draw = |n: usize| xxh3_64_with_seed(&(n as u64).to_le_bytes(), seed);
    let mut queues: Vec<Vec<usize>> = (0..locations)
        .map(|l| {
            let mut here: Vec<usize> =
                (0..placements.len()).filter(|&f| placements[f].location == l).collect();
            here.sort_by(|&a, &b| {
                placements[a].rate.total_cmp(&placements[b].rate).then(draw(a).cmp(&draw(b)))
            });
            bit_reversed_order(&here, draw(placements.len() + l) as usize)
        })
        .filter(|q| !q.is_empty())
        .collect();
    queues.sort_by_key(|q| draw(q[0]));
    let by_location = by == GroupBy::Location;
    let mut order = Vec::with_capacity(placements.len());
    if by_location {
        order.extend(queues.iter().flatten().copied());
    } else {
        let longest = queues.iter().map(Vec::len).max().unwrap_or(0);
        // Queues are interleaved in proportion to their length, so that every prefix holds the same share of
        // each.
        for step in 0..longest {
            for q in &queues {
                let quota = |step: usize| (step * q.len()).div_ceil(longest);
                order.extend(&q[quota(step)..quota(step + 1)]);
            }
        }
    }
    let mut ends: Vec<usize> = vec![1];
    ends.extend(
        shares.iter().map(|s| ((s * placements.len() as f64).round() as usize).clamp(1, placements.len())),
    );
    if by_location {
        // A stage extends to the end of the location in which its share ends.
        let mut sum = 0;
        let bounds: Vec<usize> = queues
            .iter()
            .map(|q| {
                sum += q.len();
                sum
            })
            .collect();
        ends = ends.iter().filter_map(|e| bounds.iter().copied().find(|b| b >= e)).collect();
    }
    ends.dedup();
    let max_controls = ((control * placements.len() as f64) as usize).max(1);
    let mut stages: Vec<Stage> = Vec::new();
    let mut start = 0;
    for &end in &ends {
        let fronts = order[start..end].to_vec();
        // A control is a front of a later stage, of the same location and with the nearest load.
        let mut candidates: Vec<usize> = order[end..].to_vec();
        let mut control = Vec::new();
        for &f in fronts.iter().take(max_controls) {
            let load_difference = |&&i: &&usize| (placements[i].rate - placements[f].rate).abs();
            let here = candidates.iter().filter(|&&i| placements[i].location == placements[f].location);
            let Some(&nearest) = here.min_by(|a, b| load_difference(a).total_cmp(&load_difference(b))) else {
                continue;
            };
            candidates.retain(|&i| i != nearest);
            control.push(nearest);
        }
        stages.push(Stage { fronts, control });
        start = end;
    }
    stages
}

/// Returns a sorted list in bit-reversed order of its indices (halves, quarters and so on), rotated by
/// `offset`.
fn bit_reversed_order(sorted: &[usize], offset: usize) -> Vec<usize> {
    let bits = sorted.len().next_power_of_two().trailing_zeros();
    let reversed = |i: usize| if bits == 0 { 0 } else { i.reverse_bits() >> (usize::BITS - bits) };
    let at = |i: usize| (reversed(i) + offset) % sorted.len().next_power_of_two();
    (0..1usize << bits).map(at).filter_map(|i| sorted.get(i).copied()).collect()
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    proptest! {
        #![proptest_config(ProptestConfig {
            rng_seed: proptest::test_runner::RngSeed::Fixed(7),
            ..ProptestConfig::default()
        })]
        #[test]
        fn every_front_is_in_one_stage_and_stages_take_equal_shares_of_locations(
            counts in prop::collection::vec(1usize..60, 1..5),
            seed in any::<u64>(),
            by_location in any::<bool>(),
        ) {
            let mut placements = Vec::new();
            for (location, n) in counts.iter().enumerate() {
                let rate = |i: usize| if i.is_multiple_of(3) { 10.0 } else { 1.0 };
                placements.extend((0..*n).map(|i| Placement { location, rate: rate(i) }));
            }
            let by = if by_location { GroupBy::Location } else { GroupBy::Front };
            let made = stages(&placements, &[0.01, 0.05, 0.2, 0.5, 1.0], 0.2, by, seed);
            let mut all: Vec<usize> = made.iter().flat_map(|s| s.fronts.clone()).collect();
            all.sort_unstable();
            prop_assert_eq!(all, (0..placements.len()).collect::<Vec<_>>());
            prop_assert!(made.iter().all(|s| !s.fronts.is_empty()));
            prop_assert!(by_location || made[0].fronts.len() == 1);
            let mut changed = Vec::new();
            for stage in &made {
                changed.extend(&stage.fronts);
                prop_assert!(stage.control.iter().all(|c| !changed.contains(c)), "control is old");
                prop_assert!(stage.control.len() <= stage.fronts.len());
                for (location, n) in counts.iter().enumerate() {
                    let here = changed.iter().filter(|f| placements[**f].location == location).count();
                    if by_location {
                        prop_assert!(here == 0 || here == *n, "whole locations");
                    } else {
                        let wanted = changed.len() as f64 / placements.len() as f64 * *n as f64;
                        prop_assert!((here as f64 - wanted).abs() <= 2.0, "{here} for {wanted}");
                    }
                }
            }
        }
    }

    /// Guards against a first front that is always of the largest location.
    #[test]
    fn the_first_front_can_be_of_any_location() {
        let placements: Vec<Placement> = (0..100).map(|i| Placement { location: i % 3, rate: 1.0 }).collect();
        let first =
            |seed| placements[stages(&placements, &[1.0], 0.2, GroupBy::Front, seed)[0].fronts[0]].location;
        let used: std::collections::BTreeSet<usize> = (0..40).map(first).collect();
        assert_eq!(used.len(), 3);
    }

    #[test]
    fn a_prefix_mixes_fronts_of_high_and_low_load() {
        let placements: Vec<Placement> =
            (0..64).map(|i| Placement { location: 0, rate: f64::from(i) }).collect();
        for seed in 0..20 {
            let made = stages(&placements, &[0.125, 0.5, 1.0], 0.2, GroupBy::Front, seed);
            let rates: Vec<f64> =
                made[0].fronts.iter().chain(&made[1].fronts).map(|f| placements[*f].rate).collect();
            let mean = rates.iter().sum::<f64>() / rates.len() as f64;
            assert!((24.0..39.0).contains(&mean), "{mean} of seed {seed}: {rates:?}");
            let (f, c) = (made[0].fronts[0], made[0].control[0]);
            assert!((placements[f].rate - placements[c].rate).abs() <= 2.0);
        }
    }
}
