//! Counters and gauges for operators, from the start of the process.
//!
//! Guaranteed: a command counts as pending from its arrival until it is refused, fails or its established connection
//! ends, and is counted under exactly one result. Not counted: connections whose first line cannot be read, since they
//! name no class.

use std::cell::{Cell, RefCell};
use std::fmt::Write;
use std::rc::Rc;

/// The result of a command for its service client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CommandResult {
    /// Established.
    Completed,
    /// Refused; the client may retry.
    Rejected,
    /// Failed, or the client left before its answer.
    Failed,
}

#[derive(Clone, Copy, Default)]
struct Counts {
    completed: u64,
    rejected: u64,
    failed: u64,
    attempts: u64,
}

/// Current numbers of instances.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct MemberCounts {
    /// Instances on the list.
    pub listed: usize,
    /// Listed instances that accept no new connections now.
    pub unavailable: usize,
}

/// All counters and gauges of the balancer.
#[derive(Default)]
pub struct Metrics {
    classes: RefCell<Vec<Counts>>,
    pending: Cell<usize>,
}

impl Metrics {
    /// Creates metrics for this number of classes.
    pub fn new(classes: usize) -> Rc<Metrics> {
        Rc::new(Metrics { classes: RefCell::new(vec![Counts::default(); classes]), pending: Cell::new(0) })
    }

    fn update_counts(&self, class: usize, change: impl FnOnce(&mut Counts)) {
        // Every class is within the range: the front ends refuse a class that the settings do not name.
        if let Some(counts) = self.classes.borrow_mut().get_mut(class) {
            change(counts);
        }
    }

    /// Counts a new command of a class as pending.
    pub fn begin_command(self: &Rc<Self>, class: usize) -> CommandMetrics {
        self.pending.set(self.pending.get() + 1);
        CommandMetrics { metrics: self.clone(), class, result: Cell::new(None) }
    }

    /// Returns all metrics as text, one line each.
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

/// The metrics of one command, which counts as pending at most until this is dropped.
pub struct CommandMetrics {
    metrics: Rc<Metrics>,
    class: usize,
    result: Cell<Option<CommandResult>>,
}

impl CommandMetrics {
    /// Records the result; only the first one counts. An established command stays pending until this is dropped.
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

    /// Counts an attempt that was sent completely to an instance.
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

    /// Guards against a command that is counted twice or not at all, and a metric that is missing until its first
    /// count.
    #[test]
    fn each_command_has_one_result_and_every_class_is_listed_from_the_start() {
        let metrics = Metrics::new(2);
        let names = ["chat".to_string(), "watch".to_string()];
        let members = MemberCounts { listed: 5, unavailable: 2 };
        let read = || metrics.lines(&names, members);
        let start = read();
        assert_eq!(start.lines().count(), 11);
        assert!(start.lines().take(8).all(|line| line.ends_with(":0|c")), "{start}");
        let command = metrics.begin_command(1);
        command.record_attempt();
        command.record_result(CommandResult::Completed);
        command.record_result(CommandResult::Failed);
        assert!(read().contains("lb.pending:1|g\r\nlb.members:5|g\r\nlb.members_unavailable:2|g\r\n"));
        drop(command);
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
