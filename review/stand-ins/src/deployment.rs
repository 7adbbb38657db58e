//! The project's daemons as separate processes, with the commands of the deploy file, on loopback addresses.
//!
//! There is one replica and one entry in each of three zones. A daemon reaches the others on its own peer port, and
//! each has another one, so a proxy between each pair of daemons listens on the target's address at the source's port.

use std::fs;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::http;
use crate::link::Link;
use crate::record::Record;

pub const ZONES: [&str; 3] = ["mx-centro-a", "mx-centro-b", "mx-centro-c"];
const REPLICAS: usize = 3;
const CONTROL_PORT: u16 = 8166;
const FRONT_PORT: u16 = 8161;
const READINESS_PORT: u16 = 8167;

const PR_SET_PDEATHSIG: i32 = 1;
const SIGKILL: u64 = 9;

unsafe extern "C" {
    fn prctl(option: i32, ...) -> i32;
}

struct Daemon {
    name: String,
    zone: usize,
    ip: Ipv4Addr,
    peer_port: u16,
    folder: PathBuf,
    child: Option<Child>,
}

pub struct Deployment {
    folder: PathBuf,
    daemons: Vec<Daemon>,
    links: Vec<(usize, usize, Link)>,
    record: Arc<Record>,
}

impl Deployment {
    /// Starts three replicas and three entries.
    pub fn start(root: &Path, record: &Arc<Record>) -> Result<Deployment, String> {
        let program = root.join("target/release/parsleywalkd");
        if !program.exists() {
            return Err(format!("{} is missing: run the build of the deploy file", program.display()));
        }
        let folder = std::env::temp_dir().join(format!("parsleywalk-review-{}", std::process::id()));
        let (subnet, base) = free_addresses().ok_or("no free loopback addresses")?;
        let mut daemons = Vec::new();
        for index in 0..2 * REPLICAS {
            let (zone, kind) = (index % REPLICAS, if index < REPLICAS { "core" } else { "edge" });
            let name = format!("{kind}-{}-1", ZONES[zone]);
            let daemon_folder = folder.join(&name);
            fs::create_dir_all(daemon_folder.join("data")).map_err(|error| error.to_string())?;
            daemons.push(Daemon {
                name,
                zone,
                ip: address(subnet, index),
                peer_port: base + u16::try_from(index).unwrap_or(0),
                folder: daemon_folder,
                child: None,
            });
        }
        let mut links = Vec::new();
        for to in 0..REPLICAS {
            for from in (0..daemons.len()).filter(|from| *from != to) {
                let listen = SocketAddr::from((daemons[to].ip, daemons[from].peer_port));
                let target = SocketAddr::from((daemons[to].ip, daemons[to].peer_port));
                links.push((from, to, Link::start(listen, target).map_err(|error| error.to_string())?));
            }
        }
        let mut deployment = Deployment { folder, daemons, links, record: Arc::clone(record) };
        for index in 0..deployment.daemons.len() {
            deployment.start_daemon(index, &program, root)?;
        }
        Ok(deployment)
    }

    fn start_daemon(&mut self, index: usize, program: &Path, root: &Path) -> Result<(), String> {
        let seeds: Vec<String> = self.controls().iter().map(|seed| format!("\"{seed}\"")).collect();
        let daemon = &mut self.daemons[index];
        let settings = daemon.folder.join("node.toml");
        fs::write(&settings, settings_text(daemon, index < REPLICAS, &seeds.join(",")))
            .map_err(|error| error.to_string())?;
        let log = fs::File::create(daemon.folder.join("log")).map_err(|error| error.to_string())?;
        let errors = log.try_clone().map_err(|error| error.to_string())?;
        let mut command = Command::new(program);
        // The kernel ends the daemon if this program ends before it, however that happens.
        // SAFETY: the call only sets a flag of the new process.
        unsafe {
            command.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL);
                Ok(())
            });
        }
        let child = command
            .args(["platform", "--metrics-port", "9464"])
            .current_dir(root)
            .env("PARSLEYWALK_CONFIG", &settings)
            .stdin(Stdio::null())
            .stdout(Stdio::from(log))
            .stderr(Stdio::from(errors))
            .spawn()
            .map_err(|error| error.to_string())?;
        daemon.child = Some(child);
        self.record.line(&format!("started {} at {}", daemon.name, daemon.ip));
        Ok(())
    }

    /// The addresses for minions and the operator, by zone.
    pub fn controls(&self) -> Vec<SocketAddr> {
        self.daemons[..REPLICAS].iter().map(|daemon| SocketAddr::from((daemon.ip, CONTROL_PORT))).collect()
    }

    /// The addresses for consumers, by zone.
    pub fn fronts(&self) -> Vec<SocketAddr> {
        self.daemons[REPLICAS..].iter().map(|daemon| SocketAddr::from((daemon.ip, FRONT_PORT))).collect()
    }

    /// Cuts or joins all links between the daemons of two zones.
    pub fn cut_zones(&self, one: usize, other: usize, cut: bool) {
        let (what, names) = (if cut { "cut" } else { "joined" }, (ZONES[one], ZONES[other]));
        for (from, to, link) in &self.links {
            let zones = (self.daemons[*from].zone, self.daemons[*to].zone);
            if zones == (one, other) || zones == (other, one) {
                link.set_cut(cut);
            }
        }
        self.record.line(&format!("links between {} and {} {what}", names.0, names.1));
    }

    /// Waits until every entry is ready.
    pub fn wait_ready(&self, limit: Duration) -> Result<(), String> {
        let deadline = Instant::now() + limit;
        for daemon in &self.daemons[REPLICAS..] {
            let address = SocketAddr::from((daemon.ip, READINESS_PORT));
            loop {
                let answer = http::call(address, "GET", "ready", "/v1/ready", "", "", Duration::from_secs(1));
                if answer.is_some_and(|(status, _)| status == 200) {
                    break;
                }
                if Instant::now() >= deadline {
                    return Err(format!("{} isn't ready", daemon.name));
                }
                thread::sleep(Duration::from_millis(100));
            }
        }
        Ok(())
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        for daemon in &mut self.daemons {
            if let Some(mut child) = daemon.child.take() {
                let _ = child.kill();
                let _ = child.wait();
            }
        }
        if std::env::var_os("KEEP_LOGS").is_some() {
            self.record.line(&format!("logs kept in {}", self.folder.display()));
        } else {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

fn address(subnet: (u8, u8), index: usize) -> Ipv4Addr {
    Ipv4Addr::new(127, subnet.0, subnet.1, 11 + u8::try_from(index).unwrap_or(0))
}

/// Draws a loopback subnet and the first of six consecutive ports that are free on all its addresses.
fn free_addresses() -> Option<((u8, u8), u16)> {
    let seed = std::process::id();
    (0..200_u32).find_map(|attempt| {
        let number = seed.wrapping_mul(31).wrapping_add(attempt.wrapping_mul(7919));
        let [_, _, high, low] = number.to_be_bytes();
        let subnet = (64 + high % 64, low);
        let base = 21_000 + u16::try_from(number % 900).unwrap_or(0) * 10;
        let free = (0..2 * REPLICAS).all(|index| {
            let ip = address(subnet, index);
            let fixed = [CONTROL_PORT, FRONT_PORT, READINESS_PORT, 9464];
            let own = (0..6).map(|offset| base + offset);
            fixed.into_iter().chain(own).all(|port| TcpListener::bind((ip, port)).is_ok())
        });
        free.then_some((subnet, base))
    })
}

fn settings_text(daemon: &Daemon, is_replica: bool, seeds: &str) -> String {
    let (class, serves, ip) = if is_replica { ("core", "control", daemon.ip) } else { ("edge", "edge", daemon.ip) };
    let listen = if is_replica {
        format!("control = \"{ip}:{CONTROL_PORT}\"\n")
    } else {
        format!("front = \"{ip}:{FRONT_PORT}\"\nreadiness = \"{ip}:{READINESS_PORT}\"\n")
    };
    let data = if is_replica { format!("data_dir = {:?}\n", daemon.folder.join("data")) } else { String::new() };
    let zones: String = ZONES.iter().map(|zone| format!("{zone} = \"mx-centro\"\n")).collect();
    format!(
        "node = \"{}\"\nrole = \"{}\"\nclass = \"{class}\"\nserves = [\"{serves}\"]\nip = \"{ip}\"\nzone = \"{}\"\n\
         region = \"mx-centro\"\nport_range = [{port},{port}]\nseeds = [{seeds}]\nbootstrap = true\n\
         counts_as_loss = {is_replica}\n{data}discovery = \"registry\"\nentry = \"vip\"\nheartbeat_ms = 1500\n\
         contracts = [\"base\",\"drain\",\"config\",\"cost\",\"recover\",\"sched\",\"places\",\"advice\",\"upkeep\",\"sharing\"]\n\
         config_mode = \"highest\"\norders = \"heartbeat\"\n\
         [zones]\n{zones}[listen]\n{listen}[limits]\ncpu_share = 0.35\ncores = 1\nmemory_mb = 256\nmax_fds = 4096\n\
         link_mbps = 200.0\ndisk_mb = 128\n[fault_tolerance]\nmachines = 1\nzones = 1\nregions = 0\n[bounds]\n\
         seed_lag_s = 3\nreuse_after_s = 2\ncontact_ms = 3000\nack_ms = 4000\ncatch_up_s = 4\ndrain_ms = 2000\n\
         grace_s = 6\nloss_slack_ms = 200\nconfig_apply_ms = 2000\nrollback_slack_ms = 250\nmax_stretch_ms = 5000\n\
         cold_over = 1.5\ncold_slack = 5\nevacuate_ms = 5000\nrecover_s = 12\nhold_max_ms = 10000\n\
         stop_grace_ms = 200\ngang_timeout_ms = 3000\ncancel_ms = 3000\nvisible_ms = 3000\nearly_ms = 250\n\
         finish_s = 14\nstatus_s = 120\nfar_x = 2\ncheckpoint_s = 0.5\nrestore_ms = 250\nnotice_ms = 4500\n\
         migrate_s = 1.5\nmaintenance_s = 2\nrequire_fencing = false\nlease_ms = 3000\nthaw_ms = 300\npace_ms = 100\n\
         harm_ms = 5500\n",
        daemon.name,
        if is_replica { "replica" } else { "entry" },
        ZONES[daemon.zone],
        port = daemon.peer_port,
    )
}
