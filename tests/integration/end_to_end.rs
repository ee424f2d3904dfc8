//! Requests through separate processes for nodes, engines and plain services.

use almondpath::client::Reply;
use uuid::Uuid;

use crate::harness::Cluster;

/// Guards against a step of the request path that only works when all components share a process.
#[tokio::test(flavor = "multi_thread")]
async fn three_nodes_stream_a_summary_and_execute_a_contribution() {
    let cluster = Cluster::start(3, 2, 1).await;
    for node in 0..3 {
        let client = cluster.client(&[node]);
        let body = r#"{"prompt": "Summarise the dossier.", "max_tokens": 20}"#;
        let mut chunks = 0;
        let reply = client
            .call("summary", None, body.into(), |_| chunks += 1)
            .await
            .expect("the summary is streamed");
        let Reply::Text(text) = reply else {
            panic!("a model route streams text");
        };
        assert_eq!(chunks, 20);
        assert!(text.starts_with("w0.") && text.contains("w19."));

        let key = Uuid::now_v7().to_string();
        let reply = client
            .call("contribution", Some(&key), "{}".into(), |_| ())
            .await
            .expect("the contribution is executed");
        assert!(matches!(reply, Reply::Body(_)));
        assert_eq!(cluster.executions(&key).await, 1);
    }
}
