//! The ledger of loss: from the debug logs of all balancers of one day, where the worth of each half second went.
//!
//! Promised: every client that wants its connection is counted in exactly one column at each look, with its class's worth.
//! Not promised: what a server does is not in these logs. How full it is is reckoned: loads told, and `group_cost` mean
//! connections for each group there, beside its registered size (a cold one's part of it). The column is named for that.

pub mod read;

use read::{Day, Instance, Word};
use std::collections::{BTreeMap, BTreeSet};

/// How the ledger reckons.
#[derive(Clone, Debug)]
pub struct Terms {
    /// Worth of a second by class.
    pub worth: Vec<f64>,
    /// What each server pays for a group, in mean connections.
    pub group_cost: f64,
    /// A cold server's first share, and the seconds until it is warm.
    pub cold: (f64, f64),
    /// Seconds between two looks.
    pub step: f64,
}

impl Default for Terms {
    fn default() -> Terms {
        Terms { worth: vec![5.0, 15.0], group_cost: 3.0, cold: (0.13, 23.0), step: 0.5 }
    }
}

/// Worth by column.
pub type Columns = BTreeMap<String, f64>;

/// The ledger.
#[derive(Debug, Default)]
pub struct Ledger {
    /// By look: when, and the worth in each column.
    pub looks: Vec<(f64, Columns)>,
    /// By class.
    pub classes: BTreeMap<usize, Columns>,
    /// By zone of the server that a client stands at.
    pub zones: BTreeMap<String, Columns>,
    /// By look: at how many servers a group stands, in the mean.
    pub spread: Vec<f64>,
}

#[derive(Clone, Debug, Default)]
struct Client {
    class: usize,
    group: String,
    /// Where it stands.
    at: Option<u32>,
    load: Option<f64>,
    /// Why it does not stand, if it does not.
    off: String,
    done: bool,
}

/// How full a server is, as a column.
fn column(used: f64) -> &'static str {
    match used {
        u if u > 1.3 => "stands over 1.3",
        u if u > 1.0 => "stands over 1",
        u if u > 0.75 => "stands over 3/4",
        _ => "stands well",
    }
}

/// Reckons a day.
pub fn reckon(day: &Day, terms: &Terms) -> Ledger {
    let (mut ledger, mut clients) = (Ledger::default(), BTreeMap::<String, Client>::new());
    let (mut keys, mut next) = (BTreeMap::<&str, String>::new(), terms.step);
    for line in &day.lines {
        while line.t >= next {
            look(&mut ledger, &clients, day, terms, next);
            next += terms.step;
        }
        if let Word::Asks { key, group, class, back, at } = &line.word {
            keys.insert(&line.call, key.clone());
            let old = clients.remove(key).unwrap_or_default();
            let off = if *back || old.off.ends_with("back") { "asks, is back" } else { "asks" };
            let (class, group, at, load) = (*class, group.clone(), *at, old.load);
            clients.insert(key.clone(), Client { class, group, at, load, off: off.into(), done: false });
            continue;
        }
        let Some(client) = keys.get(line.call.as_str()).and_then(|key| clients.get_mut(key)) else {
            continue;
        };
        match &line.word {
            Word::Asks { .. } => {}
            Word::Stands { at } => client.at = Some(*at),
            Word::Load(load) => client.load = Some(*load),
            Word::Refused => client.off = format!("refused{}", client.off.trim_start_matches("asks")),
            Word::Vanished => (client.at, client.off) = (None, "left before its answer".into()),
            Word::Ends { how } => match (client.at.take().is_some(), how.as_str()) {
                (true, "Ok") => client.done = true,
                (true, "Cancelled") => client.off = "moved or left".into(),
                (true, how) => client.off = format!("broken: {how}"),
                (false, how) => client.off = format!("tried: {how}"),
            },
        }
    }
    ledger
}

fn look(ledger: &mut Ledger, clients: &BTreeMap<String, Client>, day: &Day, terms: &Terms, now: f64) {
    let wanting = || clients.values().filter(|c| !c.done);
    let told: Vec<f64> = wanting().filter(|c| c.at.is_some()).filter_map(|c| c.load).collect();
    let mean = told.iter().sum::<f64>() / told.len().max(1) as f64;
    let mut servers = BTreeMap::<u32, (f64, BTreeSet<&str>)>::new();
    for (client, at) in wanting().filter_map(|c| Some((c, c.at?))) {
        let server = servers.entry(at).or_default();
        server.0 += client.load.unwrap_or(mean);
        server.1.insert(&client.group);
    }
    let used = |at: u32| {
        let usual = Instance { size: 2.0, ..Instance::default() };
        let (load, groups) = &servers[&at];
        let instance = day.instances.get(&at).unwrap_or(&usual);
        let age = if instance.since > 0.0 { (now - instance.since).max(0.0) } else { terms.cold.1 };
        let warm = (terms.cold.0 + (1.0 - terms.cold.0) * age / terms.cold.1).min(1.0);
        (load + terms.group_cost * mean * groups.len() as f64) / (instance.size * 1e6 * warm)
    };
    let mut columns = Columns::new();
    for client in wanting() {
        let name = client.at.map_or(client.off.as_str(), |at| column(used(at)));
        let worth = terms.worth.get(client.class).copied().unwrap_or(1.0);
        *columns.entry(name.into()).or_default() += worth;
        *ledger.classes.entry(client.class).or_default().entry(name.into()).or_default() += worth;
        let zone = client.at.and_then(|at| day.instances.get(&at)).map_or("none", |i| &i.zone);
        *ledger.zones.entry(zone.into()).or_default().entry(name.into()).or_default() += worth;
    }
    let groups: BTreeSet<&str> = servers.values().flat_map(|(_, groups)| groups.iter().copied()).collect();
    let parts: usize = servers.values().map(|(_, groups)| groups.len()).sum();
    ledger.spread.push(parts as f64 / groups.len().max(1) as f64);
    ledger.looks.push((now, columns));
}

/// Shares of a sum of columns.
pub fn shares<'a>(columns: impl IntoIterator<Item = &'a Columns>) -> Columns {
    let mut sum = Columns::new();
    columns.into_iter().flatten().for_each(|(name, worth)| *sum.entry(name.clone()).or_default() += worth);
    let all: f64 = sum.values().sum();
    sum.values_mut().for_each(|worth| *worth /= all.max(f64::MIN_POSITIVE));
    sum
}
