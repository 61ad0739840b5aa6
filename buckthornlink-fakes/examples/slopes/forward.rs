//! Datagrams forwarded per second of processor time, by a balancer and by a bare relay.

use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4, UdpSocket};
use std::path::Path;
use std::process::{Child, Command};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use buckthornlink_core::{ServicePort, ZoneTag};
use buckthornlink_wire::{ConnectionId, FlowLocation, KeyRing};

use crate::process::{self, TICKS_PER_SECOND, processor_ticks};

const SINK: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(127, 9, 7, 1), 4_500);
const RELAY: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(127, 9, 7, 2), 4_433);
const SERVICE: ServicePort = ServicePort(4_433);
/// Ids of different flows in circulation.
const FLOWS: u32 = 300_000;
const DATAGRAM_BYTES: usize = 1_200;
const RUN: Duration = Duration::from_secs(5);
const SETTLE: Duration = Duration::from_millis(700);
const BURST: u32 = 48;
/// Pause between two bursts; keeps the offered rate below what the receivers can take.
const PAUSE: Duration = Duration::from_micros(150);

/// What one program did.
#[derive(Debug)]
pub struct Forwarded {
    pub name: &'static str,
    pub datagrams: u64,
    pub seconds: f64,
    pub memory: u64,
}

impl Forwarded {
    /// Datagrams per second of processor time.
    #[expect(clippy::cast_precision_loss, reason = "counts stay far below 2^52")]
    pub fn rate(&self) -> f64 {
        self.datagrams as f64 / self.seconds.max(f64::MIN_POSITIVE)
    }
}

/// Measures both programs, one after the other.
pub async fn measure(program: &Path) -> anyhow::Result<[Forwarded; 2]> {
    let relay = Command::new(std::env::current_exe()?)
        .arg("relay")
        .spawn()?;
    tokio::time::sleep(SETTLE).await;
    let bare = run("bare relay", relay, RELAY)?;
    let store = process::store_with(&process::config_at(SERVICE)).await?;
    let child = process::start(program, &store, process::balancer_link())?;
    tokio::time::sleep(SETTLE).await;
    let target = SocketAddrV4::new(*process::balancer_link().ip(), SERVICE.0);
    Ok([bare, run("balancer", child, target)?])
}

/// Receives and sends, without looking at anything.
pub fn relay() -> anyhow::Result<()> {
    let socket = UdpSocket::bind(RELAY)?;
    let mut buffer = [0; 2_048];
    loop {
        let (len, _) = socket.recv_from(&mut buffer)?;
        socket.send_to(&buffer[..len], SINK)?;
    }
}

fn run(name: &'static str, mut child: Child, target: SocketAddrV4) -> anyhow::Result<Forwarded> {
    let sink = Sink::open()?;
    let id = child.id().to_string();
    let before = processor_ticks(&id)?;
    blast(target)?;
    thread::sleep(SETTLE);
    let seconds = (processor_ticks(&id)? - before) / TICKS_PER_SECOND;
    let memory = process::resident_bytes(&id)?;
    child.kill()?;
    child.wait()?;
    Ok(Forwarded {
        name,
        datagrams: sink.close(),
        seconds,
        memory,
    })
}

/// Sends datagrams of many flows in bursts.
fn blast(target: SocketAddrV4) -> anyhow::Result<()> {
    let socket = UdpSocket::bind((Ipv4Addr::new(127, 9, 7, 3), 0))?;
    let keys = KeyRing::single(1, &[1; 32]);
    let place = FlowLocation {
        agent: SINK,
        service: SERVICE,
        zone: ZoneTag::of("brasov-1"),
        boot: 1,
    };
    let mut datagram = [0; DATAGRAM_BYTES];
    datagram[0] = 0x40;
    let start = Instant::now();
    let mut flow = 0;
    while start.elapsed() < RUN {
        for _ in 0..BURST {
            flow = (flow + 1) % FLOWS;
            let cid = ConnectionId::seal(&place, flow, keys.current());
            datagram[1..=cid.len()].copy_from_slice(&cid);
            let _ = socket.send_to(&datagram, SocketAddr::V4(target));
        }
        thread::sleep(PAUSE);
    }
    Ok(())
}

/// Counts what arrives.
struct Sink {
    count: Arc<AtomicU64>,
    stop: Arc<AtomicBool>,
    thread: thread::JoinHandle<()>,
}

impl Sink {
    fn open() -> std::io::Result<Self> {
        let socket = UdpSocket::bind(SINK)?;
        socket.set_read_timeout(Some(Duration::from_millis(50)))?;
        let count = Arc::new(AtomicU64::new(0));
        let stop = Arc::new(AtomicBool::new(false));
        let (counted, stopped) = (Arc::clone(&count), Arc::clone(&stop));
        let thread = thread::spawn(move || {
            let mut buffer = [0; 2_048];
            while !stopped.load(Ordering::Relaxed) {
                if socket.recv(&mut buffer).is_ok() {
                    counted.fetch_add(1, Ordering::Relaxed);
                }
            }
        });
        Ok(Self {
            count,
            stop,
            thread,
        })
    }

    fn close(self) -> u64 {
        self.stop.store(true, Ordering::Relaxed);
        let _ = self.thread.join();
        self.count.load(Ordering::Relaxed)
    }
}
