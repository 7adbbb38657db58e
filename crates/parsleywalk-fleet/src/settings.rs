//! Settings of a daemon.

use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::path::PathBuf;
use std::time::Duration;

use parsleywalk_batch::DispatchSettings;
use parsleywalk_peer::DaemonRelease;
use parsleywalk_units::{VmNumber, ZoneName};

/// Settings of a daemon and its replica.
#[derive(Debug, Clone)]
pub struct FleetSettings {
    /// The address of this VM.
    pub address: Ipv4Addr,
    /// The availability zone of this VM.
    pub zone: ZoneName,
    /// The port for connections between daemons, the same on every VM.
    pub peer_port: u16,
    /// Some VMs that hold replicas; any of them may be gone.
    pub seeds: Vec<Ipv4Addr>,
    /// The folder of the log; a daemon without one is an entry daemon.
    pub data_folder: Option<PathBuf>,
    /// Whether the whole deployment starts for the first time, so that the seeds bootstrap the log.
    pub bootstrap: bool,
    /// The target number of voters: twice the number of disks that may be lost at a time, plus one.
    pub voters: usize,
    /// Settings of leases, placement and pacing.
    pub dispatch: DispatchSettings,
    /// How long the status of an ended job is kept.
    pub retention: Duration,
    /// The release that this daemon names to others. Tests set an earlier one.
    pub release: DaemonRelease,
}

impl Default for FleetSettings {
    fn default() -> Self {
        Self {
            address: Ipv4Addr::LOCALHOST,
            zone: "local".parse().expect("a valid name"),
            peer_port: 0,
            seeds: Vec::new(),
            data_folder: None,
            bootstrap: false,
            voters: 3,
            dispatch: DispatchSettings::default(),
            retention: Duration::from_mins(4),
            release: DaemonRelease::CURRENT,
        }
    }
}

impl FleetSettings {
    /// Returns the number of this VM.
    #[must_use]
    pub fn vm(&self) -> VmNumber {
        vm_number(self.address)
    }

    /// Returns the address on which a VM listens for peers.
    #[must_use]
    pub fn peer_address(&self, vm: VmNumber) -> SocketAddr {
        SocketAddr::V4(SocketAddrV4::new(vm_address(vm), self.peer_port))
    }
}

/// Returns the number of the VM with an address, which consists of the address bits.
#[must_use]
pub fn vm_number(address: Ipv4Addr) -> VmNumber {
    VmNumber::new(address.to_bits())
}

/// Returns the address of a VM.
#[must_use]
pub fn vm_address(vm: VmNumber) -> Ipv4Addr {
    Ipv4Addr::from_bits(vm.get())
}
