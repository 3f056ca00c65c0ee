//! A daemon or fake that runs as a process.

use serde_json::Value;
use std::net::SocketAddr;
use std::path::Path;
use std::process::Stdio;
use tokio::io::{AsyncBufReadExt, BufReader};
use tokio::process::{Child, Command};

/// Clock ticks per second in `/proc/PID/stat`.
const TICKS_PER_S: f64 = 100.0;
/// Bytes of a memory page, the unit of `/proc/PID/statm`.
const PAGE_BYTES: u64 = 4096;

/// A running process; it is killed when dropped.
pub struct Process {
    child: Child,
    /// Address of its link listener, if it has one.
    pub links: Option<SocketAddr>,
    /// Address of its HTTP listener.
    pub http: SocketAddr,
}

impl Process {
    /// Starts `program` and waits until it has printed its listening addresses. Its
    /// stderr is appended to `log`.
    pub async fn start(program: &str, args: &[&str], log: &Path) -> Process {
        let mut command = Command::new(program);
        command.args(args);
        Process::launch(command, log).await
    }

    /// Like [`Process::start`], for a prepared command.
    pub async fn launch(mut command: Command, log: &Path) -> Process {
        let log = std::fs::File::options()
            .create(true)
            .append(true)
            .open(log)
            .unwrap();
        let mut child = command
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(log)
            .kill_on_drop(true)
            .spawn()
            .unwrap();
        let mut lines = BufReader::new(child.stdout.take().unwrap()).lines();
        let ready = loop {
            let line = lines.next_line().await.unwrap();
            let line = line.unwrap_or_else(|| panic!("{command:?} exited before it was ready"));
            // A test executable that runs as a daemon first prints lines of the test harness.
            if let Ok(ready @ Value::Object(_)) = serde_json::from_str(&line) {
                break ready;
            }
        };
        // Drain the pipe, so that a daemon that prints more neither blocks nor fails.
        tokio::spawn(async move { while let Ok(Some(_)) = lines.next_line().await {} });
        let address = |key: &str| ready[key].as_str().map(|text| text.parse().unwrap());
        Process {
            child,
            links: address("links"),
            http: address("http").unwrap(),
        }
    }

    /// The process id.
    pub fn pid(&self) -> u32 {
        self.child.id().unwrap()
    }

    /// CPU time used so far, user and system, in seconds.
    pub fn cpu_seconds(&self) -> f64 {
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", self.pid())).unwrap();
        let fields: Vec<&str> = stat
            .rsplit(')')
            .next()
            .unwrap()
            .split_whitespace()
            .collect();
        let ticks = |field: usize| fields[field].parse::<f64>().unwrap();
        (ticks(11) + ticks(12)) / TICKS_PER_S
    }

    /// Resident set size in bytes.
    pub fn resident_bytes(&self) -> u64 {
        let statm = std::fs::read_to_string(format!("/proc/{}/statm", self.pid())).unwrap();
        let pages: u64 = statm.split_whitespace().nth(1).unwrap().parse().unwrap();
        pages * PAGE_BYTES
    }

    /// Kills it with SIGKILL and waits until it has exited.
    pub async fn kill(&mut self) {
        self.child.kill().await.unwrap();
    }

    /// Sends a signal by name, as in `TERM`, `STOP`, `CONT`.
    pub async fn signal(&self, name: &str) {
        let pid = self.child.id().unwrap().to_string();
        let sent = Command::new("kill")
            .args(["-s", name, &pid])
            .status()
            .await
            .unwrap();
        assert!(sent.success());
    }

    /// Waits until it has exited by itself. Returns whether the exit code was 0.
    pub async fn ended(&mut self) -> bool {
        self.child.wait().await.unwrap().success()
    }

    /// Whether it has exited.
    pub fn has_ended(&mut self) -> bool {
        self.child.try_wait().unwrap().is_some()
    }
}
