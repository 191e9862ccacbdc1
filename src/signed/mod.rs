//! The signed-link front: HTTP/1.1 with signed links (URI Signing, RFC 9246), on the same broker and under
//! the same policy as the platform's own protocol. Disabled unless the operator's file has a table `signed`.

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

/// The broker's deadline is this long before the class's, so that the answer can still be sent in time
/// (seconds).
const ANSWER_MARGIN_S: f64 = 0.02;

/// Decodes base64url without padding.
fn base64url(text: &str) -> Option<Vec<u8>> {
    URL_SAFE_NO_PAD.decode(text).ok()
}

/// What all connections of the signed-link front share.
pub struct Front {
    /// Sends requests to the broker.
    pub broker_inputs: Sender<Input>,
    /// Contracts, which map paths to teams and classes.
    pub contracts: Rc<Contracts>,
    /// Request classes, for their deadlines and effects.
    pub classes: Vec<Class>,
    /// Scheme and authority of the signed URIs.
    pub base: String,
    /// Audience that a token's `aud` must contain.
    pub audience: Option<String>,
    /// Permitted difference between clocks (seconds).
    pub leeway_s: f64,
    /// The signers' keys.
    pub keys: Rc<RefCell<Keys>>,
    /// Maximum number of connections.
    pub max_connections: usize,
    /// Number of the last connection, shared by all listeners of the process.
    pub last_connection_number: Rc<Cell<u64>>,
    /// Memory accounts of connections, requests and answers.
    pub memory: Ledger,
    /// `Retry-After` of requests that this front rejects for lack of memory (seconds).
    pub retry_after_s: f64,
}

/// Rereads the key file periodically and never returns. `text` is the content that was loaded at the start. A
/// file that cannot be used changes nothing and is logged once.
pub async fn watch_keys(
    path: PathBuf,
    text: String,
    keys: Rc<RefCell<Keys>>,
    (interval_s, overlap_s): (f64, f64),
    mut grant: Grant,
) {
    let mut last_text = Some(text);
    loop {
        sleep_until(clock::instant(clock::now() + interval_s)).await;
        // The file is small and local: a blocking read does not stall the thread noticeably.
        let text = std::fs::read_to_string(&path);
        let unchanged = match (&text, &last_text) {
            (Ok(text), Some(last_text)) => text == last_text,
            (Err(_), None) => true,
            _ => false,
        };
        if unchanged {
            continue;
        }
        let file = text.as_ref().map_err(ToString::to_string).and_then(|t| KeyFile::parse(t));
        match file {
            // Replaced keys stay valid for the overlap, so both sets are in memory for a while.
            Ok(file) if grant.resize(keys.borrow().footprint() + file.footprint()).is_err() => {
                log!("keys: not enough memory for the new set ('memory.signed'); the old set stays");
            }
            Ok(file) => {
                let now = clock::now();
                keys.borrow_mut().replace(now, now + overlap_s, file);
                let _ = grant.resize(keys.borrow().footprint());
                log!("keys: {} in force; replaced keys stay valid for {overlap_s} s", keys.borrow().len());
            }
            Err(e) => log!("keys: {e}; the old set stays"),
        }
        last_text = text.ok();
    }
}

/// Accepts connections until the process ends or the listener is stopped.
pub async fn accept(listener: TcpListener, front: Rc<Front>, state: Rc<ListenerState>) {
    let (connections, memory) = (front.max_connections, front.memory.clone());
    let serve = move |socket, slot, grant| Connection::new(front.clone(), socket, slot, grant).serve();
    crate::net::accept(listener, state, connections, memory, serve).await;
}

/// A request for the broker, or the rejection that is sent at once.
type AdmissionResult = Result<ClientRequest, Rejection>;

/// A request's rejection before it reaches the broker.
#[derive(Debug, PartialEq)]
struct Rejection {
    status: u16,
    reason: &'static str,
}

/// Owner of the memory of a complete head. It may use the reserve, so that partial heads, however many,
/// cannot block it.
const COMPLETE_HEAD_OWNER: AccountOwner =
    AccountOwner { purpose: Purpose::Signed, team: None, may_use_reserve: true };
/// Rejection for lack of memory.
const OUT_OF_MEMORY: Rejection = Rejection { status: 503, reason: "busy; try again" };

impl Front {
    /// Checks the method, target and link of a request whose head arrived at `now`. An admitted request stays
    /// authorised to its end: neither the link's expiry nor a change of keys interrupts it.
    fn admit(&self, now: f64, request: &http::Request) -> AdmissionResult {
        let denied = |status, reason| Err(Rejection { status, reason });
        let Some(target) = uri::parse_target(&request.target) else { return denied(400, "malformed target") };
        let Some((team, class)) = self.contracts.route(&target.path) else {
            return denied(403, "no contract covers the path");
        };
        let Some(rules) = self.classes.get(usize::from(class.0)) else { return denied(403, "no class") };
        let Ok(_check_grant) = self.memory.acquire(COMPLETE_HEAD_OWNER, token::CHECK_MEMORY_BYTES) else {
            return Err(OUT_OF_MEMORY);
        };
        let cookie = request.field("cookie").and_then(uri::token_from_cookie).map(str::to_owned);
        let verdict = target.token.or(cookie).ok_or(Refusal::Missing).and_then(|token| {
            let uri = format!("{}{}", self.base, target.uri);
            let issuer = &self.contracts.0[usize::from(team)].issuer;
            let (audience, leeway_s) = (self.audience.as_deref(), self.leeway_s);
            let context = token::CheckContext { uri: &uri, issuer, audience, leeway_s, now };
            token::check(&token, &self.keys.borrow(), &context)
        });
        match verdict {
            Ok(()) => {}
            Err(Refusal::Missing) => return denied(401, "a signed link is needed"),
            Err(refusal) => return denied(403, refusal_reason(refusal)),
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
        let is_plain = |k: &&str| {
            !k.is_empty()
                && k.len() <= 128
                && k.bytes().all(|b| b.is_ascii_alphanumeric() || b"-_.".contains(&b))
        };
        if key.is_some_and(|k| !is_plain(&k)) || key.is_none() && matches!(rules.effect, Effect::Keyed(_)) {
            return denied(400, "an Idempotency-Key is needed, of letters, digits, '-', '_' and '.'");
        }
        let etag = request.field("if-none-match").map(|t| t.strip_prefix("W/").unwrap_or(t));
        let etag = etag.and_then(|t| t.strip_prefix('"')?.strip_suffix('"'));
        // The object's identity excludes the token, so that caches hold one copy for all links.
        let object = xxh3_64(target.path.as_bytes());
        Ok(ClientRequest {
            class,
            object: ObjectId(object),
            deadline: now + rules.deadline - ANSWER_MARGIN_S,
            team: Some(team),
            call: format!("{:016x}", fastrand::u64(..)).into(),
            asset: format!("{object:016x}").into(),
            key: key.map(Into::into),
            client_etag: etag.filter(is_plain).map(Into::into),
            path: Some(target.path.into()),
            ..ClientRequest::default()
        })
    }
}

/// The text that is sent to a refused client. It never repeats the token.
fn refusal_reason(refusal: Refusal) -> &'static str {
    match refusal {
        Refusal::Missing => "a signed link is needed",
        Refusal::Malformed => "the token cannot be read",
        Refusal::BadSignature => "the signature does not verify",
        Refusal::Expired => "the link has expired",
        Refusal::NotYetValid => "the link is not yet valid",
        Refusal::WrongIssuer => "the issuer may not sign for this path",
        Refusal::WrongAudience => "the link is for another audience",
        Refusal::UriMismatch => "the link is for another URI",
        Refusal::UnacceptableClaims => {
            "the token has a claim that cannot be honoured, or lacks one that is needed"
        }
    }
}
