//! A sequential test that stays valid however often its result is read.
//!
//! If new and old fronts have the same failure rate, the new ones' share of the bad events of a time and
//! place equals their share of the requests; conditioning on the total removes whatever affects both. The
//! alternative is that the new ones' rate is `θ` times the old ones'. Under equal rates the likelihood ratio
//! is a martingale, and so is a mixture over several `θ`: the probability that it ever reaches `1 / α` is at
//! most `α` (Ville, 1939; mixture sequential probability ratio test: Robbins, 1970).

/// Ratios `θ` of the new rate to the old one in the mixture, from a tenth more up to clearly broken.
const RATE_RATIOS: [f64; 7] = [1.1, 1.25, 1.5, 2.0, 4.0, 10.0, 30.0];

/// Evidence that the new release is worse: the logarithm of the likelihood ratio for each of `RATE_RATIOS`.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Evidence([f64; RATE_RATIOS.len()]);

impl Evidence {
    /// Adds `all_events` bad events, of which `new_events` are new fronts', whose share of the requests is
    /// `new_share`. The evidence is divided by `dispersion` (at least 1), since clustered events carry less
    /// information; it must be known from before these events.
    pub fn observe(&mut self, new_events: f64, all_events: f64, new_share: f64, dispersion: f64) {
        // Without requests of both releases there is no share to compare with.
        if all_events <= 0.0 || !(new_share > 0.0 && new_share < 1.0) {
            return;
        }
        for (log, ratio) in self.0.iter_mut().zip(RATE_RATIOS) {
            *log += (new_events * ratio.ln() - all_events * (1.0 + new_share * (ratio - 1.0)).ln())
                / dispersion.max(1.0);
        }
    }

    /// Returns the logarithm of the mixture's likelihood ratio of worse against equal.
    pub fn log_ratio(&self) -> f64 {
        log_mean(&self.0)
    }
}

/// Returns the logarithm of the mean of the values whose logarithms are given.
pub fn log_mean(logs: &[f64]) -> f64 {
    let max = logs.iter().copied().fold(f64::MIN, f64::max);
    max + (logs.iter().map(|l| (l - max).exp()).sum::<f64>() / logs.len() as f64).ln()
}

/// Returns the probability that at least `seen` of `all` independent events fall on a group with this share.
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

    /// Draws bad events of two groups, at `times` the rate in the new one; returns how many it took to stop,
    /// of `most`.
    fn events_until_stop(seed: u64, times: f64, share: f64, most: u32) -> Option<u32> {
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
    fn equal_rates_rarely_stop_however_often_the_evidence_is_read() {
        for share in [0.01, 0.2, 0.5] {
            let called =
                (0..2000).filter(|&seed| events_until_stop(seed, 1.0, share, 2000).is_some()).count();
            assert!(called <= 20, "{called} of 2000 at one in a hundred, share {share}");
            let better = (0..200).filter(|&seed| events_until_stop(seed, 0.5, share, 2000).is_some()).count();
            assert_eq!(better, 0, "half as bad");
        }
    }

    #[test]
    fn a_higher_ratio_of_rates_stops_after_fewer_events() {
        for (times, least) in [(2.0, 200), (5.0, 30), (30.0, 12)] {
            let mut took: Vec<u32> =
                (0..100).filter_map(|seed| events_until_stop(seed, times, 0.5, 4000)).collect();
            took.sort_unstable();
            assert_eq!(took.len(), 100, "times {times}");
            assert!(took[50] <= least, "{} events at times {times}", took[50]);
        }
    }

    /// Guards against evidence that becomes NaN in a window in which attempts were made and no request ended.
    #[test]
    fn a_window_without_a_share_leaves_the_evidence_unchanged() {
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
    fn binomial_tail_has_known_values() {
        assert!((binomial_tail(1, 1, 0.01) - 0.01).abs() < 1e-12);
        assert!((binomial_tail(2, 3, 0.5) - 0.5).abs() < 1e-12);
        assert_eq!((binomial_tail(0, 9, 0.3), binomial_tail(4, 3, 0.3)), (1.0, 0.0));
        assert!(binomial_tail(1, 138, 1.0 / 300.0) > 0.3, "one of many");
    }
}
