//! A scenario: the fleet, who comes and when, and what goes wrong. TOML with units; what is wrong with a file is
//! one message with file, line and mend.

pub mod library;
pub mod plan;

use oakdeal::operator::spans::Span;
use oakdeal::operator::Operator;
use oakdeal::Micros;
use serde::Deserialize;
use std::path::Path;
use toml::Spanned;

/// A checked scenario.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// One line on what it rehearses.
    pub title: String,
    /// How long it is scored.
    pub length: Span,
    /// How long it runs before that, to fill up.
    #[serde(default = "lead")]
    pub lead: Span,
    /// The fleet.
    #[serde(default)]
    pub fleet: Fleet,
    /// Zones; traffic, servers and balancers are spread by these parts.
    #[serde(default = "zones")]
    pub zone: Vec<Zone>,
    /// Machine models.
    #[serde(default = "machines")]
    pub machine: Vec<Machine>,
    /// Classes of requests.
    #[serde(default = "classes")]
    pub class: Vec<Class>,
    /// Teams and their traffic.
    #[serde(default = "teams")]
    pub team: Vec<Spanned<Team>>,
    /// What goes wrong.
    #[serde(default)]
    pub fault: Vec<Spanned<Fault>>,
    /// An operator's file for all balancers, as text.
    pub operator: Option<Spanned<String>>,
}

/// The fleet. The figures that are left out are the middle of the ranges that the operators state (their brief).
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Fleet {
    /// Session servers.
    pub servers: usize,
    /// Balancers.
    pub balancers: usize,
    /// Mean connections that fill a core of speed 1.
    pub per_core: f64,
    /// Connections that a server holds at most, over those that fill it.
    pub cap: f64,
    /// Set-ups that a server has in work or waiting at most.
    pub backlog: usize,
    /// Work of one set-up, as the time of a core of speed 1.
    pub setup_work: Span,
    /// What each server that holds any of a group pays for it, in mean connections.
    pub group_cost: f64,
    /// Mean connections of a group.
    pub group_size: f64,
    /// Mean life of a connection of class life 1.
    pub life: Span,
    /// A cold server's first share of its capacity, and how long it takes to be warm.
    pub cold_share: f64,
    /// The time until it is warm.
    pub warm: Span,
    /// Sent more than so many times what it can do ...
    pub fall_factor: f64,
    /// ... for this long a cold server falls over and stays down.
    pub fall_time: Span,
    /// One way between zones, and within one.
    pub between: Span,
    /// Within a zone.
    pub within: Span,
    /// How late discovery tells of a change, at least and at most.
    pub told_after: (Span, Span),
    /// How long discovery is busy with a call; calls wait in turn, and one that fails for it costs as much.
    pub call: Span,
    /// Memory and descriptors are not modelled; probes are allowed or not.
    pub probes: bool,
    /// Most attempts for one request.
    pub attempts: u32,
    /// The part of the clients that speak XMPP in a live run; in simulated time they are like all others.
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

/// A zone.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Zone {
    /// Its name.
    pub name: String,
    /// Its part of the traffic.
    pub traffic: f64,
    /// Its part of the servers.
    pub servers: f64,
}

/// A machine model.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Machine {
    /// Its name.
    pub name: String,
    /// Its part of the fleet.
    pub share: f64,
    /// Cores.
    pub cores: f64,
    /// Speed of a core, at least and at most.
    pub speed: (f64, f64),
}

/// A class.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Its name.
    pub name: String,
    /// Its part of a team's new connections, unless the team says otherwise.
    pub share: f64,
    /// Load, at least and at most, in those of class 1.
    pub load: (f64, f64),
    /// Life, at least and at most.
    pub life: (f64, f64),
    /// Set up within.
    pub setup: Span,
    /// Given up after.
    pub give_up: Span,
    /// A message wanted within.
    pub message: Span,
    /// Worth of a second.
    pub worth: f64,
}

/// A team and its traffic.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Team {
    /// Its name; clients say it.
    pub name: String,
    /// New connections a second.
    pub rate: f64,
    /// Times the rate at points of time; straight between them, and as the last one after it.
    #[serde(default)]
    pub shape: Vec<Point>,
    /// Only these classes.
    pub classes: Option<Vec<String>>,
}

/// A point of a shape.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Point {
    /// When, from the start of the score.
    pub at: Span,
    /// Times the rate.
    pub times: f64,
}

/// Something that goes wrong, or is changed.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// When, from the start of the score.
    pub at: Span,
    /// For how long.
    #[serde(default = "no_time")]
    pub length: Span,
    /// What.
    pub kind: Kind,
    /// The part of the servers (or clients, for `reconnect`) that it strikes.
    #[serde(default)]
    pub part: f64,
    /// Only in this zone.
    pub zone: Option<String>,
    /// For `fast_errors` the share that fails, for `costly` of the class's requests.
    #[serde(default)]
    pub share: f64,
    /// For `costly` and `surge`: so many times the usual.
    #[serde(default = "once")]
    pub times: f64,
    /// For `costly` the class, for `surge` the team.
    pub of: Option<String>,
    /// For `contract`: the operator's file from then on.
    pub operator: Option<String>,
}

/// Kinds of faults.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// Servers die and come back cold after the length.
    Death,
    /// Servers take requests and answer nothing; what stands there is silent.
    Silence,
    /// Servers fail a share of new requests at once.
    FastErrors,
    /// A share of one class's new requests costs many times the usual work.
    Costly,
    /// A part of the clients drops and comes again within the length.
    Reconnect,
    /// Servers drain, send their clients away, and come back cold after the length.
    Drain,
    /// Balancers are started anew, one after the other or `part` of them at a time, each with SIGTERM first.
    Restart,
    /// Balancers are killed and come back after the length.
    Kill,
    /// The network to the servers is cut.
    Cut,
    /// Discovery answers nothing and tells nothing.
    Discovery,
    /// A team sends many times its rate.
    Surge,
    /// Another operator's file is put in force.
    Contract,
}

fn lead() -> Span {
    Span(20_000_000)
}

fn no_time() -> Span {
    Span(0)
}

fn once() -> f64 {
    1.0
}

/// The operators' three zones.
fn zones() -> Vec<Zone> {
    let zone = |name: &str, traffic, servers| Zone { name: name.into(), traffic, servers };
    vec![zone("manila", 0.4, 0.4), zone("cebu", 0.35, 0.3), zone("davao", 0.25, 0.3)]
}

/// The operators' machines (their brief).
fn machines() -> Vec<Machine> {
    let machine = |name: &str, share, speed| Machine { name: name.into(), share, cores: 2.0, speed };
    vec![
        machine("fast-2c", 0.27, (1.7, 2.3)),
        machine("mid-2c", 0.21, (1.0, 1.4)),
        machine("slow-2c", 0.52, (0.68, 0.92)),
    ]
}

/// The operators' classes (their brief).
fn classes() -> Vec<Class> {
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

fn teams() -> Vec<Spanned<Team>> {
    let team = Team { name: "association".into(), rate: 3.8, shape: Vec::new(), classes: None };
    vec![Spanned::new(0..0, team)]
}

impl Scenario {
    /// Reads and checks a text; `path` is for the message.
    pub fn parse(path: &Path, text: &str) -> Result<Scenario, String> {
        let line =
            |at: usize| text.as_bytes()[..at.min(text.len())].iter().filter(|&&b| b == b'\n').count() + 1;
        let said = |at: Option<usize>, what: &str| match at {
            Some(at) => format!("{}:{}: {what}", path.display(), line(at)),
            None => format!("{}: {what}", path.display()),
        };
        let scenario: Scenario = toml::from_str(text).map_err(|e| {
            let what = format!("{}; see docs/lab.md for the form", e.message().trim().replace('\n', " "));
            said(e.span().map(|s| s.start), &what)
        })?;
        scenario.check().map_err(|(at, what)| said(at, &what))?;
        Ok(scenario)
    }

    /// What contradicts itself, where, and the mend.
    fn check(&self) -> Result<(), (Option<usize>, String)> {
        let whole = |ok: bool, what: &str| if ok { Ok(()) } else { Err((None, what.to_string())) };
        let sums = |parts: &mut dyn Iterator<Item = f64>| (parts.sum::<f64>() - 1.0).abs() < 0.01;
        whole(self.length.0 > 0, "length must be more than 0")?;
        whole(self.length.0 + self.lead.0 <= 3_600_000_000, "a rehearsal of more than an hour: shorten it")?;
        whole((1..=2000).contains(&self.fleet.servers), "fleet.servers must be 1 to 2000")?;
        whole((0.0..=1.0).contains(&self.fleet.xmpp), "fleet.xmpp must be 0 to 1")?;
        whole(
            self.fleet.xmpp == 0.0 || self.operator.is_none(),
            "fleet.xmpp needs an operator's file of its own for each balancer: leave `operator` out",
        )?;
        whole((1..=300).contains(&self.fleet.balancers), "fleet.balancers must be 1 to 300")?;
        whole(sums(&mut self.zone.iter().map(|z| z.traffic)), "the zones' traffic must sum to 1")?;
        whole(sums(&mut self.zone.iter().map(|z| z.servers)), "the zones' servers must sum to 1")?;
        whole(sums(&mut self.machine.iter().map(|m| m.share)), "the machines' shares must sum to 1")?;
        whole(sums(&mut self.class.iter().map(|c| c.share)), "the classes' shares must sum to 1")?;
        whole(!self.team.is_empty(), "there must be a [[team]]")?;
        let class = |name: &str| self.class.iter().any(|c| c.name == name);
        for team in &self.team {
            let (at, team) = (Some(team.span().start), team.get_ref());
            if !team.rate.is_finite() || team.rate < 0.0 {
                return Err((at, format!("team {:?}: rate must be 0 or more", team.name)));
            }
            if let Some(other) = team.classes.iter().flatten().find(|c| !class(c)) {
                return Err((
                    at,
                    format!("team {:?} names the unknown class {other:?}: correct one", team.name),
                ));
            }
            if !team.shape.windows(2).all(|two| two[0].at.0 <= two[1].at.0) {
                return Err((
                    at,
                    format!("team {:?}: the points of its shape must stand in order", team.name),
                ));
            }
        }
        for fault in &self.fault {
            let (at, fault) = (Some(fault.span().start), fault.get_ref());
            let wrong = |what: String| Err((at, format!("fault {:?}: {what}", fault.kind)));
            if fault.at.0 >= self.length.0 {
                return wrong("begins after the end: make `at` less than `length`".into());
            }
            let struck = matches!(
                fault.kind,
                Kind::Death | Kind::Silence | Kind::FastErrors | Kind::Drain | Kind::Cut | Kind::Reconnect
            );
            let part = fault.part > 0.0 && fault.part <= 1.0;
            if struck && !part {
                return wrong("needs a `part` of more than 0 and at most 1".into());
            }
            if fault.length.0 == 0 && !matches!(fault.kind, Kind::Contract) {
                return wrong("needs a `length` of more than 0".into());
            }
            if let Some(zone) = fault.zone.as_ref().filter(|name| !self.zone.iter().any(|z| z.name == **name))
            {
                return wrong(format!("unknown zone {zone:?}: correct it"));
            }
            match (fault.kind, &fault.of) {
                (Kind::Costly, of) if !of.as_deref().is_some_and(class) => {
                    return wrong("needs a class in `of`".into());
                }
                (Kind::Surge, Some(of)) if self.team.iter().any(|t| t.get_ref().name == *of) => {}
                (Kind::Surge, _) => return wrong("needs a team in `of`".into()),
                _ => {}
            }
            if fault.kind == Kind::Contract {
                let Some(text) = &fault.operator else { return wrong("needs a text in `operator`".into()) };
                if let Err(e) = Operator::parse(Path::new("operator"), text) {
                    return wrong(e.to_string());
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

    /// The mean load of a connection that stands, in those of class 1.
    pub fn mean_load(&self) -> f64 {
        let middle = |r: (f64, f64)| (r.0 + r.1) / 2.0;
        let life: f64 = self.class.iter().map(|c| c.share * middle(c.life)).sum();
        self.class.iter().map(|c| c.share * middle(c.life) * middle(c.load)).sum::<f64>() / life
    }

    /// The mean life of a connection.
    pub fn mean_life(&self) -> f64 {
        let life: f64 = self.class.iter().map(|c| c.share * (c.life.0 + c.life.1) / 2.0).sum();
        life * self.fleet.life.0 as f64
    }

    /// Connections that are wanted at a time while nothing is shaped.
    pub fn standing(&self) -> f64 {
        self.team.iter().map(|t| t.get_ref().rate).sum::<f64>() * self.mean_life() / 1e6
    }

    /// When the score begins and when all ends.
    pub fn span(&self) -> (Micros, Micros) {
        (self.lead.0, self.lead.0 + self.length.0)
    }

    /// The settings of one balancer, as the platform's configuration has them.
    pub fn settings(&self, zone: usize) -> serde_json::Value {
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
