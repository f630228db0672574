//! Tests of abandoning a call while its answer is arriving, and of bytes that arrive before a request is written.

use super::*;
use std::io::Write;
use tokio::io::AsyncReadExt;

fn head_memory() -> HeadMemory {
    HeadMemory::new(Arc::new(tokio::sync::Semaphore::new(1 << 20)))
}

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
            head_memory: head_memory(),
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

/// Returns a connection and the peer's end of it.
async fn connection() -> (TrafficStream<Stream>, std::net::TcpStream) {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("bound");
    let stream = tokio::net::TcpStream::connect(address)
        .await
        .expect("connected");
    let (peer, _) = listener.accept().expect("accepted");
    let stream = TrafficStream {
        stream: Stream::from(stream),
        traffic: Arc::new(Traffic::default()),
        head_memory: head_memory(),
    };
    (stream, peer)
}

/// Guards against taking bytes for the answer to a request that they precede. The kernel has received them, but the
/// runtime has not noticed them yet.
#[test]
fn request_is_not_written_after_bytes_that_precede_it() {
    use tokio::io::AsyncWriteExt;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    runtime.expect("a runtime").block_on(async {
        let (mut stream, mut peer) = connection().await;
        let traffic = stream.traffic.clone();
        traffic.begin_call(8);
        peer.write_all(b"HTTP/1.1 200 OK\r\n\r\n").expect("written");
        let error = stream
            .write_all(b"request!")
            .await
            .expect_err("not written");
        assert_eq!(error.kind(), io::ErrorKind::InvalidData);
        assert_eq!(traffic.written(), 0);
        assert!(traffic.has_stray_bytes());
        assert!(traffic.success_line().is_none());
    });
}

/// Guards against taking bytes for an answer that arrive when only a part of the request is written.
#[test]
fn bytes_before_the_end_of_the_request_are_no_answer() {
    use tokio::io::AsyncWriteExt;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    runtime.expect("a runtime").block_on(async {
        let (mut stream, mut peer) = connection().await;
        let traffic = stream.traffic.clone();
        traffic.begin_call(8);
        stream.write_all(b"request").await.expect("written");
        peer.write_all(b"HTTP/1.1 200 OK\r\n\r\n").expect("written");
        let error = stream.read(&mut [0; 64]).await.expect_err("not read");
        assert_eq!(error.kind(), io::ErrorKind::InvalidData);
        // the call now counts as never executed, so its last byte must not be written
        assert!(stream.write_all(b"!").await.is_err());
        assert_eq!(traffic.written(), 7);
        assert!(traffic.success_line().is_none());
        assert_eq!(traffic.answer_bytes(), 0);
    });
}

/// Guards against writing a request to a connection that the endpoint has closed: the request could not be answered.
#[test]
fn request_is_not_written_to_connection_that_peer_has_closed() {
    use tokio::io::AsyncWriteExt;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    runtime.expect("a runtime").block_on(async {
        let (mut stream, peer) = connection().await;
        stream.traffic.begin_call(8);
        drop(peer);
        assert!(stream.write_all(b"request!").await.is_err());
        assert_eq!(stream.traffic.written(), 0);
        assert!(!stream.traffic.has_stray_bytes());
    });
}

/// Guards against treating an answer as stray bytes: it follows the whole request.
#[test]
fn bytes_after_the_whole_request_are_its_answer() {
    use tokio::io::AsyncWriteExt;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    runtime.expect("a runtime").block_on(async {
        let (mut stream, mut peer) = connection().await;
        let traffic = stream.traffic.clone();
        for _ in 0..2 {
            traffic.begin_call(8);
            stream.write_all(b"request!").await.expect("written");
            peer.write_all(b"HTTP/1.1 200 OK\r\n").expect("written");
            let read = stream.read(&mut [0; 64]).await.expect("read");
            assert_eq!(read, b"HTTP/1.1 200 OK\r\n".len());
            assert!(traffic.success_line().is_some());
        }
    });
}
