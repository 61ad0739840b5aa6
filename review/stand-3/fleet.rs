//! The project's own programs as processes on loopback addresses, with the settings of the deploy file.

use std::collections::HashMap;
use std::fs::{self, File};
use std::net::{Ipv4Addr, SocketAddrV4, UdpSocket};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use crate::backend::Identity;
use crate::http::call;
use crate::record::Record;
use crate::store::Store;

pub const DATA_PORT: u16 = 8_172;
const READINESS_PORT: u16 = 8_167;
const CONTROL_PORT: u16 = 8_166;
const OUTBOUND_PORT: u16 = 8_162;
const APP_PORT: u16 = 8_165;
const STORE_PORT: u16 = 8_169;
const INTERNAL_PORTS: [u16; 2] = [7_720, 7_735];

const SIGKILL: i32 = 9;
const SIGCONT: i32 = 18;
const SIGSTOP: i32 = 19;

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

/// A machine of the deployment.
#[derive(Clone, Debug)]
pub struct Machine {
    pub name: String,
    pub ip: Ipv4Addr,
    pub zone: String,
    /// Service of the backend server beside it; `None` on a `frontend` machine.
    pub service: Option<String>,
}

impl Machine {
    /// Where the routers send packets.
    pub fn data(&self) -> SocketAddrV4 {
        SocketAddrV4::new(self.ip, DATA_PORT)
    }

    /// What a backend server on this machine says of itself.
    pub fn identity(&self, id: &str) -> Identity {
        Identity {
            id: id.to_owned(),
            service: self.service.clone().unwrap_or_default(),
            zone: self.zone.clone(),
            address: SocketAddrV4::new(self.ip, APP_PORT),
            outbound: SocketAddrV4::new(self.ip, OUTBOUND_PORT),
            control: SocketAddrV4::new(self.ip, CONTROL_PORT),
            clock_ahead_ms: 0,
            first_seq: 1,
            first_beat_after: Duration::ZERO,
            warmup: Duration::ZERO,
        }
    }
}

/// The running processes, which end when this is dropped.
pub struct Fleet {
    pub store: Store,
    store_at: SocketAddrV4,
    seeds: Vec<SocketAddrV4>,
    block: [u8; 2],
    dir: PathBuf,
    children: HashMap<String, Child>,
    record: Record,
}

impl Fleet {
    /// Starts the store. The addresses of the run are in a block of their own.
    pub fn start(record: &Record) -> std::io::Result<Self> {
        let block = free_block().ok_or_else(|| std::io::Error::other("no free addresses"))?;
        let dir = std::env::temp_dir().join(format!("review-3-{}", std::process::id()));
        fs::create_dir_all(&dir)?;
        let store_at = SocketAddrV4::new(Ipv4Addr::new(127, block[0], block[1], 250), STORE_PORT);
        Ok(Self {
            store: Store::start(store_at)?,
            store_at,
            seeds: (1..=3)
                .map(|n| SocketAddrV4::new(Ipv4Addr::new(127, block[0], block[1], n), CONTROL_PORT))
                .collect(),
            block,
            dir,
            children: HashMap::new(),
            record: record.clone(),
        })
    }

    /// The address with this last number in the block of the run.
    pub fn ip(&self, number: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.block[0], self.block[1], number)
    }

    /// A machine at the address with this last number.
    pub fn machine(&self, number: u8, zone: &str, service: Option<&str>) -> Machine {
        let class = if service.is_some() {
            "side"
        } else {
            "frontend"
        };
        Machine {
            name: format!("{class}-{number}"),
            ip: self.ip(number),
            zone: zone.to_owned(),
            service: service.map(str::to_owned),
        }
    }

    /// Starts the role of a machine with the command and the template of the deploy file.
    pub fn start_process(&mut self, machine: &Machine) -> std::io::Result<()> {
        let (template, command) = match machine.service {
            Some(_) => (
                "deploy/agent.json",
                ["target/release/buckthornlink-agent", "--datagrams", ""],
            ),
            None => (
                "deploy/balancer.json",
                ["target/release/buckthornlink", "balancer", "--datagrams"],
            ),
        };
        let settings = self.dir.join(format!("{}.json", machine.name));
        fs::write(
            &settings,
            self.render(&fs::read_to_string(template)?, machine),
        )?;
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.dir.join(format!("{}.log", machine.name)))?;
        let child = Command::new(command[0])
            .args(command[1..].iter().filter(|word| !word.is_empty()))
            .env_clear()
            .env("BUCKTHORNLINK_SETTINGS", &settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.record.line(&format!(
            "{} starts as process {}",
            machine.name,
            child.id()
        ));
        self.children.insert(machine.name.clone(), child);
        Ok(())
    }

    fn render(&self, template: &str, machine: &Machine) -> String {
        let at = |port| SocketAddrV4::new(machine.ip, port).to_string();
        let seeds: Vec<String> = self
            .seeds
            .iter()
            .map(|seed| format!("\"{seed}\""))
            .collect();
        let fields = [
            ("{{Ip}}", machine.ip.to_string()),
            ("{{Zone}}", machine.zone.clone()),
            ("{{platform.Address}}", self.store_at.to_string()),
            ("{{InternalPorts.0}}", INTERNAL_PORTS[0].to_string()),
            ("{{InternalPorts.1}}", INTERNAL_PORTS[1].to_string()),
            ("{{Listen.Readiness}}", at(READINESS_PORT)),
            ("{{Listen.ControlPlane}}", at(CONTROL_PORT)),
            ("{{Listen.DataAddr}}", at(DATA_PORT)),
            ("{{Listen.outbound}}", at(OUTBOUND_PORT)),
            ("{{Seeds|json}}", format!("[{}]", seeds.join(","))),
            ("{{HeartbeatMs}}", "1200".to_owned()),
            ("{{Service}}", machine.service.clone().unwrap_or_default()),
            ("{{app}}", at(APP_PORT)),
        ];
        fields
            .iter()
            .fold(template.to_owned(), |text, (name, value)| {
                text.replace(name, value)
            })
    }

    /// Kills a process without a word.
    pub fn kill(&mut self, machine: &Machine) {
        self.signal(machine, SIGKILL, "is killed");
        if let Some(mut child) = self.children.remove(&machine.name) {
            let _ = child.wait();
        }
    }

    /// Stops a process until it wakes.
    pub fn freeze(&self, machine: &Machine) {
        self.signal(machine, SIGSTOP, "is frozen");
    }

    /// Continues a process.
    pub fn wake(&self, machine: &Machine) {
        self.signal(machine, SIGCONT, "wakes");
    }

    /// Whether a process that was not killed here has ended by itself.
    pub fn has_own_end(&mut self) -> Option<String> {
        let mut children = self.children.iter_mut();
        children.find_map(|(name, child)| {
            let status = child.try_wait().ok().flatten()?;
            Some(format!("{name}: {status}"))
        })
    }

    fn signal(&self, machine: &Machine, signal: i32, what: &str) {
        if let Some(child) = self.children.get(&machine.name) {
            self.record.line(&format!("{} {what}", machine.name));
            // SAFETY: the process is a child of this one that has not been waited for.
            unsafe { kill(child.id() as i32, signal) };
        }
    }

    /// Waits until the machines are ready; returns whether they are.
    pub fn wait_ready(&self, machines: &[&Machine], timeout: Duration) -> bool {
        let start = Instant::now();
        let is_ready = |machine: &&Machine| {
            let at = SocketAddrV4::new(machine.ip, READINESS_PORT);
            call(at, "GET", "/v1/ready", "", Duration::from_millis(500)) == Some(200)
        };
        while start.elapsed() < timeout {
            if machines.iter().all(is_ready) {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for child in self.children.values_mut() {
            // SAFETY: the process is a child of this one that has not been waited for.
            unsafe { kill(child.id() as i32, SIGCONT) };
            let _ = child.kill();
            let _ = child.wait();
        }
        if std::env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.dir);
        }
    }
}

/// Chooses a block of loopback addresses that nobody uses.
fn free_block() -> Option<[u8; 2]> {
    let pid = std::process::id();
    (0..64_u32).find_map(|n| {
        let mixed = pid.wrapping_mul(2_654_435_761).wrapping_add(n * 7_919);
        let block = [40 + (mixed >> 8) as u8 % 180, (mixed >> 20) as u8 % 250];
        let ip = Ipv4Addr::new(127, block[0], block[1], 250);
        let ports = [STORE_PORT, DATA_PORT, CONTROL_PORT];
        let is_free = ports.iter().all(|port| {
            let at = SocketAddrV4::new(ip, *port);
            UdpSocket::bind(at).is_ok() && std::net::TcpListener::bind(at).is_ok()
        });
        is_free.then_some(block)
    })
}
