//! Failures that tests cause in a running deployment.

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

    /// Kills a control replica and throws its disk away.
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

    /// Switches a fault on at the stand-in behind an agent.
    pub async fn fault(&self, agent: &str, fault: &str, value: &str) {
        let fake = self.http(&format!("fake-{agent}"));
        let path = format!("/fault/{fault}");
        let answer = request(fake, "POST", &path, &[], value.to_owned()).await;
        if let Ok(answer) = answer {
            assert_eq!(answer.status, 200, "{}", answer.text());
        }
    }

    /// Requests that a stand-in runs now.
    pub async fn running_at(&self, agent: &str) -> u64 {
        let fake = self.http(&format!("fake-{agent}"));
        let load = get(fake, "/load", &[]).await.unwrap().json();
        load["running"].as_u64().unwrap()
    }

    /// How often a stand-in ran requests of this key; an empty key counts all.
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

    /// How often all services ran the call with this key.
    pub async fn ran(&self, key: &str) -> u64 {
        let mut ran = 0;
        for agent in self.agents() {
            if agent.starts_with("desk") {
                ran += self.ran_at(&agent, key).await;
            }
        }
        ran
    }

    /// Waits until a call with this key runs at some service.
    pub async fn until_runs(&self, key: &str) {
        until(&format!("{key} runs"), || async {
            (self.ran(key).await > 0).then_some(())
        })
        .await;
    }

    /// The time of the durable state, in milliseconds that there was a leader.
    pub async fn ledger_time_ms(&self) -> Option<u64> {
        self.any_status().await?["ledger"]["time_ms"].as_u64()
    }

    /// Waits until one of these relays holds something, and says which.
    pub async fn until_held(&self, relays: &[String]) -> String {
        until("bytes are held", || async {
            let mut relays = relays.iter();
            relays.find(|name| self.relays[*name].is_holding()).cloned()
        })
        .await
    }

    /// `GET /v1/operator/status` of any host that answers.
    pub async fn status(&self, host: &str) -> Option<Value> {
        let bearer = format!("Bearer {}", super::cluster::TOKEN);
        let headers = [("authorization", bearer.as_str())];
        let answer = get(self.http(host), "/v1/operator/status", &headers).await;
        let answer = answer.ok()?;
        (answer.status == 200).then(|| answer.json())
    }

    /// The status as the first host that answers has it: an entry asks the leader, a
    /// control that does not lead has only its own view.
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

    /// Waits until every control replica is a voter that has all of the log. A replica
    /// with a blank disk is a learner until then, and the loss of others may take the
    /// majority away. While a lost disk is still among the voters its loss has not been
    /// noticed yet, whatever the rest of the status says.
    pub async fn until_repaired(&self) {
        let expected = self.plan.controls;
        until("the repair is complete", || async {
            let status = self.any_status().await?;
            let replicas = status["replicas"].as_array()?;
            let is_lost = |replica: &Value| {
                let mut lost = self.lost_disks.iter();
                lost.any(|disk| replica["disk"] == disk.as_str())
            };
            let is_whole = |replica: &Value| replica["state"] == "voter" && !is_lost(replica);
            let whole = replicas.iter().all(is_whole);
            let complete = status["repair"] == "complete";
            (replicas.len() == expected && whole && complete).then_some(())
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

    /// Waits until a note is in force everywhere.
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
