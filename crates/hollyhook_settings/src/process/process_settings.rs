use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use hollyhook_core::{CursorKey, Name, ZoneName};

use crate::file::{SectionReader, SettingError, SettingErrors, SettingFile};
use crate::value;

/// How log lines are written.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LogFormat {
    /// Plain text for people.
    Text,
    /// One JSON object per line.
    Json,
}

impl LogFormat {
    pub(crate) const CHOICES: &'static [(&'static str, Self)] = &[("text", Self::Text), ("json", Self::Json)];
    pub(crate) const LEVELS: &'static [(&'static str, &'static str)] =
        &[("error", "error"), ("warn", "warn"), ("info", "info"), ("debug", "debug")];
}

/// Settings of one daemon: its addresses, its availability zone, and the paths of the site's settings.
#[derive(Debug, Clone)]
pub struct ProcessSettings {
    /// The host's name.
    pub host: Name,
    /// The host's availability zone.
    pub zone: ZoneName,
    /// The address on which the daemon serves callers.
    pub listen: SocketAddr,
    /// The address on which the daemon serves other daemons and the operator's command.
    pub peer_listen: SocketAddr,
    /// Number of worker threads.
    pub threads: usize,
    /// The peer addresses of the other daemons.
    pub peers: Vec<SocketAddr>,
    /// The address of the platform; `None` if the daemon uses no platform.
    pub platform: Option<SocketAddr>,
    /// The path of the base file for all sites.
    pub base: PathBuf,
    /// The path of the overlay file of this site.
    pub overlay: PathBuf,
    /// How log lines are written.
    pub log_format: LogFormat,
    /// Which log lines are written, as a `tracing` filter.
    pub log_level: Name,
    /// Whether the traces of the most recent generations are kept in memory.
    pub keeps_traces: bool,
    /// The address that metrics are sent to as statsd datagrams.
    pub statsd: Option<SocketAddr>,
    /// The key that encrypts cursors.
    pub cursor_key: CursorKey,
    /// The previous key, which is accepted for the decryption of cursors only (key rotation).
    pub previous_cursor_key: Option<CursorKey>,
}

impl ProcessSettings {
    /// Reads and checks a file; relative paths in it are resolved against its folder.
    ///
    /// # Errors
    ///
    /// All errors in the file together.
    pub fn load(path: &Path) -> Result<Self, SettingErrors> {
        let mut settings = Self::parse(&SettingFile::load(path)?)?;
        let folder = path.parent().unwrap_or(Path::new(""));
        settings.base = folder.join(&settings.base);
        settings.overlay = folder.join(&settings.overlay);
        Ok(settings)
    }

    /// Checks a file that was already read; leaves paths in it as they are.
    ///
    /// # Errors
    ///
    /// All errors in the file together.
    pub fn parse(file: &SettingFile) -> Result<Self, SettingErrors> {
        let mut parser = ProcessParser { file, errors: Vec::new() };
        let settings = parser.parse();
        match settings {
            Some(settings) if parser.errors.is_empty() => Ok(settings),
            _ => Err(SettingErrors(parser.errors)),
        }
    }
}

/// Default number of worker threads; more threads than the work needs only wake each other.
const DEFAULT_THREADS: u64 = 4;

const TITLES: [&str; 6] = ["host", "platform", "configuration", "log", "metrics", "keys"];

struct ProcessParser<'a> {
    file: &'a SettingFile,
    errors: Vec<SettingError>,
}

impl ProcessParser<'_> {
    fn parse(&mut self) -> Option<ProcessSettings> {
        self.errors.extend(self.file.unknown_titles(&TITLES));
        let host = self.file.section("host");
        let mut reader = SectionReader::new(&host, &mut self.errors);
        let name = reader.required("name", value::name);
        let zone = reader.required("zone", value::name);
        let listen = reader.required("listen", value::address);
        let peer_listen = reader.required("peer_listen", value::address);
        let peers = reader.with_default("peers", Vec::new(), value::addresses);
        let threads = reader.with_default("threads", DEFAULT_THREADS, value::count(1, 64));
        reader.finish();

        let section = self.file.section("platform");
        let mut reader = SectionReader::new(&section, &mut self.errors);
        let platform = reader.optional("address", value::address);
        reader.finish();

        let section = self.file.section("configuration");
        let mut reader = SectionReader::new(&section, &mut self.errors);
        let base = reader.required("base", value::file_path);
        let overlay = reader.required("overlay", value::file_path);
        reader.finish();

        let section = self.file.section("log");
        let mut reader = SectionReader::new(&section, &mut self.errors);
        let log_format = reader.with_default("format", LogFormat::Text, value::choice(LogFormat::CHOICES));
        let log_level = reader.with_default("level", "info", value::choice(LogFormat::LEVELS));
        let switches = &[("on", true), ("off", false)];
        let keeps_traces = reader.with_default("traces", false, value::choice(switches));
        reader.finish();

        let section = self.file.section("metrics");
        let mut reader = SectionReader::new(&section, &mut self.errors);
        let statsd = reader.optional("statsd", value::address);
        reader.finish();

        let section = self.file.section("keys");
        let mut reader = SectionReader::new(&section, &mut self.errors);
        let cursor_key = reader.required("cursor", value::hex_32);
        let previous = reader.optional("previous_cursor", value::hex_32);
        reader.finish();

        Some(ProcessSettings {
            host: name?,
            zone: zone?,
            listen: listen?,
            peer_listen: peer_listen?,
            threads: threads as usize,
            peers,
            platform,
            base: base?,
            overlay: overlay?,
            log_format,
            log_level: log_level.into(),
            keeps_traces,
            statsd,
            cursor_key: CursorKey::new(cursor_key?),
            previous_cursor_key: previous.map(CursorKey::new),
        })
    }
}
