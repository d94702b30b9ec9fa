//! Capacity leases at the send: one balancer's connections in a zone, attempts in flight included, never exceed its limit.

use super::super::zones::BalancerContext;
use super::*;
use crate::failover;
use crate::failover::capacity::Grant;
use crate::failover::plan::ZonePlan;

const S: Micros = 1_000_000;
/// Hosts by zone.
const HOSTS: [(HostId, usize); 4] = [(1, 0), (2, 0), (3, 1), (4, 1)];

/// Returns a balancer in zone a whose plan sends this share of its clients (in thousandths) to zone b. `limits` are the connections
/// that it may hold in each zone; with `has_fallback`, clients that fail may be tried in zone b.
fn balancer(share_of_b: u32, has_fallback: bool, limits: [u32; 2]) -> Core {
    let class = Class {
        setup_target: S,
        repeat_safety: RepeatSafety::Idempotent,
        dedup_scope: DedupScope::All,
        dedup_window: S,
        message_delay_target: S,
        deadline: 2 * S,
        worth: 1.0,
    };
    let class_name = Some("watch".into());
    let env = crate::wire::Env {
        classes: Some(vec![crate::wire::EnvClass { name: class_name, ..Default::default() }]),
        ..Default::default()
    };
    let (_, names) = env.translate().unwrap();
    let settings = Settings { classes: vec![class], peers_total: 1, zones: 2, ..Settings::default() };
    let mut core = Core::new(settings, &names, 1).unwrap();
    let context = BalancerContext {
        name: "n1".into(),
        started: 1,
        zone: "a".into(),
        zones: vec!["a".into(), "b".into()],
        classes: vec!["watch".into()],
        balancer_count: 1,
        ..BalancerContext::default()
    };
    core.enable_zones(
        failover::FailoverSettings { changeover_window: 1, ..failover::FailoverSettings::default() },
        context,
    );
    let entry = |(host, zone)| Entry { zone: Some(zone), ..Entry::ready(host) };
    let hosts = HOSTS.map(entry).to_vec();
    core.handle_event(S, Event::Members { kind: ListKind::Cached, hosts }, &mut Vec::new());
    let shares = vec![("a".to_string(), 1_000 - share_of_b), ("b".to_string(), share_of_b)];
    let fallback = has_fallback.then(|| "b".to_string());
    let zone = ZonePlan {
        shares: [("watch".to_string(), shares)].into(),
        fallback,
        fallback_share: 1_000,
        ..ZonePlan::default()
    };
    let grant = Grant { started: 1, limits: limits.to_vec(), reserved: limits.to_vec() };
    let zones = [("a".to_string(), zone), ("b".to_string(), ZonePlan::default())].into();
    let plan = Plan { serial: 1, zones, grants: [("n1".to_string(), grant)].into(), ..Plan::default() };
    core.follow_plan(S, Some(&plan));
    core.follow_plan(S + 1, Some(&plan));
    core
}

fn request(core: &mut Core, id: &str) -> Vec<Action> {
    let mut demand = Demand::new(id, 0, 2 * S);
    let mut actions = Vec::new();
    if core.admit(S + 2, &mut demand, None).is_ok() {
        core.handle_event(S + 2, Event::Demand(demand), &mut actions);
    }
    actions
}

fn sent(actions: &[Action]) -> Vec<(CallId, HostId)> {
    let send = |action: &Action| match action {
        Action::Send { call, host, .. } => Some((call.clone(), *host)),
        _ => None,
    };
    actions.iter().filter_map(send).collect()
}

fn finished(call: &CallId, host: HostId, outcome: Outcome, ended: bool) -> Event {
    Event::Finished { call: call.clone(), attempt: 0, host, outcome, elapsed: 1, ended }
}

#[test]
fn attempts_in_flight_count_against_the_lease_until_they_end() {
    let mut core = balancer(1_000, false, [0, 3]);
    let all: Vec<_> = (0..10).flat_map(|n| sent(&request(&mut core, &format!("r{n}")))).collect();
    assert_eq!(all.len(), 3, "{all:?}");
    assert!(all.iter().all(|(_, host)| *host >= 3), "{all:?}");
    // An established connection still counts; an ended one does not.
    let mut actions = Vec::new();
    core.handle_event(
        S + 3,
        Event::Opened { call: all[0].0.clone(), host: all[0].1, elapsed: 1 },
        &mut actions,
    );
    assert_eq!(sent(&request(&mut core, "more")), []);
    core.handle_event(S + 4, finished(&all[0].0, all[0].1, Outcome::Ok, true), &mut actions);
    assert_eq!(sent(&request(&mut core, "again")).len(), 1);
    assert_eq!(sent(&request(&mut core, "full")), []);
}

#[test]
fn retries_in_the_fallback_zone_keep_its_lease_and_each_request_gets_one_final_answer() {
    let mut core = balancer(0, true, [9, 2]);
    let first: Vec<_> = (0..6).flat_map(|n| sent(&request(&mut core, &format!("r{n}")))).collect();
    assert!(first.len() == 6 && first.iter().all(|(_, host)| *host <= 2), "{first:?}");
    let mut open = first;
    let (mut in_b, mut answers) = (Vec::new(), Vec::new());
    while let Some((call, host)) = open.pop() {
        let mut actions = Vec::new();
        core.handle_event(S + 3, finished(&call, host, Outcome::ConnectFailed, false), &mut actions);
        for action in &actions {
            if let Action::Refuse { call, .. } | Action::Fail { call } = action {
                answers.push(call.clone());
            }
        }
        for (call, host) in sent(&actions) {
            if host >= 3 {
                in_b.push(call);
            } else {
                open.push((call, host));
            }
        }
    }
    assert_eq!((in_b.len(), answers.len()), (2, 4), "{in_b:?} {answers:?}");
    assert!(answers.iter().all(|call| !in_b.contains(call)));
}

#[test]
fn a_connection_counts_in_its_zone_after_its_server_has_left_the_list() {
    let mut core = balancer(1_000, false, [0, 1]);
    let (call, host) = sent(&request(&mut core, "first"))[0].clone();
    let mut actions = Vec::new();
    core.handle_event(S + 3, Event::Opened { call: call.clone(), host, elapsed: 1 }, &mut actions);
    let others = HOSTS.into_iter().filter(|(other, _)| *other != host);
    let hosts = others.map(|(host, zone)| Entry { zone: Some(zone), ..Entry::ready(host) }).collect();
    core.handle_event(S + 4, Event::Members { kind: ListKind::Full, hosts }, &mut actions);
    assert_eq!(sent(&request(&mut core, "second")), []);
    core.handle_event(S + 5, finished(&call, host, Outcome::Reset, true), &mut actions);
    assert_eq!(sent(&request(&mut core, "third")).len(), 1);
}
