//! The replicated state machine.

mod calls;
mod crashes;
mod evacuations;
mod maps;
mod notes;
mod snapshot;
mod table;

pub(crate) use calls::MAX_UNPROVED;

use crate::withdrawn::Withdrawn;
use expert::Decisions;
use ledger::{Ledger, Limits};
use note::History;
use route::{CrashTally, Quarantine};
use wire::proto::command::Body;
use wire::proto::{Command, Drain, DrainOutcome, RouteTable, Unavailable, outcome};

/// The durable state: release notes, the ledger of non-repeatable calls, the
/// quarantine, expert-map decisions, drained targets, evacuated zones and the route
/// table.
///
/// It is deterministic: replicas that apply the same commands in the same order
/// hold equal states.
///
/// ```
/// use control::StateMachine;
/// use wire::proto::{Command, SubmitNote, command, outcome};
///
/// let mut machine = StateMachine::default();
/// let note = SubmitNote { json: r#"{"number": 1}"#.into(), operator: "anna".into() };
/// let body = Some(command::Body::SubmitNote(note));
/// let outcome = machine.apply(Command { now_ms: 1, body });
/// assert!(matches!(outcome, outcome::Body::Note(_)));
/// assert_eq!(machine.history().catalogue().number(), 1);
/// ```
#[derive(Clone, Debug, PartialEq)]
pub struct StateMachine {
    now_ms: u64,
    history: History,
    ledger: Ledger,
    quarantine: Quarantine,
    /// Crashes of targets that run requests of all kinds.
    crash_tally: CrashTally,
    /// Crashes of targets behind agents, for the parts of prompts alone.
    agent_crash_tally: CrashTally,
    decisions: Decisions,
    withdrawn: Withdrawn,
    /// Number of changes of the evacuated zones.
    evacuation_changes: u64,
    route_table: RouteTable,
}

impl Default for StateMachine {
    fn default() -> Self {
        StateMachine {
            now_ms: 0,
            history: History::default(),
            ledger: Ledger::new(Limits::default()),
            quarantine: Quarantine::new(),
            crash_tally: CrashTally::default(),
            agent_crash_tally: CrashTally::default(),
            decisions: Decisions::new(),
            withdrawn: Withdrawn::default(),
            evacuation_changes: 0,
            route_table: RouteTable::default(),
        }
    }
}

impl StateMachine {
    /// Applies a committed command. Its time in milliseconds is set by the leader
    /// that proposed it. A time before that of an earlier command is replaced by
    /// the earlier command's time.
    ///
    /// ```
    /// let mut machine = control::StateMachine::default();
    /// machine.apply(wire::proto::Command { now_ms: 9, body: None });
    /// assert_eq!(machine.now_ms(), 9);
    /// ```
    pub fn apply(&mut self, command: Command) -> outcome::Body {
        self.now_ms = self.now_ms.max(command.now_ms);
        match command.body {
            Some(Body::SubmitNote(note)) => outcome::Body::Note(self.submit_note(&note)),
            Some(Body::Claim(claim)) => self.claim(claim),
            Some(Body::Finish(finish)) => self.finish(finish),
            Some(Body::Release(release)) => self.release(&release),
            Some(Body::Crashed(crashed)) => self.crashed(&crashed),
            Some(Body::SharedTargetCrashed(crashed)) => self.shared_target_crashed(&crashed),
            Some(Body::Completed(completed)) => self.completed(&completed),
            Some(Body::Pardon(pardon)) => self.pardon(&pardon),
            Some(Body::OpenCoordinator(open)) => {
                outcome::Body::Coordinator(self.open_coordinator(&open))
            }
            Some(Body::DecideMap(decide)) => outcome::Body::Map(self.decide_map(decide)),
            Some(Body::Drain(drain)) => outcome::Body::Drain(self.drain(drain)),
            Some(Body::Forget(forget)) => self.forget(&forget),
            Some(Body::LedgerLimits(limits)) => self.set_ledger_limits(limits),
            Some(Body::Evacuate(order)) => outcome::Body::Evacuation(self.evacuate(order)),
            Some(Body::RouteTable(table)) => {
                outcome::Body::RouteTable(self.replace_route_table(table))
            }
            Some(Body::Batch(batch)) => self.apply_all(batch.commands),
            None => malformed("command without a body"),
        }
    }

    /// Applies commands in order and returns the outcome of the last one.
    fn apply_all(&mut self, commands: Vec<Command>) -> outcome::Body {
        let outcomes = commands.into_iter().map(|command| self.apply(command));
        let last = outcomes.last();
        last.unwrap_or_else(|| malformed("batch without commands"))
    }

    fn drain(&mut self, drain: Drain) -> DrainOutcome {
        let known = self.history.catalogue().target(&drain.target).is_some();
        if drain.draining && known {
            self.withdrawn.targets.insert(drain.target);
        } else if !drain.draining {
            self.withdrawn.targets.remove(&drain.target);
        }
        DrainOutcome {
            known,
            draining: drain.draining && known,
        }
    }

    /// Returns the accepted release notes.
    ///
    /// ```
    /// let machine = control::StateMachine::default();
    /// assert_eq!(machine.history().catalogue().number(), 0);
    /// ```
    #[must_use]
    pub fn history(&self) -> &History {
        &self.history
    }

    /// Returns the ledger of non-repeatable calls.
    ///
    /// ```
    /// let machine = control::StateMachine::default();
    /// assert!(machine.ledger().is_empty());
    /// ```
    #[must_use]
    pub fn ledger(&self) -> &Ledger {
        &self.ledger
    }

    /// Returns the quarantine of requests that crash targets.
    ///
    /// ```
    /// let machine = control::StateMachine::default();
    /// assert_eq!(machine.quarantine().suspects().count(), 0);
    /// ```
    #[must_use]
    pub fn quarantine(&self) -> &Quarantine {
        &self.quarantine
    }

    /// Returns the tally of requests under which targets crash that run requests of all
    /// kinds.
    ///
    /// ```
    /// let machine = control::StateMachine::default();
    /// assert_eq!(machine.crash_tally().convicted().count(), 0);
    /// ```
    #[must_use]
    pub fn crash_tally(&self) -> &CrashTally {
        &self.crash_tally
    }

    /// Returns the expert-map decisions.
    ///
    /// ```
    /// let machine = control::StateMachine::default();
    /// assert_eq!(machine.decisions().groups().count(), 0);
    /// ```
    #[must_use]
    pub fn decisions(&self) -> &Decisions {
        &self.decisions
    }

    /// Returns the targets that operators have drained or whose zone they evacuate.
    ///
    /// ```
    /// let machine = control::StateMachine::default();
    /// assert!(machine.withdrawn().targets.is_empty());
    /// ```
    #[must_use]
    pub fn withdrawn(&self) -> &Withdrawn {
        &self.withdrawn
    }

    /// Returns the latest time of a command, in milliseconds on the
    /// [`Clock`](crate::Clock) of its leader.
    ///
    /// ```
    /// let machine = control::StateMachine::default();
    /// assert_eq!(machine.now_ms(), 0);
    /// ```
    #[must_use]
    pub fn now_ms(&self) -> u64 {
        self.now_ms
    }
}

/// Outcome of a malformed command, which changes nothing. Only a faulty process
/// sends one.
fn malformed(reason: &str) -> outcome::Body {
    outcome::Body::Unavailable(Unavailable {
        reason: reason.to_owned(),
        lasting: true,
        ..Unavailable::default()
    })
}
