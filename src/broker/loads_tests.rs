//! Stories of what is remembered of clients.

use super::*;

/// Guards against memory that grows with every client, and loads of long ago.
#[test]
fn the_latest_are_known_for_a_while() {
    let mut loads = Loads::default();
    let key = |i: usize| (None, Arc::from(format!("{i}")));
    (0..MOST + 10).for_each(|i| loads.told(0, &key(i), 100.0));
    loads.told(0, &key(MOST), 200.0);
    loads.told(0, &key(MOST), f64::NAN);
    assert_eq!((loads.known.len(), loads.order.len()), (MOST, MOST));
    assert_eq!(loads.usual(0, &key(9)), None);
    assert_eq!(loads.usual(KEPT, &key(10)), Some(100.0));
    assert_eq!(loads.usual(KEPT, &key(MOST)), Some(150.0));
    assert_eq!(loads.usual(KEPT + 1, &key(10)), None);
    loads.told(KEPT + 1, &key(10), 7.0);
    assert_eq!(loads.usual(KEPT + 1, &key(10)), Some(7.0));
}
