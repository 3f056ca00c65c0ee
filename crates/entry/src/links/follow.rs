//! Keeps the connection to one agent up and passes on what comes.

use std::sync::Arc;

use ractor::ActorRef;
use tokio::sync::mpsc;
use wire::proto::frame::Body;
use wire::{ClusterKey, Identity, Incoming, Link, LinkSettings};

use super::Agent;
use super::news::News;

/// Keeps the connection up while the agent is wanted, until its incarnation is
/// over.
pub(super) async fn follow(
    agent: Arc<Agent>,
    me: Identity,
    key: ClusterKey,
    cfg: LinkSettings,
    roster: ActorRef<News>,
) {
    let gone = agent.gone.clone();
    let kept = async {
        let mut wanted = agent.wanted();
        while wanted.wait_for(|wanted| *wanted).await.is_ok() {
            let (served, told) = (Arc::clone(&agent), roster.clone());
            let (me, key, cfg) = (me.clone(), key.clone(), cfg.clone());
            let dialled = wire::redial(agent.address, me, key, cfg, move |link, rx| {
                serve(Arc::clone(&served), link, rx, told.clone())
            });
            let released = async {
                // An error means that the agent is gone too.
                let _ = wanted.wait_for(|wanted| !*wanted).await;
            };
            tokio::select! {
                () = dialled => {}
                () = released => {}
            }
            agent.close();
            tell(&roster, News::Look);
        }
    };
    gone.run_until_cancelled(kept).await;
}

async fn serve(
    agent: Arc<Agent>,
    link: Link,
    rx: mpsc::Receiver<Incoming>,
    roster: ActorRef<News>,
) {
    let peer = link.peer();
    if peer.name != agent.name || peer.incarnation != agent.incarnation {
        // An incarnation never comes back: its attempts are lost, and to wait
        // for them would keep their callers waiting for nothing.
        tell(&roster, News::Gone(Arc::clone(&agent)));
        agent.gone.cancelled().await;
        return;
    }
    agent.set_link(Some(link));
    tell(&roster, News::Look);
    pass_on(&agent, rx, &roster).await;
    agent.set_link(None);
    tell(&roster, News::Look);
}

async fn pass_on(agent: &Arc<Agent>, mut rx: mpsc::Receiver<Incoming>, roster: &ActorRef<News>) {
    while let Some(incoming) = rx.recv().await {
        match incoming.body {
            Body::AnswerHead(ref head) => agent.route(&head.attempt, &incoming.body),
            Body::AnswerChunk(ref chunk) => agent.route(&chunk.attempt, &incoming.body),
            Body::AnswerEnd(ref end) => agent.route(&end.attempt, &incoming.body),
            Body::LoadReport(report) => tell(roster, News::Load(Arc::clone(agent), report)),
            Body::CacheEvents(events) => tell(roster, News::Cache(Arc::clone(agent), events)),
            Body::Leaving(_) => tell(roster, News::Leaving(Arc::clone(agent))),
            _ => log::debug!("unexpected message from agent {}", agent.name),
        }
    }
}

fn tell(roster: &ActorRef<News>, news: News) {
    // Fails only while the entry shuts down.
    let _ = roster.send_message(news);
}
