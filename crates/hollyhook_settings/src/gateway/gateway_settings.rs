use std::net::SocketAddr;
use std::path::Path;

use hollyhook_core::{Name, ZoneName};

use super::GatewayBounds;
use crate::file::{SectionReader, SettingError, SettingErrors, SettingFile};
use crate::process::LogFormat;
use crate::value;

/// What a daemon is told whose configuration and endpoints lie in the platform's store.
#[derive(Debug, Clone, PartialEq)]
pub struct GatewaySettings {
    /// The host's name.
    pub host: Name,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Where it serves callers.
    pub listen: SocketAddr,
    /// Where it answers whether it is ready.
    pub ready_listen: SocketAddr,
    /// Where it serves metrics.
    pub metrics_listen: Option<SocketAddr>,
    /// Where it tells other hosts what it reads of the store; none if it shares nothing.
    pub peer_listen: Option<SocketAddr>,
    /// The platform's store.
    pub store: SocketAddr,
    /// The most bytes of memory that the process may take.
    pub memory_bytes: usize,
    /// What its network link carries, in Mbit/s; zero if that is not said. Hosts with larger links carry more for others.
    pub link_mbps: u32,
    /// What it is held to.
    pub bounds: GatewayBounds,
    /// How log lines are written.
    pub log_format: LogFormat,
    /// Which log lines are written, as `tracing` filters say it.
    pub log_level: Name,
}

const TITLES: [&str; 5] = ["host", "gateway", "platform", "bounds", "log"];
const DEFAULT_MEMORY_MIB: usize = 256;

impl GatewaySettings {
    /// Whether a file is for a gateway rather than for a daemon with a site of its own.
    pub fn is_gateway_file(file: &SettingFile) -> bool {
        file.has_section("gateway")
    }

    /// Reads and checks a file.
    ///
    /// # Errors
    ///
    /// Everything that is wrong, at once.
    pub fn load(path: &Path) -> Result<Self, SettingErrors> {
        Self::parse(&SettingFile::load(path)?)
    }

    /// Checks a file that was read.
    ///
    /// # Errors
    ///
    /// Everything that is wrong, at once.
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
    let most = value::bytes(16 << 20, 1 << 40);
    let memory_bytes = reader.default("memory", DEFAULT_MEMORY_MIB << 20, most);
    let link_mbps = reader.default("link", 0, value::link_mbps);
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
    reader.finish();

    let section = file.section("bounds");
    let mut reader = SectionReader::new(&section, errors);
    let bounds = GatewayBounds::read(&mut reader);
    reader.finish();

    let section = file.section("log");
    let mut reader = SectionReader::new(&section, errors);
    let log_format = reader.default("format", LogFormat::Json, value::choice(LogFormat::CHOICES));
    let log_level = reader.default("level", "info", value::choice(LogFormat::LEVELS));
    reader.finish();

    Some(GatewaySettings {
        host: host?,
        zone: zone?,
        listen: listen?,
        ready_listen: ready_listen?,
        metrics_listen,
        peer_listen,
        store: store?,
        memory_bytes,
        link_mbps,
        bounds,
        log_format,
        log_level: log_level.into(),
    })
}
