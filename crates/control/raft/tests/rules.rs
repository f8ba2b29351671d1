//! One schedule for each rule of the protocol. With the feature `mutants`, those of [`check_rule`] also have to detect
//! replicas that break it.
mod table;
use silvercross_raft::{Ended, Group, Message, Mutation, Node, RaftError};
use silvercross_time::{Duration, Instant};
use table::Cluster;

/// Asserts that a schedule, which returns whether the rule was broken, keeps it with correct replicas and breaks it with mutated
/// ones.
fn check_rule(mutation: Mutation, voters: u64, learners: u64, schedule: impl Fn(&mut Cluster) -> bool) {
    let mut correct = Cluster::new(voters, learners, None);
    assert!(!schedule(&mut correct), "correct replicas break the rule: {:?}", correct.violation);
    if cfg!(feature = "mutants") {
        let mut mutated = Cluster::new(voters, learners, Some(mutation));
        assert!(schedule(&mut mutated), "{mutation:?} was not detected");
    }
}

#[test]
fn a_vote_is_kept_over_a_crash() {
    check_rule(Mutation::VoteNotPersisted, 3, 0, |cluster| {
        cluster.elect(0, &[3]);
        cluster.in_flight.clear();
        cluster.restart(2, None);
        cluster.deliver_among(&[2, 3]);
        cluster.elect(1, &[3]);
        cluster.violation.as_ref().is_some_and(|b| b.contains("two leaders"))
    });
}

#[test]
fn no_message_is_sent_before_the_write_it_depends_on_is_durable() {
    check_rule(Mutation::AnswerBeforeSync, 3, 0, |cluster| {
        cluster.sync_at_once = false;
        cluster.campaign(0);
        cluster.complete_write(0);
        // Server 3 votes and crashes before the vote is durable.
        cluster.deliver_among(&[1, 3]);
        let elected = cluster.at(0).is_leader();
        cluster.restart(2, None);
        elected
    });
}

#[test]
fn an_entry_of_an_earlier_term_is_not_committed_by_copies_alone() {
    // RP, figure 8, with three servers.
    check_rule(Mutation::OldTermCommits, 3, 0, |cluster| {
        cluster.elect(0, &[3]);
        cluster.propose(0, 7);
        // The entry reaches no other server.
        cluster.in_flight.clear();
        cluster.elect(1, &[3]);
        cluster.in_flight.clear();
        cluster.restart(0, None);
        cluster.deliver_among(&[1, 3]);
        cluster.elect(0, &[3]);
        // Two servers get the old entries, but none of the new term.
        let term = cluster.at(0).term();
        for _ in 0..40 {
            let is_of_new_term = |m: &Message| matches!(m, Message::AppendEntries { entries, .. } if !entries.is_empty() && entries.iter().all(|e| e.term == term));
            let is_probing = cluster.at(2).log().last_index() < 2;
            cluster.in_flight.retain(|m| m.0 .0 != 2 && m.1 .0 != 2 && (is_probing || !is_of_new_term(&m.3)));
            if cluster.in_flight.is_empty() {
                break;
            }
            cluster.deliver(0, false);
        }
        assert_eq!(cluster.at(2).log().last_index(), 3, "two servers have the old entries");
        cluster.in_flight.clear();
        cluster.restart(1, None);
        cluster.deliver_among(&[2, 3]);
        // Figure 8 (d): server 2, whose last entry has a later term, is elected and overwrites the old entries.
        cluster.elect(1, &[3]);
        cluster.propose(1, 9);
        cluster.deliver_among(&[2, 3]);
        cluster.violation.is_some()
    });
}

#[test]
fn a_replica_with_an_older_copy_of_its_storage_does_not_vote() {
    check_rule(Mutation::VotesWithOldStorage, 3, 0, |cluster| {
        let older_copy = cluster.servers[2].disk.clone();
        cluster.campaign(0);
        cluster.deliver_among(&[1, 3]);
        // The older copy of the storage is restored, while the server that saw the vote is up.
        let mut restored = older_copy;
        restored.writes = 1;
        cluster.restart(2, Some(restored));
        cluster.deliver_among(&[1, 3]);
        let ended = matches!(cluster.at(2).ended(), Some(Ended::Older { .. }));
        cluster.violation = None;
        cluster.campaign(1);
        cluster.deliver_among(&[2, 3]);
        !ended && cluster.violation.as_ref().is_some_and(|b| b.contains("two leaders"))
    });
}

#[test]
fn a_deposed_leader_answers_no_read() {
    check_rule(Mutation::StaleRead, 3, 0, |cluster| {
        cluster.campaign(0);
        cluster.deliver_among(&[1, 2, 3]);
        cluster.campaign(1);
        cluster.deliver_among(&[2, 3]);
        cluster.propose(1, 9);
        cluster.deliver_among(&[2, 3]);
        // Server 1 doesn't know of the new leader.
        let read = cluster.at(0).read();
        cluster.process_outputs(0);
        cluster.deliver_among(&[1]);
        read.is_ok() && matches!(cluster.at(0).poll_read(), Some((_, Some(i))) if i < 4)
    });
}

#[test]
fn one_change_of_voters_at_a_time() {
    check_rule(Mutation::ConcurrentChanges, 3, 0, |cluster| {
        cluster.campaign(0);
        cluster.deliver_among(&[1, 2, 3]);
        let group = |v: &[u64]| Group::of(v.iter().copied().map(Node).collect());
        let first = cluster.at(0).change_group(Instant::ZERO, group(&[1, 2, 3, 4]));
        let second = cluster.at(0).change_group(Instant::ZERO, group(&[1, 2, 3, 4, 5]));
        assert!(first.is_ok());
        if !cfg!(feature = "mutants") || second.is_err() {
            assert_eq!(second, Err(RaftError::ChangeInProgress));
        }
        second.is_ok()
    });
}

#[test]
fn a_leader_whose_clock_is_hours_ahead_does_not_advance_log_time() {
    check_rule(Mutation::LocalClock, 3, 0, |cluster| {
        cluster.elect(0, &[2]);
        cluster.deliver_among(&[1, 2, 3]);
        cluster.propose(0, 1);
        cluster.deliver_among(&[1, 2, 3]);
        let before = cluster.at(0).log().last_at_ms();
        // The clock of server 2 is three hours ahead, and no time passes.
        cluster.clock[1] = Instant::ZERO + Duration::from_secs(3 * 3600);
        cluster.elect(1, &[3]);
        cluster.deliver_among(&[1, 2, 3]);
        assert!(cluster.propose(1, 2), "server 2 leads");
        cluster.at(1).log().last_at_ms() > before + 1_000
    });
}

#[test]
fn a_learner_does_not_count() {
    check_rule(Mutation::LearnerCounts, 3, 2, |cluster| {
        cluster.campaign(0);
        cluster.deliver_among(&[1, 2, 3, 4, 5]);
        // Only learners get the entry.
        cluster.propose(0, 5);
        cluster.deliver_among(&[1, 4, 5]);
        cluster.applied_commands().contains(&5)
    });
}

#[test]
fn a_leader_transfers_leadership_and_rejects_proposals_meanwhile() {
    let mut cluster = Cluster::new(3, 0, None);
    cluster.campaign(0);
    cluster.deliver_among(&[1, 2, 3]);
    cluster.propose(0, 1);
    cluster.deliver_among(&[1, 2, 3]);
    cluster.servers[0].replica.transfer(Instant::ZERO, Node(2));
    assert_eq!(cluster.at(0).propose(Instant::ZERO, vec![2]), Err(RaftError::NotReady));
    cluster.process_outputs(0);
    cluster.deliver_among(&[1, 2, 3]);
    assert!(cluster.at(1).is_leader() && !cluster.at(0).is_leader());
    assert_eq!(cluster.applied_commands(), [1]);
}

#[test]
fn a_follower_that_lags_far_behind_gets_the_snapshot_in_chunks() {
    let mut cluster = Cluster::with(
        3,
        0,
        silvercross_raft::Config { election_timeout: Duration::from_secs(1), ..table::config(None) },
    );
    cluster.campaign(0);
    cluster.deliver_among(&[1, 2]);
    for n in 0..20 {
        cluster.propose(0, n);
        cluster.deliver_among(&[1, 2]);
    }
    cluster.at(0).compact(vec![7; 1000]);
    cluster.process_outputs(0);
    cluster.propose(0, 99);
    // Heartbeats find out how far server 3 lags.
    for now in 1..40 {
        cluster.at(0).tick(Instant::from_micros(now));
        cluster.process_outputs(0);
        cluster.deliver_among(&[1, 2, 3]);
        if cluster.at(2).log().last_index() == cluster.at(0).log().last_index() || !cluster.at(0).is_leader()
        {
            break;
        }
    }
    assert_eq!(cluster.at(2).metrics.snapshots_installed, 1);
    assert_eq!(cluster.at(2).log().last_index(), cluster.at(0).log().last_index());
    assert_eq!(cluster.violation, None);
}

#[test]
fn a_group_can_not_lose_its_last_voter_or_change_by_two() {
    let mut cluster = Cluster::new(3, 0, None);
    cluster.campaign(0);
    cluster.deliver_among(&[1, 2, 3]);
    for voters in [vec![], vec![Node(1)], vec![Node(1), Node(4), Node(5)]] {
        assert_eq!(
            cluster.at(0).change_group(Instant::ZERO, Group { voters, learners: vec![] }),
            Err(RaftError::NotSingleServerChange)
        );
    }
    assert_eq!(
        cluster.at(1).change_group(Instant::ZERO, Group::of(vec![Node(1)])),
        Err(RaftError::NotLeader(Some(Node(1))))
    );
}

#[test]
fn a_message_of_an_earlier_term_changes_nothing() {
    let mut cluster = Cluster::new(3, 0, None);
    cluster.campaign(0);
    cluster.deliver_among(&[1, 2, 3]);
    cluster.campaign(1);
    cluster.deliver_among(&[1, 2, 3]);
    let (term, commit) = (cluster.at(1).term(), cluster.at(1).commit_index());
    let old = Message::AppendEntries {
        term: term - 1,
        prev: 1,
        prev_term: 0,
        entries: vec![],
        commit: 9,
        round: 0,
    };
    cluster.at(2).handle_message(Instant::ZERO, Node(1), 9, old);
    assert_eq!(
        (cluster.at(2).term(), cluster.at(2).commit_index(), cluster.at(2).leader()),
        (term, commit, Some(Node(2)))
    );
}
