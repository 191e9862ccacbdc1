//! Fairness among sizes. The overload guard refuses what would come too late, which hits large answers first
//! on any overloaded link. Fading shares show where one size of a class is answered much less often than the
//! class.

/// Time constant with which decisions fade (seconds): a front sees a large request every few seconds.
const FADE_TIME: f64 = 20.0;
/// Bounds of the sizes that are told apart, as multiples of the class's mean.
const SIZE_BOUNDS: [f64; 3] = [1.0, 1.4, 2.0];
/// Each size is guaranteed this part of the class's answered share, as far as its clients wait.
const GUARANTEED_PART: f64 = 0.7;

/// Fading counts of all decisions, and of those to send an answer that its client can wait for. One that is
/// sent though the client leaves earlier is sent in vain.
#[derive(Clone, Copy, Default)]
struct Decisions {
    all: f64,
    useful: f64,
}

impl Decisions {
    fn count(&mut self, useful: bool) {
        self.all += 1.0;
        self.useful += f64::from(u8::from(useful));
    }

    /// Returns the share that is sent and may be answered; 1 while nothing is known.
    fn useful_share(&self) -> f64 {
        (self.useful + 1.0) / (self.all + 1.0)
    }
}

/// The decisions on one class by size.
#[derive(Clone, Copy, Default)]
pub struct SizeFairness {
    at: f64,
    class: Decisions,
    by_size: [Decisions; SIZE_BOUNDS.len() + 1],
}

impl SizeFairness {
    /// Decides on a request of `size` times the mean of its class and returns whether to refuse it. `late`
    /// says that the answer would miss its aim, `in_time` that it would arrive before the client leaves.
    pub fn should_refuse(&mut self, now: f64, size: f64, late: bool, in_time: bool) -> bool {
        let bucket = SIZE_BOUNDS.iter().filter(|&&bound| size >= bound).count();
        let Decisions { all, useful } = self.by_size[bucket];
        let below_guarantee = useful < GUARANTEED_PART * self.class.useful_share() * all;
        let refused = late && !(in_time && below_guarantee);
        let fade = ((self.at - now) / FADE_TIME).exp().min(1.0);
        self.at = now;
        for decisions in self.by_size.iter_mut().chain([&mut self.class]) {
            (decisions.all, decisions.useful) = (decisions.all * fade, decisions.useful * fade);
        }
        let useful = !refused && in_time;
        self.class.count(useful);
        self.by_size[bucket].count(useful);
        refused
    }
}

#[cfg(test)]
mod tests;
