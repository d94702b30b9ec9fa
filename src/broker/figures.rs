//! What the balancer counts for its operators, from its start on.
//!
//! Promised: a command is pending while its [`Tally`] lives and ends under exactly one count. Not promised: counts of
//! what is no command yet (a first line that cannot be read names no class).

use std::cell::{Cell, RefCell};
use std::fmt::Write;
use std::rc::Rc;

/// How a command ended, as far as its service client is concerned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// Brought up.
    Completed,
    /// Refused: it may come again.
    Rejected,
    /// Failed, or left before its answer.
    Failed,
}

#[derive(Clone, Copy, Default)]
struct Counts {
    completed: u64,
    rejected: u64,
    failed: u64,
    attempts: u64,
}

/// What is seen of the list at this moment.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Members {
    /// Instances that it names.
    pub listed: usize,
    /// Those of them that nothing new is sent to now.
    pub avoided: usize,
}

/// The books.
#[derive(Default)]
pub struct Figures {
    classes: RefCell<Vec<Counts>>,
    pending: Cell<usize>,
}

impl Figures {
    /// Books for so many classes.
    pub fn new(classes: usize) -> Rc<Figures> {
        Rc::new(Figures { classes: RefCell::new(vec![Counts::default(); classes]), pending: Cell::new(0) })
    }

    fn count(&self, class: usize, change: impl FnOnce(&mut Counts)) {
        // A class that the settings do not name is not asked for: the fronts refuse it.
        if let Some(counts) = self.classes.borrow_mut().get_mut(class) {
            change(counts);
        }
    }

    /// A command of a class was taken.
    pub fn taken(self: &Rc<Self>, class: usize) -> Tally {
        self.pending.set(self.pending.get() + 1);
        Tally { figures: self.clone(), class, ended: Cell::new(None) }
    }

    /// The lines of all figures.
    pub fn lines(&self, names: &[String], members: Members) -> String {
        let mut text = String::new();
        for (name, c) in names.iter().zip(self.classes.borrow().iter()) {
            for (count, n) in [
                ("completed", c.completed),
                ("rejected", c.rejected),
                ("failed", c.failed),
                ("upstream_requests", c.attempts),
            ] {
                let _ = write!(text, "lb.{count}.{name}:{n}|c\r\n");
            }
        }
        for (gauge, n) in [
            ("pending", self.pending.get()),
            ("members", members.listed),
            ("members_unavailable", members.avoided),
        ] {
            let _ = write!(text, "lb.{gauge}:{n}|g\r\n");
        }
        text
    }
}

/// One command in the books, until it is dropped.
pub struct Tally {
    figures: Rc<Figures>,
    class: usize,
    ended: Cell<Option<End>>,
}

impl Tally {
    /// It has ended so; only the first word counts. One that was brought up is pending until this is dropped.
    pub fn ends(&self, end: End) {
        if self.ended.get().is_none() {
            self.ended.set(Some(end));
            if end != End::Completed {
                self.over();
            }
            self.figures.count(self.class, |c| match end {
                End::Completed => c.completed += 1,
                End::Rejected => c.rejected += 1,
                End::Failed => c.failed += 1,
            });
        }
    }

    fn over(&self) {
        self.figures.pending.set(self.figures.pending.get() - 1);
    }

    /// An attempt was written whole to an instance.
    pub fn attempt(&self) {
        self.figures.count(self.class, |c| c.attempts += 1);
    }
}

impl Drop for Tally {
    fn drop(&mut self) {
        match self.ended.get() {
            Some(End::Completed) => self.over(),
            Some(_) => {}
            None => self.ends(End::Failed),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against a command under two counts or none, and a figure that appears only once it counts.
    #[test]
    fn a_command_ends_under_one_count_and_every_class_is_there_from_the_start() {
        let figures = Figures::new(2);
        let names = ["chat".to_string(), "watch".to_string()];
        let members = Members { listed: 5, avoided: 2 };
        let read = || figures.lines(&names, members);
        let start = read();
        assert_eq!(start.lines().count(), 11);
        assert!(start.lines().take(8).all(|line| line.ends_with(":0|c")), "{start}");
        let taken = figures.taken(1);
        taken.attempt();
        taken.ends(End::Completed);
        taken.ends(End::Failed);
        assert!(read().contains("lb.pending:1|g\r\nlb.members:5|g\r\nlb.members_unavailable:2|g\r\n"));
        drop(taken);
        drop(figures.taken(0));
        figures.taken(0).ends(End::Rejected);
        let text = read();
        for line in [
            "lb.completed.watch:1|c",
            "lb.failed.watch:0|c",
            "lb.upstream_requests.watch:1|c",
            "lb.failed.chat:1|c",
            "lb.rejected.chat:1|c",
            "lb.completed.chat:0|c",
            "lb.pending:0|g",
        ] {
            assert!(text.lines().any(|l| l == line), "{line}: {text}");
        }
    }
}
