//! Links between two networks on loopback.

use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

use flume::Receiver;
use parsleywalk_peer::{PeerAddress, PeerNetwork, PeerSettings, ReceivedMessage, StreamKind};
use parsleywalk_units::VmNumber;

const PATIENCE: Duration = Duration::from_secs(10);

type Network = PeerNetwork<Vec<u8>>;
type Inbox = Receiver<ReceivedMessage<Vec<u8>>>;

fn start(vm: u32, token: &str, listen: Option<SocketAddr>, peers: &[(u32, SocketAddr)]) -> (Network, Inbox) {
    let peers = peers.iter().map(|&(vm, address)| PeerAddress { vm: VmNumber::new(vm), address }).collect();
    let settings = PeerSettings { vm: VmNumber::new(vm), token: token.to_owned(), peers, ..PeerSettings::default() };
    let listen = listen.unwrap_or(settings.listen);
    PeerNetwork::start(PeerSettings { listen, ..settings }).expect("a free port")
}

/// Repeats a message until it arrives, as the protocols above the links do.
fn deliver(sender: &Network, to: u32, lane: StreamKind, message: &Vec<u8>, inbox: &Inbox) -> bool {
    let end = Instant::now() + PATIENCE;
    while Instant::now() < end {
        sender.send(VmNumber::new(to), lane, message);
        if let Ok(received) = inbox.recv_timeout(Duration::from_millis(50))
            && received.message == *message
        {
            return true;
        }
    }
    false
}

/// Guards against frames that are cut or joined when they exceed the stream's window.
#[test]
fn large_and_small_messages_arrive_whole() {
    let (receiver, inbox) = start(2, "token", None, &[]);
    let (sender, _) = start(1, "token", None, &[(2, receiver.address())]);
    assert!(deliver(&sender, 2, StreamKind::Control, &b"small".to_vec(), &inbox));
    let large: Vec<u8> = (0..3_000_000_u32).map(|byte| (byte % 251) as u8).collect();
    assert!(deliver(&sender, 2, StreamKind::Bulk, &large, &inbox));
}

/// Guards against a daemon of another deployment being taken for a peer.
#[test]
fn wrong_token_is_refused() {
    let (receiver, inbox) = start(2, "token", None, &[]);
    let (sender, _) = start(1, "other", None, &[(2, receiver.address())]);
    for _ in 0..10 {
        sender.send(VmNumber::new(2), StreamKind::Control, &b"hello".to_vec());
        assert!(inbox.recv_timeout(Duration::from_millis(50)).is_err());
    }
}

/// Guards against a link that never recovers after its peer restarted.
#[test]
fn link_recovers_after_the_peer_restarts() {
    let (receiver, inbox) = start(2, "token", None, &[]);
    let address = receiver.address();
    let (sender, _) = start(1, "token", None, &[(2, address)]);
    assert!(deliver(&sender, 2, StreamKind::Control, &b"first".to_vec(), &inbox));
    drop(receiver);
    let end = Instant::now() + PATIENCE;
    while TcpStream::connect(address).is_ok() && Instant::now() < end {
        std::thread::sleep(Duration::from_millis(10));
    }
    let (_receiver, inbox) = start(2, "token", Some(address), &[]);
    assert!(deliver(&sender, 2, StreamKind::Control, &b"second".to_vec(), &inbox));
}

/// Guards against a link that stays on a connection which was accepted and then went silent for good.
#[test]
fn silent_connection_is_replaced() {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a free port");
    let address = listener.local_addr().expect("an address");
    let (_sender, _) = start(1, "token", None, &[(2, address)]);
    let (first, _) = listener.accept().expect("a connection");
    let (second, _) = listener.accept().expect("a second connection after the first stayed silent");
    drop((first, second));
}
