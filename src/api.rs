//! The interface of the decision module: settings, ids, events and actions. No wire, no decision.
//!
//! Times and durations are whole microseconds ([`Micros`]). Classes, tenants and zones are indices
//! into the settings, so that no decision can hang on a name.

use std::fmt;
use std::sync::Arc;

/// A point in time or a duration, in microseconds.
pub type Micros = u64;
/// A server, the same number at every node and across restarts of its process.
pub type HostId = u32;

/// The id of a request; handed back exactly as it came.
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

/// What a repeat of a request may do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RepeatSafety {
    /// May be repeated and refused freely.
    Idempotent,
    /// May be repeated only at hosts that discard duplicates, and only for a while.
    Deduplicated,
    /// May be repeated or refused only when no earlier attempt can have run.
    AtMostOnce,
}

/// Which hosts discard the duplicates of a guarded request.
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
    /// An answer (or a standing connection) inside this time earns the full worth.
    pub setup_target: Micros,
    /// What a repeat may do.
    pub repeat_safety: RepeatSafety,
    /// For guarded classes: who discards duplicates.
    pub dedup_scope: DedupScope,
    /// For guarded classes: for how long, from the first attempt that may have run.
    pub dedup_window: Micros,
    /// How long a message on an open connection may take; 0 where this is not known.
    pub message_delay_target: Micros,
    /// How long a client waits in all; 0 where this is not known.
    pub deadline: Micros,
    /// What a request is worth beside those of other classes; 0 where this is not known.
    pub worth: f64,
}

/// A tenant and its share.
#[derive(Clone, Debug, Default)]
pub struct Tenant {
    /// Its part of the service, 0 to 1.
    pub fraction: f64,
    /// Its open connections over all nodes within its share, where known.
    pub quota: Option<f64>,
    /// How long its requests may wait, where that is less than their clients would.
    pub deadline: Option<Micros>,
    /// Most attempts for one of its requests.
    pub sends: Option<u32>,
    /// Limit on its attempts beyond each request's first.
    pub budget: Option<RetryBudget>,
}

/// How the list of servers comes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Discovery {
    /// Changes arrive by themselves.
    Pushed,
    /// Changes arrive only after a subscription.
    Asked,
}

/// What the deployment allows.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Most attempts for one request.
    pub max_attempts: u32,
    /// Whether hosts may be probed.
    pub probes: bool,
    /// The longest time that a client may be asked to stay away; none where no advice reaches clients.
    pub max_retry_after: Option<Micros>,
    /// Whether probes tell a host's load over what it can do.
    pub probes_report_load: bool,
}

/// The figures behind the rules.
#[derive(Clone, Debug)]
pub struct Rules {
    /// A host starts at this share of its capacity or more.
    pub cold_share: f64,
    /// A host is warm after this time at most.
    pub warmup_time: Micros,
    /// A cold host falls when sent more than this multiple of its present capacity ...
    pub overload_factor: f64,
    /// ... for this long.
    pub overload_failure_time: Micros,
    /// Sends to a draining or gone host must end within this.
    pub drain_grace: Micros,
    /// Limit on attempts beyond a request's first; none where the deployment states none.
    pub budget: Option<RetryBudget>,
    /// Only draining binds: a host that is listed as gone, or left out, without having drained may still be
    /// sent to.
    pub unlisted_hosts_usable: bool,
}

/// The part of the deployment's goal that counts nines: how many tenfold steps the share of worth that is
/// not served lies below the whole, over short spans.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Nines {
    /// Its weight in the goal.
    pub part: f64,
    /// The nines that earn all of it.
    pub wanted: f64,
}

/// At most so many further attempts of one node within any span of this length.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudget {
    /// Allowed however light the traffic.
    pub free: f64,
    /// And allowed for each request taken in the span.
    pub share: f64,
    /// Length of the span.
    pub span: Micros,
}

/// All that a node is told when it starts.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Classes of requests; an index outside gets the most careful treatment.
    pub classes: Vec<Class>,
    /// Tenants; empty where there are none.
    pub tenants: Vec<Tenant>,
    /// What traffic past its tenant's share is worth, 0 to 1.
    pub over_share_worth: f64,
    /// How many zones there are.
    pub zones: usize,
    /// This node's zone, where known.
    pub zone: Option<usize>,
    /// What each attempt that crosses zones costs, in service per first try.
    pub cross_zone_price: f64,
    /// How many nodes there are, this one included.
    pub peers_total: u32,
    /// How the list comes.
    pub discovery: Discovery,
    /// Whether the weights in the list tell sizes.
    pub weights_are_sizes: bool,
    /// What is allowed.
    pub limits: Limits,
    /// The figures behind the rules.
    pub rules: Rules,
    /// The nines in the goal; none where the deployment counts none. No decision rests on them yet.
    pub nines: Option<Nines>,
    /// Whether it is told how long messages take at a host.
    pub message_delays_reported: bool,
    /// A connection to a host that is not made by then counts as refused. No decision rests on it.
    pub connect_timeout: Micros,
    /// A node that neither watched nor asked for this long counts as told of the list. None rests on it.
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

/// Why settings were refused.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsError(pub String);

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "settings refused: {}", self.0)
    }
}

impl std::error::Error for SettingsError {}

impl Settings {
    /// Refuses values that no deployment can mean; odd but legal ones pass.
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
    /// Finishes what it holds; nothing new.
    Draining,
    /// Removed.
    Gone,
}

/// One line of the list of servers.
#[derive(Clone, Debug, Default)]
pub struct Entry {
    /// Which host.
    pub host: HostId,
    /// Its state.
    pub state: HostState,
    /// When its process last started; 0 means long ago.
    pub ready_at: Micros,
    /// Its zone, where known.
    pub zone: Option<usize>,
    /// Its cell.
    pub cell: u32,
    /// Its size beside others, where weights tell sizes.
    pub weight: f64,
}

impl Entry {
    /// A ready host of ordinary size that started long ago.
    pub fn ready(host: HostId) -> Self {
        Entry { host, state: HostState::Ready, ready_at: 0, zone: None, cell: 0, weight: 1.0 }
    }
}

/// What kind of news about the list this is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKind {
    /// Only the entries that changed.
    Changes,
    /// The full list; a host that it lacks is gone.
    Full,
    /// The full list as it was last known, perhaps stale.
    Cached,
    /// A call failed or the subscription broke; the old list stands.
    Failed,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Served.
    Ok,
    /// The host sent an error; it may have run.
    Error,
    /// Sent away unseen; never ran.
    Full,
    /// No answer in time; may have run.
    Timeout,
    /// Not connected; never ran.
    ConnectFailed,
    /// The connection broke; may have run.
    Reset,
    /// Cancelled; may have run.
    Cancelled,
    /// Never sent.
    Moot,
}

impl Outcome {
    /// Whether this outcome proves that the attempt never ran.
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
    /// Time until the client gives up.
    pub left: Micros,
    /// Expected load, in work a second, where a valid hint came.
    pub hint: Option<f64>,
    /// Packets of an open connection that now arrive here.
    pub mid_flow: bool,
    /// The client is known to repeat an earlier try.
    pub repeat: bool,
    /// The client is back after a break or a move.
    pub returned: bool,
    /// The zone that a fleet's plan has it go to, and one where it may be tried again.
    pub zones: Option<(usize, Option<usize>)>,
}

impl Demand {
    /// A plain request without keys, tenant or hint.
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

/// A standing connection that is not at its home: the first host of its walk.
#[derive(Clone, Debug, PartialEq)]
pub struct MisplacedConnection {
    /// The connection.
    pub call: CallId,
    /// Where it stands.
    pub current_host: HostId,
    /// Its home.
    pub home_host: HostId,
    /// Its place on the ring: that of its group, where it has one.
    pub ring_position: u64,
    /// Its class.
    pub class: usize,
    /// Its load.
    pub load: f64,
}

/// A host as a node sees it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HostView {
    /// Which.
    pub host: HostId,
    /// This node's load there.
    pub load: f64,
    /// Its size.
    pub size: f64,
    /// The part of its capacity that it has.
    pub warmth: f64,
    /// When it was last started; 0 for long ago.
    pub ready_at: Micros,
    /// It is listed as ready, and not passed over for failures.
    pub accepts_connections: bool,
}

/// What a node is told.
#[derive(Clone, Debug)]
pub enum Event {
    /// News of the list of servers.
    Members {
        /// Kind of news.
        kind: ListKind,
        /// The entries that came with it.
        hosts: Vec<Entry>,
    },
    /// Other tenants from now on: those that were there keep their numbers, new ones come behind.
    Tenants(Vec<Tenant>),
    /// A request came in; one final answer is owed.
    Demand(Demand),
    /// A connection that already stands; its attempt 0 counts as made.
    Adopted(Demand, HostId),
    /// An attempt's connection stands.
    Opened {
        /// The request.
        call: CallId,
        /// The attempt's host.
        host: HostId,
        /// Time since it was sent.
        elapsed: Micros,
    },
    /// The load of a connection changed, to this much work a second.
    LoadNote {
        /// The request.
        call: CallId,
        /// The new load.
        load: f64,
    },
    /// Messages at this host take this long.
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
        /// Time since it was sent.
        elapsed: Micros,
        /// The request is over.
        ended: bool,
    },
    /// A probe came back, or did not.
    Probed {
        /// The host.
        host: HostId,
        /// How it ended.
        outcome: Outcome,
        /// The load that the host reports, over what it can do, where it reports that.
        load: Option<f64>,
    },
    /// The client left; nothing more is owed.
    Vanished {
        /// The request.
        call: CallId,
    },
    /// A timer came due.
    Timer {
        /// As it was set.
        token: u64,
    },
}

/// What a node does.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start an attempt.
    Send {
        /// The request.
        call: CallId,
        /// Where to.
        host: HostId,
        /// The attempt's time-out.
        patience: Micros,
    },
    /// Final answer: turned away, a retry does no harm.
    Refuse {
        /// The request.
        call: CallId,
        /// How long the client should stay away; none where no advice reaches it.
        retry_after: Option<Micros>,
    },
    /// Final answer: failed, no promise.
    Fail {
        /// The request.
        call: CallId,
    },
    /// Close an open connection politely; the client comes again.
    Move {
        /// The request.
        call: CallId,
    },
    /// Probe a host.
    Probe {
        /// The host.
        host: HostId,
    },
    /// Ask for a timer.
    Timer {
        /// When.
        at: Micros,
        /// Handed back with it.
        token: u64,
    },
    /// Subscribe to changes of the list.
    Watch,
}
