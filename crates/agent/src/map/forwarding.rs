//! Messages that reach their recipients through another agent of the group.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Instant;

use bytes::Bytes;
use wire::proto::frame::Body;
use wire::proto::{Forwarded, GroupLoad, Recipient};
use wire::{Link, decode_body, encode_body};

use crate::map::gathers::Gathered;
use crate::map::state::State;

impl State {
    /// Sends a message to several agents, through relays if the group is large.
    pub fn send_to_all(&self, names: &BTreeSet<String>, body: &Body) {
        if names.contains(&self.cx.name) {
            self.send(&self.cx.name, body.clone());
        }
        let deliveries = self.relay_tree.deliveries(&self.cx.name, names);
        let mut encoded = None;
        for delivery in deliveries {
            if delivery.to == [delivery.via.clone()] {
                self.send_directly(&delivery.via, body.clone());
                continue;
            }
            let frame = encoded.get_or_insert_with(|| encode_body(body.clone()));
            let to = delivery.to.iter().map(|name| self.recipient(name));
            let forwarded = Forwarded {
                from: self.cx.name.clone(),
                to: to.collect(),
                frame: frame.clone(),
            };
            self.send_directly(&delivery.via, Body::Forwarded(forwarded));
        }
    }

    /// Sends a message to an agent that is not reached through a relay, or that is to
    /// forward it.
    fn send_directly(&self, name: &str, body: Body) {
        let address = self.members.addresses.get(name).copied();
        self.peers.send_directly(name, address, body, &self.inbox);
    }

    fn recipient(&self, name: &str) -> Recipient {
        let address = self.members.addresses.get(name);
        Recipient {
            name: name.to_owned(),
            address: address.map_or_else(String::new, ToString::to_string),
        }
    }

    /// Handles a message that `link`'s peer forwards, or that this agent is to forward.
    pub fn on_forwarded(&mut self, forwarded: Forwarded, link: &Link, now: Instant) {
        let Forwarded { from, to, frame } = forwarded;
        let body = match decode_body(frame.clone()) {
            Ok(body) => body,
            Err(e) => return log::warn!("ignored a forwarded message of {from}: {e}"),
        };
        if matches!(body, Body::Forwarded(_)) {
            return;
        }
        let (own, others): (Vec<Recipient>, Vec<Recipient>) =
            to.into_iter().partition(|to| to.name == self.cx.name);
        if !others.is_empty() {
            self.begin_gather(&from, &body, &own, &others, now);
        }
        for to in others {
            if !self.gather_answer(&from, &to.name, &body) {
                self.forward(&from, &to, frame.clone());
            }
        }
        if !own.is_empty() {
            self.peers.record_route(&from, link);
            self.receive(&from, body, now);
        }
    }

    fn forward(&self, from: &str, to: &Recipient, frame: Bytes) {
        let address: Option<SocketAddr> = to.address.parse().ok();
        let forwarded = Forwarded {
            from: from.to_owned(),
            to: vec![Recipient {
                name: to.name.clone(),
                ..Recipient::default()
            }],
            frame,
        };
        let body = Body::Forwarded(forwarded);
        self.peers
            .send_directly(&to.name, address, body, &self.inbox);
    }

    /// Prepares to merge the answers, if the message is a request to a whole branch.
    fn begin_gather(
        &mut self,
        from: &str,
        body: &Body,
        own: &[Recipient],
        others: &[Recipient],
        now: Instant,
    ) {
        let Body::GroupLoad(request) = body else {
            return;
        };
        if request.is_answer {
            return;
        }
        let agents = own.iter().chain(others).map(|to| to.name.clone());
        let unfinished = self.gathers.begin(from, request, agents.collect(), now);
        if let Some(unfinished) = unfinished {
            self.send(from, Body::GroupLoad(unfinished));
        }
    }

    /// Merges an answer that is to be forwarded to a coordinator. Returns false if it
    /// has to be forwarded on its own.
    fn gather_answer(&mut self, from: &str, coordinator: &str, body: &Body) -> bool {
        let Body::GroupLoad(answer) = body else {
            return false;
        };
        if !answer.is_answer || !self.gathers.is_open(coordinator) {
            return false;
        }
        match self.gathers.add(coordinator, from, answer.clone()) {
            Gathered::Unmerged(_) => false,
            Gathered::Pending => true,
            Gathered::Complete(merged) => {
                self.send(coordinator, Body::GroupLoad(merged));
                true
            }
        }
    }

    /// Sends an answer of this agent to a coordinator, merged with those of the other
    /// agents of the branch if this agent is their relay.
    pub fn answer_coordinator(&mut self, coordinator: &str, answer: GroupLoad) {
        let me = self.cx.name.clone();
        match self.gathers.add(coordinator, &me, answer) {
            Gathered::Pending => {}
            Gathered::Unmerged(answer) | Gathered::Complete(answer) => {
                self.send(coordinator, Body::GroupLoad(answer));
            }
        }
    }

    /// Sends what has been merged in time.
    pub fn expire_gathers(&mut self, now: Instant) {
        for (coordinator, merged) in self.gathers.expire(now) {
            self.send(&coordinator, Body::GroupLoad(merged));
        }
    }
}
