//! What a node knows of the endpoints' entries in the store, and which of two states is the later one.

use almondpath::clock::Millis;
use almondpath::gateway::{Changelog, Entry, EntryState, Era, Position, Revision};

const NOW: Millis = Millis(1_000);

fn revision(era: u64, next: u64) -> Revision {
    Revision {
        era: Era(era),
        next,
    }
}

fn entry(state: EntryState, next: u64) -> Entry {
    Entry {
        state,
        revision: revision(1, next),
    }
}

fn present(next: u64) -> Entry {
    entry(EntryState::Present("entry".into()), next)
}

fn position(era: u64, next: u64) -> Position {
    Position {
        era: Era(era),
        next: Some(next),
        as_of: Some(NOW),
    }
}

/// Guards against a node that takes the earlier state of an entry, which another node passes on late,
/// for the present one, and sends requests to an endpoint that has left.
#[test]
fn an_earlier_entry_does_not_replace_a_later_one() {
    struct Case {
        name: &'static str,
        known: Option<Entry>,
        read_to: Option<Position>,
        received: Entry,
        is_news: bool,
    }
    let later_era = |entry: Entry| Entry {
        revision: revision(2, entry.revision.next),
        ..entry
    };
    let cases = [
        Case {
            name: "an entry that was removed since",
            known: Some(entry(EntryState::Removed, 8)),
            read_to: None,
            received: present(7),
            is_news: false,
        },
        Case {
            name: "an entry that was removed before this node started",
            known: None,
            read_to: Some(position(1, 8)),
            received: present(7),
            is_news: false,
        },
        Case {
            name: "an entry that was written after the latest read",
            known: None,
            read_to: Some(position(1, 8)),
            received: present(9),
            is_news: true,
        },
        Case {
            name: "an entry, before the first read",
            known: None,
            read_to: None,
            received: present(7),
            is_news: true,
        },
        Case {
            name: "an entry that was written again",
            known: Some(entry(EntryState::Removed, 8)),
            read_to: Some(position(1, 9)),
            received: present(9),
            is_news: true,
        },
        Case {
            name: "a list that was requested before the registration",
            known: Some(present(9)),
            read_to: Some(position(1, 8)),
            received: entry(EntryState::Removed, 8),
            is_news: false,
        },
        Case {
            name: "a removal of which another node is certain",
            known: Some(entry(EntryState::Missing, 8)),
            read_to: Some(position(1, 8)),
            received: entry(EntryState::Removed, 8),
            is_news: true,
        },
        Case {
            name: "a removal of which another node is not certain",
            known: Some(entry(EntryState::Removed, 8)),
            read_to: Some(position(1, 8)),
            received: entry(EntryState::Missing, 8),
            is_news: false,
        },
        Case {
            name: "an entry of a restored store",
            known: Some(present(9)),
            read_to: Some(position(1, 9)),
            received: later_era(entry(EntryState::Removed, 3)),
            is_news: true,
        },
        Case {
            name: "an entry from before the store was restored",
            known: Some(later_era(entry(EntryState::Removed, 3))),
            read_to: Some(position(2, 3)),
            received: present(9),
            is_news: false,
        },
    ];
    for case in cases {
        let mut changelog = Changelog::default();
        if let Some(known) = case.known {
            changelog.record("e", known, NOW);
        }
        let read_to = case.read_to.unwrap_or_default();
        let is_news = changelog.is_news("e", &case.received, &read_to);
        assert_eq!(is_news, case.is_news, "{}", case.name);
    }
}

/// Guards against a node that adopts how far another one has read although that one does not know of
/// removals since this node's last read: it started later, or has forgotten them.
#[test]
fn a_changelog_with_a_gap_does_not_continue_a_position() {
    struct Case {
        name: &'static str,
        complete_from: Revision,
        continues: bool,
    }
    let cases = [
        Case {
            name: "read by this node as well",
            complete_from: revision(1, 8),
            continues: true,
        },
        Case {
            name: "started after the last read of this node",
            complete_from: revision(1, 9),
            continues: false,
        },
        Case {
            name: "of another era",
            complete_from: revision(2, 3),
            continues: false,
        },
    ];
    for case in cases {
        let continues = position(1, 8).is_continued_by(case.complete_from);
        assert_eq!(continues, case.continues, "{}", case.name);
        assert!(!Position::default().is_continued_by(case.complete_from));
    }

    let mut changelog = Changelog::default();
    changelog.restart_at(revision(1, 4));
    changelog.record("e", entry(EntryState::Removed, 8), Millis(0));
    changelog.prune(Millis(59_000));
    assert_eq!(changelog.complete_from(), Some(revision(1, 4)));
    changelog.prune(Millis(61_000));
    assert_eq!(changelog.complete_from(), Some(revision(1, 8)));
    assert_eq!(changelog.is_present("e"), None);
}

/// Guards against state that grows with the endpoints that come and go.
#[test]
fn absent_entries_are_bounded() {
    const MAX_ABSENT: u64 = 6_000;
    let mut changelog = Changelog::default();
    for number in 0..MAX_ABSENT + 10 {
        let removed = entry(EntryState::Removed, number + 1);
        changelog.record(&format!("e{number}"), removed, Millis(number));
    }
    changelog.prune(Millis(MAX_ABSENT + 10));
    assert_eq!(changelog.is_present("e9"), None);
    assert_eq!(changelog.is_present("e10"), Some(false));
    assert_eq!(changelog.complete_from(), Some(revision(1, 10)));
}

/// Guards against a node that mistakes outdated updates for current ones, or moves back in a topic.
#[test]
fn a_position_never_moves_back() {
    let at = |era, next, as_of| Position {
        era: Era(era),
        next: Some(next),
        as_of: Some(Millis(as_of)),
    };
    let mut position = Position::default();
    position.advance(at(1, 10, 100));
    position.advance(at(1, 7, 50));
    assert_eq!(position, at(1, 10, 100));
    assert_eq!(position.age(Millis(150)), Some(Millis(50)));
    // After a restore, offsets begin anew.
    position.advance(at(2, 6, 120));
    position.advance(at(1, 12, 140));
    assert_eq!(position, at(2, 6, 120));
    assert_eq!(position.next_in(Era(3)), None);
}

/// Guards against passing each heartbeat on to all nodes, and against losing a change.
#[test]
fn the_changelog_contains_only_changes() {
    let mut changelog = Changelog::default();
    changelog.record("e", present(1), NOW);
    changelog.confirm("e", present(2), NOW);
    let changes = changelog.changes_since(0, 10);
    assert_eq!((changes.until, changes.entries.len()), (1, 1));
    let removed = entry(EntryState::Removed, 3);
    changelog.record("e", removed.clone(), NOW);
    let changes = changelog.changes_since(changes.until, 10);
    assert_eq!(changes.entries, [("e".into(), removed)]);
    changelog.confirm("e", present(4), NOW);
    let changes = changelog.changes_since(changes.until, 10);
    assert_eq!(changes.entries, [("e".into(), present(4))]);
}

/// Guards against changes that exceed the size of a message between nodes, so that none arrives.
#[test]
fn changes_with_large_entries_are_split() {
    const ENTRY_BYTES: usize = 400_000;
    const COUNT: usize = 40;
    const MAX_BYTES: usize = 2 * 1024 * 1024;
    let mut changelog = Changelog::default();
    for number in 0..COUNT {
        let large = EntryState::Present(vec![b' '; ENTRY_BYTES].into());
        changelog.record(&format!("e{number}"), entry(large, 1), NOW);
    }
    let (mut version, mut ids, mut complete) = (0, Vec::new(), false);
    while !complete {
        let changes = changelog.changes_since(version, 256);
        let count = changes.entries.len();
        assert!(count > 0, "no progress after {version}");
        assert!(count * ENTRY_BYTES <= MAX_BYTES, "{count} entries");
        ids.extend(changes.entries.into_iter().map(|(id, _)| id));
        (version, complete) = (changes.until, changes.is_complete);
    }
    let expected: Vec<_> = (0..COUNT)
        .map(|number| format!("e{number}").into())
        .collect();
    assert_eq!(ids, expected);
}
