//! The platform's configuration file, and the format of the `[xmpp]` section of the operator's file.

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
    /// Name of this balancer.
    #[serde(default)]
    pub name: String,
    /// Address that clients connect to.
    pub listen: SocketAddr,
    /// Address of the operators' endpoint; off where neither this nor `LB_ADMIN` names one.
    pub admin: Option<String>,
    /// Address of the discovery service.
    pub discovery: SocketAddr,
    /// Seed for random numbers, in hexadecimal.
    #[serde(default)]
    pub seed: String,
    /// Resources that the program may use.
    #[serde(default)]
    pub limits: Limits,
    /// The list of instances that this balancer last received.
    pub known: Option<Listing>,
    /// The settings, in the format of the bench's protocol.
    pub settings: Env,
}

/// Resources that the program may use.
#[derive(Deserialize, Debug)]
#[serde(default)]
pub struct Limits {
    /// Number of file descriptors.
    pub sockets: usize,
}

/// Number of file descriptors where the configuration states none.
const DEFAULT_SOCKETS: usize = 1024;

impl Default for Limits {
    fn default() -> Self {
        Limits { sockets: DEFAULT_SOCKETS }
    }
}

impl Config {
    /// Reads a configuration file; returns its text too, for comparison with a later one.
    pub fn read(path: &Path) -> Result<(Config, String), String> {
        let text =
            std::fs::read_to_string(path).map_err(|e| format!("cannot read {}: {e}", path.display()))?;
        Ok((Config::parse(path, &text)?, text))
    }

    /// Parses a configuration; `path` is only named in error messages.
    pub fn parse(path: &Path, text: &str) -> Result<Config, String> {
        serde_json::from_str(text)
            .map_err(|e| format!("{}:{}: not a valid configuration: {e}", path.display(), e.line()))
    }

    /// Returns the address of the operators' endpoint: from the configuration, else from `variable`, the value of
    /// `LB_ADMIN`. Empty values count as absent.
    pub fn admin_address(&self, variable: Option<String>) -> Result<Option<SocketAddr>, String> {
        let sources = [("admin", self.admin.clone()), ("LB_ADMIN", variable)];
        let mut stated =
            sources.into_iter().filter_map(|(key, text)| Some((key, text.filter(|t| !t.is_empty())?)));
        let Some((key, text)) = stated.next() else { return Ok(None) };
        let invalid =
            |_| format!("{key}: {text:?} is no address: give one like 10.0.0.4:3001, or leave it out");
        text.parse().map(Some).map_err(invalid)
    }

    /// Returns the top-level keys that differ between two configurations and take effect only at a start. A running
    /// balancer adopts discovery's address alone; the known list and the seed are meant for a start and are not
    /// reported.
    pub fn changes_ignored_until_restart(before: &str, now: &str) -> Vec<String> {
        let parse = |text| serde_json::from_str(text).unwrap_or_default();
        let (before, now): (Map<String, Value>, Map<String, Value>) = (parse(before), parse(now));
        let names: BTreeSet<&String> = before.keys().chain(now.keys()).collect();
        let differs = |name: &&String| before.get(*name) != now.get(*name);
        let not_reported = |name: &str| matches!(name, "discovery" | "known" | "seed");
        names.into_iter().filter(differs).filter(|name| !not_reported(name)).cloned().collect()
    }

    /// Returns the seed as a number; a text that is not hexadecimal is hashed.
    pub fn random_seed(&self) -> u64 {
        u64::from_str_radix(&self.seed, 16)
            .unwrap_or_else(|_| xxhash_rust::xxh64::xxh64(self.seed.as_bytes(), 0))
    }
}

/// Which connections of a service are placed together.
#[derive(Deserialize, Clone, Copy, Debug, Default, PartialEq)]
#[serde(rename_all = "lowercase")]
pub enum Grouping {
    /// No grouping: each connection is placed by its own key.
    #[default]
    None,
    /// All connections of a domain.
    Domain,
    /// All connections of a bare JID.
    Jid,
}

/// A domain served by the XMPP front.
#[derive(Deserialize, Debug)]
#[serde(deny_unknown_fields)]
pub struct XmppService {
    /// Domain that clients name in their stream header.
    pub domain: String,
    /// Class of its connections, named as in the settings.
    pub class: String,
    /// Team whose contract applies; by default the team named like the domain, else the only team whose contract names
    /// the class.
    pub team: Option<String>,
    /// Time allowed to place a log-in; by default the class's deadline.
    pub deadline: Option<Span>,
    /// Which of its connections are placed together.
    #[serde(default)]
    pub group: Grouping,
    /// SASL mechanisms offered. Only mechanisms whose first client message holds all credentials can be replayed to an
    /// instance.
    #[serde(default = "default_mechanisms")]
    pub mechanisms: Vec<String>,
}

fn default_mechanisms() -> Vec<String> {
    vec!["PLAIN".into()]
}

/// The `[xmpp]` section of the operator's file.
#[derive(Deserialize, Debug)]
#[serde(deny_unknown_fields)]
pub struct XmppSettings {
    /// Address that XMPP clients connect to; the front is off without it.
    pub listen: Option<SocketAddr>,
    /// Port on which instances accept XMPP, at the addresses that discovery reports.
    pub instance_port: Option<u16>,
    /// Addresses of instances that accept XMPP elsewhere, by instance name.
    #[serde(default)]
    pub instances: BTreeMap<String, SocketAddr>,
    /// Certificate chain for STARTTLS, which is then required.
    pub certificate: Option<PathBuf>,
    /// Private key of the certificate.
    pub key: Option<PathBuf>,
    /// Host that clients are redirected to at a drain; without it they receive `system-shutdown`.
    pub other_host: Option<String>,
    /// Longest stanza, in bytes.
    #[serde(default = "default_max_stanza")]
    pub max_stanza: usize,
    /// Time allowed from the first byte of a stanza to its last.
    #[serde(default = "default_stall")]
    pub stall: Span,
    /// Time allowed for a client to log in.
    #[serde(default = "default_login")]
    pub login: Span,
    /// Time that a drain waits for a partly sent stanza.
    #[serde(default = "default_finish")]
    pub finish: Span,
    /// Domains served.
    #[serde(default)]
    pub service: Vec<XmppService>,
}

/// 64 KiB.
fn default_max_stanza() -> usize {
    65_536
}

/// 5 s, in microseconds.
fn default_stall() -> Span {
    Span(5_000_000)
}

/// 10 s, in microseconds.
fn default_login() -> Span {
    Span(10_000_000)
}

/// 1 s, in microseconds.
fn default_finish() -> Span {
    Span(1_000_000)
}

/// Smallest limit on the length of a stanza that RFC 6120, 13.12, permits, in bytes.
const MIN_STANZA_LIMIT_BYTES: usize = 10_000;

impl XmppSettings {
    /// Returns an error that names the first contradiction in the section and how to correct it.
    pub fn validate(&self) -> Result<(), String> {
        if self.max_stanza < MIN_STANZA_LIMIT_BYTES {
            return Err(format!("max_stanza must be 10000 or more, not {}", self.max_stanza));
        }
        if self.listen.is_some() && self.instance_port.is_none() && self.instances.is_empty() {
            return Err(
                "the XMPP addresses of instances are missing: add instance_port or [xmpp.instances]".into()
            );
        }
        if self.certificate.is_some() != self.key.is_some() {
            return Err("certificate and key are required together: add the missing one".into());
        }
        for service in &self.service {
            let unsupported =
                service.mechanisms.iter().find(|m| !matches!(m.as_str(), "PLAIN" | "ANONYMOUS" | "EXTERNAL"));
            if let Some(mechanism) = unsupported {
                let text = "cannot be replayed: use PLAIN, EXTERNAL or ANONYMOUS";
                return Err(format!("{}: the mechanism {mechanism} {text}", service.domain));
            }
        }
        Ok(())
    }

    /// Returns the XMPP address of an instance that discovery reports at `address`.
    pub fn instance_address(&self, name: &str, address: SocketAddr) -> SocketAddr {
        let port = self.instance_port.unwrap_or(address.port());
        self.instances.get(name).copied().unwrap_or(SocketAddr::new(address.ip(), port))
    }
}
