//! Cordons and uncordons that are called at both processes of a front during a replacement. One process is
//! stopped between its read of the saved state and its write, while the other one executes a call.

mod stand_ins;
use stand_ins::*;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

/// A node that is cordoned before the calls that cross.
const CORDONED_BEFORE: u32 = 0x0a;
/// The time within which a process replies to a cordon or uncordon.
const REPLY_LIMIT: Duration = Duration::from_secs(1);

/// A process of a front that can be held before it writes its record.
struct HeldProcess {
    front: PlatformFront,
    admin: SocketAddr,
    pipe: PathBuf,
}

impl HeldProcess {
    fn start(name: &str, address: Option<SocketAddr>, cache: SocketAddr, tmp: &Path) -> HeldProcess {
        let pipe = tmp.join(format!("{name}-pipe"));
        let edges = [EDGE, OTHER_EDGE, CORDONED_BEFORE].map(|id| member(id, "standard", cache));
        let members = [&edges[..], &[member(ORIGIN, "origin", cache)]].concat();
        let front = start_with_held_writes(name, members, address, tmp, &pipe);
        let admin = admin_of(&front);
        assert_eq!(call(admin, "health"), "ok yes\n");
        HeldProcess { front, admin, pipe }
    }

    /// Waits until the front avoids this many nodes.
    fn await_cordons(&self, cordons: u64) {
        eventually(&format!("{cordons} nodes are cordoned"), || {
            series_value(&call(self.admin, "counters"), "front_hosts_down") == cordons
        });
    }
}

/// The two processes of a front during a replacement.
struct Replacement {
    name: String,
    tmp: PathBuf,
    cache: SocketAddr,
    processes: [HeldProcess; 2],
}

impl Replacement {
    /// Starts both processes and cordons node [`CORDONED_BEFORE`] at the first.
    fn start(name: &str) -> Replacement {
        let tmp = make_folder(&format!("{name}-tmp"));
        let (cache, _) = cache_node();
        let first = HeldProcess::start(&format!("{name}-first"), None, cache, &tmp);
        let address = Some(first.front.address);
        let second = HeldProcess::start(&format!("{name}-second"), address, cache, &tmp);
        assert_eq!(call(first.admin, "cordon s-0000000a"), "ok s-0000000a cordoned\n");
        let processes = [first, second];
        processes.iter().for_each(|process| process.await_cordons(1));
        Replacement { name: name.to_owned(), tmp, cache, processes }
    }

    /// Calls the process of this index, and stops it once the call is in force there but not yet saved.
    /// Executes `events`, and lets the process go on.
    fn while_stopped_before_the_write(&self, index: usize, crossing: &Crossing, events: impl FnOnce()) {
        let held = &self.processes[index];
        make_pipe(&held.pipe);
        let called_at = Instant::now();
        let mut caller = send_call(held.admin, crossing.at_held);
        held.await_cordons(crossing.cordons_at_held);
        while_stopped(&held.front, events);
        release_pipe(&held.pipe);
        let (reply, replied_after) = (read_reply(&mut caller), called_at.elapsed());
        assert!(
            reply.starts_with("ok ") || replied_after > REPLY_LIMIT / 2,
            "{reply} after {replied_after:?}"
        );
    }

    /// Asserts that both processes, and one that starts after both were killed, cordon exactly these nodes.
    fn assert_cordoned(mut self, crossing: &Crossing) {
        let expected = crossing.cordoned.len() as u64;
        self.processes.iter().for_each(|process| process.await_cordons(expected));
        for process in &mut self.processes {
            process.front.signal("-KILL");
            process.front.child.wait().unwrap();
        }
        let address = Some(self.processes[0].front.address);
        let next = HeldProcess::start(&format!("{}-next", self.name), address, self.cache, &self.tmp);
        next.await_cordons(expected);
        for node in crossing.cordoned {
            let reply = call(next.admin, &format!("cordon {node}"));
            assert_eq!(reply, format!("ok {node} was cordoned already\n"), "{crossing:?}");
        }
        drop(next);
        drop(self.processes);
        std::fs::remove_dir_all(self.tmp).unwrap();
    }
}

/// A call at the process that is held, and what happens while it is stopped.
#[derive(Debug)]
struct Crossing {
    at_held: &'static str,
    /// Number of cordons that the held process then has in force.
    cordons_at_held: u64,
    at_other: &'static str,
    /// The nodes that are cordoned in the end.
    cordoned: &'static [&'static str],
}

const CROSSINGS: [Crossing; 3] = [
    Crossing {
        at_held: "cordon s-00000007",
        cordons_at_held: 2,
        at_other: "cordon s-00000008",
        cordoned: &["s-00000007", "s-00000008", "s-0000000a"],
    },
    Crossing {
        at_held: "uncordon s-0000000a",
        cordons_at_held: 0,
        at_other: "cordon s-00000008",
        cordoned: &["s-00000008"],
    },
    Crossing {
        at_held: "cordon s-00000007",
        cordons_at_held: 2,
        at_other: "uncordon s-0000000a",
        cordoned: &["s-00000007"],
    },
];

/// Guards against cordons and uncordons, each answered `ok`, that are lost because the other process of the
/// front has read the saved state before and writes it after.
#[test]
fn calls_at_both_processes_of_a_replacement_are_all_kept() {
    for held in [0, 1] {
        for crossing in &CROSSINGS {
            let replacement = Replacement::start("overrides-crossing");
            let other = replacement.processes[1 - held].admin;
            replacement.while_stopped_before_the_write(held, crossing, || {
                let called_at = Instant::now();
                let reply = call(other, crossing.at_other);
                assert!(reply.starts_with("ok "), "{reply}");
                assert!(called_at.elapsed() < REPLY_LIMIT, "a stopped process holds up the other one");
            });
            replacement.assert_cordoned(crossing);
        }
    }
}

/// Guards against a process that lifts a cordon which it has confirmed because the other one, which writes
/// later, has not read it: of two calls for one node the newer counts.
#[test]
fn the_newer_of_two_calls_for_one_node_counts_whichever_process_writes_last() {
    let crossing = Crossing {
        at_held: "uncordon s-0000000a",
        cordons_at_held: 0,
        at_other: "cordon s-0000000a",
        cordoned: &["s-0000000a"],
    };
    for held in [0, 1] {
        let replacement = Replacement::start("overrides-newer");
        let other = replacement.processes[1 - held].admin;
        replacement.while_stopped_before_the_write(held, &crossing, || {
            assert_eq!(call(other, crossing.at_other), "ok s-0000000a was cordoned already\n");
        });
        replacement.assert_cordoned(&crossing);
    }
}

/// Guards against cordons that are lost because a process of an earlier build, which knows only the shared
/// file, replaces all of it without having read them, or has its own replaced.
#[test]
fn an_earlier_build_that_writes_the_shared_file_loses_no_cordon() {
    for held in [0, 1] {
        let replacement = Replacement::start("overrides-earlier");
        let crossing = &CROSSINGS[0];
        let shared_file = cordons_file(&replacement.tmp);
        replacement.while_stopped_before_the_write(held, crossing, || {
            let new = shared_file.with_extension("new-0");
            std::fs::write(&new, "cordon s-00000008\ncordon s-0000000a\n").unwrap();
            std::fs::rename(&new, &shared_file).unwrap();
        });
        eventually("the shared file names all cordons again", || {
            let text = std::fs::read_to_string(&shared_file).unwrap();
            crossing.cordoned.iter().all(|node| text.contains(&format!("cordon {node}\n")))
        });
        replacement.assert_cordoned(crossing);
    }
}
