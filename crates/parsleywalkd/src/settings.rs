//! Settings of a daemon, read from a YAML file and validated before the daemon starts.

use std::fs;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};

use parsleywalk_units::{TimeSpan, VmNumber, ZoneName};
use serde::{Deserialize, Serialize};

use crate::{DaemonError, Result};

/// Maximum size of a settings file or token file.
const MAX_SETTINGS_BYTES: u64 = 1024 * 1024;

/// The addresses of one daemon. The settings of every daemon list the addresses of all daemons.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DaemonAddress {
    /// The daemon's VM.
    pub vm: VmNumber,
    /// The daemon's availability zone.
    pub zone: ZoneName,
    /// The address for callers, endpoints and workers.
    pub callers: SocketAddr,
    /// The address for operators and the load balancer's health checks.
    pub operators: SocketAddr,
    /// The address for the other daemons.
    pub peers: SocketAddr,
}

/// Limits on the resources that callers can use.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct CallerLimits {
    /// Maximum number of open connections from callers, endpoints and workers.
    pub connections: usize,
    /// Maximum size of a request body in bytes.
    pub body_bytes: usize,
    /// How long a connection may take to send a request's head, idle time included.
    pub head_timeout: TimeSpan,
    /// How long a connection may take to send a request's body.
    pub body_timeout: TimeSpan,
    /// The longest deadline that a request may have.
    pub longest_deadline: TimeSpan,
    /// Maximum number of requests dispatched to endpoints at the same time.
    pub dispatches: usize,
    /// How long a graceful shutdown waits for the requests in progress.
    pub shutdown_timeout: TimeSpan,
}

impl Default for CallerLimits {
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

/// Settings of the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LogSettings {
    /// The lowest level that is logged: `error`, `warn`, `info`, `debug` or `trace`.
    pub level: String,
    /// The file to append to; standard error if absent.
    pub file: Option<PathBuf>,
}

impl Default for LogSettings {
    fn default() -> Self {
        Self { level: "info".to_owned(), file: None }
    }
}

/// Settings of a daemon.
///
/// ```
/// use parsleywalkd::DaemonSettings;
///
/// let settings = DaemonSettings { replicas: vec!["1".parse()?], ..DaemonSettings::default() };
/// assert_eq!(settings.errors(), Vec::<String>::new());
/// # Ok::<(), parsleywalk_units::UnitError>(())
/// ```
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct DaemonSettings {
    /// This daemon's VM. `daemons` has its addresses and availability zone.
    pub vm: VmNumber,
    /// All daemons of the deployment, including this one.
    pub daemons: Vec<DaemonAddress>,
    /// The folder of the replicated log; a daemon without one is an observer.
    pub data_folder: Option<PathBuf>,
    /// The bootstrap VMs, which hold the log when the deployment is first initialised.
    pub replicas: Vec<VmNumber>,
    /// The file with the token shared by all daemons.
    pub peer_token_file: Option<PathBuf>,
    /// The file with the operators' token; if absent, operators need no token.
    pub operator_token_file: Option<PathBuf>,
    /// Limits on the resources that callers can use.
    pub limits: CallerLimits,
    /// The level and the file of the log.
    pub log: LogSettings,
}

impl Default for DaemonSettings {
    /// Returns settings for a single daemon on loopback, with ports chosen by the operating system.
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
            limits: CallerLimits::default(),
            log: LogSettings::default(),
        }
    }
}

impl DaemonSettings {
    /// Reads and validates a settings file. Relative paths in it are relative to its folder.
    ///
    /// # Errors
    ///
    /// Returns an error if the file can't be read, is not YAML of the expected form, or has invalid values, all of which
    /// are listed.
    pub fn load(path: &Path) -> Result<Self> {
        let text = read_bounded("read settings", path)?;
        let invalid = |errors| DaemonError::Settings { path: path.to_owned(), errors };
        let settings: Self = serde_saphyr::from_str(&text).map_err(|cause| invalid(vec![cause.to_string()]))?;
        let errors = settings.errors();
        if !errors.is_empty() {
            return Err(invalid(errors));
        }
        Ok(settings.relative_to(path.parent().unwrap_or(Path::new(""))))
    }

    /// Resolves relative paths against the folder of the settings file, so that the working directory doesn't matter.
    fn relative_to(mut self, folder: &Path) -> Self {
        let paths =
            [&mut self.data_folder, &mut self.peer_token_file, &mut self.operator_token_file, &mut self.log.file];
        for path in paths.into_iter().flatten() {
            *path = folder.join(&path);
        }
        self
    }

    /// Validates the settings and returns all errors found; empty for valid settings.
    #[must_use]
    pub fn errors(&self) -> Vec<String> {
        let mut errors = Vec::new();
        self.check_daemons(&mut errors);
        self.check_replicas(&mut errors);
        self.check_limits(&mut errors);
        if self.log.level.parse::<log::LevelFilter>().is_err() {
            errors.push(format!("log.level {:?}: expected error, warn, info, debug or trace", self.log.level));
        }
        errors
    }

    /// Returns this daemon's entry in `daemons`.
    ///
    /// # Panics
    ///
    /// Panics if there is no such entry, which [`DaemonSettings::errors`] reports.
    #[must_use]
    pub fn own_address(&self) -> &DaemonAddress {
        self.daemons
            .iter()
            .find(|daemon| daemon.vm == self.vm)
            .expect("validated settings have an entry for this daemon")
    }

    /// Reads the token shared by all daemons; empty if no file is set.
    ///
    /// # Errors
    ///
    /// Returns an error if the file can't be read or the token is empty.
    pub fn peer_token(&self) -> Result<String> {
        self.peer_token_file.as_deref().map_or_else(|| Ok(String::new()), read_token)
    }

    /// Reads the operators' token; `None` if no file is set.
    ///
    /// # Errors
    ///
    /// Returns an error if the file can't be read or the token is empty.
    pub fn operator_token(&self) -> Result<Option<String>> {
        self.operator_token_file.as_deref().map(read_token).transpose()
    }

    fn check_daemons(&self, errors: &mut Vec<String>) {
        let mut vms: Vec<VmNumber> = self.daemons.iter().map(|daemon| daemon.vm).collect();
        vms.sort_unstable();
        for pair in vms.windows(2).filter(|pair| pair[0] == pair[1]) {
            errors.push(format!("daemons: vm {} is listed twice", pair[0]));
        }
        if vms.binary_search(&self.vm).is_err() {
            errors.push(format!("daemons: no entry for this daemon's vm {}", self.vm));
        }
        let mut addresses: Vec<SocketAddr> = self
            .daemons
            .iter()
            .flat_map(|daemon| [daemon.callers, daemon.operators, daemon.peers])
            .filter(|address| address.port() != 0)
            .collect();
        addresses.sort_unstable();
        for pair in addresses.windows(2).filter(|pair| pair[0] == pair[1]) {
            errors.push(format!("daemons: address {} is listed twice", pair[0]));
        }
        if self.daemons.len() > 1 && self.peer_token_file.is_none() {
            errors.push("peer_token_file: required with more than one daemon".to_owned());
        }
        if self.daemons.len() > 1 && addresses.len() != 3 * self.daemons.len() {
            errors.push("daemons: port 0 is permitted for a single daemon only".to_owned());
        }
    }

    fn check_replicas(&self, errors: &mut Vec<String>) {
        for vm in &self.replicas {
            if !self.daemons.iter().any(|daemon| daemon.vm == *vm) {
                errors.push(format!("replicas: vm {vm} has no entry in daemons"));
            }
        }
        let count = self.replicas.len();
        if count.is_multiple_of(2) || count > 7 {
            errors.push(format!("replicas: {count} given, permitted are 1, 3, 5 or 7"));
        }
    }

    fn check_limits(&self, errors: &mut Vec<String>) {
        let limits = &self.limits;
        let counts = [
            ("limits.connections", limits.connections, 100_000),
            ("limits.body_bytes", limits.body_bytes, 64 * 1024 * 1024),
            ("limits.dispatches", limits.dispatches, 65_536),
        ];
        for (name, value, max) in counts {
            if value == 0 || value > max {
                errors.push(format!("{name} {value} is out of range: permitted is 1 to {max}"));
            }
        }
        let spans = [
            ("limits.head_timeout", limits.head_timeout),
            ("limits.body_timeout", limits.body_timeout),
            ("limits.longest_deadline", limits.longest_deadline),
        ];
        for (name, span) in spans.into_iter().filter(|(_, span)| span.as_millis() == 0) {
            errors.push(format!("{name} {span}: must be above 0"));
        }
    }
}

fn read_bounded(step: &'static str, path: &Path) -> Result<String> {
    let file_error = |cause| DaemonError::File { step, path: path.to_owned(), cause };
    let length = fs::metadata(path).map_err(file_error)?.len();
    if length > MAX_SETTINGS_BYTES {
        let reason = format!("{length} bytes, permitted are up to {MAX_SETTINGS_BYTES}");
        return Err(DaemonError::Settings { path: path.to_owned(), errors: vec![reason] });
    }
    fs::read_to_string(path).map_err(file_error)
}

fn read_token(path: &Path) -> Result<String> {
    let token = read_bounded("read token", path)?.trim().to_owned();
    if token.is_empty() {
        return Err(DaemonError::Settings { path: path.to_owned(), errors: vec!["the token is empty".to_owned()] });
    }
    Ok(token)
}
