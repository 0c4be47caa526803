use std::fmt::Write as _;
use std::fs;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use async_std::task;
use hollyhook_core::ModelBinding;
use hollyhook_settings::key_digest;
use hollyhook_standin::{EngineCounts, FaultKind, FaultOrder, PlatformCounts, ServiceCounts, TokenChain};
use hollyhook_wire::{ApiStyle, CallerClient, CallerItem, CallerStream, completion_body};
use http_types::Method;
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use serde::de::DeserializeOwned;

pub const KEY: &str = "hh-head-office";
pub const OTHER_KEY: &str = "hh-franchise";
pub const MODEL: &str = "tutor-7b";

/// Child process of a test; killed when dropped.
pub struct Process {
    child: Child,
    pub address: SocketAddr,
    pub peer_address: Option<SocketAddr>,
}

impl Process {
    fn start(binary: &str, args: &[&str]) -> Self {
        let mut child = Command::new(binary)
            .args(args)
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .spawn()
            .expect("the binary was built");
        let mut lines = BufReader::new(child.stdout.take().unwrap()).lines();
        let mut address = |name: &str| -> SocketAddr {
            let line = lines.next().expect("the process prints the address that it listens on").unwrap();
            line.strip_prefix(name).unwrap_or_else(|| panic!("{line}")).parse().unwrap()
        };
        let listening = address("listening=");
        let is_daemon = binary.ends_with("hollyhookd");
        let peer_address = is_daemon.then(|| address("peer_listening="));
        Self { child, address: listening, peer_address }
    }

    /// Sends a signal. After SIGSTOP, waits until every thread has stopped, since threads stop some time after the
    /// signal was sent.
    pub fn signal(&self, signal: Signal) {
        kill(Pid::from_raw(self.child.id().cast_signed()), signal).unwrap();
        while signal == Signal::SIGSTOP && !self.has_stopped() {
            std::thread::sleep(Duration::from_millis(1));
        }
    }

    fn has_stopped(&self) -> bool {
        let tasks = std::fs::read_dir(format!("/proc/{}/task", self.child.id())).unwrap();
        let stats = tasks.map(|task| std::fs::read_to_string(task.unwrap().path().join("stat")).unwrap());
        // The state follows the thread's name, which is in parentheses and may contain any character.
        stats.into_iter().all(|stat| stat.rsplit(") ").next().is_some_and(|rest| rest.starts_with('T')))
    }

    pub fn kill(&mut self) {
        self.child.kill().unwrap();
        self.child.wait().unwrap();
    }

    /// Waits until the process has exited by itself, and returns its exit code.
    pub fn wait(&mut self) -> Option<i32> {
        self.child.wait().unwrap().code()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ended = self.child.kill();
        let _reaped = self.child.wait();
    }
}

/// Fleet of processes with two daemons in two availability zones.
pub struct Fleet {
    pub platform: Process,
    pub engines: Vec<Process>,
    pub services: Vec<Process>,
    pub daemons: Vec<Process>,
    /// Folder of the settings files; deleted with the fleet.
    _folder: tempfile::TempDir,
}

/// Configuration of a [`Fleet`].
pub struct FleetConfig {
    pub engines: usize,
    pub services: usize,
    pub step_ms: u64,
    /// Lines for the section `[limits]` of the settings.
    pub limit_lines: &'static str,
    /// Lines for the settings of the generation service.
    pub service_lines: &'static str,
}

impl Default for FleetConfig {
    fn default() -> Self {
        Self { engines: 3, services: 1, step_ms: 10, limit_lines: "", service_lines: "" }
    }
}

fn command(args: &[&str]) -> Process {
    Process::start(env!("CARGO_BIN_EXE_hollyhook"), args)
}

fn write(folder: &Path, name: &str, text: &str) -> PathBuf {
    let path = folder.join(name);
    fs::write(&path, text).unwrap();
    path
}

impl Fleet {
    pub fn start(config: &FleetConfig) -> Self {
        let folder = tempfile::tempdir().unwrap();
        let platform = command(&["stand-in", "platform"]);
        let step = config.step_ms.to_string();
        let engine = |number: usize| {
            let salt = (number + 1).to_string();
            command(&["stand-in", "engine", "--step-ms", &step, "--salt", &salt, "--model", MODEL])
        };
        let engines: Vec<Process> = (0..config.engines).map(engine).collect();
        let services: Vec<Process> = (0..config.services).map(|_| command(&["stand-in", "service"])).collect();
        write_site(folder.path(), config, &engines, &services);
        let daemons = (0..2).map(|number| start_daemon(folder.path(), number, platform.address)).collect();
        Self { platform, engines, services, daemons, _folder: folder }
    }

    pub fn client(&self, daemon: usize) -> CallerClient {
        CallerClient::new(self.daemons[daemon].address, KEY)
    }

    pub async fn fault(&self, process: &Process, kind: FaultKind, count: u64) {
        let order = serde_json::to_value(FaultOrder { kind, millis: 0, count }).unwrap();
        let client = CallerClient::new(process.address, "");
        let outcome = client.call(Method::Post, "/admin/fault", Some(&order), &[]).await;
        assert!(kind == FaultKind::Die || outcome.unwrap().status == 200);
    }

    pub async fn engine_counts(&self, number: usize) -> EngineCounts {
        counts(&self.engines[number]).await
    }

    pub async fn service_counts(&self, number: usize) -> ServiceCounts {
        counts(&self.services[number]).await
    }

    pub async fn platform_counts(&self) -> PlatformCounts {
        counts(&self.platform).await
    }

    /// Number of the first engine that runs a generation.
    pub async fn busy_engine(&self) -> usize {
        for number in 0..self.engines.len() {
            let client = CallerClient::new(self.engines[number].address, "");
            if let Ok(answer) = client.call(Method::Get, "/admin/counts", None, &[]).await
                && answer.value["running"].as_u64() > Some(0)
            {
                return number;
            }
        }
        panic!("no engine runs a generation");
    }
}

async fn counts<T: DeserializeOwned>(process: &Process) -> T {
    let client = CallerClient::new(process.address, "");
    let answer = client.call(Method::Get, "/admin/counts", None, &[]).await.unwrap();
    serde_json::from_value(answer.value).unwrap()
}

fn write_site(folder: &Path, config: &FleetConfig, engines: &[Process], services: &[Process]) {
    let base = format!(
        "[service tutor]\nclass = long\nkind = generation\nmodel = {MODEL}\nversion = 1\ncontext = 4096 tokens\n{}\n\
         [service booking]\nclass = quick\nkind = plain\nprefix = /booking\ntimeout = 2 s\n\
         [account head-office]\nkey_sha256 = {}\n[account franchise]\nkey_sha256 = {}\n[limits]\n{}\n",
        config.service_lines,
        key_digest(KEY),
        key_digest(OTHER_KEY),
        config.limit_lines
    );
    let mut overlay = String::from("[site]\nname = test\nzones = zone-0, zone-1\n");
    for (number, engine) in engines.iter().enumerate() {
        let (zone, address) = (number % 2, engine.address);
        writeln!(overlay, "[endpoint engine-{number}]\nservice = tutor\nzone = zone-{zone}\naddress = {address}")
            .unwrap();
    }
    for (number, service) in services.iter().enumerate() {
        let address = service.address;
        writeln!(overlay, "[endpoint booking-{number}]\nservice = booking\nzone = zone-0\naddress = {address}")
            .unwrap();
    }
    write(folder, "base.ini", &base);
    write(folder, "site.ini", &overlay);
}

fn start_daemon(folder: &Path, number: usize, platform: SocketAddr) -> Process {
    let text = format!(
        "[host]\nname = host-{number}\nzone = zone-{}\nlisten = 127.0.0.1:0\npeer_listen = 127.0.0.1:0\n\
         [platform]\naddress = {platform}\n[configuration]\nbase = base.ini\noverlay = site.ini\n\
         [log]\ntraces = on\n\
         [keys]\ncursor = {}\n",
        number % 2,
        "5a".repeat(32)
    );
    let path = write(folder, &format!("host-{number}.ini"), &text);
    Process::start(env!("CARGO_BIN_EXE_hollyhookd"), &["--settings", path.to_str().unwrap()])
}

/// Reader of a generation's stream, with everything received so far.
pub struct StreamReader {
    pub stream: CallerStream,
    pub tokens: Vec<String>,
    pub cursor: String,
    pub is_done: bool,
    pub failure: Option<String>,
}

impl StreamReader {
    pub async fn open(client: &CallerClient, prompt: &str, max_tokens: u64, fields: &[(&str, &str)]) -> Self {
        let body = completion_body(MODEL, prompt, max_tokens, true);
        let stream = client.stream(ApiStyle::Completion, &body, fields).await.unwrap().unwrap();
        Self { stream, tokens: Vec::new(), cursor: String::new(), is_done: false, failure: None }
    }

    /// Reads until `count` tokens have been received or the stream has ended.
    pub async fn read_to(&mut self, count: usize) {
        while self.tokens.len() < count && !self.is_done && self.failure.is_none() {
            match self.stream.next().await.unwrap() {
                CallerItem::Token { cursor, text } => {
                    self.tokens.push(text);
                    self.cursor = cursor;
                }
                CallerItem::End(_) => {}
                CallerItem::Failed(body) => self.failure = Some(body.error.code.to_string()),
                CallerItem::Done => self.is_done = true,
            }
        }
    }

    pub async fn read_all(&mut self) {
        self.read_to(usize::MAX).await;
    }
}

/// Asserts that the tokens are one complete generation: `expected` tokens, each following from the one before.
pub fn assert_complete(prompt: &str, tokens: &[String], expected: usize) {
    let chain = TokenChain::new(prompt, &ModelBinding::new(MODEL, "1"));
    assert_eq!(chain.first_mismatch(tokens.iter().map(String::as_str)), None, "a token does not follow");
    assert_eq!(tokens.len(), expected);
}

/// Repeats `fetch` every 10 ms until `condition` holds for its result; panics after 1,000 attempts.
pub async fn poll_until<T, F: Future<Output = T>>(mut fetch: impl FnMut() -> F, condition: impl Fn(&T) -> bool) -> T {
    const MAX_ATTEMPTS: u32 = 1_000;
    for _ in 0..MAX_ATTEMPTS {
        let value = fetch().await;
        if condition(&value) {
            return value;
        }
        task::sleep(Duration::from_millis(10)).await;
    }
    panic!("the condition did not hold within {MAX_ATTEMPTS} attempts, 10 ms apart");
}
