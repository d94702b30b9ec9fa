//! A log that a flood of bad peers cannot fill: each line is a write that the program waits for.

use log::{Level, Log, Metadata, Record};
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// Warnings that pass in one second; they are what peers can cause as often as they like.
const WARNINGS: u32 = 20;

/// Passes everything on but warnings past the bound, which are counted.
pub struct BoundedLog<L> {
    to: L,
    /// When the second began, what passed in it and what did not.
    second: Mutex<(Instant, u32, u32)>,
}

impl<L: Log> BoundedLog<L> {
    /// One that passes on to another.
    pub fn new(to: L) -> BoundedLog<L> {
        BoundedLog { to, second: Mutex::new((Instant::now(), 0, 0)) }
    }

    /// Whether one more warning passes now, and how many did not before it.
    fn pass(&self, now: Instant) -> (bool, u32) {
        let Ok(mut second) = self.second.lock() else { return (true, 0) };
        let mut left_out = 0;
        if now >= second.0 + Duration::from_secs(1) {
            left_out = second.2;
            *second = (now, 0, 0);
        }
        let passes = second.1 < WARNINGS;
        if passes {
            second.1 += 1;
        } else {
            second.2 += 1;
        }
        (passes, left_out)
    }
}

impl<L: Log> Log for BoundedLog<L> {
    fn enabled(&self, metadata: &Metadata) -> bool {
        self.to.enabled(metadata)
    }

    fn log(&self, record: &Record) {
        if record.level() != Level::Warn || !self.enabled(record.metadata()) {
            return self.to.log(record);
        }
        let (passes, left_out) = self.pass(Instant::now());
        if left_out > 0 {
            let mut more = Record::builder();
            more.level(Level::Warn).target(record.target());
            self.to.log(&more.args(format_args!("{left_out} more warnings were left out")).build());
        }
        if passes {
            self.to.log(record);
        }
    }

    fn flush(&self) {
        self.to.flush();
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    struct Nowhere;

    impl Log for Nowhere {
        fn enabled(&self, _: &Metadata) -> bool {
            true
        }
        fn log(&self, _: &Record) {}
        fn flush(&self) {}
    }

    /// Guards against a flood whose warnings take all the time that the usual clients need.
    #[test]
    fn a_flood_of_warnings_is_counted_and_not_written() {
        let log = BoundedLog::new(Nowhere);
        let now = Instant::now();
        let passed = (0..1000).filter(|_| log.pass(now).0).count();
        assert_eq!(passed, WARNINGS as usize);
        assert_eq!(log.pass(now + Duration::from_secs(2)), (true, 1000 - WARNINGS));
        assert_eq!(log.pass(now + Duration::from_secs(2)), (true, 0));
    }
}
