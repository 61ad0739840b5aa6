//! The project's own programs, as processes with the commands of the deploy file.

use std::fs::File;
use std::io::Write;
use std::net::Ipv4Addr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

pub const SIGTERM: i32 = 15;
pub const SIGKILL: i32 = 9;
pub const SIGSTOP: i32 = 19;
pub const SIGCONT: i32 = 18;

/// The addresses of a run: a block of loopback addresses and ports.
#[derive(Clone, Copy, Debug)]
pub struct Net {
    block: (u8, u8),
    port: u16,
}

impl Net {
    /// Finds a block of free ports.
    pub fn find() -> Net {
        let pid = std::process::id();
        for attempt in 0..200u32 {
            let port = 18_000 + (pid.wrapping_mul(7).wrapping_add(attempt * 61) % 900) as u16 * 13;
            let free = |p: u16| {
                std::net::TcpListener::bind(("0.0.0.0", p)).is_ok()
                    && std::net::UdpSocket::bind(("0.0.0.0", p)).is_ok()
            };
            if (port..port + 10).all(free) {
                let block = (1 + (pid % 200) as u8, 1 + (pid / 200 % 200) as u8);
                return Net { block, port };
            }
        }
        println!("no free ports");
        std::process::exit(2);
    }

    pub fn ip(&self, host: u16) -> Ipv4Addr {
        let [high, low] = host.to_be_bytes();
        Ipv4Addr::new(127, self.block.0, self.block.1 + high, low)
    }

    pub fn data(&self) -> u16 {
        self.port
    }
    pub fn link(&self) -> u16 {
        self.port + 1
    }
    pub fn relay(&self) -> u16 {
        self.port + 2
    }
    pub fn readiness(&self) -> u16 {
        self.port + 3
    }
    pub fn control(&self) -> u16 {
        self.port + 4
    }
    pub fn app(&self) -> u16 {
        self.port + 5
    }
    pub fn outbound(&self) -> u16 {
        self.port + 6
    }
    pub fn store(&self) -> u16 {
        self.port + 7
    }
    pub fn metrics(&self) -> u16 {
        self.port + 8
    }
    /// The store's address for one node.
    pub fn store_of(&self, ip: Ipv4Addr) -> std::net::SocketAddrV4 {
        let [_, block, high, low] = ip.octets();
        std::net::SocketAddrV4::new(Ipv4Addr::new(127, block + 1, high, low), self.store())
    }
}

/// A node: a balancer, or an agent beside a backend of a service.
#[derive(Clone, Debug)]
pub struct Node {
    pub name: String,
    pub ip: Ipv4Addr,
    pub zone: String,
    pub service: Option<String>,
}

/// A node's process.
pub struct Process {
    pub node: Node,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

impl Process {
    /// Writes the settings, from the template of the deploy file, and starts the process.
    pub fn start(
        net: &Net,
        node: &Node,
        contacts: &[Ipv4Addr],
        folder: &std::path::Path,
    ) -> Process {
        let template = match node.service {
            None => "deploy/balancer.json",
            Some(_) => "deploy/agent.json",
        };
        let text = std::fs::read_to_string(template).expect("template of the settings");
        let ip = node.ip;
        let seeds: Vec<String> = contacts
            .iter()
            .map(|ip| format!("\"{ip}:{}\"", net.control()))
            .collect();
        let values = [
            ("{{Zone}}", node.zone.clone()),
            ("{{platform.Address}}", net.store_of(ip).to_string()),
            ("{{Ip}}:9600", format!("{ip}:{}", net.metrics())),
            ("{{Ip}}", ip.to_string()),
            ("{{InternalPorts.0}}", net.link().to_string()),
            ("{{InternalPorts.1}}", net.relay().to_string()),
            ("{{Listen.Readiness}}", format!("{ip}:{}", net.readiness())),
            ("{{Listen.ControlPlane}}", format!("{ip}:{}", net.control())),
            ("{{Seeds|json}}", format!("[{}]", seeds.join(","))),
            ("{{HeartbeatMs}}", "1200".to_owned()),
            ("{{Listen.DataAddr}}", format!("{ip}:{}", net.data())),
            ("{{Service}}", node.service.clone().unwrap_or_default()),
            ("{{app}}", format!("{ip}:{}", net.app())),
            ("{{Listen.outbound}}", format!("{ip}:{}", net.outbound())),
        ];
        let text = values
            .iter()
            .fold(text, |text, (name, value)| text.replace(name, value));
        let settings = folder.join(format!("{}.json", node.name));
        std::fs::write(&settings, text).expect("settings file");
        let mut process = Process {
            node: node.clone(),
            settings,
            log: folder.join(format!("{}.log", node.name)),
            child: None,
        };
        process.restart();
        process
    }

    /// Starts the process again.
    pub fn restart(&mut self) {
        self.signal(SIGKILL);
        let words: &[&str] = match self.node.service {
            None => &["target/release/buckthornlink", "balancer", "--datagrams"],
            Some(_) => &["target/release/buckthornlink-agent", "--datagrams"],
        };
        let log = File::options()
            .create(true)
            .append(true)
            .open(&self.log)
            .expect("log file");
        let child = Command::new(words[0])
            .args(&words[1..])
            .env("BUCKTHORNLINK_SETTINGS", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("log file"))
            .stderr(log)
            .spawn();
        match child {
            Ok(child) => {
                let folder = self.settings.parent().expect("folder");
                let pids = File::options()
                    .create(true)
                    .append(true)
                    .open(folder.join("pids"));
                if let Ok(mut pids) = pids {
                    let _ = writeln!(pids, "{}", child.id());
                }
                self.child = Some(child);
            }
            Err(err) => {
                println!("cannot start {}: {err}", words[0]);
                std::process::exit(2);
            }
        }
    }

    /// Sends a signal; a killed process is waited for.
    pub fn signal(&mut self, signal: i32) {
        if let Some(child) = &mut self.child {
            // SAFETY: a plain system call, to a child that has not been waited for.
            unsafe { kill(child.id() as i32, signal) };
            if signal == SIGKILL {
                let _ = child.wait();
                self.child = None;
            }
        }
    }

    /// Whether the process runs.
    pub fn runs(&mut self) -> bool {
        self.child
            .as_mut()
            .is_some_and(|c| matches!(c.try_wait(), Ok(None)))
    }

    /// Stops the process with SIGTERM, and with SIGKILL after `GraceS`.
    pub fn stop(&mut self) {
        self.signal(SIGTERM);
        let end = Instant::now() + Duration::from_secs(6);
        while self.runs() && Instant::now() < end {
            std::thread::sleep(Duration::from_millis(20));
        }
        self.signal(SIGKILL);
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.signal(SIGKILL);
    }
}
