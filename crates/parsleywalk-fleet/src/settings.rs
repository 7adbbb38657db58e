//! Settings of a daemon.

use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::path::PathBuf;
use std::time::Duration;

use parsleywalk_batch::DispatchSettings;
use parsleywalk_units::{VmNumber, ZoneName};

/// What a daemon needs to know to find the others.
#[derive(Debug, Clone)]
pub struct FleetSettings {
    /// This VM's address.
    pub address: Ipv4Addr,
    /// This VM's availability zone.
    pub zone: ZoneName,
    /// The port for links between daemons, the same on every VM.
    pub peer_port: u16,
    /// Some VMs that hold replicas; any may be gone.
    pub seeds: Vec<Ipv4Addr>,
    /// Where the log is kept; a daemon without one is an entry.
    pub data_folder: Option<PathBuf>,
    /// The whole system starts for the first time, so the seeds found the log.
    pub bootstrap: bool,
    /// The replicas that vote, once as many are there: twice the disks that may be lost at a time, and one.
    pub voters: usize,
    /// Leases, placement and pacing.
    pub dispatch: DispatchSettings,
    /// How long the status of an ended job is kept.
    pub retention: Duration,
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
        }
    }
}

impl FleetSettings {
    /// This daemon's number.
    #[must_use]
    pub fn vm(&self) -> VmNumber {
        vm_number(self.address)
    }

    /// Where a VM listens for peers.
    #[must_use]
    pub fn peer_address(&self, vm: VmNumber) -> SocketAddr {
        SocketAddr::V4(SocketAddrV4::new(vm_address(vm), self.peer_port))
    }
}

/// The number of the VM with an address: the address' bits.
#[must_use]
pub fn vm_number(address: Ipv4Addr) -> VmNumber {
    VmNumber::new(address.to_bits())
}

/// The address of a VM.
#[must_use]
pub fn vm_address(vm: VmNumber) -> Ipv4Addr {
    Ipv4Addr::from_bits(vm.get())
}
