//! `oakdeal serve`: runs the balancer from start to exit. Defines the order of startup, what SIGHUP and SIGTERM do, and when
//! clients are asked to move during a shutdown.

mod upgrade;

use crate::api::ListKind;
use crate::broker::operations::Operations;
use crate::broker::zones::BalancerContext;
use crate::broker::{Broker, ListState};
use crate::config::Config;
use crate::group::task::{Group, OperatorCommand};
use crate::group::ACCOUNT_TASK;
use crate::logging;
use crate::net;
use crate::net::admin::{self, AdminServer};
use crate::net::idle::IdleConnections;
use crate::net::listener::{Listener, ReservedAddress};
use crate::net::xmpp::XmppFront;
use crate::net::ConnectionCounter;
use crate::operator::Operator;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::{SystemTime, UNIX_EPOCH};
use tokio::signal::unix::{signal, SignalKind};
use tokio::task::{spawn_local, LocalSet};

/// Number of descriptors reserved for the listeners, discovery, the runtime and idle connections that are being closed.
const RESERVED_DESCRIPTORS: usize = 32 + admin::MAX_CONNECTIONS;
/// One in this many of the remaining descriptors is a slot for idle connections, so that clients without a request never take
/// descriptors from clients with one.
const DESCRIPTORS_PER_IDLE_SLOT: usize = 5;
/// Maximum time from SIGTERM to the planned end, in microseconds. SIGKILL follows SIGTERM some tenths of a second after the
/// longest deadline at the earliest, where a longer deadline counts as this value.
const MAX_SHUTDOWN_SPAN: u64 = 3_000_000;
/// Time from SIGTERM until clients are asked to move, in tenths of the shutdown span. In a rolling restart the balancer that
/// was restarted before this one needs seconds until it receives clients again; a client that is moved earlier has nowhere to go.
const MOVE_START_TENTHS: u64 = 6;
/// Time for which the process waits for remaining connections after the planned end, in microseconds.
const EXIT_GRACE: u64 = 2_000_000;
/// Time after SIGTERM during which new connections still arrive, in microseconds, whether or not a newer process accepts them.
const NEW_CONNECTIONS_AFTER_SIGTERM: u64 = 600_000;
/// Shortest time for final answers and the orderly close of idle connections, in microseconds, for a process that was held up
/// past the planned end.
const FINAL_ANSWERS_SPAN: u64 = 300_000;
/// Interval between two checks during shutdown whether the process may exit, in microseconds.
const EXIT_POLL_INTERVAL: u64 = 20_000;
/// Maximum wait for discovery's first answer where an older process serves meanwhile or an agent pushes the list, in
/// microseconds; the platform waits six seconds.
const FIRST_LIST_TIMEOUT_WITH_FALLBACK: u64 = 2_000_000;

/// Maximum wait for discovery's first answer where no other process serves meanwhile, in microseconds: a call that is spread
/// over the fleet and queued has been answered or has failed by then.
pub const FIRST_LIST_TIMEOUT: u64 = 6_000_000;

/// The files that the program is configured with.
#[derive(Clone, Debug)]
pub struct Sources {
    /// Path of the platform's configuration.
    pub config: PathBuf,
    /// Path of the operator's file.
    pub operator: PathBuf,
    /// Whether the operator's file was given explicitly and therefore must exist.
    pub operator_required: bool,
}

impl Sources {
    /// Reads the operator's file and checks its class names against the configuration.
    fn operator(&self, config: &Config) -> Result<Operator, String> {
        let operator = Operator::read(&self.operator, self.operator_required).map_err(|e| e.to_string())?;
        let classes = config.settings.classes.as_deref().unwrap_or_default();
        let known = |class: &str| classes.iter().any(|c| c.name.as_deref() == Some(class));
        match operator.unknown_class(known) {
            Some(what) => Err(format!("{}: {what}", self.operator.display())),
            None => Ok(operator),
        }
    }
}

/// Serves until SIGTERM.
pub async fn run(sources: Sources) -> Result<(), String> {
    // Installed first: without a handler SIGHUP terminates the process.
    let handler = |kind| signal(kind).map_err(|e| format!("cannot install a signal handler: {e}"));
    let (mut sigterm, mut sighup) = (handler(SignalKind::terminate())?, handler(SignalKind::hangup())?);
    let (mut config, text) = Config::read(&sources.config)?;
    let operator = sources.operator(&config)?;
    tracing::debug!("configuration at the start: {text}");
    operator.warnings.iter().for_each(|w| tracing::warn!("{w}"));
    let (settings, names) = config.settings.translate().map_err(|e| e.to_string())?;
    let (peers, must_ask_in_us) = (settings.peers_total, settings.max_poll_interval);
    tracing::debug!(peers, must_ask_in_us, discovery = ?settings.discovery, "discovery: settings");
    let seed = config.random_seed();
    let admin = config
        .admin_address(std::env::var("LB_ADMIN").ok())
        .map_err(|e| sources.config.display().to_string() + ": " + &e)?;
    let descriptors = config.limits.sockets.saturating_sub(RESERVED_DESCRIPTORS);
    let idle_slots = descriptors / DESCRIPTORS_PER_IDLE_SLOT;
    let worths: Vec<f64> = settings.classes.iter().map(|c| c.worth).collect();
    let zone_settings = settings.clone();
    let (broker, network_orders) =
        Broker::new(settings, names, seed, descriptors - idle_slots).map_err(|e| e.to_string())?;
    let has_contracts = operator.terms.is_some();
    let (mut zone_plans, started) = (None, unix_ms());
    if let Some(terms) = operator.failover {
        if zone_settings.peers_total > crate::placement::SMALL_FLEET_NODES {
            // Simulations show these effects: docs/failover.md.
            tracing::warn!("[failover] is not suited to so many balancers yet: groups are split by zone, and cold servers may be filled too fast");
        }
        zone_plans = Some((terms.clone(), classes_by_worth(broker.names().classes(), &worths)));
        broker.enable_zones(terms, balancer_context(&config, started, &broker, &zone_settings)?);
    }
    broker.set_contracts(operator.terms);
    broker.set_rebalance(operator.rebalance);
    let mut group = None;
    if let Some(mut settings) = operator.group {
        // Without contracts there is no account to write.
        settings.tasks.retain(|task| task != ACCOUNT_TASK || has_contracts);
        let (mut task, board) = Group::start(settings, &config.name, started, seed).await?;
        if let Some((terms, classes)) = zone_plans {
            task.enable_zone_plans(&terms, broker.names().zones(), classes);
        }
        spawn_local(task.run(broker.clone()));
        group = Some(board);
    }
    let idle = IdleConnections::new(broker.clone(), idle_slots);
    let idle_at_exit = idle.clone();
    let listener = match std::env::var("LB_FD") {
        Ok(descriptor) if !descriptor.is_empty() => {
            ReservedAddress::Inherited(Listener::inherited(&descriptor, config.listen)?)
        }
        _ => ReservedAddress::bind(config.listen)?,
    };
    let shared = listener.is_shared();
    let handover_path = upgrade::handover_path().filter(|_| shared);
    handover_path.iter().for_each(|path| upgrade::remove_stale(path));

    let sweeper = broker.clone();
    spawn_local(async move { sweeper.run_deadlines().await });
    spawn_local(net::run_orders(broker.clone(), network_orders, config.discovery));
    if let Some(known) = config.known.take() {
        broker.update_list(ListKind::Cached, known);
    } else {
        broker.list_unavailable();
    }
    let keeper = broker.clone();
    spawn_local(async move { keeper.run_scheduled_work().await });
    let keeper = broker.clone();
    spawn_local(async move { keeper.run_drain().await });
    let platform_idle = idle.clone();
    let connections = ConnectionCounter::default();
    let serve = move |stream, from| net::platform::serve(platform_idle.clone(), stream, from);
    let xmpp = match operator.xmpp {
        Some(file) => {
            let address = file.listen.ok_or("the XMPP listener has no address")?;
            let front = Rc::new(XmppFront::new(broker.clone(), file)?);
            let serve = move |stream, from| net::xmpp::serve(front.clone(), idle.clone(), stream, from);
            Some((ReservedAddress::bind(address)?, serve))
        }
        None => None,
    };

    // Polled by the program's main future, so before all connections in each iteration of the event loop.
    let admin_tasks = LocalSet::new();
    if let Some(address) = admin {
        let listener = Listener::bind(address);
        let listener = listener.map_err(|e| format!("admin: {e}; give an address that is free"))?;
        let at = listener.local_address()?;
        let admin_idle = IdleConnections::new(broker.clone(), admin::MAX_CONNECTIONS);
        let endpoint = AdminServer::new(Operations::new(broker.clone()), group.clone(), admin_idle);
        let serve = move |stream, from| admin::serve(endpoint.clone(), stream, from);
        admin_tasks.spawn_local(net::accept_connections(
            broker.clone(),
            listener,
            ConnectionCounter::default(),
            "operators",
            serve,
        ));
        tracing::info!("{} answers operators on {at}", config.name);
    }

    let (client_broker, name, import_path) = (broker.clone(), config.name.clone(), handover_path.clone());
    let counter = connections.clone();
    let clients = async move {
        wait_for_first_list(&client_broker, shared).await;
        if client_broker.is_shutting_down() && !shared {
            return Ok(());
        }
        client_broker.start_serving();
        if let Some((reserved, serve)) = xmpp {
            let listener = reserved.listen()?;
            tracing::info!("{name} serves XMPP on {}", listener.local_address()?);
            spawn_local(net::accept_connections(
                client_broker.clone(),
                listener,
                counter.clone(),
                "xmpp clients",
                serve,
            ));
        }
        let listener = listener.listen()?;
        tracing::info!("{name} serves {}", listener.local_address()?);
        if let Some(path) = import_path {
            spawn_local(upgrade::import_handover(client_broker.clone(), path, name));
        }
        spawn_local(net::accept_connections(client_broker, listener, counter, "clients", serve));
        Ok::<(), String>(())
    };
    let clients = spawn_local(clients);

    let account_writer = AccountWriter { broker: broker.clone(), balancer: config.name.clone(), started };
    let account_interval = std::cell::Cell::new(operator.account_interval);
    let reloads = async {
        while sighup.recv().await.is_some() {
            reload(&broker, &sources, &text, &account_interval);
        }
    };
    let accounts = async {
        loop {
            broker.sleep(account_interval.get()).await;
            account_writer.write();
        }
    };
    let termination = async {
        sigterm.recv().await;
        group.iter().for_each(|group| group.send(OperatorCommand::LeaveGroup));
        if let Some(path) = &handover_path {
            upgrade::write_handover(
                &broker,
                path,
                &config.name,
                broker.now() + shutdown_span(&broker) + EXIT_GRACE,
            );
        }
        shut_down(&broker, &idle_at_exit, &connections, shared).await;
        account_writer.write();
    };
    let admin_tasks = async {
        admin_tasks.await;
        std::future::pending().await
    };
    let listen_error = async {
        match clients.await {
            Ok(Err(e)) => e,
            _ => std::future::pending().await,
        }
    };
    tokio::select! {
        biased;
        () = admin_tasks => {}
        () = termination => {}
        e = listen_error => return Err(e),
        // They end only with the runtime.
        () = reloads => {}
        () = accounts => {}
    }
    Ok(())
}

/// Waits until the list of servers may be used. The list in the configuration may be outdated, and changes since then count as
/// notified soon after the start, whether or not they were requested: so discovery is awaited first, unless it is unreachable.
async fn wait_for_first_list(broker: &Broker, shared: bool) {
    // An older process serves meanwhile, or an agent has the list: a failed call is not final.
    let has_fallback = shared || broker.list_is_pushed();
    let timeout = if has_fallback { FIRST_LIST_TIMEOUT_WITH_FALLBACK } else { FIRST_LIST_TIMEOUT };
    let mut state = broker.list_state();
    let is_usable = |state: &ListState| match state {
        ListState::Configured => false,
        ListState::Confirmed => true,
        ListState::Unreachable => !has_fallback,
    };
    tokio::select! {
        _ = state.wait_for(is_usable) => {}
        () = broker.sleep(timeout) => tracing::warn!("discovery has not answered yet: serving with the configured list"),
    }
}

/// Returns the names of the classes, in descending order of worth.
pub fn classes_by_worth(names: &[String], worths: &[f64]) -> Vec<String> {
    let mut classes: Vec<(&f64, &String)> = worths.iter().zip(names).collect();
    classes.sort_by(|a, b| b.0.total_cmp(a.0));
    classes.into_iter().map(|(_, name)| name.clone()).collect()
}

/// Returns what the zone router needs to know about this balancer.
fn balancer_context(
    config: &Config,
    started: u64,
    broker: &Broker,
    settings: &crate::Settings,
) -> Result<BalancerContext, String> {
    let zones = broker.names().zones().to_vec();
    let zone = settings.zone.and_then(|zone| zones.get(zone)).cloned();
    let zone =
        zone.ok_or("[failover]: the platform gives no zone for this balancer (MyZone): remove the section")?;
    Ok(BalancerContext {
        name: config.name.clone(),
        started,
        zone,
        zones,
        classes: broker.names().classes().to_vec(),
        warm_up: (settings.rules.cold_share, settings.rules.warmup_time),
        balancer_count: settings.peers_total,
        max_retry_after: settings.limits.max_retry_after,
    })
}

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}

/// Writes the teams' accounts to the log, one record per team; all counts start with the program.
struct AccountWriter {
    broker: Rc<Broker>,
    balancer: String,
    started: u64,
}

impl AccountWriter {
    fn write(&self) {
        let now = self.broker.now();
        let rows = self.broker.contracts(|contracts| contracts.account_rows(now)).unwrap_or_default();
        rows.iter().for_each(|row| logging::write_account(&self.balancer, self.started, row));
    }
}

/// Reads both files again. An invalid file changes nothing. From a valid configuration a running balancer applies the address
/// of discovery; from a valid operator's file the contracts, rebalancing and the interval of the account.
fn reload(broker: &Broker, sources: &Sources, startup_text: &str, account_interval: &std::cell::Cell<u64>) {
    let read = Config::read(&sources.config).and_then(|(config, text)| {
        let (settings, _) = config.settings.translate().map_err(|e| e.to_string())?;
        settings.validate().map_err(|e| e.to_string())?;
        Ok((config, text))
    });
    match read {
        Ok((config, text)) => {
            let ignored = match &Config::changes_ignored_until_restart(startup_text, &text)[..] {
                [] => String::new(),
                names => format!("; ignored until the next start: {}", names.join(", ")),
            };
            let discovery = config.discovery;
            tracing::info!("configuration read again: discovery is at {discovery}{ignored}");
            broker.set_discovery_address(discovery);
        }
        Err(e) => tracing::error!("configuration rejected, the previous one stays in force: {e}"),
    }
    // Checked against the configuration of the start: its classes do not change while the program runs.
    let startup_config = serde_json::from_str::<Config>(startup_text).map_err(|e| e.to_string());
    match startup_config.and_then(|config| sources.operator(&config)) {
        Ok(operator) => {
            operator.warnings.iter().for_each(|w| tracing::warn!("{w}"));
            account_interval.set(operator.account_interval);
            broker.set_rebalance(operator.rebalance);
            let changes = broker.set_contracts(operator.terms);
            for c in &changes {
                let (team, key, before, after) = (&c.team, c.key, &c.before, &c.after);
                tracing::info!(team, key, before, after, "contract changed");
            }
            tracing::info!("operator's file read again: {} contract changes applied", changes.len());
        }
        Err(e) => tracing::error!("operator's file rejected, the previous one stays in force: {e}"),
    }
}

/// Returns the time from SIGTERM to the planned end, in microseconds.
fn shutdown_span(broker: &Broker) -> u64 {
    broker.max_deadline().clamp(NEW_CONNECTIONS_AFTER_SIGTERM, MAX_SHUTDOWN_SPAN)
}

/// Shuts down after SIGTERM: goes on answering, and asks every client to reconnect before the process may be killed. Returns
/// after the planned end, when no connection is left.
///
/// If a newer process serves the same socket, clients can reconnect at once: they are asked from the beginning, and the
/// shutdown ends with the last connection.
async fn shut_down(
    broker: &Rc<Broker>,
    idle: &IdleConnections,
    connections: &ConnectionCounter,
    shared: bool,
) {
    let (begun, span) = (broker.now(), shutdown_span(broker));
    let (from, end) = (if shared { begun } else { begun + span * MOVE_START_TENTHS / 10 }, begun + span);
    tracing::info!("leaving: {} connections are asked to reconnect", broker.active_commands());
    broker.shut_down(from, end);
    let mut final_answers_since = None;
    loop {
        let now = broker.now();
        if shared && connections.count() == 0 && now >= begun + NEW_CONNECTIONS_AFTER_SIGTERM {
            break;
        }
        if now >= end {
            // Idle connections get a final answer before the close: their clients may be sending a request at this moment.
            idle.evict_waiting();
            let answers_end = *final_answers_since.get_or_insert(now) + FINAL_ANSWERS_SPAN;
            let closed = connections.count() == 0 || (now >= answers_end && broker.close_limit_passed());
            if closed && broker.active_commands() == 0 || now >= end + EXIT_GRACE {
                break;
            }
        }
        broker.sleep(EXIT_POLL_INTERVAL).await;
    }
    tracing::info!("left with {} connections in hand", broker.active_commands());
}

/// Returns an error if a file or variable of earlier versions is present, so that its contracts are not ignored silently.
pub fn reject_obsolete_files(directory: &Path) -> Result<(), String> {
    let obsolete =
        [("OAKDEAL_XMPP", "xmpp.toml", "[xmpp]"), ("OAKDEAL_SERVICES", "services.toml", "[[team]]")];
    for (variable, file, section) in obsolete {
        if std::env::var_os(variable).is_some() {
            let text = "is no longer read: name the operator's file in OAKDEAL_OPERATOR and write its";
            return Err(format!("{variable} {text} {section} section (docs/contracts.md)"));
        }
        let path = directory.join("deploy").join(file);
        if path.exists() {
            let text = "is no longer read: move its settings into the section";
            return Err(format!(
                "{} {text} {section} of deploy/oakdeal.toml (docs/contracts.md)",
                path.display()
            ));
        }
    }
    Ok(())
}
