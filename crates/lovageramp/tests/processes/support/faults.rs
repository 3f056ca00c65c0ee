//! Faults that tests inject into a running deployment, and conditions to wait for.

use super::cluster::Cluster;
use super::{get, request, until};
use serde_json::Value;

impl Cluster {
    /// Kills a process with SIGKILL.
    pub async fn kill(&mut self, name: &str) {
        self.processes.get_mut(name).unwrap().kill().await;
    }

    /// Sends a process a signal.
    pub async fn signal(&self, name: &str, signal: &str) {
        self.processes[name].signal(signal).await;
    }

    /// Kills a control replica and deletes its data folder.
    pub async fn lose_disk(&mut self, number: usize) {
        let name = format!("control-{number}");
        let disk = until("the disk's identity", || async {
            let status = self.any_status().await?;
            let mut replicas = status["replicas"].as_array()?.iter();
            let replica = replicas.find(|replica| replica["name"] == name.as_str())?;
            Some(replica["disk"].as_str()?.to_owned())
        })
        .await;
        self.lost_disks.push(disk);
        self.kill(&name).await;
        std::fs::remove_dir_all(self.folder.path().join(format!("{name}-data"))).unwrap();
    }

    /// Switches a fault on in the fake behind an agent. A fake that does not answer is
    /// ignored.
    pub async fn fault(&self, agent: &str, fault: &str, value: &str) {
        let fake = self.http(&format!("fake-{agent}"));
        let path = format!("/fault/{fault}");
        let answer = request(fake, "POST", &path, &[], value.to_owned()).await;
        if let Ok(answer) = answer {
            assert_eq!(answer.status, 200, "{}", answer.text());
        }
    }

    /// Number of requests that the fake behind an agent is running.
    pub async fn running_at(&self, agent: &str) -> u64 {
        let fake = self.http(&format!("fake-{agent}"));
        let load = get(fake, "/load", &[]).await.unwrap().json();
        load["running"].as_u64().unwrap()
    }

    /// Number of times that the fake behind an agent ran requests with this key. An empty
    /// key counts all requests; a fake that does not answer counts as 0.
    pub async fn ran_at(&self, agent: &str, key: &str) -> u64 {
        let fake = self.http(&format!("fake-{agent}"));
        let Ok(seen) = get(fake, "/seen", &[]).await else {
            return 0;
        };
        let seen = seen.json();
        let rows = seen.as_array().unwrap().iter();
        let rows = rows.filter(|row| key.is_empty() || row["key"] == key);
        rows.map(|row| row["count"].as_u64().unwrap()).sum()
    }

    /// Number of times that all services together ran the call with this key.
    pub async fn ran(&self, key: &str) -> u64 {
        let mut ran = 0;
        for agent in self.agents() {
            if agent.starts_with("desk") {
                ran += self.ran_at(&agent, key).await;
            }
        }
        ran
    }

    /// Waits until some service has started the call with this key.
    pub async fn until_runs(&self, key: &str) {
        until(&format!("{key} runs"), || async {
            (self.ran(key).await > 0).then_some(())
        })
        .await;
    }

    /// Clock of the replicated ledger in milliseconds. It advances only while there is a
    /// leader.
    pub async fn ledger_time_ms(&self) -> Option<u64> {
        self.any_status().await?["ledger"]["time_ms"].as_u64()
    }

    /// Waits until one of these relays holds bytes back, and returns its name.
    pub async fn until_held(&self, relays: &[String]) -> String {
        until("bytes are held", || async {
            let mut relays = relays.iter();
            relays.find(|name| self.relays[*name].is_holding()).cloned()
        })
        .await
    }

    /// Answer of a host to `GET /v1/operator/status`, if it answers with 200.
    pub async fn status(&self, host: &str) -> Option<Value> {
        let bearer = format!("Bearer {}", super::cluster::TOKEN);
        let headers = [("authorization", bearer.as_str())];
        let answer = get(self.http(host), "/v1/operator/status", &headers).await;
        let answer = answer.ok()?;
        (answer.status == 200).then(|| answer.json())
    }

    /// Status from the first host that answers and knows a leader. Entries are asked
    /// first, since an entry asks the leader, while a control that does not lead has only
    /// its own view.
    async fn any_status(&self) -> Option<Value> {
        let hosts = self.processes.keys();
        let entries = hosts.clone().filter(|name| name.starts_with("entry"));
        let controls = hosts.filter(|name| name.starts_with("control"));
        for host in entries.chain(controls) {
            let status = self.status(host).await;
            if status
                .as_ref()
                .is_some_and(|status| status["leader"].is_string())
            {
                return status;
            }
        }
        None
    }

    /// Waits until every control replica is a voter with the complete log. Until then a
    /// replica with a blank disk is a learner, and losing other replicas may cost the
    /// majority. As long as a lost disk is listed as a voter, its loss has not been
    /// detected, whatever the rest of the status says.
    pub async fn until_repaired(&self) {
        let expected = self.plan.controls;
        until("the repair is complete", || async {
            let status = self.any_status().await?;
            let replicas = status["replicas"].as_array()?;
            let is_lost = |replica: &Value| {
                let mut lost = self.lost_disks.iter();
                lost.any(|disk| replica["disk"] == disk.as_str())
            };
            let is_repaired = |replica: &Value| replica["state"] == "voter" && !is_lost(replica);
            let repaired = replicas.iter().all(is_repaired);
            let complete = status["repair"] == "complete";
            (replicas.len() == expected && repaired && complete).then_some(())
        })
        .await;
    }

    /// Name of the control replica that leads.
    pub async fn leader(&self) -> String {
        until("a leader", || async {
            let status = self.any_status().await?;
            Some(status["leader"].as_str()?.to_owned())
        })
        .await
    }

    /// Waits until a note is in force on all hosts.
    pub async fn until_in_force(&self, host: &str, number: u64) {
        until(&format!("note {number} in force everywhere"), || async {
            let answer = self
                .operator(host, "GET", "/v1/operator/notes/status", &Value::Null)
                .await;
            if answer.status != 200 {
                return None;
            }
            let everywhere = answer.json()["in_force_everywhere"].as_u64()?;
            (everywhere >= number).then_some(())
        })
        .await;
    }
}
