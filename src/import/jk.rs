//! Parses worker files of mod_jk (`workers.properties`).

use super::{Balancer, Member, SourceFile};
use std::collections::BTreeMap;
use winnow::ascii::space0;
use winnow::combinator::{delimited, preceded, separated_pair};
use winnow::token::{one_of, rest, take_till};
use winnow::{ModalResult, Parser};

/// Parses `worker.KEY = VALUE` into key and value; the key is `NAME.PROPERTY`, or a single word such as `list`.
fn property<'a>(input: &mut &'a str) -> ModalResult<(&'a str, &'a str)> {
    let key = preceded("worker.", take_till(1.., ['=', ' ', '\t', ':']));
    separated_pair(key, delimited(space0, one_of(['=', ':']), space0), rest).parse_next(input)
}

/// Port of a worker that has none: the default of the AJP protocol.
const DEFAULT_AJP_PORT: &str = "8009";

#[derive(Default)]
struct Worker {
    line: usize,
    kind: String,
    host: Option<String>,
    port: Option<String>,
    route: Option<String>,
    weight: Option<f64>,
    stopped: bool,
    draining: bool,
    attempts: Option<u32>,
    timeout_ms: Option<f64>,
    members: Vec<String>,
}

fn split_list(value: &str) -> impl Iterator<Item = String> + '_ {
    value.split([',', ' ', '\t']).filter(|name| !name.is_empty()).map(Into::into)
}

pub fn parse(text: &str) -> SourceFile {
    let mut source = SourceFile::default();
    let mut workers: BTreeMap<String, Worker> = BTreeMap::new();
    for (i, line) in text.lines().enumerate() {
        let (line_number, line) = (i + 1, line.trim());
        if line.is_empty() || line.starts_with('#') || line.starts_with('!') {
            continue;
        }
        let Ok((key, value)) = property.parse(line) else {
            source.report(line_number, format!("unsupported line: {line:.60}"));
            continue;
        };
        let value = value.trim();
        // The list of workers that the web server may use is irrelevant: the members come from the balancers.
        if key == "list" {
            continue;
        }
        let Some((name, key)) = key.split_once('.') else {
            source.report(line_number, format!("unsupported directive worker.{key}"));
            continue;
        };
        let worker = workers
            .entry(name.to_string())
            .or_insert_with(|| Worker { line: line_number, ..Worker::default() });
        if let Err(text) = apply_property(worker, key, value) {
            match (text, key, value.parse::<f64>()) {
                (None, "connect_timeout" | "socket_connect_timeout", Ok(ms)) if ms > 0.0 => {
                    source.connect_timeout_ms = Some(source.connect_timeout_ms.map_or(ms, |t| t.min(ms)));
                }
                (Some(text), ..) => source.report(line_number, format!("worker {name}: {text}")),
                (None, ..) => {
                    source.report(line_number, format!("worker {name}: unsupported {key}={value:.40}"))
                }
            }
        }
    }
    collect_balancers(&mut source, &workers);
    source
}

/// Applies one property to a worker. An error is a message, or `None` for a property that only the caller may know.
fn apply_property(worker: &mut Worker, key: &str, value: &str) -> Result<(), Option<String>> {
    let invalid = |what: &str| Some(format!("{key} {value:?} is not {what}"));
    match key {
        "type" => worker.kind = value.to_ascii_lowercase(),
        "host" => worker.host = Some(value.into()),
        "port" => worker.port = Some(value.into()),
        "route" | "jvm_route" => worker.route = Some(value.into()),
        "lbfactor" => match value.parse::<f64>() {
            Ok(weight) if weight > 0.0 => worker.weight = Some(weight),
            _ => return Err(invalid("a positive number")),
        },
        "activation" => match value.chars().next().map(|c| c.to_ascii_uppercase()) {
            Some('A') => (worker.stopped, worker.draining) = (false, false),
            Some('D') => worker.draining = true,
            Some('S') => worker.stopped = true,
            _ => return Err(invalid("an activation")),
        },
        "disabled" => worker.draining |= matches!(value, "1" | "true" | "True"),
        "stopped" => worker.stopped |= matches!(value, "1" | "true" | "True"),
        "retries" => worker.attempts = Some(value.parse().map_err(|_| invalid("a number"))?),
        "reply_timeout" => match value.parse::<f64>() {
            Ok(ms) if ms > 0.0 => worker.timeout_ms = Some(ms),
            _ => return Err(invalid("a time")),
        },
        "balance_workers" | "balanced_workers" => worker.members.extend(split_list(value)),
        "method" => {
            return Err(Some(format!("method {value}: not supported, placement uses consistent hashing")))
        }
        "sticky_session" => {
            return Err(Some(format!(
                "sticky_session {value}: not supported, send the session as the group of a connection (g=)"
            )))
        }
        _ => return Err(None),
    }
    Ok(())
}

fn collect_balancers(source: &mut SourceFile, workers: &BTreeMap<String, Worker>) {
    let mut balanced = Vec::new();
    for (name, worker) in workers.iter().filter(|(_, w)| w.kind == "lb") {
        let mut balancer = Balancer { name: name.clone(), ..Balancer::default() };
        (balancer.attempts, balancer.timeout_ms) = (worker.attempts, worker.timeout_ms);
        for id in &worker.members {
            match workers.get(id) {
                Some(found) => balancer.members.push(to_member(source, id, found)),
                None => source.report(worker.line, format!("worker {name}: its member {id} is not defined")),
            }
            balanced.push(id.clone());
        }
        source.balancers.push(balancer);
    }
    for (name, worker) in workers.iter().filter(|(name, w)| w.kind != "lb" && !balanced.contains(name)) {
        match worker.kind.as_str() {
            // A worker outside of any balancer becomes a project with one instance.
            "" | "ajp13" | "ajp12" | "ajp14" => {
                let members = vec![to_member(source, name, worker)];
                let (attempts, timeout_ms) = (worker.attempts, worker.timeout_ms);
                source.balancers.push(Balancer { name: name.clone(), members, attempts, timeout_ms });
            }
            kind => source.report(worker.line, format!("worker {name}: unsupported type {kind}")),
        }
    }
}

fn to_member(source: &mut SourceFile, id: &str, worker: &Worker) -> Member {
    if worker.port.is_none() {
        source.report(worker.line, format!("worker {id} has no port: 8009 is used"));
    }
    let host = worker.host.as_deref().unwrap_or("localhost");
    let address = format!("{host}:{}", worker.port.as_deref().unwrap_or(DEFAULT_AJP_PORT));
    let status = match (worker.stopped, worker.draining) {
        (true, _) => None,
        (_, true) => Some("draining"),
        _ => Some("ready"),
    };
    let name = worker.route.clone().unwrap_or_else(|| id.into());
    Member { line: worker.line, name, address, weight: worker.weight.unwrap_or(1.0), status }
}
