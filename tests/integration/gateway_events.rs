//! Splitting of event streams.

use almondpath::gateway::EventSplitter;
use proptest::prelude::*;

proptest! {
    /// Guards against a byte that is lost, doubled or changed, and a split in the wrong place.
    #[test]
    fn events_are_whole_whatever_the_pieces(
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

    /// Guards against a panic, and against bytes that no endpoint sent.
    #[test]
    fn arbitrary_bytes_stay_as_they_are(bytes in prop::collection::vec(any::<u8>(), 0..400)) {
        let mut events = EventSplitter::default();
        events.push(&bytes);
        let out: Vec<u8> = events.by_ref().flat_map(|event| event.bytes.to_vec()).collect();
        prop_assert_eq!(&bytes[..out.len()], &out[..]);
        prop_assert_eq!(events.has_partial(), out.len() < bytes.len());
    }
}

/// Guards against an incomplete event that is passed on.
#[test]
fn an_incomplete_event_is_kept_back() {
    let mut events = EventSplitter::default();
    events.push(b"id: 1\ndata: a\n");
    assert!(events.next().is_none());
    assert!(events.has_partial());
}
