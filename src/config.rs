//! What the platform tells the program, and the form of the XMPP front's section.

use crate::broker::instances::Listing;
use crate::operator::spans::Span;
use crate::wire::Env;
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
    /// Where operators call; nobody does where this is not said.
    pub admin: Option<String>,
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
        Ok((Config::parse(path, &text)?, text))
    }

    /// Reads a text; `path` is for the message.
    pub fn parse(path: &Path, text: &str) -> Result<Config, String> {
        serde_json::from_str(text).map_err(|e| {
            format!("{}:{}: is no configuration: {e}; correct it there", path.display(), e.line())
        })
    }

    /// Where operators call: as the configuration says, else as `LB_ADMIN` does.
    pub fn admin(&self, variable: Option<String>) -> Result<Option<SocketAddr>, String> {
        let told = [("admin", self.admin.clone()), ("LB_ADMIN", variable)];
        let mut told =
            told.into_iter().filter_map(|(key, text)| Some((key, text.filter(|t| !t.is_empty())?)));
        let Some((key, text)) = told.next() else { return Ok(None) };
        let wrong =
            |_| format!("{key}: {text:?} is no address: give one like 10.0.0.4:3001, or leave it out");
        text.parse().map(Some).map_err(wrong)
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

/// A domain that is served.
#[derive(Deserialize, Debug)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// The domain that clients name in their header.
    pub domain: String,
    /// The class of its connections, named as in the settings.
    pub class: String,
    /// The team whose contract it is under; where it is left out, the one named like the domain, else the one
    /// whose contract alone names the class.
    pub team: Option<String>,
    /// How long a log-in may take; the class's deadline where it is left out.
    pub deadline: Option<Span>,
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

/// The XMPP front, a section of the operator's file.
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
    #[serde(default = "stall")]
    pub stall: Span,
    /// How long a client may take to log in.
    #[serde(default = "login")]
    pub login: Span,
    /// How long a drain waits for a stanza that is half sent.
    #[serde(default = "finish")]
    pub finish: Span,
    /// The services.
    #[serde(default)]
    pub service: Vec<Service>,
}

fn max_stanza() -> usize {
    65_536
}

fn stall() -> Span {
    Span(5_000_000)
}

fn login() -> Span {
    Span(10_000_000)
}

fn finish() -> Span {
    Span(1_000_000)
}

impl Xmpp {
    /// What of it contradicts itself, with the mend.
    pub fn check(&self) -> Result<(), String> {
        // RFC 6120, 13.12: no limit under 10,000 bytes.
        if self.max_stanza < 10_000 {
            return Err(format!("max_stanza must be 10000 or more, not {}", self.max_stanza));
        }
        if self.listen.is_some() && self.instance_port.is_none() && self.instances.is_empty() {
            return Err(
                "where instances speak XMPP is not said: add instance_port or [xmpp.instances]".into()
            );
        }
        if self.certificate.is_some() != self.key.is_some() {
            return Err("a certificate needs a key, and a key a certificate: add the other".into());
        }
        for service in &self.service {
            let other =
                service.mechanisms.iter().find(|m| !matches!(m.as_str(), "PLAIN" | "ANONYMOUS" | "EXTERNAL"));
            if let Some(other) = other {
                let text = "cannot be replayed: use PLAIN, EXTERNAL or ANONYMOUS";
                return Err(format!("{}: the mechanism {other} {text}", service.domain));
            }
        }
        Ok(())
    }

    /// Where an instance speaks XMPP.
    pub fn address(&self, name: &str, address: SocketAddr) -> SocketAddr {
        let port = self.instance_port.unwrap_or(address.port());
        self.instances.get(name).copied().unwrap_or(SocketAddr::new(address.ip(), port))
    }
}
