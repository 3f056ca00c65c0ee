//! What a run is given, and what it yields.

use crate::callers::{ACCOUNTS, Place, ROUTES, Request, weight};
use std::time::{Duration, Instant};

/// Numbers of entries, targets, and ranks of a group.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    pub entries: usize,
    pub targets: usize,
    pub group: usize,
}

/// How entries treat requests that find no capacity.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Way {
    /// They are refused at once, or wait for 1.3 s in an outage.
    Today,
    /// They wait in a `RequestQueue`.
    Queue,
}

/// A run: normal traffic, with a fault in between.
#[derive(Clone, Copy, Debug)]
pub struct Scenario {
    pub way: Way,
    pub size: Size,
    /// Factor on the traffic during the fault.
    pub load: f64,
    /// Whether one rank is dark during the fault.
    pub dark: bool,
    pub fault_start: Duration,
    pub fault: Duration,
    /// Time of normal traffic after the fault.
    pub rest: Duration,
    pub seed: u64,
}

impl Scenario {
    /// The day of the measured table: ten seconds of load from second 4 of 24.
    pub fn measured(way: Way, load: f64) -> Scenario {
        let size = Size {
            entries: 13,
            targets: 72,
            group: 72,
        };
        Scenario {
            way,
            size,
            load,
            dark: false,
            fault_start: Duration::from_secs(4),
            fault: Duration::from_secs(10),
            rest: Duration::from_secs(10),
            seed: 7,
        }
    }

    /// A rank dark for 3 s on the same day.
    pub fn rank_dark(way: Way) -> Scenario {
        Scenario {
            dark: true,
            fault: Duration::from_secs(3),
            rest: Duration::from_secs(17),
            ..Scenario::measured(way, 1.0)
        }
    }

    /// Twice the traffic on other numbers of entries and targets; a short day unless
    /// `LOVAGERAMP_SCHEDULES` is set.
    pub fn of_size(entries: usize, targets: usize, group: usize) -> Scenario {
        let size = Size {
            entries,
            targets,
            group,
        };
        let full = Scenario {
            size,
            ..Scenario::measured(Way::Queue, 2.0)
        };
        if std::env::var_os("LOVAGERAMP_SCHEDULES").is_some() {
            return full;
        }
        Scenario {
            fault_start: Duration::from_secs(1),
            fault: Duration::from_secs(2),
            rest: Duration::ZERO,
            ..full
        }
    }
}

/// Outcomes of the requests of one route.
#[derive(Clone, Copy, Debug, Default)]
pub struct RouteCounts {
    pub requests: f64,
    pub on_time: f64,
    pub late: f64,
    /// Requests without an answer, of callers that came back as told.
    pub dropped: f64,
}

impl RouteCounts {
    pub fn on_time_share(&self) -> f64 {
        self.on_time / self.requests.max(1.0)
    }
}

/// Outcomes of a run.
#[derive(Clone, Debug, Default)]
pub struct Outcomes {
    seed: u64,
    pub routes: [RouteCounts; 3],
    /// By route and account: requests that arrived, and answers that began, in the fault.
    pub accounts: [[(f64, f64); ACCOUNTS]; 3],
    /// Requests on time that arrived during the fault, per second.
    pub goodput: f64,
    pub refusals: f64,
    /// Refused requests of callers that came back as told, and those refused twice.
    pub refused: f64,
    pub refused_twice: f64,
}

impl Outcomes {
    pub fn new(scenario: &Scenario, start: Instant, requests: &[Request]) -> Outcomes {
        let mut outcomes = Outcomes {
            seed: scenario.seed,
            ..Outcomes::default()
        };
        let fault = start + scenario.fault_start..start + scenario.fault_start + scenario.fault;
        for request in requests {
            let counts = &mut outcomes.routes[request.route];
            let is_served = request.place == Place::Served;
            let is_on_time = is_served && !request.is_late;
            counts.requests += 1.0;
            counts.on_time += f64::from(u8::from(is_on_time));
            counts.late += f64::from(u8::from(is_served && !is_on_time));
            counts.dropped += f64::from(u8::from(!is_served && request.is_patient));
            let account = &mut outcomes.accounts[request.route][request.account];
            if fault.contains(&request.arrived) {
                account.0 += 1.0;
                outcomes.goodput += f64::from(u8::from(is_on_time)) / scenario.fault.as_secs_f64();
            }
            if request.first_event.is_some_and(|at| fault.contains(&at)) {
                account.1 += 1.0;
            }
            outcomes.refusals += f64::from(request.refusals);
            if request.is_patient {
                outcomes.refused += f64::from(u8::from(request.refusals > 0));
                outcomes.refused_twice += f64::from(u8::from(request.refusals > 1));
            }
        }
        outcomes
    }

    /// Value earned as a fraction of the value owed.
    pub fn value(&self) -> f64 {
        let routes = || self.routes.iter().zip(&ROUTES);
        let earned = routes().map(|(c, r)| r.value * (c.on_time + r.late_share * c.late));
        let owed = routes().map(|(counts, route)| route.value * counts.requests);
        earned.sum::<f64>() / owed.sum::<f64>()
    }

    /// Whether fewer than 1 in 20 of the refused requests are refused twice.
    pub fn is_rarely_refused_twice(&self) -> bool {
        self.refused_twice < self.refused / 20.0 || self.refused_twice < 0.5
    }

    /// One line with the figures of the measured table.
    pub fn summary(&self) -> String {
        let routes = self.routes.iter().zip(&ROUTES).map(|(counts, route)| {
            let share = counts.on_time_share();
            format!("{} {share:.3} ({} dropped)", route.name, counts.dropped)
        });
        let routes: Vec<String> = routes.collect();
        format!(
            "value {:.3}, on time {}, {} refusals, {} of {} refused twice, goodput {:.0}/s, seed {}",
            self.value(),
            routes.join(" "),
            self.refusals,
            self.refused_twice,
            self.refused,
            self.goodput,
            self.seed
        )
    }
}

/// Answers that accounts would have with the same total in shares by weight, where none has
/// more than it asked for. Takes the requests and answers of each account.
pub fn fair_shares(accounts: &[(f64, f64); ACCOUNTS]) -> [f64; ACCOUNTS] {
    let served: f64 = accounts.iter().map(|(_, served)| served).sum();
    let shares = |level: f64| {
        std::array::from_fn(|account| accounts[account].0.min(level * weight(account)))
    };
    let (mut low, mut high) = (0.0, served);
    for _ in 0..50 {
        let level = f64::midpoint(low, high);
        let total: f64 = <[f64; ACCOUNTS]>::into_iter(shares(level)).sum();
        if total < served {
            low = level;
        } else {
            high = level;
        }
    }
    shares(high)
}
