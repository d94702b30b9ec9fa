//! What the holders of tasks do beside acting: the fleet's account and the plan for zones. Each tells the holder what it knows;
//! the holder proposes to the record, and what the record takes is what counts.

use super::folder::Keep;
use super::member::{Asked, Event, Member};
use super::record::Command;
use super::words::{Report, Wish, Words};
use super::ACCOUNT_TASK;
use crate::api::Micros;
use crate::contracts::row::Row;
use crate::failover::evidence::Digest;
use crate::failover::plan;
use crate::failover::TASK as FAILOVER;

/// The target of the log line for each plan that is proposed.
const PROPOSALS: &str = "oakdeal::proposals";
/// Rows in one report.
const ROWS: usize = 32;

impl<K: Keep> Member<K> {
    /// Who holds a task by the record.
    fn holder(&self, task: &str) -> Option<String> {
        let lease = self.record().leases.get(task)?;
        lease.holder.as_deref()?.split('#').next().map(String::from)
    }

    /// What was counted here since the start, for whoever writes the account.
    pub fn count(&mut self, now: Micros, rows: &[Row]) {
        let (Some(holder), me) = (self.holder(ACCOUNT_TASK), self.peers.me().clone()) else { return };
        for rows in rows.chunks(ROWS) {
            let report = Report { balancer: me.name.clone(), started: me.started, rows: rows.to_vec() };
            match holder == me.name {
                true => self.book.take(now, report),
                false => self.say(&holder, &Words::Report(report)),
            }
        }
    }

    /// A page's number is decided: its rows are written if the task is still ours, and by nobody otherwise.
    pub(super) fn write(&mut self, now: Micros, page: u64) {
        let Some(token) = self.acts(now, ACCOUNT_TASK) else { return };
        let members: Vec<String> = self.peers.members().into_iter().map(|m| m.name).collect();
        let page = self.book.page(now, page, token, &members, self.duties.account);
        self.report_under(ACCOUNT_TASK, token, Event::Page(page));
    }

    pub(super) fn page(&mut self, now: Micros) {
        let Some(token) = self.acts(now, ACCOUNT_TASK).filter(|_| now >= self.paged + self.duties.account)
        else {
            return;
        };
        self.paged = now;
        let page = self.record().pages + 1;
        let command = Command::Page { task: ACCOUNT_TASK.into(), token, page };
        self.wish(Wish::Change(command), Some(Asked::Page(page)));
    }

    /// What is seen of the zones here, for whoever makes the plan.
    pub fn see(&mut self, now: Micros, digest: Digest) {
        match self.holder(FAILOVER) {
            Some(holder) if holder == self.peers.me().name => self.seen(now, digest),
            Some(holder) => self.say(&holder, &Words::Digest(digest)),
            None => {}
        }
    }

    /// A digest came.
    pub(super) fn seen(&mut self, now: Micros, digest: Digest) {
        let Some(token) = self.acts(now, FAILOVER) else { return };
        let Some(planner) = &mut self.planner else { return };
        planner.take(now, digest.clone());
        self.report_under(FAILOVER, token, Event::Seen(digest));
    }

    /// Makes the plan, where that is its task.
    pub(super) fn plan(&mut self, now: Micros) {
        let acts = self.acts(now, FAILOVER);
        let record = self.record();
        let (old, orders) = (record.plan.clone(), record.orders.clone());
        let Some(planner) = &mut self.planner else { return };
        let Some(token) = acts else { return planner.rest() };
        let (put, over) = planner.turn(now, old.as_ref(), &orders);
        if let Some(plan) = put {
            let (serial, renewed) = (plan.serial, plan.renewed);
            tracing::debug!(target: PROPOSALS, serial, renewed, to = self.asks(), "a plan is proposed");
            if old.as_ref().is_none_or(|old| old.serial != plan.serial) {
                self.report_under(FAILOVER, token, Event::Planned(plan.clone()));
            }
            self.wish(Wish::Change(Command::Plan { task: FAILOVER.into(), token, plan }), None);
        }
        for (zone, number) in over.iter().filter_map(|zone| Some((zone, orders.get(zone)?.number))) {
            self.wish(Wish::Change(Command::Ended { zone: zone.clone(), number }), None);
        }
    }

    /// An operator wants something of a zone, or nothing any more.
    pub fn order(&mut self, zone: &str, wish: Option<plan::Wish>, lasts_ms: u64) {
        self.wish(Wish::Change(Command::Order { zone: zone.into(), wish, lasts_ms }), None);
    }

    /// The zones as the record has them, a line each; whoever makes the plan knows who follows which.
    pub fn show_zones(&self, now: Micros) -> String {
        use std::fmt::Write as _;
        let (record, mut text) = (self.record(), String::new());
        let Some(plan) = &record.plan else { return "no plan\r\n".into() };
        let holder = self.holder(FAILOVER).unwrap_or("nobody".into());
        let _ = write!(text, "plan {} renewed={} by={holder}\r\n", plan.serial, plan.renewed);
        for (name, zone) in &plan.zones {
            let (state, then) = (zone.state.name(), zone.then.as_deref().unwrap_or("none"));
            let (since, room, part, why) = (zone.since, zone.room, f64::from(zone.part) / 10.0, &zone.why);
            let _ = write!(
                text,
                "zone {name} {state} since={since} room={room} then={then} part={part:.1}% why={why:?}\r\n"
            );
            for (class, shares) in &zone.shares {
                let of: Vec<String> =
                    shares.iter().map(|(to, n)| format!(" {to}={:.1}%", f64::from(*n) / 10.0)).collect();
                let _ = write!(text, "share {name} {class}{}\r\n", of.concat());
            }
        }
        for (zone, order) in &record.orders {
            let _ = write!(text, "order {zone} {:?} for={}s\r\n", order.wish, order.lasts_ms / 1_000);
        }
        if let Some(planner) = self.planner.as_ref().filter(|_| self.acts(now, FAILOVER).is_some()) {
            for (serial, names) in planner.followers() {
                let serial = serial.map_or("none".into(), |serial| serial.to_string());
                let _ = write!(text, "follows {serial}: {}\r\n", names.join(" "));
            }
        }
        text
    }
}
