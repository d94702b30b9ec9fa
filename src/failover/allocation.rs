//! How a zone's clients are shared out over the zones: class by class, the worthiest first, near before far.
//!
//! Invariant: no zone is allocated more than its capacity, also while some balancers follow a plan and some the one before it.

/// What an allocation is made from, in connections.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct AllocationInput {
    /// Zones, sorted.
    pub zones: Vec<String>,
    /// Classes, the worthiest first.
    pub classes: Vec<String>,
    /// By the zone that clients come from and class: what they want.
    pub demand: Vec<Vec<f64>>,
    /// By zone: what it carries.
    pub capacity: Vec<f64>,
    /// From zone, to zone: which part of the demand or the capacity may go there, in 0..=1.
    pub open: Vec<Vec<f64>>,
    /// What the plan before gives, by zone, class and zone; it is still followed by some.
    pub previously_allocated: Vec<Vec<Vec<f64>>>,
    /// By zone: what stands there now. Some of it may be of plans before the last: who is refused by a later one is not cut off.
    pub established: Vec<f64>,
}

/// By zone, class and zone: what goes where.
pub type Allocation = Vec<Vec<Vec<f64>>>;

/// What each zone should be allocated in the end: class by class from the worthiest on, each zone's own first, then to the nearest that
/// has room.
pub fn target_allocation(input: &AllocationInput, distance: impl Fn(usize, usize) -> u32) -> Allocation {
    let (n, m) = (input.zones.len(), input.classes.len());
    let mut left = input.capacity.clone();
    let mut way: Vec<Vec<f64>> = (0..n)
        .map(|f| {
            (0..n)
                .map(|t| input.open[f][t] * input.capacity[t].min(input.demand[f].iter().sum::<f64>()))
                .collect()
        })
        .collect();
    let mut amounts = vec![vec![vec![0.0; n]; m]; n];
    let mut pairs: Vec<(usize, usize)> = (0..n).flat_map(|f| (0..n).map(move |t| (f, t))).collect();
    pairs.sort_by_key(|&(f, t)| (distance(f, t), f, t));
    for (c, &(f, t)) in (0..m).flat_map(|c| pairs.iter().map(move |pair| (c, pair))) {
        let wanted = input.demand[f][c] - amounts[f][c].iter().sum::<f64>();
        let most = wanted.min(left[t]).min(way[f][t]).max(0.0);
        amounts[f][c][t] = most;
        left[t] -= most;
        way[f][t] -= most;
    }
    amounts
}

/// What each zone is allocated now, while some follow the plan before: of its target each has what it had, and more only out of what
/// the plan before and all that stands leave free. Who cannot go to the new zone yet stays at the old one, unless others wait for that room.
pub fn staged_allocation(input: &AllocationInput, distance: impl Fn(usize, usize) -> u32) -> Allocation {
    let target = target_allocation(input, distance);
    if input.previously_allocated.is_empty() {
        return target;
    }
    let (n, m) = (input.zones.len(), input.classes.len());
    let previous = |t: usize| input.previously_allocated.iter().flatten().map(|to| to[t]).sum::<f64>();
    let taken = |t: usize| previous(t).max(input.established[t]);
    let mut free: Vec<f64> = (0..n).map(|t| (input.capacity[t] - taken(t)).max(0.0)).collect();
    let (mut now, mut waits) = (target.clone(), vec![0.0; n]);
    let all = || (0..m).flat_map(move |c| (0..n).flat_map(move |f| (0..n).map(move |t| (f, c, t))));
    for (f, c, t) in all() {
        let kept_there = target[f][c][t].min(input.previously_allocated[f][c][t]);
        let more = (target[f][c][t] - kept_there).min(free[t]);
        now[f][c][t] = kept_there + more;
        free[t] -= more;
        waits[t] += target[f][c][t] - kept_there - more;
    }
    let mut left: Vec<f64> =
        (0..n).map(|t| input.capacity[t] - now.iter().flatten().map(|to| to[t]).sum::<f64>()).collect();
    for (f, c, t) in all().filter(|&(_, _, t)| waits[t] <= 0.0) {
        let unserved = target[f][c].iter().sum::<f64>() - now[f][c].iter().sum::<f64>();
        let kept = (input.previously_allocated[f][c][t] - now[f][c][t]).min(unserved).min(left[t]).max(0.0);
        // Not where it no longer may go.
        if input.open[f][t] > 0.0 {
            now[f][c][t] += kept;
            left[t] -= kept;
        }
    }
    now
}
