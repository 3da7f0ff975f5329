//! A stand-in for a replica: slots, a queue, receipts, identity, load reports.

use std::{
    io::{BufReader, Write},
    net::{IpAddr, Shutdown, SocketAddr, TcpListener, TcpStream},
    os::fd::AsRawFd,
    sync::{
        Arc, Condvar, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use crate::http::{Message, read_message};

const SLOTS: usize = 2;
const QUEUE: usize = 12;
const POLL: Duration = Duration::from_millis(2);

/// A request that a replica began to work on.
#[derive(Clone, Debug)]
pub struct Run {
    pub at: Instant,
    pub request: String,
    pub path: String,
}

#[derive(Debug, Default)]
struct Load {
    running: usize,
    waiting: usize,
}

#[derive(Debug)]
struct Shared {
    id: String,
    service: String,
    zone: String,
    born: u128,
    is_shard: bool,
    work_ms: AtomicU64,
    is_leaving: AtomicBool,
    is_down: AtomicBool,
    load: Mutex<Load>,
    freed: Condvar,
    runs: Mutex<Vec<Run>>,
    connections: Mutex<Vec<TcpStream>>,
    /// The host that is partitioned from this replica: its connections are reset.
    partitioned: Mutex<Option<IpAddr>>,
}

/// One run of a replica.
#[derive(Clone, Debug)]
pub struct Replica {
    pub address: SocketAddr,
    shared: Arc<Shared>,
}

impl Replica {
    /// Starts a replica; `address` has port 0 for a free one. A shard's answers are parts.
    pub fn spawn(id: &str, service: &str, zone: &str, address: &str, work_ms: u64, is_shard: bool) -> Self {
        let mut listener = TcpListener::bind(address);
        let until = Instant::now() + Duration::from_secs(3);
        while listener.is_err() && Instant::now() < until {
            thread::sleep(Duration::from_millis(20));
            listener = TcpListener::bind(address);
        }
        let listener = listener.expect("the replica's address is free");
        listener.set_nonblocking(true).expect("a listener");
        let address = listener.local_addr().expect("an address");
        let shared = Arc::new(Shared {
            id: id.to_owned(),
            service: service.to_owned(),
            zone: zone.to_owned(),
            born: SystemTime::now().duration_since(UNIX_EPOCH).expect("a clock").as_millis(),
            is_shard,
            work_ms: AtomicU64::new(work_ms),
            is_leaving: AtomicBool::new(false),
            is_down: AtomicBool::new(false),
            load: Mutex::default(),
            freed: Condvar::new(),
            runs: Mutex::default(),
            connections: Mutex::default(),
            partitioned: Mutex::default(),
        });
        let replica = Self { address, shared };
        let serving = replica.clone();
        thread::spawn(move || {
            while !serving.is_down() {
                match listener.accept() {
                    Ok((stream, peer)) => {
                        if *serving.shared.partitioned.lock().unwrap() == Some(peer.ip()) {
                            reset(&stream);
                            continue;
                        }
                        let _ = stream.set_nonblocking(false);
                        serving.shared.connections.lock().unwrap().extend(stream.try_clone());
                        let replica = serving.clone();
                        thread::spawn(move || replica.serve(stream));
                    }
                    Err(_) => thread::sleep(POLL),
                }
            }
        });
        replica
    }

    pub fn id(&self) -> &str {
        &self.shared.id
    }

    pub fn service(&self) -> &str {
        &self.shared.service
    }

    pub fn zone(&self) -> &str {
        &self.shared.zone
    }

    /// Returns the key and the value of its entry in the store.
    pub fn entry(&self, seq: u64) -> (String, String) {
        let Shared { id, service, zone, born, .. } = &*self.shared;
        let address = self.address;
        let value = format!(
            "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"{zone}\",\"version\":\"v1\",\
             \"slots\":{SLOTS},\"state\":\"ready\",\"cold_left_ms\":0,\"seq\":{seq},\"born\":{born}}}"
        );
        (format!("servers/{id}"), value)
    }

    /// From now on its answers say that it leaves; it goes on serving.
    pub fn leave(&self) {
        self.shared.is_leaving.store(true, Ordering::SeqCst);
    }

    /// Ends at once, as a killed process does.
    pub fn crash(&self) {
        self.shared.is_down.store(true, Ordering::SeqCst);
        for stream in self.shared.connections.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
        self.shared.freed.notify_all();
    }

    /// Partitions a host from this replica, or ends that.
    pub fn partition(&self, host: Option<IpAddr>) {
        *self.shared.partitioned.lock().unwrap() = host;
        let mut connections = self.shared.connections.lock().unwrap();
        let is_cut = |stream: &TcpStream| stream.peer_addr().is_ok_and(|peer| Some(peer.ip()) == host);
        connections.iter().filter(|stream| is_cut(stream)).for_each(|stream| {
            reset(stream);
            let _ = stream.shutdown(Shutdown::Both);
        });
        connections.retain(|stream| !is_cut(stream));
    }

    pub fn runs(&self) -> Vec<Run> {
        self.shared.runs.lock().unwrap().clone()
    }

    /// Returns the number of requests that run now.
    pub fn running(&self) -> usize {
        self.shared.load.lock().unwrap().running
    }

    fn is_down(&self) -> bool {
        self.shared.is_down.load(Ordering::SeqCst)
    }

    fn serve(&self, stream: TcpStream) -> Option<()> {
        stream.set_nodelay(true).ok()?;
        let mut write = stream.try_clone().ok()?;
        let mut read = BufReader::new(stream);
        while let Some(request) = read_message(&mut read).ok()? {
            let answer = self.answer(&request)?;
            if self.is_down() {
                return None;
            }
            write.write_all(&answer).ok()?;
        }
        Some(())
    }

    /// Works on a request; `None` if the replica ends meanwhile.
    fn answer(&self, request: &Message) -> Option<Vec<u8>> {
        let shared = &*self.shared;
        let id = request.header("x-request-id").unwrap_or_default().to_owned();
        if request.header("x-expected-instance").is_some_and(|expected| expected != shared.id) {
            let head = format!("X-Instance-Id: {}\r\n", shared.id);
            return Some(response("421 Misdirected Request", &head, b""));
        }
        {
            let mut load = shared.load.lock().unwrap();
            if load.running >= SLOTS && load.waiting >= QUEUE {
                return Some(response("503 Service Unavailable", "X-Not-Executed: 1\r\n", b""));
            }
            load.waiting += 1;
            while load.running >= SLOTS && !self.is_down() {
                load = shared.freed.wait(load).unwrap();
            }
            load.waiting -= 1;
            load.running += 1;
        }
        let path = request.first[1].clone();
        shared.runs.lock().unwrap().push(Run { at: Instant::now(), request: id.clone(), path });
        let until = Instant::now() + Duration::from_millis(shared.work_ms.load(Ordering::SeqCst));
        while Instant::now() < until && !self.is_down() {
            thread::sleep(POLL.min(until.saturating_duration_since(Instant::now())));
        }
        let reported = {
            let mut load = shared.load.lock().unwrap();
            load.running -= 1;
            format!("{},{},{SLOTS}", load.running, load.waiting)
        };
        shared.freed.notify_one();
        if self.is_down() {
            return None;
        }
        let leaving = if shared.is_leaving.load(Ordering::SeqCst) { "Server-Leaving: 1\r\n" } else { "" };
        let head = format!(
            "X-Request-Id: {id}\r\nX-Response-Stamp: {}.{id}\r\nX-Server-Load: {reported}\r\n{leaving}",
            shared.id
        );
        let text = format!("{:<16}", format!("{}-{}", shared.service, shared.id));
        let body = if shared.is_shard { text.as_bytes()[..16].to_vec() } else { text.into_bytes() };
        Some(response("200 OK", &head, &body))
    }
}

/// Makes the connection end with a reset once it is closed.
fn reset(stream: &TcpStream) {
    #[repr(C)]
    struct Linger {
        is_on: i32,
        seconds: i32,
    }
    unsafe extern "C" {
        fn setsockopt(socket: i32, level: i32, name: i32, value: *const Linger, length: u32) -> i32;
    }
    // SOL_SOCKET and SO_LINGER of Linux, the same on x86-64 and arm64.
    const SOL_SOCKET: i32 = 1;
    const SO_LINGER: i32 = 13;
    let linger = Linger { is_on: 1, seconds: 0 };
    // SAFETY: the socket is open, and the value has the size that is given.
    unsafe { setsockopt(stream.as_raw_fd(), SOL_SOCKET, SO_LINGER, &linger, size_of::<Linger>() as u32) };
}

fn response(status: &str, head: &str, body: &[u8]) -> Vec<u8> {
    let mut bytes = format!("HTTP/1.1 {status}\r\n{head}Content-Length: {}\r\n\r\n", body.len()).into_bytes();
    bytes.extend_from_slice(body);
    bytes
}
