//! The loss ledger: attributes the worth of each half second of a run to causes, from the debug logs of all balancers.
//!
//! Guaranteed: at each sample, every client that wants its connection is counted in exactly one column, with the worth
//! of its class. Not guaranteed: the true load of a server, which these logs do not contain. It is estimated as the
//! reported loads plus `group_cost` mean connections for each group there, over the server's registered size (the warm
//! part of it while it is cold). The columns of established clients are named after that estimate.

pub mod read;

use read::{Instance, LogEvent, ParsedLogs};
use std::collections::{BTreeMap, BTreeSet};

/// Parameters of the ledger.
#[derive(Clone, Debug)]
pub struct LedgerSettings {
    /// Worth of a second of connection time, by class.
    pub worth: Vec<f64>,
    /// Cost of a group at each server that holds any of it, in mean connections.
    pub group_cost: f64,
    /// A cold server's initial share of its capacity, and the seconds until it is warm.
    pub warm_up: (f64, f64),
    /// Seconds between two samples.
    pub sample_interval: f64,
}

impl Default for LedgerSettings {
    fn default() -> LedgerSettings {
        LedgerSettings {
            worth: vec![5.0, 15.0],
            group_cost: 3.0,
            warm_up: (0.13, 23.0),
            sample_interval: 0.5,
        }
    }
}

/// Worth by name of the column.
pub type Columns = BTreeMap<String, f64>;

/// The ledger of a run.
#[derive(Debug, Default)]
pub struct Ledger {
    /// Time and worth by column, for each sample.
    pub samples: Vec<(f64, Columns)>,
    /// Total worth by column, for each class.
    pub classes: BTreeMap<usize, Columns>,
    /// Total worth by column, for each zone of the server that holds the connection; `none` if no server does.
    pub zones: BTreeMap<String, Columns>,
    /// Mean number of servers that a group is servers_per_group over, for each sample.
    pub servers_per_group: Vec<f64>,
}

#[derive(Clone, Debug, Default)]
struct Client {
    class: usize,
    group: String,
    /// Server that holds the connection.
    server: Option<u32>,
    load: Option<f64>,
    /// Column of a client without a connection.
    column: String,
    finished: bool,
}

/// Returns the column for clients of a server with this estimated load over its capacity.
fn established_column(load_ratio: f64) -> &'static str {
    match load_ratio {
        ratio if ratio > 1.3 => "stands over 1.3",
        ratio if ratio > 1.0 => "stands over 1",
        ratio if ratio > 0.75 => "stands over 3/4",
        _ => "stands well",
    }
}

/// Builds the ledger from the events of a run.
pub fn build_ledger(logs: &ParsedLogs, settings: &LedgerSettings) -> Ledger {
    let (mut ledger, mut clients) = (Ledger::default(), BTreeMap::<String, Client>::new());
    let (mut keys, mut next_sample) = (BTreeMap::<&str, String>::new(), settings.sample_interval);
    for line in &logs.lines {
        while line.t >= next_sample {
            sample(&mut ledger, &clients, logs, settings, next_sample);
            next_sample += settings.sample_interval;
        }
        if let LogEvent::Requested { key, group, class, returned, server } = &line.event {
            keys.insert(&line.call, key.clone());
            let old = clients.remove(key).unwrap_or_default();
            let column = if *returned || old.column.ends_with("back") { "asks, is back" } else { "asks" };
            let (class, group, server, load) = (*class, group.clone(), *server, old.load);
            clients.insert(
                key.clone(),
                Client { class, group, server, load, column: column.into(), finished: false },
            );
            continue;
        }
        let Some(client) = keys.get(line.call.as_str()).and_then(|key| clients.get_mut(key)) else {
            continue;
        };
        match &line.event {
            LogEvent::Requested { .. } => {}
            LogEvent::Established { server } => client.server = Some(*server),
            LogEvent::Load(load) => client.load = Some(*load),
            LogEvent::Refused => {
                client.column = format!("refused{}", client.column.trim_start_matches("asks"))
            }
            LogEvent::ClientLeft => (client.server, client.column) = (None, "left before its answer".into()),
            LogEvent::Ended { outcome } => match (client.server.take().is_some(), outcome.as_str()) {
                (true, "Ok") => client.finished = true,
                (true, "Cancelled") => client.column = "moved or left".into(),
                (true, outcome) => client.column = format!("broken: {outcome}"),
                (false, outcome) => client.column = format!("tried: {outcome}"),
            },
        }
    }
    ledger
}

fn sample(
    ledger: &mut Ledger,
    clients: &BTreeMap<String, Client>,
    logs: &ParsedLogs,
    settings: &LedgerSettings,
    now: f64,
) {
    let wanted = || clients.values().filter(|c| !c.finished);
    let loads: Vec<f64> = wanted().filter(|c| c.server.is_some()).filter_map(|c| c.load).collect();
    let mean = loads.iter().sum::<f64>() / loads.len().max(1) as f64;
    let mut servers = BTreeMap::<u32, (f64, BTreeSet<&str>)>::new();
    for (client, server) in wanted().filter_map(|c| Some((c, c.server?))) {
        let entry = servers.entry(server).or_default();
        entry.0 += client.load.unwrap_or(mean);
        entry.1.insert(&client.group);
    }
    let load_ratio = |server: u32| {
        let unlisted = Instance { size: 2.0, ..Instance::default() };
        let (load, groups) = &servers[&server];
        let instance = logs.instances.get(&server).unwrap_or(&unlisted);
        let age =
            if instance.listed_at > 0.0 { (now - instance.listed_at).max(0.0) } else { settings.warm_up.1 };
        let warm = (settings.warm_up.0 + (1.0 - settings.warm_up.0) * age / settings.warm_up.1).min(1.0);
        (load + settings.group_cost * mean * groups.len() as f64) / (instance.size * 1e6 * warm)
    };
    let mut columns = Columns::new();
    for client in wanted() {
        let name =
            client.server.map_or(client.column.as_str(), |server| established_column(load_ratio(server)));
        let worth = settings.worth.get(client.class).copied().unwrap_or(1.0);
        *columns.entry(name.into()).or_default() += worth;
        *ledger.classes.entry(client.class).or_default().entry(name.into()).or_default() += worth;
        let zone = client.server.and_then(|server| logs.instances.get(&server)).map_or("none", |i| &i.zone);
        *ledger.zones.entry(zone.into()).or_default().entry(name.into()).or_default() += worth;
    }
    let groups: BTreeSet<&str> = servers.values().flat_map(|(_, groups)| groups.iter().copied()).collect();
    let placements: usize = servers.values().map(|(_, groups)| groups.len()).sum();
    ledger.servers_per_group.push(placements as f64 / groups.len().max(1) as f64);
    ledger.samples.push((now, columns));
}

/// Adds up columns and returns each one's share of the total.
pub fn column_shares<'a>(columns: impl IntoIterator<Item = &'a Columns>) -> Columns {
    let mut total = Columns::new();
    columns.into_iter().flatten().for_each(|(name, worth)| *total.entry(name.clone()).or_default() += worth);
    let total_worth: f64 = total.values().sum();
    total.values_mut().for_each(|worth| *worth /= total_worth.max(f64::MIN_POSITIVE));
    total
}
