//! Parses the debug logs of balancers (`oakdeal=debug`) into events in order of time.
//!
//! A line begins with the seconds since the start of the run, as the bench writes it, and contains `told: ` or
//! `decided: ` followed by the debug output of the decision module's event or actions. Other lines are ignored.

use std::collections::BTreeMap;
use std::path::PathBuf;

/// The event of a log line.
#[derive(Clone, Debug, PartialEq)]
pub enum LogEvent {
    /// A client requests a connection, or its existing connection is adopted.
    Requested {
        /// Key of the client.
        key: String,
        /// Group of the client.
        group: String,
        /// Class of the client.
        class: usize,
        /// Whether the client has returned or repeats a request.
        returned: bool,
        /// Server of an adopted connection.
        server: Option<u32>,
    },
    /// The connection is established.
    Established {
        /// Server of the connection.
        server: u32,
    },
    /// The connection's load was reported.
    Load(f64),
    /// An attempt or an established connection ended.
    Ended {
        /// Outcome as the log prints it.
        outcome: String,
    },
    /// The request was refused.
    Refused,
    /// The client has left.
    ClientLeft,
}

/// A parsed log line: one event of one call.
#[derive(Clone, Debug, PartialEq)]
pub struct LogLine {
    /// Seconds since the start of the run.
    pub t: f64,
    /// The call.
    pub call: String,
    /// The event.
    pub event: LogEvent,
}

/// An instance as discovery lists it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Instance {
    /// Registered size.
    pub size: f64,
    /// Zone as the log prints it.
    pub zone: String,
    /// When the instance was first listed, in seconds since the start; 0 for those listed within the first second.
    pub listed_at: f64,
}

/// Events and instances from the logs of a run.
#[derive(Clone, Debug, Default)]
pub struct ParsedLogs {
    /// Events in order of time.
    pub lines: Vec<LogLine>,
    /// Instances by host number.
    pub instances: BTreeMap<u32, Instance>,
}

/// Returns the text between two markers.
fn between<'a>(text: &'a str, from: &str, to: &str) -> Option<&'a str> {
    let rest = &text[text.find(from)? + from.len()..];
    Some(&rest[..rest.find(to)?])
}

fn parse_call(text: &str) -> Option<String> {
    between(text, "CallId(\"", "\"").map(str::to_string)
}

fn number_after<T: std::str::FromStr>(text: &str, from: &str) -> Option<T> {
    let rest = &text[text.find(from)? + from.len()..];
    let end = rest.find(|c: char| !(c.is_ascii_digit() || c == '.')).unwrap_or(rest.len());
    rest[..end].parse().ok()
}

impl ParsedLogs {
    /// Parses one line; lines without a known event are ignored.
    pub fn parse_line(&mut self, line: &str) {
        let Some(t) = line.split(' ').next().and_then(|t| t.parse::<f64>().ok()) else { return };
        if let Some((_, text)) = line.split_once("told: ") {
            if text.starts_with("Members") {
                self.add_instances(t, text);
            } else if let Some((call, event)) = parse_event(text) {
                self.lines.push(LogLine { t, call, event });
            }
        } else if let Some((_, text)) = line.split_once("decided: ") {
            let refused = text.split("Refuse { ").skip(1).filter_map(parse_call);
            self.lines.extend(refused.map(|call| LogLine { t, call, event: LogEvent::Refused }));
        }
    }

    fn add_instances(&mut self, t: f64, text: &str) {
        let listed_at = if t < 1.0 { 0.0 } else { t };
        for entry in text.split("Entry { ").skip(1) {
            let Some((host, size)) = number_after(entry, "host: ").zip(number_after(entry, "weight: "))
            else {
                continue;
            };
            let zone = between(entry, "zone: Some(", ")").unwrap_or("none").to_string();
            let known = self.instances.entry(host).or_insert(Instance { size, zone, listed_at });
            // Each balancer is notified at its own time and the logs are read one by one: the earliest counts.
            known.listed_at = known.listed_at.min(listed_at);
        }
    }

    /// Reads log files and sorts their events by time.
    pub fn from_files(paths: &[PathBuf]) -> Result<ParsedLogs, String> {
        let mut logs = ParsedLogs::default();
        for path in paths {
            let bytes = std::fs::read(path).map_err(|e| format!("cannot read {}: {e}", path.display()))?;
            String::from_utf8_lossy(&bytes).lines().for_each(|line| logs.parse_line(line));
        }
        logs.lines.sort_by(|a, b| a.t.total_cmp(&b.t));
        if logs.lines.is_empty() {
            return Err(
                "the logs contain no events of the decision module; write them with RUST_LOG=oakdeal=debug"
                    .into(),
            );
        }
        Ok(logs)
    }
}

fn parse_event(text: &str) -> Option<(String, LogEvent)> {
    let name = text.split(['(', ' ']).next()?;
    let event = match name {
        "Demand" | "Adopted" => LogEvent::Requested {
            key: between(text, "key: Some(\"", "\"")?.to_string(),
            group: between(text, "group: Some(\"", "\"").unwrap_or_default().to_string(),
            class: number_after(text, "class: ")?,
            returned: text.contains("returned: true") || text.contains("repeat: true"),
            server: match name {
                "Adopted" => Some(number_after(text, "}, ")?),
                _ => None,
            },
        },
        "Opened" => LogEvent::Established { server: number_after(text, "host: ")? },
        "LoadNote" => LogEvent::Load(number_after(text, "load: ")?),
        "Finished" => LogEvent::Ended { outcome: between(text, "outcome: ", ",")?.to_string() },
        "Vanished" => LogEvent::ClientLeft,
        _ => return None,
    };
    Some((parse_call(text)?, event))
}
