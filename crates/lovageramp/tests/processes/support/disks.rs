//! Control processes whose disks can be made to fail from outside.
//!
//! Such a process is the test executable, started again for one test that does nothing
//! else: the daemon's own code on file operations that fail while a file is there.

use super::cluster::Cluster;
use super::until;
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use store::Ops;
use tokio::process::Command;

/// Path of the settings file, for the process that is a control.
const SETTINGS: &str = "LOVAGERAMP_TEST_CONTROL_SETTINGS";
/// The test that becomes the control.
const TEST: &str = "durable_disk::control_process_with_faults";

/// A way in which a disk fails.
#[derive(Clone, Copy, Debug)]
pub enum DiskFault {
    /// Nothing more can be written.
    Full,
    /// Syncs fail.
    Sync,
}

impl DiskFault {
    /// The file that switches it on, beside the control's settings.
    fn switch(self, settings: &Path) -> PathBuf {
        settings.with_extension(match self {
            DiskFault::Full => "full",
            DiskFault::Sync => "sync-fails",
        })
    }
}

/// The command that starts a control on such a disk.
pub(super) fn control_with_faults(settings: &str) -> Command {
    let mut command = Command::new(std::env::current_exe().unwrap());
    command
        .args([TEST, "--exact", "--nocapture", "--test-threads=1"])
        .env(SETTINGS, settings);
    command
}

/// What that process does; nothing in a plain run of the tests.
pub fn run_control_process() {
    let Some(path) = std::env::var_os(SETTINGS).map(PathBuf::from) else {
        return;
    };
    let json = std::fs::read(&path).unwrap();
    let settings = control::Settings::from_slice(&json).unwrap();
    let _logs = trace::start_logging("info", trace::LogFormat::Text).unwrap();
    // The line that tells where it listens must begin a line.
    println!();
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
        .unwrap();
    let ended = runtime.block_on(lovageramp::daemon::serve_control(settings, ops(&path)));
    ended.unwrap();
}

fn ops(settings: &Path) -> Ops {
    let full = DiskFault::Full.switch(settings);
    let failing = DiskFault::Sync.switch(settings);
    let real = Ops::default();
    let (no_room, create) = (full.clone(), Arc::clone(&real.create));
    Ops {
        create: Arc::new(move |path| {
            if no_room.exists() {
                return Err(io::ErrorKind::StorageFull.into());
            }
            create(path)
        }),
        write: Arc::new(move |_, file, bytes| {
            if full.exists() {
                file.write_all(&bytes[..bytes.len() / 2])?;
                return Err(io::ErrorKind::StorageFull.into());
            }
            file.write_all(bytes)
        }),
        sync: Arc::new(move |path, file| {
            if failing.exists() {
                return Err(io::Error::other("input/output error"));
            }
            (real.sync)(path, file)
        }),
        ..real
    }
}

impl Cluster {
    /// Makes the disk of a control fail.
    pub fn fail_disk(&self, control: &str, fault: DiskFault) {
        std::fs::write(fault.switch(&self.settings_of(control)), "").unwrap();
    }

    /// Ends the fault.
    pub fn clear_disk_fault(&self, control: &str, fault: DiskFault) {
        std::fs::remove_file(fault.switch(&self.settings_of(control))).unwrap();
    }

    fn settings_of(&self, control: &str) -> PathBuf {
        self.path(&format!("{control}.json"))
    }

    /// Waits until a process has ended; true for exit code 0.
    pub async fn until_ended(&mut self, name: &str) -> bool {
        let process = self.processes.get_mut(name).unwrap();
        tokio::time::timeout(std::time::Duration::from_mins(1), process.ended())
            .await
            .unwrap()
    }

    /// Starts a control again, as a supervisor does, and gives what it says when it
    /// ends.
    pub async fn start_and_end(&self, control: &str) -> String {
        let settings = self.settings_of(control);
        let command = control_with_faults(settings.to_str().unwrap()).output();
        let output = tokio::time::timeout(std::time::Duration::from_mins(1), command);
        let output = output.await.unwrap().unwrap();
        assert!(!output.status.success());
        let (out, err) = (output.stdout, output.stderr);
        String::from_utf8([out, err].concat()).unwrap()
    }

    /// Replaces the disk of a control that has ended by a blank one and starts it.
    pub async fn replace_disk(&mut self, number: usize) {
        let name = format!("control-{number}");
        let data = self.path(&format!("{name}-data"));
        let identity = std::fs::read(data.join("identity.json")).unwrap();
        let identity: serde_json::Value = serde_json::from_slice(&identity).unwrap();
        let disk = format!("{:016x}", identity["disk"].as_u64().unwrap());
        self.lost_disks.push(disk);
        std::fs::remove_dir_all(data).unwrap();
        self.start_control(number).await;
    }

    /// Waits until a line of a process's metrics is as given.
    pub async fn until_metric(&self, name: &str, metric: &str, expected: f64) {
        until(&format!("{metric} of {name} is {expected}"), || async {
            let value = self.metric(name, metric).await?;
            ((value - expected).abs() < f64::EPSILON).then_some(())
        })
        .await;
    }

    /// A value of a process's metrics: that of the line which begins with `metric`.
    pub async fn metric(&self, name: &str, metric: &str) -> Option<f64> {
        let answer = super::get(self.http(name), "/metrics", &[]).await.ok()?;
        let text = answer.text();
        let mut lines = text.lines().filter_map(|line| line.rsplit_once(' '));
        let (_, value) = lines.find(|(key, _)| *key == metric)?;
        value.parse().ok()
    }
}
