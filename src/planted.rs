//! Fault injection for tests: a front built with the feature `planted` shows the faults that the environment
//! variable `ONYXYOKE_PLANTED` names, as words separated by blanks. No release has the feature.

use std::cell::RefCell;
use std::sync::OnceLock;
use std::time::{Duration, Instant};

/// The faults of the process.
struct Faults {
    words: Vec<String>,
    started_at: Instant,
}

fn faults() -> &'static Faults {
    static FAULTS: OnceLock<Faults> = OnceLock::new();
    FAULTS.get_or_init(|| {
        let text = std::env::var("ONYXYOKE_PLANTED").unwrap_or_default();
        Faults { words: text.split_whitespace().map(str::to_owned).collect(), started_at: Instant::now() }
    })
}

/// Returns whether this fault is set.
pub fn is_set(word: &str) -> bool {
    faults().words.iter().any(|w| w == word)
}

/// The text after `word=`.
fn text(word: &str) -> Option<&'static str> {
    faults().words.iter().find_map(|w| w.strip_prefix(word)?.strip_prefix('='))
}

/// The number after `word=`.
fn number(word: &str) -> Option<f64> {
    text(word)?.parse().ok()
}

/// Holds the thread at a named pipe until a test opens the other side, by `word=PIPE`; without effect while
/// there is no such pipe.
pub fn hold(word: &str) {
    if let Some(pipe) = text(word) {
        let _ = std::fs::File::open(pipe);
    }
}

/// Seconds since `word=S` after the start of the process, negative before; `None` if the word is not set.
fn since(word: &str) -> Option<f64> {
    number(word).map(|after| faults().started_at.elapsed().as_secs_f64() - after)
}

/// Applies the faults of the process: `no-start` exits at once, `exit=S` exits after S seconds, and `leak=KB`
/// leaks that much memory per second.
pub fn start() {
    if is_set("no-start") {
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

/// Returns whether to refuse a request: `refuse=SHARE` refuses this share, with `class=N` only of that class,
/// and with `after=S` only from then on.
pub fn should_refuse(class: u16) -> bool {
    thread_local! {
        static RANDOM: RefCell<fastrand::Rng> = const { RefCell::new(fastrand::Rng::with_seed(1)) };
    }
    let Some(share) = number("refuse") else { return false };
    if number("class").is_some_and(|c| c as u16 != class) || since("after").is_some_and(|s| s < 0.0) {
        return false;
    }
    RANDOM.with_borrow_mut(|random| random.f64()) < share
}

/// The delay of everything that is sent to a cache node, by `delay=S`.
pub fn attempt_delay() -> Option<Duration> {
    number("delay").map(Duration::from_secs_f64)
}

/// A fault of the operators' socket: `mute=S` gives no answer from then on, `never` reports that the front is
/// not ready, and `other` reports another build.
pub enum OperatorFault {
    /// No fault.
    None,
    /// No answer.
    Mute,
    /// The front is never ready.
    NeverReady,
    /// The version call reports another build.
    OtherBuild,
}

/// The present fault of the operators' socket.
pub fn operator_fault() -> OperatorFault {
    match () {
        () if since("mute").is_some_and(|s| s > 0.0) => OperatorFault::Mute,
        () if is_set("never") => OperatorFault::NeverReady,
        () if is_set("other") => OperatorFault::OtherBuild,
        () => OperatorFault::None,
    }
}
