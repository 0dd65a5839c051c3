//! Contract of the fault proxy.

mod support;

use {
    standins::faultproxy::{CutMode, FaultProxy, Host, ProxyConf, Rule, Rules},
    std::{
        net::{IpAddr, SocketAddr},
        time::Duration,
    },
    support::{LIMIT, listener, send},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpListener, TcpSocket, TcpStream, UdpSocket},
        time::timeout,
    },
    tokio_util::sync::CancellationToken,
};

const TCP_PORT: u16 = 7101;
const UDP_PORT: u16 = 7103;
/// Long enough to see that nothing arrives.
const QUIET: Duration = Duration::from_millis(150);

struct Pair {
    admin: SocketAddr,
    hosts: [Host; 2],
}

impl Pair {
    /// A proxy between a host in zone a and one in zone b, on addresses that no
    /// other test on this machine uses: the proxy's own listeners claim them.
    async fn new() -> Self {
        loop {
            if let Some(pair) = Self::on_block(rand::random()).await {
                return pair;
            }
        }
    }

    async fn on_block(block: u8) -> Option<Self> {
        let host = |text: String| text.parse::<Host>().expect("a host");
        let hosts = [
            host(format!("127.131.{block}.1=127.31.{block}.1@a")),
            host(format!("127.131.{block}.2=127.31.{block}.2@b")),
        ];
        let conf = ProxyConf {
            hosts: hosts.to_vec(),
            tcp_ports: vec![TCP_PORT],
            udp_ports: vec![UDP_PORT],
        };
        let proxy = FaultProxy::new(&conf).await.ok()?;
        let admin_listener = listener().await;
        let admin = admin_listener.local_addr().expect("bound");
        tokio::spawn(proxy.serve(admin_listener, CancellationToken::new()));
        Some(Self { admin, hosts })
    }

    async fn set_rules(&self, rules: Vec<Rule>) {
        let body = serde_json::to_vec(&Rules(rules)).expect("rules are JSON");
        let answer = send(self.admin, "PUT", "/-/rules", &[], &body).await;
        assert_eq!(answer.expect("answered").status, 200);
    }

    /// A connection from the first host to the second, both ends.
    async fn connect(&self) -> (TcpStream, TcpStream) {
        let server = SocketAddr::new(self.hosts[1].real_ip, TCP_PORT);
        let server = TcpListener::bind(server).await.expect("free");
        let client = connect_from(self.hosts[0].real_ip, self.hosts[1].virtual_ip);
        let (client, accepted) = tokio::join!(client, server.accept());
        let (accepted, source) = accepted.expect("accepted");
        assert_eq!(source.ip(), self.hosts[0].virtual_ip);
        (client.expect("connected"), accepted)
    }
}

async fn connect_from(source: IpAddr, to: IpAddr) -> std::io::Result<TcpStream> {
    let socket = TcpSocket::new_v4()?;
    socket.bind(SocketAddr::new(source, 0))?;
    socket.connect(SocketAddr::new(to, TCP_PORT)).await
}

fn one_way() -> Rule {
    Rule {
        from_zone: Some("a".to_owned()),
        to_zone: Some("b".to_owned()),
        ..Rule::default()
    }
}

async fn read_text(stream: &mut TcpStream, byte_count: usize) -> Option<String> {
    let mut buffer = vec![0; byte_count];
    let read = timeout(LIMIT, stream.read_exact(&mut buffer)).await;
    read.expect("within the limit").ok()?;
    String::from_utf8(buffer).ok()
}

#[tokio::test]
async fn passes_bytes_both_ways_and_ends() {
    let pair = Pair::new().await;
    let (mut client, mut server) = pair.connect().await;
    client.write_all(b"ask").await.expect("sent");
    assert_eq!(read_text(&mut server, 3).await.as_deref(), Some("ask"));
    server.write_all(b"answer").await.expect("sent");
    drop(server);
    assert_eq!(read_text(&mut client, 6).await.as_deref(), Some("answer"));
    assert_eq!(client.read(&mut [0; 8]).await.expect("a clean end"), 0);
}

/// The network between two zones breaks one way and resets what is open. Both
/// ends of a connection see a reset, and new ones fail.
#[tokio::test]
async fn cut_resets_open_and_new_connections() {
    let pair = Pair::new().await;
    let (mut client, mut server) = pair.connect().await;
    let cut = Rule {
        cut: Some(CutMode::Reset),
        ..one_way()
    };
    pair.set_rules(vec![cut]).await;
    assert!(client.read(&mut [0; 8]).await.is_err());
    assert!(server.read(&mut [0; 8]).await.is_err());
    let hosts = &pair.hosts;
    let again = connect_from(hosts[0].real_ip, hosts[1].virtual_ip).await;
    if let Ok(mut stream) = again {
        assert!(stream.read(&mut [0; 8]).await.is_err());
    }
}

/// Packets vanish one way without a word. The receiver sees nothing, the other
/// way still works, and the connection is dead once the network is back.
#[tokio::test]
async fn black_hole_one_way() {
    let pair = Pair::new().await;
    let (mut client, mut server) = pair.connect().await;
    let cut = Rule {
        cut: Some(CutMode::BlackHole),
        ..one_way()
    };
    pair.set_rules(vec![cut]).await;
    client.write_all(b"lost").await.expect("taken");
    assert!(timeout(QUIET, server.read(&mut [0; 8])).await.is_err());
    server.write_all(b"back").await.expect("sent");
    assert_eq!(read_text(&mut client, 4).await.as_deref(), Some("back"));
    pair.set_rules(Vec::new()).await;
    assert!(server.read(&mut [0; 8]).await.is_err());
}

/// A network device hangs and goes on later. Bytes arrive late, but whole.
#[tokio::test]
async fn freeze_holds_bytes_until_lifted() {
    let pair = Pair::new().await;
    let (mut client, mut server) = pair.connect().await;
    let freeze = Rule {
        freeze: true,
        ..one_way()
    };
    pair.set_rules(vec![freeze]).await;
    client.write_all(b"held").await.expect("taken");
    assert!(timeout(QUIET, server.read(&mut [0; 8])).await.is_err());
    pair.set_rules(Vec::new()).await;
    assert_eq!(read_text(&mut server, 4).await.as_deref(), Some("held"));
}

#[tokio::test]
async fn delay_applies_to_open_connections() {
    let pair = Pair::new().await;
    let (mut client, mut server) = pair.connect().await;
    let delay = Rule {
        delay_ms: 100,
        ..one_way()
    };
    pair.set_rules(vec![delay]).await;
    let sent_at = std::time::Instant::now();
    client.write_all(b"late").await.expect("sent");
    assert_eq!(read_text(&mut server, 4).await.as_deref(), Some("late"));
    assert!(sent_at.elapsed() >= Duration::from_millis(100));
}

/// Datagrams vanish, arrive twice, late or not at all, as networks do; the
/// source is always the sender's virtual address.
#[tokio::test]
async fn datagrams() {
    struct Case {
        name: &'static str,
        rule: Rule,
        copy_count: usize,
    }
    let cases = [
        Case {
            name: "no fault",
            rule: Rule::default(),
            copy_count: 1,
        },
        Case {
            name: "cut",
            rule: Rule {
                cut: Some(CutMode::Reset),
                ..one_way()
            },
            copy_count: 0,
        },
        Case {
            name: "cut the other way only",
            rule: Rule {
                from_zone: Some("b".to_owned()),
                cut: Some(CutMode::BlackHole),
                ..Rule::default()
            },
            copy_count: 1,
        },
        Case {
            name: "dropped",
            rule: Rule {
                drop_ratio: 1.0,
                ..one_way()
            },
            copy_count: 0,
        },
        Case {
            name: "doubled",
            rule: Rule {
                duplicate_ratio: 1.0,
                ..one_way()
            },
            copy_count: 2,
        },
        Case {
            name: "delayed",
            rule: Rule {
                delay_ms: 20,
                ..one_way()
            },
            copy_count: 1,
        },
        Case {
            name: "frozen",
            rule: Rule {
                freeze: true,
                ..one_way()
            },
            copy_count: 0,
        },
    ];
    let pair = Pair::new().await;
    let [from, to] = &pair.hosts;
    let bind = async |ip| UdpSocket::bind(SocketAddr::new(ip, UDP_PORT)).await;
    let sender = bind(from.real_ip).await.expect("free");
    let receiver = bind(to.real_ip).await.expect("free");
    for case in cases {
        pair.set_rules(vec![case.rule]).await;
        let to_virtual = SocketAddr::new(to.virtual_ip, UDP_PORT);
        sender.send_to(b"ping", to_virtual).await.expect("sent");
        let mut copy_count = 0;
        let mut buffer = [0; 16];
        let wait = |copies| {
            if copies < case.copy_count {
                LIMIT
            } else {
                QUIET
            }
        };
        while let Ok(received) = timeout(wait(copy_count), receiver.recv_from(&mut buffer)).await {
            let (_, source) = received.expect("received");
            assert_eq!(
                source,
                SocketAddr::new(from.virtual_ip, UDP_PORT),
                "{}",
                case.name
            );
            copy_count += 1;
        }
        assert_eq!(copy_count, case.copy_count, "{}", case.name);
    }
    pair.set_rules(Vec::new()).await;
    let held = timeout(LIMIT, receiver.recv_from(&mut [0; 16])).await;
    held.expect("the frozen datagram arrives")
        .expect("received");
}

#[tokio::test]
async fn malformed_rules_are_refused() {
    let pair = Pair::new().await;
    for body in ["", "{}", "[{\"cut\":\"yes\"}]", "[{\"form_zone\":\"a\"}]"] {
        let answer = send(pair.admin, "PUT", "/-/rules", &[], body.as_bytes()).await;
        assert_eq!(answer.expect("answered").status, 400, "{body:?}");
    }
}
