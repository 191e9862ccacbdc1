//! Purges of groups and signed links, whose path names no group. The front runs as a process of the platform
//! that serves signed links too.

mod stand_ins;
use stand_ins::*;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::sync::mpsc::Receiver;
use std::time::{SystemTime, UNIX_EPOCH};

const PATH: &str = "/talks/7.mp4";
/// Number of the last event that the front's configuration holds.
const KNOWN_EVENTS: u64 = 3;
/// The kind of a frame that purges a group.
const GROUP_PURGE: u8 = 4;

/// A front with one cache node, for the platform's clients and for signed links.
struct Front {
    platform: PlatformFront,
    signed: SocketAddr,
    served: Receiver<ReceivedCommand>,
    feed: TcpStream,
    last_event: u64,
    folder: PathBuf,
}

impl Front {
    fn start(name: &str) -> Front {
        let folder = make_folder(&format!("{name}-operator"));
        let (keys, operator) = (folder.join("keys.json"), folder.join("operator.toml"));
        write_keys(&keys, &[&talks()], &[]);
        let table = format!(
            "[signed]\nlisten = \"127.0.0.1:0\"\nbase = \"https://media.example.org\"\nkeys = \"{}\"\n\
             audience = \"media-1\"\n\n[[teams]]\nname = \"talks\"\nissuer = \"{TALKS_ISSUER}\"\n\
             classes = [\"media\"]\nprefixes = [{{ path = \"/talks\", class = \"media\" }}]\n\
             requests_per_s = 200\nin_flight = 64\nbytes_per_s = 20_000_000\n",
            keys.display()
        );
        std::fs::write(&operator, table).unwrap();
        let (cache, served) = cache_node();
        let members = vec![member(EDGE, "standard", cache), member(ORIGIN, "origin", cache)];
        let platform = PlatformFront::start_with_variables(
            name,
            members,
            |_| (),
            &[("ONYXYOKE_OPERATOR", operator.as_path())],
        );
        let signed = platform.logged("serves signed links on").rsplit(' ').next().unwrap().parse().unwrap();
        let (last_event, feed) = platform.feeds.recv_timeout(PATIENCE).unwrap();
        Front { platform, signed, served, feed, last_event, folder }
    }

    /// Asks for [`PATH`] by a signed link. Returns the command that reaches the cache node, which is answered
    /// with a hit.
    fn get_signed(&self) -> ReceivedCommand {
        let mut stream = TcpStream::connect(self.signed).unwrap();
        stream.write_all(get(&talks().link(PATH)).as_bytes()).unwrap();
        let mut command = next(&self.served);
        command.hit(b"the object");
        assert_eq!(status(read_message(&mut stream)).0, 200);
        command
    }

    /// A client of the platform asks for the object and names its group.
    fn get_naming_group(&self, asset: &str, group: u16) {
        let mut client = self.platform.connect();
        let fields = format!("call={asset},ttl=3000,row={asset},slice=0,set={group},org=talks");
        client.send(&["REQ", "1", "media", &fields, ""]);
        next(&self.served).hit(b"the object");
        assert_eq!(client.answer()[1], "ok");
    }

    /// Purges a group, and waits until the front has applied that.
    fn purge_group(&mut self, group: u16) {
        self.last_event += 1;
        let now_ms = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64;
        let payload = [&group.to_be_bytes()[..], &now_ms.to_be_bytes()].concat();
        let head = [&(9 + payload.len() as u32).to_be_bytes()[..], &self.last_event.to_be_bytes()].concat();
        self.feed.write_all(&[&head[..], &[GROUP_PURGE], &payload].concat()).unwrap();
        await_counter(&self.platform, &format!(" purges={} ", self.last_event - KNOWN_EVENTS));
    }
}

impl Drop for Front {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// Returns the greatest age of a copy that a command accepts (milliseconds); `None` accepts any.
fn age_limit(command: &ReceivedCommand) -> Option<u64> {
    command.field("maxage").map(|limit| limit.parse().unwrap()).filter(|limit| *limit > 0)
}

/// Guards against a request that names no group and is taken for one of group 0: after the purge of another
/// group, signed links were served copies from before it.
#[test]
fn a_signed_link_accepts_no_copy_from_before_the_purge_of_any_group() {
    for group in [0, 17, 300] {
        let mut front = Front::start(&format!("signed-purge-{group}"));
        assert_eq!(age_limit(&front.get_signed()), None, "before the purge");
        let told_at = std::time::Instant::now();
        front.purge_group(group);
        let limit = age_limit(&front.get_signed());
        let since_told_ms = told_at.elapsed().as_millis() as u64 + 1;
        assert!(limit.is_some_and(|limit| limit <= since_told_ms), "group {group}: {limit:?}");
    }
}

/// A client of the platform names the object's group: from then on only purges of that group count for signed
/// links, which spares the caches a transfer for each purge of another one.
#[test]
fn a_signed_link_heeds_only_its_own_group_once_a_client_has_named_it() {
    let mut front = Front::start("signed-purge-named");
    let asset = front.get_signed().field("asset").unwrap().to_owned();
    front.get_naming_group(&asset, 17);
    front.purge_group(18);
    assert_eq!(age_limit(&front.get_signed()), None, "another group was purged");
    front.purge_group(17);
    assert!(age_limit(&front.get_signed()).is_some(), "its own group was purged");
}

/// Guards against a group that one of two clients names wrongly.
#[test]
fn a_signed_link_heeds_all_groups_if_clients_have_named_different_ones() {
    let mut front = Front::start("signed-purge-contradictory");
    let asset = front.get_signed().field("asset").unwrap().to_owned();
    front.get_naming_group(&asset, 17);
    front.get_naming_group(&asset, 18);
    front.purge_group(19);
    assert!(age_limit(&front.get_signed()).is_some());
}
