use super::*;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::task::{spawn_local, LocalSet};
use woodgap::list::ListEntry;

fn servers(sockets: usize) -> Rc<Servers> {
    let figures = NodeSettings {
        dial_timeout: Duration::from_secs(20),
        keepalive: Duration::from_secs(600),
        drain_time: Duration::from_millis(500),
        max_open_requests: 10,
        load_report_fields: vec!["queue".into(), "util".into()],
        ramp: Default::default(),
    };
    Servers::new(figures, SocketBudget::new(sockets))
}

fn list(addr: SocketAddr, state: ServerState, complete: bool) -> ServerList {
    let (id, zone) = ("s-1".into(), "a".into());
    let entry = ListEntry { id, addr, zone, cell: 0, state, size: 1.0, up_since_ms: 0 };
    ServerList { revision: None, is_complete: complete, entries: vec![entry] }
}

fn call() -> OutgoingRequest {
    OutgoingRequest::new(Method::POST, Uri::from_static("/api"), HeaderMap::new(), Bytes::new())
}

/// A server that answers each request with its name, and sends none if that is empty.
async fn named(name: &'static str) -> SocketAddr {
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

async fn attempt(servers: &Servers, server: ServerId, call: &OutgoingRequest, until: Instant) -> Ended {
    servers.attempt(server, call, until, until, None).await
}

fn soon() -> Instant {
    Instant::now() + Duration::from_secs(20)
}

// A server that left the list and came back elsewhere must not be served by a connection from
// before, which leads to another process.
#[tokio::test]
async fn connections_from_before_a_return_are_not_used() {
    let run = async {
        let servers = servers(8);
        let (old, new) = (named("old").await, named("new").await);
        let (_, members) = servers.apply(&list(old, ServerState::InService, true));
        let server = members[0].server;
        assert_eq!(attempt(&servers, server, &call(), soon()).await.answer.unwrap().1, "old");
        tokio::time::sleep(MIN_IDLE_BEFORE_REUSE * 2).await;
        let link = servers.idle_link(server).expect("kept");
        servers.apply(&list(old, ServerState::Terminated, false));
        assert_eq!(attempt(&servers, server, &call(), soon()).await.outcome, Outcome::ConnectFailed);
        servers.apply(&list(new, ServerState::InService, false));
        servers.keep(server, link);
        assert_eq!(attempt(&servers, server, &call(), soon()).await.answer.unwrap().1, "new");
    };
    LocalSet::new().run_until(run).await;
}

// A machine that vanished is silent on open connections: after a time-out the idle ones must go.
#[tokio::test]
async fn a_timeout_closes_idle_connections() {
    let run = async {
        let servers = servers(8);
        let addr = named("").await;
        let server = servers.apply(&list(addr, ServerState::InService, true)).1[0].server;
        let (_, epoch) = servers.address(server).unwrap();
        for _ in 0..2 {
            let link = servers.dial(addr, epoch).await.unwrap();
            servers.keep(server, link);
        }
        let until = Instant::now() + Duration::from_millis(50);
        assert_eq!(attempt(&servers, server, &call(), until).await.outcome, Outcome::Timeout);
        assert!(servers.idle_link(server).is_none());
    };
    LocalSet::new().run_until(run).await;
}

// Rule 3: what waited for its connection must not be written once the server drains.
#[tokio::test]
async fn nothing_is_written_to_a_server_that_drains() {
    let run = async {
        let servers = servers(8);
        let addr = named("x").await;
        let server = servers.apply(&list(addr, ServerState::InService, true)).1[0].server;
        servers.apply(&list(addr, ServerState::Terminating, false));
        let ended = attempt(&servers, server, &call(), soon()).await;
        assert_eq!(ended.outcome, Outcome::ConnectFailed);
    };
    LocalSet::new().run_until(run).await;
}

// Sockets are spent on requests before idle connections.
#[tokio::test]
async fn idle_connections_make_room() {
    let run = async {
        let servers = servers(1);
        let addr = named("x").await;
        let server = servers.apply(&list(addr, ServerState::InService, true)).1[0].server;
        assert_eq!(attempt(&servers, server, &call(), soon()).await.outcome, Outcome::Ok);
        let permit = servers.permit().await;
        assert!(permit.is_some());
        assert_eq!(attempt(&servers, server, &call(), soon()).await.outcome, Outcome::ConnectFailed);
    };
    LocalSet::new().run_until(run).await;
}

// A machine that took over another's address must not get what is meant for the old one.
#[tokio::test]
async fn nothing_is_written_to_a_server_whose_address_another_has() {
    let run = async {
        let servers = servers(8);
        let addr = named("x").await;
        let old = servers.apply(&list(addr, ServerState::InService, true)).1[0].server;
        assert_eq!(attempt(&servers, old, &call(), soon()).await.outcome, Outcome::Ok);
        let mut change = list(addr, ServerState::InService, false);
        change.entries[0].id = "s-2".into();
        let new = servers.apply(&change).1[0].server;
        assert!(servers.idle_link(old).is_none());
        assert_eq!(attempt(&servers, old, &call(), soon()).await.outcome, Outcome::ConnectFailed);
        assert_eq!(attempt(&servers, new, &call(), soon()).await.outcome, Outcome::Ok);
    };
    LocalSet::new().run_until(run).await;
}

/// A server's address whose connections never come up: its backlog is full.
async fn silent() -> (SocketAddr, Vec<tokio::net::TcpStream>, TcpListener) {
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

/// Makes room in the backlog, so that connections come up with the system's next try; ends once one brings bytes.
fn listen(queued: Vec<tokio::net::TcpStream>, listener: TcpListener) -> tokio::task::JoinHandle<()> {
    drop(queued);
    spawn_local(async move {
        loop {
            let (mut stream, _) = listener.accept().await.unwrap();
            let mut heard = Vec::new();
            let _ = tokio::time::timeout(Duration::from_millis(50), stream.read_to_end(&mut heard)).await;
            if !heard.is_empty() {
                return;
            }
        }
    })
}

// A client that goes while its attempt's connection comes up late: the connection is kept, nothing is written.
#[tokio::test]
async fn nothing_is_written_for_a_client_that_left_while_the_connection_came_up() {
    let run = async {
        let servers = servers(8);
        let (addr, queued, listener) = silent().await;
        let server = servers.apply(&list(addr, ServerState::InService, true)).1[0].server;
        let call = Rc::new(call());
        let waiting = spawn_local({
            let (servers, call) = (servers.clone(), call.clone());
            async move { attempt(&servers, server, &call, soon()).await.outcome }
        });
        tokio::task::yield_now().await;
        call.is_finished.set(true);
        let heard = listen(queued, listener);
        assert_eq!(waiting.await.unwrap(), Outcome::Moot);
        assert!(!call.was_sent.get());
        tokio::time::sleep(Duration::from_millis(50)).await;
        assert!(!heard.is_finished(), "something was written");
    };
    LocalSet::new().run_until(run).await;
}

// A keyed repeat whose window ends while its connection comes up: it does not go out, and that says nothing of
// the server.
#[tokio::test]
async fn nothing_is_written_once_the_time_to_begin_is_over() {
    let run = async {
        let servers = servers(8);
        let (addr, _queued, _listener) = silent().await;
        let server = servers.apply(&list(addr, ServerState::InService, true)).1[0].server;
        let begin_by = Instant::now() + Duration::from_millis(30);
        let call = call();
        let ended = servers.attempt(server, &call, soon(), begin_by, None).await;
        assert_eq!(ended.outcome, Outcome::Moot);
        assert!(!call.was_sent.get());
        // The same on a connection that is there.
        let addr = named("x").await;
        let server = servers.apply(&list(addr, ServerState::InService, true)).1[0].server;
        let ended = servers.attempt(server, &call, soon(), Instant::now(), None).await;
        assert_eq!((ended.outcome, call.was_sent.get()), (Outcome::Moot, false));
    };
    LocalSet::new().run_until(run).await;
}

// A change that ends sends to a server, be it a drain or a whole list without it, ends those too that wait for
// their connection.
#[tokio::test]
async fn what_waits_for_its_connection_goes_by_the_newest_list() {
    for change in ["drains", "is left out"] {
        let run = async {
            let servers = servers(8);
            let (addr, queued, listener) = silent().await;
            let server = servers.apply(&list(addr, ServerState::InService, true)).1[0].server;
            let call = Rc::new(call());
            let waiting = spawn_local({
                let (servers, call) = (servers.clone(), call.clone());
                async move { attempt(&servers, server, &call, soon()).await.outcome }
            });
            tokio::task::yield_now().await;
            servers.apply(&match change {
                "drains" => list(addr, ServerState::Terminating, false),
                _ => ServerList { revision: None, is_complete: true, entries: Vec::new() },
            });
            let heard = listen(queued, listener);
            assert_eq!(waiting.await.unwrap(), Outcome::ConnectFailed);
            assert!(!call.was_sent.get(), "{change}");
            tokio::time::sleep(Duration::from_millis(50)).await;
            assert!(!heard.is_finished(), "something was written: {change}");
        };
        LocalSet::new().run_until(run).await;
    }
}
