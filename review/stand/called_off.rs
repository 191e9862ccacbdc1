//! A replacement is called off; the second process of the next replacement is killed while it is a standby.
#[path = "stand.rs"]
mod stand;
use stand::*;

fn main() {
    let d = Deployment::from_environment();
    let r = &d.record;
    let arrivals = Arrivals::default();
    let nodes = start_nodes(3, 400, &arrivals, r);
    let listen = free_address();
    let file = d.folder.join("config.json");
    std::fs::write(&file, config((0, 1), listen, start_coordinator(1), &nodes)).expect("a settings file");
    let variables = [("NODE_CONFIG", file.to_str().unwrap())];
    // The processes of a front share its $TMPDIR.
    let tmpdir = d.folder.join("tmp");
    let first = d.start("first", &variables, &tmpdir);
    if !first.wait_until_ready(10_000) {
        d.cannot("the first process was not ready in 10 s");
    }
    let load = Load::start(listen, (20, 6, 50, 400), r);
    sleep_ms(1500);
    if d.trouble {
        let mut called_off = d.start("called-off", &variables, &tmpdir);
        if !called_off.wait_until_ready(10_000) {
            d.cannot("the second process was not ready in 10 s");
        }
        sleep_ms(1000);
        r.say("SIGTERM to the second process: the replacement is called off");
        called_off.signal(SIGTERM);
        r.say(&format!("the second process ended, exit code {:?}", called_off.wait(6000)));
    }
    sleep_ms(1000);
    let mut standby = d.start("standby", &variables, &tmpdir);
    if !standby.wait_until_ready(10_000) {
        d.cannot("the standby was not ready in 10 s");
    }
    sleep_ms(5000);
    for process in [&first, &standby] {
        let counters = operator(process.operators, "counters").unwrap_or_default();
        let served = counters.lines().find(|l| l.starts_with(r#"front_success{tier="media"}"#));
        r.say(&format!("{}: {}", process.name, served.unwrap_or("no answer")));
    }
    let killed_ms = now_ms();
    r.say("SIGKILL to the standby; the first process, which was never told to end, serves on");
    standby.signal(SIGKILL);
    standby.wait(6000);
    sleep_ms(2000);
    let asked = load.finish();
    let health = operator(first.operators, "health");
    r.say(&format!("the first process answers 'health' with {health:?}"));
    drop((first, standby));
    r.say(&count_ends(&asked));
    let line = |a: &Asked| {
        format!(
            "request {}, number {} on its connection, sent {:.0} ms before the kill: {:?} at {:.0} ms",
            a.call,
            a.tag,
            killed_ms - a.sent_ms,
            a.end,
            a.ended_ms - killed_ms
        )
    };
    let broken: Vec<String> = lost(&asked, &arrivals).iter().map(line).collect();
    r.say(&format!("requests that were taken, forwarded and lost: {}", broken.len()));
    verdict(r, &broken)
}
