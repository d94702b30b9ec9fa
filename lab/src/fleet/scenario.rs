//! What the rig plays: so many processes, and faults at their times or drawn by the seed.

use oakdeal::operator::spans::Span;
use serde::Deserialize;
use std::path::Path;

/// A scenario of the rig.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// One line on what it plays.
    pub title: String,
    /// How long faults may begin.
    pub length: Span,
    /// Processes, the first three of which vote.
    #[serde(default = "five")]
    pub processes: usize,
    /// A lease's span.
    #[serde(default = "span")]
    pub span: Span,
    /// How far each process's clock runs from true time; those that are left out run true.
    #[serde(default)]
    pub clocks: Vec<f64>,
    /// So many more faults are drawn by the seed; they overlap.
    #[serde(default)]
    pub random: usize,
    /// Faults at their times.
    #[serde(default)]
    pub fault: Vec<Fault>,
    /// Servers in three zones of two regions, clients all the time, and the fleet's plan for them.
    pub zones: Option<Zones>,
}

/// Zones a and b are one region, c is another; a process stands in the zone of its number.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Zones {
    /// Servers in each zone.
    pub servers: usize,
    /// Connections that each carries.
    pub room: u64,
    /// Clients of each process.
    pub clients: usize,
    /// Changes of state that the whole run may have.
    pub changes: usize,
    /// Of all tries so many in a hundred must be served, over the whole run.
    pub served: f64,
    /// Zones that are left at some time; none of the others may be.
    #[serde(default)]
    pub left: Vec<String>,
}

/// The names of zones.
pub const ZONES: [&str; 3] = ["a", "b", "c"];

/// A fault.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// When.
    pub at: Span,
    /// For how long.
    pub length: Span,
    /// What.
    pub kind: Kind,
    /// Whom.
    pub who: Who,
}

/// Kinds of faults.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// Killed, and started again with what it kept.
    Kill,
    /// Stopped and continued (SIGSTOP, SIGCONT).
    Stop,
    /// Stopped between its decision to act under a lease and the act, and continued.
    StopBeforeAct,
    /// Cut off both ways.
    Cut,
    /// It hears and is not heard.
    Mute,
    /// It is heard and hears nothing.
    Deaf,
    /// Its links lose 30%, double as much, and are late by up to 200 ms.
    Noise,
    /// Its links are cut and healed every 300 ms.
    Flap,
    /// They are cut from all others, not from each other.
    Part,
    /// The links between them and the others are cut and healed every 300 ms, those among them not.
    Wobble,
    /// Its links pass 4 KB a second at most.
    Narrow,
    /// A voter is killed and its folder is lost; after the fault it comes back with a new one.
    Lost,
    /// A voter is killed after the fault and started with the copy of its folder from before it, which it must refuse; then it
    /// comes back with a new one.
    Old,
    /// A voter is killed in mid-write and half of its folder is gone; what it says of it is whole or refused, and then as for `lost`.
    Torn,
    /// A voter is killed and started with a folder that takes nothing any more, until the fault is over.
    Full,
    /// It does not reach discovery.
    Blind,
    /// It does not reach the servers.
    Away,
    /// A zone's servers end all connections and take none.
    Dead,
    /// A zone's servers are silent, as behind a cut link.
    Dark,
    /// A zone's servers answer probes and end connections.
    Fails,
    /// A zone's servers take a second to bring a connection up.
    Slow,
    /// A zone is cut off from the others, its balancers and its servers; among themselves they talk.
    Severed,
    /// A zone's servers are dead and back every 5 s.
    Flicker,
}

impl Kind {
    /// Whether it is about a voter's folder.
    pub fn folder(self) -> bool {
        matches!(self, Kind::Lost | Kind::Old | Kind::Torn | Kind::Full)
    }

    /// Whether nothing is heard any more of a process that it strikes.
    pub fn silences(self) -> bool {
        matches!(self, Kind::Kill | Kind::Stop | Kind::StopBeforeAct | Kind::Cut | Kind::Mute)
    }

    /// Whether whoever it strikes takes no clients, or cannot serve them.
    pub fn out(self) -> bool {
        self.folder() || matches!(self, Kind::Kill | Kind::Stop | Kind::StopBeforeAct | Kind::Away)
    }
}

/// Whom a fault strikes.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "snake_case")]
pub enum Who {
    /// Whoever acts.
    Holder,
    /// The voters.
    Voters,
    /// Whoever leads the voters.
    Leader,
    /// A voter that neither leads nor acts.
    Voter,
    /// Whoever leads and whoever acts.
    Heads,
    /// All of a zone that the seed draws.
    Zone,
    /// All of this zone.
    A,
    /// All of this zone.
    B,
    /// All of this zone.
    C,
    /// Those of the zones a and b: a whole region.
    Region,
    /// All.
    All,
    /// One that the seed draws.
    Any,
}

fn five() -> usize {
    5
}

fn span() -> Span {
    Span(1_500_000)
}

/// Those that come with the laboratory.
pub const ALL: [(&str, &str); 16] = [
    ("stopped-holder", include_str!("../../scenarios/group/stopped-holder.toml")),
    ("muted-holder", include_str!("../../scenarios/group/muted-holder.toml")),
    ("killed-holder", include_str!("../../scenarios/group/killed-holder.toml")),
    ("bad-net", include_str!("../../scenarios/group/bad-net.toml")),
    ("flapping-link", include_str!("../../scenarios/group/flapping-link.toml")),
    ("all-voters", include_str!("../../scenarios/group/all-voters.toml")),
    ("no-majority", include_str!("../../scenarios/group/no-majority.toml")),
    ("leading-holder", include_str!("../../scenarios/group/leading-holder.toml")),
    ("two-leaders", include_str!("../../scenarios/group/two-leaders.toml")),
    ("zone-wobbles", include_str!("../../scenarios/group/zone-wobbles.toml")),
    ("narrow-links", include_str!("../../scenarios/group/narrow-links.toml")),
    ("lost-folder", include_str!("../../scenarios/group/lost-folder.toml")),
    ("old-folder", include_str!("../../scenarios/group/old-folder.toml")),
    ("torn-folder", include_str!("../../scenarios/group/torn-folder.toml")),
    ("full-folder", include_str!("../../scenarios/group/full-folder.toml")),
    ("random", include_str!("../../scenarios/group/random.toml")),
];

/// Those that stop a process at one of its failure points: the program needs the feature `failpoints`.
pub const FAILPOINTS: [(&str, &str); 1] =
    [("holder-stopped-before-act", include_str!("../../scenarios/group/holder-stopped-before-act.toml"))];

/// Those with zones.
pub const ZONED: [(&str, &str); 8] = [
    ("zone-dead", include_str!("../../scenarios/zones/zone-dead.toml")),
    ("zone-dark", include_str!("../../scenarios/zones/zone-dark.toml")),
    ("zone-fails", include_str!("../../scenarios/zones/zone-fails.toml")),
    ("zone-slow", include_str!("../../scenarios/zones/zone-slow.toml")),
    ("zone-severed", include_str!("../../scenarios/zones/zone-severed.toml")),
    ("zone-flickers", include_str!("../../scenarios/zones/zone-flickers.toml")),
    ("zone-with-holder", include_str!("../../scenarios/zones/zone-with-holder.toml")),
    ("region-dead", include_str!("../../scenarios/zones/region-dead.toml")),
];

/// A named one, or a file.
pub fn find(name: &str) -> Result<Scenario, String> {
    let text = match ALL.iter().chain(&FAILPOINTS).chain(&ZONED).find(|(known, _)| *known == name) {
        Some((_, text)) => (*text).to_string(),
        None => std::fs::read_to_string(Path::new(name)).map_err(|e| format!("{name}: {e}"))?,
    };
    let scenario: Scenario = toml::from_str(&text).map_err(|e| {
        let line = e.span().map_or(0, |s| text[..s.start].matches('\n').count() + 1);
        format!("{name}:{line}: {}", e.message().replace('\n', " "))
    })?;
    if scenario.zones.is_some() && !scenario.processes.is_multiple_of(3) {
        return Err(format!("{name}: processes must be as many in each of three zones"));
    }
    if !(3..=15).contains(&scenario.processes) {
        return Err(format!("{name}: processes must be 3 to 15"));
    }
    Ok(scenario)
}
