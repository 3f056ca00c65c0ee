//! Control processes whose disks can be made to fail by a test.
//!
//! Such a process is the test executable, started to run a single test that serves as
//! the daemon. It runs the daemon's own code on file operations that fail as long as a
//! marker file exists.

use super::cluster::Cluster;
use super::until;
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use store::Ops;
use tokio::process::Command;

/// Path of the settings file; set only in a process that serves as a control.
const SETTINGS: &str = "LOVAGERAMP_TEST_CONTROL_SETTINGS";
/// The test that serves as the control.
const TEST: &str = "durable_disk::control_process_with_faults";

/// A way in which a disk fails.
#[derive(Clone, Copy, Debug)]
pub enum DiskFault {
    /// The disk is full: creating and writing files fails.
    Full,
    /// Syncing files fails.
    Sync,
}

impl DiskFault {
    /// The marker file that switches the fault on, beside the control's settings.
    fn marker(self, settings: &Path) -> PathBuf {
        settings.with_extension(match self {
            DiskFault::Full => "full",
            DiskFault::Sync => "sync-fails",
        })
    }
}

/// The command that starts a control with file operations that can fail.
pub(super) fn control_with_faults(settings: &str) -> Command {
    let mut command = Command::new(std::env::current_exe().unwrap());
    command
        .args([TEST, "--exact", "--nocapture", "--test-threads=1"])
        .env(SETTINGS, settings);
    command
}

/// Serves as a control if the settings variable is set. Returns at once in a normal run
/// of the tests.
pub fn run_control_process() {
    let Some(path) = std::env::var_os(SETTINGS).map(PathBuf::from) else {
        return;
    };
    let json = std::fs::read(&path).unwrap();
    let settings = control::Settings::from_slice(&json).unwrap();
    let _logs = trace::start_logging("info", trace::LogFormat::Text).unwrap();
    // The harness has printed an unfinished line; the listening addresses need a line
    // of their own.
    println!();
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
        .unwrap();
    let result = runtime.block_on(lovageramp::daemon::serve_control(settings, ops(&path)));
    result.unwrap();
}

fn ops(settings: &Path) -> Ops {
    let full = DiskFault::Full.marker(settings);
    let sync_fails = DiskFault::Sync.marker(settings);
    let real = Ops::default();
    let (full_on_create, create) = (full.clone(), Arc::clone(&real.create));
    Ops {
        create: Arc::new(move |path| {
            if full_on_create.exists() {
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
            if sync_fails.exists() {
                return Err(io::Error::other("input/output error"));
            }
            (real.sync)(path, file)
        }),
        ..real
    }
}

impl Cluster {
    /// Switches a fault of a control's disk on.
    pub fn fail_disk(&self, control: &str, fault: DiskFault) {
        std::fs::write(fault.marker(&self.settings_of(control)), "").unwrap();
    }

    /// Switches the fault off.
    pub fn clear_disk_fault(&self, control: &str, fault: DiskFault) {
        std::fs::remove_file(fault.marker(&self.settings_of(control))).unwrap();
    }

    fn settings_of(&self, control: &str) -> PathBuf {
        self.path(&format!("{control}.json"))
    }

    /// Waits until a process has exited. Returns whether the exit code was 0.
    pub async fn until_ended(&mut self, name: &str) -> bool {
        let process = self.processes.get_mut(name).unwrap();
        tokio::time::timeout(std::time::Duration::from_mins(1), process.ended())
            .await
            .unwrap()
    }

    /// Starts a control as a supervisor would and expects it to fail. Returns its output,
    /// stdout before stderr.
    pub async fn start_and_end(&self, control: &str) -> String {
        let settings = self.settings_of(control);
        let command = control_with_faults(settings.to_str().unwrap()).output();
        let output = tokio::time::timeout(std::time::Duration::from_mins(1), command);
        let output = output.await.unwrap().unwrap();
        assert!(!output.status.success());
        let (out, err) = (output.stdout, output.stderr);
        String::from_utf8([out, err].concat()).unwrap()
    }

    /// Replaces the disk of a control that has exited by a blank one and starts the
    /// control.
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

    /// Waits until a metric of a process has the expected value.
    pub async fn until_metric(&self, name: &str, metric: &str, expected: f64) {
        until(&format!("{metric} of {name} is {expected}"), || async {
            let value = self.metric(name, metric).await?;
            ((value - expected).abs() < f64::EPSILON).then_some(())
        })
        .await;
    }

    /// Value of a metric of a process. `metric` is the name with its labels, as exposed.
    pub async fn metric(&self, name: &str, metric: &str) -> Option<f64> {
        let answer = super::get(self.http(name), "/metrics", &[]).await.ok()?;
        let text = answer.text();
        let mut lines = text.lines().filter_map(|line| line.rsplit_once(' '));
        let (_, value) = lines.find(|(key, _)| *key == metric)?;
        value.parse().ok()
    }
}
