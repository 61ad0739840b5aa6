//! A UDP socket whose packets are lost, delayed and reordered in both directions.

use std::io;
use std::net::{SocketAddr, SocketAddrV4};
use std::ops::Range;
use std::sync::Arc;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use tokio::net::UdpSocket;
use tokio::sync::mpsc;
use tokio::task::JoinHandle;
use tokio::time::sleep;

/// Maximum size of a received packet in bytes.
const MAX_PACKET_BYTES: usize = 2_048;
/// Number of received packets that wait for the owner of the socket.
const QUEUE_LEN: usize = 256;
/// Range of [`LinkQuality::losses`].
const LOSSES: Range<u32> = 0..20;
/// Range of [`LinkQuality::max_delay`] in milliseconds.
const MAX_DELAY_MS: Range<u64> = 1..40;
/// One in this many packets is delayed, on average, so that later ones overtake it.
const PACKETS_PER_DELAY: u32 = 4;
/// Distinguishes the quality of a run's links from its other random numbers.
const QUALITY_SALT: u64 = 1 << 41;

/// How well packets are delivered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LinkQuality {
    /// Number of packets that are lost of a thousand, on average.
    pub losses: u32,
    /// Maximum delay of a packet.
    pub max_delay: Duration,
}

impl LinkQuality {
    /// Quality of the links in the run with this seed.
    #[must_use]
    pub fn of_run(seed: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed ^ QUALITY_SALT);
        Self {
            losses: rng.random_range(LOSSES),
            max_delay: Duration::from_millis(rng.random_range(MAX_DELAY_MS)),
        }
    }

    /// Draws the delay of a packet, or `None` if it is lost.
    fn draw_delay(self, rng: &mut impl Rng) -> Option<Duration> {
        if rng.random_ratio(self.losses, 1_000) {
            return None;
        }
        let is_delayed = rng.random_ratio(1, PACKETS_PER_DELAY);
        Some(if is_delayed {
            rng.random_range(Duration::ZERO..=self.max_delay)
        } else {
            Duration::ZERO
        })
    }
}

/// Bytes of a packet, and its sender.
type Received = (Vec<u8>, SocketAddr);

/// A bound socket; dropping it closes it, but for packets that are still on their way out.
#[derive(Debug)]
pub struct LossySocket {
    socket: Arc<UdpSocket>,
    quality: LinkQuality,
    rng: SmallRng,
    received: mpsc::Receiver<Received>,
    reader: JoinHandle<()>,
}

impl LossySocket {
    /// Starts to receive packets from a bound socket.
    #[must_use]
    pub fn spawn(socket: UdpSocket, quality: LinkQuality, seed: u64) -> Self {
        let socket = Arc::new(socket);
        let mut rng = SmallRng::seed_from_u64(seed);
        let reader_rng = SmallRng::from_rng(&mut rng);
        let (sender, received) = mpsc::channel(QUEUE_LEN);
        let reader = read_packets(Arc::clone(&socket), quality, reader_rng, sender);
        Self {
            socket,
            quality,
            rng,
            received,
            reader: tokio::spawn(reader),
        }
    }

    /// Receives the next packet and its sender's address.
    ///
    /// # Errors
    ///
    /// Returns an error if the socket has failed.
    pub async fn recv(&mut self) -> io::Result<Received> {
        let received = self.received.recv().await;
        received.ok_or_else(|| io::Error::other("the socket has failed"))
    }

    /// Sends a packet, unless it is lost; returns before a delayed one is sent.
    pub async fn send(&mut self, bytes: Vec<u8>, to: SocketAddrV4) {
        match self.quality.draw_delay(&mut self.rng) {
            None => {}
            Some(Duration::ZERO) => {
                let _ = self.socket.send_to(&bytes, to).await;
            }
            Some(delay) => {
                let socket = Arc::clone(&self.socket);
                tokio::spawn(async move {
                    sleep(delay).await;
                    let _ = socket.send_to(&bytes, to).await;
                });
            }
        }
    }
}

impl Drop for LossySocket {
    fn drop(&mut self) {
        self.reader.abort();
    }
}

/// Passes on received packets, each after its delay, until the socket fails.
async fn read_packets(
    socket: Arc<UdpSocket>,
    quality: LinkQuality,
    mut rng: SmallRng,
    sender: mpsc::Sender<Received>,
) {
    let mut buffer = [0; MAX_PACKET_BYTES];
    while let Ok((len, from)) = socket.recv_from(&mut buffer).await {
        let Some(delay) = quality.draw_delay(&mut rng) else {
            continue;
        };
        let packet = (buffer[..len].to_vec(), from);
        if delay.is_zero() {
            let _ = sender.send(packet).await;
        } else {
            let sender = sender.clone();
            tokio::spawn(async move {
                sleep(delay).await;
                let _ = sender.send(packet).await;
            });
        }
    }
}

#[cfg(test)]
#[path = "../tests/unit/lossy_socket.rs"]
mod tests;
