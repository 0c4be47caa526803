use std::net::SocketAddr;
use std::path::Path;

use hollyhook_core::{Name, ZoneName};

use super::{GatewayBounds, QueueSettings};
use crate::file::{SectionReader, SettingError, SettingErrors, SettingFile};
use crate::process::LogFormat;
use crate::value;

/// Settings of a gateway: a daemon whose configuration and endpoints are in the platform's store.
#[derive(Debug, Clone, PartialEq)]
pub struct GatewaySettings {
    /// The host's name.
    pub host: Name,
    /// The host's availability zone.
    pub zone: ZoneName,
    /// The address on which the gateway serves callers.
    pub listen: SocketAddr,
    /// The address on which the gateway answers readiness checks.
    pub ready_listen: SocketAddr,
    /// The address on which the gateway serves metrics; `None` if metrics are not served.
    pub metrics_listen: Option<SocketAddr>,
    /// The address on which the gateway serves its copy of the store's contents to other hosts; `None` if the copy is
    /// not served.
    pub peer_listen: Option<SocketAddr>,
    /// The address of the platform's store.
    pub store: SocketAddr,
    /// Number of writes a second that the store takes from all hosts together.
    pub store_writes: f64,
    /// Maximum memory that the process may use, in bytes.
    pub memory_bytes: usize,
    /// Speed of the host's network link in Mbit/s; 0 if not set. Hosts with faster links send more data to other hosts.
    pub link_mbps: u32,
    /// Limits that the operator of the platform sets on the gateway's behaviour.
    pub bounds: GatewayBounds,
    /// How requests wait for services without free capacity.
    pub queue: QueueSettings,
    /// How log lines are written.
    pub log_format: LogFormat,
    /// Which log lines are written, as a `tracing` filter.
    pub log_level: Name,
}

const TITLES: [&str; 6] = ["host", "gateway", "platform", "bounds", "queue", "log"];
const DEFAULT_MEMORY_MIB: usize = 256;
const DEFAULT_STORE_WRITES: f64 = 400.0;

impl GatewaySettings {
    /// Returns whether a file configures a gateway, rather than a daemon whose site is in local files.
    pub fn is_gateway_file(file: &SettingFile) -> bool {
        file.has_section("gateway")
    }

    /// Reads and checks a file.
    ///
    /// # Errors
    ///
    /// All errors in the file together.
    pub fn load(path: &Path) -> Result<Self, SettingErrors> {
        Self::parse(&SettingFile::load(path)?)
    }

    /// Checks a file that was already read.
    ///
    /// # Errors
    ///
    /// All errors in the file together.
    pub fn parse(file: &SettingFile) -> Result<Self, SettingErrors> {
        let mut errors = file.unknown_titles(&TITLES);
        let settings = read(file, &mut errors);
        match settings {
            Some(settings) if errors.is_empty() => Ok(settings),
            _ => Err(SettingErrors(errors)),
        }
    }
}

fn read(file: &SettingFile, errors: &mut Vec<SettingError>) -> Option<GatewaySettings> {
    let section = file.section("host");
    let mut reader = SectionReader::new(&section, errors);
    let host = reader.required("name", value::name);
    let zone = reader.required("zone", value::name);
    let memory_range = value::bytes(16 << 20, 1 << 40);
    let memory_bytes = reader.with_default("memory", DEFAULT_MEMORY_MIB << 20, memory_range);
    let link_mbps = reader.with_default("link", 0, value::link_mbps);
    reader.finish();

    let section = file.section("gateway");
    let mut reader = SectionReader::new(&section, errors);
    let listen = reader.required("listen", value::address);
    let ready_listen = reader.required("ready_listen", value::address);
    let metrics_listen = reader.optional("metrics_listen", value::address);
    let peer_listen = reader.optional("peer_listen", value::address);
    reader.finish();

    let section = file.section("platform");
    let mut reader = SectionReader::new(&section, errors);
    let store = reader.required("address", value::address);
    let store_writes = reader.with_default("writes", DEFAULT_STORE_WRITES, value::call_rate);
    reader.finish();

    let section = file.section("bounds");
    let mut reader = SectionReader::new(&section, errors);
    let bounds = GatewayBounds::read(&mut reader);
    reader.finish();

    let section = file.section("queue");
    let mut reader = SectionReader::new(&section, errors);
    let queue = QueueSettings::read(&mut reader);
    reader.finish();

    let section = file.section("log");
    let mut reader = SectionReader::new(&section, errors);
    let log_format = reader.with_default("format", LogFormat::Json, value::choice(LogFormat::CHOICES));
    let log_level = reader.with_default("level", "info", value::choice(LogFormat::LEVELS));
    reader.finish();

    Some(GatewaySettings {
        host: host?,
        zone: zone?,
        listen: listen?,
        ready_listen: ready_listen?,
        metrics_listen,
        peer_listen,
        store: store?,
        store_writes,
        memory_bytes,
        link_mbps,
        bounds,
        queue,
        log_format,
        log_level: log_level.into(),
    })
}
