//! Operator commands to a running balancer, independent of the interface that they arrive at.

use super::drain::ShuttingDown;
use super::Broker;
use std::rc::Rc;

/// Operator access to a broker.
#[derive(Clone)]
pub struct Operations(Rc<Broker>);

impl Operations {
    /// Creates the operator access to this broker.
    pub fn new(broker: Rc<Broker>) -> Operations {
        Operations(broker)
    }

    /// Returns whether this process is ready to serve.
    pub fn ready(&self) -> bool {
        self.0.drain.borrow().is_serving()
    }

    /// Returns all metrics, one line each.
    pub fn metrics(&self) -> String {
        let broker = &self.0;
        let commands = broker.metrics.lines(broker.names.classes(), broker.member_counts());
        commands + &broker.discovery_metrics.lines(broker.now(), broker.list_version())
    }

    /// Starts a drain: health checks get a negative answer, and clients of established connections are asked to
    /// reconnect.
    pub fn leave(&self) {
        if self.0.drain.borrow_mut().start_drain(self.0.now()) {
            tracing::info!(
                "draining: clients of {} connections are asked to reconnect",
                self.0.active_commands()
            );
            self.0.drain_started.notify_one();
        }
    }

    /// Ends a drain, so that the balancer serves again. Fails if the process is shutting down.
    pub fn join(&self) -> Result<(), ShuttingDown> {
        if self.0.drain.borrow_mut().join()? {
            tracing::info!("serving again with {} open connections", self.0.active_commands());
        }
        Ok(())
    }
}
