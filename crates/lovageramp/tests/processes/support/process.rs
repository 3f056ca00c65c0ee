//! One real process of ours.

use serde_json::Value;
use std::net::SocketAddr;
use std::path::Path;
use std::process::Stdio;
use tokio::io::{AsyncBufReadExt, BufReader};
use tokio::process::{Child, Command};

/// Ticks of a process's time a second, as the kernel reports them.
const TICKS: f64 = 100.0;
/// Bytes of a page of memory.
const PAGE: u64 = 4096;

/// A running process; it is killed when dropped.
pub struct Process {
    child: Child,
    /// Where its links listen, if it has any.
    pub links: Option<SocketAddr>,
    /// Where it answers HTTP.
    pub http: SocketAddr,
}

impl Process {
    /// Starts `program` and waits for the line that says where it listens.
    pub async fn start(program: &str, args: &[&str], log: &Path) -> Process {
        let mut command = Command::new(program);
        command.args(args);
        Process::launch(command, log).await
    }

    /// As [`Process::start`], from a command.
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
            let line = line.unwrap_or_else(|| panic!("{command:?} ended before it was ready"));
            // A test that is started as a daemon prints lines of its own before.
            if let Ok(ready @ Value::Object(_)) = serde_json::from_str(&line) {
                break ready;
            }
        };
        // The pipe stays open: a daemon that prints must not fail at it.
        tokio::spawn(async move { while let Ok(Some(_)) = lines.next_line().await {} });
        let address = |key: &str| ready[key].as_str().map(|text| text.parse().unwrap());
        Process {
            child,
            links: address("links"),
            http: address("http").unwrap(),
        }
    }

    /// Its number at the kernel.
    pub fn pid(&self) -> u32 {
        self.child.id().unwrap()
    }

    /// Seconds of processor time that it has used.
    pub fn cpu_seconds(&self) -> f64 {
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", self.pid())).unwrap();
        let fields: Vec<&str> = stat
            .rsplit(')')
            .next()
            .unwrap()
            .split_whitespace()
            .collect();
        let ticks = |field: usize| fields[field].parse::<f64>().unwrap();
        (ticks(11) + ticks(12)) / TICKS
    }

    /// Bytes that it holds in memory.
    pub fn resident_bytes(&self) -> u64 {
        let statm = std::fs::read_to_string(format!("/proc/{}/statm", self.pid())).unwrap();
        let pages: u64 = statm.split_whitespace().nth(1).unwrap().parse().unwrap();
        pages * PAGE
    }

    /// Kills it with SIGKILL and waits until it is gone.
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

    /// Waits until it has ended by itself; true for exit code 0.
    pub async fn ended(&mut self) -> bool {
        self.child.wait().await.unwrap().success()
    }

    /// True once it has ended.
    pub fn has_ended(&mut self) -> bool {
        self.child.try_wait().unwrap().is_some()
    }
}
