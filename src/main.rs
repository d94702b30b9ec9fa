//! Starts the balancer.

use oakdeal::api::ListKind;
use oakdeal::bounded_log::BoundedLog;
use oakdeal::broker::Broker;
use oakdeal::config::{self, Config, Xmpp};
use oakdeal::net;
use oakdeal::net::lobby::Lobby;
use oakdeal::net::xmpp::Front;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::rc::Rc;
use tokio::net::TcpListener;
use tokio::signal::unix::{signal, SignalKind};
use tokio::task::spawn_local;

/// Descriptors that are kept for other things than connections: the listeners, discovery, the runtime's own,
/// and connections of the lobby that are about to end.
const RESERVED: usize = 32;
/// Of the rest, this part are seats of the lobby, so that those who ask nothing never take from those who do.
const LOBBY: usize = 5;
/// The XMPP front's file, unless `OAKDEAL_XMPP` names another; absent, the front is off.
const XMPP: &str = "deploy/xmpp.toml";
/// The file of the services' contracts, unless `OAKDEAL_SERVICES` names another; absent, there are none.
const SERVICES: &str = "deploy/services.toml";
/// SIGKILL comes no sooner after SIGTERM than the longest deadline, taken for this where it is longer, and some
/// tenths of a second more.
const LONGEST_END: u64 = 3_000_000;
/// From when on in that time clients are asked to come again, in tenths: in a rolling restart the balancer before
/// this one needs seconds to be let in again, and until then a client that was sent away has nowhere to go.
const FROM: u64 = 6;

async fn run() -> Result<(), String> {
    // Taken from the first moment on: without a handler SIGHUP ends the process.
    let taken = |kind| signal(kind).map_err(|e| format!("cannot take signals: {e}"));
    let (mut term, mut hang_up) = (taken(SignalKind::terminate())?, taken(SignalKind::hangup())?);
    let path = std::env::var_os("LB_CONFIG").ok_or("LB_CONFIG must name the configuration file")?;
    let path = PathBuf::from(path);
    let (mut config, text) = Config::read(&path)?;
    let xmpp = std::env::var_os("OAKDEAL_XMPP").map_or(PathBuf::from(XMPP), PathBuf::from);
    let xmpp = Xmpp::read(&xmpp)?;
    let services = std::env::var_os("OAKDEAL_SERVICES").map_or(PathBuf::from(SERVICES), PathBuf::from);
    let mut services = config::services(&services)?;
    services.extend(xmpp.iter().flat_map(|file| file.contracts(&services)).collect::<Vec<_>>());
    config.add_services(services);
    let (settings, names) = config.settings.translate().map_err(|e| e.to_string())?;
    let seed = config.seed();
    let descriptors = config.limits.sockets.saturating_sub(RESERVED);
    let seats = descriptors / LOBBY;
    let (broker, ordered) =
        Broker::new(settings, names, seed, descriptors - seats).map_err(|e| e.to_string())?;
    let lobby = Lobby::new(broker.clone(), seats);
    let listener = TcpListener::bind(config.listen)
        .await
        .map_err(|e| format!("cannot listen on {}: {e}", config.listen))?;
    let at = listener.local_addr().map_err(|e| e.to_string())?;

    let sweeper = broker.clone();
    spawn_local(async move { sweeper.sweep().await });
    spawn_local(net::orders(broker.clone(), ordered, config.discovery));
    if let Some(known) = config.known.take() {
        broker.listed(ListKind::Cached, known);
    } else {
        broker.watch_ended();
    }
    let guests = lobby.clone();
    let serve = move |stream, from| net::platform::serve(guests.clone(), stream, from);
    spawn_local(net::accept(broker.clone(), listener, "clients", serve));
    log::info!("{} serves {at}", config.name);
    if let Some(file) = xmpp {
        let address = file.listen.ok_or("the XMPP front has no address")?;
        let front = Rc::new(Front::new(broker.clone(), file)?);
        let listener =
            TcpListener::bind(address).await.map_err(|e| format!("cannot listen on {address}: {e}"))?;
        let at = listener.local_addr().map_err(|e| e.to_string())?;
        let serve = move |stream, from| net::xmpp::serve(front.clone(), lobby.clone(), stream, from);
        spawn_local(net::accept(broker.clone(), listener, "xmpp clients", serve));
        log::info!("{} serves XMPP on {at}", config.name);
    }

    let reloads = async {
        while hang_up.recv().await.is_some() {
            reload(&broker, &path, &text);
        }
    };
    let ends = async {
        term.recv().await;
        leave(&broker).await;
    };
    tokio::select! {
        () = ends => {}
        // It ends only with the runtime.
        () = reloads => {}
    }
    Ok(())
}

/// Reads the configuration again. A bad one leaves the old one in force; of a good one a running balancer
/// takes over where discovery is, and says what it does not.
fn reload(broker: &Broker, path: &Path, begun: &str) {
    let read = Config::read(path).and_then(|(config, text)| {
        let (settings, _) = config.settings.translate().map_err(|e| e.to_string())?;
        settings.validate().map_err(|e| e.to_string())?;
        Ok((config.discovery, text))
    });
    match read {
        Ok((discovery, now)) => {
            let ignored = match &Config::ignored(begun, &now)[..] {
                [] => String::new(),
                names => format!("; ignored until the next start: {}", names.join(", ")),
            };
            log::info!("configuration read again: discovery is at {discovery}{ignored}");
            broker.discovery_at(discovery);
        }
        Err(e) => log::error!("configuration not taken over, the old one stays in force: {e}"),
    }
}

/// The program is to end: it goes on answering, and asks every client to come again, in time before it may
/// be killed. It ends when that time has come and nothing is left.
async fn leave(broker: &Rc<Broker>) {
    let span = broker.longest().min(LONGEST_END);
    let (from, end) = (broker.now() + span * FROM / 10, broker.now() + span);
    log::info!("leaving: {} connections are asked to come again", broker.in_hand());
    let emptied = async {
        broker.until(end).await;
        while broker.in_hand() > 0 {
            broker.after(20_000).await;
        }
    };
    tokio::select! {
        () = emptied => {}
        () = broker.until(end + 2_000_000) => {}
        _ = broker.leave(from, end) => {}
    }
    log::info!("left with {} connections in hand", broker.in_hand());
}

/// `oakdeal import FILE`: the configuration to standard output, what could not be taken over to standard error.
fn import(path: &str) -> Result<(), String> {
    let text = std::fs::read_to_string(path).map_err(|e| format!("cannot read {path}: {e}"))?;
    let (config, reports) = oakdeal::import::import(&text);
    for report in reports {
        eprintln!("{path}:{}: {}", report.line, report.text);
    }
    println!("{config:#}");
    Ok(())
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    match arguments.iter().map(String::as_str).collect::<Vec<_>>()[..] {
        [] => start(),
        ["import", path] => ended(import(path)),
        _ => ended(Err("usage: oakdeal (with LB_CONFIG set), or oakdeal import FILE".into())),
    }
}

fn ended(how: Result<(), String>) -> ExitCode {
    match how {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("oakdeal: {e}");
            ExitCode::FAILURE
        }
    }
}

fn start() -> ExitCode {
    let logger = env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("info"))
        .format_timestamp_millis()
        .target(env_logger::Target::Stderr)
        .build();
    log::set_max_level(logger.filter());
    // Fails only if there is one already, and there is none.
    let _ = log::set_boxed_logger(Box::new(BoundedLog::new(logger)));
    let runtime = match tokio::runtime::Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(e) => {
            eprintln!("oakdeal: cannot start: {e}");
            return ExitCode::FAILURE;
        }
    };
    ended(tokio::task::LocalSet::new().block_on(&runtime, run()))
}
