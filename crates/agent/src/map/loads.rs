//! Reports of engine counts and formations to the coordinator.

use std::sync::Arc;
use std::time::Instant;

use wire::proto::GroupLoad;
use wire::proto::frame::Body;

use crate::engine::{ExpertCounts, MapState};
use crate::map::formations::Formation;
use crate::map::msg::MapMsg;
use crate::map::state::State;

impl State {
    /// Requests the formation of each engine from all agents.
    pub fn request_formations(&self) {
        if self.coordinator.is_none() {
            return;
        }
        let request = GroupLoad {
            group: self.cx.group.clone(),
            about_formation: true,
            ..GroupLoad::default()
        };
        self.send_to_all(&self.members.names(), &Body::GroupLoad(request));
    }

    /// Handles a request for this agent's counts or formation, or the answer to
    /// one.
    pub fn on_group_load(&mut self, from: &str, load: GroupLoad) {
        if load.group != self.cx.group {
            return;
        }
        if load.is_answer {
            self.on_group_load_answer(from, load);
            return;
        }
        let (cx, inbox, to) = (Arc::clone(&self.cx), self.inbox.clone(), from.to_owned());
        tokio::spawn(async move {
            let Ok(map) = cx.target_client.map().await else {
                return;
            };
            if load.about_formation {
                let _ = inbox.send_message(MapMsg::Formed { to, map });
            } else if let Ok(counts) = cx.target_client.experts().await {
                let _ = inbox.send_message(MapMsg::Counted { to, counts, map });
            }
        });
    }

    fn on_group_load_answer(&mut self, from: &str, load: GroupLoad) {
        if !load.about_formation {
            if let Some(planner) = &mut self.planner {
                planner.add_windows(load.ranks);
            }
            self.plan_if_complete(Instant::now());
            return;
        }
        let group = self.cx.group_info();
        let all = 0..group.map_or(0, |group| group.ranks);
        let ranks = match load.formation {
            0 => all.collect(),
            _ => load.formed.into_iter().collect(),
        };
        let formation = Formation {
            number: load.formation,
            ranks,
        };
        self.formations.update(from, formation);
    }

    /// Reports the formation of this agent's engine, unless it is between two.
    pub fn send_formation(&mut self, to: &str, map: MapState) {
        if map.formation == Some(0) {
            return;
        }
        let load = GroupLoad {
            group: self.cx.group.clone(),
            about_formation: true,
            is_answer: true,
            formation: map.formation.unwrap_or_default(),
            formed: map.ranks,
            ..GroupLoad::default()
        };
        self.answer_coordinator(to, load);
    }

    /// Reports the counts of this agent's engine. An engine that doesn't wait for
    /// `Join` after a restart reports none: it would join on its initial map, and
    /// without the counts of all ranks no switch begins.
    pub fn send_counts(&mut self, to: &str, counts: ExpertCounts, map: &MapState) {
        let ranks = self.windows.next_window(counts);
        if !ranks.is_empty() && map.waits {
            let load = GroupLoad {
                group: self.cx.group.clone(),
                is_answer: true,
                ranks,
                ..GroupLoad::default()
            };
            self.answer_coordinator(to, load);
        }
    }
}
