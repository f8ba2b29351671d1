//! Medians by second, the table of them, and what became of all orders.
use super::observation::{Observations, Order, OrderEnd, Requester, Sample};
use crate::client::RequestKind;
use crate::execution_log::ExecutionLog;

/// The median; `None` of nothing.
pub(crate) fn median(mut values: Vec<f64>) -> Option<f64> {
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied()
}

/// The median time of served attempts that fit, in milliseconds.
pub(crate) fn median_ms(seen: &Observations, fits: impl Fn(&Sample) -> bool) -> Option<f64> {
    let served = seen.samples.iter().filter(|sample| sample.is_served && fits(sample));
    median(served.map(|sample| sample.took_ms).collect())
}

/// The median time in a second of the play, over one side or all.
pub(crate) fn median_in_second(
    seen: &Observations,
    second: usize,
    requester: Requester,
    side: Option<usize>,
) -> Option<f64> {
    median_ms(seen, |sample| {
        sample.at_s as usize == second
            && sample.requester == requester
            && side.is_none_or(|side| sample.side == side)
    })
}

/// What became of all orders and reads.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct OrderCounts {
    pub(crate) served: usize,
    /// Not placed, or served without a run.
    pub(crate) lost: usize,
    /// Ran twice though it may run only once.
    pub(crate) ran_twice: usize,
    /// The client does not know whether it ran.
    pub(crate) unknown: usize,
}

/// Count what became of all orders.
pub(crate) fn count_orders(orders: &[Order], executions: &ExecutionLog) -> OrderCounts {
    let mut counts = OrderCounts::default();
    for order in orders {
        let runs: usize = order.attempt_ids.iter().map(|id| executions.upstreams_of(id).len()).sum();
        let is_lost = order.end == OrderEnd::NotPlaced || order.end == OrderEnd::Served && runs == 0;
        counts.served += usize::from(order.end == OrderEnd::Served);
        counts.lost += usize::from(is_lost);
        counts.ran_twice += usize::from(order.kind != RequestKind::Safe && runs > 1);
        counts.unknown += usize::from(order.end == OrderEnd::Unknown);
    }
    counts
}

fn steps_text(seen: &Observations, second: usize) -> String {
    let samples = seen.steps.iter().filter(|sample| sample.at_s as usize == second);
    let steps: Vec<u32> = samples.map(|sample| sample.step.step).collect();
    match (steps.iter().min(), steps.iter().max()) {
        (Some(least), Some(most)) if least == most => least.to_string(),
        (Some(least), Some(most)) => format!("{least} to {most}"),
        _ => "-".to_string(),
    }
}

/// Print the medians, second by second.
pub(crate) fn print_table(seen: &Observations, side_names: &[String]) {
    let seconds = seen.samples.iter().map(|sample| sample.at_s as usize).max().unwrap_or(0);
    print!("  median ms of the member's reads, by the machine where they began\n  {:>4}", "s");
    side_names.iter().for_each(|name| print!(" {name:>7}"));
    println!(" {:>7} {:>7}  step over all nodes", "others", "orders");
    for second in 0..=seconds {
        let cell = |requester, side| {
            let median = median_in_second(seen, second, requester, side);
            median.map_or("-".to_string(), |ms| format!("{ms:.0}"))
        };
        print!("  {second:>4}");
        (0..side_names.len()).for_each(|side| print!(" {:>7}", cell(Requester::MemberRead, Some(side))));
        let (others, orders) = (cell(Requester::OtherRead, None), cell(Requester::MemberOrder, None));
        println!(" {others:>7} {orders:>7}  {}", steps_text(seen, second));
    }
}
