//! What the balancer counts for its operators, from its start on.
//!
//! Promised: a command is pending while its [`CommandMetrics`] lives and ends under exactly one count. Not promised: counts of
//! what is no command yet (a first line that cannot be read names no class).

use std::cell::{Cell, RefCell};
use std::fmt::Write;
use std::rc::Rc;

/// How a command ended, as far as its service client is concerned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CommandResult {
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
pub struct MemberCounts {
    /// Instances that it names.
    pub listed: usize,
    /// Those of them that nothing new is sent to now.
    pub unavailable: usize,
}

/// The books.
#[derive(Default)]
pub struct Metrics {
    classes: RefCell<Vec<Counts>>,
    pending: Cell<usize>,
}

impl Metrics {
    /// Books for so many classes.
    pub fn new(classes: usize) -> Rc<Metrics> {
        Rc::new(Metrics { classes: RefCell::new(vec![Counts::default(); classes]), pending: Cell::new(0) })
    }

    fn update_counts(&self, class: usize, change: impl FnOnce(&mut Counts)) {
        // A class that the settings do not name is not asked for: the fronts refuse it.
        if let Some(counts) = self.classes.borrow_mut().get_mut(class) {
            change(counts);
        }
    }

    /// A command of a class was taken.
    pub fn begin_command(self: &Rc<Self>, class: usize) -> CommandMetrics {
        self.pending.set(self.pending.get() + 1);
        CommandMetrics { metrics: self.clone(), class, result: Cell::new(None) }
    }

    /// The lines of all figures.
    pub fn lines(&self, names: &[String], members: MemberCounts) -> String {
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
            ("members_unavailable", members.unavailable),
        ] {
            let _ = write!(text, "lb.{gauge}:{n}|g\r\n");
        }
        text
    }
}

/// One command in the books, until it is dropped.
pub struct CommandMetrics {
    metrics: Rc<Metrics>,
    class: usize,
    result: Cell<Option<CommandResult>>,
}

impl CommandMetrics {
    /// It has ended so; only the first word counts. One that was brought up is pending until this is dropped.
    pub fn record_result(&self, end: CommandResult) {
        if self.result.get().is_none() {
            self.result.set(Some(end));
            if end != CommandResult::Completed {
                self.leave_pending();
            }
            self.metrics.update_counts(self.class, |c| match end {
                CommandResult::Completed => c.completed += 1,
                CommandResult::Rejected => c.rejected += 1,
                CommandResult::Failed => c.failed += 1,
            });
        }
    }

    fn leave_pending(&self) {
        self.metrics.pending.set(self.metrics.pending.get() - 1);
    }

    /// An attempt was written whole to an instance.
    pub fn record_attempt(&self) {
        self.metrics.update_counts(self.class, |c| c.attempts += 1);
    }
}

impl Drop for CommandMetrics {
    fn drop(&mut self) {
        match self.result.get() {
            Some(CommandResult::Completed) => self.leave_pending(),
            Some(_) => {}
            None => self.record_result(CommandResult::Failed),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against a command under two counts or none, and a figure that appears only once it counts.
    #[test]
    fn a_command_ends_under_one_count_and_every_class_is_there_from_the_start() {
        let metrics = Metrics::new(2);
        let names = ["chat".to_string(), "watch".to_string()];
        let members = MemberCounts { listed: 5, unavailable: 2 };
        let read = || metrics.lines(&names, members);
        let start = read();
        assert_eq!(start.lines().count(), 11);
        assert!(start.lines().take(8).all(|line| line.ends_with(":0|c")), "{start}");
        let taken = metrics.begin_command(1);
        taken.record_attempt();
        taken.record_result(CommandResult::Completed);
        taken.record_result(CommandResult::Failed);
        assert!(read().contains("lb.pending:1|g\r\nlb.members:5|g\r\nlb.members_unavailable:2|g\r\n"));
        drop(taken);
        drop(metrics.begin_command(0));
        metrics.begin_command(0).record_result(CommandResult::Rejected);
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
