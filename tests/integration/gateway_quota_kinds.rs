//! Kinds of requests of an account that sends more than its quota allows, and how nodes tell each other.

use std::sync::Arc;

use almondpath::clock::Millis;
use almondpath::gateway::{Ask, GrantRequest, Profile, Quota, Quotas, Run, Tolerance};

use crate::gateway_quota_contention::{ALONE, FLOOR, QUOTA, TOLERANCE};

/// Guards against a rare kind of large requests that never finds enough units left.
#[test]
fn a_rare_kind_of_large_requests_does_not_starve() {
    let quota = Quota {
        rate: 29_000.0,
        burst: 29_000.0,
        ..QUOTA
    };
    let account: Arc<str> = "account".into();
    let mut quotas = Quotas::new(Run::default(), TOLERANCE, Millis::ZERO);
    let (mut frequent, mut rare) = ([0.0; 2], [0.0; 2]);
    for at in (0..120_000).step_by(5) {
        let (priority, units, counts) = match at {
            at if at % 10 == 0 => (0, 1_000.0, &mut frequent),
            at if at % 3_005 == 0 => (2, 9_200.0, &mut rare),
            _ => continue,
        };
        let profile = Profile {
            kind: u64::from(priority),
            priority,
            ..Profile::default()
        };
        let ask = Ask {
            units,
            profile: Some(profile),
        };
        counts[0] += 1.0;
        let decided = quotas.take(&account, &quota, ask, ALONE, Millis(at));
        counts[1] += f64::from(u8::from(decided.is_ok()));
    }
    let (frequent, rare) = (frequent[1] / frequent[0], rare[1] / rare[0]);
    assert!(
        rare >= FLOOR * frequent,
        "{rare} of the rare, {frequent} of the frequent"
    );
}

/// Guards against nodes of the release before, which know nothing of profiles, that count as not
/// responding or get no decision.
#[test]
fn questions_of_the_release_before_are_understood() {
    type Earlier = (Arc<str>, Arc<str>, f64);
    let earlier: Earlier = ("node".into(), "account".into(), 9_200.0);
    let sent = postcard::to_stdvec(&earlier).expect("it is encoded");
    let read: GrantRequest = postcard::from_bytes(&sent).expect("it is decoded");
    let (node, account, units) = earlier.clone();
    let expected = GrantRequest {
        node,
        account,
        units,
        profile: None,
    };
    assert_eq!(read, expected);
    let request = GrantRequest {
        profile: Some(Profile::default()),
        ..expected
    };
    let sent = postcard::to_stdvec(&request).expect("it is encoded");
    let read: Earlier = postcard::from_bytes(&sent).expect("it is decoded");
    assert_eq!(read, earlier);
}

/// Guards against units that leave the window of a quota although they were granted within it: a slot of
/// grants is known by its start only.
#[test]
fn grants_at_the_end_of_a_slot_stay_for_a_whole_window() {
    const WINDOW: Millis = Millis(8_000);
    const LAST_GRANT: Millis = Millis(499);
    let tolerance = Tolerance {
        window: WINDOW,
        ..Tolerance::default()
    };
    let quota = Quota {
        rate: 1_000.0,
        burst: 1_000.0,
        counts_tokens: true,
        plain_tokens: 200.0,
    };
    let account: Arc<str> = "account".into();
    let mut quotas = Quotas::new(Run::default(), tolerance, Millis::ZERO);
    for (cost, now) in [(1.0, Millis::ZERO), (400.0, LAST_GRANT)] {
        let granted = quotas.take(&account, &quota, cost, ALONE, now);
        granted.expect("room in the bucket");
    }
    let share = 400.0 / tolerance.units_in_window(&quota);
    let at_end = quotas.usage(&account, &quota, LAST_GRANT + WINDOW - Millis(1));
    assert!(at_end.share >= share, "{at_end:?}, at least {share}");
    let later = quotas.usage(&account, &quota, LAST_GRANT + WINDOW + Millis(1_000));
    assert_eq!(later.share, 0.0);
}
