//! TCP connections through the proxy.

use {
    super::{CutMode, Effect, Host, Rules, proxy::Mesh},
    bytes::{Bytes, BytesMut},
    std::{io, net::SocketAddr, sync::Arc, time::Duration},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{
            TcpListener, TcpSocket, TcpStream,
            tcp::{ReadHalf, WriteHalf},
        },
        sync::{mpsc, watch},
        time::{self, Instant},
    },
};

const CHUNK_BYTES: usize = 16 << 10;
/// Chunks under way in one direction; the bandwidth under a delay depends on it.
const CHUNK_COUNT: usize = 256;
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);

type RulesReceiver = watch::Receiver<Arc<Rules>>;

/// Bytes and when they arrive.
#[derive(Debug)]
struct Chunk {
    deliver_at: Instant,
    data: Bytes,
}

/// One way of a connection.
#[derive(Debug, Clone)]
struct Way {
    from: Host,
    to: Host,
    port: u16,
    rules: RulesReceiver,
}

impl Way {
    fn effect(&self) -> Effect {
        self.rules.borrow().effect(&self.from, &self.to, self.port)
    }

    fn reversed(&self) -> Self {
        Self {
            from: self.to.clone(),
            to: self.from.clone(),
            port: self.port,
            rules: self.rules.clone(),
        }
    }

    async fn wait_open(&mut self) {
        let Self {
            from,
            to,
            port,
            rules,
        } = self;
        let is_open = |rules: &Arc<Rules>| !rules.effect(from, to, *port).is_held();
        let _ = rules.wait_for(is_open).await;
    }
}

/// Accepts connections to one port of a host.
pub(super) async fn serve(mesh: Arc<Mesh>, to: Host, listener: TcpListener) {
    let Ok(address) = listener.local_addr() else {
        return;
    };
    loop {
        let Ok((client, source)) = listener.accept().await else {
            time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let way = Way {
            from: mesh.hosts.sender(source.ip()),
            to: to.clone(),
            port: address.port(),
            rules: mesh.rules.subscribe(),
        };
        let is_host = mesh.hosts.by_real_ip(source.ip()).is_some();
        tokio::spawn(relay(client, way, is_host));
    }
}

async fn relay(mut client: TcpStream, way: Way, is_host: bool) {
    let mut server = None;
    let cut = wait_cut(way.clone());
    let exchange = connect_and_pump(&mut client, &mut server, way, is_host);
    // Biased, since a connection over a way that is cut must not get through
    // at random.
    let is_whole = tokio::select! {
        biased;
        () = cut => false,
        result = exchange => result.is_ok(),
    };
    if is_whole {
        return;
    }
    for stream in [Some(client), server].into_iter().flatten() {
        let _ = stream.set_zero_linger();
    }
}

async fn connect_and_pump(
    client: &mut TcpStream,
    server: &mut Option<TcpStream>,
    mut way: Way,
    is_host: bool,
) -> io::Result<()> {
    way.wait_open().await;
    let server = server.insert(connect(&way, is_host).await?);
    client.set_nodelay(true)?;
    server.set_nodelay(true)?;
    let back = way.reversed();
    let (client_read, client_write) = client.split();
    let (server_read, server_write) = server.split();
    tokio::try_join!(
        pump(client_read, server_write, way),
        pump(server_read, client_write, back),
    )?;
    Ok(())
}

/// Connects from the sender's virtual address, so that the receiver sees the
/// address under which it knows the sender.
async fn connect(way: &Way, is_host: bool) -> io::Result<TcpStream> {
    let socket = TcpSocket::new_v4()?;
    if is_host {
        socket.bind(SocketAddr::new(way.from.virtual_ip, 0))?;
    }
    socket
        .connect(SocketAddr::new(way.to.real_ip, way.port))
        .await
}

async fn pump(read: ReadHalf<'_>, write: WriteHalf<'_>, way: Way) -> io::Result<()> {
    let (sender, receiver) = mpsc::channel(CHUNK_COUNT);
    tokio::try_join!(
        read_chunks(read, sender, way.clone()),
        write_chunks(write, receiver, way),
    )?;
    Ok(())
}

async fn read_chunks(
    mut read: ReadHalf<'_>,
    sender: mpsc::Sender<Chunk>,
    way: Way,
) -> io::Result<()> {
    let mut buffer = BytesMut::new();
    loop {
        buffer.reserve(CHUNK_BYTES);
        if read.read_buf(&mut buffer).await? == 0 {
            return Ok(());
        }
        let delay = Duration::from_millis(way.effect().delay_ms);
        let chunk = Chunk {
            deliver_at: Instant::now() + delay,
            data: buffer.split().freeze(),
        };
        if sender.send(chunk).await.is_err() {
            return Ok(());
        }
    }
}

async fn write_chunks(
    mut write: WriteHalf<'_>,
    mut receiver: mpsc::Receiver<Chunk>,
    mut way: Way,
) -> io::Result<()> {
    while let Some(chunk) = receiver.recv().await {
        if chunk.deliver_at > Instant::now() {
            time::sleep_until(chunk.deliver_at).await;
        }
        way.wait_open().await;
        write.write_all(&chunk.data).await?;
    }
    way.wait_open().await;
    write.shutdown().await
}

/// Returns when the connection is to be reset.
async fn wait_cut(way: Way) {
    let back = way.reversed();
    let mut rules = way.rules.clone();
    let mut lost_bytes = false;
    loop {
        rules.mark_unchanged();
        let cuts = [way.effect().cut, back.effect().cut];
        if cuts.contains(&Some(CutMode::BlackHole)) {
            lost_bytes = true;
        } else if lost_bytes || cuts.contains(&Some(CutMode::Reset)) {
            return;
        }
        if rules.changed().await.is_err() {
            return;
        }
    }
}
