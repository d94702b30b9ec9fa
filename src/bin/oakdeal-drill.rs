//! Adapter for the simulator: runs one [`PlacementPolicy`] for each simulated node and speaks the simulator's
//! wire format on standard input and output. It makes no decisions of its own.

use oakdeal::wire::{clock, reply, Line, Names, Reply};
use oakdeal::{Action, PlacementPolicy};
use std::collections::BTreeMap;
use std::io::{self, BufRead, Write};
use std::process::ExitCode;

/// Reads batches of lines until the input ends, and writes the replies of each batch when it is complete.
fn run(input: impl BufRead, mut output: impl Write) -> Result<(), String> {
    let mut nodes: BTreeMap<u32, (PlacementPolicy, Names)> = BTreeMap::new();
    let mut batch: Option<(u64, u64)> = None;
    let mut actions: Vec<Action> = Vec::new();
    let mut text: Vec<u8> = Vec::new();
    let write_reply = |text: &mut Vec<u8>, line: &Reply| {
        serde_json::to_writer(&mut *text, line).map_err(|e| e.to_string())?;
        text.push(b'\n');
        Ok::<(), String>(())
    };
    for (i, raw_line) in input.lines().enumerate() {
        let at_line = |what: String| format!("line {}: {what}", i + 1);
        let raw_line = raw_line.map_err(|e| at_line(format!("expected UTF-8 text: {e}")))?;
        if raw_line.trim().is_empty() {
            continue;
        }
        let line: Line = serde_json::from_str(&raw_line)
            .map_err(|e| at_line(format!("expected a message of the wire format: {e}")))?;
        match (line, batch) {
            (Line::Frame { time_ms, frame }, None) => {
                batch = Some((clock(time_ms), frame));
                text.clear();
            }
            (Line::Frame { .. }, Some(_)) => {
                return Err(at_line("expected EofBatch before a new Frame".into()))
            }
            (_, None) => return Err(at_line("expected Frame to open a batch".into())),
            (Line::EofBatch {}, Some((_, frame))) => {
                write_reply(&mut text, &Reply::Done { frame })?;
                output.write_all(&text).and_then(|()| output.flush()).map_err(|e| e.to_string())?;
                batch = None;
            }
            (Line::Init { node, rng_seed, env }, Some(_)) => {
                let (settings, names) = env.translate().map_err(|e| at_line(e.to_string()))?;
                let policy = PlacementPolicy::new(settings, rng_seed).map_err(|e| at_line(e.to_string()))?;
                nodes.insert(node, (policy, names));
            }
            (Line::Retire { node }, Some(_)) => {
                nodes.remove(&node);
            }
            (line, Some((now, _))) => {
                let node = line.node().unwrap_or_default();
                let Some((policy, names)) = nodes.get_mut(&node) else {
                    return Err(at_line(format!("expected Init for node {node} before its first event")));
                };
                if let Some(event) = line.event(names).map_err(at_line)? {
                    actions.clear();
                    policy.handle(now, event, &mut actions);
                    for action in &actions {
                        write_reply(&mut text, &reply(node, action))?;
                    }
                }
            }
        }
    }
    match batch {
        None => Ok(()),
        Some(_) => Err("end of input: expected EofBatch to close the batch".into()),
    }
}

fn main() -> ExitCode {
    match run(io::stdin().lock(), io::stdout().lock()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("oakdeal-drill: {message}");
            ExitCode::FAILURE
        }
    }
}
