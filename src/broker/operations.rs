//! What operators may ask of a running balancer, whatever door they come through.

use super::drain::ShuttingDown;
use super::Broker;
use std::rc::Rc;

/// The broker as operators see it.
#[derive(Clone)]
pub struct Operations(Rc<Broker>);

impl Operations {
    /// That of this broker.
    pub fn new(broker: Rc<Broker>) -> Operations {
        Operations(broker)
    }

    /// Whether this process is ready to serve.
    pub fn ready(&self) -> bool {
        self.0.drain.borrow().is_serving()
    }

    /// All figures, a line each.
    pub fn metrics(&self) -> String {
        self.0.metrics.lines(self.0.names.classes(), self.0.member_counts())
    }

    /// Takes it out: new clients are not wanted, and those that stand are asked to come again.
    pub fn leave(&self) {
        if self.0.drain.borrow_mut().start_drain(self.0.now()) {
            tracing::info!("draining: {} connections are asked to come again", self.0.active_commands());
            self.0.drain_started.notify_one();
        }
    }

    /// Takes it back to work; not once the program is to end.
    pub fn join(&self) -> Result<(), ShuttingDown> {
        if self.0.drain.borrow_mut().join()? {
            tracing::info!("back to work with {} connections in hand", self.0.active_commands());
        }
        Ok(())
    }
}
