//! The adapter: hosts one [`PlacementPolicy`] for each node and speaks the bench's wire on standard input and
//! output. It decides nothing.

use oakdeal::wire::{action_reply, frame_time, Line, Names, Reply};
use oakdeal::{Action, PlacementPolicy};
use std::collections::BTreeMap;
use std::io::{self, BufRead, Write};
use std::process::ExitCode;

/// Reads batches until the input ends.
fn run(input: impl BufRead, mut output: impl Write) -> Result<(), String> {
    let mut nodes: BTreeMap<u32, (PlacementPolicy, Names)> = BTreeMap::new();
    let mut batch: Option<(u64, u64)> = None;
    let mut actions: Vec<Action> = Vec::new();
    let mut text: Vec<u8> = Vec::new();
    let json = |text: &mut Vec<u8>, line: &Reply| {
        serde_json::to_writer(&mut *text, line).map_err(|e| e.to_string())?;
        text.push(b'\n');
        Ok::<(), String>(())
    };
    for (i, raw) in input.lines().enumerate() {
        let fault = |what: String| format!("line {}: {what}", i + 1);
        let raw = raw.map_err(|e| fault(format!("expected UTF-8 text: {e}")))?;
        if raw.trim().is_empty() {
            continue;
        }
        let line: Line =
            serde_json::from_str(&raw).map_err(|e| fault(format!("expected a message of the wire: {e}")))?;
        match (line, batch) {
            (Line::Frame { time_ms, frame }, None) => {
                batch = Some((frame_time(time_ms), frame));
                text.clear();
            }
            (Line::Frame { .. }, Some(_)) => {
                return Err(fault("expected EofBatch before a new Frame".into()))
            }
            (_, None) => return Err(fault("expected Frame to open a batch".into())),
            (Line::EofBatch {}, Some((_, frame))) => {
                json(&mut text, &Reply::Done { frame })?;
                output.write_all(&text).and_then(|()| output.flush()).map_err(|e| e.to_string())?;
                batch = None;
            }
            (Line::Init { node, rng_seed, env }, Some(_)) => {
                let (settings, names) = env.translate().map_err(|e| fault(e.to_string()))?;
                let policy = PlacementPolicy::new(settings, rng_seed).map_err(|e| fault(e.to_string()))?;
                nodes.insert(node, (policy, names));
            }
            (Line::Retire { node }, Some(_)) => {
                nodes.remove(&node);
            }
            (line, Some((now, _))) => {
                let node = line.node().unwrap_or_default();
                let Some((policy, names)) = nodes.get_mut(&node) else {
                    return Err(fault(format!("expected Init for node {node} before its first event")));
                };
                if let Some(event) = line.event(names).map_err(fault)? {
                    actions.clear();
                    policy.handle(now, event, &mut actions);
                    for action in &actions {
                        json(&mut text, &action_reply(node, action))?;
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
