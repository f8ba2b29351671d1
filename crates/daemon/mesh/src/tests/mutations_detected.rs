//! The judge of the cut points judged: each rule of the data path broken on purpose is found.
use crate::mutation::{self, Mutation};
use crate::tests::interrupted_requests::{few_cases, play};

/// The first fault that the judge finds where a rule is broken.
fn found(rule: Mutation) -> String {
    let cases = few_cases();
    mutation::set_mutation(Some(rule));
    let fault = cases.iter().enumerate().find_map(|(number, case)| {
        let (saw, _) = play(*case, number);
        saw.broken.into_iter().next().map(|fault| format!("{case:?}: {fault}"))
    });
    mutation::set_mutation(None);
    fault.unwrap_or_default()
}

#[test]
fn forgetting_an_attempt_early_is_detected() {
    let fault = found(Mutation::ReplayEntryForgotten);
    assert!(fault.contains("TWICE"), "{fault:?}");
}

#[test]
fn reusing_a_connection_after_a_surplus_byte_is_detected() {
    let fault = found(Mutation::SurplusBytesKept);
    assert!(fault.contains("surplus byte"), "{fault:?}");
}

#[test]
fn resending_after_a_reset_of_a_reused_connection_is_detected() {
    let fault = found(Mutation::NonIdempotentRetried);
    assert!(fault.contains("TWICE") || fault.contains("REFUSED"), "{fault:?}");
    assert!(fault.contains("warm: true"), "{fault:?}");
}

#[test]
fn trusting_another_incarnation_is_detected() {
    let fault = found(Mutation::AnyIncarnation);
    assert!(fault.contains("TWICE") || fault.contains("REFUSED"), "{fault:?}");
    assert!(fault.contains("Restart"), "{fault:?}");
}

#[test]
fn starting_a_request_queried_before_it_arrived_is_detected() {
    let fault = found(Mutation::LateStartAllowed);
    assert!(fault.contains("TWICE") || fault.contains("REFUSED"), "{fault:?}");
    assert!(fault.contains("Torn"), "{fault:?}");
}
