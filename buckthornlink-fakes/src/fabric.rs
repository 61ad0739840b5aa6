//! Network fabric that forwards each datagram to a random balancer.
//!
//! Each caller gets a separate socket towards the balancers, so that balancers see different
//! addresses for different callers.

use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use tokio::net::UdpSocket;
use tokio::task::JoinSet;

const BUFFER_BYTES: usize = 65_536;

/// A running fabric. It stops when dropped.
#[derive(Debug)]
pub struct Fabric {
    ip: Ipv4Addr,
    shared: Arc<Shared>,
    tasks: Mutex<JoinSet<()>>,
}

#[derive(Debug)]
struct Shared {
    balancers: Mutex<Vec<Ipv4Addr>>,
    rng: Mutex<SmallRng>,
    delay: Duration,
}

/// Address of the fabric whose datagrams go to the same port of a balancer.
#[derive(Clone, Copy, Debug)]
struct ListenAddr {
    ip: Ipv4Addr,
    port: u16,
}

impl Fabric {
    /// Creates a fabric at `ip`, without ports or balancers, that delays each datagram by `delay`.
    #[must_use]
    pub fn new(ip: Ipv4Addr, seed: u64, delay: Duration) -> Self {
        Self {
            ip,
            shared: Arc::new(Shared {
                balancers: Mutex::default(),
                rng: Mutex::new(SmallRng::seed_from_u64(seed)),
                delay,
            }),
            tasks: Mutex::default(),
        }
    }

    /// Starts to forward datagrams from `port` of the fabric to the same port of a balancer.
    ///
    /// # Errors
    ///
    /// Returns an error if the port cannot be bound.
    pub async fn serve(&self, port: u16) -> std::io::Result<()> {
        let addr = ListenAddr { ip: self.ip, port };
        let socket = Arc::new(UdpSocket::bind((addr.ip, addr.port)).await?);
        let relay = relay_to_balancers(socket, addr, Arc::clone(&self.shared));
        self.tasks
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .spawn(relay);
        Ok(())
    }

    /// Starts to forward to a balancer.
    pub fn add_balancer(&self, balancer: Ipv4Addr) {
        self.with_balancers(|list| list.push(balancer));
    }

    /// Stops forwarding to a balancer.
    pub fn remove_balancer(&self, balancer: Ipv4Addr) {
        self.with_balancers(|list| list.retain(|b| *b != balancer));
    }

    /// Address of the fabric for `port`.
    #[must_use]
    pub const fn addr(&self, port: u16) -> SocketAddrV4 {
        SocketAddrV4::new(self.ip, port)
    }

    fn with_balancers<T>(&self, f: impl FnOnce(&mut Vec<Ipv4Addr>) -> T) -> T {
        f(&mut self
            .shared
            .balancers
            .lock()
            .unwrap_or_else(PoisonError::into_inner))
    }
}

impl Shared {
    /// Picks a balancer at random.
    fn pick_balancer(&self) -> Option<Ipv4Addr> {
        let balancers = self
            .balancers
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if balancers.is_empty() {
            return None;
        }
        let mut rng = self.rng.lock().unwrap_or_else(PoisonError::into_inner);
        Some(balancers[rng.random_range(0..balancers.len())])
    }
}

async fn relay_to_balancers(listener: Arc<UdpSocket>, addr: ListenAddr, shared: Arc<Shared>) {
    let mut callers: HashMap<SocketAddr, Arc<UdpSocket>> = HashMap::new();
    let mut reply_tasks = JoinSet::new();
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        let Ok((len, caller)) = listener.recv_from(&mut buffer).await else {
            continue;
        };
        let socket = if let Some(socket) = callers.get(&caller) {
            Arc::clone(socket)
        } else {
            let Ok(socket) = UdpSocket::bind((addr.ip, 0)).await else {
                continue;
            };
            let socket = Arc::new(socket);
            callers.insert(caller, Arc::clone(&socket));
            reply_tasks.spawn(relay_to_caller(
                Arc::clone(&socket),
                Arc::clone(&listener),
                caller,
                shared.delay,
            ));
            socket
        };
        if let Some(ip) = shared.pick_balancer() {
            send_delayed(
                socket,
                buffer[..len].to_vec(),
                (ip, addr.port).into(),
                shared.delay,
            );
        }
    }
}

async fn relay_to_caller(
    socket: Arc<UdpSocket>,
    listener: Arc<UdpSocket>,
    caller: SocketAddr,
    delay: Duration,
) {
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        if let Ok((len, _)) = socket.recv_from(&mut buffer).await {
            send_delayed(Arc::clone(&listener), buffer[..len].to_vec(), caller, delay);
        }
    }
}

fn send_delayed(socket: Arc<UdpSocket>, datagram: Vec<u8>, to: SocketAddr, delay: Duration) {
    if delay.is_zero() {
        let _ = socket.try_send_to(&datagram, to);
        return;
    }
    tokio::spawn(async move {
        tokio::time::sleep(delay).await;
        let _ = socket.try_send_to(&datagram, to);
    });
}
