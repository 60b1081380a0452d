//! Tests of membership. Random schedules are in `schedules.rs`.

use std::time::Duration;

use azurelug_coordination::lease::Identity;
use azurelug_coordination::membership::{Change, Members, Renewal, Settings, State};

const MEMBER: Identity = Identity {
    id: 3,
    incarnation: 1,
};

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// A view in which the member has completed round trips up to 1 s.
fn view_with_alive_member() -> Members {
    let mut view = Members::new(at(0), Settings::default());
    let mut heard = 0;
    for sequence in 1..=3 {
        let renewal = Renewal {
            member: MEMBER,
            sequence,
            heard,
        };
        let now = at((sequence - 1) * 500);
        heard = view
            .renew(now, renewal, &mut Vec::new())
            .expect("in order")
            .number;
    }
    assert_eq!(view.state(MEMBER), State::Alive);
    view
}

/// Advances the time in small steps and returns the changes with their times.
fn tick_until(view: &mut Members, from: u64, to: u64) -> Vec<(u64, Change)> {
    let mut all_changes = Vec::new();
    for now in (from..=to).step_by(10) {
        let mut changes = Vec::new();
        view.tick(at(now), &mut changes);
        all_changes.extend(changes.into_iter().map(|change| (now, change)));
    }
    all_changes
}

fn change(state: State) -> Change {
    Change {
        member: MEMBER,
        state,
    }
}

#[test]
fn a_listed_member_is_gone_only_after_a_minute() {
    let mut view = view_with_alive_member();
    view.set_listed([(3, true)]);
    assert!(view.is_leaving(MEMBER));
    let changes = tick_until(&mut view, 1_000, 70_000);
    // The latest confirmed answer was sent at 500 ms.
    assert_eq!(
        changes,
        [
            (2_500, change(State::Suspect)),
            (60_500, change(State::Gone))
        ]
    );
}

#[test]
fn an_unlisted_member_is_gone_once_its_lease_has_ended() {
    let mut view = view_with_alive_member();
    view.set_listed([]);
    let changes = tick_until(&mut view, 1_000, 5_000);
    // The latest lease was granted at 1 s and counts as ended 2.07 s later.
    assert_eq!(
        changes,
        [
            (2_500, change(State::Suspect)),
            (3_070, change(State::Gone))
        ]
    );
}

#[test]
fn renewals_without_a_round_trip_do_not_renew_the_lease() {
    let mut view = view_with_alive_member();
    view.set_listed([]);
    let mut leased = Vec::new();
    let mut changes = Vec::new();
    for sequence in 4..20 {
        let now = sequence * 500 - 500;
        let renewal = Renewal {
            member: MEMBER,
            sequence,
            heard: 2,
        };
        view.tick(at(now), &mut changes);
        if let Some(answer) = view.renew(at(now), renewal, &mut changes) {
            leased.push(answer.leased);
        }
    }
    assert_eq!(leased[..3], [true, true, false]);
    // The member is gone once its last lease, of 2 s, has ended. Its next
    // renewal adds it again as a suspect member.
    assert_eq!(changes[0], change(State::Suspect));
    assert_eq!(changes[1], change(State::Gone));
}

#[test]
fn a_pause_of_the_observer_does_not_make_members_suspect() {
    let mut view = view_with_alive_member();
    let mut changes = Vec::new();
    view.tick(at(30_000), &mut changes);
    assert_eq!(changes, []);
}

#[test]
fn a_late_or_repeated_renewal_is_not_answered() {
    let mut view = view_with_alive_member();
    for sequence in [3, 2] {
        let renewal = Renewal {
            member: MEMBER,
            sequence,
            heard: 2,
        };
        assert_eq!(view.renew(at(1_100), renewal, &mut Vec::new()), None);
    }
}

#[test]
fn the_members_do_not_exceed_their_limit() {
    let mut view = Members::new(
        at(0),
        Settings {
            members: 1,
            ..Settings::default()
        },
    );
    for id in 0..2 {
        let member = Identity { id, incarnation: 1 };
        let renewal = Renewal {
            member,
            sequence: 1,
            heard: 0,
        };
        assert_eq!(
            view.renew(at(0), renewal, &mut Vec::new()).is_some(),
            id == 0
        );
    }
}
