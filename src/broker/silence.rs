//! Silence of an instance on an established connection, one rule for every front: which messages of the client the
//! instance has not answered, when to look at them again, and when the connection is to be ended. A client that waits
//! for nothing is never cut off for silence.

use super::Broker;
use crate::api::{Event, HostId, Micros};
use std::cell::RefCell;
use std::collections::VecDeque;
use std::rc::Rc;
use tokio::sync::Notify;

/// A connection on which an instance returns nothing for a message is ended after this time. The instance may have
/// stopped up to two seconds before the message, and the connection must be ended within seven seconds of the stop.
pub const SILENCE_TIMEOUT: Micros = 4_500_000;
/// The same limit while the instance returns messages on other connections: then only this connection has stopped.
const SINGLE_SILENCE_TIMEOUT: Micros = 3_000_000;
/// Interval at which an unanswered message is checked.
const CHECK_INTERVAL: Micros = 1_000_000;
/// Shortest silence that is reported, and shortest time between two reports of slow messages for one instance, as the
/// decision module's `DelayNote` expects.
pub(super) const SLOW_REPORT_INTERVAL: Micros = 1_000_000;
/// Most messages whose answer is timed at once; further ones are relayed without timing.
const MAX_TIMED_MESSAGES: usize = 64;

/// Watches one established connection for silence of its instance.
pub struct SilenceMonitor {
    broker: Rc<Broker>,
    /// The instance; `None` if the attempt has ended.
    instance: Option<HostId>,
    pending: RefCell<PendingMessages>,
    /// Notifies [`SilenceMonitor::exceeded`] of a new message.
    message_sent: Notify,
}

/// The messages that the instance has not answered.
struct PendingMessages {
    /// Times at which they were received from the client, oldest first.
    sent_at: VecDeque<Micros>,
    last_check: Micros,
}

impl SilenceMonitor {
    /// Returns a monitor of a connection on which nothing is unanswered.
    pub(super) fn new(broker: Rc<Broker>, instance: Option<HostId>) -> SilenceMonitor {
        let pending = PendingMessages { sent_at: VecDeque::new(), last_check: broker.now() };
        SilenceMonitor { broker, instance, pending: RefCell::new(pending), message_sent: Notify::new() }
    }

    /// Records a message of the client that a working instance answers at once.
    pub fn record_sent(&self, now: Micros) {
        let mut pending = self.pending.borrow_mut();
        if pending.sent_at.len() < MAX_TIMED_MESSAGES {
            pending.sent_at.push_back(now);
            self.message_sent.notify_one();
        }
    }

    /// Records the answer to the oldest unanswered message.
    pub fn record_answer(&self, now: Micros) {
        let answered = self.pending.borrow_mut().sent_at.pop_front();
        if let Some(sent_at) = answered {
            self.report_returned_message(now.saturating_sub(sent_at));
        }
    }

    /// Records that the instance has sent something at this time, which answers all earlier messages. For protocols in
    /// which answers may come in another order, or be left out.
    pub fn record_activity(&self, at: Micros) {
        let mut pending = self.pending.borrow_mut();
        let Some(oldest) = pending.sent_at.front().copied().filter(|&sent_at| sent_at <= at) else { return };
        pending.sent_at.retain(|&sent_at| sent_at > at);
        drop(pending);
        self.report_returned_message(at.saturating_sub(oldest));
    }

    /// Returns when [`SilenceMonitor::check`] is due; `None` while nothing is unanswered.
    pub fn next_check(&self) -> Option<Micros> {
        let pending = self.pending.borrow();
        let oldest = *pending.sent_at.front()?;
        Some((pending.last_check.max(oldest) + CHECK_INTERVAL).min(oldest + SILENCE_TIMEOUT))
    }

    /// Reports a silence, if there is one. Returns whether the connection is to be ended for it.
    pub fn check(&self, now: Micros) -> bool {
        let oldest = {
            let mut pending = self.pending.borrow_mut();
            pending.last_check = now;
            pending.sent_at.front().copied()
        };
        let Some(oldest) = oldest else { return false };
        let silence = now.saturating_sub(oldest);
        let is_exceeded = self.report_silence(silence);
        if is_exceeded {
            tracing::info!("a connection brought nothing back for {} ms: moved", silence / 1000);
        }
        is_exceeded
    }

    /// Completes when the connection is to be ended for silence. `last_activity` returns when the instance last sent
    /// anything, also a part of a message.
    pub async fn exceeded(&self, last_activity: impl Fn() -> Micros) {
        loop {
            let next_check = self.next_check().unwrap_or(Micros::MAX);
            tokio::select! {
                () = self.broker.sleep_until(next_check) => {
                    self.record_activity(last_activity());
                    if self.check(self.broker.now()) {
                        return;
                    }
                }
                () = self.message_sent.notified() => {}
            }
        }
    }

    /// Reports that a message has had no reply for this time span, and returns whether its connection is to be ended.
    /// Unless the instance returned messages on other connections meanwhile, the decision module is notified, at most
    /// once per second and instance.
    fn report_silence(&self, span: Micros) -> bool {
        let Some(host) = self.instance else { return true };
        let now = self.broker.now();
        {
            let mut state = self.broker.state.borrow_mut();
            let Some(instance) = state.instances.get_mut(host) else { return span >= SILENCE_TIMEOUT };
            if instance.last_message_at > now.saturating_sub(span) {
                // The instance works: the fault is in this connection, and no reason to avoid the instance.
                return span >= SINGLE_SILENCE_TIMEOUT;
            }
            if span < SLOW_REPORT_INTERVAL
                || instance
                    .slow_reported_at
                    .is_some_and(|reported| now < reported.saturating_add(SLOW_REPORT_INTERVAL))
            {
                return span >= SILENCE_TIMEOUT;
            }
            instance.slow_reported_at = Some(now);
        }
        self.broker.handle_event(Event::DelayNote { host, delay: span });
        span >= SILENCE_TIMEOUT
    }

    /// Reports that a message came back after this time span. The decision module is notified only if a silence was
    /// reported to it before. The span says nothing else about the instance: an instance returns a message at once even
    /// with a long queue of work, so other delays arise in this process.
    fn report_returned_message(&self, span: Micros) {
        let Some(host) = self.instance else { return };
        {
            let mut state = self.broker.state.borrow_mut();
            let Some(instance) = state.instances.get_mut(host) else { return };
            instance.last_message_at = self.broker.now();
            if instance.slow_reported_at.take().is_none() {
                return;
            }
        }
        self.broker.handle_event(Event::DelayNote { host, delay: span });
    }
}
