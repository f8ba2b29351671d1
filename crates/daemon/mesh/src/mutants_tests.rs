//! The judge of the cut points judged: each rule of the data path broken on purpose is found.
use crate::cut_points_tests::{few_cases, play};
use crate::mutation::{self, Mutation};

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
fn a_ticket_that_is_forgotten_early_is_found() {
    let fault = found(Mutation::ReplayEntryForgotten);
    assert!(fault.contains("TWICE"), "{fault:?}");
}

#[test]
fn a_connection_that_is_used_again_after_a_surplus_byte_is_found() {
    let fault = found(Mutation::SurplusBytesKept);
    assert!(fault.contains("surplus byte"), "{fault:?}");
}

#[test]
fn a_call_that_is_sent_again_after_a_reset_of_a_used_connection_is_found() {
    let fault = found(Mutation::NonIdempotentRetried);
    assert!(fault.contains("TWICE") || fault.contains("REFUSED"), "{fault:?}");
    assert!(fault.contains("warm: true"), "{fault:?}");
}

#[test]
fn a_life_that_is_believed_though_it_is_another_is_found() {
    let fault = found(Mutation::AnyIncarnation);
    assert!(fault.contains("TWICE") || fault.contains("REFUSED"), "{fault:?}");
    assert!(fault.contains("Restart"), "{fault:?}");
}

#[test]
fn a_request_that_begins_though_it_was_asked_for_before_it_came_is_found() {
    let fault = found(Mutation::LateStartAllowed);
    assert!(fault.contains("TWICE") || fault.contains("REFUSED"), "{fault:?}");
    assert!(fault.contains("Torn"), "{fault:?}");
}
