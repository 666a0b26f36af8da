//! Simple rules that decide by late counts and load reports as they are, for comparison with the
//! router's.

/// Number of targets that [`max_load`] sends requests to.
pub(crate) const CHOICE_TARGETS: usize = 20;
/// Number of hosts that send the requests in turn.
pub(crate) const CHOICE_HOSTS: usize = 8;
/// Number of requests sent.
pub(crate) const CHOICE_REQUESTS: u32 = 1_600;

/// Starts items in all slots that are free by the known counts.
pub(crate) fn naive_start(capacity: u32, known: u32, own: &mut u32) {
    *own += capacity.saturating_sub(known + *own);
}

/// Cancels a part of the excess in proportion to this host's share of the known items.
pub(crate) fn naive_cancel(capacity: u32, known: u32, own: &mut u32) {
    let total = known + *own;
    *own -= (total.saturating_sub(capacity) * *own).div_ceil(total);
}

/// Takes the target with the lowest reported load.
pub(crate) fn naive_choice(reports: &[u32]) -> usize {
    let lowest = reports.iter().enumerate().min_by_key(|(_, load)| **load);
    lowest.map(|(index, _)| index).unwrap()
}

/// Largest number of requests at one target when `choice` selects each request's target and load
/// reports are updated only every 400 requests.
pub(crate) fn max_load(mut choice: impl FnMut(usize, &[u32], bool) -> usize) -> u32 {
    let mut loads = vec![0; CHOICE_TARGETS];
    let mut reports = loads.clone();
    for request in 0..CHOICE_REQUESTS {
        let fresh = request % 400 == 0;
        if fresh {
            reports.clone_from(&loads);
        }
        loads[choice(request as usize % CHOICE_HOSTS, &reports, fresh)] += 1;
    }
    loads.into_iter().max().unwrap()
}
