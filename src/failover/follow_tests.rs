//! Shares by client, the expiry of a plan, the rate of moves, and the connections that a balancer may hold.

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

/// Guards against shares that are not kept, clients that change zone needlessly, and a plan that is followed too early, by all
/// balancers at the same moment, or after renewals have ended.
#[test]
fn clients_keep_their_zone_by_share_and_a_plan_without_renewal_expires() {
    let settings = FailoverSettings {
        changeover_window: 1_000_000,
        plan_lifetime: 10_000_000,
        ..FailoverSettings::default()
    };
    let mut follower = PlanFollower::new(settings.clone(), "n1", 1, "a");
    assert_eq!(follower.choose_zone(0, "k", "c"), ZoneChoice::Zone("a".into(), None));
    follower.receive_plan(0, &plan(1, &[("a", 0.7), ("b", 0.2)]));
    follower.advance(1_000_000, |_| 0);
    let (a, b, refused) = counts(&follower);
    assert!(
        a.abs_diff(7_000) < 150 && b.abs_diff(2_000) < 150 && refused.abs_diff(1_000) < 150,
        "{a} {b} {refused}"
    );
    let before: Vec<ZoneChoice> =
        (0..1_000).map(|n| follower.choose_zone(0, &format!("k{n}"), "c")).collect();
    follower.receive_plan(2_000_000, &plan(2, &[("a", 0.6), ("b", 0.3)]));
    follower.advance(3_000_000, |_| 0);
    assert_eq!(follower.followed_plan(), Some(2));
    let changed = (0..1_000).filter(|n| follower.choose_zone(0, &format!("k{n}"), "c") != before[*n]).count();
    assert!((60..140).contains(&changed), "{changed} of 1,000 for a tenth");
    // Receiving the same plan again does not extend it; a renewal does.
    follower.receive_plan(9_000_000, &plan(2, &[("a", 0.6), ("b", 0.3)]));
    follower.advance(11_999_999, |_| 0);
    assert_eq!(follower.followed_plan(), Some(2));
    follower.receive_plan(11_999_999, &Plan { renewals: 1, ..plan(2, &[("a", 0.6), ("b", 0.3)]) });
    follower.advance(21_999_000, |_| 0);
    assert_eq!(follower.followed_plan(), Some(2));
    follower.advance(22_000_000, |_| 0);
    assert_eq!(follower.followed_plan(), None);
    let is_near = |n: usize| matches!(follower.choose_zone(22_000_000, &format!("k{n}"), "c"), ZoneChoice::Zone(zone, _) if zone == "a");
    assert!((0..1_000).all(is_near));
    // Balancers change plans at different moments.
    let mut change_times: Vec<Micros> = Vec::new();
    for n in 0..20 {
        let mut follower = PlanFollower::new(settings.clone(), &format!("n{n}"), 1, "a");
        follower.receive_plan(0, &plan(1, &[("a", 1.0)]));
        change_times.push(
            (0..11)
                .map(|n| n * 100_000)
                .find(|&now| {
                    follower.advance(now, |_| 0);
                    follower.followed_plan().is_some()
                })
                .unwrap(),
        );
    }
    change_times.sort_unstable();
    change_times.dedup();
    assert!(change_times.len() > 5, "{change_times:?}");
}

/// Guards against trying all clients of a failed zone in a zone that has capacity for only a part of them.
#[test]
fn only_the_fallback_share_of_a_zones_clients_has_a_fallback() {
    let mut follower = PlanFollower::new(FailoverSettings::default(), "n1", 1, "a");
    let mut plan = plan(1, &[("a", 1.0)]);
    let zone = plan.zones.get_mut("a").unwrap();
    (zone.fallback, zone.fallback_share) = (Some("b".into()), 300);
    follower.receive_plan(0, &plan);
    follower.advance(1_000_000, |_| 0);
    let has_fallback = |n: &usize| matches!(follower.choose_zone(0, &format!("k{n}"), "c"), ZoneChoice::Zone(_, Some(fallback)) if fallback == "b");
    let count = (0..10_000).filter(has_fallback).count();
    assert!(count.abs_diff(3_000) < 150, "{count}");
}

/// Guards against moving all connections of the fleet at once.
#[test]
fn moves_stay_within_the_fleets_rate() {
    let mut follower = PlanFollower::new(
        FailoverSettings { fleet_moves_per_second: 40.0, ..FailoverSettings::default() },
        "n1",
        1,
        "a",
    );
    let moved: usize = (0..500u64).map(|n| follower.allowed_moves(1_000_000 + n * 20_000, 1_000, 10)).sum();
    assert!((36..=44).contains(&moved), "{moved} in ten seconds of 4 a second");
}

fn granted(serial: u64, limits: &[u32]) -> Plan {
    let grant = Grant { started: 1, limits: limits.to_vec(), reserved: limits.to_vec() };
    Plan { grants: [("n1".to_string(), grant)].into(), ..plan(serial, &[("a", 0.5), ("b", 0.5)]) }
}

#[test]
fn limits_follow_the_grant_and_after_expiry_the_connections_established_then() {
    let mut follower = PlanFollower::new(
        FailoverSettings { changeover_window: 1, plan_lifetime: 10_000_000, ..FailoverSettings::default() },
        "n1",
        1,
        "a",
    );
    follower.advance(0, |_| 0);
    assert_eq!(
        (follower.connection_limit("a"), follower.connection_limit("b")),
        (ConnectionLimit::Unbounded, ConnectionLimit::Unbounded)
    );
    follower.receive_plan(0, &granted(1, &[4, 7]));
    follower.advance(1, |_| 0);
    assert_eq!(
        (follower.connection_limit("a"), follower.connection_limit("b"), follower.followed_renewal()),
        (ConnectionLimit::AtMost(4), ConnectionLimit::AtMost(7), Some(0))
    );
    // A renewal may change the grant and is in force at once.
    follower.receive_plan(2, &Plan { renewals: 1, ..granted(1, &[4, 6]) });
    assert_eq!(
        (follower.connection_limit("b"), follower.followed_renewal()),
        (ConnectionLimit::AtMost(6), Some(1))
    );
    follower.advance(10_000_002, |zone| if zone == "b" { 3 } else { 9 });
    assert_eq!((follower.followed_plan(), follower.followed_renewal()), (None, None));
    assert_eq!(
        (follower.connection_limit("a"), follower.connection_limit("b")),
        (ConnectionLimit::Unbounded, ConnectionLimit::AtMost(3))
    );
    assert!(ConnectionLimit::AtMost(3).allows_beyond(2) && !ConnectionLimit::AtMost(3).allows_beyond(3));
    // The next plan is followed like the first.
    follower.receive_plan(10_000_003, &granted(2, &[1, 2]));
    follower.advance(10_000_004, |_| 0);
    assert_eq!(
        (follower.connection_limit("a"), follower.connection_limit("b")),
        (ConnectionLimit::AtMost(1), ConnectionLimit::AtMost(2))
    );
}

#[test]
fn a_balancer_without_a_grant_serves_only_its_own_zone() {
    let mut follower = PlanFollower::new(
        FailoverSettings { changeover_window: 1, ..FailoverSettings::default() },
        "n2",
        1,
        "a",
    );
    follower.receive_plan(0, &granted(1, &[4, 7]));
    follower.advance(1, |_| 0);
    assert_eq!(
        (follower.connection_limit("a"), follower.connection_limit("b")),
        (ConnectionLimit::Unbounded, ConnectionLimit::AtMost(0))
    );
    // The grant of an earlier process of that name does not apply either.
    let mut follower = PlanFollower::new(
        FailoverSettings { changeover_window: 1, ..FailoverSettings::default() },
        "n1",
        2,
        "a",
    );
    follower.receive_plan(0, &granted(1, &[4, 7]));
    follower.advance(1, |_| 0);
    assert_eq!(
        (follower.connection_limit("a"), follower.connection_limit("b")),
        (ConnectionLimit::Unbounded, ConnectionLimit::AtMost(0))
    );
}

#[test]
fn a_balancer_without_any_plan_serves_its_own_zone_for_one_plan_lifetime() {
    let mut follower = PlanFollower::new(
        FailoverSettings { plan_lifetime: 10_000_000, ..FailoverSettings::default() },
        "n1",
        1,
        "a",
    );
    follower.advance(5, |_| 0);
    assert_eq!(follower.choose_zone(10_000_004, "k", "c"), ZoneChoice::Zone("a".into(), None));
    assert_eq!(follower.choose_zone(10_000_005, "k", "c"), ZoneChoice::NoPlan);
}

/// Guards against following an expired plan again. The replicated state keeps a plan that nobody renews, and balancers read it
/// regularly. An expired plan was taken for a new one at the next read and followed for its whole lifetime again and again: three
/// balancers that were cut off from the group logged `no plan is valid any more` and 50 ms later
/// `another plan is followed serial=1` every 3 s.
#[test]
fn an_expired_plan_is_followed_again_only_after_a_renewal() {
    let mut follower = PlanFollower::new(
        FailoverSettings { changeover_window: 1, plan_lifetime: 10_000_000, ..FailoverSettings::default() },
        "n1",
        1,
        "a",
    );
    let mut plan_followed_at = |now: Micros, plan: &Plan| {
        follower.receive_plan(now, plan);
        follower.advance(now, |_| 0);
        follower.followed_plan()
    };
    let plan = granted(1, &[4, 7]);
    assert_eq!(plan_followed_at(0, &plan), Some(1));
    for now in (10_000_001..40_000_000).step_by(50_000) {
        assert_eq!(plan_followed_at(now, &plan), None, "at {now}");
    }
    let renewed = Plan { renewals: 1, ..plan };
    assert_eq!(plan_followed_at(40_000_000, &renewed), Some(1));
}
