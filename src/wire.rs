//! The line protocol of the simulation bench: serde types and their translation to and from [`crate::api`]. It takes no
//! placement decisions. Field names and the order of fields and variants are part of the protocol.

use crate::api::*;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// Number of nines of availability that earns the full weight of that goal, where the settings do not state it
/// (unitless).
const DEFAULT_NINES_WANTED: f64 = 3.0;

/// Bit of a demand's options: the predicted load is valid.
const OPTION_PREDICTED: u32 = 1;
/// Bit of a demand's options: the client is known to repeat an earlier try.
const OPTION_REPEAT: u32 = 2;
/// Bit of a demand's options: packets of an open connection now arrive at this node.
const OPTION_MID_FLOW: u32 = 8;
/// Bit of a demand's options: the client reconnects after a break or a move.
const OPTION_RETURNED: u32 = 16;

/// Kind of a note that reports the load of a call.
const NOTE_LOAD: u32 = 1;
/// Kind of a note that reports the message delay at a host.
const NOTE_DELAY: u32 = 2;

fn to_micros(ms: f64) -> Micros {
    (ms.max(0.0) * 1000.0).round() as Micros
}

fn to_millis(us: Micros) -> f64 {
    us as f64 / 1000.0
}

/// A name, or the number 0 that is sent where there is none.
#[derive(Deserialize, Debug, Clone, PartialEq)]
#[serde(untagged)]
pub enum Name {
    /// The name.
    Text(Arc<str>),
    /// A number sent in place of a name.
    Number(f64),
}

/// The settings as received; unknown keys are ignored.
#[derive(Deserialize, Debug, Default)]
#[serde(rename_all = "PascalCase", default)]
#[allow(missing_docs)]
pub struct Env {
    pub areas: Option<Vec<String>>,
    pub classes: Option<Vec<EnvClass>>,
    pub family_info: Option<FamilyInfo>,
    pub goal: Option<Goal>,
    pub guarantees: Option<Guarantees>,
    pub my_zone: Option<String>,
    pub over_share_worth: Option<f64>,
    pub peers_total: Option<u32>,
    pub policy_limits: Option<PolicyLimits>,
    pub prices: Option<Prices>,
    pub projects: Option<Vec<Project>>,
    pub registry_mode: Option<String>,
    pub report: Option<Report>,
    pub weights: Option<String>,
}

/// One class of the settings.
#[derive(Deserialize, Debug, Default)]
#[serde(rename_all = "PascalCase", default)]
#[allow(missing_docs)]
pub struct EnvClass {
    pub name: Option<String>,
    pub aim_ms: Option<f64>,
    pub deadline_ms: Option<f64>,
    pub effect: Option<String>,
    pub group: Option<String>,
    pub window_ms: Option<f64>,
    pub worth: Option<f64>,
}

/// Properties of the kind of service.
#[derive(Deserialize, Debug, Default)]
#[serde(rename_all = "PascalCase", default)]
#[allow(missing_docs)]
pub struct FamilyInfo {
    pub groups: Option<bool>,
    pub tells_delay: Option<bool>,
    pub message_aim_ms: Option<Vec<Option<f64>>>,
    pub tenant_quota_connections: Option<Vec<Option<f64>>>,
}

/// Weights of the parts of the goal.
#[derive(Deserialize, Debug, Default)]
#[serde(rename_all = "PascalCase", default)]
#[allow(missing_docs)]
pub struct Goal {
    pub nines_part: Option<f64>,
    pub nines_wanted: Option<f64>,
}

/// Parameters of the rules that the module must keep.
#[derive(Deserialize, Debug, Default)]
#[serde(rename_all = "PascalCase", default)]
#[allow(missing_docs)]
pub struct Guarantees {
    pub cold_ms: Option<f64>,
    pub cold_share: Option<f64>,
    pub drain_grace_ms: Option<f64>,
    pub dropped_stay_open: Option<bool>,
    pub extra_share: Option<f64>,
    pub free_resends: Option<f64>,
    pub look_back_ms: Option<f64>,
    pub must_ask_in_ms: Option<f64>,
    pub fall_ms: Option<f64>,
    pub overload_factor: Option<f64>,
}

/// Limits set by the site.
#[derive(Deserialize, Debug, Default)]
#[serde(rename_all = "PascalCase", default)]
#[allow(missing_docs)]
pub struct PolicyLimits {
    pub connect_timeout_ms: Option<f64>,
    pub max_retry_after_ms: Option<f64>,
    pub probes: Option<bool>,
    pub retry_after: Option<bool>,
    pub send_cap: Option<u32>,
}

/// Costs of placement choices, in units of service.
#[derive(Deserialize, Debug, Default)]
#[serde(rename_all = "PascalCase", default)]
#[allow(missing_docs)]
pub struct Prices {
    pub cross_zone: Option<f64>,
}

/// Load reports sent by hosts.
#[derive(Deserialize, Debug, Default)]
#[serde(rename_all = "PascalCase", default)]
#[allow(missing_docs)]
pub struct Report {
    pub names: Option<Vec<String>>,
}

/// One tenant of the settings.
#[derive(Deserialize, Debug, Default)]
#[serde(rename_all = "PascalCase", default)]
#[allow(missing_docs)]
pub struct Project {
    pub name: Option<String>,
    pub fraction: Option<f64>,
    pub deadline_ms: Option<f64>,
    pub send_cap: Option<u32>,
    pub extra_share: Option<f64>,
    pub free_resends: Option<f64>,
    pub look_back_ms: Option<f64>,
}

/// One entry of the list of hosts.
#[derive(Deserialize, Debug)]
#[serde(rename_all = "PascalCase")]
#[allow(missing_docs)]
pub struct WireEntry {
    pub host: HostId,
    pub status: Status,
    pub ready_at_ms: Option<f64>,
    pub region_part: Option<String>,
    pub group: Option<u32>,
    pub heft: Option<f64>,
}

/// State of a listed host.
#[derive(Deserialize, Debug, Clone, Copy)]
#[allow(missing_docs)]
pub enum Status {
    Ready,
    Terminating,
    Gone,
}

/// Kind of a list update: changes (D), full (F), cached (C) or failed (X).
#[derive(Deserialize, Debug, Clone, Copy)]
#[allow(missing_docs)]
pub enum Mode {
    D,
    F,
    C,
    X,
}

/// Fields of a new request or of an adopted connection.
#[derive(Deserialize, Debug)]
#[serde(rename_all = "PascalCase")]
#[allow(missing_docs)]
pub struct WireDemand {
    pub node: u32,
    pub call: Arc<str>,
    pub class: Name,
    pub billing: Option<Name>,
    pub path_key: Option<Arc<str>>,
    pub channel: Option<Arc<str>>,
    pub left_ms: f64,
    pub predicted_ms: Option<f64>,
    pub options: Option<u32>,
    pub host: Option<HostId>,
}

/// A load report; values that the module does not use are ignored.
#[derive(Deserialize, Debug, Default)]
#[serde(default)]
#[allow(missing_docs)]
pub struct Stats {
    pub x0: Option<f64>,
}

/// One line of input.
#[derive(Deserialize, Debug)]
#[serde(rename_all_fields = "PascalCase")]
#[allow(missing_docs)]
pub enum Line {
    Frame {
        time_ms: f64,
        #[serde(rename = "frame")]
        frame: u64,
    },
    EofBatch {},
    Init {
        node: u32,
        rng_seed: u64,
        env: Box<Env>,
    },
    Retire {
        node: u32,
    },
    BackendsChanged {
        node: u32,
        mode: Mode,
        hosts: Option<Vec<WireEntry>>,
    },
    Demand(WireDemand),
    Adopted(WireDemand),
    Opened {
        node: u32,
        call: Arc<str>,
        host: HostId,
        cost_time_ms: f64,
    },
    Note {
        node: u32,
        call: Arc<str>,
        host: HostId,
        kind: u32,
        level: f64,
    },
    Finished {
        node: u32,
        call: Arc<str>,
        cost_time_ms: f64,
        code: u32,
        host: HostId,
        copy: u32,
        ended: bool,
    },
    Vanished {
        node: u32,
        call: Arc<str>,
    },
    DeadlineHit {
        node: u32,
        handle: u64,
    },
    Pong {
        node: u32,
        host: HostId,
        code: u32,
        server_stats: Option<Stats>,
    },
    NoteFrom {
        node: u32,
    },
}

/// One line of output.
#[derive(Serialize, Debug)]
#[serde(rename_all_fields = "PascalCase")]
#[allow(missing_docs)]
pub enum Reply<'a> {
    HandOff {
        node: u32,
        call: &'a str,
        host: HostId,
        patience_ms: f64,
    },
    SayNo {
        node: u32,
        call: &'a str,
        #[serde(skip_serializing_if = "Option::is_none")]
        retry_after_ms: Option<f64>,
    },
    EndFailed {
        node: u32,
        call: &'a str,
    },
    Relocate {
        node: u32,
        call: &'a str,
    },
    Inspect {
        node: u32,
        host: HostId,
    },
    Remind {
        node: u32,
        at_ms: f64,
        handle: u64,
    },
    KeepInformed {
        node: u32,
        want: bool,
    },
    Done {
        #[serde(rename = "frame")]
        frame: u64,
    },
}

/// Names of a node's classes, tenants and zones by index; the module uses only the indices.
#[derive(Debug, Default)]
pub struct Names {
    classes: Vec<String>,
    tenants: Vec<String>,
    zones: Vec<String>,
    /// Set where the settings state that connections share no work: the group of a demand is then ignored.
    ungrouped: bool,
}

fn position(names: &[String], name: &str) -> Option<usize> {
    names.iter().position(|n| n == name)
}

/// Returns the retry budget, or none where the window is 0 or absent. Other absent values count as 0.
fn retry_budget(look_back_ms: Option<f64>, free: Option<f64>, share: Option<f64>) -> Option<RetryBudget> {
    let span = to_micros(look_back_ms.filter(|&span_ms| span_ms != 0.0)?);
    Some(RetryBudget { free: free.unwrap_or(0.0), share: share.unwrap_or(0.0), span })
}

impl Names {
    /// Returns the names of the classes by index.
    pub fn classes(&self) -> &[String] {
        &self.classes
    }

    /// Returns the index of a class.
    pub fn class_index(&self, name: &str) -> Option<usize> {
        position(&self.classes, name)
    }

    /// Returns the names of the tenants by index.
    pub fn tenants(&self) -> &[String] {
        &self.tenants
    }

    /// Returns the index of a tenant.
    pub fn tenant_index(&self, name: &str) -> Option<usize> {
        position(&self.tenants, name)
    }

    /// Returns whether connections may belong to groups.
    pub fn has_groups(&self) -> bool {
        !self.ungrouped
    }

    /// Returns the names of the zones by index.
    pub fn zones(&self) -> &[String] {
        &self.zones
    }

    /// Returns the index of a zone.
    pub fn zone_index(&self, name: &str) -> Option<usize> {
        position(&self.zones, name)
    }
}

impl Env {
    /// Translates the settings for the module, and returns the names that they use.
    pub fn translate(&self) -> Result<(Settings, Names), SettingsError> {
        let defaults = Settings::default();
        let info = self.family_info.as_ref();
        let message_aims = info.and_then(|f| f.message_aim_ms.clone()).unwrap_or_default();
        let quotas = info.and_then(|f| f.tenant_quota_connections.clone()).unwrap_or_default();
        let projects = self.projects.as_deref().unwrap_or_default();
        let default_guarantees = Guarantees::default();
        let guarantees = self.guarantees.as_ref().unwrap_or(&default_guarantees);
        if let Some(look_back_ms) = guarantees.look_back_ms.filter(|ms| !ms.is_finite() || *ms < 0.0) {
            return Err(SettingsError(format!(
                "Guarantees.LookBackMs must be a finite number of at least 0, not {look_back_ms}"
            )));
        }
        let default_limits = PolicyLimits::default();
        let limits = self.policy_limits.as_ref().unwrap_or(&default_limits);
        let classes = self.classes.as_deref().unwrap_or_default();
        let settings = Settings {
            classes: classes
                .iter()
                .enumerate()
                .map(|(i, c)| Class {
                    setup_target: to_micros(c.aim_ms.unwrap_or(0.0)),
                    repeat_safety: match c.effect.as_deref() {
                        Some("free") => RepeatSafety::Idempotent,
                        Some("guarded") => RepeatSafety::Deduplicated,
                        _ => RepeatSafety::AtMostOnce,
                    },
                    dedup_scope: match c.group.as_deref() {
                        Some("all") => DedupScope::All,
                        Some("zone") => DedupScope::Zone,
                        _ => DedupScope::Cell,
                    },
                    dedup_window: to_micros(c.window_ms.unwrap_or(0.0)),
                    message_delay_target: to_micros(message_aims.get(i).copied().flatten().unwrap_or(0.0)),
                    deadline: to_micros(c.deadline_ms.unwrap_or(0.0)),
                    worth: c.worth.filter(|w| w.is_finite()).unwrap_or(0.0),
                })
                .collect(),
            tenants: projects
                .iter()
                .enumerate()
                .map(|(i, p)| Tenant {
                    fraction: p.fraction.unwrap_or(0.0),
                    quota: quotas.get(i).copied().flatten(),
                    deadline: p.deadline_ms.map(to_micros),
                    sends: p.send_cap,
                    budget: retry_budget(p.look_back_ms, p.free_resends, p.extra_share),
                })
                .collect(),
            over_share_worth: self.over_share_worth.unwrap_or(defaults.over_share_worth),
            zones: self.areas.as_ref().map_or(defaults.zones, Vec::len),
            zone: self
                .my_zone
                .as_deref()
                .and_then(|z| position(self.areas.as_deref().unwrap_or_default(), z)),
            cross_zone_price: self.prices.as_ref().and_then(|p| p.cross_zone).unwrap_or(0.0),
            peers_total: self.peers_total.unwrap_or(defaults.peers_total),
            discovery: match self.registry_mode.as_deref() {
                Some("subscribe") => Discovery::Asked,
                _ => Discovery::Pushed,
            },
            weights_are_sizes: matches!(self.weights.as_deref(), Some("nominal" | "rough")),
            limits: Limits {
                max_attempts: limits.send_cap.unwrap_or(defaults.limits.max_attempts),
                probes_report_load: limits.probes.unwrap_or(false)
                    && self.report.as_ref().is_some_and(|r| r.names.iter().flatten().any(|n| n == "x0")),
                max_retry_after: limits
                    .max_retry_after_ms
                    .filter(|_| limits.retry_after == Some(true))
                    .map(to_micros),
                probes: limits.probes.unwrap_or(false),
            },
            rules: Rules {
                cold_share: guarantees.cold_share.unwrap_or(defaults.rules.cold_share),
                warmup_time: to_micros(guarantees.cold_ms.unwrap_or(0.0)),
                overload_factor: guarantees.overload_factor.unwrap_or(defaults.rules.overload_factor),
                overload_failure_time: guarantees
                    .fall_ms
                    .map_or(defaults.rules.overload_failure_time, to_micros),
                drain_grace: to_micros(guarantees.drain_grace_ms.unwrap_or(0.0)),
                budget: retry_budget(
                    guarantees.look_back_ms,
                    guarantees.free_resends,
                    guarantees.extra_share,
                ),
                unlisted_hosts_usable: guarantees.dropped_stay_open.unwrap_or(false),
            },
            // A goal may state only one of the two values: an absent part counts as 0, absent nines as three.
            nines: self.goal.as_ref().and_then(|g| match (g.nines_part, g.nines_wanted) {
                (None, None) => None,
                (part, wanted) => {
                    Some(Nines { part: part.unwrap_or(0.0), wanted: wanted.unwrap_or(DEFAULT_NINES_WANTED) })
                }
            }),
            message_delays_reported: info
                .and_then(|f| f.tells_delay)
                .unwrap_or(defaults.message_delays_reported),
            connect_timeout: limits.connect_timeout_ms.map_or(defaults.connect_timeout, to_micros),
            max_poll_interval: guarantees.must_ask_in_ms.map(to_micros),
        };
        let names = Names {
            classes: classes.iter().map(|c| c.name.clone().unwrap_or_default()).collect(),
            tenants: projects.iter().map(|p| p.name.clone().unwrap_or_default()).collect(),
            zones: self.areas.clone().unwrap_or_default(),
            ungrouped: info.is_some_and(|info| info.groups == Some(false)),
        };
        Ok((settings, names))
    }
}

impl WireDemand {
    fn translate(self, names: &Names) -> Demand {
        let class = match &self.class {
            Name::Text(t) => position(&names.classes, t).unwrap_or(usize::MAX),
            Name::Number(_) => usize::MAX,
        };
        Demand {
            call: CallId(self.call),
            class,
            tenant: match &self.billing {
                Some(Name::Text(t)) => position(&names.tenants, t),
                _ => None,
            },
            key: self.path_key,
            group: self.channel,
            left: to_micros(self.left_ms),
            hint: self
                .predicted_ms
                .filter(|_| self.options.unwrap_or(0) & OPTION_PREDICTED != 0)
                .map(|ms| ms * 1000.0),
            mid_flow: self.options.unwrap_or(0) & OPTION_MID_FLOW != 0,
            repeat: self.options.unwrap_or(0) & OPTION_REPEAT != 0,
            returned: self.options.unwrap_or(0) & OPTION_RETURNED != 0,
            zones: None,
        }
    }
}

impl WireEntry {
    fn translate(self, names: &Names) -> Entry {
        Entry {
            host: self.host,
            state: match self.status {
                Status::Ready => HostState::Ready,
                Status::Terminating => HostState::Draining,
                Status::Gone => HostState::Gone,
            },
            ready_at: to_micros(self.ready_at_ms.unwrap_or(0.0)),
            zone: self.region_part.as_deref().and_then(|z| position(&names.zones, z)),
            cell: self.group.unwrap_or(0),
            weight: self.heft.unwrap_or(1.0),
        }
    }
}

fn parse_outcome(code: u32) -> Result<Outcome, String> {
    Ok(match code {
        0 => Outcome::Ok,
        1 => Outcome::Error,
        2 => Outcome::Full,
        3 => Outcome::Timeout,
        4 => Outcome::ConnectFailed,
        5 => Outcome::Reset,
        6 => Outcome::Cancelled,
        7 => Outcome::Moot,
        _ => return Err(format!("Code must be between 0 and 7, not {code}")),
    })
}

impl Line {
    /// Returns the node that a line is for; none for lines that begin or end a batch.
    pub fn node(&self) -> Option<u32> {
        Some(match self {
            Line::Frame { .. } | Line::EofBatch {} => return None,
            Line::Demand(d) | Line::Adopted(d) => d.node,
            Line::Init { node, .. }
            | Line::Retire { node }
            | Line::BackendsChanged { node, .. }
            | Line::Opened { node, .. }
            | Line::Note { node, .. }
            | Line::Finished { node, .. }
            | Line::Vanished { node, .. }
            | Line::DeadlineHit { node, .. }
            | Line::Pong { node, .. }
            | Line::NoteFrom { node } => *node,
        })
    }

    /// Translates a line to an event of the module; none for lines that the module does not handle.
    pub fn event(self, names: &Names) -> Result<Option<Event>, String> {
        Ok(Some(match self {
            Line::Frame { .. }
            | Line::EofBatch {}
            | Line::Init { .. }
            | Line::Retire { .. }
            | Line::NoteFrom { .. } => return Ok(None),
            Line::BackendsChanged { mode, hosts, .. } => Event::Members {
                kind: match mode {
                    Mode::D => ListKind::Changes,
                    Mode::F => ListKind::Full,
                    Mode::C => ListKind::Cached,
                    Mode::X => ListKind::Failed,
                },
                hosts: hosts.unwrap_or_default().into_iter().map(|e| e.translate(names)).collect(),
            },
            Line::Demand(d) => Event::Demand(d.translate(names)),
            Line::Adopted(d) => {
                let host = d.host.ok_or("Adopted lacks the field Host")?;
                Event::Adopted(d.translate(names), host)
            }
            Line::Opened { call, host, cost_time_ms, .. } => {
                Event::Opened { call: CallId(call), host, elapsed: to_micros(cost_time_ms) }
            }
            Line::Note { call, kind: NOTE_LOAD, level, .. } => {
                Event::LoadNote { call: CallId(call), load: level }
            }
            Line::Note { host, kind: NOTE_DELAY, level, .. } => {
                Event::DelayNote { host, delay: to_micros(level) }
            }
            Line::Note { .. } => return Ok(None),
            Line::Finished { call, cost_time_ms, code, host, copy, ended, .. } => Event::Finished {
                call: CallId(call),
                attempt: copy,
                host,
                outcome: parse_outcome(code)?,
                elapsed: to_micros(cost_time_ms),
                ended,
            },
            Line::Pong { host, code, server_stats, .. } => {
                let load = server_stats.and_then(|s| s.x0).filter(|x| x.is_finite());
                Event::Probed { host, outcome: parse_outcome(code)?, load }
            }
            Line::Vanished { call, .. } => Event::Vanished { call: CallId(call) },
            Line::DeadlineHit { handle, .. } => Event::Timer { token: handle },
        }))
    }
}

/// Translates an action to a line of output.
pub fn action_reply(node: u32, action: &Action) -> Reply<'_> {
    match action {
        Action::Send { call, host, patience } => {
            Reply::HandOff { node, call: &call.0, host: *host, patience_ms: to_millis(*patience) }
        }
        Action::Refuse { call, retry_after } => {
            Reply::SayNo { node, call: &call.0, retry_after_ms: retry_after.map(to_millis) }
        }
        Action::Fail { call } => Reply::EndFailed { node, call: &call.0 },
        Action::Move { call } => Reply::Relocate { node, call: &call.0 },
        Action::Probe { host } => Reply::Inspect { node, host: *host },
        Action::Timer { at, token } => Reply::Remind { node, at_ms: to_millis(*at), handle: *token },
        Action::Watch => Reply::KeepInformed { node, want: true },
    }
}

/// Converts the time of a `Frame` line to the module's unit.
pub fn frame_time(time_ms: f64) -> Micros {
    to_micros(time_ms)
}
