//! Evidence that stays valid however often it is looked at.
//!
//! Of the bad events that new and old fronts had in the same time at the same place, the new ones have a share that
//! follows from what both were asked, if both are alike: whatever hit both is conditioned out. Against that stands
//! that the new ones' rate is `θ` times the old ones'. The likelihood ratio of the two is a martingale if both are
//! alike, and so is a mixture over several `θ`: it ever reaches `1 / α` with a chance of at most `α` (Ville, 1939;
//! mixture sequential probability ratio test: Robbins, 1970).

/// Rates beside the old ones' that are mixed: a tenth more up to whatever counts as broken.
const RATE_RATIOS: [f64; 7] = [1.1, 1.25, 1.5, 2.0, 4.0, 10.0, 30.0];

/// What speaks for new being worse, as a likelihood ratio for each of `RATE_RATIOS`, in logarithms.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Evidence([f64; RATE_RATIOS.len()]);

impl Evidence {
    /// Of `all` bad events `worse` were the new ones', whose part of what was asked was `share`. What comes in clumps
    /// is worth less: it is divided by `dispersion` (1 at least), which must be known from before.
    pub fn observe(&mut self, worse: f64, all: f64, share: f64, dispersion: f64) {
        // Where nothing was asked of either there is no share, and events say nothing.
        if all <= 0.0 || !(share > 0.0 && share < 1.0) {
            return;
        }
        for (log, times) in self.0.iter_mut().zip(RATE_RATIOS) {
            *log += (worse * times.ln() - all * (1.0 + share * (times - 1.0)).ln()) / dispersion.max(1.0);
        }
    }

    /// The mixture's logarithm: that of the factor by which worse is likelier than alike.
    pub fn log_ratio(&self) -> f64 {
        log_mean(&self.0)
    }
}

/// The logarithm of the mean of what these are the logarithms of.
pub fn log_mean(logs: &[f64]) -> f64 {
    let most = logs.iter().copied().fold(f64::MIN, f64::max);
    most + (logs.iter().map(|l| (l - most).exp()).sum::<f64>() / logs.len() as f64).ln()
}

/// The chance that of `all` events at least `seen` fall on a group whose part is `share`, if chance alone decides.
pub fn binomial_tail(seen: u64, all: u64, share: f64) -> f64 {
    if seen == 0 || share >= 1.0 {
        return 1.0;
    }
    if seen > all || share <= 0.0 {
        return 0.0;
    }
    let (p, q) = (share.ln(), (1.0 - share).ln());
    let (mut choose, mut sum) = (0.0, 0.0);
    for k in 0..=all {
        if k >= seen {
            sum += f64::exp(choose + k as f64 * p + (all - k) as f64 * q);
        }
        choose += ((all - k) as f64 / (k + 1) as f64).ln();
    }
    sum.min(1.0)
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Bad events of two groups, `times` as many in the new one, until the evidence says so; how many it took.
    fn play(seed: u64, times: f64, share: f64, most: u32) -> Option<u32> {
        let mut random = fastrand::Rng::with_seed(seed);
        let mut evidence = Evidence::default();
        let new = share * times / (share * times + 1.0 - share);
        for n in 1..=most {
            evidence.observe(f64::from(u8::from(random.f64() < new)), 1.0, share, 1.0);
            if evidence.log_ratio() > 100f64.ln() {
                return Some(n);
            }
        }
        None
    }

    #[test]
    fn alike_is_seldom_called_worse_however_often_one_looks() {
        for share in [0.01, 0.2, 0.5] {
            let called = (0..2000).filter(|&seed| play(seed, 1.0, share, 2000).is_some()).count();
            assert!(called <= 20, "{called} of 2000 at one in a hundred, share {share}");
            let better = (0..200).filter(|&seed| play(seed, 0.5, share, 2000).is_some()).count();
            assert_eq!(better, 0, "half as bad");
        }
    }

    #[test]
    fn worse_is_called_worse_the_sooner_the_worse_it_is() {
        for (times, least) in [(2.0, 200), (5.0, 30), (30.0, 12)] {
            let mut took: Vec<u32> = (0..100).filter_map(|seed| play(seed, times, 0.5, 4000)).collect();
            took.sort_unstable();
            assert_eq!(took.len(), 100, "times {times}");
            assert!(took[50] <= least, "{} events at times {times}", took[50]);
        }
    }

    /// Guards what was known against a window in which attempts were made and no request ended.
    #[test]
    fn a_window_without_a_share_changes_nothing() {
        let mut evidence = Evidence::default();
        evidence.observe(2.0, 2.0, 0.5, 1.0);
        let before = evidence;
        for share in [f64::NAN, 0.0, 1.0] {
            evidence.observe(1.0, 1.0, share, 1.0);
        }
        assert_eq!(evidence, before);
        assert!(evidence.log_ratio().is_finite());
    }

    #[test]
    fn a_tail_is_a_binomials() {
        assert!((binomial_tail(1, 1, 0.01) - 0.01).abs() < 1e-12);
        assert!((binomial_tail(2, 3, 0.5) - 0.5).abs() < 1e-12);
        assert_eq!((binomial_tail(0, 9, 0.3), binomial_tail(4, 3, 0.3)), (1.0, 0.0));
        assert!(binomial_tail(1, 138, 1.0 / 300.0) > 0.3, "one of many");
    }
}
