//! Faults that only tests have: a front built with the feature `planted` does wrong what the variable `ONYXYOKE_PLANTED`
//! names, as words with blanks between. No release has the feature.

use std::cell::RefCell;
use std::sync::OnceLock;
use std::time::{Duration, Instant};

/// What is planted, and when the process began.
struct Planted {
    words: Vec<String>,
    began: Instant,
}

fn planted() -> &'static Planted {
    static PLANTED: OnceLock<Planted> = OnceLock::new();
    PLANTED.get_or_init(|| {
        let text = std::env::var("ONYXYOKE_PLANTED").unwrap_or_default();
        Planted { words: text.split_whitespace().map(str::to_owned).collect(), began: Instant::now() }
    })
}

/// Is this word planted?
pub fn has(word: &str) -> bool {
    planted().words.iter().any(|w| w == word)
}

/// The number after `word=`.
fn number(word: &str) -> Option<f64> {
    planted().words.iter().find_map(|w| w.strip_prefix(word)?.strip_prefix('=')?.parse().ok())
}

/// Seconds since the process began, beyond `word=`; below 0 before, none where the word is not planted.
fn since(word: &str) -> Option<f64> {
    number(word).map(|after| planted().began.elapsed().as_secs_f64() - after)
}

/// `no-start`: it ends at once. `exit=S`: it ends by itself after so long. `leak=KB`: memory that grows a second.
pub fn start() {
    if has("no-start") {
        std::process::exit(1);
    }
    let (exit, leak) = (number("exit"), number("leak"));
    if exit.is_some() || leak.is_some() {
        std::thread::spawn(move || {
            let mut leaked: Vec<Vec<u8>> = Vec::new();
            while since("exit").is_none_or(|s| s < 0.0) {
                std::thread::sleep(Duration::from_millis(100));
                leaked.push(vec![1; (leak.unwrap_or(0.0) * 100.0) as usize]);
            }
            std::process::exit(1);
        });
    }
}

/// `refuse=SHARE`, of `class=N` alone, from `after=S` on: is this request refused?
pub fn should_refuse(class: u16) -> bool {
    thread_local!(static RANDOM: RefCell<fastrand::Rng> = const { RefCell::new(fastrand::Rng::with_seed(1)) });
    let Some(share) = number("refuse") else { return false };
    if number("class").is_some_and(|c| c as u16 != class) || since("after").is_some_and(|s| s < 0.0) {
        return false;
    }
    RANDOM.with_borrow_mut(|random| random.f64()) < share
}

/// `delay=S`: whatever goes to a cache node goes so much later.
pub fn attempt_delay() -> Option<Duration> {
    number("delay").map(Duration::from_secs_f64)
}

/// What the operators' socket does wrong: `mute=S` says nothing from then on, `never` is never ready, `other` says that
/// it runs something else.
pub enum OperatorFault {
    /// Nothing.
    None,
    /// No answer.
    Mute,
    /// Not ready.
    NeverReady,
    /// Another version.
    OtherBuild,
}

/// What it does wrong now.
pub fn operator_fault() -> OperatorFault {
    match () {
        () if since("mute").is_some_and(|s| s > 0.0) => OperatorFault::Mute,
        () if has("never") => OperatorFault::NeverReady,
        () if has("other") => OperatorFault::OtherBuild,
        () => OperatorFault::None,
    }
}
