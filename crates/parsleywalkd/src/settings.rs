//! The settings of a daemon: a YAML file, checked before anything starts.

use std::fs;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};

use parsleywalk_units::{TimeSpan, VmNumber, ZoneName};
use serde::{Deserialize, Serialize};

use crate::{DaemonError, Result};

/// The most bytes of a settings file.
const SETTINGS_LIMIT: u64 = 1024 * 1024;

/// Where one daemon of the deployment listens. Every daemon's settings hold the same list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DaemonAddress {
    /// The daemon's VM.
    pub vm: VmNumber,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Its address for callers, endpoints and workers.
    pub callers: SocketAddr,
    /// Its address for operators and the balancer's health checks.
    pub operators: SocketAddr,
    /// Its address for the other daemons.
    pub peers: SocketAddr,
}

/// Bounds on what callers can take up.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EdgeLimits {
    /// Open connections at the caller edge.
    pub connections: usize,
    /// Bytes of a request's body.
    pub body_bytes: usize,
    /// The longest wait for a request's head on an open connection, idle time included.
    pub head_timeout: TimeSpan,
    /// The longest wait for a request's whole body.
    pub body_timeout: TimeSpan,
    /// The longest deadline of a request.
    pub longest_deadline: TimeSpan,
    /// Calls to endpoints in progress at once.
    pub dispatches: usize,
    /// How long a shutdown waits for requests in progress.
    pub shutdown_timeout: TimeSpan,
}

impl Default for EdgeLimits {
    fn default() -> Self {
        Self {
            connections: 4096,
            body_bytes: 8 * 1024 * 1024,
            head_timeout: TimeSpan::from_secs(15),
            body_timeout: TimeSpan::from_secs(10),
            longest_deadline: TimeSpan::from_secs(600),
            dispatches: 2048,
            shutdown_timeout: TimeSpan::from_secs(60),
        }
    }
}

/// Where log lines go.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LogSettings {
    /// `error`, `warn`, `info`, `debug` or `trace`.
    pub level: String,
    /// A file to append to; standard error where absent.
    pub file: Option<PathBuf>,
}

impl Default for LogSettings {
    fn default() -> Self {
        Self { level: "info".to_owned(), file: None }
    }
}

/// The settings of a daemon.
///
/// ```
/// use parsleywalkd::DaemonSettings;
///
/// let settings = DaemonSettings { replicas: vec!["1".parse()?], ..DaemonSettings::default() };
/// assert_eq!(settings.faults(), Vec::<String>::new());
/// # Ok::<(), parsleywalk_units::UnitError>(())
/// ```
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct DaemonSettings {
    /// This daemon's VM; its addresses and availability zone are its entry in `daemons`.
    pub vm: VmNumber,
    /// Every daemon of the deployment, this one included.
    pub daemons: Vec<DaemonAddress>,
    /// Where the replicated log lives; a daemon without one is an observer.
    pub data_folder: Option<PathBuf>,
    /// The VMs that hold the log when the deployment is first initialised.
    pub replicas: Vec<VmNumber>,
    /// Holds the token that the daemons share.
    pub peer_token_file: Option<PathBuf>,
    /// Holds the operators' token; operators' calls need none where absent.
    pub operator_token_file: Option<PathBuf>,
    /// Bounds on what callers can take up.
    pub limits: EdgeLimits,
    /// Where log lines go.
    pub log: LogSettings,
}

impl Default for DaemonSettings {
    /// One daemon on loopback with free ports.
    fn default() -> Self {
        let free = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let vm = VmNumber::new(1);
        let zone = "local".parse().expect("a valid name");
        Self {
            vm,
            daemons: vec![DaemonAddress { vm, zone, callers: free, operators: free, peers: free }],
            data_folder: None,
            replicas: Vec::new(),
            peer_token_file: None,
            operator_token_file: None,
            limits: EdgeLimits::default(),
            log: LogSettings::default(),
        }
    }
}

impl DaemonSettings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// Returns an error when the file can't be read, is not YAML of the right form, or names values that don't fit
    /// together; all such faults are listed.
    pub fn load(path: &Path) -> Result<Self> {
        let text = read_bounded("read settings", path)?;
        let invalid = |faults| DaemonError::Settings { path: path.to_owned(), faults };
        let settings: Self = serde_saphyr::from_str(&text).map_err(|cause| invalid(vec![cause.to_string()]))?;
        let faults = settings.faults();
        if !faults.is_empty() {
            return Err(invalid(faults));
        }
        Ok(settings.relative_to(path.parent().unwrap_or(Path::new(""))))
    }

    /// Resolves relative paths against the folder of the settings file, so that a daemon can be started from anywhere.
    fn relative_to(mut self, folder: &Path) -> Self {
        let paths =
            [&mut self.data_folder, &mut self.peer_token_file, &mut self.operator_token_file, &mut self.log.file];
        for path in paths.into_iter().flatten() {
            *path = folder.join(&path);
        }
        self
    }

    /// Lists what does not fit together; empty for valid settings.
    #[must_use]
    pub fn faults(&self) -> Vec<String> {
        let mut faults = Vec::new();
        self.check_daemons(&mut faults);
        self.check_replicas(&mut faults);
        self.check_limits(&mut faults);
        if self.log.level.parse::<log::LevelFilter>().is_err() {
            faults.push(format!("log.level {:?}: expected error, warn, info, debug or trace", self.log.level));
        }
        faults
    }

    /// This daemon's entry.
    ///
    /// # Panics
    ///
    /// Panics when the settings were not checked and have no such entry.
    #[must_use]
    pub fn own_address(&self) -> &DaemonAddress {
        self.daemons.iter().find(|daemon| daemon.vm == self.vm).expect("checked settings have an entry for this daemon")
    }

    /// Reads the token that the daemons share; empty where no file is set.
    ///
    /// # Errors
    ///
    /// Returns an error when the file can't be read.
    pub fn peer_token(&self) -> Result<String> {
        self.peer_token_file.as_deref().map_or_else(|| Ok(String::new()), read_token)
    }

    /// Reads the operators' token, where one is set.
    ///
    /// # Errors
    ///
    /// Returns an error when the file can't be read.
    pub fn operator_token(&self) -> Result<Option<String>> {
        self.operator_token_file.as_deref().map(read_token).transpose()
    }

    fn check_daemons(&self, faults: &mut Vec<String>) {
        let mut vms: Vec<VmNumber> = self.daemons.iter().map(|daemon| daemon.vm).collect();
        vms.sort_unstable();
        for pair in vms.windows(2).filter(|pair| pair[0] == pair[1]) {
            faults.push(format!("daemons: vm {} stands twice", pair[0]));
        }
        if vms.binary_search(&self.vm).is_err() {
            faults.push(format!("daemons: no entry for this daemon's vm {}", self.vm));
        }
        let mut addresses: Vec<SocketAddr> = self
            .daemons
            .iter()
            .flat_map(|daemon| [daemon.callers, daemon.operators, daemon.peers])
            .filter(|address| address.port() != 0)
            .collect();
        addresses.sort_unstable();
        for pair in addresses.windows(2).filter(|pair| pair[0] == pair[1]) {
            faults.push(format!("daemons: address {} stands twice", pair[0]));
        }
        if self.daemons.len() > 1 && self.peer_token_file.is_none() {
            faults.push("peer_token_file: needed with more than one daemon".to_owned());
        }
        if self.daemons.len() > 1 && addresses.len() != 3 * self.daemons.len() {
            faults.push("daemons: port 0 is permitted for a single daemon only".to_owned());
        }
    }

    fn check_replicas(&self, faults: &mut Vec<String>) {
        for vm in &self.replicas {
            if !self.daemons.iter().any(|daemon| daemon.vm == *vm) {
                faults.push(format!("replicas: vm {vm} has no entry in daemons"));
            }
        }
        let count = self.replicas.len();
        if count.is_multiple_of(2) || count > 7 {
            faults.push(format!("replicas: {count} given, permitted are 1, 3, 5 or 7"));
        }
    }

    fn check_limits(&self, faults: &mut Vec<String>) {
        let limits = &self.limits;
        let counts = [
            ("limits.connections", limits.connections, 100_000),
            ("limits.body_bytes", limits.body_bytes, 64 * 1024 * 1024),
            ("limits.dispatches", limits.dispatches, 65_536),
        ];
        for (name, value, most) in counts {
            if value == 0 || value > most {
                faults.push(format!("{name} {value}: permitted are 1 to {most}"));
            }
        }
        let spans = [
            ("limits.head_timeout", limits.head_timeout),
            ("limits.body_timeout", limits.body_timeout),
            ("limits.longest_deadline", limits.longest_deadline),
        ];
        for (name, span) in spans.into_iter().filter(|(_, span)| span.as_millis() == 0) {
            faults.push(format!("{name} {span}: must be above 0"));
        }
    }
}

fn read_bounded(step: &'static str, path: &Path) -> Result<String> {
    let file_error = |cause| DaemonError::File { step, path: path.to_owned(), cause };
    let length = fs::metadata(path).map_err(file_error)?.len();
    if length > SETTINGS_LIMIT {
        let reason = format!("{length} bytes, permitted are {SETTINGS_LIMIT}");
        return Err(DaemonError::Settings { path: path.to_owned(), faults: vec![reason] });
    }
    fs::read_to_string(path).map_err(file_error)
}

fn read_token(path: &Path) -> Result<String> {
    let token = read_bounded("read token", path)?.trim().to_owned();
    if token.is_empty() {
        return Err(DaemonError::Settings { path: path.to_owned(), faults: vec!["the token is empty".to_owned()] });
    }
    Ok(token)
}
