//! Tests of the load history.

use super::*;

/// Guards against memory that grows with every client, and against the use of expired loads.
#[test]
fn loads_of_the_latest_clients_are_kept_until_they_expire() {
    let mut history = LoadHistory::default();
    let key = |i: usize| (None, Arc::from(format!("{i}")));
    (0..MAX_CLIENTS + 10).for_each(|i| history.record(0, &key(i), 100.0));
    history.record(0, &key(MAX_CLIENTS), 200.0);
    history.record(0, &key(MAX_CLIENTS), f64::NAN);
    assert_eq!((history.loads.len(), history.order.len()), (MAX_CLIENTS, MAX_CLIENTS));
    assert_eq!(history.recent_load(0, &key(9)), None);
    assert_eq!(history.recent_load(RETENTION, &key(10)), Some(100.0));
    assert_eq!(history.recent_load(RETENTION, &key(MAX_CLIENTS)), Some(150.0));
    assert_eq!(history.recent_load(RETENTION + 1, &key(10)), None);
    history.record(RETENTION + 1, &key(10), 7.0);
    assert_eq!(history.recent_load(RETENTION + 1, &key(10)), Some(7.0));
}
