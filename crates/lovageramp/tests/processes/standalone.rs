//! `lovageramp standalone`, as a first-time user runs it.

use crate::support::until;
use std::process::Stdio;
use tokio::io::{AsyncBufReadExt, BufReader};
use tokio::process::Command;

const CLIENT: &str = env!("CARGO_BIN_EXE_lovageramp");

#[tokio::test(flavor = "multi_thread")]
async fn standalone_once_reservation_ran_once() {
    let output = Command::new(CLIENT)
        .args(["standalone", "--once"])
        .output()
        .await
        .unwrap();
    let text = String::from_utf8_lossy(&output.stdout);
    assert!(output.status.success(), "{output:?}");
    assert!(text.contains("data: [DONE]"), "{text}");
    assert!(text.contains("the reservation ran 1 time(s)"), "{text}");
}

/// The two printed curl commands must work when pasted unchanged.
#[tokio::test(flavor = "multi_thread")]
async fn standalone_curl_lines_work() {
    let mut child = Command::new(CLIENT)
        .arg("standalone")
        .stdout(Stdio::piped())
        .kill_on_drop(true)
        .spawn()
        .unwrap();
    let mut lines = BufReader::new(child.stdout.take().unwrap()).lines();
    let mut commands = Vec::new();
    while commands.len() < 2 {
        let line = lines.next_line().await.unwrap().unwrap();
        if line.trim().starts_with("curl ") {
            commands.push(line.trim().to_owned());
        }
    }
    tokio::spawn(async move { while let Ok(Some(_)) = lines.next_line().await {} });
    for command in &commands {
        let output = Command::new("sh")
            .args(["-c", command])
            .output()
            .await
            .unwrap();
        let text = String::from_utf8_lossy(&output.stdout);
        assert!(output.status.success(), "{command}: {output:?}");
        let complete = text.trim_end().ends_with("data: [DONE]") || text.contains("\"count\":1");
        assert!(complete, "{command}: {text}");
    }
    let pid = child.id().unwrap().to_string();
    Command::new("kill")
        .args(["-s", "INT", &pid])
        .status()
        .await
        .unwrap();
    until("standalone ends", || {
        let ended = child.try_wait().unwrap();
        async move { ended }
    })
    .await;
}
