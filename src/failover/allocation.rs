//! Allocation of each zone's clients to zones: class by class, the most valuable class first, near zones before far ones.
//!
//! Invariant: no zone is allocated more than its capacity, even while some balancers follow a plan and others the previous one.

/// Input of an allocation, in connections.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct AllocationInput {
    /// Names of the zones, sorted.
    pub zones: Vec<String>,
    /// Names of the classes, the most valuable first.
    pub classes: Vec<String>,
    /// Demand by the zone that clients come from and by class.
    pub demand: Vec<Vec<f64>>,
    /// Capacity by zone.
    pub capacity: Vec<f64>,
    /// Share of the demand or the capacity that may go there, in 0..=1, by source zone and destination zone.
    pub open: Vec<Vec<f64>>,
    /// Allocation of the previous plan, which some balancers still follow, by source zone, class and destination zone.
    pub previously_allocated: Vec<Vec<Vec<f64>>>,
    /// Established connections by zone. Some may date from plans before the previous one, since a plan that refuses a client
    /// does not close its connection.
    pub established: Vec<f64>,
}

/// Connections by source zone, class and destination zone.
pub type Allocation = Vec<Vec<Vec<f64>>>;

/// Returns the final allocation: class by class from the most valuable on, each zone's own clients first, then the clients of
/// others in the nearest zone with free capacity.
pub fn target_allocation(input: &AllocationInput, distance: impl Fn(usize, usize) -> u32) -> Allocation {
    let (n, m) = (input.zones.len(), input.classes.len());
    let mut remaining = input.capacity.clone();
    let mut path_limit: Vec<Vec<f64>> = (0..n)
        .map(|f| {
            (0..n)
                .map(|t| input.open[f][t] * input.capacity[t].min(input.demand[f].iter().sum::<f64>()))
                .collect()
        })
        .collect();
    let mut allocation = vec![vec![vec![0.0; n]; m]; n];
    let mut paths: Vec<(usize, usize)> = (0..n).flat_map(|f| (0..n).map(move |t| (f, t))).collect();
    paths.sort_by_key(|&(f, t)| (distance(f, t), f, t));
    for (c, &(f, t)) in (0..m).flat_map(|c| paths.iter().map(move |path| (c, path))) {
        let unserved = input.demand[f][c] - allocation[f][c].iter().sum::<f64>();
        let amount = unserved.min(remaining[t]).min(path_limit[f][t]).max(0.0);
        allocation[f][c][t] = amount;
        remaining[t] -= amount;
        path_limit[f][t] -= amount;
    }
    allocation
}

/// Returns the allocation that is safe while some balancers still follow the previous plan. Each share keeps what it had of its
/// target and grows only into capacity that neither the previous plan nor established connections use. Clients that cannot go to
/// their new zone yet stay in the old one, unless others wait for that capacity.
pub fn staged_allocation(input: &AllocationInput, distance: impl Fn(usize, usize) -> u32) -> Allocation {
    let target = target_allocation(input, distance);
    if input.previously_allocated.is_empty() {
        return target;
    }
    let (n, m) = (input.zones.len(), input.classes.len());
    let previous_total = |t: usize| input.previously_allocated.iter().flatten().map(|to| to[t]).sum::<f64>();
    let used = |t: usize| previous_total(t).max(input.established[t]);
    let mut free: Vec<f64> = (0..n).map(|t| (input.capacity[t] - used(t)).max(0.0)).collect();
    let (mut staged, mut waiting) = (target.clone(), vec![0.0; n]);
    let indices = || (0..m).flat_map(move |c| (0..n).flat_map(move |f| (0..n).map(move |t| (f, c, t))));
    for (f, c, t) in indices() {
        let retained = target[f][c][t].min(input.previously_allocated[f][c][t]);
        let added = (target[f][c][t] - retained).min(free[t]);
        staged[f][c][t] = retained + added;
        free[t] -= added;
        waiting[t] += target[f][c][t] - retained - added;
    }
    let mut remaining: Vec<f64> =
        (0..n).map(|t| input.capacity[t] - staged.iter().flatten().map(|to| to[t]).sum::<f64>()).collect();
    for (f, c, t) in indices().filter(|&(_, _, t)| waiting[t] <= 0.0) {
        let unserved = target[f][c].iter().sum::<f64>() - staged[f][c].iter().sum::<f64>();
        let retained =
            (input.previously_allocated[f][c][t] - staged[f][c][t]).min(unserved).min(remaining[t]).max(0.0);
        // A path that has closed keeps nothing.
        if input.open[f][t] > 0.0 {
            staged[f][c][t] += retained;
            remaining[t] -= retained;
        }
    }
    staged
}
