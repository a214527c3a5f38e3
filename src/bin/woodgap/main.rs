//! One node of the load balancer, on real sockets. `deploy/balancer.toml` shows how it is deployed.
//!
//! This program makes no decisions by itself. It turns what happens on its sockets into events for the balancer
//! ([`woodgap::Balancer`]) and executes the actions that the balancer returns.
#![forbid(unsafe_code)]

mod client_connection;
mod clients;
mod clock;
mod cold;
mod counts;
mod discovery;
mod driver;
mod exchange;
mod guards;
mod log;
mod memory;
mod peers;
mod request;
mod revision_reporter;
mod servers;
mod stream;
mod system_errors;

use std::error::Error;
use std::io;
use std::net::SocketAddr;
use std::process::ExitCode;

use tokio::net::{TcpListener, TcpSocket};
use tokio::signal::unix::{signal, SignalKind};
use tokio::sync::mpsc;
use tokio::task::{spawn_local, LocalSet};
use tracing::{info, info_span, warn};

use clients::{Clients, RequestIds, LISTEN_BACKLOG};
use driver::{Driver, DriverMessage};
use guards::SocketBudget;
use memory::{read_resident_bytes, MemoryBudget};
use peers::Peers;
use revision_reporter::RevisionReporter;
use servers::Servers;
use system_errors::retry_at_start;
use woodgap::config::{self, Config, REJECTION_CONNECTIONS, RESERVED_DESCRIPTORS};

/// Part of the sockets that clients may use. Open requests need as many sockets to servers, and clients keep
/// idle connections too.
const CLIENT_SOCKET_FRACTION: f64 = 0.6;

/// Runs the node until SIGTERM has been handled or one of its main tasks ends.
async fn run(config: Config, config_path: String) -> Result<(), Box<dyn Error>> {
    // Installed before the node reports that it is ready: a SIGHUP without a handler ends the process.
    let mut term = retry_at_start(|| signal(SignalKind::terminate()))?;
    let mut hangup = retry_at_start(|| signal(SignalKind::hangup()))?;
    let listener = retry_at_start(|| bind_listener(config.listen))?;
    let listen = listener.local_addr()?;
    let peers = match config.peer_listen {
        Some(listen) => Some(Peers::bind(listen, config.peers.clone(), config.peer_broadcast).await?),
        None => None,
    };
    let (tx, rx) = mpsc::unbounded_channel();
    let sockets = config.max_descriptors.saturating_sub(RESERVED_DESCRIPTORS + REJECTION_CONNECTIONS).max(2);
    let memory = MemoryBudget::new(config.max_memory_bytes, read_resident_bytes());
    let servers = Servers::new(config.node_settings.clone(), SocketBudget::new(sockets), memory);
    let reporter = config.is_audited.then(|| RevisionReporter::new(&config.name));
    // Reports go to the address of discovery, where the node's agent listens.
    let agent_addr = std::rc::Rc::new(std::cell::Cell::new(config.discovery));
    let mut driver = Driver::new(&config, servers.clone(), peers.clone(), reporter.clone(), tx.clone());
    driver.start(&config.cached_list);
    let client_sockets = (sockets as f64 * CLIENT_SOCKET_FRACTION) as usize;
    let clients = Clients::new(
        config.settings,
        config.request_names,
        servers,
        RequestIds::new(config.max_memory_bytes),
        (SocketBudget::new(client_sockets), SocketBudget::new(REJECTION_CONNECTIONS)),
        reporter.clone(),
        tx.clone(),
    );
    if let Some(reporter) = reporter {
        spawn_local(reporter.run(agent_addr.clone()));
    }
    if let Some(peers) = peers {
        let tx = tx.clone();
        spawn_local(async move {
            loop {
                let (from, data) = peers.receive().await;
                let _ = tx.send(DriverMessage::PeerDatagram { from, data });
            }
        });
    }
    spawn_local(async move {
        while hangup.recv().await.is_some() {
            match read_file(&config_path).and_then(|text| Ok(config::parse_discovery_address(&text)?)) {
                Ok(addr) => {
                    info!(discovery = %addr, "configuration reloaded");
                    agent_addr.set(addr);
                    let _ = tx.send(DriverMessage::DiscoveryMoved(addr));
                }
                Err(error) => warn!(%error, "configuration not reloaded; the old one stays in effect"),
            }
        }
    });
    let driver = spawn_local(driver.run(rx));
    let acceptor = spawn_local(clients.clone().accept_connections(listener));
    info!(%listen, "ready");
    let drain_on_sigterm = async {
        term.recv().await;
        info!("drains");
        clients.drain().await;
    };
    // Without the driver or the acceptor the node answers no requests; it ends so that the platform starts a
    // new one.
    tokio::select! {
        () = drain_on_sigterm => Ok(()),
        ended = driver => Err(format!("the driver task ended: {ended:?}").into()),
        ended = acceptor => Err(format!("the task that accepts connections ended: {ended:?}").into()),
    }
}

/// Opens the socket on which clients connect.
fn bind_listener(listen: SocketAddr) -> io::Result<TcpListener> {
    let socket = match listen {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    socket.bind(listen)?;
    socket.listen(LISTEN_BACKLOG)
}

fn read_file(path: &str) -> Result<String, Box<dyn Error>> {
    Ok(std::fs::read_to_string(path).map_err(|e| format!("{path}: {e}"))?)
}

/// Reads the configuration, starts the log and runs the node.
fn start() -> Result<(), Box<dyn Error>> {
    let env: std::collections::HashMap<String, String> = std::env::vars_os()
        .filter_map(|(k, v)| Some((k.into_string().ok()?, v.into_string().ok()?)))
        .collect();
    let path = env.get("BALANCER_CONFIG").ok_or("BALANCER_CONFIG is not set")?;
    retry_at_start(|| std::fs::File::open(path).map(drop)).map_err(|error| format!("{path}: {error}"))?;
    let (config, findings) = Config::parse(&read_file(path)?, &env);
    let config = config.ok_or_else(|| format!("{path}: {findings}"))?;
    log::init(&env)?;
    // The node runs on this thread alone, so every log line carries the span's field with the node's name.
    let _node = info_span!("node", node = config.name).entered();
    for finding in findings.all() {
        warn!(
            path = finding.path,
            expected = finding.expected,
            found = finding.found,
            "invalid configuration value ignored"
        );
    }
    if !findings.defaults().is_empty() {
        let defaults: Vec<_> =
            findings.defaults().iter().map(|(path, default)| format!("{path}={default}")).collect();
        warn!(assumed = defaults.join(" "), "settings missing; using defaults");
    }
    let runtime = retry_at_start(|| tokio::runtime::Builder::new_current_thread().enable_all().build())?;
    runtime.block_on(LocalSet::new().run_until(run(config, path.clone())))
}

fn main() -> ExitCode {
    match start() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("woodgap: {error}");
            ExitCode::FAILURE
        }
    }
}
