//! What the program is told: the platform's configuration, and files of our own.

use crate::broker::instances::Listing;
use crate::wire::{Env, Project};
use serde::Deserialize;
use serde_json::{Map, Value};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// The platform's configuration, from the file that `LB_CONFIG` names.
#[derive(Deserialize, Debug)]
pub struct Config {
    /// This balancer's name.
    #[serde(default)]
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Where discovery is.
    pub discovery: SocketAddr,
    /// Seed for random numbers, in hex.
    #[serde(default)]
    pub seed: String,
    /// What the program may use.
    #[serde(default)]
    pub limits: Limits,
    /// The list as this balancer last had it.
    pub known: Option<Listing>,
    /// The settings, as the adapter reads them.
    pub settings: Env,
}

/// What the program may use.
#[derive(Deserialize, Debug)]
#[serde(default)]
pub struct Limits {
    /// File descriptors.
    pub sockets: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Limits { sockets: 1024 }
    }
}

impl Config {
    /// Reads a file; its text too, to compare the next one with.
    pub fn read(path: &Path) -> Result<(Config, String), String> {
        let text =
            std::fs::read_to_string(path).map_err(|e| format!("cannot read {}: {e}", path.display()))?;
        let wrong = |e| format!("{} is no configuration: {e}", path.display());
        Ok((serde_json::from_str(&text).map_err(wrong)?, text))
    }

    /// The names of what differs in the text of another configuration, discovery's address left out: all that
    /// a running balancer can take over. The list that a start begins from and the seed are meant for a start.
    pub fn ignored(before: &str, now: &str) -> Vec<String> {
        let read = |text| serde_json::from_str(text).unwrap_or_default();
        let (before, now): (Map<String, Value>, Map<String, Value>) = (read(before), read(now));
        let names: BTreeSet<&String> = before.keys().chain(now.keys()).collect();
        let differs = |name: &&String| before.get(*name) != now.get(*name);
        let start = |name: &str| matches!(name, "discovery" | "known" | "seed");
        names.into_iter().filter(differs).filter(|name| !start(name)).cloned().collect()
    }

    /// The seed as a number; one that is no hex number is as good for its bytes.
    pub fn seed(&self) -> u64 {
        u64::from_str_radix(&self.seed, 16)
            .unwrap_or_else(|_| xxhash_rust::xxh64::xxh64(self.seed.as_bytes(), 0))
    }
}

/// Services with contracts from a file of our own: the settings' `Projects`, as TOML, read by the same code.
/// None where the file does not exist.
pub fn services(path: &Path) -> Result<Vec<Project>, String> {
    let text = match std::fs::read_to_string(path) {
        Ok(text) => text,
        Err(e) if e.kind() == std::io::ErrorKind::NotFound => return Ok(Vec::new()),
        Err(e) => return Err(format!("cannot read {}: {e}", path.display())),
    };
    let file: Env = toml::from_str(&text).map_err(|e| format!("{}: {e}", path.display()))?;
    Ok(file.projects.unwrap_or_default())
}

impl Config {
    /// Adds services to the settings. One that is there already is replaced; a contract that names no
    /// fraction is bound by its other figures only.
    pub fn add_services(&mut self, services: Vec<Project>) {
        let all = self.settings.projects.get_or_insert_default();
        for mut service in services {
            service.fraction.get_or_insert(1.0);
            all.retain(|p| p.name != service.name);
            all.push(service);
        }
    }
}

/// How connections of a service are kept together.
#[derive(Deserialize, Clone, Copy, Debug, Default, PartialEq)]
#[serde(rename_all = "lowercase")]
pub enum Grouping {
    /// Each by its own key.
    #[default]
    None,
    /// All of a domain.
    Domain,
    /// All of one bare JID.
    Jid,
}

/// A domain's contract.
#[derive(Deserialize, Debug)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// The domain that clients name in their header.
    pub domain: String,
    /// The class of its connections, named as in the settings.
    pub class: String,
    /// How long a log-in may take; the class's deadline where it is left out.
    pub deadline_ms: Option<u64>,
    /// Most instances tried for one log-in; the settings' limit where it is left out.
    pub tries: Option<u32>,
    /// What is kept together.
    #[serde(default)]
    pub group: Grouping,
    /// SASL mechanisms offered: only such as say all in their first message can be replayed.
    #[serde(default = "plain")]
    pub mechanisms: Vec<String>,
}

fn plain() -> Vec<String> {
    vec!["PLAIN".into()]
}

/// The file of the XMPP front.
#[derive(Deserialize, Debug)]
#[serde(deny_unknown_fields)]
pub struct Xmpp {
    /// Where XMPP clients connect; the front is off where it is left out.
    pub listen: Option<SocketAddr>,
    /// The port on which instances speak XMPP, at the addresses that discovery names.
    pub instance_port: Option<u16>,
    /// Instances that speak it elsewhere, by name.
    #[serde(default)]
    pub instances: BTreeMap<String, SocketAddr>,
    /// Certificate chain and key for STARTTLS, which is then required.
    pub certificate: Option<PathBuf>,
    /// The key.
    pub key: Option<PathBuf>,
    /// Where clients are sent at a drain; where it is left out they are told of the shutdown.
    pub other_host: Option<String>,
    /// The longest stanza, in bytes.
    #[serde(default = "max_stanza")]
    pub max_stanza: usize,
    /// How long a stanza may take from its first byte to its last.
    #[serde(default = "stall_ms")]
    pub stall_ms: u64,
    /// How long a client may take to log in.
    #[serde(default = "login_ms")]
    pub login_ms: u64,
    /// How long a drain waits for a stanza that is half sent.
    #[serde(default = "finish_ms")]
    pub finish_ms: u64,
    /// The services.
    #[serde(default)]
    pub service: Vec<Service>,
}

fn max_stanza() -> usize {
    65_536
}

fn stall_ms() -> u64 {
    5_000
}

fn login_ms() -> u64 {
    10_000
}

fn finish_ms() -> u64 {
    1_000
}

impl Xmpp {
    /// Its services that have no contract of their own yet, as contracts.
    pub fn contracts(&self, known: &[Project]) -> Vec<Project> {
        let new = |s: &&Service| !known.iter().any(|p| p.name.as_deref() == Some(&s.domain));
        let contract =
            |s: &Service| Project { name: Some(s.domain.clone()), send_cap: s.tries, ..Project::default() };
        self.service.iter().filter(new).map(contract).collect()
    }

    /// Reads the file; none where it does not exist or names no address.
    pub fn read(path: &Path) -> Result<Option<Xmpp>, String> {
        let text = match std::fs::read_to_string(path) {
            Ok(text) => text,
            Err(e) if e.kind() == std::io::ErrorKind::NotFound => return Ok(None),
            Err(e) => return Err(format!("cannot read {}: {e}", path.display())),
        };
        let wrong = |e: &dyn std::fmt::Display| format!("{}: {e}", path.display());
        let file: Xmpp = toml::from_str(&text).map_err(|e| wrong(&e))?;
        if file.listen.is_none() {
            return Ok(None);
        }
        // RFC 6120, 13.12: no limit under 10,000 bytes.
        if file.max_stanza < 10_000 {
            return Err(wrong(&"max_stanza must be at least 10000"));
        }
        if file.instance_port.is_none() && file.instances.is_empty() {
            return Err(wrong(&"instance_port or [instances] must say where instances speak XMPP"));
        }
        for service in &file.service {
            let other =
                service.mechanisms.iter().find(|m| !matches!(m.as_str(), "PLAIN" | "ANONYMOUS" | "EXTERNAL"));
            if let Some(other) = other {
                return Err(wrong(&format!("{}: the mechanism {other} cannot be replayed", service.domain)));
            }
        }
        Ok(Some(file))
    }

    /// Where an instance speaks XMPP.
    pub fn address(&self, name: &str, address: SocketAddr) -> SocketAddr {
        let port = self.instance_port.unwrap_or(address.port());
        self.instances.get(name).copied().unwrap_or(SocketAddr::new(address.ip(), port))
    }
}
