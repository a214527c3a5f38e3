//! UDP datagrams between the nodes of one load balancer.

use std::net::SocketAddr;
use std::rc::Rc;

use tokio::net::UdpSocket;

/// Largest datagram that is sent or accepted.
const MAX_DATAGRAM_BYTES: usize = 256;

/// A socket for datagrams to and from the other nodes.
pub struct Peers {
    socket: UdpSocket,
    /// The peers' addresses; a peer's number is its index.
    addresses: Vec<SocketAddr>,
    /// The address at which one datagram reaches all of them.
    broadcast: Option<SocketAddr>,
}

impl Peers {
    /// Opens the socket at `listen`.
    pub async fn bind(
        listen: SocketAddr,
        addresses: Vec<SocketAddr>,
        broadcast: Option<SocketAddr>,
    ) -> std::io::Result<Rc<Self>> {
        Ok(Rc::new(Peers { socket: UdpSocket::bind(listen).await?, addresses, broadcast }))
    }

    /// Sends to one peer, or to all with `None`. A datagram that can't be sent at once is dropped: datagrams
    /// may be lost on the network anyway.
    pub fn send(&self, peer: Option<u32>, data: &[u8]) {
        let destination = match peer {
            Some(peer) => self.addresses.get(peer as usize).copied(),
            None => self.broadcast,
        };
        if let Some(destination) = destination.filter(|_| data.len() <= MAX_DATAGRAM_BYTES) {
            let _ = self.socket.try_send_to(data, destination);
        }
    }

    /// Receives the next datagram and the number of the peer that sent it. Datagrams that are too long or
    /// come from an unknown address are dropped.
    pub async fn receive(&self) -> (u32, Vec<u8>) {
        // One byte more than allowed, so that a longer datagram is told from one of the largest size.
        let mut buffer = [0; MAX_DATAGRAM_BYTES + 1];
        loop {
            let Ok((size, from)) = self.socket.recv_from(&mut buffer).await else {
                tokio::task::yield_now().await;
                continue;
            };
            let sender = self.addresses.iter().position(|&address| address == from);
            if let Some(sender) = sender.filter(|_| size <= MAX_DATAGRAM_BYTES) {
                return (sender as u32, buffer[..size].to_vec());
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[tokio::test]
    async fn datagrams_that_are_too_long_or_from_unknown_addresses_are_dropped() {
        let any_port = "127.0.0.1:0";
        let known = UdpSocket::bind(any_port).await.unwrap();
        let unknown = UdpSocket::bind(any_port).await.unwrap();
        let known_address = known.local_addr().unwrap();
        let peers = Peers::bind(any_port.parse().unwrap(), vec![known_address], None).await.unwrap();
        let destination = peers.socket.local_addr().unwrap();
        unknown.send_to(b"x", destination).await.unwrap();
        known.send_to(&[7; MAX_DATAGRAM_BYTES + 1], destination).await.unwrap();
        known.send_to(&[8; MAX_DATAGRAM_BYTES], destination).await.unwrap();
        assert_eq!(peers.receive().await, (0, vec![8; MAX_DATAGRAM_BYTES]));
    }
}
