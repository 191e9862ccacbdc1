//! The second front: HTTP/1.1 with signed links (URI Signing, RFC 9246), on the same core and under the same
//! rules as the first. Off unless an operator's file turns it on.

mod connection;
pub mod http;
pub mod keys;
pub mod token;
pub mod uri;

use crate::broker::{ClientRequest, Contracts, Input};
use crate::interface::*;
use crate::memory::{AccountOwner, Grant, Ledger, Purpose};
use crate::net::ListenerState;
use crate::{clock, log};
use base64::Engine;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use connection::Connection;
use keys::{KeyFile, Keys};
use std::cell::{Cell, RefCell};
use std::path::PathBuf;
use std::rc::Rc;
use token::Refusal;
use tokio::net::TcpListener;
use tokio::sync::mpsc::Sender;
use tokio::time::sleep_until;
use xxhash_rust::xxh3::xxh3_64;

/// The answer is to be out this long before the class's deadline (seconds).
const MARGIN: f64 = 0.02;

/// Bytes in base64url without padding.
fn base64url(text: &str) -> Option<Vec<u8>> {
    URL_SAFE_NO_PAD.decode(text).ok()
}

/// What all connections of this front share.
pub struct Front {
    /// To the broker.
    pub asks: Sender<Input>,
    /// Whose paths are whose.
    pub contracts: Rc<Contracts>,
    /// The classes, for their deadlines and effects.
    pub classes: Vec<Class>,
    /// Scheme and authority that links are signed with.
    pub base: String,
    /// Whom a token's `aud` must name.
    pub audience: Option<String>,
    /// Clocks may differ by so much (seconds).
    pub leeway: f64,
    /// The signers' keys.
    pub keys: Rc<RefCell<Keys>>,
    /// Most connections.
    pub connections: usize,
    /// Numbers for connections, shared by all fronts.
    pub numbers: Rc<Cell<u64>>,
    /// What holds connections, requests and answers.
    pub memory: Ledger,
    /// What a refusal of this front's own says (seconds).
    pub wait: f64,
}

/// Rereads the key file, of which `text` was read before, for ever. One that cannot be used changes nothing
/// and is told of once.
pub async fn watch_keys(
    path: PathBuf,
    text: String,
    keys: Rc<RefCell<Keys>>,
    (every, overlap): (f64, f64),
    mut held: Grant,
) {
    let mut last = Some(text);
    loop {
        sleep_until(clock::instant(clock::now() + every)).await;
        // A small local file; reading it does not hold up the thread.
        let text = std::fs::read_to_string(&path);
        let same = match (&text, &last) {
            (Ok(text), Some(last)) => text == last,
            (Err(_), None) => true,
            _ => false,
        };
        if same {
            continue;
        }
        let file = text.as_ref().map_err(ToString::to_string).and_then(|t| KeyFile::parse(t));
        match file {
            // The replaced ones stay for the overlap, so that both are held for a while.
            Ok(file) if held.resize(keys.borrow().footprint() + file.footprint()).is_err() => {
                log!("keys: no memory for the new set ('memory.signed'); the old set stays");
            }
            Ok(file) => {
                let now = clock::now();
                keys.borrow_mut().replace(now, now + overlap, file);
                let _ = held.resize(keys.borrow().footprint());
                log!("keys: {} in force; replaced ones verify for {overlap} s", keys.borrow().len());
            }
            Err(e) => log!("keys: {e}; the old set stays"),
        }
        last = text.ok();
    }
}

/// Accepts clients until the program ends, or the front takes no more.
pub async fn accept(listener: TcpListener, front: Rc<Front>, state: Rc<ListenerState>) {
    let (connections, memory) = (front.connections, front.memory.clone());
    let serve = move |socket, slot, grant| Connection::new(front.clone(), socket, slot, grant).serve();
    crate::net::accept(listener, state, connections, memory, serve).await;
}

/// A request as the core takes it, or the status that it is answered with at once.
type Admitted = Result<ClientRequest, Rejection>;

/// Turned away before the core hears of it.
#[derive(Debug, PartialEq)]
struct Rejection {
    status: u16,
    why: &'static str,
}

/// What a whole head takes may come out of the reserve: half heads, however many, must not keep it out.
const WHOLE_HEAD: AccountOwner = AccountOwner { purpose: Purpose::Signed, team: None, may_use_reserve: true };
/// There is no memory for it.
const BUSY: Rejection = Rejection { status: 503, why: "busy; try again" };

impl Front {
    /// Checks a request whose head arrived at `now`: its method, its target, its link. From here on it is
    /// authorised; neither an expiry nor a change of keys cuts what it asked for.
    fn admit(&self, now: f64, request: &http::Request) -> Admitted {
        let denied = |status, why| Err(Rejection { status, why });
        let Some(target) = uri::target(&request.target) else { return denied(400, "malformed target") };
        let Some((team, class)) = self.contracts.route(&target.path) else {
            return denied(403, "no contract covers the path");
        };
        let Some(rules) = self.classes.get(usize::from(class.0)) else { return denied(403, "no class") };
        let Ok(_check) = self.memory.acquire(WHOLE_HEAD, token::CHECK) else {
            return Err(BUSY);
        };
        let cookie = request.field("cookie").and_then(uri::cookie).map(str::to_owned);
        let checked = target.token.or(cookie).ok_or(Refusal::Missing).and_then(|token| {
            let uri = format!("{}{}", self.base, target.uri);
            let issuer = &self.contracts.0[usize::from(team)].issuer;
            let (audience, leeway) = (self.audience.as_deref(), self.leeway);
            let want = token::Check { uri: &uri, issuer, audience, leeway, now };
            token::check(&token, &self.keys.borrow(), &want)
        });
        match checked {
            Ok(()) => {}
            Err(Refusal::Missing) => return denied(401, "a signed link is needed"),
            Err(refusal) => return denied(403, why(refusal)),
        }
        let method_fits = match &*request.method {
            "GET" | "HEAD" => !rules.uncacheable,
            "POST" => rules.uncacheable,
            _ => false,
        };
        if !method_fits {
            return denied(405, "the method does not fit the path's class");
        }
        let key = request.field("idempotency-key").map(|k| k.trim_matches('"'));
        let plain = |k: &&str| {
            !k.is_empty()
                && k.len() <= 128
                && k.bytes().all(|b| b.is_ascii_alphanumeric() || b"-_.".contains(&b))
        };
        if key.is_some_and(|k| !plain(&k)) || key.is_none() && matches!(rules.effect, Effect::Keyed(_)) {
            return denied(400, "an Idempotency-Key is needed, of letters, digits, '-', '_' and '.'");
        }
        let etag = request.field("if-none-match").map(|t| t.strip_prefix("W/").unwrap_or(t));
        let etag = etag.and_then(|t| t.strip_prefix('"')?.strip_suffix('"'));
        // One object is one copy, whatever token it is asked for with.
        let object = xxh3_64(target.path.as_bytes());
        Ok(ClientRequest {
            class,
            object: ObjectId(object),
            deadline: now + rules.deadline - MARGIN,
            team: Some(team),
            call: format!("{:016x}", fastrand::u64(..)).into(),
            asset: format!("{object:016x}").into(),
            key: key.map(Into::into),
            client_etag: etag.filter(plain).map(Into::into),
            path: Some(target.path.into()),
            ..ClientRequest::default()
        })
    }
}

/// What a refused client is told; the token itself is never repeated.
fn why(refusal: Refusal) -> &'static str {
    match refusal {
        Refusal::Missing => "a signed link is needed",
        Refusal::Malformed => "the token cannot be read",
        Refusal::Signature => "the signature does not verify",
        Refusal::Expired => "the link has expired",
        Refusal::Early => "the link is not yet valid",
        Refusal::Issuer => "the issuer may not sign for this path",
        Refusal::Audience => "the link is for another audience",
        Refusal::Uri => "the link is for another URI",
        Refusal::Claim => "the token has a claim that cannot be honoured, or lacks one that is needed",
    }
}
