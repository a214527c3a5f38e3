use super::*;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;

/// A connection as the node sees it, and its client's side.
async fn pair() -> (Rc<Conn>, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let client = TcpStream::connect(listener.local_addr().unwrap()).await.unwrap();
    (Conn::new(listener.accept().await.unwrap().0, SLOW), client)
}

// Those who say nothing give way first, those with a request open never.
#[tokio::test]
async fn what_nothing_is_open_on_gives_way() {
    let (conn, _client) = pair().await;
    tokio::time::pause();
    let may_close_after = |conn: &Rc<Conn>| {
        let conn = conn.clone();
        async move {
            for tenths in 0..100 {
                if conn.spare() >= 1.0 {
                    return Some(tenths);
                }
                tokio::time::advance(Duration::from_millis(100)).await;
            }
            None
        }
    };
    assert_eq!(may_close_after(&conn).await, Some(5));
    assert!(conn.is_unanswered());
    conn.opened();
    assert!(conn.is_first() && !conn.is_unanswered());
    assert_eq!(may_close_after(&conn).await, None);
    assert!(!conn.is_overdue());
    conn.enter(Phase::Idle);
    assert_eq!(may_close_after(&conn).await, Some(20));
    conn.enter(Phase::Head);
    tokio::time::advance(SLOW + Duration::from_millis(1)).await;
    assert!(conn.is_overdue());
    conn.shut(true);
    assert_eq!(may_close_after(&conn).await, None);
}

// A request that lies in the system's buffer, unread as yet, keeps its connection.
#[tokio::test]
async fn a_connection_whose_request_has_come_does_not_give_way() {
    let (conn, mut client) = pair().await;
    assert!(conn.gives_way());
    conn.enter(Phase::Idle);
    assert!(conn.is_resting());
    client.write_all(b"GET").await.unwrap();
    while !conn.has_unread() {
        tokio::task::yield_now().await;
    }
    assert!(!conn.gives_way() && !conn.is_resting());
    // What came behind an open request waits there too.
    conn.opened();
    conn.set_whole();
    tokio::select! {
        () = conn.client_left() => unreachable!("it is there"),
        () = async { while conn.ahead.borrow().is_empty() { tokio::task::yield_now().await } } => {}
    }
    conn.enter(Phase::Idle);
    assert!(!conn.gives_way() && !conn.is_resting());
    conn.enter(Phase::Closing);
    assert!(conn.gives_way());
}

// Whatever lies in front of it, a client's end is seen, and what is kept of what lies there is bounded.
#[tokio::test]
async fn a_clients_end_is_seen_behind_any_number_of_bytes() {
    for (bytes, overrun) in
        [(0, false), (100, false), (MOST_AHEAD, false), (MOST_AHEAD + 1, true), (3 << 20, true)]
    {
        let (conn, mut client) = pair().await;
        conn.opened();
        conn.set_whole();
        let flood = async {
            client.write_all(&vec![b'x'; bytes]).await.unwrap();
            drop(client);
        };
        tokio::join!(conn.client_left(), flood);
        assert!(conn.ahead.borrow().len() <= MOST_AHEAD);
        assert_eq!(conn.is_overrun(), overrun, "{bytes}");
        assert!(overrun || conn.ahead.borrow().len() == bytes);
    }
}

// An answer that is still on its way must not go with a reset: what is unread is read before the close.
#[tokio::test]
async fn an_answer_arrives_though_more_was_sent() {
    use tokio::io::AsyncReadExt;
    let (conn, mut client) = pair().await;
    client.write_all(&[b'x'; 9_000]).await.unwrap();
    conn.stream.writable().await.unwrap();
    assert_eq!(conn.stream.try_write(b"answer").unwrap(), 6);
    conn.enter(Phase::Closing);
    let closing = async {
        conn.linger().await;
        drop(conn);
    };
    let reading = async {
        let mut answer = Vec::new();
        client.read_to_end(&mut answer).await.expect("an orderly end");
        assert_eq!(answer, b"answer");
        // A reset behind the end shows here alone: elsewhere it may come before what the client has not read.
        assert!(client.take_error().unwrap().is_none(), "it was reset");
        drop(client);
    };
    tokio::join!(closing, reading);
}

// A client that never closes does not hold its place for good, nor one whose place is wanted.
#[tokio::test]
async fn lingering_is_bounded_and_ends_where_the_place_is_wanted() {
    let (conn, _client) = pair().await;
    conn.enter(Phase::Closing);
    assert_eq!(conn.spare(), f64::INFINITY);
    let (waiting, shut) = (conn.clone(), conn.clone());
    tokio::join!(async move { waiting.linger().await }, async move {
        tokio::task::yield_now().await;
        shut.shut(true);
    });
    assert_eq!(conn.spare(), 0.0);
    let (conn, _client) = pair().await;
    conn.enter(Phase::Closing);
    tokio::time::pause();
    conn.linger().await;
}
