//! Each rule of the log stepped by hand, on whole replicas and (with the feature `mutants`) on ones that break it.
mod table;
use silvercross_raft::{Ended, Group, Message, Mutation, Node, RaftError};
use silvercross_time::{Duration, Instant};
use table::Table;

/// Run a schedule on whole replicas, which keep to the rule, and on broken ones, which don't.
fn both(mutation: Mutation, voters: u64, learners: u64, schedule: impl Fn(&mut Table) -> bool) {
    let mut whole = Table::new(voters, learners, None);
    assert!(!schedule(&mut whole), "whole replicas break the rule: {:?}", whole.broken);
    if cfg!(feature = "mutants") {
        let mut broken = Table::new(voters, learners, Some(mutation));
        assert!(schedule(&mut broken), "{mutation:?} was not caught");
    }
}

#[test]
fn a_vote_is_kept_over_a_crash() {
    both(Mutation::VoteNotPersisted, 3, 0, |t| {
        t.elect(0, &[3]);
        t.lying.clear();
        t.restart(2, None);
        t.among(&[2, 3]);
        t.elect(1, &[3]);
        t.broken.as_ref().is_some_and(|b| b.contains("two lead"))
    });
}

#[test]
fn nothing_is_said_before_what_it_rests_on_is_durable() {
    both(Mutation::AnswerBeforeSync, 3, 0, |t| {
        t.sync = false;
        t.campaign(0);
        t.written(0);
        // The third one votes, and stops before its disk has it.
        t.among(&[1, 3]);
        let terms_led = t.at(0).is_leader();
        t.restart(2, None);
        terms_led
    });
}

#[test]
fn an_entry_of_an_earlier_term_is_not_committed_by_copies_alone() {
    // RP, figure 8, with three.
    both(Mutation::OldTermCommits, 3, 0, |t| {
        t.elect(0, &[3]);
        t.propose(0, 7);
        // Nobody else gets it.
        t.lying.clear();
        t.elect(1, &[3]);
        t.lying.clear();
        t.restart(0, None);
        t.among(&[1, 3]);
        t.elect(0, &[3]);
        // The old entries get onto two, and nothing of the new term does.
        let term = t.at(0).term();
        for _ in 0..40 {
            let new = |m: &Message| matches!(m, Message::AppendEntries { entries, .. } if !entries.is_empty() && entries.iter().all(|e| e.term == term));
            let probe = t.at(2).log().last_index() < 2;
            t.lying.retain(|m| m.0 .0 != 2 && m.1 .0 != 2 && (probe || !new(&m.3)));
            if t.lying.is_empty() {
                break;
            }
            t.deliver(0, false);
        }
        assert_eq!(t.at(2).log().last_index(), 3, "the old entries are on two");
        t.lying.clear();
        t.restart(1, None);
        t.among(&[2, 3]);
        // Figure 8 (d): the second one, with the later entry, is elected and drops it.
        t.elect(1, &[3]);
        t.propose(1, 9);
        t.among(&[2, 3]);
        t.broken.is_some()
    });
}

#[test]
fn a_folder_older_than_what_was_promised_does_not_vote() {
    both(Mutation::VotesWithOldStorage, 3, 0, |t| {
        let yesterday = t.seats[2].disk.clone();
        t.campaign(0);
        t.among(&[1, 3]);
        // Put back in place; the one that heard its vote is there.
        let mut old = yesterday;
        old.writes = 1;
        t.restart(2, Some(old));
        t.among(&[1, 3]);
        let ended = matches!(t.at(2).ended(), Some(Ended::Older { .. }));
        t.broken = None;
        t.campaign(1);
        t.among(&[2, 3]);
        !ended && t.broken.as_ref().is_some_and(|b| b.contains("two lead"))
    });
}

#[test]
fn a_leader_that_was_overtaken_answers_no_read() {
    both(Mutation::StaleRead, 3, 0, |t| {
        t.campaign(0);
        t.among(&[1, 2, 3]);
        t.campaign(1);
        t.among(&[2, 3]);
        t.propose(1, 9);
        t.among(&[2, 3]);
        // The first one has not heard of it.
        let read = t.at(0).read();
        t.pump(0);
        t.among(&[1]);
        read.is_ok() && matches!(t.at(0).poll_read(), Some((_, Some(i))) if i < 4)
    });
}

#[test]
fn one_change_of_voters_at_a_time() {
    both(Mutation::ConcurrentChanges, 3, 0, |t| {
        t.campaign(0);
        t.among(&[1, 2, 3]);
        let group = |v: &[u64]| Group::of(v.iter().copied().map(Node).collect());
        let first = t.at(0).change_group(Instant::ZERO, group(&[1, 2, 3, 4]));
        let second = t.at(0).change_group(Instant::ZERO, group(&[1, 2, 3, 4, 5]));
        assert!(first.is_ok());
        if !cfg!(feature = "mutants") || second.is_err() {
            assert_eq!(second, Err(RaftError::ChangeInProgress));
        }
        second.is_ok()
    });
}

#[test]
fn a_clock_that_is_hours_ahead_ends_no_window() {
    both(Mutation::LocalClock, 3, 0, |t| {
        t.elect(0, &[2]);
        t.among(&[1, 2, 3]);
        t.propose(0, 1);
        t.among(&[1, 2, 3]);
        let before = t.at(0).log().last_at_ms();
        // The second one's clock is three hours ahead, and no time passes.
        t.clock[1] = Instant::ZERO + Duration::from_secs(3 * 3600);
        t.elect(1, &[3]);
        t.among(&[1, 2, 3]);
        assert!(t.propose(1, 2), "it leads");
        t.at(1).log().last_at_ms() > before + 1_000
    });
}

#[test]
fn a_learner_does_not_count() {
    both(Mutation::LearnerCounts, 3, 2, |t| {
        t.campaign(0);
        t.among(&[1, 2, 3, 4, 5]);
        // Only learners get it.
        t.propose(0, 5);
        t.among(&[1, 4, 5]);
        t.commands().contains(&5)
    });
}

#[test]
fn a_leader_hands_its_office_on_and_takes_nothing_meanwhile() {
    let mut t = Table::new(3, 0, None);
    t.campaign(0);
    t.among(&[1, 2, 3]);
    t.propose(0, 1);
    t.among(&[1, 2, 3]);
    t.seats[0].replica.transfer(Instant::ZERO, Node(2));
    assert_eq!(t.at(0).propose(Instant::ZERO, vec![2]), Err(RaftError::NotReady));
    t.pump(0);
    t.among(&[1, 2, 3]);
    assert!(t.at(1).is_leader() && !t.at(0).is_leader());
    assert_eq!(t.commands(), [1]);
}

#[test]
fn one_that_is_far_behind_gets_the_snapshot_in_pieces() {
    let mut t = Table::with(
        3,
        0,
        silvercross_raft::Config { election_timeout: Duration::from_secs(1), ..table::config(None) },
    );
    t.campaign(0);
    t.among(&[1, 2]);
    for n in 0..20 {
        t.propose(0, n);
        t.among(&[1, 2]);
    }
    t.at(0).compact(vec![7; 1000]);
    t.pump(0);
    t.propose(0, 99);
    // Heartbeats find out how far it is.
    for now in 1..40 {
        t.at(0).tick(Instant::from_micros(now));
        t.pump(0);
        t.among(&[1, 2, 3]);
        if t.at(2).log().last_index() == t.at(0).log().last_index() || !t.at(0).is_leader() {
            break;
        }
    }
    assert_eq!(t.at(2).metrics.snapshots_installed, 1);
    assert_eq!(t.at(2).log().last_index(), t.at(0).log().last_index());
    assert_eq!(t.broken, None);
}

#[test]
fn a_group_can_not_lose_its_last_voter_or_change_by_two() {
    let mut t = Table::new(3, 0, None);
    t.campaign(0);
    t.among(&[1, 2, 3]);
    for voters in [vec![], vec![Node(1)], vec![Node(1), Node(4), Node(5)]] {
        assert_eq!(
            t.at(0).change_group(Instant::ZERO, Group { voters, learners: vec![] }),
            Err(RaftError::NotSingleServerChange)
        );
    }
    assert_eq!(
        t.at(1).change_group(Instant::ZERO, Group::of(vec![Node(1)])),
        Err(RaftError::NotLeader(Some(Node(1))))
    );
}

#[test]
fn what_was_said_to_an_older_term_changes_nothing() {
    let mut t = Table::new(3, 0, None);
    t.campaign(0);
    t.among(&[1, 2, 3]);
    t.campaign(1);
    t.among(&[1, 2, 3]);
    let (term, commit) = (t.at(1).term(), t.at(1).commit_index());
    let old = Message::AppendEntries {
        term: term - 1,
        prev: 1,
        prev_term: 0,
        entries: vec![],
        commit: 9,
        round: 0,
    };
    t.at(2).handle_message(Instant::ZERO, Node(1), 9, old);
    assert_eq!((t.at(2).term(), t.at(2).commit_index(), t.at(2).leader()), (term, commit, Some(Node(2))));
}
