//! Splitting event streams into events.

use almondpath::gateway::EventSplitter;
use proptest::prelude::*;

proptest! {
    /// Guards against bytes that are lost, duplicated or changed, and against splits in the wrong
    /// place.
    #[test]
    fn events_are_complete_for_any_chunking(
        count in 1_usize..20,
        newline in prop::sample::select(vec!["\n", "\r\n"]),
        cuts in prop::collection::vec(0.0_f64..1.0, 0..12),
    ) {
        let text: Vec<String> = (0..count)
            .map(|id| format!("id: {id}{newline}data: piece {id}{newline}{newline}"))
            .collect();
        let all = text.concat();
        let mut at: Vec<usize> = cuts.iter().map(|c| (c * all.len() as f64) as usize).collect();
        at.extend([0, all.len()]);
        at.sort_unstable();
        let mut events = EventSplitter::default();
        let mut seen = Vec::new();
        for pair in at.windows(2) {
            prop_assert!(events.push(&all.as_bytes()[pair[0]..pair[1]]));
            seen.extend(events.by_ref());
        }
        let ids: Vec<_> = seen.iter().map(|event| event.id).collect();
        prop_assert_eq!(ids, (0..count as u64).map(Some).collect::<Vec<_>>());
        let bytes: Vec<u8> = seen.iter().flat_map(|event| event.bytes.to_vec()).collect();
        prop_assert_eq!(bytes, all.into_bytes());
        prop_assert!(!events.has_partial());
    }

    /// Guards against a panic on invalid input, and against output that differs from the input.
    #[test]
    fn arbitrary_bytes_are_not_changed(bytes in prop::collection::vec(any::<u8>(), 0..400)) {
        let mut events = EventSplitter::default();
        events.push(&bytes);
        let out: Vec<u8> = events.by_ref().flat_map(|event| event.bytes.to_vec()).collect();
        prop_assert_eq!(&bytes[..out.len()], &out[..]);
        prop_assert_eq!(events.has_partial(), out.len() < bytes.len());
    }
}

/// Guards against passing on an incomplete event.
#[test]
fn an_incomplete_event_is_not_emitted() {
    let mut events = EventSplitter::default();
    events.push(b"id: 1\ndata: a\n");
    assert!(events.next().is_none());
    assert!(events.has_partial());
}

/// Guards against taking a comment, which only keeps a connection open, for an event.
#[test]
fn a_comment_is_not_an_event() {
    let cases = [
        (":\n\n", true),
        (": waiting\n\n", true),
        (": waiting\r\n\r\n", true),
        ("\n\n", true),
        (": waiting\ndata: a\n\n", false),
        ("retry: 10\n\n", false),
        ("id: 1\ndata: a\n\n", false),
    ];
    for (text, is_comment) in cases {
        let mut events = EventSplitter::default();
        assert!(events.push(text.as_bytes()));
        let event = events.next().expect("an event");
        assert_eq!(event.is_comment, is_comment, "{text:?}");
        assert_eq!(event.bytes, text.as_bytes());
    }
}
