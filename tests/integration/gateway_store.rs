//! The client of the platform's store, with records that other writers left there.

use almondpath::clock::Millis;
use almondpath::gateway::{Page, Store as _, Topic};
use almondpath::platform::LogStore;
use serde_json::json;

use crate::platform::Store;

/// Guards against one malformed record at which reading the topic stops.
#[tokio::test]
async fn a_malformed_record_does_not_stop_the_topic() {
    let odd: [&[u8]; 4] = [b"", b"\x05abc", b"\xff", b"\x00"];
    for record in odd {
        let store = Store::start().await;
        store.put("keyed.servers", "e0", &json!(0));
        store.append_raw("keyed.servers", record);
        let client = LogStore::new(store.address);
        let read = async |from| match client.read(Topic::Endpoints, from, Millis::ZERO).await {
            Ok(Page::Records { records, .. }) => records,
            other => panic!("{record:?}: {other:?}"),
        };
        let before = read(0).await;
        // The position moves on past the malformed record.
        assert_eq!(
            before.last().map(|record| record.offset),
            Some(1),
            "{record:?}"
        );
        store.put("keyed.servers", "e1", &json!(1));
        assert_eq!(read(2).await[0].key.as_deref(), Some("e1"), "{record:?}");
        let all = read(0).await;
        let good = all.iter().filter(|record| record.value.is_some());
        let good: Vec<_> = good
            .map(|record| (record.key.as_deref(), record.offset))
            .collect();
        assert_eq!(good, [(Some("e0"), 0), (Some("e1"), 2)], "{record:?}");
    }
}
