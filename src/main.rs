//! One real front: reads its configuration, listens, wires the tasks together, and ends when it is told to.
#![forbid(unsafe_code)]

use onyxyoke::broker::{self, Broker, Inputs, News, Setup};
use onyxyoke::config::{self, Config};
use onyxyoke::net::{clients, coordinator, pool};
use onyxyoke::{clock, log};
use std::cell::Cell;
use std::process::ExitCode;
use std::rc::Rc;
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::Notify;
use tokio::sync::mpsc::{channel, unbounded_channel};
use tokio::task::{LocalSet, spawn_local};
use tokio::time::sleep_until;

/// After SIGTERM new connections keep coming for 0.4 s, and requests on open ones for 0.2 s more; what comes
/// up to 0.7 s after it is owed an answer. So long, and a little over, everything is taken (seconds).
const CLOSING: f64 = 0.9;
/// The last answers are to be written within this (seconds).
const FLUSH: f64 = 2.0;
/// Shares of the memory limit for what is held of requests, and of answers that clients are slow to take.
const HELD: (usize, usize) = (8, 4);
/// Requests that wait for the broker's turn; beyond, connections are not read from.
const ASKS: usize = 256;

fn main() -> ExitCode {
    let config = match read() {
        Ok(config) => config,
        Err(message) => {
            eprintln!("onyxyoke: {message}");
            return ExitCode::from(2);
        }
    };
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    match runtime.and_then(|runtime| LocalSet::new().block_on(&runtime, run(config))) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("onyxyoke: {e}");
            ExitCode::FAILURE
        }
    }
}

fn read() -> Result<Config, String> {
    let path = std::env::var("NODE_CONFIG").map_err(|_| "NODE_CONFIG is not set".to_owned())?;
    let text = std::fs::read(&path).map_err(|e| format!("NODE_CONFIG: cannot read '{path}': {e}"))?;
    config::platform(&text)
}

async fn run(config: Config) -> std::io::Result<()> {
    let listener = TcpListener::bind(config.listen).await?;
    let (mut terminate, mut usr1) = (signal(SignalKind::terminate())?, signal(SignalKind::user_defined1())?);
    let (news_in, news) = unbounded_channel();
    let (reports_in, reports) = unbounded_channel();
    let (commands_in, commands) = unbounded_channel();
    let (asks_in, asks) = channel(ASKS);
    let (print, close) = (Rc::new(Notify::new()), Rc::new(Notify::new()));
    let ready = Rc::new(Cell::new(false));
    let max_wait = config.settings.max_wait;
    let classes = Rc::new(config.classes);

    let unsent = Rc::new(Cell::new(0));
    let front = Rc::new(clients::Front {
        asks: asks_in,
        classes: classes.clone(),
        ready: ready.clone(),
        connections: config.sockets / 3,
        numbers: Rc::default(),
        unsent: unsent.clone(),
        unsent_most: config.memory / HELD.1,
        wait: max_wait,
    });
    spawn_local(clients::accept(listener, front));
    spawn_local(pool::run(
        commands,
        reports_in,
        pool::Limits {
            connect_within: config.connect_within,
            idle: config.keepalive / 2.0,
            streams: config.streams,
            connections: config.sockets / 3,
        },
    ));

    let mut broker = Broker::new(Setup {
        seed: config.seed,
        settings: config.settings,
        class_names: classes.names.clone(),
        held_most: config.memory / HELD.0,
    });
    let (last, events) = config.known;
    let mut first = true;
    for event in events {
        let cached = first && matches!(event, News::Roster { .. });
        first &= !cached;
        broker.news(clock::now(), event, cached);
    }
    spawn_local(coordinator::follow(config.coordinator, last, news_in));
    let inputs = Inputs { news, reports, asks, print: print.clone(), close: close.clone() };
    let mut core = spawn_local(broker::run(broker, inputs, commands_in));
    ready.set(true);
    log!("{} serves on {}", config.name, config.listen);

    loop {
        tokio::select! {
            Some(()) = terminate.recv() => break,
            Some(()) = usr1.recv() => print.notify_one(),
            ended = &mut core => return ended.map_err(std::io::Error::other),
        }
    }
    // Health says no from here on, but whoever comes is still served until the closing window is over and
    // all that was taken is answered.
    ready.set(false);
    let closes = clock::now() + CLOSING;
    sleep_until(clock::instant(closes)).await;
    close.notify_one();
    core.await.map_err(std::io::Error::other)?;
    // The last answers are with their connections' tasks, which get the time to write them.
    let last = clock::now() + FLUSH;
    loop {
        sleep_until(clock::instant(clock::now() + 0.05)).await;
        if unsent.get() == 0 || clock::now() > last {
            return Ok(());
        }
    }
}
