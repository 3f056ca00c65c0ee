//! Maintains the connection to an agent and forwards its messages.

use std::sync::Arc;

use ractor::ActorRef;
use tokio::sync::mpsc;
use wire::proto::frame::Body;
use wire::{ClusterKey, Identity, Incoming, Link, LinkSettings};

use super::Agent;
use super::event::LinkEvent;

/// Keeps the connection up while it is needed, until the incarnation of the agent ends.
pub(super) async fn maintain_link(
    agent: Arc<Agent>,
    identity: Identity,
    key: ClusterKey,
    cfg: LinkSettings,
    link_manager: ActorRef<LinkEvent>,
) {
    let ended = agent.ended.clone();
    let maintain = async {
        let mut link_wanted = agent.link_wanted();
        while link_wanted
            .wait_for(|link_wanted| *link_wanted)
            .await
            .is_ok()
        {
            let (link_agent, link_events) = (Arc::clone(&agent), link_manager.clone());
            let (identity, key, cfg) = (identity.clone(), key.clone(), cfg.clone());
            let connect = wire::redial(agent.address, identity, key, cfg, move |link, rx| {
                serve_link(Arc::clone(&link_agent), link, rx, link_events.clone())
            });
            let released = async {
                // An error means that the agent has been dropped.
                let _ = link_wanted.wait_for(|link_wanted| !*link_wanted).await;
            };
            tokio::select! {
                () = connect => {}
                () = released => {}
            }
            agent.close_link();
            notify(&link_manager, LinkEvent::Changed);
        }
    };
    ended.run_until_cancelled(maintain).await;
}

async fn serve_link(
    agent: Arc<Agent>,
    link: Link,
    rx: mpsc::Receiver<Incoming>,
    link_manager: ActorRef<LinkEvent>,
) {
    let peer = link.peer();
    if peer.name != agent.name || peer.incarnation != agent.incarnation {
        // An ended incarnation never comes back. Its attempts are failed at once, as
        // waiting for them would only delay their callers.
        notify(
            &link_manager,
            LinkEvent::IncarnationEnded(Arc::clone(&agent)),
        );
        agent.ended.cancelled().await;
        return;
    }
    agent.set_link(Some(link));
    notify(&link_manager, LinkEvent::Changed);
    forward_messages(&agent, rx, &link_manager).await;
    agent.set_link(None);
    notify(&link_manager, LinkEvent::Changed);
}

async fn forward_messages(
    agent: &Arc<Agent>,
    mut rx: mpsc::Receiver<Incoming>,
    link_manager: &ActorRef<LinkEvent>,
) {
    while let Some(incoming) = rx.recv().await {
        match incoming.body {
            Body::AnswerHead(ref head) => agent.dispatch(&head.attempt, &incoming.body),
            Body::AnswerChunk(ref chunk) => agent.dispatch(&chunk.attempt, &incoming.body),
            Body::AnswerEnd(ref end) => agent.dispatch(&end.attempt, &incoming.body),
            Body::LoadReport(report) => notify(
                link_manager,
                LinkEvent::LoadReport(Arc::clone(agent), report),
            ),
            Body::CacheEvents(events) => notify(
                link_manager,
                LinkEvent::CacheEvents(Arc::clone(agent), events),
            ),
            Body::Leaving(_) => notify(link_manager, LinkEvent::Leaving(Arc::clone(agent))),
            _ => log::debug!("unexpected message from agent {}", agent.name),
        }
    }
}

fn notify(link_manager: &ActorRef<LinkEvent>, event: LinkEvent) {
    // Fails only during the shutdown of the entry.
    let _ = link_manager.send_message(event);
}
