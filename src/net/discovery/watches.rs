//! Which watches are open, and what the list or the end of each means. Every change of the address of discovery begins
//! a new generation, also where an address returns, and a generation has at most one watch. A list supersedes the
//! watches of earlier generations and says nothing about later ones. Does no I/O.

use std::collections::BTreeMap;

/// Number of changes of the address of discovery before a watch was opened.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Generation(u64);

/// The open watches, by generation. `W` is what closes a watch.
pub struct Watches<W> {
    newest: Generation,
    /// Generation of the whole list in use. Versions of lists are comparable within a generation only.
    listed: Generation,
    open: BTreeMap<Generation, W>,
}

impl<W> Watches<W> {
    /// Returns the watches of a process whose configured list is one of its first address.
    pub fn new() -> Watches<W> {
        Watches { newest: Generation(0), listed: Generation(0), open: BTreeMap::new() }
    }

    /// Begins a new generation. Watches of earlier ones stay open until a later one has sent the whole list.
    pub fn change_address(&mut self) {
        self.newest.0 += 1;
    }

    /// Returns the generation of the configured address.
    pub fn newest(&self) -> Generation {
        self.newest
    }

    /// Returns whether a watch of the configured address is open.
    pub fn newest_is_open(&self) -> bool {
        self.open.contains_key(&self.newest)
    }

    /// Returns whether the list in use is from this generation, so that its version may be continued.
    pub fn has_list(&self, generation: Generation) -> bool {
        self.listed == generation
    }

    /// Records the watch of the newest generation as open.
    pub fn opened(&mut self, watch: W) {
        self.open.insert(self.newest, watch);
    }

    /// Records that a watch has received the whole list. Returns the watches that it supersedes, to be closed.
    pub fn list_received(&mut self, generation: Generation) -> Vec<W> {
        self.listed = generation;
        let remaining = self.open.split_off(&generation);
        std::mem::replace(&mut self.open, remaining).into_values().collect()
    }

    /// Records that a watch has ended. Returns whether it was the one of the configured address, which has to be
    /// opened again.
    pub fn ended(&mut self, generation: Generation) -> bool {
        self.open.remove(&generation);
        generation == self.newest
    }
}

#[cfg(test)]
#[path = "watches_tests.rs"]
mod tests;
