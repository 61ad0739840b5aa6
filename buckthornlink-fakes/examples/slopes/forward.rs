//! Measures how many datagrams a balancer and a bare relay forward per second of processor time.

use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4, UdpSocket};
use std::path::Path;
use std::process::{Child, Command};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use buckthornlink_core::{ServicePort, ZoneTag};
use buckthornlink_wire::{CidCodec, FlowLocation, KeyRing};

use crate::process::{self, TICKS_PER_SECOND, processor_ticks};

const SINK_ADDR: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(127, 9, 7, 1), 4_500);
const RELAY_ADDR: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(127, 9, 7, 2), 4_433);
const SERVICE: ServicePort = ServicePort(4_433);
/// Number of flows whose connection ids the sender uses in turn.
const FLOW_COUNT: u32 = 300_000;
const DATAGRAM_BYTES: usize = 1_200;
const SEND_TIME: Duration = Duration::from_secs(5);
const SETTLE_TIME: Duration = Duration::from_millis(700);
const BURST_SIZE: u32 = 48;
/// Pause between two bursts; keeps the sending rate below what the receivers can process.
const BURST_DELAY: Duration = Duration::from_micros(150);

/// Datagrams that one program forwarded, and the resources that it used.
#[derive(Debug)]
pub struct Throughput {
    pub name: &'static str,
    pub datagrams: u64,
    pub processor_seconds: f64,
    pub memory_bytes: u64,
}

impl Throughput {
    /// Datagrams forwarded per second of processor time.
    #[expect(clippy::cast_precision_loss, reason = "counts stay far below 2^52")]
    pub fn rate(&self) -> f64 {
        self.datagrams as f64 / self.processor_seconds.max(f64::MIN_POSITIVE)
    }
}

/// Measures the bare relay, then the balancer.
pub async fn measure(program: &Path) -> anyhow::Result<[Throughput; 2]> {
    let child = Command::new(std::env::current_exe()?)
        .arg("relay")
        .spawn()?;
    tokio::time::sleep(SETTLE_TIME).await;
    let relay = measure_program("bare relay", child, RELAY_ADDR)?;
    let store = process::spawn_store(&process::single_service_config(SERVICE)).await?;
    let child = process::start_balancer(program, &store, process::balancer_addr())?;
    tokio::time::sleep(SETTLE_TIME).await;
    let target = SocketAddrV4::new(*process::balancer_addr().ip(), SERVICE.0);
    Ok([relay, measure_program("balancer", child, target)?])
}

/// Forwards datagrams without inspecting them, as the baseline for the balancer.
pub fn run_relay() -> anyhow::Result<()> {
    let socket = UdpSocket::bind(RELAY_ADDR)?;
    let mut buffer = [0; 2_048];
    loop {
        let (len, _) = socket.recv_from(&mut buffer)?;
        socket.send_to(&buffer[..len], SINK_ADDR)?;
    }
}

fn measure_program(
    name: &'static str,
    mut child: Child,
    target: SocketAddrV4,
) -> anyhow::Result<Throughput> {
    let sink = Sink::spawn()?;
    let pid = child.id().to_string();
    let ticks_before = processor_ticks(&pid)?;
    send_datagrams(target)?;
    thread::sleep(SETTLE_TIME);
    let processor_seconds = (processor_ticks(&pid)? - ticks_before) / TICKS_PER_SECOND;
    let memory_bytes = process::resident_bytes(&pid)?;
    child.kill()?;
    child.wait()?;
    Ok(Throughput {
        name,
        datagrams: sink.finish(),
        processor_seconds,
        memory_bytes,
    })
}

/// Sends datagrams of many flows in bursts.
fn send_datagrams(target: SocketAddrV4) -> anyhow::Result<()> {
    let socket = UdpSocket::bind((Ipv4Addr::new(127, 9, 7, 3), 0))?;
    let keys = KeyRing::single(1, &[1; 32]);
    let location = FlowLocation {
        agent: SINK_ADDR,
        service: SERVICE,
        zone: ZoneTag::of("brasov-1"),
        boot: 1,
    };
    let mut datagram = [0; DATAGRAM_BYTES];
    datagram[0] = 0x40;
    let start = Instant::now();
    let mut flow = 0;
    while start.elapsed() < SEND_TIME {
        for _ in 0..BURST_SIZE {
            flow = (flow + 1) % FLOW_COUNT;
            let cid = CidCodec::seal(&location, flow, keys.current());
            datagram[1..=cid.len()].copy_from_slice(&cid);
            let _ = socket.send_to(&datagram, SocketAddr::V4(target));
        }
        thread::sleep(BURST_DELAY);
    }
    Ok(())
}

/// Counts the datagrams that arrive at [`SINK_ADDR`].
struct Sink {
    count: Arc<AtomicU64>,
    stop: Arc<AtomicBool>,
    thread: thread::JoinHandle<()>,
}

impl Sink {
    fn spawn() -> std::io::Result<Self> {
        let socket = UdpSocket::bind(SINK_ADDR)?;
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

    fn finish(self) -> u64 {
        self.stop.store(true, Ordering::Relaxed);
        let _ = self.thread.join();
        self.count.load(Ordering::Relaxed)
    }
}
