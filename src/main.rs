//! One real front: reads its configuration, listens, wires the tasks together, and ends when it is told to.
#![forbid(unsafe_code)]

use onyxyoke::broker::{self, Broker, Contracts, DiscoveryUpdate, Input, Inputs, Metrics, Setup, Shutdown};
use onyxyoke::config::{self, Classes, Config, LoadedSettings};
use onyxyoke::interface::Class;
use onyxyoke::memory::{AccountOwner, Ledger, Purpose};
use onyxyoke::net::{ListenerState, Reloadable, admin, clients, coordinator, pool};
use onyxyoke::signed::keys::{KeyFile, Keys};
use onyxyoke::state::{StateStore, StateWorker, Succession};
use onyxyoke::turns::{self, TaskKind, track_polls};
use onyxyoke::{clock, log, signed, watch, xds};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::process::ExitCode;
use std::rc::Rc;
use tokio::net::TcpListener;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::Notify;
use tokio::sync::mpsc::{Sender, channel, unbounded_channel};
use tokio::task::{JoinSet, LocalSet, spawn_local};
use tokio::time::sleep_until;

/// Tells what is live, and gives what was freed back to the system: the accounts are held against both.
#[global_allocator]
static ALLOCATOR: tikv_jemallocator::Jemalloc = tikv_jemallocator::Jemalloc;

/// After SIGTERM new connections keep coming for 0.4 s, and requests on open ones for 0.2 s more; what comes
/// up to 0.7 s after it is owed an answer. So long, and a little over, everything is taken (seconds).
const CLOSING: f64 = 0.9;
/// SIGKILL comes no sooner after SIGTERM than the longest deadline, of which so much counts at most, and this
/// (seconds).
const KILL: (f64, f64) = (3.0, 0.7);
/// So long before that everything is answered, and everything written (seconds).
const BEFORE: (f64, f64) = (0.45, 0.15);
/// After SIGTERM it is looked this often whether another process of the front has started (seconds).
const SUCCESSOR_CHECK_INTERVAL: f64 = 0.02;
/// Requests that wait for the broker's turn, as far as their account has room for so many; beyond, connections are
/// not read from.
const ASKS: usize = 256;
/// Share of the descriptors for cache nodes.
const SHARE: usize = 3;

fn main() -> ExitCode {
    #[cfg(feature = "planted")]
    onyxyoke::planted::start();
    let ended = turns::runtime().and_then(|runtime| {
        LocalSet::new().block_on(&runtime, async {
            // Before anything else: the default of each signal would end the process, also while it reads its files.
            let signals = Signals::register()?;
            match read() {
                Ok(config) => run(config, signals).await.map(|()| ExitCode::SUCCESS),
                Err(message) => {
                    eprintln!("onyxyoke: {message}");
                    Ok(ExitCode::from(2))
                }
            }
        })
    });
    ended.unwrap_or_else(|e| {
        eprintln!("onyxyoke: {e}");
        ExitCode::FAILURE
    })
}

/// What the system tells the process.
struct Signals {
    terminate: Signal,
    hangup: Signal,
    usr1: Signal,
}

impl Signals {
    fn register() -> std::io::Result<Self> {
        let (terminate, hangup) = (signal(SignalKind::terminate())?, signal(SignalKind::hangup())?);
        Ok(Signals { terminate, hangup, usr1: signal(SignalKind::user_defined1())? })
    }
}

/// Reads the files that `NODE_CONFIG` (the platform's) and `ONYXYOKE_OPERATOR` (the operator's) name.
fn read() -> Result<Config, String> {
    let file = |name: &str| match std::env::var(name) {
        Err(_) => Ok(None),
        Ok(path) => match std::fs::read(&path) {
            Ok(bytes) => Ok(Some((path, bytes))),
            Err(e) => Err(format!("{name}: cannot read '{path}': {e}")),
        },
    };
    let (platform, operator) = (file("NODE_CONFIG")?, file("ONYXYOKE_OPERATOR")?);
    if platform.is_none() && operator.is_none() {
        return Err("neither NODE_CONFIG nor ONYXYOKE_OPERATOR is set".into());
    }
    let text = |(path, bytes): (String, Vec<u8>)| match String::from_utf8(bytes) {
        Ok(text) => Ok((path, text)),
        Err(_) => Err(format!("{path}: the file is no text")),
    };
    let operator = operator.map(text).transpose()?;
    let platform = platform.as_ref().map(|(path, bytes)| (path.as_str(), bytes.as_slice()));
    let operator = operator.as_ref().map(|(path, text)| (path.as_str(), text.as_str()));
    let mut config = config::read(platform, operator)?;
    config::override_admin_address(std::env::var("NODE_ADMIN_ADDR").ok().as_deref(), &mut config)?;
    Ok(config)
}

/// Where news comes from: what a reload may change.
struct Feed {
    discovery: Option<Rc<Reloadable<(SocketAddr, f64)>>>,
    coordinator: Option<Rc<Reloadable<SocketAddr>>>,
    memory: Ledger,
    /// The digest of the settings in force.
    settings: Rc<Cell<u64>>,
}

impl Feed {
    /// Reads the files again. An unusable one changes nothing; what cannot change while running is told, and
    /// always held against what is in force.
    fn reload(&self, loaded: &LoadedSettings) {
        let later = match read() {
            Ok(later) => later,
            Err(message) => return log!("reload: {message}; the old settings stay"),
        };
        if let (Some(live), Some(xds)) = (&self.discovery, &later.xds) {
            live.set((xds.server, xds.refresh));
        }
        if let (Some(live), Some(address)) = (&self.coordinator, later.coordinator) {
            live.set(address);
        }
        if *self.memory.accounts().plan() != later.memory {
            self.memory.replan(later.memory);
        }
        let fixed = loaded.restart_required(&later.loaded);
        match fixed.is_empty() {
            true => {
                self.settings.set(later.loaded.digest());
                log!("reload: the settings are in force");
            }
            false => log!("reload: '{}' cannot change before the next start", fixed.join("', '")),
        }
    }
}

/// What both fronts share.
struct Fronts {
    asks: Sender<Input>,
    classes: Rc<Classes>,
    contracts: Rc<Contracts>,
    ready: Rc<Cell<bool>>,
    metrics: Rc<Metrics>,
    memory: Ledger,
    numbers: Rc<Cell<u64>>,
    /// Most connections of one front.
    connections: usize,
    /// What a refusal of a front's own says (seconds).
    wait: f64,
    listening: Rc<ListenerState>,
    served: JoinSet<()>,
}

impl Fronts {
    /// Serves RESP clients.
    fn serve_clients(&mut self, name: &str, listener: TcpListener) -> std::io::Result<()> {
        let front = clients::ClientContext {
            broker_inputs: self.asks.clone(),
            classes: self.classes.clone(),
            contracts: self.contracts.clone(),
            ready: self.ready.clone(),
            max_connections: self.connections,
            numbers: self.numbers.clone(),
            memory: self.memory.clone(),
            pushback: self.wait,
            metrics: self.metrics.clone(),
        };
        log!("{name} serves on {}", listener.local_addr()?);
        let accepting = clients::accept(listener, Rc::new(front), self.listening.clone());
        self.served.spawn_local(track_polls(TaskKind::Listener, accepting));
        Ok(())
    }

    /// Serves signed links, and reads the signers' keys again and again.
    fn serve_signed(
        &mut self,
        name: &str,
        listener: TcpListener,
        signed: config::Signed,
        classes: Vec<Class>,
    ) -> std::io::Result<()> {
        let wrong = |e: String| std::io::Error::other(format!("'signed.keys': {e}"));
        let text = std::fs::read_to_string(&signed.keys).map_err(|e| wrong(e.to_string()))?;
        let mut keys = Keys::default();
        keys.replace(clock::now(), 0.0, KeyFile::parse(&text).map_err(wrong)?);
        let held = self.memory.acquire(AccountOwner::of(Purpose::Signed), keys.footprint());
        let held = held.map_err(|_| wrong("they are larger than 'memory.signed' allows".into()))?;
        let keys = Rc::new(RefCell::new(keys));
        let times = (signed.keys_refresh, signed.key_overlap);
        let watching = signed::watch_keys(signed.keys, text, keys.clone(), times, held);
        spawn_local(track_polls(TaskKind::Keys, watching));
        let front = signed::Front {
            asks: self.asks.clone(),
            contracts: self.contracts.clone(),
            classes,
            base: signed.base,
            audience: signed.audience,
            leeway: signed.leeway,
            keys,
            connections: self.connections,
            numbers: self.numbers.clone(),
            memory: self.memory.clone(),
            wait: self.wait,
        };
        log!("{name} serves signed links on {}", listener.local_addr()?);
        let accepting = signed::accept(listener, Rc::new(front), self.listening.clone());
        self.served.spawn_local(track_polls(TaskKind::Listener, accepting));
        Ok(())
    }
}

/// Where clients connect.
struct Listeners {
    clients: Option<TcpListener>,
    signed: Option<TcpListener>,
}

impl Listeners {
    fn open(config: &Config) -> std::io::Result<Self> {
        let clients = config.listen.map(onyxyoke::net::listen).transpose()?;
        let signed = config.signed.as_ref().map(|s| onyxyoke::net::listen(s.listen)).transpose()?;
        Ok(Listeners { clients, signed })
    }

    fn all(&self) -> impl Iterator<Item = &TcpListener> {
        [&self.clients, &self.signed].into_iter().flatten()
    }

    fn addresses(&self) -> std::io::Result<Vec<SocketAddr>> {
        self.all().map(TcpListener::local_addr).collect()
    }
}

/// What the process keeps beside others of its front.
struct Kept {
    store: StateStore,
    /// Cordons that were there at the start.
    cordons: Option<onyxyoke::membership::SavedOverrides>,
    succession: Succession,
}

impl Kept {
    /// Finds what an earlier process of the front has left. One that is closing may still listen: it is to be given no more
    /// clients.
    fn open(name: &str, listeners: &Listeners) -> std::io::Result<Self> {
        let (store, cordons) = StateStore::open(std::env::temp_dir(), name, &listeners.addresses()?);
        let succession = store.succession();
        if !succession.has_successor() {
            listeners.all().for_each(onyxyoke::net::prefer_youngest);
        }
        Ok(Kept { store, cordons, succession })
    }
}

async fn run(config: Config, signals: Signals) -> std::io::Result<()> {
    let settings = Rc::new(Cell::new(config.loaded.digest()));
    let (news_in, news) = unbounded_channel();
    let (operators_in, operators) = unbounded_channel();
    let (reports_in, reports) = unbounded_channel();
    let (commands_in, commands) = unbounded_channel();
    let waiting = config.memory.limits[Purpose::Waiting as usize].cap;
    let (asks_in, asks) = channel((waiting / broker::REQUEST_OVERHEAD_BYTES).clamp(1, ASKS));
    let (close, closes) = unbounded_channel();
    let print = Rc::new(Notify::new());
    let ready = Rc::new(Cell::new(false));
    let memory = Ledger::new(config.memory, config.contracts.0.len());
    let longest = config.settings.classes.iter().map(|c| c.deadline).fold(0.0, f64::max);

    let listeners = Listeners::open(&config)?;
    // Cordons are kept where the process that replaces this one finds them; with no operators' socket there are none.
    let kept = config.admin.map(|_| Kept::open(&config.name, &listeners)).transpose()?;
    if kept.is_none() {
        listeners.all().for_each(onyxyoke::net::share_by_hash);
    }
    let classes = Rc::new(config.classes);
    let mut fronts = Fronts {
        asks: asks_in,
        metrics: Metrics::new(classes.names.clone()),
        classes,
        contracts: Rc::new(config.contracts),
        ready: ready.clone(),
        memory: memory.clone(),
        numbers: Rc::default(),
        // Clients hold a third at most; what they have just closed may not be gone here yet.
        connections: config.max_descriptors * 2 / 5 / listeners.all().count().max(1),
        wait: config.settings.max_retry_after,
        listening: ListenerState::new(),
        served: JoinSet::new(),
    };
    if let Some(listener) = listeners.clients {
        fronts.serve_clients(&config.name, listener)?;
    }
    if let (Some(listener), Some(signed)) = (listeners.signed, config.signed) {
        fronts.serve_signed(&config.name, listener, signed, config.settings.classes.clone())?;
    }
    let (mut cordons, mut succession) = (None, None);
    if let (Some(address), Some(mut kept)) = (config.admin, kept) {
        let listener = TcpListener::bind(address).await?;
        log!("{} answers operators on {}", config.name, listener.local_addr()?);
        kept.succession.register();
        let context = admin::AdminContext {
            ready: ready.clone(),
            metrics: fronts.metrics.clone(),
            operators: operators_in.clone(),
            store: StateWorker::start(kept.store),
            settings: settings.clone(),
            build: Cell::new(None),
        };
        spawn_local(track_polls(TaskKind::Operators, admin::serve(listener, Rc::new(context))));
        (cordons, succession) = (kept.cordons, Some(kept.succession));
    }
    drop(operators_in);
    let limits = pool::PoolLimits {
        connect_timeout: config.connect_timeout,
        idle_timeout: config.node_idle_timeout / 2.0,
        max_requests_per_connection: config.max_requests_per_connection,
        max_connections: (config.max_descriptors / SHARE).max(1),
        handshake_cost: config.handshake_cost,
    };
    spawn_local(track_polls(TaskKind::Pool, pool::run(commands, reports_in, limits, memory.clone())));
    spawn_local(track_polls(TaskKind::Memory, watch::memory(memory.clone())));

    let seed = config.seed;
    let mut broker = Broker::new(Setup {
        seed,
        settings: config.settings,
        class_names: fronts.classes.names.clone(),
        contracts: fronts.contracts.clone(),
        memory: memory.clone(),
        metrics: fronts.metrics.clone(),
    });
    // Before the first list: a node that was cordoned is never seen ready.
    if let Some(cordons) = cordons {
        broker.restore_overrides(clock::now(), &cordons);
    }
    let (last, events) = config.initial_updates;
    take_known(&mut broker, events);
    let feed = Feed {
        discovery: config.xds.map(|xds| Reloadable::new((xds.server, xds.refresh))),
        coordinator: config.coordinator.map(Reloadable::new),
        memory: memory.clone(),
        settings,
    };
    if let Some(server) = &feed.discovery {
        let following = xds::follow(server.clone(), config.name, config.names, news_in, memory.clone());
        spawn_local(track_polls(TaskKind::Discovery, following));
    } else if let Some(address) = &feed.coordinator {
        let following = coordinator::follow(address.clone(), last, seed, news_in, memory.clone());
        spawn_local(track_polls(TaskKind::Discovery, following));
    }
    let inputs = Inputs {
        updates: news,
        operators,
        reports,
        requests: asks,
        ready: ready.clone(),
        print: print.clone(),
        close: closes,
    };
    let mut core = spawn_local(track_polls(TaskKind::Broker, broker::run(broker, inputs, commands_in)));
    // The core ends with the last connection that may ask.
    let Fronts { listening, mut served, asks, .. } = fronts;
    drop(asks);

    tokio::select! {
        () = until_terminated(signals, &print, &feed, &config.loaded) => {}
        ended = &mut core => return ended.map_err(std::io::Error::other),
    }
    // Health says no from here on, but whoever comes is still served until the closing window is over and
    // all that was taken is answered; what would take longer is failed before SIGKILL may come.
    ready.set(false);
    let told = clock::now();
    let killed = told + longest.min(KILL.0) + KILL.1;
    let _ = close.send(Shutdown::AnswerBy(killed - BEFORE.0));
    match succession {
        Some(succession) => serve_or_hand_over(succession, &listening, told + CLOSING).await,
        None => {
            sleep_until(clock::instant(told + CLOSING)).await;
            // There may be a successor, which could not tell.
            listening.hand_over();
        }
    }
    close_connections(&mut served, &listening, killed).await;
    let _ = close.send(Shutdown::WhenAnswered);
    core.await.map_err(std::io::Error::other)?;
    write_last_answers(&memory, killed).await;
    Ok(())
}

/// Takes in what was known at the start; the first whole list is an earlier one.
fn take_known(broker: &mut Broker, events: Vec<DiscoveryUpdate>) {
    let mut first = true;
    for event in events {
        let cached = first && matches!(event, DiscoveryUpdate::NodeList { .. });
        first &= !cached;
        broker.apply_update(clock::now(), event, cached);
    }
}

/// Heeds signals until the process is told to end.
async fn until_terminated(mut signals: Signals, print: &Notify, feed: &Feed, loaded: &LoadedSettings) {
    loop {
        tokio::select! {
            Some(()) = signals.terminate.recv() => {
                #[cfg(feature = "planted")]
                if onyxyoke::planted::has("deaf") {
                    continue;
                }
                return;
            }
            Some(()) = signals.usr1.recv() => print.notify_one(),
            Some(()) = signals.hangup.recv() => feed.reload(loaded),
        }
    }
}

/// Each connection closes in steps: what was taken from it is answered, and then it ends in order. A process that ended over
/// open ones would reset those on which something comes just then, with the last answers. One whose client never pauses is
/// idle only once the core has answered all it took.
async fn close_connections(served: &mut JoinSet<()>, listening: &ListenerState, killed: f64) {
    listening.close();
    let gone = async { while served.join_next().await.is_some() {} };
    let time_is_up = async {
        sleep_until(clock::instant(killed - BEFORE.0)).await;
        listening.end();
        sleep_until(clock::instant(killed - BEFORE.1)).await;
    };
    tokio::select! {
        () = gone => {}
        () = time_is_up => {}
    }
}

/// The last answers are with their connections' tasks, which get the time to write them.
async fn write_last_answers(memory: &Ledger, killed: f64) {
    loop {
        sleep_until(clock::instant(clock::now() + 0.05)).await;
        if memory.accounts().used(Purpose::Unread) == 0 || clock::now() > killed - BEFORE.1 {
            return;
        }
    }
}

/// Serves until the closing window is over. A successor takes the clients, also one that starts meanwhile: nothing is to wait
/// for this process at its listener or on an idle connection. One that was ended itself is none: this process takes clients to
/// the end of the window, as if there had never been another.
async fn serve_or_hand_over(mut succession: Succession, listening: &ListenerState, until: f64) {
    let mut handed_over = false;
    loop {
        if !handed_over && succession.has_successor() {
            log!("a newer process serves beside this one: listener closing");
            listening.hand_over();
            handed_over = true;
        }
        succession.unregister();
        let now = clock::now();
        if now >= until {
            return;
        }
        sleep_until(clock::instant(until.min(now + SUCCESSOR_CHECK_INTERVAL))).await;
    }
}
