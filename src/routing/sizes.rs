//! Who is refused, by size: a guard that refuses what would come too late meets the large ones first, on any link that is
//! over full. Shares that fade tell when one size of a class is answered much less often than the class.

/// Span over which what was decided fades (seconds): a front sees a large one every few seconds.
const MEMORY: f64 = 20.0;
/// Sizes that are told apart, as multiples of the class's mean: under the first, under the second, and so on.
const STEPS: [f64; 3] = [1.0, 1.4, 2.0];
/// Of each size at least this part of the class's answered share is let through, while its client waits for it.
const FAIR: f64 = 0.7;

/// Decisions that fade: all, and those to send.
#[derive(Clone, Copy, Default)]
struct Decided {
    all: f64,
    sent: f64,
}

impl Decided {
    fn count(&mut self, sends: bool) {
        self.all += 1.0;
        self.sent += f64::from(u8::from(sends));
    }

    /// The share that is sent; all while nothing is known.
    fn share(&self) -> f64 {
        (self.sent + 1.0) / (self.all + 1.0)
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
        let Decided { all, sent } = self.by_size[step];
        let owed = sent < FAIR * self.class.share() * all;
        let refused = late && !(waited && owed);
        let fade = ((self.at - now) / MEMORY).exp().min(1.0);
        self.at = now;
        for decided in self.by_size.iter_mut().chain([&mut self.class]) {
            (decided.all, decided.sent) = (decided.all * fade, decided.sent * fade);
        }
        self.class.count(!refused);
        self.by_size[step].count(!refused);
        refused
    }
}

#[cfg(test)]
mod tests;
