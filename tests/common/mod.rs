//! Helpers of the integration tests of the placement policy: default settings, a node that takes events, and checks of
//! the actions that it returns.
#![allow(dead_code)]

use oakdeal::*;

/// One millisecond in microseconds.
pub const MS: Micros = 1_000;
/// One second in microseconds.
pub const S: Micros = 1_000_000;

/// A class with a deduplication window of 5 s and no deadline of its own.
pub fn class(repeat_safety: RepeatSafety, dedup_scope: DedupScope) -> Class {
    Class {
        setup_target: 300 * MS,
        repeat_safety,
        dedup_scope,
        dedup_window: 5 * S,
        message_delay_target: 100 * MS,
        deadline: 0,
        worth: 0.0,
    }
}

/// Settings of one of three nodes, with an idempotent, a deduplicated and an at-most-once class (numbers 0, 1 and 2).
pub fn settings() -> Settings {
    Settings {
        classes: vec![
            class(RepeatSafety::Idempotent, DedupScope::All),
            class(RepeatSafety::Deduplicated, DedupScope::Cell),
            class(RepeatSafety::AtMostOnce, DedupScope::All),
        ],
        peers_total: 3,
        rules: Rules {
            cold_share: 0.2,
            warmup_time: 20 * S,
            overload_factor: 3.0,
            overload_failure_time: 3 * S,
            drain_grace: S,
            budget: None,
            unlisted_hosts_usable: false,
        },
        limits: Limits { max_attempts: 4, probes: false, probes_report_load: false, max_retry_after: None },
        ..Settings::default()
    }
}

/// The placement policy of one node under test.
pub struct Node(pub PlacementPolicy);

impl Node {
    /// Creates a node whose cached list holds these hosts, all ready.
    pub fn new(settings: Settings, hosts: impl IntoIterator<Item = HostId>) -> Node {
        let mut node = Node(PlacementPolicy::new(settings, 1).expect("settings"));
        node.update_members(0, ListKind::Cached, hosts.into_iter().map(Entry::ready).collect());
        node
    }

    /// Handles one event and returns the resulting actions.
    pub fn handle_event(&mut self, now: Micros, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.0.handle(now, event, &mut actions);
        actions
    }

    /// Handles a list of hosts from discovery.
    pub fn update_members(&mut self, now: Micros, kind: ListKind, hosts: Vec<Entry>) -> Vec<Action> {
        self.handle_event(now, Event::Members { kind, hosts })
    }

    /// Handles a request without a client key that is due in 2 s.
    pub fn demand(&mut self, now: Micros, call: &str, class: usize, group: Option<&str>) -> Vec<Action> {
        let group = group.map(Into::into);
        self.handle_event(now, Event::Demand(Demand { group, ..Demand::new(call, class, 2 * S) }))
    }

    /// Handles a request of class 0 with a client key. A client with the same key is always assigned to the same piece of
    /// its group.
    pub fn demand_with_key(&mut self, now: Micros, call: &str, key: &str, group: &str) -> Vec<Action> {
        let (key, group) = (Some(key.into()), Some(group.into()));
        self.handle_event(now, Event::Demand(Demand { key, group, ..Demand::new(call, 0, 2 * S) }))
    }

    /// Reports that a host accepted a connection, and checks that this causes no action.
    pub fn opened(&mut self, now: Micros, call: &str, host: HostId) {
        let actions = self.handle_event(now, Event::Opened { call: call.into(), host, elapsed: MS });
        assert!(actions.is_empty(), "{actions:?}");
    }

    /// Reports that an attempt finished while the request goes on.
    pub fn finished(&mut self, now: Micros, call: &str, host: HostId, outcome: Outcome) -> Vec<Action> {
        self.report_finished(now, call, host, outcome, false)
    }

    /// Reports that an attempt finished; `ended` says that the request ended with it, so that no answer is owed.
    pub fn report_finished(
        &mut self,
        now: Micros,
        call: &str,
        host: HostId,
        outcome: Outcome,
        ended: bool,
    ) -> Vec<Action> {
        let call = call.into();
        self.handle_event(now, Event::Finished { call, attempt: 0, host, outcome, elapsed: MS, ended })
    }

    /// Requests a connection, reports it as open and returns its host.
    pub fn open_connection(&mut self, now: Micros, call: &str, group: Option<&str>) -> HostId {
        let host = sent_host(&self.demand(now, call, 0, group)).expect("placed");
        self.opened(now, call, host);
        host
    }
}

/// Returns the host of the only send action, if there is one. Panics on a second send.
pub fn sent_host(actions: &[Action]) -> Option<HostId> {
    let mut hosts = actions.iter().filter_map(|a| match a {
        Action::Send { host, .. } => Some(*host),
        _ => None,
    });
    let first = hosts.next();
    assert!(hosts.next().is_none(), "more than one send: {actions:?}");
    first
}

/// Returns whether the only action is a refusal.
pub fn refused(actions: &[Action]) -> bool {
    matches!(actions, [Action::Refuse { .. }])
}

/// Returns whether the only action is a failure.
pub fn failed(actions: &[Action]) -> bool {
    matches!(actions, [Action::Fail { .. }])
}
