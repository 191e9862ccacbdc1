//! Who is refused, by size: a guard that refuses what would come too late meets the large ones first, on any link that is
//! over full. Shares that fade tell when one size of a class is answered much less often than the class.

/// Span over which what was decided fades (seconds): a front sees a large one every few seconds.
const MEMORY: f64 = 20.0;
/// Sizes that are told apart, as multiples of the class's mean: under the first, under the second, and so on.
const STEPS: [f64; 3] = [1.0, 1.4, 2.0];
/// Of each size at least this part of the class's answered share is let through, while its client waits for it.
const FAIR: f64 = 0.7;

/// Decisions that fade: all, and those to send what its client can wait for. What is sent beyond that is sent in vain.
#[derive(Clone, Copy, Default)]
struct Decided {
    all: f64,
    useful: f64,
}

impl Decided {
    fn count(&mut self, useful: bool) {
        self.all += 1.0;
        self.useful += f64::from(u8::from(useful));
    }

    /// The share that is sent and may be answered; all while nothing is known.
    fn share(&self) -> f64 {
        (self.useful + 1.0) / (self.all + 1.0)
    }
}

/// One class's decisions by size.
#[derive(Clone, Copy, Default)]
pub struct Sizes {
    at: f64,
    class: Decided,
    by_size: [Decided; STEPS.len() + 1],
}

impl Sizes {
    /// Decides on a request `size` times as large as the mean of its class: `late` says that it would not come in time,
    /// `waited` that its client would wait for it if it were kept. Is it to be refused?
    pub fn refuses(&mut self, now: f64, size: f64, late: bool, waited: bool) -> bool {
        let step = STEPS.iter().filter(|&&s| size >= s).count();
        let Decided { all, useful } = self.by_size[step];
        let owed = useful < FAIR * self.class.share() * all;
        let refused = late && !(waited && owed);
        let fade = ((self.at - now) / MEMORY).exp().min(1.0);
        self.at = now;
        for decided in self.by_size.iter_mut().chain([&mut self.class]) {
            (decided.all, decided.useful) = (decided.all * fade, decided.useful * fade);
        }
        let useful = !refused && waited;
        self.class.count(useful);
        self.by_size[step].count(useful);
        refused
    }
}

#[cfg(test)]
mod tests;
