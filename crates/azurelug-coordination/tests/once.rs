//! Tests of the at-most-once records. Random schedules are in `schedules.rs`.

use std::time::Duration;

use azurelug_coordination::once::{
    Answer, Body, Claim, Command, Guard, Key, KeyError, Limits, Outcome, Release, SendError, Table,
};

const NOW_MS: u64 = 1_700_000_000_000;

fn key(time_ms: u64, low: u64) -> Key {
    let value = u128::from(time_ms) << 80 | 7 << 76 | 2 << 62 | u128::from(low);
    Key::try_from(value).expect("version and variant are set")
}

fn claim_at(now_ms: u64, key: Key, claimant: u128) -> Command {
    Command::Claim {
        account: 1,
        key,
        fingerprint: 9,
        claimant,
        now_ms,
        deadline_ms: 12_000,
    }
}

fn expect_claim(outcome: Outcome) -> Claim {
    match outcome {
        Outcome::Claimed { claim } => claim,
        other => panic!("expected a claim, got {other:?}"),
    }
}

#[test]
fn a_key_that_is_no_uuid_v7_is_not_accepted() {
    assert_eq!("no".parse::<Key>(), Err(KeyError::NotUuid));
    assert_eq!(
        "c232ab00-9414-11ec-b3c8-9f6bdeced846".parse::<Key>(),
        Err(KeyError::NotVersion7)
    );
    assert_eq!(
        "017f22e2-79b0-7cc3-18c4-dc0c0c07398f".parse::<Key>(),
        Err(KeyError::NotVersion7)
    );
    // The example of RFC 9562, appendix A.6.
    let key: Key = "017F22E2-79B0-7CC3-98C4-DC0C0C07398F".parse().unwrap();
    assert_eq!(key.time_ms(), 1_645_557_742_000);
    assert_eq!(key.to_string(), "017f22e2-79b0-7cc3-98c4-dc0c0c07398f");
}

#[test]
fn a_second_claimant_does_not_get_an_open_key() {
    let mut table = Table::new(Limits::default());
    let first = expect_claim(table.apply(claim_at(NOW_MS, key(NOW_MS, 1), 1)));
    assert_eq!(
        expect_claim(table.apply(claim_at(NOW_MS + 10, key(NOW_MS, 1), 1))),
        first
    );
    assert_eq!(
        table.apply(claim_at(NOW_MS + 1_000, key(NOW_MS, 1), 2)),
        Outcome::InProgress {
            retry_after_ms: 16_000
        }
    );
    let answer = Answer::whole(200, "ok");
    let recorded = Outcome::Recorded {
        answer: answer.clone(),
    };
    assert_eq!(
        table.apply(Command::Record {
            claim: first,
            answer
        }),
        recorded
    );
    assert_eq!(
        table.apply(claim_at(NOW_MS + 2_000, key(NOW_MS, 1), 2)),
        recorded
    );
    assert_eq!(
        table.apply(Command::Release { claim: first }),
        Outcome::Stale
    );
}

#[test]
fn a_key_is_not_accepted_with_another_body() {
    let mut table = Table::new(Limits::default());
    expect_claim(table.apply(claim_at(NOW_MS, key(NOW_MS, 1), 1)));
    let other = Command::Claim {
        account: 1,
        key: key(NOW_MS, 1),
        fingerprint: 10,
        claimant: 1,
        now_ms: NOW_MS,
        deadline_ms: 1,
    };
    assert_eq!(table.apply(other), Outcome::Conflict);
}

#[test]
fn the_same_key_of_two_accounts_does_not_collide() {
    let mut table = Table::new(Limits::default());
    let first = expect_claim(table.apply(claim_at(NOW_MS, key(NOW_MS, 1), 1)));
    let second = expect_claim(table.apply(Command::Claim {
        account: 2,
        key: key(NOW_MS, 1),
        fingerprint: 10,
        claimant: 1,
        now_ms: NOW_MS,
        deadline_ms: 1,
    }));
    assert_ne!(first.number, second.number);
}

#[test]
fn an_overdue_claim_becomes_unknown_and_a_late_record_replaces_it() {
    let mut table = Table::new(Limits::default());
    let claim = expect_claim(table.apply(claim_at(NOW_MS, key(NOW_MS, 1), 1)));
    assert_eq!(table.next_due_ms(), Some(NOW_MS + 17_000));
    let early = table.apply(Command::Expire {
        now_ms: NOW_MS + 16_999,
    });
    assert_eq!(
        early,
        Outcome::Advanced {
            unknown: 0,
            forgotten: 0
        }
    );
    let due = table.apply(Command::Expire {
        now_ms: NOW_MS + 17_000,
    });
    assert_eq!(
        due,
        Outcome::Advanced {
            unknown: 1,
            forgotten: 0
        }
    );
    assert_eq!(
        table.apply(claim_at(NOW_MS + 17_001, key(NOW_MS, 1), 1)),
        Outcome::Unknown
    );
    let answer = Answer::whole(200, "late");
    let recorded = Outcome::Recorded {
        answer: answer.clone(),
    };
    assert_eq!(table.apply(Command::Record { claim, answer }), recorded);
    assert_eq!(
        table.apply(claim_at(NOW_MS + 17_002, key(NOW_MS, 1), 3)),
        recorded
    );
}

#[test]
fn a_released_key_goes_to_the_next_claimant_and_not_to_a_late_copy() {
    let mut table = Table::new(Limits::default());
    let first = expect_claim(table.apply(claim_at(NOW_MS, key(NOW_MS, 1), 1)));
    assert_eq!(
        table.apply(Command::Release { claim: first }),
        Outcome::Released
    );
    assert_eq!(
        table.apply(claim_at(NOW_MS + 1, key(NOW_MS, 1), 1)),
        Outcome::InProgress { retry_after_ms: 0 }
    );
    let second = expect_claim(table.apply(claim_at(NOW_MS + 2, key(NOW_MS, 1), 2)));
    assert!(second.number > first.number);
    // Late messages of the first claimant must not change the second claim.
    assert_eq!(
        table.apply(Command::Release { claim: first }),
        Outcome::Stale
    );
    let answer = Answer::whole(500, "");
    assert_eq!(
        table.apply(Command::Record {
            claim: first,
            answer
        }),
        Outcome::Stale
    );
}

#[test]
fn a_removed_key_is_never_claimed_again() {
    let mut table = Table::new(Limits::default());
    let claim = expect_claim(table.apply(claim_at(NOW_MS, key(NOW_MS, 1), 1)));
    table.apply(Command::Record {
        claim,
        answer: Answer::whole(200, "ok"),
    });
    let day = Limits::default().retention_ms;
    table.apply(Command::Expire {
        now_ms: NOW_MS + day,
    });
    assert_eq!(table.len(), 1);
    table.apply(Command::Expire {
        now_ms: NOW_MS + day + 1,
    });
    assert_eq!((table.len(), table.bytes()), (0, 0));
    assert_eq!(
        table.apply(claim_at(NOW_MS + day + 1, key(NOW_MS, 1), 2)),
        Outcome::Expired
    );
    // A new leader whose wall clock is a day behind must not move the time back.
    assert_eq!(
        table.apply(claim_at(NOW_MS, key(NOW_MS, 1), 2)),
        Outcome::Expired
    );
}

#[test]
fn an_open_claim_is_not_removed_when_the_watermark_passes_it() {
    let mut table = Table::new(Limits::default());
    let day = Limits::default().retention_ms;
    expect_claim(table.apply(claim_at(NOW_MS + day - 1, key(NOW_MS, 1), 1)));
    table.apply(Command::Expire {
        now_ms: NOW_MS + day + 10_000,
    });
    assert_eq!(
        table.apply(claim_at(NOW_MS + day + 10_000, key(NOW_MS, 1), 2)),
        Outcome::InProgress {
            retry_after_ms: 6_999
        }
    );
}

#[test]
fn a_leader_whose_clock_is_behind_does_not_move_time_back() {
    let mut table = Table::new(Limits::default());
    table.apply(Command::Expire {
        now_ms: NOW_MS + 10_000,
    });
    expect_claim(table.apply(claim_at(NOW_MS, key(NOW_MS, 1), 1)));
    assert_eq!(table.next_due_ms(), Some(NOW_MS + 27_000));
}

#[test]
fn a_key_from_the_future_is_not_accepted() {
    let mut table = Table::new(Limits::default());
    assert_eq!(
        table.apply(claim_at(NOW_MS, key(NOW_MS + 60_001, 1), 1)),
        Outcome::FromFuture
    );
    expect_claim(table.apply(claim_at(NOW_MS, key(NOW_MS + 60_000, 1), 1)));
}

#[test]
fn a_full_table_refuses_new_claims_and_keeps_room_for_open_ones() {
    let limits = Limits {
        bytes: 2 * (256 + 4_096),
        ..Limits::default()
    };
    let mut table = Table::new(limits);
    let first = expect_claim(table.apply(claim_at(NOW_MS, key(NOW_MS, 1), 1)));
    let second = expect_claim(table.apply(claim_at(NOW_MS, key(NOW_MS, 2), 2)));
    assert_eq!(
        table.apply(claim_at(NOW_MS, key(NOW_MS, 3), 3)),
        Outcome::Full
    );
    for claim in [first, second] {
        let answer = Answer::whole(200, vec![7; 4_096]);
        let recorded = Outcome::Recorded {
            answer: answer.clone(),
        };
        assert_eq!(table.apply(Command::Record { claim, answer }), recorded);
    }
    assert_eq!(table.bytes(), limits.bytes);
    let mut table = Table::new(Limits {
        records: 1,
        ..Limits::default()
    });
    let first = expect_claim(table.apply(claim_at(NOW_MS, key(NOW_MS, 1), 1)));
    assert_eq!(
        table.apply(claim_at(NOW_MS, key(NOW_MS, 2), 2)),
        Outcome::Full
    );
    // Until a released claim ends, only its own key can use its record.
    table.apply(Command::Release { claim: first });
    expect_claim(table.apply(claim_at(NOW_MS, key(NOW_MS, 1), 3)));
}

#[test]
fn a_late_record_does_not_exceed_the_limits_of_a_full_table() {
    let limits = Limits {
        bytes: 256 + 4_096,
        ..Limits::default()
    };
    let mut table = Table::new(limits);
    let first = expect_claim(table.apply(claim_at(NOW_MS, key(NOW_MS, 1), 1)));
    table.apply(Command::Expire {
        now_ms: NOW_MS + 20_000,
    });
    let refused = table.apply(claim_at(NOW_MS + 20_000, key(NOW_MS, 2), 2));
    assert_eq!(refused, Outcome::Full);
    let answer = Answer::whole(200, vec![7; 5_000]);
    let Outcome::Recorded { answer } = table.apply(Command::Record {
        claim: first,
        answer,
    }) else {
        panic!("the late record was not accepted");
    };
    assert!(matches!(answer.body, Body::Digest { length: 5_000, .. }));
    assert!(table.bytes() <= limits.bytes);
}

#[test]
fn a_restored_table_does_not_differ_from_its_source() {
    let mut table = Table::new(Limits::default());
    for low in 0..20 {
        let claim =
            expect_claim(table.apply(claim_at(NOW_MS + low, key(NOW_MS, low), u128::from(low))));
        match low % 4 {
            0 => drop(table.apply(Command::Record {
                claim,
                answer: Answer::whole(200, "a"),
            })),
            1 => drop(table.apply(Command::Release { claim })),
            2 => drop(table.apply(Command::Expire {
                now_ms: NOW_MS + low,
            })),
            _ => {}
        }
    }
    let snapshot = table.snapshot();
    let mut restored = Table::restore(&snapshot).unwrap();
    assert_eq!(restored, table);
    assert_eq!(restored.snapshot(), snapshot);
    let expire = Command::Expire {
        now_ms: NOW_MS + 60_000,
    };
    assert_eq!(restored.apply(expire.clone()), table.apply(expire));
    assert!(Table::restore(&snapshot[..snapshot.len() - 1]).is_err());
    let longer = [snapshot.as_slice(), &[0]].concat();
    assert!(Table::restore(&longer).is_err());
}

#[test]
fn a_guard_permits_only_one_send_and_only_before_its_limit() {
    let claim = Claim {
        account: 1,
        key: key(NOW_MS, 1),
        number: 1,
    };
    let limit = Duration::from_secs(12);
    let mut guard = Guard::new(limit);
    assert_eq!(guard.start_send(Duration::ZERO), Err(SendError::NotClaimed));
    assert_eq!(guard.record(Answer::whole(200, "")), None);
    assert_eq!(guard.grant(claim), None);
    assert_eq!(guard.start_send(limit), Err(SendError::Late));
    assert_eq!(guard.start_send(limit - Duration::from_nanos(1)), Ok(claim));
    // The answer to a resent claim must not permit another send.
    assert_eq!(guard.grant(claim), None);
    assert_eq!(
        guard.start_send(Duration::ZERO),
        Err(SendError::AlreadySent)
    );
    assert_eq!(guard.release(), Release::Refused);
    assert!(guard.is_sent() && guard.record(Answer::whole(200, "")).is_some());
}

#[test]
fn a_closed_guard_does_not_keep_a_late_claim() {
    let claim = Claim {
        account: 1,
        key: key(NOW_MS, 1),
        number: 1,
    };
    let mut guard = Guard::new(Duration::from_secs(1));
    assert_eq!(guard.release(), Release::NoClaim);
    assert_eq!(guard.grant(claim), Some(Command::Release { claim }));
    assert_eq!(guard.start_send(Duration::ZERO), Err(SendError::Closed));
    let mut guard = Guard::new(Duration::from_secs(1));
    assert_eq!(guard.grant(claim), None);
    assert_eq!(
        guard.release(),
        Release::Propose(Command::Release { claim })
    );
    assert_eq!(guard.start_send(Duration::ZERO), Err(SendError::Closed));
}

/// Guards against a full table that refuses every claim until the retention time has passed, and
/// against a removed key that is treated as new.
#[test]
fn a_full_table_removes_its_oldest_ended_records_and_refuses_their_keys() {
    let limits = Limits {
        records: 100,
        ..Limits::default()
    };
    let kept_ms = limits.full_retention_ms;
    let mut table = Table::new(limits);
    let open = expect_claim(table.apply(claim_at(NOW_MS, key(NOW_MS, 1), 1)));
    for low in 2..=100 {
        let now = NOW_MS + low;
        let claim = expect_claim(table.apply(claim_at(now, key(now, low), u128::from(low))));
        let answer = Answer::whole(200, vec![]);
        table.apply(Command::Record { claim, answer });
    }
    // The records are too young to be removed.
    let too_early = NOW_MS + kept_ms;
    assert_eq!(
        table.apply(claim_at(too_early, key(too_early, 101), 101)),
        Outcome::Full
    );
    let later = NOW_MS + kept_ms + 1_000;
    expect_claim(table.apply(claim_at(later, key(later, 102), 102)));
    assert!(table.len() < 100);
    let forgotten = key(NOW_MS + 2, 2);
    assert_eq!(
        table.apply(claim_at(later, forgotten, 103)),
        Outcome::Expired
    );
    // An open claim is never removed.
    let answer = Answer::whole(200, vec![]);
    let recorded = Outcome::Recorded {
        answer: answer.clone(),
    };
    assert_eq!(
        table.apply(Command::Record {
            claim: open,
            answer
        }),
        recorded
    );
}
