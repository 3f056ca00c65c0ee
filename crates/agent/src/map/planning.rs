//! When a coordinator begins a switch, and to which map.

use std::time::{Duration, Instant};

use expert::Plan;
use wire::proto::GroupLoad;
use wire::proto::frame::Body;

use crate::map::StartMap;
use crate::map::chooser::{self, Chooser};
use crate::map::state::State;

impl State {
    /// Puts experts that only lost ranks held where they can be used, at once:
    /// until then the group computes without them.
    pub fn repair(&mut self, now: Instant) {
        let (Some(coordinator), Some(chooser)) = (&self.coordinator, &mut self.chooser) else {
            return;
        };
        if !coordinator.is_idle() {
            return;
        }
        if let Some(plan) = chooser.repair(self.present.as_ref(), &self.cx.cfg) {
            let (repairs, group) = (plan.repairs, &self.cx.group);
            log::warn!("places {repairs} experts of {group} that lost ranks held");
            self.begin(&plan, now);
        }
    }

    fn begin(&mut self, plan: &Plan, now: Instant) {
        log::info!(
            group = self.cx.group.as_str(), loads = plan.loads,
            before_us:display = micros(plan.before), after_us:display = micros(plan.after),
            even_us:display = micros(plan.ideal);
            "switches the expert map"
        );
        let loading = chooser::loading(plan, &self.cx.cfg);
        if let Some(coordinator) = &mut self.coordinator {
            let outputs = coordinator.begin_switch(plan.map.to_bytes(), loading, now);
            self.coordinate(outputs);
        }
    }

    /// Asks all ranks what they have counted since they were asked last.
    pub fn ask_counts(&mut self, now: Instant) {
        self.window_ends = now + self.cx.cfg.window;
        let Some(coordinator) = &self.coordinator else {
            return;
        };
        self.asked_idle = coordinator.is_idle();
        self.begins &= !self.asked_idle;
        for name in self.members.names() {
            let load = GroupLoad {
                group: self.cx.group.clone(),
                ..GroupLoad::default()
            };
            self.send(&name, Body::GroupLoad(load));
        }
    }

    /// Learns from the counts once all ranks have told theirs, and begins a
    /// switch if one pays.
    pub fn counted_by_all(&mut self, now: Instant) {
        let complete = self.chooser.as_ref().is_some_and(Chooser::is_complete);
        let (true, Some(coordinator), Some(group)) =
            (complete, &self.coordinator, self.cx.offered())
        else {
            return;
        };
        let idle = coordinator.is_idle();
        self.heed_start_map();
        let pass = self.usual_pass(now);
        let Some(chooser) = &mut self.chooser else {
            return;
        };
        chooser.observe(self.present.as_ref(), self.cx.cfg.start);
        if !idle {
            return;
        }
        if let Some(coordinator) = &mut self.coordinator {
            coordinator.set_step_time(pass);
        }
        let plan = chooser.plan(self.present.as_ref(), &group, &self.cx.cfg);
        let need = self.cx.cfg.need;
        let is_needed = |plan: &Plan| need.is_none_or(|need| need.should_switch(plan, pass));
        if let Some(plan) = plan.filter(is_needed) {
            self.begin(&plan, now);
        }
    }

    /// Usual time of a pass since the ranks were counted before.
    fn usual_pass(&mut self, now: Instant) -> Option<Duration> {
        let step = self.chooser.as_ref()?.step()?;
        self.steps.observe(step, now)
    }

    /// Engines that start each formation on their start map are on it again,
    /// whatever was committed before.
    fn heed_start_map(&mut self) {
        let version = self.chooser.as_ref().and_then(Chooser::version);
        if self.cx.cfg.start == StartMap::Bare && version == Some(0) && self.asked_idle {
            self.present = None;
        }
    }
}

/// Seconds as whole microseconds, for a log line.
fn micros(seconds: f64) -> u128 {
    Duration::try_from_secs_f64(seconds).map_or(0, |time| time.as_micros())
}
