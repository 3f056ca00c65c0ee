//! Decides when a coordinator begins a switch, and to which map.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use expert::Plan;
use wire::proto::GroupLoad;
use wire::proto::frame::Body;

use crate::map::InitialMap;
use crate::map::map_metrics::Balance;
use crate::map::map_planner::{self, MapPlanner};
use crate::map::state::State;

impl State {
    /// Begins a switch that restores experts held only by lost ranks. It doesn't
    /// wait for a window, because until then the group computes without them.
    pub fn repair(&mut self, now: Instant) {
        let (Some(coordinator), Some(planner)) = (&self.coordinator, &mut self.planner) else {
            return;
        };
        if !coordinator.is_idle() {
            return;
        }
        if let Some(plan) = planner.repair(self.committed_map.as_ref(), &self.cx.cfg) {
            let (repairs, group) = (plan.repairs, &self.cx.group);
            log::warn!("restoring {repairs} experts of group {group} that only lost ranks held");
            self.begin_switch(&plan, now);
        }
    }

    fn begin_switch(&mut self, plan: &Plan, now: Instant) {
        log::info!(
            group = self.cx.group.as_str(), loads = plan.loads,
            before_us:display = micros(plan.before), after_us:display = micros(plan.after),
            even_us:display = micros(plan.ideal);
            "switching the expert map"
        );
        let load_time = map_planner::load_time(plan, &self.cx.cfg);
        if let Some(coordinator) = &mut self.coordinator {
            let outputs = coordinator.begin_switch(plan.map.to_bytes(), load_time, now);
            self.handle_coordinator_outputs(outputs);
        }
    }

    /// Requests from all ranks the counts since the last request.
    pub fn request_counts(&mut self, now: Instant) {
        self.window_ends = now + self.cx.cfg.window;
        let Some(coordinator) = &self.coordinator else {
            return;
        };
        self.idle_when_requested = coordinator.is_idle();
        self.awaits_first_counts &= !self.idle_when_requested;
        if self.awaits_counts {
            let missing = self.agents_without_counts();
            self.relay_tree.skip_silent_relays(&self.cx.name, &missing);
        }
        self.awaits_counts = true;
        let request = GroupLoad {
            group: self.cx.group.clone(),
            ..GroupLoad::default()
        };
        self.send_to_all(&self.members.names(), &Body::GroupLoad(request));
    }

    /// The agents of the ranks that have not reported counts since the last plan.
    fn agents_without_counts(&self) -> BTreeSet<String> {
        let Some(planner) = &self.planner else {
            return BTreeSet::new();
        };
        let ranks = self.members.agents_by_rank().iter();
        let missing = ranks.filter(|(rank, _)| !planner.has_counted(**rank));
        missing.map(|(_, agent)| agent.clone()).collect()
    }

    /// Evaluates the counts once all ranks have reported, and begins a switch if
    /// it pays off.
    pub fn plan_if_complete(&mut self, now: Instant) {
        let complete = self.planner.as_ref().is_some_and(MapPlanner::is_complete);
        let (true, Some(coordinator), Some(group)) =
            (complete, &self.coordinator, self.cx.group_info())
        else {
            return;
        };
        self.awaits_counts = false;
        let idle = coordinator.is_idle();
        self.reset_to_initial_map();
        let step_time = self.step_time(now);
        let Some(planner) = &mut self.planner else {
            return;
        };
        planner.observe(self.committed_map.as_ref(), self.cx.cfg.initial_map);
        let balance = planner.balance(self.committed_map.as_ref(), self.cx.cfg.initial_map);
        if let Some(balance) = balance {
            self.cx.metrics.set(&self.cx.group, balance);
        }
        if !idle {
            return;
        }
        if let Some(coordinator) = &mut self.coordinator {
            coordinator.set_step_time(step_time);
        }
        let plan = planner.plan(self.committed_map.as_ref(), &group, &self.cx.cfg);
        let need = self.cx.cfg.need;
        let is_needed = |plan: &Plan| need.is_none_or(|need| need.should_switch(plan, step_time));
        if let Some(plan) = plan.filter(is_needed) {
            log_balance(&self.cx.group, balance);
            self.begin_switch(&plan, now);
        }
    }

    /// Typical duration of a step since the previous counts.
    fn step_time(&mut self, now: Instant) -> Option<Duration> {
        let step = self.planner.as_ref()?.step()?;
        self.steps.observe(step, now)
    }

    /// Drops the committed map if the engines of a new formation have started on
    /// their initial map again.
    fn reset_to_initial_map(&mut self) {
        let version = self.planner.as_ref().and_then(MapPlanner::version);
        if self.cx.cfg.initial_map == InitialMap::Unreplicated
            && version == Some(0)
            && self.idle_when_requested
        {
            self.committed_map = None;
        }
    }
}

/// Logs the balance for which a switch begins.
fn log_balance(group: &str, balance: Option<Balance>) {
    if let Some(balance) = balance {
        log::info!(
            group = group, imbalance = balance.imbalance, bound = balance.min_imbalance;
            "load of the busiest rank over the mean"
        );
    }
}

/// Seconds as whole microseconds.
fn micros(seconds: f64) -> u128 {
    Duration::try_from_secs_f64(seconds).map_or(0, |time| time.as_micros())
}
