//! The list of servers as a node holds it: how its updates are applied, and when discovery is asked for the next one.
//!
//! Guarantees: after a failure of discovery a timer is set, and when it expires a watch is requested, whatever lists arrive
//! meanwhile; at most one watch is requested until discovery fails. The requests of a fleet are spread over the time that
//! discovery needs for all of them.

use super::*;

/// Time that one request for the list keeps discovery busy. A request that waits too long fails, but
/// discovery processes it all the same.
const POLL_SERVICE_TIME: Micros = 60_000;
/// Longest time over which a fleet spreads its requests for the list: 6 s after discovery received a change
/// the node counts as notified, whether or not the change arrived, and the request itself takes time.
const MAX_POLL_SPREAD: Micros = 5_000_000;
/// Shortest step between two requests for the list to a polled discovery service, and the longest between two
/// to an agent that pushes changes.
const POLL_RETRY_STEP: Micros = 250_000;
/// Shortest step between two requests for the list to an agent that pushes changes.
const MIN_AGENT_RETRY_STEP: Micros = 20_000;

impl PlacementPolicy {
    /// Applies an update of the list; schedules the next request for it where discovery has to be asked.
    pub(super) fn update_members(
        &mut self,
        now: Micros,
        kind: ListKind,
        entries: Vec<Entry>,
        out: &mut Vec<Action>,
    ) {
        if kind == ListKind::Failed {
            self.watch_requested = false;
            self.poll_failures += 1;
            let wait = self.poll_retry_step().min(POLL_RETRY_STEP) / 2
                + self.random() % self.poll_retry_step().max(self.poll_spread());
            let at = now + wait.min(self.latest_poll());
            return out.push(Action::Timer { at, token: POLL_TIMER });
        }
        let (mut joined, only_drains_bind) = (Vec::new(), self.settings.rules.unlisted_hosts_usable);
        let unproven = self.settings.limits.probes && !self.hosts.is_empty();
        let plan_by_size = self.settings.weights_are_sizes && !self.settings.message_delays_reported;
        let peers = f64::from(self.settings.peers_total.max(1));
        if kind != ListKind::Changes {
            let listed: BTreeSet<HostId> = entries.iter().map(|e| e.host).collect();
            let left: Vec<HostId> = self.hosts.keys().copied().filter(|h| !listed.contains(h)).collect();
            left.into_iter().for_each(|host| self.mark_unlisted(now, host));
        }
        for mut entry in entries {
            let tokens = self.initial_cold_tokens();
            if entry.state == HostState::Gone {
                self.mark_unlisted(now, entry.host);
                continue;
            }
            let host = self.hosts.entry(entry.host).or_insert_with(|| {
                joined.push(entry.host);
                Host { unproven, ..Host::new(entry.clone(), now, tokens) }
            });
            let restarted = host.entry.ready_at != entry.ready_at;
            if only_drains_bind && host.entry.state == HostState::Draining && !restarted {
                // Only a restart ends a drain: a list that now calls the host ready is in error.
                entry.state = HostState::Draining;
            }
            if host.entry.state != entry.state {
                host.state_since = now;
            }
            host.unlisted_since = None;
            if restarted {
                // Restarted under the same id: what was learned about the old process no longer applies.
                (host.failures, host.ejected_until) = (0, now);
                (host.learned_ceiling, host.cold_tokens) = ((f64::INFINITY, now), (tokens, now));
            }
            host.entry = entry;
            if plan_by_size && host.entry.weight > 0.0 {
                host.planned_load = PLANNED_UTILIZATION * host.entry.weight * MICROS_PER_SECOND / peers;
            }
        }
        if only_drains_bind {
            self.limit_unlisted();
        }
        self.add_to_ring(&joined);
        self.totals.at = None;
        if kind != ListKind::Cached {
            self.poll_failures = 0;
        } else if self.settings.discovery == Discovery::Asked {
            // All nodes may have started at once, so their requests are spread.
            match self.random() % (self.poll_spread() + 1) {
                0 => self.request_watch(out),
                wait => out.push(Action::Timer { at: now + wait, token: POLL_TIMER }),
            }
        }
    }

    /// Returns the time between two requests for the list. Where a local agent pushes changes, the node
    /// counts as notified of all that the agent has, so the step is short enough for a drain.
    fn poll_retry_step(&self) -> Micros {
        match self.settings.discovery {
            Discovery::Asked => POLL_RETRY_STEP << self.poll_failures.min(2),
            Discovery::Pushed => {
                (self.settings.rules.drain_grace / 4).clamp(MIN_AGENT_RETRY_STEP, POLL_RETRY_STEP)
            }
        }
    }

    /// Returns the time over which the fleet spreads its requests for the list: as long as discovery, one
    /// service for all nodes, takes to answer every other node once, up to `MAX_POLL_SPREAD`.
    fn poll_spread(&self) -> Micros {
        let all = if self.settings.discovery == Discovery::Pushed { 1 } else { self.settings.peers_total };
        u64::from(all.saturating_sub(1))
            .saturating_mul(POLL_SERVICE_TIME)
            .min(MAX_POLL_SPREAD)
            .min(self.latest_poll())
    }

    /// Returns the longest wait before a request for the list: four fifths of the allowed interval, so that
    /// the request is still in time.
    fn latest_poll(&self) -> Micros {
        self.settings.max_poll_interval.map_or(Micros::MAX / 4, |most| most / 10 * 8)
    }

    /// Requests a watch of the list, unless one was requested and discovery has not failed since. A list that arrives
    /// meanwhile does not count as a watch: after a change of discovery's address it may come from an earlier one.
    pub(super) fn request_watch(&mut self, out: &mut Vec<Action>) {
        if !std::mem::replace(&mut self.watch_requested, true) {
            out.push(Action::Watch);
        }
    }

    /// Handles a host that the list calls gone or leaves out. Where only drains bind, the list is not proof:
    /// the host keeps its points, counts and ceiling, and this node's own attempts decide (`record_failure`).
    fn mark_unlisted(&mut self, now: Micros, host: HostId) {
        if !self.settings.rules.unlisted_hosts_usable {
            return self.remove_host(host);
        }
        if let Some(h) = self.hosts.get_mut(&host) {
            h.unlisted_since.get_or_insert(now);
        }
    }

    /// Removes the hosts that have been unlisted longest, so that no more are kept than were ever listed at a
    /// time.
    fn limit_unlisted(&mut self) {
        let left = self.hosts.iter().filter_map(|(&id, h)| h.unlisted_since.map(|at| (at, id)));
        let mut left: Vec<(Micros, HostId)> = left.collect();
        self.most_listed = self.most_listed.max(self.hosts.len() - left.len());
        left.sort_unstable();
        let over = left.len().saturating_sub(self.most_listed);
        left[..over].iter().for_each(|&(_, host)| self.remove_host(host));
    }

    fn remove_host(&mut self, host: HostId) {
        if let Some(gone) = self.hosts.remove(&host) {
            self.tally.groups -= gone.tally.groups;
        }
    }
}
