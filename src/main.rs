//! The front as a process: reads the configuration, opens the listeners, starts the tasks, and shuts down on
//! SIGTERM.
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

/// An allocator that reports its live memory and returns freed memory to the system; the accounts are checked
/// against both.
#[global_allocator]
static ALLOCATOR: tikv_jemallocator::Jemalloc = tikv_jemallocator::Jemalloc;

/// Time after SIGTERM for which all connections and requests are accepted (seconds). New connections arrive
/// for 0.4 s and requests on open ones for 0.2 s more; requests up to 0.7 s after SIGTERM must be answered.
const CLOSING_WINDOW_S: f64 = 0.9;
/// SIGKILL comes no sooner after SIGTERM than the longest deadline, counted up to this limit, plus
/// `KILL_DELAY_S` (seconds).
const KILL_DEADLINE_MAX_S: f64 = 3.0;
/// Time from the longest deadline after SIGTERM to SIGKILL (seconds).
const KILL_DELAY_S: f64 = 0.7;
/// All requests are answered this long before SIGKILL (seconds).
const ANSWERED_BEFORE_KILL_S: f64 = 0.45;
/// All answers are written this long before SIGKILL (seconds).
const WRITTEN_BEFORE_KILL_S: f64 = 0.15;
/// Interval of the check after SIGTERM for another process of the front (seconds).
const SUCCESSOR_CHECK_INTERVAL_S: f64 = 0.02;
/// Length of the broker's request queue, if the account of waiting requests has room for it. Connections are
/// not read from while the queue is full.
const REQUEST_QUEUE_MAX: usize = 256;
/// Connections to cache nodes may use one in this many descriptors.
const DESCRIPTORS_PER_CACHE_CONNECTION: usize = 3;

fn main() -> ExitCode {
    #[cfg(feature = "planted")]
    onyxyoke::planted::start();
    let result = turns::runtime().and_then(|runtime| {
        LocalSet::new().block_on(&runtime, async {
            // First of all: by default each signal would end the process, also while it reads its files.
            let signals = Signals::register()?;
            match read_config() {
                Ok(config) => run(config, signals).await.map(|()| ExitCode::SUCCESS),
                Err(message) => {
                    eprintln!("onyxyoke: {message}");
                    Ok(ExitCode::from(2))
                }
            }
        })
    });
    result.unwrap_or_else(|e| {
        eprintln!("onyxyoke: {e}");
        ExitCode::FAILURE
    })
}

/// The signals that the process handles.
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

/// Reads the platform's configuration file, named by `NODE_CONFIG`, and the operator's, named by
/// `ONYXYOKE_OPERATOR`.
fn read_config() -> Result<Config, String> {
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
        Err(_) => Err(format!("{path}: the file is not UTF-8 text")),
    };
    let operator = operator.map(text).transpose()?;
    let platform = platform.as_ref().map(|(path, bytes)| (path.as_str(), bytes.as_slice()));
    let operator = operator.as_ref().map(|(path, text)| (path.as_str(), text.as_str()));
    let mut config = config::read(platform, operator)?;
    config::override_admin_address(std::env::var("NODE_ADMIN_ADDR").ok().as_deref(), &mut config)?;
    Ok(config)
}

/// The parts of the front that a reload may change.
struct Reload {
    discovery: Option<Rc<Reloadable<(SocketAddr, f64)>>>,
    coordinator: Option<Rc<Reloadable<SocketAddr>>>,
    memory: Ledger,
    /// The digest of the settings in force.
    settings: Rc<Cell<u64>>,
}

impl Reload {
    /// Reads the files again. An unusable file changes nothing; settings that need a restart are logged if
    /// they differ from those in force.
    fn apply(&self, loaded: &LoadedSettings) {
        let reloaded = match read_config() {
            Ok(reloaded) => reloaded,
            Err(message) => return log!("reload: {message}; the old settings stay"),
        };
        if let (Some(discovery), Some(xds)) = (&self.discovery, &reloaded.xds) {
            discovery.set((xds.server, xds.refresh));
        }
        if let (Some(coordinator), Some(address)) = (&self.coordinator, reloaded.coordinator) {
            coordinator.set(address);
        }
        if *self.memory.accounts().plan() != reloaded.memory {
            self.memory.replan(reloaded.memory);
        }
        let need_restart = loaded.restart_required(&reloaded.loaded);
        match need_restart.is_empty() {
            true => {
                self.settings.set(reloaded.loaded.digest());
                log!("reload: the settings are in force");
            }
            false => log!("reload: '{}' cannot change before the next start", need_restart.join("', '")),
        }
    }
}

/// The state that the listeners for clients and for signed links share.
struct ListenerContext {
    broker_inputs: Sender<Input>,
    classes: Rc<Classes>,
    contracts: Rc<Contracts>,
    ready: Rc<Cell<bool>>,
    metrics: Rc<Metrics>,
    memory: Ledger,
    numbers: Rc<Cell<u64>>,
    /// Upper limit of the connections of one listener.
    max_connections: usize,
    /// Retry delay in refusals by the front itself (seconds).
    pushback: f64,
    listener_state: Rc<ListenerState>,
    listener_tasks: JoinSet<()>,
}

impl ListenerContext {
    /// Starts to serve RESP clients.
    fn serve_clients(&mut self, name: &str, listener: TcpListener) -> std::io::Result<()> {
        let context = clients::ClientContext {
            broker_inputs: self.broker_inputs.clone(),
            classes: self.classes.clone(),
            contracts: self.contracts.clone(),
            ready: self.ready.clone(),
            max_connections: self.max_connections,
            numbers: self.numbers.clone(),
            memory: self.memory.clone(),
            pushback: self.pushback,
            metrics: self.metrics.clone(),
        };
        log!("{name} serves on {}", listener.local_addr()?);
        let accepting = clients::accept(listener, Rc::new(context), self.listener_state.clone());
        self.listener_tasks.spawn_local(track_polls(TaskKind::Listener, accepting));
        Ok(())
    }

    /// Starts to serve signed links, and to reload the signers' keys at intervals.
    fn serve_signed(
        &mut self,
        name: &str,
        listener: TcpListener,
        signed: config::Signed,
        classes: Vec<Class>,
    ) -> std::io::Result<()> {
        let keys_error = |e: String| std::io::Error::other(format!("'signed.keys': {e}"));
        let text = std::fs::read_to_string(&signed.keys).map_err(|e| keys_error(e.to_string()))?;
        let mut keys = Keys::default();
        keys.replace(clock::now(), 0.0, KeyFile::parse(&text).map_err(keys_error)?);
        let grant = self.memory.acquire(AccountOwner::of(Purpose::Signed), keys.footprint());
        let grant = grant.map_err(|_| keys_error("they are larger than 'memory.signed' allows".into()))?;
        let keys = Rc::new(RefCell::new(keys));
        let times = (signed.keys_refresh, signed.key_overlap);
        let key_reloads = signed::watch_keys(signed.keys, text, keys.clone(), times, grant);
        spawn_local(track_polls(TaskKind::Keys, key_reloads));
        let context = signed::Front {
            broker_inputs: self.broker_inputs.clone(),
            contracts: self.contracts.clone(),
            classes,
            base: signed.base,
            audience: signed.audience,
            leeway_s: signed.leeway,
            keys,
            max_connections: self.max_connections,
            last_connection_number: self.numbers.clone(),
            memory: self.memory.clone(),
            retry_after_s: self.pushback,
        };
        log!("{name} serves signed links on {}", listener.local_addr()?);
        let accepting = signed::accept(listener, Rc::new(context), self.listener_state.clone());
        self.listener_tasks.spawn_local(track_polls(TaskKind::Listener, accepting));
        Ok(())
    }
}

/// The open listeners.
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

/// State on disk that processes of the same front share.
struct SharedState {
    store: StateStore,
    succession: Succession,
}

impl SharedState {
    /// Opens the state that earlier processes of the front left. One that is shutting down may still listen;
    /// it must get no further clients.
    fn open(config: &Config, listeners: &Listeners) -> std::io::Result<Self> {
        let (name, addresses) = (&config.name, listeners.addresses()?);
        let uncordon_retention_s = config.settings.warm_up_time.max(config.settings.parent_warm_up_time);
        let store = StateStore::open(std::env::temp_dir(), name, &addresses, uncordon_retention_s);
        let succession = store.succession();
        if !succession.has_successor() {
            listeners.all().for_each(onyxyoke::net::prefer_youngest);
        }
        Ok(SharedState { store, succession })
    }
}

async fn run(config: Config, signals: Signals) -> std::io::Result<()> {
    let settings = Rc::new(Cell::new(config.loaded.digest()));
    let (updates_in, updates) = unbounded_channel();
    let (operators_in, operators) = unbounded_channel();
    let (reports_in, reports) = unbounded_channel();
    let (commands_in, commands) = unbounded_channel();
    let waiting_cap = config.memory.limits[Purpose::Waiting as usize].cap;
    let (requests_in, requests) =
        channel((waiting_cap / broker::REQUEST_OVERHEAD_BYTES).clamp(1, REQUEST_QUEUE_MAX));
    let (shutdown, shutdowns) = unbounded_channel();
    let print_counters = Rc::new(Notify::new());
    let ready = Rc::new(Cell::new(false));
    let memory = Ledger::new(config.memory, config.contracts.0.len());
    let longest_deadline = config.settings.classes.iter().map(|c| c.deadline).fold(0.0, f64::max);

    let listeners = Listeners::open(&config)?;
    // Cordons are stored where the process that replaces this one finds them; without an operators' socket
    // there are none.
    let shared_state = config.admin.map(|_| SharedState::open(&config, &listeners)).transpose()?;
    if shared_state.is_none() {
        listeners.all().for_each(onyxyoke::net::share_by_hash);
    }
    let classes = Rc::new(config.classes);
    let mut listener_context = ListenerContext {
        broker_inputs: requests_in,
        metrics: Metrics::new(classes.names.clone()),
        classes,
        contracts: Rc::new(config.contracts),
        ready: ready.clone(),
        memory: memory.clone(),
        numbers: Rc::default(),
        // Clients hold at most a third; the rest is for connections that they have closed and this process
        // has not yet.
        max_connections: config.max_descriptors * 2 / 5 / listeners.all().count().max(1),
        pushback: config.settings.max_retry_after,
        listener_state: ListenerState::new(),
        listener_tasks: JoinSet::new(),
    };
    if let Some(listener) = listeners.clients {
        listener_context.serve_clients(&config.name, listener)?;
    }
    if let (Some(listener), Some(signed)) = (listeners.signed, config.signed) {
        listener_context.serve_signed(&config.name, listener, signed, config.settings.classes.clone())?;
    }
    let (mut overrides, mut succession) = (None, None);
    if let (Some(address), Some(mut shared_state)) = (config.admin, shared_state) {
        let listener = TcpListener::bind(address).await?;
        log!("{} answers operators on {}", config.name, listener.local_addr()?);
        shared_state.succession.register();
        overrides = Some(shared_state.store.overrides().clone());
        let context = admin::AdminContext {
            ready: ready.clone(),
            metrics: listener_context.metrics.clone(),
            operators: operators_in.clone(),
            store: StateWorker::start(shared_state.store),
            settings: settings.clone(),
            build: Cell::new(None),
        };
        spawn_local(track_polls(TaskKind::Operators, admin::serve(listener, Rc::new(context))));
        succession = Some(shared_state.succession);
    }
    drop(operators_in);
    let limits = pool::PoolLimits {
        connect_timeout: config.connect_timeout,
        idle_timeout: config.node_idle_timeout / 2.0,
        max_requests_per_connection: config.max_requests_per_connection,
        max_connections: (config.max_descriptors / DESCRIPTORS_PER_CACHE_CONNECTION).max(1),
        handshake_cost: config.handshake_cost,
    };
    spawn_local(track_polls(TaskKind::Pool, pool::run(commands, reports_in, limits, memory.clone())));
    spawn_local(track_polls(TaskKind::Memory, watch::watch_memory(memory.clone())));

    let seed = config.seed;
    let mut broker = Broker::new(Setup {
        seed,
        settings: config.settings,
        class_names: listener_context.classes.names.clone(),
        contracts: listener_context.contracts.clone(),
        memory: memory.clone(),
        metrics: listener_context.metrics.clone(),
    });
    // Before the first list, so that a cordoned node is never taken for ready.
    if let Some(overrides) = overrides {
        broker.merge_overrides(clock::now(), &overrides);
    }
    let (last_number, initial_updates) = config.initial_updates;
    apply_initial_updates(&mut broker, initial_updates);
    let reload = Reload {
        discovery: config.xds.map(|xds| Reloadable::new((xds.server, xds.refresh))),
        coordinator: config.coordinator.map(Reloadable::new),
        memory: memory.clone(),
        settings,
    };
    if let Some(server) = &reload.discovery {
        let discovery = xds::follow(server.clone(), config.name, config.names, updates_in, memory.clone());
        spawn_local(track_polls(TaskKind::Discovery, discovery));
    } else if let Some(address) = &reload.coordinator {
        let discovery = coordinator::follow(address.clone(), last_number, seed, updates_in, memory.clone());
        spawn_local(track_polls(TaskKind::Discovery, discovery));
    }
    let inputs = Inputs {
        updates,
        operators,
        reports,
        requests,
        ready: ready.clone(),
        print: print_counters.clone(),
        close: shutdowns,
    };
    let mut broker_task =
        spawn_local(track_polls(TaskKind::Broker, broker::run(broker, inputs, commands_in)));
    // The broker ends with the last connection that may send a request.
    let ListenerContext { listener_state, mut listener_tasks, broker_inputs, .. } = listener_context;
    drop(broker_inputs);

    tokio::select! {
        () = handle_signals_until_sigterm(signals, &print_counters, &reload, &config.loaded) => {}
        result = &mut broker_task => return result.map_err(std::io::Error::other),
    }
    // Health checks fail from here on. Clients are still served until the closing window is over and all
    // accepted requests are answered; requests that would take longer fail before SIGKILL may come.
    ready.set(false);
    let terminated_at = clock::now();
    let kill_at = terminated_at + longest_deadline.min(KILL_DEADLINE_MAX_S) + KILL_DELAY_S;
    let _ = shutdown.send(Shutdown::AnswerBy(kill_at - ANSWERED_BEFORE_KILL_S));
    match succession {
        Some(succession) => {
            serve_or_hand_over(succession, &listener_state, terminated_at + CLOSING_WINDOW_S).await
        }
        None => {
            sleep_until(clock::instant(terminated_at + CLOSING_WINDOW_S)).await;
            // There may be a successor that has no way to announce itself.
            listener_state.hand_over();
        }
    }
    close_connections(&mut listener_tasks, &listener_state, kill_at).await;
    let _ = shutdown.send(Shutdown::WhenAnswered);
    broker_task.await.map_err(std::io::Error::other)?;
    wait_for_last_answers(&memory, kill_at).await;
    Ok(())
}

/// Applies the updates from the configuration; the first full list counts as cached.
fn apply_initial_updates(broker: &mut Broker, updates: Vec<DiscoveryUpdate>) {
    let mut first = true;
    for update in updates {
        let cached = first && matches!(update, DiscoveryUpdate::NodeList { .. });
        first &= !cached;
        broker.apply_update(clock::now(), update, cached);
    }
}

/// Handles signals until SIGTERM.
async fn handle_signals_until_sigterm(
    mut signals: Signals,
    print_counters: &Notify,
    reload: &Reload,
    loaded: &LoadedSettings,
) {
    loop {
        tokio::select! {
            Some(()) = signals.terminate.recv() => {
                #[cfg(feature = "planted")]
                if onyxyoke::planted::is_set("deaf") {
                    continue;
                }
                return;
            }
            Some(()) = signals.usr1.recv() => print_counters.notify_one(),
            Some(()) = signals.hangup.recv() => reload.apply(loaded),
        }
    }
}

/// Closes each connection in steps: its accepted requests are answered, and then it is closed in order. A
/// process that ended with open connections would reset those on which data arrives just then, and the last
/// answers would be lost. A connection whose client never pauses is idle only once the broker has answered
/// all its requests.
async fn close_connections(listener_tasks: &mut JoinSet<()>, listener_state: &ListenerState, kill_at: f64) {
    listener_state.close();
    let all_closed = async { while listener_tasks.join_next().await.is_some() {} };
    let deadline = async {
        sleep_until(clock::instant(kill_at - ANSWERED_BEFORE_KILL_S)).await;
        listener_state.end();
        sleep_until(clock::instant(kill_at - WRITTEN_BEFORE_KILL_S)).await;
    };
    tokio::select! {
        () = all_closed => {}
        () = deadline => {}
    }
}

/// Waits until the connections' tasks have written the last answers, or SIGKILL is near.
async fn wait_for_last_answers(memory: &Ledger, kill_at: f64) {
    loop {
        sleep_until(clock::instant(clock::now() + 0.05)).await;
        if memory.accounts().used(Purpose::Unread) == 0 || clock::now() > kill_at - WRITTEN_BEFORE_KILL_S {
            return;
        }
    }
}

/// Serves until the closing window is over. A successor gets the clients, also one that starts during the
/// window: no client may wait for this process at its listener or on an idle connection. A process that is
/// itself shutting down is no successor: this process then accepts clients to the end of the window.
async fn serve_or_hand_over(mut succession: Succession, listener_state: &ListenerState, window_end: f64) {
    let mut handed_over = false;
    loop {
        if !handed_over && succession.has_successor() {
            log!("a newer process serves beside this one: listener closing");
            listener_state.hand_over();
            handed_over = true;
        }
        succession.unregister();
        let now = clock::now();
        if now >= window_end {
            return;
        }
        sleep_until(clock::instant(window_end.min(now + SUCCESSOR_CHECK_INTERVAL_S))).await;
    }
}
