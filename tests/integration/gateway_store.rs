//! The client of the platform's store, with records that other writers left there.

use std::time::Duration;

use almondpath::clock::Millis;
use almondpath::gateway::{Page, Record, Store as _, Topic};
use almondpath::platform::LogStore;
use serde_json::json;
use tokio::time::timeout;

use crate::platform::Store;

/// Time within which a list is read to its end.
const TIMEOUT: Duration = Duration::from_secs(2);

async fn latest(store: &Store) -> Vec<Record> {
    let client = LogStore::new(store.address);
    let snapshot = timeout(TIMEOUT, client.snapshot(Topic::Endpoints));
    let snapshot = snapshot.await.expect("an end of the list");
    snapshot.expect("a snapshot").content.records
}

fn keys(records: &[Record]) -> Vec<&str> {
    let keys = records.iter().map(|record| record.key.as_deref());
    keys.flatten().collect()
}

/// Guards against one malformed record at which reading the topic stops.
#[tokio::test]
async fn a_malformed_record_does_not_stop_the_topic() {
    let odd: [&[u8]; 4] = [b"", b"\x05abc", b"\xff", b"\x00"];
    for record in odd {
        let store = Store::start().await;
        store.put("keyed.servers", "e0", &json!(0));
        store.append_raw("keyed.servers", record);
        let client = LogStore::new(store.address);
        let read = async |from| {
            let reply = client.read(Topic::Endpoints, from, Millis::ZERO).await;
            match reply.map(|reply| reply.content) {
                Ok(Page::Records { records, .. }) => records,
                other => panic!("{record:?}: {other:?}"),
            }
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

/// Guards against one unreadable item because of which none of the latest records is read.
#[tokio::test]
async fn an_unreadable_item_does_not_hide_the_other_items() {
    let odd = [
        json!({ "key": "odd", "value": "***", "offset": 1 }),
        json!({ "key": "odd", "value": 7, "offset": 1 }),
        json!({ "key": "odd", "value": null, "offset": 1 }),
        json!({ "key": "odd", "offset": 1 }),
        json!({ "key": "odd", "value": "e30=", "offset": -1 }),
        json!({ "key": "odd", "value": "e30=", "offset": 1e300 }),
        json!({ "key": 7, "value": "e30=", "offset": 1 }),
        json!({ "key": null, "value": "e30=", "offset": 1 }),
        json!({ "value": "e30=", "offset": 1 }),
        json!([]),
        json!(null),
    ];
    for item in odd {
        let store = Store::start().await;
        store.put("keyed.servers", "e0", &json!(0));
        store.add_odd_item("keyed.servers", item.clone());
        let records = latest(&store).await;
        assert_eq!(keys(&records)[0], "e0", "{item}");
        assert_eq!(records[0].value.as_deref(), Some(&b"0"[..]), "{item}");
        // A key without a readable value is present, so that it doesn't count as removed.
        let has_key = item["key"] == "odd";
        assert_eq!(
            records.iter().any(|r| r.key.as_deref() == Some("odd")),
            has_key,
            "{item}"
        );
    }
}

/// Guards against a list that can't be continued after a key with bytes that have a meaning in a URL.
#[tokio::test]
async fn a_list_continues_after_any_key() {
    let odd = [
        "a b",
        "a&topic=x",
        "a#b",
        "a%20b",
        "a%",
        "a+b",
        "a?b",
        "a/b",
        "a\"b",
        "a\\b",
        "a\nb",
        "a\u{0}b",
        "\u{e4}",
        "\u{1f600}",
        "a\u{fffd}",
        "a<b>",
        "a{b}",
        "a|b",
        "a^b`",
    ];
    for key in odd {
        let store = Store::start().await;
        store.set_page_items(1);
        store.put("keyed.servers", key, &json!(0));
        store.put("keyed.servers", "\u{1f700}", &json!(1));
        assert_eq!(keys(&latest(&store).await), [key, "\u{1f700}"], "{key:?}");
    }
}
