//! Closing connections whose clients have read nothing for a while and were sent small answers meanwhile. The
//! client's receive buffer is full, so that its last answers stay unsent, or were dropped by the client's
//! kernel because the advertised window promised more than there was room for. The client can't see a FIN
//! behind them and may send another request: the front must keep the connection open, answer that request,
//! and deliver all answers whole. The tests force the order of events; none depends on timing.

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

/// The sizes of an answer's body (bytes).
const BODY_BYTES: RangeInclusive<usize> = 20..=4096;
/// Seeds of the random sizes; each is combined with each of [`FURTHER_ANSWERS`].
const SEEDS: [u64; 3] = [2, 8, 9];
/// How many answers follow the first one for which the client's receive buffer has no room.
const FURTHER_ANSWERS: [u64; 3] = [0, 1, 2];
/// The size of the answers before the last one, which closes the window exactly (bytes).
const EXACT_STEP_BYTES: usize = 2_000;
/// Longer than a client's time to read its last answer (1 s).
const TIME_TO_READ_OVER: Duration = Duration::from_millis(1_100);
/// The least time to read that a replaced front grants: its closing window (0.9 s), or slightly less.
const MIN_TIME_TO_READ: Duration = Duration::from_millis(800);
/// More answers of such sizes than a narrow receive buffer holds.
const MAX_ANSWERS: u64 = 500;
/// More than a narrow receive buffer holds (bytes).
const MAX_RECEIVED_BYTES: usize = 1 << 20;

/// A front with two clients: a slow one, which reads only at the end, and a witness, which reads each of its
/// answers.
trait Harness {
    /// The slow client sends a request. Its requests are numbered from 1.
    fn send_request(&mut self, number: u64);
    /// The counters that the front prints.
    fn counters(&self) -> String;
    /// The witness sends a request and reads its answer.
    fn query_witness(&mut self);
    /// The slow client's socket.
    fn slow(&self) -> &TcpStream;
    /// The slow client reads an answer after `read_before` others. Returns its request's number and the body.
    fn read_answer(&mut self, read_before: u64) -> (u64, Vec<u8>);
}

/// The front that the platform configures, with its clients.
struct Platform<'a> {
    front: &'a PlatformFront,
    slow: Client,
    witness: Client,
}

impl<'a> Platform<'a> {
    fn new(front: &'a PlatformFront) -> Self {
        Platform {
            front,
            slow: Client::new(connect_with_small_buffer(front.address)),
            witness: front.connect(),
        }
    }
}

impl Harness for Platform<'_> {
    fn send_request(&mut self, number: u64) {
        send_keyed_request(&mut self.slow, number);
    }

    fn counters(&self) -> String {
        self.front.signal("-USR1");
        self.front.logged("counters")
    }

    fn query_witness(&mut self) {
        self.witness.send(&["HEALTH", "8", ""]);
        self.witness.answer();
    }

    fn slow(&self) -> &TcpStream {
        &self.slow.stream
    }

    fn read_answer(&mut self, _read_before: u64) -> (u64, Vec<u8>) {
        let mut words = self.slow.answer();
        assert_eq!(words[1], "ok");
        (words[0].parse().unwrap(), words.swap_remove(3).into_bytes())
    }
}

/// The front for signed links, with its clients.
struct Signed<'a> {
    front: &'a SignedFront,
    request: String,
    slow: TcpStream,
    witness: TcpStream,
}

impl<'a> Signed<'a> {
    fn new(front: &'a SignedFront, signer: &Signer) -> Self {
        let request = get(&signer.link("/talks/7.mp4"));
        let witness = TcpStream::connect(front.address).unwrap();
        Signed { front, request, slow: connect_with_small_buffer(front.address), witness }
    }
}

impl Harness for Signed<'_> {
    fn send_request(&mut self, _number: u64) {
        self.slow.write_all(self.request.as_bytes()).unwrap();
    }

    fn counters(&self) -> String {
        self.front.signal("-USR1");
        self.front.logged("counters")
    }

    fn query_witness(&mut self) {
        self.witness.write_all(get("/talks/unsigned").as_bytes()).unwrap();
        assert_eq!(status(read_message(&mut self.witness)).0, 401);
    }

    fn slow(&self) -> &TcpStream {
        &self.slow
    }

    /// HTTP/1.1 sends answers in the order of their requests.
    fn read_answer(&mut self, read_before: u64) -> (u64, Vec<u8>) {
        let (code, head, body) = status(read_message(&mut self.slow));
        assert_eq!(code, 200, "{head}");
        (read_before + 1, body)
    }
}

/// Linux's `struct tcp_info` up to the window that a socket advertises to its peer (6.2 and later).
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

/// The receive window that the client's kernel has advertised to the front (bytes). Sends a pending
/// acknowledgement first.
fn advertised_window(stream: &TcpStream) -> usize {
    socket2::SockRef::from(stream).set_tcp_quickack(true).unwrap();
    getsockopt(stream, ReceiveInfoOption).unwrap().rcv_wnd as usize
}

/// The mark at the end of an answer's body.
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

/// Random sizes of bodies, log-uniform.
struct BodySizes(fastrand::Rng);

impl BodySizes {
    fn next(&mut self) -> usize {
        let (min, max) = (*BODY_BYTES.start() as f64, *BODY_BYTES.end() as f64);
        (min * (max / min).powf(self.0.f64())).round() as usize
    }
}

/// The bytes in a client's receive buffer, which its program has not read.
fn received(stream: &TcpStream) -> Vec<u8> {
    let mut bytes = vec![0; MAX_RECEIVED_BYTES];
    stream.set_nonblocking(true).unwrap();
    let length = stream.peek(&mut bytes).unwrap_or(0);
    stream.set_nonblocking(false).unwrap();
    bytes.truncate(length);
    bytes
}

/// A slow client whose receive buffer is full, and its answers.
struct SlowClient<H> {
    harness: H,
    served: Receiver<ReceivedCommand>,
    sizes: BodySizes,
    /// The bodies of its answers, by the numbers of its requests.
    answers: BTreeMap<u64, Vec<u8>>,
    /// The first answer for which its receive buffer had no room, if there was one.
    first_unsent: Option<u64>,
}

/// How the slow client's receive buffer is filled.
#[derive(Debug, Clone, Copy)]
enum Fill {
    /// With answers of random sizes until one doesn't fit, and then `further` answers.
    Beyond { seed: u64, further: u64 },
    /// With answers that are no larger than the advertised window, until that is closed.
    Exactly,
}

impl<H: Harness> SlowClient<H> {
    fn start(harness: H, served: Receiver<ReceivedCommand>, fill: Fill) -> Self {
        let seed = if let Fill::Beyond { seed, .. } = fill { seed } else { 0 };
        let sizes = BodySizes(fastrand::Rng::with_seed(seed));
        let mut client = SlowClient { harness, served, sizes, answers: BTreeMap::new(), first_unsent: None };
        match fill {
            Fill::Beyond { further, .. } => client.fill_beyond(further),
            Fill::Exactly => client.fill_exactly(),
        }
        client
    }

    /// Sends one request after the other until the client's receive buffer has no room for an answer, and
    /// then `further` more.
    fn fill_beyond(&mut self, further: u64) {
        self.first_unsent = (1..=MAX_ANSWERS).find(|&number| {
            let size = self.sizes.next();
            self.request_answer(size);
            !self.has_received(number)
        });
        assert!(self.first_unsent.is_some(), "test setup: the receive buffer has room for all answers");
        for _ in 0..further {
            let size = self.sizes.next();
            self.request_answer(size);
        }
    }

    /// Requests answers that fit the advertised window until that is closed. The last answer fills the window
    /// to the byte, or the client's kernel drops it because the window promised more than there was room for.
    fn fill_exactly(&mut self) {
        let (mut number, mut window, mut overhead) = (0, usize::MAX, None);
        while window > 0 {
            number += 1;
            assert!(number < 10, "test setup: the window does not close");
            let frame_bytes = if window < 2 * EXACT_STEP_BYTES { window } else { EXACT_STEP_BYTES };
            // The overhead, which the first answer shows, is what an answer has beside its body and the
            // digits of the body's size.
            let digits = frame_bytes.ilog10() as usize + 1;
            let size = overhead.map_or(EXACT_STEP_BYTES, |overhead| frame_bytes - overhead - digits);
            let size = size + digits - (size.ilog10() as usize + 1);
            self.request_answer(size);
            let received_bytes = received(self.harness.slow()).len();
            overhead.get_or_insert(received_bytes - size - (size.ilog10() as usize + 1));
            window = advertised_window(self.harness.slow());
        }
    }

    /// Sends a request, and waits until the front has written its answer with a body of this size.
    fn request_answer(&mut self, size: usize) {
        let number = self.answers.len() as u64 + 1;
        self.harness.send_request(number);
        let body = body(number, size);
        next(&self.served).hit(&body);
        self.answers.insert(number, body);
        let counter = format!(" served={number} ");
        eventually("the front counts the answer", || self.harness.counters().contains(&counter));
        // The front's one thread answers the witness after the slow client, and the kernel delivers in this
        // order.
        self.harness.query_witness();
    }

    /// Returns whether the client's receive buffer has all of an answer.
    fn has_received(&self, number: u64) -> bool {
        let mark = end_mark(number);
        received(self.harness.slow()).windows(mark.len()).any(|bytes| bytes == mark)
    }

    /// Reads all answers and checks their bodies.
    fn read_answers(&mut self) {
        for read_before in 0..self.answers.len() as u64 {
            let (number, body) = self.harness.read_answer(read_before);
            assert!(self.answers.get(&number) == Some(&body), "answer {number} differs from what was sent");
        }
    }

    /// Sends one more request, and only then reads. Checks that each answer arrives once and whole.
    fn assert_all_answers_arrive(mut self) {
        let has_room = self.first_unsent.is_some_and(|number| self.has_received(number));
        assert!(!has_room, "test setup: the receive buffer has room again");
        let last = self.answers.len() as u64 + 1;
        self.harness.send_request(last);
        let last_body = body(last, self.sizes.next());
        self.answers.insert(last, last_body.clone());
        let (served, mut read) = (self.served, BTreeMap::new());
        thread::scope(|scope| {
            scope.spawn(move || served.recv_timeout(PATIENCE).map(|mut request| request.hit(&last_body)));
            for read_before in 0..last {
                let (number, body) = self.harness.read_answer(read_before);
                assert!(read.insert(number, body).is_none(), "answer {number} arrived twice");
            }
        });
        assert!(read == self.answers, "the answers differ from what was sent");
    }
}

/// Runs a test for each [`Fill`] in parallel, and fails if one of the runs does.
fn run_all(name: &str, run: impl Fn(&str, Fill) + Sync) {
    let beyond = SEEDS.iter().flat_map(|&seed| FURTHER_ANSWERS.map(|further| Fill::Beyond { seed, further }));
    let fills: Vec<Fill> = beyond.chain([Fill::Exactly]).collect();
    let failed: Vec<String> = thread::scope(|scope| {
        let started: Vec<_> = fills
            .iter()
            .map(|&fill| {
                let name = match fill {
                    Fill::Beyond { seed, further } => format!("{name}-seed-{seed}-further-{further}"),
                    Fill::Exactly => format!("{name}-exactly"),
                };
                let builder = thread::Builder::new().name(name.clone());
                let run = &run;
                (name.clone(), builder.spawn_scoped(scope, move || run(&name, fill)).unwrap())
            })
            .collect();
        started.into_iter().filter_map(|(name, run)| run.join().is_err().then_some(name)).collect()
    });
    assert!(failed.is_empty(), "{} of {} runs failed: {failed:?}", failed.len(), fills.len());
}

/// Runs a test with the front that the platform configures: `close_idle` makes the front close an idle
/// connection once the slow client's receive buffer is full, and the slow client's connection must stay open.
fn run_platform(name: &str, change: fn(&mut Value), close_idle: impl Fn(&PlatformFront, &mut Client) + Sync) {
    run_all(name, |name, fill| {
        let tmp = std::env::temp_dir().join(format!("onyxyoke-tmp-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&tmp).unwrap();
        let _cleanup = FolderCleanup(tmp.clone());
        let (cache, served) = cache_node();
        let members = vec![member(EDGE, "standard", cache), member(ORIGIN, "origin", cache)];
        let front = PlatformFront::start_in_tmpdir(name, members, change, Some(&tmp));
        let slow_client = SlowClient::start(Platform::new(&front), served, fill);
        close_idle(&front, &mut idle_client(&front));
        slow_client.assert_all_answers_arrive();
    });
}

/// Removes a folder when it is dropped.
struct FolderCleanup(PathBuf);

impl Drop for FolderCleanup {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// Guards against closing a connection under scarce memory because small unsent answers count as sent.
#[test]
fn scarce_memory_keeps_connections_with_small_unsent_answers() {
    run_platform(
        "small-scarce",
        |_| (),
        |front, idle| {
            // Less than the program needs by itself, so that none of the shared memory is free.
            front.reload(|config| config["limits"]["memory_mb"] = json!(4));
            assert!(idle.ends_without_data(), "a connection that became idle later is closed");
        },
    );
}

/// Guards against evicting a connection with small unsent answers in favour of a new one.
#[test]
fn slot_eviction_keeps_connections_with_small_unsent_answers() {
    run_platform(
        "small-crowd",
        |config| config["limits"]["sockets"] = json!(64),
        |front, idle| {
            let mut new_clients = Vec::new();
            eventually("a connection that became idle later is closed", || {
                new_clients.push(idle_client(front));
                is_closed(idle)
            });
        },
    );
}

/// Guards against an idle timeout that runs while small answers are unsent.
#[test]
fn idle_timeout_keeps_connections_with_small_unsent_answers() {
    run_platform(
        "small-idle",
        |_| (),
        |_, idle| {
            assert!(idle.ends_without_data(), "a connection that became idle later is closed");
        },
    );
}

/// Guards against a shutdown that cuts off a client with small unsent answers.
#[test]
fn shutdown_keeps_connections_with_small_unsent_answers() {
    run_platform(
        "small-end",
        |_| (),
        |front, idle| {
            front.signal("-TERM");
            assert!(idle.ends_without_data(), "an idle connection is closed");
        },
    );
}

/// Guards against a replaced front that cuts off a client with small unsent answers.
#[test]
fn replaced_front_keeps_connections_with_small_unsent_answers() {
    let admin = |config: &mut Value| config["admin_addr"] = json!("127.0.0.1:0");
    run_platform("small-replaced", admin, |front, idle| {
        replace_front(front, front.tmp.as_deref().unwrap());
        assert!(idle.ends_without_data(), "a connection that became idle later is closed");
    });
}

/// The last answers are sent long after the front wrote them, when the client at last reads, and the front
/// doesn't check them in between. Guards against a replaced front that counts the client's time to read from
/// when they were written.
#[test]
fn replaced_front_counts_time_to_read_from_when_answers_were_sent() {
    let name = "small-just-now";
    let tmp = std::env::temp_dir().join(format!("onyxyoke-tmp-{name}-{}", std::process::id()));
    std::fs::create_dir_all(&tmp).unwrap();
    let _cleanup = FolderCleanup(tmp.clone());
    let (cache, served) = cache_node();
    let members = vec![member(EDGE, "standard", cache), member(ORIGIN, "origin", cache)];
    let admin = |config: &mut Value| config["admin_addr"] = json!("127.0.0.1:0");
    let front = PlatformFront::start_in_tmpdir(name, members, admin, Some(&tmp));
    let fill = Fill::Beyond { seed: SEEDS[0], further: 0 };
    let mut slow_client = SlowClient::start(Platform::new(&front), served, fill);
    let written_at = Instant::now();
    eventually("the time to read is over", || written_at.elapsed() > TIME_TO_READ_OVER);
    let last = slow_client.answers.len() as u64;
    assert!(!slow_client.has_received(last), "test setup: the last answer was sent already");
    let read_at = Instant::now();
    slow_client.read_answers();
    replace_front(&front, &tmp);
    assert!(slow_client.harness.slow.ends_without_data(), "the connection is closed after the time to read");
    let time_to_read = read_at.elapsed();
    assert!(time_to_read >= MIN_TIME_TO_READ, "the client had {time_to_read:?} to read");
}

/// Guards against a shutdown of the front for signed links that cuts off a client with small unsent answers.
#[test]
fn signed_front_shutdown_keeps_connections_with_small_unsent_answers() {
    run_all("small-signed", |name, fill| {
        let signer = talks();
        let (front, served) = start_signed_front(name, &[&signer], unchanged);
        let slow_client = SlowClient::start(Signed::new(&front, &signer), served, fill);
        let mut idle = front.send(&get("/talks/unsigned"));
        assert_eq!(status(read_message(&mut idle)).0, 401);
        front.signal("-TERM");
        assert!(at_end(&mut idle).unwrap(), "an idle connection is closed");
        slow_client.assert_all_answers_arrive();
    });
}
