use super::*;
use rand_chacha::rand_core::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Watches that are named by their generation, and what the decision module was told of the newest one.
struct Harness {
    watches: Watches<Generation>,
    /// Generations that have sent the whole list.
    listed: Vec<Generation>,
    /// Whether the end of a watch at the configured address was reported and no watch was opened since.
    end_reported: bool,
}

impl Harness {
    fn new() -> Harness {
        let mut harness =
            Harness { watches: Watches::new(), listed: vec![Generation(0)], end_reported: false };
        harness.open();
        harness
    }

    /// Opens a watch at the configured address unless one is open, as on a request of the decision module.
    fn open(&mut self) {
        if !self.watches.newest_is_open() {
            self.watches.opened(self.watches.newest());
            self.end_reported = false;
        }
    }

    fn change_address(&mut self) {
        self.watches.change_address();
        self.open();
    }

    fn receive_list(&mut self, generation: Generation) {
        let closed = self.watches.list_received(generation);
        assert!(closed.iter().all(|&other| other < generation), "{generation:?} closed {closed:?}");
        self.listed.push(generation);
    }

    fn end(&mut self, generation: Generation) {
        self.end_reported |= self.watches.ended(generation);
    }

    fn assert_consistent(&self) {
        let watches = &self.watches;
        assert_ne!(watches.newest_is_open(), self.end_reported, "the newest address is watched or due");
        let latest = *self.listed.iter().max().unwrap();
        assert!(watches.has_list(latest), "the list in use is the one of the latest address that sent one");
        assert!(watches.open.keys().all(|&open| open >= latest), "no watch is older than the list");
    }
}

/// In every order of changes of the address, lists and ends, the configured address is watched or its end was reported;
/// otherwise discovery is never called again.
#[test]
fn the_newest_address_is_always_watched_or_its_end_was_reported() {
    for seed in 0..2_000 {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut harness = Harness::new();
        for _ in 0..40 {
            let open: Vec<Generation> = harness.watches.open.keys().copied().collect();
            let chosen = open.get(random.next_u32() as usize % open.len().max(1)).copied();
            match (random.next_u32() % 5, chosen) {
                (0, _) => harness.change_address(),
                (1, _) => harness.open(),
                (2, Some(generation)) => harness.receive_list(generation),
                (_, Some(generation)) => harness.end(generation),
                (_, None) => {}
            }
            harness.assert_consistent();
        }
    }
}

/// A list supersedes the watches of earlier addresses, not its own and not those of later ones.
#[test]
fn a_list_closes_the_watches_of_earlier_addresses_only() {
    let mut harness = Harness::new();
    let first = harness.watches.newest();
    harness.change_address();
    let second = harness.watches.newest();
    harness.change_address();
    let third = harness.watches.newest();
    assert_eq!(harness.watches.list_received(second), [first]);
    assert!(harness.watches.has_list(second) && !harness.watches.has_list(third));
    assert_eq!(harness.watches.list_received(third), [second]);
    assert!(harness.watches.has_list(third) && harness.watches.newest_is_open());
    assert!(harness.watches.ended(third) && !harness.watches.newest_is_open());
}
