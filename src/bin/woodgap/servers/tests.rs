use super::*;
use crate::memory::MemoryBudget;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::task::{spawn_local, LocalSet};
use woodgap::list::ListEntry;

fn new_servers(sockets: usize) -> Rc<Servers> {
    let settings = NodeSettings {
        dial_timeout: Duration::from_secs(20),
        keepalive: Duration::from_secs(600),
        drain_time: Duration::from_millis(500),
        max_open_requests: 10,
        load_report_fields: vec!["queue".into(), "util".into()],
        ramp: Default::default(),
    };
    Servers::new(settings, SocketBudget::new(sockets), MemoryBudget::new(64 << 20, Some(0)))
}

fn list_of_one(addr: SocketAddr, state: ServerState, is_complete: bool) -> ServerList {
    let (id, zone) = ("s-1".into(), "a".into());
    let entry = ListEntry { id, addr, zone, cell: 0, state, size: 1.0, up_since_ms: 0 };
    ServerList { revision: None, is_complete, entries: vec![entry] }
}

fn new_request() -> OutgoingRequest {
    OutgoingRequest::new(Method::POST, Uri::from_static("/api"), HeaderMap::new(), Bytes::new())
}

/// Starts a server that answers each request with its name, or never answers if the name is empty.
async fn spawn_server(name: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    spawn_local(async move {
        loop {
            let (mut stream, _) = listener.accept().await.unwrap();
            spawn_local(async move {
                let mut buffer = [0; 4096];
                while stream.read(&mut buffer).await.is_ok_and(|n| n > 0) {
                    let length = name.len();
                    let reply = format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{name}");
                    if !name.is_empty() && stream.write_all(reply.as_bytes()).await.is_err() {
                        return;
                    }
                }
            });
        }
    });
    addr
}

async fn send_attempt(
    servers: &Servers,
    server: ServerId,
    request: &OutgoingRequest,
    deadline: Instant,
) -> AttemptResult {
    servers.send_attempt(server, request, deadline, deadline, None).await
}

fn late_deadline() -> Instant {
    Instant::now() + Duration::from_secs(20)
}

// A server that left the list and came back at another address is another process: connections from before must
// not be used for it.
#[tokio::test]
async fn connection_from_before_a_server_returned_is_not_used() {
    let run = async {
        let servers = new_servers(8);
        let (old, new) = (spawn_server("old").await, spawn_server("new").await);
        let (_, members) = servers.apply_list(&list_of_one(old, ServerState::InService, true));
        let server = members[0].server;
        assert_eq!(
            send_attempt(&servers, server, &new_request(), late_deadline()).await.response.unwrap().1,
            "old"
        );
        tokio::time::sleep(MIN_IDLE_BEFORE_REUSE * 2).await;
        let connection = servers.take_idle_connection(server).expect("an idle connection");
        servers.apply_list(&list_of_one(old, ServerState::Terminated, false));
        assert_eq!(
            send_attempt(&servers, server, &new_request(), late_deadline()).await.outcome,
            Outcome::ConnectFailed
        );
        servers.apply_list(&list_of_one(new, ServerState::InService, false));
        servers.keep_idle(server, connection);
        assert_eq!(
            send_attempt(&servers, server, &new_request(), late_deadline()).await.response.unwrap().1,
            "new"
        );
    };
    LocalSet::new().run_until(run).await;
}

// After the loss of a server's machine nothing answers on open connections. A time-out must close the idle ones, or
// the next requests would run into the same time-out.
#[tokio::test]
async fn timeout_closes_idle_connections() {
    let run = async {
        let servers = new_servers(8);
        let addr = spawn_server("").await;
        let server = servers.apply_list(&list_of_one(addr, ServerState::InService, true)).1[0].server;
        let (_, epoch) = servers.address(server).unwrap();
        for _ in 0..2 {
            let connection = servers.dial(addr, epoch, late_deadline()).await.unwrap();
            servers.keep_idle(server, connection);
        }
        let deadline = Instant::now() + Duration::from_millis(50);
        assert_eq!(send_attempt(&servers, server, &new_request(), deadline).await.outcome, Outcome::Timeout);
        assert!(servers.take_idle_connection(server).is_none());
    };
    LocalSet::new().run_until(run).await;
}

// No request may be sent to a draining server, including one that was already assigned to it.
#[tokio::test]
async fn nothing_is_written_to_a_draining_server() {
    let run = async {
        let servers = new_servers(8);
        let addr = spawn_server("x").await;
        let server = servers.apply_list(&list_of_one(addr, ServerState::InService, true)).1[0].server;
        servers.apply_list(&list_of_one(addr, ServerState::Terminating, false));
        let result = send_attempt(&servers, server, &new_request(), late_deadline()).await;
        assert_eq!(result.outcome, Outcome::ConnectFailed);
    };
    LocalSet::new().run_until(run).await;
}

// Idle connections must not keep requests from getting a socket.
#[tokio::test]
async fn idle_connection_is_closed_when_a_socket_is_needed() {
    let run = async {
        let servers = new_servers(1);
        let addr = spawn_server("x").await;
        let server = servers.apply_list(&list_of_one(addr, ServerState::InService, true)).1[0].server;
        assert_eq!(
            send_attempt(&servers, server, &new_request(), late_deadline()).await.outcome,
            Outcome::Ok
        );
        let permit = servers.acquire_socket().await;
        assert!(permit.is_some());
        // Without a socket nothing is known of the server.
        let outcome = send_attempt(&servers, server, &new_request(), late_deadline()).await.outcome;
        assert_eq!(outcome, Outcome::Moot);
    };
    LocalSet::new().run_until(run).await;
}

// A server that has taken over the address of another one must not receive the other's requests.
#[tokio::test]
async fn nothing_is_written_to_a_server_whose_address_was_taken_over() {
    let run = async {
        let servers = new_servers(8);
        let addr = spawn_server("x").await;
        let old = servers.apply_list(&list_of_one(addr, ServerState::InService, true)).1[0].server;
        assert_eq!(send_attempt(&servers, old, &new_request(), late_deadline()).await.outcome, Outcome::Ok);
        let mut change = list_of_one(addr, ServerState::InService, false);
        change.entries[0].id = "s-2".into();
        let new = servers.apply_list(&change).1[0].server;
        assert!(servers.take_idle_connection(old).is_none());
        assert_eq!(
            send_attempt(&servers, old, &new_request(), late_deadline()).await.outcome,
            Outcome::ConnectFailed
        );
        assert_eq!(send_attempt(&servers, new, &new_request(), late_deadline()).await.outcome, Outcome::Ok);
    };
    LocalSet::new().run_until(run).await;
}

// Discovery may name the process that has gone for seconds after another one came up at its address, also in a later
// line. The process that started last is the one at the address.
#[tokio::test]
async fn of_two_servers_at_one_address_the_one_that_started_last_gets_requests() {
    let entry = |id: &str, addr: SocketAddr, up_since_ms: u64| {
        let mut entry = list_of_one(addr, ServerState::InService, false).entries.remove(0);
        (entry.id, entry.up_since_ms) = (id.into(), up_since_ms);
        entry
    };
    let run = async {
        let addr = spawn_server("x").await;
        let (old, new) = (|| entry("s-old", addr, 1_000), || entry("s-new", addr, 2_000));
        for lines in [
            // The whole list, in either order.
            vec![vec![old(), new()]],
            vec![vec![new(), old()]],
            // A later line that tells something of the old one.
            vec![vec![old()], vec![new()], vec![old()]],
        ] {
            let servers = new_servers(8);
            let mut numbers = HashMap::new();
            for entries in lines {
                let ids: Vec<String> = entries.iter().map(|entry| entry.id.clone()).collect();
                let list = ServerList { revision: None, is_complete: false, entries };
                let members = servers.apply_list(&list).1;
                numbers.extend(ids.into_iter().zip(members.into_iter().map(|member| member.server)));
            }
            let mut outcomes = Vec::new();
            for id in ["s-old", "s-new"] {
                let result = send_attempt(&servers, numbers[id], &new_request(), late_deadline()).await;
                outcomes.push(result.outcome);
            }
            assert_eq!(outcomes, [Outcome::ConnectFailed, Outcome::Ok]);
        }
    };
    LocalSet::new().run_until(run).await;
}

/// Opens a listener and fills its backlog, so that further connections do not come up.
async fn listen_with_full_backlog() -> (SocketAddr, Vec<tokio::net::TcpStream>, TcpListener) {
    let socket = tokio::net::TcpSocket::new_v4().unwrap();
    socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let listener = socket.listen(1).unwrap();
    let addr = listener.local_addr().unwrap();
    let mut queued = Vec::new();
    while let Ok(Ok(stream)) =
        tokio::time::timeout(Duration::from_millis(200), tokio::net::TcpStream::connect(addr)).await
    {
        queued.push(stream);
    }
    (addr, queued, listener)
}

/// Frees the backlog and accepts connections, which come up when the system repeats its SYN. The task ends once a
/// connection brings bytes.
fn accept_until_bytes(
    queued: Vec<tokio::net::TcpStream>,
    listener: TcpListener,
) -> tokio::task::JoinHandle<()> {
    drop(queued);
    spawn_local(async move {
        loop {
            let (mut stream, _) = listener.accept().await.unwrap();
            let mut received = Vec::new();
            let _ = tokio::time::timeout(Duration::from_millis(50), stream.read_to_end(&mut received)).await;
            if !received.is_empty() {
                return;
            }
        }
    })
}

// When the client disconnects while the attempt waits for its connection, nothing is written and the
// connection is kept.
#[tokio::test]
async fn nothing_is_written_for_a_client_that_disconnected_during_the_dial() {
    let run = async {
        let servers = new_servers(8);
        let (addr, queued, listener) = listen_with_full_backlog().await;
        let server = servers.apply_list(&list_of_one(addr, ServerState::InService, true)).1[0].server;
        let request = Rc::new(new_request());
        let attempt = spawn_local({
            let (servers, request) = (servers.clone(), request.clone());
            async move { send_attempt(&servers, server, &request, late_deadline()).await.outcome }
        });
        tokio::task::yield_now().await;
        request.is_finished.set(true);
        let received_bytes = accept_until_bytes(queued, listener);
        assert_eq!(attempt.await.unwrap(), Outcome::Moot);
        assert!(!request.was_sent.get());
        tokio::time::sleep(Duration::from_millis(50)).await;
        assert!(!received_bytes.is_finished(), "something was written");
    };
    LocalSet::new().run_until(run).await;
}

// A keyed request must not be repeated after its window, which may end while the connection comes up. The outcome
// must not count against the server.
#[tokio::test]
async fn nothing_is_written_after_send_by() {
    let run = async {
        let servers = new_servers(8);
        let (addr, _queued, _listener) = listen_with_full_backlog().await;
        let server = servers.apply_list(&list_of_one(addr, ServerState::InService, true)).1[0].server;
        let send_by = Instant::now() + Duration::from_millis(30);
        let request = new_request();
        let result = servers.send_attempt(server, &request, late_deadline(), send_by, None).await;
        assert_eq!(result.outcome, Outcome::Moot);
        assert!(!request.was_sent.get());
        // The same with a server that accepts the connection at once.
        let addr = spawn_server("x").await;
        let server = servers.apply_list(&list_of_one(addr, ServerState::InService, true)).1[0].server;
        let result = servers.send_attempt(server, &request, late_deadline(), Instant::now(), None).await;
        assert_eq!((result.outcome, request.was_sent.get()), (Outcome::Moot, false));
    };
    LocalSet::new().run_until(run).await;
}

// When a server drains or a complete list leaves it out, attempts that wait for a connection to it must end too.
#[tokio::test]
async fn attempt_that_waits_for_its_connection_follows_the_newest_list() {
    for change in ["drains", "is left out"] {
        let run = async {
            let servers = new_servers(8);
            let (addr, queued, listener) = listen_with_full_backlog().await;
            let server = servers.apply_list(&list_of_one(addr, ServerState::InService, true)).1[0].server;
            let request = Rc::new(new_request());
            let attempt = spawn_local({
                let (servers, request) = (servers.clone(), request.clone());
                async move { send_attempt(&servers, server, &request, late_deadline()).await.outcome }
            });
            tokio::task::yield_now().await;
            servers.apply_list(&match change {
                "drains" => list_of_one(addr, ServerState::Terminating, false),
                _ => ServerList { revision: None, is_complete: true, entries: Vec::new() },
            });
            let received_bytes = accept_until_bytes(queued, listener);
            assert_eq!(attempt.await.unwrap(), Outcome::ConnectFailed);
            assert!(!request.was_sent.get(), "{change}");
            tokio::time::sleep(Duration::from_millis(50)).await;
            assert!(!received_bytes.is_finished(), "something was written: {change}");
        };
        LocalSet::new().run_until(run).await;
    }
}
