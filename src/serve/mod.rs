//! `oakdeal serve`: the balancer from its start to its end. What lives here is the order of things: what is read
//! first, what a signal changes, when clients are asked to leave.

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
use crate::net::admin::{self, Door};
use crate::net::inherited::{Listener, Reserved};
use crate::net::lobby::Lobby;
use crate::net::xmpp::Front;
use crate::net::Connections;
use crate::operator::Operator;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::{SystemTime, UNIX_EPOCH};
use tokio::signal::unix::{signal, SignalKind};
use tokio::task::{spawn_local, LocalSet};

/// Descriptors that are kept for other things than connections: the listeners, discovery, the runtime's own,
/// and connections of the lobby that are about to end.
const RESERVED: usize = 32 + admin::SEATS;
/// Of the rest, this part are seats of the lobby, so that those who ask nothing never take from those who do.
const LOBBY: usize = 5;
/// SIGKILL comes no sooner after SIGTERM than the longest deadline, taken for this where it is longer, and some
/// tenths of a second more.
const LONGEST_END: u64 = 3_000_000;
/// From when on in that time clients are asked to come again, in tenths: in a rolling restart the balancer before
/// this one needs seconds to be let in again, and until then a client that was sent away has nowhere to go.
const FROM: u64 = 6;
/// Who has not left by the end is waited for so long more.
const OVERTIME: u64 = 2_000_000;
/// For so long after SIGTERM new connections keep coming, whoever is there to take them.
const COMING: u64 = 600_000;
/// At the end resting connections get an answer and a soft close, and whoever asked in that moment a word: so long it may take.
/// SIGKILL comes 0.7 s after the end at the soonest.
const PARTING: u64 = 300_000;
/// A start beside an older process waits so long for discovery's word; the platform waits six seconds.
const UNTOLD: u64 = 2_000_000;

/// Longest wait for discovery's first answer where no other process serves meanwhile: a call that is spread over the fleet and
/// queued has been answered or has failed by then.
pub const FIRST_LIST: u64 = 6_000_000;

/// What the program is told at its start.
#[derive(Clone, Debug)]
pub struct Sources {
    /// The platform's configuration.
    pub config: PathBuf,
    /// The operator's file.
    pub operator: PathBuf,
    /// Whether somebody named it: then it must exist.
    pub named: bool,
}

impl Sources {
    /// Reads the operator's file against the settings' classes.
    fn operator(&self, config: &Config) -> Result<Operator, String> {
        let operator = Operator::read(&self.operator, self.named).map_err(|e| e.to_string())?;
        let classes = config.settings.classes.as_deref().unwrap_or_default();
        let known = |class: &str| classes.iter().any(|c| c.name.as_deref() == Some(class));
        match operator.unknown_class(known) {
            Some(what) => Err(format!("{}: {what}", self.operator.display())),
            None => Ok(operator),
        }
    }
}

/// Serves until the program is told to end.
pub async fn run(sources: Sources) -> Result<(), String> {
    // Taken from the first moment on: without a handler SIGHUP ends the process.
    let taken = |kind| signal(kind).map_err(|e| format!("cannot take signals: {e}"));
    let (mut term, mut hang_up) = (taken(SignalKind::terminate())?, taken(SignalKind::hangup())?);
    let (mut config, text) = Config::read(&sources.config)?;
    let operator = sources.operator(&config)?;
    tracing::debug!("told at the start: {text}");
    operator.warnings.iter().for_each(|w| tracing::warn!("{w}"));
    let (settings, names) = config.settings.translate().map_err(|e| e.to_string())?;
    let (peers, must_ask_in_us) = (settings.peers_total, settings.max_poll_interval);
    tracing::debug!(peers, must_ask_in_us, discovery = ?settings.discovery, "discovery: settings");
    let seed = config.seed();
    let admin = config
        .admin(std::env::var("LB_ADMIN").ok())
        .map_err(|e| sources.config.display().to_string() + ": " + &e)?;
    let descriptors = config.limits.sockets.saturating_sub(RESERVED);
    let seats = descriptors / LOBBY;
    let worths: Vec<f64> = settings.classes.iter().map(|c| c.worth).collect();
    let zoned = settings.clone();
    let (broker, ordered) =
        Broker::new(settings, names, seed, descriptors - seats).map_err(|e| e.to_string())?;
    let accounted = operator.terms.is_some();
    let (mut plans, started) = (None, unix_ms());
    if let Some(terms) = operator.failover {
        if zoned.peers_total > crate::placement::SMALL_FLEET_NODES {
            // Measured in simulated time: docs/failover.md.
            tracing::warn!("[failover] is not for so many balancers yet: groups are cut by zone, and cold servers may be filled too fast");
        }
        plans = Some((terms.clone(), worthiest(broker.names().classes(), &worths)));
        broker.zones(terms, place_of(&config, started, &broker, &zoned)?);
    }
    broker.contract(operator.terms);
    broker.rebalance(operator.rebalance);
    let mut group = None;
    if let Some(mut settings) = operator.group {
        // Where there are no contracts there is no account.
        settings.tasks.retain(|task| task != ACCOUNT_TASK || accounted);
        let (mut task, board) = Group::start(settings, &config.name, started, seed).await?;
        if let Some((terms, classes)) = plans {
            task.enable_zone_plans(&terms, broker.names().zones(), classes);
        }
        spawn_local(task.run(broker.clone()));
        group = Some(board);
    }
    let lobby = Lobby::new(broker.clone(), seats);
    let parting = lobby.clone();
    let listener = match std::env::var("LB_FD") {
        Ok(descriptor) if !descriptor.is_empty() => {
            Reserved::Inherited(Listener::inherited(&descriptor, config.listen)?)
        }
        _ => Reserved::bind(config.listen)?,
    };
    let shared = listener.shared();
    let place = upgrade::place().filter(|_| shared);
    place.iter().for_each(|place| upgrade::clear(place));

    let sweeper = broker.clone();
    spawn_local(async move { sweeper.sweep().await });
    spawn_local(net::orders(broker.clone(), ordered, config.discovery));
    if let Some(known) = config.known.take() {
        broker.listed(ListKind::Cached, known);
    } else {
        broker.no_list();
    }
    let keeper = broker.clone();
    spawn_local(async move { keeper.keep_contracts().await });
    let keeper = broker.clone();
    spawn_local(async move { keeper.keep_drain().await });
    let guests = lobby.clone();
    let connections = Connections::default();
    let serve = move |stream, from| net::platform::serve(guests.clone(), stream, from);
    let xmpp = match operator.xmpp {
        Some(file) => {
            let address = file.listen.ok_or("the XMPP front has no address")?;
            let front = Rc::new(Front::new(broker.clone(), file)?);
            let serve = move |stream, from| net::xmpp::serve(front.clone(), lobby.clone(), stream, from);
            Some((Reserved::bind(address)?, serve))
        }
        None => None,
    };

    // Polled by the program's main future, so before all connections in each turn of the loop.
    let door = LocalSet::new();
    if let Some(address) = admin {
        let listener = Listener::bind(address);
        let listener = listener.map_err(|e| format!("admin: {e}; give an address that is free"))?;
        let at = listener.at()?;
        let lobby = Lobby::new(broker.clone(), admin::SEATS);
        let inside = Door::new(Operations::new(broker.clone()), group.clone(), lobby);
        let serve = move |stream, from| admin::serve(inside.clone(), stream, from);
        door.spawn_local(net::accept(broker.clone(), listener, Connections::default(), "operators", serve));
        tracing::info!("{} answers operators on {at}", config.name);
    }

    let (host, name, left) = (broker.clone(), config.name.clone(), place.clone());
    let counted = connections.clone();
    let clients = async move {
        first_list(&host, shared).await;
        if host.leaving() && !shared {
            return Ok(());
        }
        host.begin();
        if let Some((reserved, serve)) = xmpp {
            let listener = reserved.listen()?;
            tracing::info!("{name} serves XMPP on {}", listener.at()?);
            spawn_local(net::accept(host.clone(), listener, counted.clone(), "xmpp clients", serve));
        }
        let listener = listener.listen()?;
        tracing::info!("{name} serves {}", listener.at()?);
        if let Some(place) = left {
            spawn_local(upgrade::take_up(host.clone(), place, name));
        }
        spawn_local(net::accept(host, listener, counted, "clients", serve));
        Ok::<(), String>(())
    };
    let clients = spawn_local(clients);

    let clerk = Clerk { broker: broker.clone(), balancer: config.name.clone(), started };
    let every = std::cell::Cell::new(operator.every);
    let reloads = async {
        while hang_up.recv().await.is_some() {
            reload(&broker, &sources, &text, &every);
        }
    };
    let accounts = async {
        loop {
            broker.after(every.get()).await;
            clerk.write();
        }
    };
    let ends = async {
        term.recv().await;
        group.iter().for_each(|group| group.send(OperatorCommand::LeaveGroup));
        if let Some(place) = &place {
            upgrade::leave(&broker, place, &config.name, broker.now() + span(&broker) + OVERTIME);
        }
        leave(&broker, &parting, &connections, shared).await;
        clerk.write();
    };
    let door = async {
        door.await;
        std::future::pending().await
    };
    let cannot_listen = async {
        match clients.await {
            Ok(Err(e)) => e,
            _ => std::future::pending().await,
        }
    };
    tokio::select! {
        biased;
        () = door => {}
        () = ends => {}
        e = cannot_listen => return Err(e),
        // They end only with the runtime.
        () = reloads => {}
        () = accounts => {}
    }
    Ok(())
}

/// Waits until the list of servers may be served from. The one that came with the configuration may be old, and what has changed
/// since counts as notified soon after, whether or not it was asked for: so discovery is heard first, unless it cannot be reached.
async fn first_list(broker: &Broker, shared: bool) {
    // An older process serves meanwhile, or an agent has the list: a failed call is not the last word.
    let patient = shared || broker.pushed();
    let longest = if patient { UNTOLD } else { FIRST_LIST };
    let mut state = broker.list_state();
    let enough = |state: &ListState| match state {
        ListState::Given => false,
        ListState::Confirmed => true,
        ListState::Unreachable => !patient,
    };
    tokio::select! {
        _ = state.wait_for(enough) => {}
        () = broker.after(longest) => tracing::warn!("discovery has told nothing yet: serving by the list given"),
    }
}

/// The classes' names, the worthiest first.
pub fn worthiest(names: &[String], worths: &[f64]) -> Vec<String> {
    let mut all: Vec<(&f64, &String)> = worths.iter().zip(names).collect();
    all.sort_by(|a, b| b.0.total_cmp(a.0));
    all.into_iter().map(|(_, name)| name.clone()).collect()
}

/// Where this balancer is, for a plan of zones.
fn place_of(
    config: &Config,
    started: u64,
    broker: &Broker,
    settings: &crate::Settings,
) -> Result<BalancerContext, String> {
    let zones = broker.names().zones().to_vec();
    let zone = settings.zone.and_then(|zone| zones.get(zone)).cloned();
    let zone =
        zone.ok_or("[failover]: the platform names no zone of this balancer (MyZone): take the section out")?;
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

/// Writes the teams' accounts to the log, one record a team; all counts are from the start of the program on.
struct Clerk {
    broker: Rc<Broker>,
    balancer: String,
    started: u64,
}

impl Clerk {
    fn write(&self) {
        let now = self.broker.now();
        let rows = self.broker.contracts(|contracts| contracts.account_rows(now)).unwrap_or_default();
        rows.iter().for_each(|row| logging::write_account(&self.balancer, self.started, row));
    }
}

/// Reads both files again. A bad one leaves all that was in force; of a good configuration a running balancer
/// takes over where discovery is, and of a good operator's file the contracts.
fn reload(broker: &Broker, sources: &Sources, begun: &str, every: &std::cell::Cell<u64>) {
    let read = Config::read(&sources.config).and_then(|(config, text)| {
        let (settings, _) = config.settings.translate().map_err(|e| e.to_string())?;
        settings.validate().map_err(|e| e.to_string())?;
        Ok((config, text))
    });
    match read {
        Ok((config, now)) => {
            let ignored = match &Config::ignored(begun, &now)[..] {
                [] => String::new(),
                names => format!("; ignored until the next start: {}", names.join(", ")),
            };
            let discovery = config.discovery;
            tracing::info!("configuration read again: discovery is at {discovery}{ignored}");
            broker.discovery_at(discovery);
        }
        Err(e) => tracing::error!("configuration not taken over, the old one stays in force: {e}"),
    }
    // Against the configuration that is in force: its classes do not change while the program runs.
    let began = serde_json::from_str::<Config>(begun).map_err(|e| e.to_string());
    match began.and_then(|config| sources.operator(&config)) {
        Ok(operator) => {
            operator.warnings.iter().for_each(|w| tracing::warn!("{w}"));
            every.set(operator.every);
            broker.rebalance(operator.rebalance);
            let changes = broker.contract(operator.terms);
            for c in &changes {
                let (team, key, before, after) = (&c.team, c.key, &c.before, &c.after);
                tracing::info!(team, key, before, after, "contract changed");
            }
            tracing::info!("operator's file read again: {} changes in force", changes.len());
        }
        Err(e) => tracing::error!("operator's file not taken over, the old one stays in force: {e}"),
    }
}

/// The time in which all that stands is asked to move once the program is to end.
fn span(broker: &Broker) -> u64 {
    broker.longest().clamp(COMING, LONGEST_END)
}

/// The program is to end: it goes on answering, and asks every client to come again, in time before it may
/// be killed. It ends when that time has come and nothing is left.
///
/// Where it shares its socket with a process that comes after it there is somebody to come back to at once, and it
/// ends when its last connection has.
async fn leave(broker: &Rc<Broker>, lobby: &Lobby, connections: &Connections, shared: bool) {
    let (begun, span) = (broker.now(), span(broker));
    let (from, end) = (if shared { begun } else { begun + span * FROM / 10 }, begun + span);
    tracing::info!("leaving: {} connections are asked to come again", broker.in_hand());
    broker.leave(from, end);
    let mut parts = None;
    loop {
        let now = broker.now();
        if shared && connections.open() == 0 && now >= begun + COMING {
            break;
        }
        if now >= end {
            // Nobody is left without an answer: who rests here may be asking in this very moment.
            lobby.clear();
            let parted = connections.open() == 0 || now >= *parts.get_or_insert(now) + PARTING;
            if parted && broker.in_hand() == 0 || now >= end + OVERTIME {
                break;
            }
        }
        broker.after(20_000).await;
    }
    tracing::info!("left with {} connections in hand", broker.in_hand());
}

/// A plain word on files that earlier versions read, so that nobody's contracts vanish silently.
pub fn forgotten(here: &Path) -> Result<(), String> {
    let old = [("OAKDEAL_XMPP", "xmpp.toml", "[xmpp]"), ("OAKDEAL_SERVICES", "services.toml", "[[team]]")];
    for (variable, file, section) in old {
        if std::env::var_os(variable).is_some() {
            let text = "is not read any more: name the operator's file in OAKDEAL_OPERATOR and write its";
            return Err(format!("{variable} {text} {section} section (docs/contracts.md)"));
        }
        let path = here.join("deploy").join(file);
        if path.exists() {
            let text = "is not read any more: take it over into the section";
            return Err(format!(
                "{} {text} {section} of deploy/oakdeal.toml (docs/contracts.md)",
                path.display()
            ));
        }
    }
    Ok(())
}
