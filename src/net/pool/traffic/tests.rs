//! Tests of abandoning a call while its answer is arriving.

use super::*;
use std::io::Write;
use tokio::io::AsyncReadExt;

/// Guards against losing an answer that arrives between two requests to abandon its call: the second request must read
/// what was received after the first, although the sending side is shut already.
#[test]
fn second_abandon_call_reads_bytes_received_after_the_first() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let local = tokio::task::LocalSet::new();
    local.block_on(&runtime.expect("a runtime"), async {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("bound");
        let stream = tokio::net::TcpStream::connect(address)
            .await
            .expect("connected");
        let (mut peer, _) = listener.accept().expect("accepted");
        let traffic = Arc::new(Traffic::default());
        let mut stream = TrafficStream {
            stream: Stream::from(stream),
            traffic: traffic.clone(),
        };
        tokio::task::spawn_local(async move {
            let mut buffer = [0; 64];
            while stream.read(&mut buffer).await.is_ok_and(|read| read > 0) {}
        });
        traffic.abandon_call().await;
        peer.write_all(b"HTTP/1.1 200 OK\r\n").expect("written");
        traffic.abandon_call().await;
        assert!(
            traffic.success_line().is_some(),
            "the second abandon_call ended before the received bytes were read"
        );
        // on a closed connection `abandon_call` must return without waiting for a read
        drop(peer);
        traffic.abandon_call().await;
        traffic.abandon_call().await;
    });
}
