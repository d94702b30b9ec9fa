//! The interface of the placement policy: settings, ids, events and actions. It contains neither the wire
//! format nor decisions.
//!
//! Times and durations are whole microseconds ([`Micros`]). Classes, tenants and zones are indices into the
//! settings, so that no decision can depend on a name. Loads are in work a second, in the unit of the
//! reports.

use std::fmt;
use std::sync::Arc;

/// A point in time or a duration, in microseconds.
pub type Micros = u64;
/// The id of a server: the same at every node and across restarts of the server's process.
pub type HostId = u32;

/// The id of a request. Actions return it exactly as it was received.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub Arc<str>);

impl std::borrow::Borrow<str> for CallId {
    fn borrow(&self) -> &str {
        &self.0
    }
}

impl From<&str> for CallId {
    fn from(text: &str) -> Self {
        CallId(text.into())
    }
}

/// When a request may be repeated without the risk that it takes effect twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RepeatSafety {
    /// May be repeated and refused freely.
    Idempotent,
    /// May be repeated only at hosts that discard duplicates, and only for a limited time.
    Deduplicated,
    /// May be repeated or refused only when no earlier attempt can have run.
    AtMostOnce,
}

/// Which hosts discard the duplicates of a [`RepeatSafety::Deduplicated`] request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DedupScope {
    /// Every host.
    All,
    /// The hosts of one zone.
    Zone,
    /// The hosts of one cell.
    Cell,
}

/// A class of requests.
#[derive(Clone, Debug)]
pub struct Class {
    /// Time within which an answer (or an established connection) earns the full worth.
    pub setup_target: Micros,
    /// When a request may be repeated.
    pub repeat_safety: RepeatSafety,
    /// For deduplicated classes: which hosts discard duplicates.
    pub dedup_scope: DedupScope,
    /// For deduplicated classes: how long duplicates are discarded, from the first attempt that may have run.
    pub dedup_window: Micros,
    /// How long a message on an open connection may take; 0 where unknown.
    pub message_delay_target: Micros,
    /// How long a client waits in total; 0 where unknown.
    pub deadline: Micros,
    /// Worth of a request relative to those of other classes; 0 where unknown.
    pub worth: f64,
}

/// A tenant, its share and its limits.
#[derive(Clone, Debug, Default)]
pub struct Tenant {
    /// Its part of the service, from 0 to 1.
    pub fraction: f64,
    /// Number of open connections over all nodes that are within its share, where known.
    pub quota: Option<f64>,
    /// How long its requests may wait, where that is less than their clients would wait.
    pub deadline: Option<Micros>,
    /// Most attempts for one of its requests.
    pub sends: Option<u32>,
    /// Limit on its attempts beyond each request's first.
    pub budget: Option<RetryBudget>,
}

/// How the list of servers reaches a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Discovery {
    /// Changes are sent without a subscription.
    Pushed,
    /// Changes are sent only after a subscription.
    Asked,
}

/// What the deployment allows.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Most attempts for one request.
    pub max_attempts: u32,
    /// Whether hosts may be probed.
    pub probes: bool,
    /// Longest time after which a client may be asked to retry; none where no such advice reaches clients.
    pub max_retry_after: Option<Micros>,
    /// Whether a probe's answer contains the host's load as a share of its capacity.
    pub probes_report_load: bool,
}

/// Parameters of the rules on cold hosts, drains and retries.
#[derive(Clone, Debug)]
pub struct Rules {
    /// Smallest share of its capacity that a host has when it starts.
    pub cold_share: f64,
    /// Longest time until a host that started has its full capacity.
    pub warmup_time: Micros,
    /// A cold host fails when it is sent more than this multiple of its present capacity ...
    pub overload_factor: f64,
    /// ... for this long.
    pub overload_failure_time: Micros,
    /// Time within which attempts at a draining or gone host must cease.
    pub drain_grace: Micros,
    /// Limit on attempts beyond each request's first; none where the deployment sets none.
    pub budget: Option<RetryBudget>,
    /// Only a drain is binding: a host that is listed as gone, or left out of the list, without having
    /// drained may still be sent requests.
    pub unlisted_hosts_usable: bool,
}

/// The part of the deployment's goal that counts nines: the number of factors of ten by which the share of
/// worth that is not served lies below the whole, over short spans.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Nines {
    /// Its weight in the goal.
    pub part: f64,
    /// Number of nines that earns this part in full.
    pub wanted: f64,
}

/// Limit on the retries of one node within any span of a given length.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudget {
    /// Number of retries that is allowed however light the traffic.
    pub free: f64,
    /// Number of retries that is allowed in addition for each request taken in the span.
    pub share: f64,
    /// Length of the span.
    pub span: Micros,
}

/// The settings that a node starts with.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Classes of requests. A request whose class is not among them is never repeated once it may have run.
    pub classes: Vec<Class>,
    /// Tenants; empty where there are none.
    pub tenants: Vec<Tenant>,
    /// Worth of traffic past its tenant's share, from 0 to 1.
    pub over_share_worth: f64,
    /// Number of zones.
    pub zones: usize,
    /// This node's zone, where known.
    pub zone: Option<usize>,
    /// Price of each attempt that crosses zones, in service per first attempt.
    pub cross_zone_price: f64,
    /// Number of nodes, including this one.
    pub peers_total: u32,
    /// How the list of servers reaches the node.
    pub discovery: Discovery,
    /// Whether the weights in the list are the servers' sizes.
    pub weights_are_sizes: bool,
    /// What the deployment allows.
    pub limits: Limits,
    /// Parameters of the rules.
    pub rules: Rules,
    /// The nines in the goal; none where the deployment counts none. No decision depends on them yet.
    pub nines: Option<Nines>,
    /// Whether the node is notified of how long messages take at a host.
    pub message_delays_reported: bool,
    /// Time after which a connection to a host that is not established counts as refused. No decision depends
    /// on it.
    pub connect_timeout: Micros,
    /// Time without a subscription or a request for the list after which the node counts as notified of the
    /// list all the same. It limits the wait before the next request.
    pub max_poll_interval: Option<Micros>,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            classes: Vec::new(),
            tenants: Vec::new(),
            over_share_worth: 1.0,
            zones: 1,
            zone: None,
            cross_zone_price: 0.0,
            peers_total: 1,
            discovery: Discovery::Pushed,
            weights_are_sizes: false,
            limits: Limits {
                max_attempts: 3,
                probes: false,
                probes_report_load: false,
                max_retry_after: None,
            },
            rules: Rules {
                cold_share: 1.0,
                warmup_time: 0,
                overload_factor: 1.0,
                overload_failure_time: 1_000_000,
                drain_grace: 0,
                budget: None,
                unlisted_hosts_usable: false,
            },
            nines: None,
            message_delays_reported: true,
            connect_timeout: 1_000_000,
            max_poll_interval: None,
        }
    }
}

/// The reason why settings are invalid.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsError(pub String);

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "invalid settings: {}", self.0)
    }
}

impl std::error::Error for SettingsError {}

impl Settings {
    /// Rejects values that no deployment can mean; unusual but valid ones pass.
    pub fn validate(&self) -> Result<(), SettingsError> {
        let share = |name: &str, v: f64| match (0.0..=1.0).contains(&v) {
            true => Ok(()),
            false => Err(SettingsError(format!("{name} must lie between 0 and 1, not {v}"))),
        };
        share("rules.cold_share", self.rules.cold_share)?;
        share("over_share_worth", self.over_share_worth)?;
        for t in &self.tenants {
            share("a tenant's fraction", t.fraction)?;
        }
        if !self.cross_zone_price.is_finite() || self.cross_zone_price < 0.0 {
            let text = format!("cross_zone_price must be at least 0, not {}", self.cross_zone_price);
            return Err(SettingsError(text));
        }
        let factor = self.rules.overload_factor;
        if !factor.is_finite() || factor < 0.0 {
            return Err(SettingsError(format!("rules.overload_factor must not be negative, not {factor}")));
        }
        if let Some(n) = self.nines {
            if !n.part.is_finite() || n.part < 0.0 {
                return Err(SettingsError(format!("nines.part must be at least 0, not {}", n.part)));
            }
            if !n.wanted.is_finite() || n.wanted <= 0.0 {
                return Err(SettingsError(format!("nines.wanted must be more than 0, not {}", n.wanted)));
            }
        }
        for b in self.tenants.iter().filter_map(|t| t.budget).chain(self.rules.budget) {
            for (name, v) in [("free", b.free), ("share", b.share)] {
                if !v.is_finite() || v < 0.0 {
                    let text = format!("rules.budget.{name} must be a number of at least 0, not {v}");
                    return Err(SettingsError(text));
                }
            }
        }
        Ok(())
    }
}

/// State of a listed host.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum HostState {
    #[default]
    /// Takes new connections.
    Ready,
    /// Finishes the connections that it holds; takes no new ones.
    Draining,
    /// Removed from service.
    Gone,
}

/// One entry of the list of servers.
#[derive(Clone, Debug, Default)]
pub struct Entry {
    /// The host.
    pub host: HostId,
    /// Its state.
    pub state: HostState,
    /// When its process last started; 0 means long ago.
    pub ready_at: Micros,
    /// Its zone, where known.
    pub zone: Option<usize>,
    /// Its cell.
    pub cell: u32,
    /// Its size relative to others, where weights are sizes.
    pub weight: f64,
}

impl Entry {
    /// Returns a ready host of ordinary size that started long ago.
    pub fn ready(host: HostId) -> Self {
        Entry { host, state: HostState::Ready, ready_at: 0, zone: None, cell: 0, weight: 1.0 }
    }
}

/// The kind of an update of the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKind {
    /// Only the entries that changed.
    Changes,
    /// The full list; a host that is missing from it is gone.
    Full,
    /// The full list as it was last known, perhaps stale.
    Cached,
    /// A request for the list failed or the subscription broke; the old list remains valid.
    Failed,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Served.
    Ok,
    /// The host returned an error; the attempt may have run.
    Error,
    /// The host rejected it without processing; it never ran.
    Full,
    /// No answer in time; it may have run.
    Timeout,
    /// The connection could not be established; it never ran.
    ConnectFailed,
    /// The connection broke; it may have run.
    Reset,
    /// Cancelled; it may have run.
    Cancelled,
    /// Never sent.
    Moot,
}

impl Outcome {
    /// Returns whether this outcome proves that the attempt never ran.
    pub fn never_ran(self) -> bool {
        matches!(self, Outcome::Full | Outcome::ConnectFailed | Outcome::Moot)
    }
}

/// A client's request for a connection.
#[derive(Clone, Debug)]
pub struct Demand {
    /// Its id.
    pub call: CallId,
    /// Index of its class.
    pub class: usize,
    /// Index of its tenant, where there are tenants.
    pub tenant: Option<usize>,
    /// The client key.
    pub key: Option<Arc<str>>,
    /// The group key.
    pub group: Option<Arc<str>>,
    /// Time until the client stops waiting.
    pub left: Micros,
    /// Expected load, in work a second, where the client gave a valid hint.
    pub hint: Option<f64>,
    /// The request is packets of an open connection that now arrive at this node.
    pub mid_flow: bool,
    /// The client is known to repeat an earlier request.
    pub repeat: bool,
    /// The client returned after its connection broke or was moved.
    pub returned: bool,
    /// The zone that a fleet's plan sends it to, and one where it may be retried.
    pub zones: Option<(usize, Option<usize>)>,
}

impl Demand {
    /// Returns a request without keys, tenant or hint.
    pub fn new(call: &str, class: usize, left: Micros) -> Self {
        Demand {
            call: call.into(),
            class,
            tenant: None,
            key: None,
            group: None,
            left,
            hint: None,
            mid_flow: false,
            repeat: false,
            returned: false,
            zones: None,
        }
    }
}

/// A standing connection that is not at its home, the first host that its placement would try.
#[derive(Clone, Debug, PartialEq)]
pub struct MisplacedConnection {
    /// The connection.
    pub call: CallId,
    /// The host that it is at.
    pub current_host: HostId,
    /// Its home.
    pub home_host: HostId,
    /// Its place on the ring: that of its group (or of the group's piece), where it has one.
    pub ring_position: u64,
    /// Its class.
    pub class: usize,
    /// Its load.
    pub load: f64,
}

/// A host as a node sees it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HostView {
    /// The host.
    pub host: HostId,
    /// This node's load there.
    pub load: f64,
    /// Its size.
    pub size: f64,
    /// Share of its capacity that it has reached since its start, from 0 to 1.
    pub warmth: f64,
    /// When its process last started; 0 means long ago.
    pub ready_at: Micros,
    /// It is listed as ready, and neither ejected for failures nor still unproven.
    pub accepts_connections: bool,
}

/// What a node is notified of.
#[derive(Clone, Debug)]
pub enum Event {
    /// The list of servers was updated.
    Members {
        /// Kind of the update.
        kind: ListKind,
        /// The entries that came with it.
        hosts: Vec<Entry>,
    },
    /// The tenants changed: existing ones keep their indices, new ones are appended.
    Tenants(Vec<Tenant>),
    /// A request arrived; it is owed one final answer.
    Demand(Demand),
    /// A connection that is already established at a host; its attempt 0 counts as made.
    Adopted(Demand, HostId),
    /// An attempt's connection is established.
    Opened {
        /// The request.
        call: CallId,
        /// The attempt's host.
        host: HostId,
        /// Time since the attempt was sent.
        elapsed: Micros,
    },
    /// The load of a connection changed.
    LoadNote {
        /// The request.
        call: CallId,
        /// The new load, in work a second.
        load: f64,
    },
    /// The message delay at a host was reported.
    DelayNote {
        /// The host.
        host: HostId,
        /// How long a message takes there.
        delay: Micros,
    },
    /// An attempt ended.
    Finished {
        /// The request.
        call: CallId,
        /// Number of the attempt.
        attempt: u32,
        /// Its host.
        host: HostId,
        /// How it ended.
        outcome: Outcome,
        /// Time since the attempt was sent.
        elapsed: Micros,
        /// The request ended with the attempt; no answer is owed.
        ended: bool,
    },
    /// A probe was answered, or failed.
    Probed {
        /// The host.
        host: HostId,
        /// How it ended.
        outcome: Outcome,
        /// The load that the host reports, as a share of its capacity, where it reports that.
        load: Option<f64>,
    },
    /// The client disconnected; no answer is owed.
    Vanished {
        /// The request.
        call: CallId,
    },
    /// A timer expired.
    Timer {
        /// Token that the timer was set with.
        token: u64,
    },
}

/// What a node is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start an attempt.
    Send {
        /// The request.
        call: CallId,
        /// The host to send it to.
        host: HostId,
        /// Timeout of the attempt.
        patience: Micros,
    },
    /// Final answer: the request is refused; it is safe for the client to repeat it.
    Refuse {
        /// The request.
        call: CallId,
        /// How long the client should wait before it retries; none where no such advice reaches it.
        retry_after: Option<Micros>,
    },
    /// Final answer: the request failed and may have taken effect.
    Fail {
        /// The request.
        call: CallId,
    },
    /// Ask the client to close an open connection and to connect again.
    Move {
        /// The request.
        call: CallId,
    },
    /// Probe a host.
    Probe {
        /// The host.
        host: HostId,
    },
    /// Set a timer.
    Timer {
        /// When it expires.
        at: Micros,
        /// Returned in the timer's event.
        token: u64,
    },
    /// Subscribe to changes of the list.
    Watch,
}
