use super::*;

fn lease(token: u64) -> Option<LeaseToken> {
    Some(LeaseToken { task: "t".into(), token })
}

#[test]
fn entries_under_an_ended_lease_are_dropped_and_the_others_keep_their_order() {
    let mut outbox = Outbox::default();
    for (lease, value) in [(None, 1), (lease(1), 2), (lease(2), 3), (lease(1), 4), (None, 5)] {
        outbox.push(lease, value);
    }
    let left: Vec<i32> = std::iter::from_fn(|| outbox.pop(|lease| lease.token == 2)).collect();
    assert_eq!(left, [1, 3, 5]);
}

#[test]
fn the_lease_is_checked_for_each_entry() {
    let mut outbox = Outbox::default();
    (0..4).for_each(|value| outbox.push(lease(1), value));
    let checks = std::cell::Cell::new(0);
    let first_two = |_: &LeaseToken| checks.replace(checks.get() + 1) < 2;
    let left: Vec<i32> = std::iter::from_fn(|| outbox.pop(first_two)).collect();
    assert_eq!(left, [0, 1]);
}
