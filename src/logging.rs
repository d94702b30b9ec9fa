//! The log: text or JSON lines on standard error, filtered by target, with a rate limit on warnings, so that misbehaving
//! peers cannot flood it: the program blocks on the write of each line.
//!
//! Guarantees that at most [`MAX_WARNINGS_PER_SECOND`] warnings a second are formatted and written; the others are counted, and
//! the count is written before the next line. Records of other levels are not limited: no peer can cause them often.

use crate::contracts::ledger::Reason;
use crate::contracts::row::Row;
use std::io::{self, Write};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tracing::{Event, Level, Metadata, Subscriber};
use tracing_subscriber::filter::Targets;
use tracing_subscriber::fmt::time::{FormatTime, SystemTime};
use tracing_subscriber::fmt::MakeWriter;
use tracing_subscriber::layer::{Context, Filter, SubscriberExt};
use tracing_subscriber::util::SubscriberInitExt;
use tracing_subscriber::Layer;

/// Log target of the records of the teams' accounts.
pub const ACCOUNT_TARGET: &str = "oakdeal::account";

/// Logs one row of a process's account, for `oakdeal contracts account` to read.
pub fn write_account(balancer: &str, started: u64, row: &Row) {
    tracing::info!(
        target: ACCOUNT_TARGET,
        balancer,
        started,
        team = &*row.team,
        held = row.held,
        contract = row.contract,
        stated = row.stated,
        asked = row.asked,
        within = row.within,
        borrowed = row.borrowed,
        served = row.served,
        lost = row.lost,
        moved = row.moved,
        ended = row.ended,
        refused_class = row.refused(Reason::Class),
        refused_rate = row.refused(Reason::Rate),
        refused_contract = row.refused(Reason::Contract),
        refused_budget = row.refused(Reason::Budget),
        refused_idle = row.refused(Reason::Idle),
        refused_share = row.refused(Reason::Share),
        refused_reclaim = row.refused(Reason::Reclaim),
        refused_full = row.refused(Reason::Full),
        refused_placement = row.refused(Reason::Placement),
        used_s = row.used,
        over_s = row.over,
        allowed_s = row.allowed,
        budget_left_s = row.left,
        budget_whole_in_s = row.whole_in,
        classes = &*row.classes,
        "account"
    );
}

/// Maximum number of warnings that are written in one second. Peers can cause warnings at any rate.
pub const MAX_WARNINGS_PER_SECOND: u32 = 20;

/// Format of the log's lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, clap::ValueEnum)]
pub enum Format {
    /// One line of text per record.
    #[default]
    Text,
    /// One JSON object per record.
    Json,
}

/// Warnings admitted and omitted in the current second.
#[derive(Debug)]
struct WarningWindow {
    started: Instant,
    admitted: u32,
    omitted: u32,
    /// Warnings omitted before this second that no line has reported yet.
    unreported: u32,
}

/// Rate limiter of warnings; clones share the counters.
#[derive(Clone, Debug)]
pub struct WarningLimiter(Arc<Mutex<WarningWindow>>);

impl WarningLimiter {
    /// Creates a limiter whose first second begins at `started`.
    pub fn new(started: Instant) -> WarningLimiter {
        WarningLimiter(Arc::new(Mutex::new(WarningWindow {
            started,
            admitted: 0,
            omitted: 0,
            unreported: 0,
        })))
    }

    /// Counts one more warning and returns whether it may be written.
    pub fn admit(&self, now: Instant) -> bool {
        let Ok(mut window) = self.0.lock() else { return true };
        if now >= window.started + Duration::from_secs(1) {
            let unreported = window.unreported + window.omitted;
            *window = WarningWindow { started: now, admitted: 0, omitted: 0, unreported };
        }
        let admits = window.admitted < MAX_WARNINGS_PER_SECOND;
        *(if admits { &mut window.admitted } else { &mut window.omitted }) += 1;
        admits
    }

    /// Returns the number of warnings omitted in past seconds that was not returned before.
    pub fn take_omitted(&self) -> u32 {
        self.0.lock().map_or(0, |mut window| std::mem::take(&mut window.unreported))
    }
}

impl<S: Subscriber> Filter<S> for WarningLimiter {
    fn enabled(&self, _: &Metadata<'_>, _: &Context<'_, S>) -> bool {
        true
    }

    fn event_enabled(&self, event: &Event<'_>, _: &Context<'_, S>) -> bool {
        *event.metadata().level() != Level::WARN || self.admit(Instant::now())
    }
}

/// Reports omitted warnings before the next record, in the same format.
struct Writer<W> {
    to: W,
    format: Format,
    limiter: WarningLimiter,
}

impl<'a, W: MakeWriter<'a>> MakeWriter<'a> for Writer<W> {
    type Writer = W::Writer;

    fn make_writer(&'a self) -> W::Writer {
        let mut to = self.to.make_writer();
        let omitted = self.limiter.take_omitted();
        if omitted > 0 {
            let mut at = String::new();
            // Errors are ignored: a failure to write the log cannot be reported anywhere.
            let _ = SystemTime.format_time(&mut tracing_subscriber::fmt::format::Writer::new(&mut at));
            let text = format!("{omitted} more warnings were left out");
            let _ = match self.format {
                Format::Text => writeln!(to, "{at}  WARN oakdeal: {text}"),
                Format::Json => writeln!(
                    to,
                    r#"{{"timestamp":"{at}","level":"WARN","fields":{{"message":"{text}","left_out":{omitted}}},"target":"oakdeal"}}"#
                ),
            };
        }
        to
    }
}

/// Returns a log layer that writes to `to`.
fn layer<S, W>(
    format: Format,
    filter: Targets,
    to: W,
    limiter: WarningLimiter,
) -> Box<dyn Layer<S> + Send + Sync>
where
    S: Subscriber + for<'a> tracing_subscriber::registry::LookupSpan<'a>,
    W: for<'a> MakeWriter<'a> + Send + Sync + 'static,
{
    use tracing_subscriber::filter::FilterExt;
    let writer = Writer { to, format, limiter: limiter.clone() };
    let layer = tracing_subscriber::fmt::layer().with_ansi(false).with_writer(writer);
    let filter = FilterExt::<S>::and(filter, limiter);
    match format {
        Format::Text => layer.with_filter(filter).boxed(),
        Format::Json => layer.json().with_current_span(false).with_filter(filter).boxed(),
    }
}

/// Starts the log on standard error. The filter has the format of `RUST_LOG`: `info`, or `oakdeal=debug,warn`.
pub fn start(format: Format, filter: &str) -> Result<(), String> {
    let filter: Targets = filter.parse().map_err(|e| format!("invalid log filter {filter:?}: {e}"))?;
    let layer = layer(format, filter, io::stderr, WarningLimiter::new(Instant::now()));
    tracing_subscriber::registry().with(layer).try_init().map_err(|e| format!("cannot start the log: {e}"))
}

#[cfg(test)]
mod tests {
    use super::*;

    #[derive(Clone, Default)]
    struct Output(Arc<Mutex<Vec<u8>>>);

    impl Write for Output {
        fn write(&mut self, data: &[u8]) -> io::Result<usize> {
            self.0.lock().unwrap().extend_from_slice(data);
            Ok(data.len())
        }
        fn flush(&mut self) -> io::Result<()> {
            Ok(())
        }
    }

    /// Guards against a flood of warnings that takes the time needed to serve other clients.
    #[test]
    fn warnings_over_the_limit_are_counted_and_not_written() {
        let now = Instant::now();
        let limiter = WarningLimiter::new(now);
        let admitted = (0..1000).filter(|_| limiter.admit(now)).count();
        assert_eq!(admitted, MAX_WARNINGS_PER_SECOND as usize);
        assert_eq!(limiter.take_omitted(), 0, "the second is not over");
        assert!(limiter.admit(now + Duration::from_secs(2)));
        assert_eq!((limiter.take_omitted(), limiter.take_omitted()), (1000 - MAX_WARNINGS_PER_SECOND, 0));
    }

    /// Guards against lines that are not valid JSON, including the limiter's own.
    #[test]
    fn json_lines_are_valid_and_report_omitted_warnings() {
        let (output, now) = (Output::default(), Instant::now());
        let (to, limiter) = (output.clone(), WarningLimiter::new(now));
        assert_eq!((0..50).filter(|_| limiter.admit(now)).count(), MAX_WARNINGS_PER_SECOND as usize);
        assert!(limiter.admit(now + Duration::from_secs(2)));
        let layer = layer(Format::Json, "info".parse().unwrap(), move || to.clone(), limiter);
        tracing::subscriber::with_default(tracing_subscriber::registry().with(layer), || {
            tracing::debug!("filtered");
            (0..50).for_each(|i| tracing::warn!(i, "flood"));
        });
        let text = String::from_utf8(output.0.lock().unwrap().clone()).unwrap();
        let lines: Vec<serde_json::Value> = text.lines().map(|l| serde_json::from_str(l).unwrap()).collect();
        // Includes the line that reports the omissions; one warning of this second was counted above.
        assert_eq!(lines.len(), MAX_WARNINGS_PER_SECOND as usize, "{text}");
        assert_eq!(lines[0]["fields"]["left_out"], 30);
        assert_eq!(lines[1]["fields"]["message"], "flood");
    }
}
