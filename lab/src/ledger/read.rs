//! Reads the debug log of balancers (`oakdeal=debug`) as events in the order of time.
//!
//! A line begins with seconds since the start of the day, as the bench writes it, and holds `told: ` or `decided: ` with
//! the module's event or actions as they print themselves, or discovery's word on an instance. Other lines are passed over.

use std::collections::BTreeMap;
use std::path::PathBuf;

/// What a line says.
#[derive(Clone, Debug, PartialEq)]
pub enum Word {
    /// A client asks, for the first time or again, or is found standing somewhere.
    Asks {
        /// The client's key.
        key: String,
        /// Its group.
        group: String,
        /// Its class.
        class: usize,
        /// It was here before.
        back: bool,
        /// Where it is found standing.
        at: Option<u32>,
    },
    /// It stands.
    Stands {
        /// Where.
        at: u32,
    },
    /// Its load.
    Load(f64),
    /// An attempt or a standing connection has ended.
    Ends {
        /// As the module is told.
        how: String,
    },
    /// It was refused.
    Refused,
    /// Nobody is there any more.
    Vanished,
}

/// One event of one command.
#[derive(Clone, Debug, PartialEq)]
pub struct Line {
    /// Seconds since the start.
    pub t: f64,
    /// The command.
    pub call: String,
    /// What.
    pub word: Word,
}

/// An instance: size, zone, and when it was first named ready.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Instance {
    /// Its registered size.
    pub size: f64,
    /// Its zone, as the log names it.
    pub zone: String,
    /// Seconds since the start; 0 for those known from the first.
    pub since: f64,
}

/// All that was read.
#[derive(Clone, Debug, Default)]
pub struct Day {
    /// Events, in the order of time.
    pub lines: Vec<Line>,
    /// Instances by number.
    pub instances: BTreeMap<u32, Instance>,
}

/// What stands between two marks.
fn between<'a>(text: &'a str, from: &str, to: &str) -> Option<&'a str> {
    let rest = &text[text.find(from)? + from.len()..];
    Some(&rest[..rest.find(to)?])
}

fn call(text: &str) -> Option<String> {
    between(text, "CallId(\"", "\"").map(str::to_string)
}

fn number<T: std::str::FromStr>(text: &str, from: &str) -> Option<T> {
    let rest = &text[text.find(from)? + from.len()..];
    let end = rest.find(|c: char| !(c.is_ascii_digit() || c == '.')).unwrap_or(rest.len());
    rest[..end].parse().ok()
}

impl Day {
    /// Takes in one line.
    pub fn read(&mut self, line: &str) {
        let Some(t) = line.split(' ').next().and_then(|t| t.parse::<f64>().ok()) else { return };
        if let Some((_, text)) = line.split_once("told: ") {
            if text.starts_with("Members") {
                self.listed(t, text);
            } else if let Some((call, word)) = told(text) {
                self.lines.push(Line { t, call, word });
            }
        } else if let Some((_, text)) = line.split_once("decided: ") {
            let refused = text.split("Refuse { ").skip(1).filter_map(call);
            self.lines.extend(refused.map(|call| Line { t, call, word: Word::Refused }));
        }
    }

    fn listed(&mut self, t: f64, text: &str) {
        let first = if t < 1.0 { 0.0 } else { t };
        for entry in text.split("Entry { ").skip(1) {
            let Some((host, size)) = number(entry, "host: ").zip(number(entry, "weight: ")) else { continue };
            let zone = between(entry, "zone: Some(", ")").unwrap_or("none").to_string();
            let known = self.instances.entry(host).or_insert(Instance { size, zone, since: first });
            // Balancers hear of it one after the other, and their logs are read so too.
            known.since = known.since.min(first);
        }
    }

    /// Reads files, and sorts what they say by time.
    pub fn files(paths: &[PathBuf]) -> Result<Day, String> {
        let mut day = Day::default();
        for path in paths {
            let bytes = std::fs::read(path).map_err(|e| format!("cannot read {}: {e}", path.display()))?;
            String::from_utf8_lossy(&bytes).lines().for_each(|line| day.read(line));
        }
        day.lines.sort_by(|a, b| a.t.total_cmp(&b.t));
        if day.lines.is_empty() {
            return Err(
                "no line of these logs is a decision: they are to be written with RUST_LOG=oakdeal=debug"
                    .into(),
            );
        }
        Ok(day)
    }
}

fn told(text: &str) -> Option<(String, Word)> {
    let name = text.split(['(', ' ']).next()?;
    let word = match name {
        "Demand" | "Adopted" => Word::Asks {
            key: between(text, "key: Some(\"", "\"")?.to_string(),
            group: between(text, "group: Some(\"", "\"").unwrap_or_default().to_string(),
            class: number(text, "class: ")?,
            back: text.contains("returned: true") || text.contains("repeat: true"),
            at: match name {
                "Adopted" => Some(number(text, "}, ")?),
                _ => None,
            },
        },
        "Opened" => Word::Stands { at: number(text, "host: ")? },
        "LoadNote" => Word::Load(number(text, "load: ")?),
        "Finished" => Word::Ends { how: between(text, "outcome: ", ",")?.to_string() },
        "Vanished" => Word::Vanished,
        _ => return None,
    };
    Some((call(text)?, word))
}
