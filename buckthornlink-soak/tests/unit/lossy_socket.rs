use std::net::Ipv4Addr;

use super::*;

const PACKETS: usize = 2_000;
/// Packets that are on their way at once; fewer than a socket's buffer holds.
const BATCH: usize = 50;

const QUALITY: LinkQuality = LinkQuality {
    losses: 50,
    max_delay: Duration::from_millis(20),
};

/// Sends numbered packets over two lossy sockets; returns the numbers in the order of their arrival.
async fn send_numbers() -> io::Result<Vec<usize>> {
    let receiver = UdpSocket::bind((Ipv4Addr::new(127, 39, 0, 3), 0)).await?;
    let SocketAddr::V4(to) = receiver.local_addr()? else {
        return Err(io::Error::other("not an IPv4 address"));
    };
    let sender = UdpSocket::bind((Ipv4Addr::new(127, 39, 0, 4), 0)).await?;
    let mut receiver = LossySocket::spawn(receiver, QUALITY, 1);
    let mut sender = LossySocket::spawn(sender, QUALITY, 2);
    let mut numbers = Vec::new();
    for number in 0..PACKETS {
        sender.send(number.to_le_bytes().to_vec(), to).await;
        if number % BATCH == BATCH - 1 {
            sleep(QUALITY.max_delay * 3).await;
            while let Ok((bytes, _)) = receiver.received.try_recv() {
                numbers.extend(bytes.try_into().map(usize::from_le_bytes));
            }
        }
    }
    Ok(numbers)
}

/// Guards against links that lose or reorder nothing, so that a run shows less than it says.
#[tokio::test]
async fn packets_are_lost_and_reordered_in_both_directions() -> io::Result<()> {
    let numbers = send_numbers().await?;
    // About a tenth is lost, as two links lose 50 of 1,000 packets each.
    let lost = PACKETS - numbers.len();
    assert!((PACKETS / 20..PACKETS / 6).contains(&lost), "{lost} lost");
    let overtaken = numbers.windows(2).filter(|pair| pair[1] < pair[0]).count();
    assert!(overtaken > PACKETS / 20, "{overtaken} overtaken");
    Ok(())
}

/// Guards against a seed that gives other links when it is played again.
#[test]
fn quality_follows_from_the_seed() {
    assert_eq!(LinkQuality::of_run(64_000), LinkQuality::of_run(64_000));
    let qualities: Vec<_> = (0..20).map(LinkQuality::of_run).collect();
    assert!(qualities.windows(2).any(|pair| pair[0] != pair[1]));
}
