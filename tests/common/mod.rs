//! What the tests share: settings, a node to talk to, and what it answered.
#![allow(dead_code)]

use oakdeal::*;

pub const MS: Micros = 1_000;
pub const S: Micros = 1_000_000;

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

/// A node under test.
pub struct Node(pub PlacementPolicy);

impl Node {
    pub fn new(settings: Settings, hosts: impl IntoIterator<Item = HostId>) -> Node {
        let mut node = Node(PlacementPolicy::new(settings, 1).expect("settings"));
        node.list(0, ListKind::Cached, hosts.into_iter().map(Entry::ready).collect());
        node
    }

    pub fn tell(&mut self, now: Micros, event: Event) -> Vec<Action> {
        let mut out = Vec::new();
        self.0.handle(now, event, &mut out);
        out
    }

    pub fn list(&mut self, now: Micros, kind: ListKind, hosts: Vec<Entry>) -> Vec<Action> {
        self.tell(now, Event::Members { kind, hosts })
    }

    pub fn demand(&mut self, now: Micros, call: &str, class: usize, group: Option<&str>) -> Vec<Action> {
        let group = group.map(Into::into);
        self.tell(now, Event::Demand(Demand { group, ..Demand::new(call, class, 2 * S) }))
    }

    /// The same with a client key: one client of a group goes to the same piece of it each time.
    pub fn client(&mut self, now: Micros, call: &str, key: &str, group: &str) -> Vec<Action> {
        let (key, group) = (Some(key.into()), Some(group.into()));
        self.tell(now, Event::Demand(Demand { key, group, ..Demand::new(call, 0, 2 * S) }))
    }

    pub fn opened(&mut self, now: Micros, call: &str, host: HostId) {
        let out = self.tell(now, Event::Opened { call: call.into(), host, elapsed: MS });
        assert!(out.is_empty(), "{out:?}");
    }

    pub fn finished(&mut self, now: Micros, call: &str, host: HostId, outcome: Outcome) -> Vec<Action> {
        self.end(now, call, host, outcome, false)
    }

    pub fn end(
        &mut self,
        now: Micros,
        call: &str,
        host: HostId,
        outcome: Outcome,
        ended: bool,
    ) -> Vec<Action> {
        let call = call.into();
        self.tell(now, Event::Finished { call, attempt: 0, host, outcome, elapsed: MS, ended })
    }

    /// Asks for a connection and lets it stand; where it went.
    pub fn stand(&mut self, now: Micros, call: &str, group: Option<&str>) -> HostId {
        let host = sent(&self.demand(now, call, 0, group)).expect("placed");
        self.opened(now, call, host);
        host
    }
}

/// The host of the one send among actions.
pub fn sent(actions: &[Action]) -> Option<HostId> {
    let mut hosts = actions.iter().filter_map(|a| match a {
        Action::Send { host, .. } => Some(*host),
        _ => None,
    });
    let first = hosts.next();
    assert!(hosts.next().is_none(), "two sends at once: {actions:?}");
    first
}

pub fn refused(actions: &[Action]) -> bool {
    matches!(actions, [Action::Refuse { .. }])
}

pub fn failed(actions: &[Action]) -> bool {
    matches!(actions, [Action::Fail { .. }])
}
