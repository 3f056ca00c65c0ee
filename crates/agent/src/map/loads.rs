//! What the agents of a group tell its coordinator of their engines.

use std::sync::Arc;
use std::time::Instant;

use wire::proto::GroupLoad;
use wire::proto::frame::Body;

use crate::engine::{ExpertCounts, MapState};
use crate::map::formations::Formation;
use crate::map::msg::MapMsg;
use crate::map::state::State;

impl State {
    /// Asks all agents in which formation their engines step.
    pub fn ask_formation(&self) {
        if self.coordinator.is_none() {
            return;
        }
        for name in self.members.names() {
            let load = GroupLoad {
                group: self.cx.group.clone(),
                about_formation: true,
                ..GroupLoad::default()
            };
            self.send(&name, Body::GroupLoad(load));
        }
    }

    /// Asks for this agent's counts or formation, or answers that.
    pub fn group_load(&mut self, from: &str, load: GroupLoad) {
        if load.group != self.cx.group {
            return;
        }
        if load.is_answer {
            self.group_load_answer(from, load);
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

    fn group_load_answer(&mut self, from: &str, load: GroupLoad) {
        if !load.about_formation {
            if let Some(chooser) = &mut self.chooser {
                chooser.take(load.ranks);
            }
            self.counted_by_all(Instant::now());
            return;
        }
        let group = self.cx.offered();
        let all = 0..group.map_or(0, |group| group.ranks);
        let ranks = match load.formation {
            0 => all.collect(),
            _ => load.formed.into_iter().collect(),
        };
        let formation = Formation {
            number: load.formation,
            ranks,
        };
        self.formations.take(from, formation);
    }

    /// Between two formations there is nothing to tell.
    pub fn formed(&self, to: &str, map: MapState) {
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
        self.send(to, Body::GroupLoad(load));
    }

    /// Without the counts of all no switch begins, as none may while an engine
    /// would join on its start map after a restart.
    pub fn counted(&mut self, to: &str, counts: ExpertCounts, map: &MapState) {
        let ranks = self.windows.next(counts);
        if !ranks.is_empty() && map.waits {
            let load = GroupLoad {
                group: self.cx.group.clone(),
                is_answer: true,
                ranks,
                ..GroupLoad::default()
            };
            self.send(to, Body::GroupLoad(load));
        }
    }
}
