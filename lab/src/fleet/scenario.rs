//! Scenarios of the fleet tests: the number of processes, and faults at given times or drawn by the seed.

use oakdeal::operator::spans::Span;
use serde::Deserialize;
use std::path::Path;

/// A scenario of the fleet tests.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// One-line description.
    pub title: String,
    /// Length of the period in which faults can start.
    pub length: Span,
    /// Number of processes. The first three are voters.
    #[serde(default = "default_processes")]
    pub processes: usize,
    /// Duration of a lease.
    #[serde(default = "default_span")]
    pub span: Span,
    /// Rate of each process's clock relative to true time; 1 for processes that are left out.
    #[serde(default)]
    pub clocks: Vec<f64>,
    /// Number of additional faults that are drawn by the seed. They can overlap.
    #[serde(default)]
    pub random: usize,
    /// Faults at given times.
    #[serde(default)]
    pub fault: Vec<Fault>,
    /// Enables zone failover: servers in three zones of two regions, and clients during the whole run.
    pub zones: Option<Zones>,
}

/// Servers, clients and limits of a scenario with zone failover.
///
/// Zones a and b form one region, zone c another. Process `i` is in zone `i % 3`.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Zones {
    /// Number of servers in each zone.
    pub servers: usize,
    /// Capacity of each server in connections.
    pub room: u64,
    /// Number of clients of each process.
    pub clients: usize,
    /// Maximum number of zone state changes in the whole run.
    pub changes: usize,
    /// Minimum percentage of requests that must be served, over the whole run.
    pub served: f64,
    /// Zones that must be evacuated at some time. No other zone may be.
    #[serde(default)]
    pub left: Vec<String>,
}

/// Zone names.
pub const ZONES: [&str; 3] = ["a", "b", "c"];

/// A fault.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// Start, as time since the fleet became ready.
    pub at: Span,
    /// Duration.
    pub length: Span,
    /// Kind of fault.
    pub kind: Kind,
    /// Processes that are affected.
    pub who: Who,
}

/// Kind of fault.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// Processes are killed, and restarted with their stored state.
    Kill,
    /// Processes are stopped and continued (SIGSTOP, SIGCONT).
    Stop,
    /// Processes are stopped between the decision to act under a lease and the action, and continued.
    StopBeforeAct,
    /// Processes neither send nor receive datagrams.
    Cut,
    /// Processes receive datagrams but cannot send any.
    Mute,
    /// Processes send datagrams but cannot receive any.
    Deaf,
    /// Links lose 30% of the datagrams, duplicate as many, and delay each by up to 200 ms.
    Noise,
    /// Links are blocked and restored every 300 ms.
    Flap,
    /// The affected processes are partitioned from all others, not from each other.
    Part,
    /// Links between the affected processes and the others are blocked and restored every 300 ms; links among the
    /// affected processes are not.
    Wobble,
    /// Links carry at most 4 KB per second.
    Narrow,
    /// A voter is killed and its folder deleted; after the fault it starts with a new folder.
    Lost,
    /// At the end of the fault a voter is killed and started with a copy of its folder from the start of the fault, which it
    /// must refuse. Then it starts with a new folder.
    Old,
    /// A voter is killed and each file of its folder is cut to half its size, as after an interrupted write. The voter may
    /// refuse the folder or find it complete. After the fault it starts with a new folder.
    Torn,
    /// A voter is restarted and cannot write to its folder until the fault ends.
    Full,
    /// Processes cannot reach discovery.
    Blind,
    /// Processes cannot reach the servers.
    Away,
    /// A zone's servers end all connections and accept none.
    Dead,
    /// No data passes between a zone's servers and any process, as after a network outage.
    Dark,
    /// A zone's servers answer probes and fail all requests.
    Fails,
    /// A zone's servers need a second to establish a connection.
    Slow,
    /// A zone's balancers and servers are partitioned from the other zones, not from each other.
    Severed,
    /// A zone's servers alternate between `dead` and working every 5 s.
    Flicker,
}

impl Kind {
    /// Whether the fault affects a voter's folder.
    pub fn affects_folder(self) -> bool {
        matches!(self, Kind::Lost | Kind::Old | Kind::Torn | Kind::Full)
    }

    /// Whether the other processes receive nothing from an affected process.
    pub fn silences(self) -> bool {
        matches!(self, Kind::Kill | Kind::Stop | Kind::StopBeforeAct | Kind::Cut | Kind::Mute)
    }

    /// Whether an affected process may be unable to accept or serve clients.
    pub fn prevents_service(self) -> bool {
        self.affects_folder() || matches!(self, Kind::Kill | Kind::Stop | Kind::StopBeforeAct | Kind::Away)
    }
}

/// Processes that a fault affects.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "snake_case")]
pub enum Who {
    /// The process that acted last under a lease.
    Holder,
    /// All voters.
    Voters,
    /// The leader of the voters.
    Leader,
    /// A voter that is neither leader nor lease holder.
    Voter,
    /// The leader and the lease holder.
    Heads,
    /// All processes of a zone that the seed draws.
    Zone,
    /// All processes of zone a.
    A,
    /// All processes of zone b.
    B,
    /// All processes of zone c.
    C,
    /// All processes of the region of zones a and b.
    Region,
    /// All processes.
    All,
    /// One process that the seed draws.
    Any,
}

fn default_processes() -> usize {
    5
}

fn default_span() -> Span {
    Span(1_500_000)
}

/// Name and text of each built-in scenario of the balancer group.
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

/// Built-in scenarios that stop a process at a failure point. They need a program built with the feature `failpoints`.
pub const FAILPOINTS: [(&str, &str); 1] =
    [("holder-stopped-before-act", include_str!("../../scenarios/group/holder-stopped-before-act.toml"))];

/// Built-in scenarios with zone failover.
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

/// Returns the built-in scenario of this name, or else reads the file with this path.
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
        return Err(format!("{name}: with zones, `processes` must be a multiple of 3"));
    }
    if !(3..=15).contains(&scenario.processes) {
        return Err(format!("{name}: `processes` must be 3 to 15"));
    }
    Ok(scenario)
}
