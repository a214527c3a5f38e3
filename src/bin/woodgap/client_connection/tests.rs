use super::*;
use crate::memory::MemoryBudget;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;

/// A connection and its client's socket.
async fn connect() -> (Rc<ClientConnection>, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let client = TcpStream::connect(listener.local_addr().unwrap()).await.unwrap();
    let budget = MemoryBudget::new(64 << 20, Some(0));
    let accepted = listener.accept().await.unwrap().0;
    (ClientConnection::new(accepted, REQUEST_READ_TIMEOUT, &budget.arriving), client)
}

/// The limits in these tests: half a second without a byte, two seconds in total.
const LIMITS: ArrivalLimits = ArrivalLimits {
    max_silence: Duration::from_millis(500),
    max_stall: Duration::from_millis(500),
    max_total: Duration::from_secs(2),
};

/// After how many tenths of a second, up to ten seconds, the connection may be evicted.
async fn evictable_after_tenths(connection: &ClientConnection) -> Option<usize> {
    for tenths in 0..100 {
        if connection.eviction_score(&LIMITS) >= 1.0 {
            return Some(tenths);
        }
        tokio::time::advance(Duration::from_millis(100)).await;
    }
    None
}

// A connection whose request stands still may be evicted sooner than an idle one, and one whose request has arrived
// never.
#[tokio::test]
async fn only_connections_without_a_complete_request_are_evictable() {
    let (connection, _client) = connect().await;
    tokio::time::pause();
    assert_eq!(evictable_after_tenths(&connection).await, Some(5));
    assert!(connection.is_unused());
    connection.begin_request();
    assert!(connection.is_first_request() && !connection.is_unused());
    assert_eq!(evictable_after_tenths(&connection).await, Some(5));
    connection.mark_request_complete();
    assert_eq!(evictable_after_tenths(&connection).await, None);
    assert!(!connection.is_overdue());
    connection.enter_phase(Phase::Idle);
    assert_eq!(evictable_after_tenths(&connection).await, Some(20));
    connection.enter_phase(Phase::ReadingHead);
    assert_eq!(evictable_after_tenths(&connection).await, Some(5));
    // The last check has taken `max_stall`.
    tokio::time::advance(REQUEST_READ_TIMEOUT - LIMITS.max_stall - Duration::from_millis(1)).await;
    assert!(!connection.is_overdue());
    tokio::time::advance(Duration::from_millis(2)).await;
    assert!(connection.is_overdue());
    connection.request_close(true);
    assert_eq!(evictable_after_tenths(&connection).await, None);
}

// A client that writes its request slowly is not taken for one that has stopped, until the limit in total.
#[tokio::test]
async fn arriving_bytes_put_off_the_eviction() {
    use tokio::io::AsyncReadExt;
    let (connection, mut client) = connect().await;
    let mut socket = ClientSocket::new(connection.clone());
    for expected_tenths in [5, 5, 5, 5, 0] {
        client.write_all(b"P").await.unwrap();
        socket.read_exact(&mut [0]).await.unwrap();
        tokio::time::pause();
        assert_eq!(evictable_after_tenths(&connection).await, Some(expected_tenths));
        tokio::time::resume();
    }
}

// Of an evicted connection only the open request is refused; without one the connection is closed.
#[tokio::test]
async fn an_eviction_refuses_the_open_request_and_no_later_one() {
    let (connection, _client) = connect().await;
    tokio::time::pause();
    connection.begin_request();
    assert_eq!(evictable_after_tenths(&connection).await, Some(5));
    connection.evict();
    connection.wait_for_refusal_request().await;
    assert!(!connection.closes_at_once());
    assert_eq!(evictable_after_tenths(&connection).await, None, "evicted twice");
    connection.enter_phase(Phase::Idle);
    connection.begin_request();
    let refused = timeout(LIMITS.max_stall, connection.wait_for_refusal_request()).await;
    assert!(refused.is_err(), "the next request is refused too");
    connection.enter_phase(Phase::Idle);
    connection.evict();
    assert!(connection.closes_at_once());
}

// A request that has arrived but is still unread, in the receive buffer or read ahead, keeps its connection
// open.
#[tokio::test]
async fn a_connection_with_an_unread_request_is_not_closed() {
    let (connection, mut client) = connect().await;
    assert!(connection.can_close_without_loss());
    connection.enter_phase(Phase::Idle);
    assert!(connection.is_idle());
    client.write_all(b"GET").await.unwrap();
    while !connection.has_unread_bytes() {
        tokio::task::yield_now().await;
    }
    assert!(!connection.can_close_without_loss() && !connection.is_idle());
    connection.begin_request();
    connection.mark_request_complete();
    let bytes_are_read_ahead = async {
        while connection.read_ahead.borrow().is_empty() {
            tokio::task::yield_now().await;
        }
    };
    tokio::select! {
        () = connection.wait_for_disconnect() => unreachable!("the client is still connected"),
        () = bytes_are_read_ahead => {}
    }
    connection.enter_phase(Phase::Idle);
    assert!(!connection.can_close_without_loss() && !connection.is_idle());
    connection.enter_phase(Phase::Closing);
    assert!(connection.can_close_without_loss());
}

// A client's close is noticed however many bytes it sent before, and the read-ahead buffer stays bounded.
#[tokio::test]
async fn a_disconnect_is_noticed_behind_any_number_of_bytes() {
    for (bytes, overflows) in [
        (0, false),
        (100, false),
        (MAX_READ_AHEAD_BYTES, false),
        (MAX_READ_AHEAD_BYTES + 1, true),
        (3 << 20, true),
    ] {
        let (connection, mut client) = connect().await;
        connection.begin_request();
        connection.mark_request_complete();
        let send_and_close = async {
            client.write_all(&vec![b'x'; bytes]).await.unwrap();
            drop(client);
        };
        tokio::join!(connection.wait_for_disconnect(), send_and_close);
        assert!(connection.read_ahead.borrow().len() <= MAX_READ_AHEAD_BYTES);
        assert_eq!(connection.has_read_ahead_overflowed(), overflows, "{bytes}");
        assert!(overflows || connection.read_ahead.borrow().len() == bytes);
    }
}

// Closing a socket with unread data sends a reset, which can discard a response that the client has not read
// yet.
#[tokio::test]
async fn a_response_arrives_although_the_client_sent_more() {
    use tokio::io::AsyncReadExt;
    let (connection, mut client) = connect().await;
    client.write_all(&[b'x'; 9_000]).await.unwrap();
    connection.stream.writable().await.unwrap();
    assert_eq!(connection.stream.try_write(b"answer").unwrap(), 6);
    connection.enter_phase(Phase::Closing);
    let close = async {
        connection.linger().await;
        drop(connection);
    };
    let read = async {
        let mut response = Vec::new();
        client.read_to_end(&mut response).await.expect("an orderly close");
        assert_eq!(response, b"answer");
        // Here a reset behind the close shows only as the socket's error. Over a real network it could arrive
        // before the client has read the response, which would then be lost.
        assert!(client.take_error().unwrap().is_none(), "the connection was reset");
        drop(client);
    };
    tokio::join!(close, read);
}

// A client that never closes holds its socket only for a bounded time, and not if the socket is needed.
#[tokio::test]
async fn lingering_is_bounded_and_ends_on_a_close_request() {
    let (connection, _client) = connect().await;
    connection.enter_phase(Phase::Closing);
    assert_eq!(connection.eviction_score(&LIMITS), f64::INFINITY);
    let (lingering, closed) = (connection.clone(), connection.clone());
    tokio::join!(async move { lingering.linger().await }, async move {
        tokio::task::yield_now().await;
        closed.request_close(true);
    });
    assert_eq!(connection.eviction_score(&LIMITS), 0.0);
    let (connection, _client) = connect().await;
    connection.enter_phase(Phase::Closing);
    tokio::time::pause();
    connection.linger().await;
}

// Guards against a request that arrives between the decision to close its connection and the close: it would be sent
// to a server and its client never answered.
#[tokio::test]
async fn nothing_is_read_from_a_connection_that_closes_at_once() {
    use tokio::io::AsyncReadExt;
    let (connection, mut client) = connect().await;
    connection.evict();
    client.write_all(b"GET").await.unwrap();
    while !connection.has_unread_bytes() {
        tokio::task::yield_now().await;
    }
    let mut socket = ClientSocket::new(connection.clone());
    let read = timeout(Duration::from_millis(50), socket.read(&mut [0; 8])).await;
    assert!(read.is_err(), "{read:?}");
    assert!(connection.has_unread_bytes());
}

// Only a request that had begun to arrive when its connection was first read has waited, and no later one has.
#[tokio::test]
async fn only_a_request_that_was_there_at_the_first_read_has_waited() {
    let waiting_since = Instant::now() - 2 * MIN_WAIT;
    let (connection, _client) = connect().await;
    connection.record_wait(waiting_since);
    assert_eq!(connection.take_wait(), Duration::ZERO);
    for is_first in [true, false] {
        let (connection, mut client) = connect().await;
        client.write_all(b"GET").await.unwrap();
        while !connection.has_unread_bytes() {
            tokio::task::yield_now().await;
        }
        connection.record_wait(waiting_since);
        if !is_first {
            connection.begin_request();
            connection.enter_phase(Phase::Idle);
        }
        connection.begin_request();
        assert_eq!(connection.take_wait() >= 2 * MIN_WAIT, is_first);
    }
}
