//! A front closes a connection whose client has taken nothing for a while and was sent small answers meanwhile. Its system
//! has no room for the last of them, so that they lie unsent, and the end would lie behind them: what the client sends is to
//! be answered, and what it was sent is to reach it whole. Or each answer fits the window that its system has told, until that is
//! closed: what was dropped there, and an end behind that, are not seen by it either. The order of events is forced; no time
//! decides it.

mod stand_ins;
use nix::libc;
use nix::sys::socket::{getsockopt, sockopt::GetStruct};
use serde_json::{Value, json};
use stand_ins::*;
use std::collections::BTreeMap;
use std::io::Write;
use std::net::TcpStream;
use std::ops::RangeInclusive;
use std::path::PathBuf;
use std::sync::mpsc::Receiver;
use std::thread;
use std::time::{Duration, Instant};

/// How large an answer's body is (bytes).
const SIZES: RangeInclusive<usize> = 20..=4096;
/// Seeds of the sizes; each is played with each of [`FURTHER`].
const SEEDS: [u64; 3] = [2, 8, 9];
/// Answers that come after the client's system had no more room.
const FURTHER: [u64; 3] = [0, 1, 2];
/// How large an answer is that leaves room for another, where the window is to be closed by one (bytes).
const EXACT_STEP: usize = 2_000;
/// A client's time to read its last answer (1 s) is over then.
const TIME_TO_READ_OVER: Duration = Duration::from_millis(1_100);
/// A replaced front has come to its end (0.9 s) or all but that, and has left a client that time to read.
const LEFT_TO_READ: Duration = Duration::from_millis(800);
/// A narrow socket has no room for so many answers of such sizes.
const ANSWERS_MOST: u64 = 500;
/// More than a narrow socket holds (bytes).
const HELD_MOST: usize = 1 << 20;

/// A front and two clients of it: a slow one, which reads only at the end, and a witness, which reads each of its answers.
trait Stage {
    /// The slow client asks; its requests are numbered from 1.
    fn ask(&mut self, number: u64);
    /// What the front has counted.
    fn counters(&self) -> String;
    /// The witness asks and reads its answer.
    fn witness(&mut self);
    /// The slow client's socket.
    fn slow(&self) -> &TcpStream;
    /// The slow client reads an answer: its request's number, and the body.
    fn read_answer(&mut self, before: u64) -> (u64, Vec<u8>);
}

/// The platform's front.
struct Platform<'a> {
    node: &'a Node,
    slow: Client,
    witness: Client,
}

impl<'a> Platform<'a> {
    fn new(node: &'a Node) -> Self {
        Platform { node, slow: Client::new(narrow(node.address)), witness: node.connect() }
    }
}

impl Stage for Platform<'_> {
    fn ask(&mut self, number: u64) {
        hold(&mut self.slow, number);
    }

    fn counters(&self) -> String {
        self.node.signal("-USR1");
        self.node.logged("counters")
    }

    fn witness(&mut self) {
        self.witness.send(&["HEALTH", "8", ""]);
        self.witness.answer();
    }

    fn slow(&self) -> &TcpStream {
        &self.slow.stream
    }

    fn read_answer(&mut self, _before: u64) -> (u64, Vec<u8>) {
        let mut words = self.slow.answer();
        assert_eq!(words[1], "ok");
        (words[0].parse().unwrap(), words.swap_remove(3).into_bytes())
    }
}

/// The second front.
struct Signed<'a> {
    front: &'a Front,
    request: String,
    slow: TcpStream,
    witness: TcpStream,
}

impl<'a> Signed<'a> {
    fn new(front: &'a Front, signer: &Signer) -> Self {
        let request = get(&signer.link("/talks/7.mp4"));
        let witness = TcpStream::connect(front.address).unwrap();
        Signed { front, request, slow: narrow(front.address), witness }
    }
}

impl Stage for Signed<'_> {
    fn ask(&mut self, _number: u64) {
        self.slow.write_all(self.request.as_bytes()).unwrap();
    }

    fn counters(&self) -> String {
        self.front.signal("-USR1");
        self.front.logged("counters")
    }

    fn witness(&mut self) {
        self.witness.write_all(get("/talks/unsigned").as_bytes()).unwrap();
        assert_eq!(status(read_message(&mut self.witness)).0, 401);
    }

    fn slow(&self) -> &TcpStream {
        &self.slow
    }

    /// HTTP/1.1 answers in the order of the requests.
    fn read_answer(&mut self, before: u64) -> (u64, Vec<u8>) {
        let (code, head, body) = status(read_message(&mut self.slow));
        assert_eq!(code, 200, "{head}");
        (before + 1, body)
    }
}

/// Linux's `struct tcp_info` up to the window that a socket has told its peer (6.2 and later).
#[repr(C)]
#[derive(Clone, Copy)]
struct ReceiveInfo {
    _before: [u64; 29],
    rcv_wnd: u32,
    _rehash: u32,
}

#[derive(Clone, Copy)]
struct ReceiveInfoOption;

nix::getsockopt_impl!(
    ReceiveInfoOption,
    libc::IPPROTO_TCP,
    libc::TCP_INFO,
    ReceiveInfo,
    GetStruct<ReceiveInfo>
);

/// How much a client's system has told the front that it takes (bytes). Tells it now, if it is still to do so.
fn told_window(stream: &TcpStream) -> usize {
    socket2::SockRef::from(stream).set_tcp_quickack(true).unwrap();
    getsockopt(stream, ReceiveInfoOption).unwrap().rcv_wnd as usize
}

/// What marks the end of an answer's body.
fn end_mark(number: u64) -> Vec<u8> {
    format!("<end {number:03}>").into_bytes()
}

/// The body that answers a request.
fn body(number: u64, size: usize) -> Vec<u8> {
    let end = end_mark(number);
    let mut body = vec![b'y'; size - end.len()];
    body.extend(end);
    body
}

/// The sizes of answers: as many small ones as large ones.
struct Sizes(fastrand::Rng);

impl Sizes {
    fn next(&mut self) -> usize {
        let (least, most) = (*SIZES.start() as f64, *SIZES.end() as f64);
        (least * (most / least).powf(self.0.f64())).round() as usize
    }
}

/// What a client's system holds and its program has not read.
fn held(stream: &TcpStream) -> Vec<u8> {
    let mut bytes = vec![0; HELD_MOST];
    stream.set_nonblocking(true).unwrap();
    let held = stream.peek(&mut bytes).unwrap_or(0);
    stream.set_nonblocking(false).unwrap();
    bytes.truncate(held);
    bytes
}

/// A slow client and its answers.
struct Play<S> {
    stage: S,
    served: Receiver<Served>,
    sizes: Sizes,
    /// The bodies of its answers, by its requests' numbers.
    answers: BTreeMap<u64, Vec<u8>>,
    /// The first answer for which its system had no room, if there was one.
    first_unsent: Option<u64>,
}

/// How the room of a slow client's system ends.
#[derive(Debug, Clone, Copy)]
enum Fill {
    /// Behind answers of sizes by this seed, with so many further ones behind the first that does not come.
    Beyond { seed: u64, further: u64 },
    /// With the window that it has told: no answer is larger than that, until it is closed.
    Exactly,
}

impl<S: Stage> Play<S> {
    fn start(stage: S, served: Receiver<Served>, fill: Fill) -> Self {
        let seed = if let Fill::Beyond { seed, .. } = fill { seed } else { 0 };
        let sizes = Sizes(fastrand::Rng::with_seed(seed));
        let mut play = Play { stage, served, sizes, answers: BTreeMap::new(), first_unsent: None };
        match fill {
            Fill::Beyond { further, .. } => play.fill_beyond(further),
            Fill::Exactly => play.fill_exactly(),
        }
        play
    }

    /// The slow client asks, each time once the front has written the answer before, until its system has no room for an
    /// answer, and then so often again.
    fn fill_beyond(&mut self, further: u64) {
        self.first_unsent = (1..=ANSWERS_MOST).find(|&number| {
            let size = self.sizes.next();
            self.one_more(size);
            !self.has_come(number)
        });
        assert!(self.first_unsent.is_some(), "the harness: the socket has room for all");
        for _ in 0..further {
            let size = self.sizes.next();
            self.one_more(size);
        }
    }

    /// The slow client asks for what its system has told it takes, until that takes nothing. Its last answer fills the window to
    /// the byte, or is dropped on its way in, since the window promised more than there was room for.
    fn fill_exactly(&mut self) {
        let (mut number, mut window, mut overhead) = (0, usize::MAX, None);
        while window > 0 {
            number += 1;
            assert!(number < 10, "the harness: the window does not close");
            let whole = if window < 2 * EXACT_STEP { window } else { EXACT_STEP };
            // What an answer has beside its body, of which the first one tells. Of that, the body's size is in digits.
            let digits = whole.ilog10() as usize + 1;
            let size = overhead.map_or(EXACT_STEP, |overhead| whole - overhead - digits);
            let size = size + digits - (size.ilog10() as usize + 1);
            self.one_more(size);
            let came = held(self.stage.slow()).len();
            overhead.get_or_insert(came - size - (size.ilog10() as usize + 1));
            window = told_window(self.stage.slow());
        }
    }

    /// The slow client asks, and the front writes its answer, with so large a body.
    fn one_more(&mut self, size: usize) {
        let number = self.answers.len() as u64 + 1;
        self.stage.ask(number);
        let body = body(number, size);
        next(&self.served).hit(&body);
        self.answers.insert(number, body);
        let counted = format!(" served={number} ");
        eventually("the front counts the answer", || self.stage.counters().contains(&counted));
        // The front's one thread answers this behind that answer, and the system delivers them in this order.
        self.stage.witness();
    }

    /// Has the whole of an answer come to the slow client's system?
    fn has_come(&self, number: u64) -> bool {
        let mark = end_mark(number);
        held(self.stage.slow()).windows(mark.len()).any(|bytes| bytes == mark)
    }

    /// The slow client reads all that it was sent.
    fn read_answers(&mut self) {
        for before in 0..self.answers.len() as u64 {
            let (number, body) = self.stage.read_answer(before);
            assert!(self.answers.get(&number) == Some(&body), "another answer {number} than was sent");
        }
    }

    /// The slow client asks once more, and only then reads: each of its answers, once and whole.
    fn all_answers_come(mut self) {
        let has_room = self.first_unsent.is_some_and(|number| self.has_come(number));
        assert!(!has_room, "the harness: its system has made room by itself");
        let last = self.answers.len() as u64 + 1;
        self.stage.ask(last);
        let last_body = body(last, self.sizes.next());
        self.answers.insert(last, last_body.clone());
        let (served, mut read) = (self.served, BTreeMap::new());
        thread::scope(|scope| {
            scope.spawn(move || served.recv_timeout(PATIENCE).map(|mut asked| asked.hit(&last_body)));
            for before in 0..last {
                let (number, body) = self.stage.read_answer(before);
                assert!(read.insert(number, body).is_none(), "answer {number} came twice");
            }
        });
        assert!(read == self.answers, "other answers than were sent");
    }
}

/// Plays each seed with each number of further answers, and a window that is closed by the last answer, all at once, and
/// fails if one of them does.
fn play_all(name: &str, play: impl Fn(&str, Fill) + Sync) {
    let beyond = SEEDS.iter().flat_map(|&seed| FURTHER.map(|further| Fill::Beyond { seed, further }));
    let fills: Vec<Fill> = beyond.chain([Fill::Exactly]).collect();
    let failed: Vec<String> = thread::scope(|scope| {
        let started: Vec<_> = fills
            .iter()
            .map(|&fill| {
                let name = match fill {
                    Fill::Beyond { seed, further } => format!("{name}-seed-{seed}-further-{further}"),
                    Fill::Exactly => format!("{name}-exactly"),
                };
                let named = thread::Builder::new().name(name.clone());
                let play = &play;
                (name.clone(), named.spawn_scoped(scope, move || play(&name, fill)).unwrap())
            })
            .collect();
        started.into_iter().filter_map(|(name, play)| play.join().is_err().then_some(name)).collect()
    });
    assert!(failed.is_empty(), "{} plays of {}: {failed:?}", failed.len(), fills.len());
}

/// Plays with the platform's front: what closes idle connections acts once the slow client's system has no room, and is to
/// leave it alone.
fn play_platform(name: &str, change: fn(&mut Value), act: impl Fn(&Node, &mut Client) + Sync) {
    play_all(name, |name, fill| {
        let tmp = std::env::temp_dir().join(format!("onyxyoke-tmp-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&tmp).unwrap();
        let _removed = Removed(tmp.clone());
        let (cache, served) = cache_node();
        let members = vec![member(EDGE, "standard", cache), member(ORIGIN, "origin", cache)];
        let node = Node::start_in(name, members, change, Some(&tmp));
        let play = Play::start(Platform::new(&node), served, fill);
        act(&node, &mut idle_client(&node));
        play.all_answers_come();
    });
}

/// A folder that is removed at the end.
struct Removed(PathBuf);

impl Drop for Removed {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// Guards against a close by scarce memory that takes small answers for sent.
#[test]
fn scarce_memory_closes_no_connection_over_small_answers() {
    play_platform(
        "small-scarce",
        |_| (),
        |node, idle| {
            // Less than any program takes, so that nothing of the shared part is free.
            node.reload(|config| config["limits"]["memory_mb"] = json!(4));
            assert!(idle.closed(), "one that has become idle later is closed");
        },
    );
}

/// Guards against a crowd's newcomer that gets the place of a client with small answers unsent.
#[test]
fn a_crowd_closes_no_connection_over_small_answers() {
    play_platform(
        "small-crowd",
        |config| config["limits"]["sockets"] = json!(64),
        |node, idle| {
            let mut crowd = Vec::new();
            eventually("one that has become idle later is closed", || {
                crowd.push(idle_client(node));
                is_closed(idle)
            });
        },
    );
}

/// Guards against an idle time that runs while small answers are unsent.
#[test]
fn time_closes_no_connection_over_small_answers() {
    play_platform(
        "small-idle",
        |_| (),
        |_, idle| {
            assert!(idle.closed(), "one that has become idle later is closed");
        },
    );
}

/// Guards against an end of the front that cuts off a client with small answers unsent.
#[test]
fn the_end_closes_no_connection_over_small_answers() {
    play_platform(
        "small-end",
        |_| (),
        |node, idle| {
            node.signal("-TERM");
            assert!(idle.closed(), "one that is idle is closed");
        },
    );
}

/// Guards against a replaced front that cuts off a client with small answers unsent.
#[test]
fn a_replacement_closes_no_connection_over_small_answers() {
    let admin = |config: &mut Value| config["admin_addr"] = json!("127.0.0.1:0");
    play_platform("small-replaced", admin, |node, idle| {
        replaced(node, node.tmp.as_deref().unwrap());
        assert!(idle.closed(), "one that has become idle later is closed");
    });
}

/// Its last answers lay unsent, which nobody asked about, until it reads: guards against a replaced front that counts its time to
/// read from when they were written.
#[test]
fn a_replacement_leaves_the_time_to_read_answers_that_were_sent_only_just_now() {
    let name = "small-just-now";
    let tmp = std::env::temp_dir().join(format!("onyxyoke-tmp-{name}-{}", std::process::id()));
    std::fs::create_dir_all(&tmp).unwrap();
    let _removed = Removed(tmp.clone());
    let (cache, served) = cache_node();
    let members = vec![member(EDGE, "standard", cache), member(ORIGIN, "origin", cache)];
    let admin = |config: &mut Value| config["admin_addr"] = json!("127.0.0.1:0");
    let node = Node::start_in(name, members, admin, Some(&tmp));
    let mut play = Play::start(Platform::new(&node), served, Fill::Beyond { seed: SEEDS[0], further: 0 });
    let written_since = Instant::now();
    eventually("its time to read is over", || written_since.elapsed() > TIME_TO_READ_OVER);
    let last = play.answers.len() as u64;
    assert!(!play.has_come(last), "the harness: the last answer was sent before");
    let reading_since = Instant::now();
    play.read_answers();
    replaced(&node, &tmp);
    assert!(play.stage.slow.closed(), "it is closed once its client had the time to read");
    let had = reading_since.elapsed();
    assert!(had >= LEFT_TO_READ, "its client had {had:?}");
}

/// Guards against an end of the second front that cuts off a client with small answers unsent.
#[test]
fn the_end_closes_no_connection_of_the_second_front_over_small_answers() {
    play_all("small-signed", |name, fill| {
        let signer = talks();
        let (front, served) = stage(name, &[&signer], same);
        let play = Play::start(Signed::new(&front, &signer), served, fill);
        let mut idle = front.send(&get("/talks/unsigned"));
        assert_eq!(status(read_message(&mut idle)).0, 401);
        front.signal("-TERM");
        assert!(at_end(&mut idle).unwrap(), "one that is idle is closed");
        play.all_answers_come();
    });
}
