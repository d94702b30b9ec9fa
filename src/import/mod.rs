//! Converts Apache's mod_proxy_balancer sections and mod_jk worker files to a platform configuration. Settings without a
//! counterpart are reported with their line, never dropped silently.

mod apache;
mod jk;

use serde_json::{json, Value};
use std::net::SocketAddr;

/// A line that was not converted, or only in part.
#[derive(Debug, PartialEq)]
pub struct Report {
    /// Line number, from 1; 0 for the file as a whole.
    pub line: usize,
    /// What was not converted, and why.
    pub text: String,
}

/// A member of a balancer.
#[derive(Debug, Clone, PartialEq)]
struct Member {
    line: usize,
    name: String,
    /// `HOST:PORT` as written.
    address: String,
    weight: f64,
    /// `ready`, `draining`, or `None` for a disabled member.
    status: Option<&'static str>,
}

/// A balancer of the source file; it becomes a project of the configuration.
#[derive(Debug, Default, Clone, PartialEq)]
struct Balancer {
    name: String,
    members: Vec<Member>,
    attempts: Option<u32>,
    timeout_ms: Option<f64>,
}

/// The contents of a source file.
#[derive(Debug, Default)]
struct SourceFile {
    balancers: Vec<Balancer>,
    connect_timeout_ms: Option<f64>,
    reports: Vec<Report>,
}

impl SourceFile {
    fn report(&mut self, line: usize, text: impl Into<String>) {
        self.reports.push(Report { line, text: text.into() });
    }
}

/// Deadline of clients, in milliseconds, if the source file has no timeout.
const DEFAULT_TIMEOUT_MS: f64 = 5000.0;
/// Timeout of connection attempts, in milliseconds, if the source file has none.
const DEFAULT_CONNECT_TIMEOUT_MS: f64 = 1000.0;
/// Maximum number of attempts if the source file has none.
const DEFAULT_MAX_ATTEMPTS: u32 = 4;

/// Converts the text of a source file to a configuration, and reports what was not converted.
pub fn import(text: &str) -> (Value, Vec<Report>) {
    let is_worker_property = |line: &str| line.trim_start().starts_with("worker.");
    let source = if text.lines().any(is_worker_property) { jk::parse(text) } else { apache::parse(text) };
    configuration(source)
}

fn configuration(mut source: SourceFile) -> (Value, Vec<Report>) {
    let balancers = std::mem::take(&mut source.balancers);
    let mut endpoints: Vec<Value> = Vec::new();
    let mut names: Vec<String> = Vec::new();
    let mut projects = Vec::new();
    if balancers.len() > 1 {
        source.report(0, "several balancers: their members become one list that all projects share");
    }
    for balancer in &balancers {
        for member in &balancer.members {
            let Some(status) = member.status else {
                source.report(member.line, format!("member {} is disabled: skipped", member.name));
                continue;
            };
            let address = member.address.replace("localhost", "127.0.0.1");
            // Host names are rejected: the balancer runs without name resolution.
            let Ok(address) = address.parse::<SocketAddr>() else {
                let text = format!(
                    "member {}: {:?} is not an IP address with a port: skipped",
                    member.name, member.address
                );
                source.report(member.line, text);
                continue;
            };
            if names.contains(&member.name) {
                continue;
            }
            names.push(member.name.clone());
            endpoints.push(
                json!({"name": member.name, "address": address.to_string(), "zone": "here", "group": 0,
                "status": status, "weight": member.weight, "since_ms": 0}),
            );
        }
        let mut project = json!({"Name": balancer.name, "Fraction": 1.0});
        if let Some(attempts) = balancer.attempts {
            project["SendCap"] = json!(attempts);
        }
        if let Some(ms) = balancer.timeout_ms {
            project["DeadlineMs"] = json!(ms);
        }
        projects.push(project);
    }
    let timeout_ms = balancers.iter().filter_map(|b| b.timeout_ms).fold(0.0, f64::max);
    let timeout_ms = if timeout_ms > 0.0 { timeout_ms } else { DEFAULT_TIMEOUT_MS };
    let max_attempts = balancers.iter().filter_map(|b| b.attempts).max().unwrap_or(DEFAULT_MAX_ATTEMPTS);
    let config = json!({
        "name": "imported", "listen": "127.0.0.1:3000", "discovery": "127.0.0.1:8500", "seed": "1",
        "limits": {"sockets": 1024},
        "known": {"index": 0, "snapshot": true, "endpoints": endpoints},
        "settings": {
            "Areas": ["here"], "MyZone": "here", "PeersTotal": 1, "RegistryMode": "subscribe", "Weights": "nominal",
            "Classes": [{"Name": "all", "AimMs": timeout_ms / 2.0, "DeadlineMs": timeout_ms, "Effect": "free", "Group": "all"}],
            "Guarantees": {"ColdShare": 1.0, "DrainGraceMs": 500, "MustAskInMs": 10000},
            "PolicyLimits": {"SendCap": max_attempts,
                "ConnectTimeoutMs": source.connect_timeout_ms.unwrap_or(DEFAULT_CONNECT_TIMEOUT_MS),
                "RetryAfter": true, "MaxRetryAfterMs": 2000},
            "Projects": projects
        }
    });
    if config["known"]["endpoints"].as_array().is_none_or(Vec::is_empty) {
        source.report(0, "no member could be converted");
    }
    source.reports.sort_by_key(|r| r.line);
    (config, source.reports)
}
