//! Runs another build's decision code as an `oakdeal-drill` child process, one for each balancer, and exchanges one
//! batch of its line protocol for each event. That protocol has no contracts, so the contracts of a scenario do not
//! apply.

use super::decider::{Decider, ANSWER_MARGIN};
use oakdeal::{Action, CallId, Demand, Event, HostState, ListKind, Micros, Outcome};
use serde_json::{json, Value};
use std::io::{BufRead, BufReader, Write};
use std::path::Path;
use std::process::{Child, ChildStdin, ChildStdout, Command, Stdio};

/// Patience of an attempt without a limit, in microseconds; far from overflow when added to a time.
const UNLIMITED_PATIENCE: Micros = Micros::MAX / 4;

/// A running `oakdeal-drill` process.
pub struct Drill {
    child: Child,
    stdin: ChildStdin,
    stdout: BufReader<ChildStdout>,
    frame: u64,
}

impl Drop for Drill {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn to_ms(us: Micros) -> f64 {
    us as f64 / 1000.0
}

fn outcome_code(outcome: Outcome) -> u32 {
    match outcome {
        Outcome::Ok => 0,
        Outcome::Error => 1,
        Outcome::Full => 2,
        Outcome::Timeout => 3,
        Outcome::ConnectFailed => 4,
        Outcome::Reset => 5,
        Outcome::Cancelled => 6,
        Outcome::Moot => 7,
    }
}

impl Drill {
    /// Starts the program and sends it the settings.
    pub fn start(program: &Path, settings: &Value, seed: u64) -> Result<Drill, String> {
        let started = Command::new(program).stdin(Stdio::piped()).stdout(Stdio::piped()).spawn();
        let mut child = started.map_err(|e| format!("cannot start {}: {e}", program.display()))?;
        let (stdin, stdout) =
            child.stdin.take().zip(child.stdout.take()).ok_or("the drill has no stdin or stdout pipe")?;
        let mut drill = Drill { child, stdin, stdout: BufReader::new(stdout), frame: 0 };
        let init = json!({"Init": {"Node": 0, "RngSeed": seed >> 1, "Env": settings}});
        drill.exchange_batch(0, init).map_err(|e| format!("{}: {e}", program.display()))?;
        Ok(drill)
    }

    /// Sends one batch with a single line and reads the actions up to the end of the reply.
    fn exchange_batch(&mut self, now: Micros, line: Value) -> Result<Vec<Action>, String> {
        self.frame += 1;
        let head = json!({"Frame": {"TimeMs": to_ms(now), "frame": self.frame}});
        let text = format!("{head}\n{line}\n{{\"EofBatch\":{{}}}}\n");
        self.stdin.write_all(text.as_bytes()).and_then(|()| self.stdin.flush()).map_err(|e| e.to_string())?;
        let mut actions = Vec::new();
        loop {
            let mut line = String::new();
            if self.stdout.read_line(&mut line).map_err(|e| e.to_string())? == 0 {
                return Err("the drill closed its output".into());
            }
            let value: Value =
                serde_json::from_str(&line).map_err(|e| format!("invalid JSON: {e} in {line:.80}"))?;
            let Some((name, fields)) = value.as_object().and_then(|o| o.iter().next()) else {
                return Err(format!("not a message object: {line:.80}"));
            };
            let call = || CallId::from(fields["Call"].as_str().unwrap_or_default());
            let host = || fields["Host"].as_u64().unwrap_or(0) as u32;
            let us = |key: &str| fields[key].as_f64().map(|ms| (ms * 1000.0).round() as Micros);
            actions.push(match name.as_str() {
                "Done" => return Ok(actions),
                "HandOff" => {
                    let patience = us("PatienceMs").filter(|&p| p > 0).unwrap_or(UNLIMITED_PATIENCE);
                    Action::Send { call: call(), host: host(), patience }
                }
                "SayNo" => Action::Refuse { call: call(), retry_after: us("RetryAfterMs") },
                "EndFailed" => Action::Fail { call: call() },
                "Relocate" => Action::Move { call: call() },
                "Inspect" => Action::Probe { host: host() },
                "Remind" => Action::Timer {
                    at: us("AtMs").unwrap_or(0),
                    token: fields["Handle"].as_u64().unwrap_or(0),
                },
                "KeepInformed" => Action::Watch,
                _ => continue,
            });
        }
    }

    /// Returns the line of an event; `None` for events that the protocol does not carry.
    fn encode_event(event: Event) -> Option<Value> {
        Some(match event {
            Event::Members { kind, hosts } => {
                let status = |state| match state {
                    HostState::Ready => "Ready",
                    HostState::Draining => "Terminating",
                    HostState::Gone => "Gone",
                };
                let entry = |e: &oakdeal::Entry| {
                    json!({"Host": e.host, "Status": status(e.state), "ReadyAtMs": to_ms(e.ready_at), "Heft": e.weight,
                        "Group": e.cell})
                };
                let mode = match kind {
                    ListKind::Changes => "D",
                    ListKind::Full => "F",
                    ListKind::Cached => "C",
                    ListKind::Failed => "X",
                };
                let hosts: Vec<Value> = hosts.iter().map(entry).collect();
                json!({"BackendsChanged": {"Node": 0, "Mode": mode, "Hosts": hosts}})
            }
            Event::Opened { call, host, elapsed } => {
                json!({"Opened": {"Node": 0, "Call": &*call.0, "Host": host, "CostTimeMs": to_ms(elapsed)}})
            }
            Event::LoadNote { call, load } => {
                json!({"Note": {"Node": 0, "Call": &*call.0, "Host": 0, "Kind": 1, "Level": load}})
            }
            Event::DelayNote { host, delay } => {
                json!({"Note": {"Node": 0, "Call": "", "Host": host, "Kind": 2, "Level": to_ms(delay)}})
            }
            Event::Finished { call, attempt, host, outcome, elapsed, ended } => {
                json!({"Finished": {"Node": 0, "Call": &*call.0, "CostTimeMs": to_ms(elapsed),
                    "Code": outcome_code(outcome), "Host": host, "Copy": attempt, "Ended": ended}})
            }
            Event::Probed { host, outcome, .. } => {
                json!({"Pong": {"Node": 0, "Host": host, "Code": outcome_code(outcome), "ServerStats": null}})
            }
            Event::Vanished { call } => json!({"Vanished": {"Node": 0, "Call": &*call.0}}),
            Event::Timer { token } => json!({"DeadlineHit": {"Node": 0, "Handle": token}}),
            Event::Demand(_) | Event::Adopted(..) | Event::Tenants(_) => return None,
        })
    }

    fn exchange(&mut self, now: Micros, line: Value, out: &mut Vec<Action>) {
        match self.exchange_batch(now, line) {
            Ok(actions) => out.extend(actions),
            // The requests then remain unanswered, which the checker reports.
            Err(e) => eprintln!("oakdeal-lab: error exchanging a batch with the drill: {e}"),
        }
    }
}

impl Decider for Drill {
    fn demand(
        &mut self,
        now: Micros,
        demand: Demand,
        _team: &str,
        out: &mut Vec<Action>,
    ) -> Result<(), Option<Micros>> {
        let options =
            u32::from(demand.hint.is_some()) + 2 * u32::from(demand.repeat) + 16 * u32::from(demand.returned);
        let line = json!({"Demand": {"Node": 0, "Call": &*demand.call.0, "Class": demand.class.to_string(),
            "PathKey": demand.key.as_deref(), "Channel": demand.group.as_deref(),
            "LeftMs": to_ms(demand.left.saturating_sub(ANSWER_MARGIN)),
            "PredictedMs": demand.hint.map(|hint| hint / 1000.0), "Options": options, "Billing": null}});
        self.exchange(now, line, out);
        Ok(())
    }

    fn handle_event(&mut self, now: Micros, event: Event, out: &mut Vec<Action>) {
        if let Some(line) = Drill::encode_event(event) {
            self.exchange(now, line, out);
        }
    }
}
