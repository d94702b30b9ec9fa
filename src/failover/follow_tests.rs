//! Shares by client, the end of a plan, the pace of moves, and what a balancer may hold.

use super::super::capacity::Grant;
use super::super::plan::ZonePlan;
use super::*;

fn plan(serial: u64, shares: &[(&str, f64)]) -> Plan {
    let shares = shares.iter().map(|(zone, share)| (zone.to_string(), (*share * 1e3) as u32)).collect();
    let zone = ZonePlan { shares: [("c".to_string(), shares)].into(), ..ZonePlan::default() };
    let zones = [("a".to_string(), zone), ("b".to_string(), ZonePlan::default())].into();
    Plan { serial, zones, ..Plan::default() }
}

fn counts(follower: &PlanFollower) -> (usize, usize, usize) {
    let all: Vec<ZoneChoice> = (0..10_000).map(|n| follower.choose_zone(0, &format!("k{n}"), "c")).collect();
    let to = |zone: &str| all.iter().filter(|c| matches!(c, ZoneChoice::Zone(z, _) if z == zone)).count();
    (to("a"), to("b"), all.iter().filter(|c| **c == ZoneChoice::Refuse).count())
}

/// Guards against shares that are not kept, clients that change zone for nothing, a plan that is followed too early, at once by
/// all, or after nobody renews it.
#[test]
fn shares_are_kept_by_client_and_a_plan_ends_when_nobody_renews_it() {
    let settings = FailoverSettings {
        changeover_window: 1_000_000,
        plan_lifetime: 10_000_000,
        ..FailoverSettings::default()
    };
    let mut f = PlanFollower::new(settings.clone(), "n1", 1, "a");
    assert_eq!(f.choose_zone(0, "k", "c"), ZoneChoice::Zone("a".into(), None));
    f.receive_plan(0, &plan(1, &[("a", 0.7), ("b", 0.2)]));
    f.advance(1_000_000, |_| 0);
    let (a, b, refused) = counts(&f);
    assert!(
        a.abs_diff(7_000) < 150 && b.abs_diff(2_000) < 150 && refused.abs_diff(1_000) < 150,
        "{a} {b} {refused}"
    );
    let before: Vec<ZoneChoice> = (0..1_000).map(|n| f.choose_zone(0, &format!("k{n}"), "c")).collect();
    f.receive_plan(2_000_000, &plan(2, &[("a", 0.6), ("b", 0.3)]));
    f.advance(3_000_000, |_| 0);
    assert_eq!(f.followed_plan(), Some(2));
    let changed = (0..1_000).filter(|n| f.choose_zone(0, &format!("k{n}"), "c") != before[*n]).count();
    assert!((60..140).contains(&changed), "{changed} of 1,000 for a tenth");
    // Heard again it does not count for longer; renewed it does.
    f.receive_plan(9_000_000, &plan(2, &[("a", 0.6), ("b", 0.3)]));
    f.advance(11_999_999, |_| 0);
    assert_eq!(f.followed_plan(), Some(2));
    f.receive_plan(11_999_999, &Plan { renewals: 1, ..plan(2, &[("a", 0.6), ("b", 0.3)]) });
    f.advance(21_999_000, |_| 0);
    assert_eq!(f.followed_plan(), Some(2));
    f.advance(22_000_000, |_| 0);
    assert_eq!(f.followed_plan(), None);
    let near = |n: usize| matches!(f.choose_zone(22_000_000, &format!("k{n}"), "c"), ZoneChoice::Zone(zone, _) if zone == "a");
    assert!((0..1_000).all(near));
    // Not all change at one moment.
    let mut at: Vec<Micros> = Vec::new();
    for n in 0..20 {
        let mut f = PlanFollower::new(settings.clone(), &format!("n{n}"), 1, "a");
        f.receive_plan(0, &plan(1, &[("a", 1.0)]));
        at.push(
            (0..11)
                .map(|n| n * 100_000)
                .find(|&now| {
                    f.advance(now, |_| 0);
                    f.followed_plan().is_some()
                })
                .unwrap(),
        );
    }
    at.sort_unstable();
    at.dedup();
    assert!(at.len() > 5, "{at:?}");
}

/// Guards against all of a zone that fails being tried at one that has room for a part of them.
#[test]
fn as_many_of_a_zones_clients_have_a_second_zone_as_find_room_there() {
    let mut f = PlanFollower::new(FailoverSettings::default(), "n1", 1, "a");
    let mut plan = plan(1, &[("a", 1.0)]);
    let zone = plan.zones.get_mut("a").unwrap();
    (zone.fallback, zone.fallback_share) = (Some("b".into()), 300);
    f.receive_plan(0, &plan);
    f.advance(1_000_000, |_| 0);
    let second = |n: &usize| matches!(f.choose_zone(0, &format!("k{n}"), "c"), ZoneChoice::Zone(_, Some(then)) if then == "b");
    let of = (0..10_000).filter(second).count();
    assert!(of.abs_diff(3_000) < 150, "{of}");
}

/// Guards against a fleet that moves all connections at once.
#[test]
fn moves_keep_the_fleets_pace() {
    let mut f = PlanFollower::new(
        FailoverSettings { fleet_moves_per_second: 40.0, ..FailoverSettings::default() },
        "n1",
        1,
        "a",
    );
    let moved: usize = (0..500u64).map(|n| f.allowed_moves(1_000_000 + n * 20_000, 1_000, 10)).sum();
    assert!((36..=44).contains(&moved), "{moved} in ten seconds of 4 a second");
}

fn granted(serial: u64, limits: &[u32]) -> Plan {
    let grant = Grant { started: 1, limits: limits.to_vec(), reserved: limits.to_vec() };
    Plan { grants: [("n1".to_string(), grant)].into(), ..plan(serial, &[("a", 0.5), ("b", 0.5)]) }
}

#[test]
fn a_balancer_holds_what_its_plan_grants_it_and_after_the_plan_only_what_stood() {
    let mut f = PlanFollower::new(
        FailoverSettings { changeover_window: 1, plan_lifetime: 10_000_000, ..FailoverSettings::default() },
        "n1",
        1,
        "a",
    );
    f.advance(0, |_| 0);
    assert_eq!(
        (f.connection_limit("a"), f.connection_limit("b")),
        (ConnectionLimit::Unbounded, ConnectionLimit::Unbounded)
    );
    f.receive_plan(0, &granted(1, &[4, 7]));
    f.advance(1, |_| 0);
    assert_eq!(
        (f.connection_limit("a"), f.connection_limit("b"), f.followed_renewal()),
        (ConnectionLimit::AtMost(4), ConnectionLimit::AtMost(7), Some(0))
    );
    // A renewal may grant something else, and is in force at once.
    f.receive_plan(2, &Plan { renewals: 1, ..granted(1, &[4, 6]) });
    assert_eq!((f.connection_limit("b"), f.followed_renewal()), (ConnectionLimit::AtMost(6), Some(1)));
    f.advance(10_000_002, |zone| if zone == "b" { 3 } else { 9 });
    assert_eq!((f.followed_plan(), f.followed_renewal()), (None, None));
    assert_eq!(
        (f.connection_limit("a"), f.connection_limit("b")),
        (ConnectionLimit::Unbounded, ConnectionLimit::AtMost(3))
    );
    assert!(ConnectionLimit::AtMost(3).allows_beyond(2) && !ConnectionLimit::AtMost(3).allows_beyond(3));
    // The next plan is followed as the first was.
    f.receive_plan(10_000_003, &granted(2, &[1, 2]));
    f.advance(10_000_004, |_| 0);
    assert_eq!(
        (f.connection_limit("a"), f.connection_limit("b")),
        (ConnectionLimit::AtMost(1), ConnectionLimit::AtMost(2))
    );
}

#[test]
fn a_balancer_that_the_plan_does_not_name_serves_its_own_zone_only() {
    let mut f = PlanFollower::new(
        FailoverSettings { changeover_window: 1, ..FailoverSettings::default() },
        "n2",
        1,
        "a",
    );
    f.receive_plan(0, &granted(1, &[4, 7]));
    f.advance(1, |_| 0);
    assert_eq!(
        (f.connection_limit("a"), f.connection_limit("b")),
        (ConnectionLimit::Unbounded, ConnectionLimit::AtMost(0))
    );
    // Nor one whose name an earlier process had.
    let mut f = PlanFollower::new(
        FailoverSettings { changeover_window: 1, ..FailoverSettings::default() },
        "n1",
        2,
        "a",
    );
    f.receive_plan(0, &granted(1, &[4, 7]));
    f.advance(1, |_| 0);
    assert_eq!(
        (f.connection_limit("a"), f.connection_limit("b")),
        (ConnectionLimit::Unbounded, ConnectionLimit::AtMost(0))
    );
}

#[test]
fn a_balancer_without_any_plan_serves_its_own_zone_until_one_should_have_come() {
    let mut f = PlanFollower::new(
        FailoverSettings { plan_lifetime: 10_000_000, ..FailoverSettings::default() },
        "n1",
        1,
        "a",
    );
    f.advance(5, |_| 0);
    assert_eq!(f.choose_zone(10_000_004, "k", "c"), ZoneChoice::Zone("a".into(), None));
    assert_eq!(f.choose_zone(10_000_005, "k", "c"), ZoneChoice::NoPlan);
}

/// The record keeps a plan also when nobody renews it, and every turn takes it from there. A plan that had ended was taken for new
/// at the next turn, and followed for its whole lifetime once more, again and again: `no plan is valid any more` and 50 ms later
/// `another plan is followed serial=1` every 3 s, at three balancers that were cut off from the group.
#[test]
fn a_plan_that_has_ended_is_not_followed_again_until_it_is_renewed() {
    let mut f = PlanFollower::new(
        FailoverSettings { changeover_window: 1, plan_lifetime: 10_000_000, ..FailoverSettings::default() },
        "n1",
        1,
        "a",
    );
    let mut turn = |now: Micros, plan: &Plan| {
        f.receive_plan(now, plan);
        f.advance(now, |_| 0);
        f.followed_plan()
    };
    let plan = granted(1, &[4, 7]);
    assert_eq!(turn(0, &plan), Some(1));
    for now in (10_000_001..40_000_000).step_by(50_000) {
        assert_eq!(turn(now, &plan), None, "at {now}");
    }
    let renewed = Plan { renewals: 1, ..plan };
    assert_eq!(turn(40_000_000, &renewed), Some(1));
}
