//! Scenario files: the fleet, the client traffic and the faults to inject, written as TOML with units.
//!
//! A file with an error is rejected with one message that gives the file, the line and how to correct it.

pub mod library;
pub mod plan;

use oakdeal::operator::spans::Span;
use oakdeal::operator::Operator;
use oakdeal::Micros;
use serde::Deserialize;
use std::path::Path;
use toml::Spanned;

/// A validated scenario.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// One-line description of what the scenario tests.
    pub title: String,
    /// Duration of the scored part of the run.
    pub length: Span,
    /// Duration of the unscored part before it, in which connections build up to the steady state.
    #[serde(default = "default_lead")]
    pub lead: Span,
    /// Servers, balancers and network.
    #[serde(default)]
    pub fleet: Fleet,
    /// Zones, with the fractions by which traffic, servers and balancers are distributed.
    #[serde(default = "default_zones")]
    pub zone: Vec<Zone>,
    /// Machine types of the session servers.
    #[serde(default = "default_machines")]
    pub machine: Vec<Machine>,
    /// Request classes.
    #[serde(default = "default_classes")]
    pub class: Vec<Class>,
    /// Teams and their traffic.
    #[serde(default = "default_teams")]
    pub team: Vec<Spanned<Team>>,
    /// Faults to inject.
    #[serde(default)]
    pub fault: Vec<Spanned<Fault>>,
    /// Text of the operator's file that all balancers use.
    pub operator: Option<Spanned<String>>,
}

/// The fleet. Defaults are the middle of the ranges that the operators state in their requirements.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Fleet {
    /// Number of session servers.
    pub servers: usize,
    /// Number of balancers.
    pub balancers: usize,
    /// Number of mean connections that fully load one core of speed 1.
    pub per_core: f64,
    /// Maximum number of connections of a server, as a multiple of the number that fully loads it.
    pub cap: f64,
    /// Maximum number of connection set-ups that a server has in progress or queued.
    pub backlog: usize,
    /// Work of one connection set-up, as time on one core of speed 1.
    pub setup_work: Span,
    /// Load, in mean connections, that a group adds to each server with at least one of its connections.
    pub group_cost: f64,
    /// Mean number of connections in a group.
    pub group_size: f64,
    /// Mean lifetime of a connection of a class whose `life` is 1.
    pub life: Span,
    /// Share of its capacity that a server has right after its start.
    pub cold_share: f64,
    /// Time from a server's start until it has its full capacity.
    pub warm: Span,
    /// A cold server fails and stays down when it receives more than this multiple of its capacity ...
    pub fall_factor: f64,
    /// ... for this long.
    pub fall_time: Span,
    /// One-way network latency between zones.
    pub between: Span,
    /// One-way network latency within a zone.
    pub within: Span,
    /// Minimum and maximum delay with which discovery reports a change.
    pub told_after: (Span, Span),
    /// Time that discovery needs for one call. Calls are served one at a time, and a failed call takes as long.
    pub call: Span,
    /// Whether balancers may probe servers. Memory and file descriptors are not modelled.
    pub probes: bool,
    /// Maximum number of attempts for one request.
    pub attempts: u32,
    /// Fraction of the clients that speak XMPP in a live run. In simulated time they behave like all others.
    pub xmpp: f64,
}

impl Default for Fleet {
    fn default() -> Fleet {
        let ms = |ms: u64| Span(ms * 1000);
        Fleet {
            servers: 10,
            balancers: 3,
            per_core: 24.0,
            cap: 2.5,
            backlog: 40,
            setup_work: ms(20),
            group_cost: 3.0,
            group_size: 10.0,
            life: ms(45_000),
            cold_share: 0.13,
            warm: ms(23_000),
            fall_factor: 2.5,
            fall_time: ms(1_500),
            between: ms(8),
            within: Span(500),
            told_after: (ms(500), ms(3_000)),
            call: ms(20),
            probes: true,
            attempts: 4,
            xmpp: 0.0,
        }
    }
}

/// A zone and its fractions of traffic and servers.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Zone {
    /// Zone name.
    pub name: String,
    /// Fraction of the traffic.
    pub traffic: f64,
    /// Fraction of the servers.
    pub servers: f64,
}

/// A machine type.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Machine {
    /// Name of the type.
    pub name: String,
    /// Fraction of the servers that are of this type.
    pub share: f64,
    /// Number of cores.
    pub cores: f64,
    /// Minimum and maximum speed of a core.
    pub speed: (f64, f64),
}

/// A request class.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Class name.
    pub name: String,
    /// Fraction of a team's new connections, unless the team restricts its classes.
    pub share: f64,
    /// Minimum and maximum load of a connection, relative to a connection of load 1.
    pub load: (f64, f64),
    /// Minimum and maximum lifetime of a connection, as a multiple of `fleet.life`.
    pub life: (f64, f64),
    /// Target for the connection set-up time.
    pub setup: Span,
    /// Time after which a client abandons its request.
    pub give_up: Span,
    /// Target for the message delay.
    pub message: Span,
    /// Value of one second of a connection.
    pub worth: f64,
}

/// A team and its client traffic.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Team {
    /// Team name, which clients send with their requests.
    pub name: String,
    /// New connections per second.
    pub rate: f64,
    /// Multipliers of the rate over time: linear between the points, constant after the last one.
    #[serde(default)]
    pub shape: Vec<Point>,
    /// Restricts the team to these classes.
    pub classes: Option<Vec<String>>,
}

/// A point of a team's rate curve.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Point {
    /// Time since the start of the scored part.
    pub at: Span,
    /// Multiplier of the rate.
    pub times: f64,
}

/// A fault, or a change of traffic or settings.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// Start, as time since the start of the scored part.
    pub at: Span,
    /// Duration.
    #[serde(default = "zero_duration")]
    pub length: Span,
    /// Kind of fault.
    pub kind: Kind,
    /// Fraction of the servers (for `reconnect`, of the clients) that are affected.
    #[serde(default)]
    pub part: f64,
    /// Restricts the fault to this zone.
    pub zone: Option<String>,
    /// For `fast_errors` the share of requests that fail, for `costly` the share of the class's requests affected.
    #[serde(default)]
    pub share: f64,
    /// For `costly` and `surge`: multiplier of the usual work or rate.
    #[serde(default = "unit_factor")]
    pub times: f64,
    /// For `costly` the class name, for `surge` the team name.
    pub of: Option<String>,
    /// For `contract`: text of the operator's file that applies from then on.
    pub operator: Option<String>,
}

/// Kind of fault.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// Servers crash and restart cold after the fault's length.
    Death,
    /// Servers accept requests but never answer, and their established connections carry no data.
    Silence,
    /// Servers fail a share of new requests immediately.
    FastErrors,
    /// A share of one class's new requests needs a multiple of the usual set-up work.
    Costly,
    /// A fraction of the clients disconnects and reconnects within the fault's length.
    Reconnect,
    /// Servers drain, move their clients elsewhere, and restart cold after the fault's length.
    Drain,
    /// Balancers are restarted with SIGTERM, one after the other or `part` of them at a time.
    Restart,
    /// Balancers are killed and restart after the fault's length.
    Kill,
    /// The network to the servers is interrupted.
    Cut,
    /// Discovery neither answers calls nor reports changes.
    Discovery,
    /// A team sends a multiple of its usual rate.
    Surge,
    /// Another operator's file takes effect.
    Contract,
}

fn default_lead() -> Span {
    Span(20_000_000)
}

fn zero_duration() -> Span {
    Span(0)
}

fn unit_factor() -> f64 {
    1.0
}

/// Default zones: the operators' three.
fn default_zones() -> Vec<Zone> {
    let zone = |name: &str, traffic, servers| Zone { name: name.into(), traffic, servers };
    vec![zone("manila", 0.4, 0.4), zone("cebu", 0.35, 0.3), zone("davao", 0.25, 0.3)]
}

/// Default machine types, from the operators' requirements.
fn default_machines() -> Vec<Machine> {
    let machine = |name: &str, share, speed| Machine { name: name.into(), share, cores: 2.0, speed };
    vec![
        machine("fast-2c", 0.27, (1.7, 2.3)),
        machine("mid-2c", 0.21, (1.0, 1.4)),
        machine("slow-2c", 0.52, (0.68, 0.92)),
    ]
}

/// Default classes, from the operators' requirements.
fn default_classes() -> Vec<Class> {
    let ms = |ms: u64| Span(ms * 1000);
    vec![
        Class {
            name: "claim-watch".into(),
            share: 0.76,
            load: (1.0, 1.0),
            life: (1.0, 1.0),
            setup: ms(800),
            give_up: ms(4800),
            message: ms(150),
            worth: 5.0,
        },
        Class {
            name: "payout-watch".into(),
            share: 0.24,
            load: (4.0, 8.0),
            life: (1.0, 3.0),
            setup: ms(500),
            give_up: ms(2000),
            message: ms(250),
            worth: 15.0,
        },
    ]
}

fn default_teams() -> Vec<Spanned<Team>> {
    let team = Team { name: "association".into(), rate: 3.8, shape: Vec::new(), classes: None };
    vec![Spanned::new(0..0, team)]
}

impl Scenario {
    /// Parses and validates a scenario. `path` is only used in error messages.
    pub fn parse(path: &Path, text: &str) -> Result<Scenario, String> {
        let line_number =
            |at: usize| text.as_bytes()[..at.min(text.len())].iter().filter(|&&b| b == b'\n').count() + 1;
        let locate = |at: Option<usize>, what: &str| match at {
            Some(at) => format!("{}:{}: {what}", path.display(), line_number(at)),
            None => format!("{}: {what}", path.display()),
        };
        let scenario: Scenario = toml::from_str(text).map_err(|e| {
            let what = format!("{}; see docs/lab.md for the form", e.message().trim().replace('\n', " "));
            locate(e.span().map(|s| s.start), &what)
        })?;
        scenario.check().map_err(|(at, what)| locate(at, &what))?;
        Ok(scenario)
    }

    /// Validates the values; the error has the byte offset, if known, and a message with the correction.
    fn check(&self) -> Result<(), (Option<usize>, String)> {
        let require = |ok: bool, what: &str| if ok { Ok(()) } else { Err((None, what.to_string())) };
        let sum_to_one = |parts: &mut dyn Iterator<Item = f64>| (parts.sum::<f64>() - 1.0).abs() < 0.01;
        require(self.length.0 > 0, "length must be more than 0")?;
        require(
            self.length.0 + self.lead.0 <= 3_600_000_000,
            "length and lead are more than an hour together: shorten them",
        )?;
        require((1..=2000).contains(&self.fleet.servers), "fleet.servers must be 1 to 2000")?;
        require((0.0..=1.0).contains(&self.fleet.xmpp), "fleet.xmpp must be 0 to 1")?;
        require(
            self.fleet.xmpp == 0.0 || self.operator.is_none(),
            "fleet.xmpp needs a separate operator's file for each balancer: leave `operator` out",
        )?;
        require((1..=300).contains(&self.fleet.balancers), "fleet.balancers must be 1 to 300")?;
        require(sum_to_one(&mut self.zone.iter().map(|z| z.traffic)), "the zones' `traffic` must sum to 1")?;
        require(sum_to_one(&mut self.zone.iter().map(|z| z.servers)), "the zones' `servers` must sum to 1")?;
        require(
            sum_to_one(&mut self.machine.iter().map(|m| m.share)),
            "the machines' `share` must sum to 1",
        )?;
        require(sum_to_one(&mut self.class.iter().map(|c| c.share)), "the classes' `share` must sum to 1")?;
        require(!self.team.is_empty(), "there must be a [[team]]")?;
        let class_exists = |name: &str| self.class.iter().any(|c| c.name == name);
        for team in &self.team {
            let (at, team) = (Some(team.span().start), team.get_ref());
            if !team.rate.is_finite() || team.rate < 0.0 {
                return Err((at, format!("team {:?}: rate must be 0 or more", team.name)));
            }
            if let Some(unknown) = team.classes.iter().flatten().find(|c| !class_exists(c)) {
                return Err((
                    at,
                    format!(
                        "team {:?}: unknown class {unknown:?}: correct the name or add the class",
                        team.name
                    ),
                ));
            }
            if !team.shape.windows(2).all(|two| two[0].at.0 <= two[1].at.0) {
                return Err((
                    at,
                    format!("team {:?}: the points of `shape` must be in ascending order of `at`", team.name),
                ));
            }
        }
        for fault in &self.fault {
            let (at, fault) = (Some(fault.span().start), fault.get_ref());
            let reject = |what: String| Err((at, format!("fault {:?}: {what}", fault.kind)));
            if fault.at.0 >= self.length.0 {
                return reject("starts after the end: make `at` less than the scenario's `length`".into());
            }
            let needs_part = matches!(
                fault.kind,
                Kind::Death | Kind::Silence | Kind::FastErrors | Kind::Drain | Kind::Cut | Kind::Reconnect
            );
            let has_part = fault.part > 0.0 && fault.part <= 1.0;
            if needs_part && !has_part {
                return reject("needs a `part` of more than 0 and at most 1".into());
            }
            if fault.length.0 == 0 && !matches!(fault.kind, Kind::Contract) {
                return reject("needs a `length` of more than 0".into());
            }
            if let Some(zone) = fault.zone.as_ref().filter(|name| !self.zone.iter().any(|z| z.name == **name))
            {
                return reject(format!("unknown zone {zone:?}: correct the name or add the zone"));
            }
            match (fault.kind, &fault.of) {
                (Kind::Costly, of) if !of.as_deref().is_some_and(class_exists) => {
                    return reject("needs the name of a class in `of`".into());
                }
                (Kind::Surge, Some(of)) if self.team.iter().any(|t| t.get_ref().name == *of) => {}
                (Kind::Surge, _) => return reject("needs a team in `of`".into()),
                _ => {}
            }
            if fault.kind == Kind::Contract {
                let Some(text) = &fault.operator else {
                    return reject("needs the text of an operator's file in `operator`".into());
                };
                if let Err(e) = Operator::parse(Path::new("operator"), text) {
                    return reject(e.to_string());
                }
            }
        }
        if let Some(text) = &self.operator {
            if let Err(e) = Operator::parse(Path::new("operator"), text.get_ref()) {
                return Err((Some(text.span().start), e.to_string()));
            }
        }
        Ok(())
    }

    /// Returns the mean load of an established connection, relative to a connection of load 1.
    pub fn mean_load(&self) -> f64 {
        let middle = |r: (f64, f64)| (r.0 + r.1) / 2.0;
        let life: f64 = self.class.iter().map(|c| c.share * middle(c.life)).sum();
        self.class.iter().map(|c| c.share * middle(c.life) * middle(c.load)).sum::<f64>() / life
    }

    /// Returns the mean lifetime of a connection, in microseconds.
    pub fn mean_lifetime(&self) -> f64 {
        let life: f64 = self.class.iter().map(|c| c.share * (c.life.0 + c.life.1) / 2.0).sum();
        life * self.fleet.life.0 as f64
    }

    /// Returns the mean number of connections wanted at a time, with every team at its base rate.
    pub fn steady_connections(&self) -> f64 {
        self.team.iter().map(|t| t.get_ref().rate).sum::<f64>() * self.mean_lifetime() / 1e6
    }

    /// Returns the start of the scored part and the end of the run.
    pub fn scored_interval(&self) -> (Micros, Micros) {
        (self.lead.0, self.lead.0 + self.length.0)
    }

    /// Returns the settings of a balancer in the given zone, in the format of the platform's configuration.
    pub fn balancer_settings(&self, zone: usize) -> serde_json::Value {
        let ms = |us: Micros| us as f64 / 1000.0;
        let classes: Vec<_> = self
            .class
            .iter()
            .map(|c| {
                serde_json::json!({"Name": c.name, "AimMs": ms(c.setup.0), "DeadlineMs": ms(c.give_up.0),
                    "Effect": "free", "Group": "all", "Worth": c.worth, "WindowMs": 5000.0})
            })
            .collect();
        let zones: Vec<&str> = self.zone.iter().map(|z| z.name.as_str()).collect();
        serde_json::json!({
            "Areas": zones, "MyZone": self.zone[zone].name, "PeersTotal": self.fleet.balancers,
            "RegistryMode": "subscribe", "Classes": classes, "Weights": "nominal",
            "FamilyInfo": {"TellsDelay": true, "TellsLoad": true,
                "MessageAimMs": self.class.iter().map(|c| ms(c.message.0)).collect::<Vec<_>>()},
            "Guarantees": {"ColdMs": ms(self.fleet.warm.0), "ColdShare": self.fleet.cold_share,
                "DrainGraceMs": 500.0, "FallMs": ms(self.fleet.fall_time.0),
                "OverloadFactor": self.fleet.fall_factor, "MustAskInMs": 10000.0},
            "PolicyLimits": {"SendCap": self.fleet.attempts, "ConnectTimeoutMs": 100.0, "Probes": self.fleet.probes,
                "RetryAfter": true, "MaxRetryAfterMs": 2000.0},
            "Prices": {"CrossZone": 0.016}
        })
    }
}
