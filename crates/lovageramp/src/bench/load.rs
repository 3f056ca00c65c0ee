//! Runs the load of one mix.

use std::sync::Arc;
use std::time::{Duration, Instant};

use tokio::sync::mpsc;
use tokio::time::{MissedTickBehavior, interval, sleep_until};

use super::address_list::AddressList;
use super::caller::CallerContext;
use super::http::Client;
use super::outcome::Outcome;
use super::report::Report;
use super::tally::Tally;
use super::verdict::Verdict;
use super::{BenchOptions, Mix, Plan, progress, seen};

/// Most outcomes buffered before they are counted.
const OUTCOME_BUFFER: usize = 4_096;

const PROGRESS_INTERVAL: Duration = Duration::from_secs(1);

pub(super) async fn run(options: &BenchOptions, mix: &Mix) -> eyre::Result<Report> {
    let client = Client::new();
    let addresses = AddressList::fetch(&client, &options.host).await?;
    let callers = CallerContext {
        client: client.clone(),
        addresses: Arc::new(addresses),
        accounts: Arc::new(options.key.clone()),
        started: Instant::now(),
    };
    let started = callers.started;
    let (tx, rx) = mpsc::channel(OUTCOME_BUFFER);
    let sender = tokio::spawn(send_all(options.clone(), mix.clone(), callers, tx));
    let tally = collect(mix.name, rx, started).await?;
    let sent = sender.await?;
    let seen = match options.seen.as_slice() {
        [] => None,
        fakes => Some(seen::fetch_counts(&client, fakes).await?),
    };
    Ok(Report {
        mix: mix.name,
        rate: options.rate,
        seconds: options.seconds,
        seed: options.seed,
        sent,
        verdict: Verdict::new(&tally, seen.as_ref()),
        tally,
    })
}

/// Sends each request at its planned time; returns the number of requests.
async fn send_all(
    options: BenchOptions,
    mix: Mix,
    callers: CallerContext,
    tx: mpsc::Sender<Outcome>,
) -> u64 {
    let weights: Vec<u32> = options.key.iter().map(|account| account.weight).collect();
    let plan = Plan::new(mix, &weights, options.rate, options.seed);
    let duration = options.duration();
    let mut sent = 0;
    for planned in plan.take_while(|planned| planned.send_after < duration) {
        sleep_until((callers.started + planned.send_after).into()).await;
        let (callers, tx) = (callers.clone(), tx.clone());
        let index = usize::try_from(sent).unwrap_or_default();
        sent += 1;
        tokio::spawn(async move {
            let outcome = callers.send(planned, index).await;
            // The receiver is gone only if the benchmark has already failed.
            let _ = tx.send(outcome).await;
        });
    }
    sent
}

/// Aggregates outcomes until the last request has ended.
async fn collect(
    mix: &str,
    mut rx: mpsc::Receiver<Outcome>,
    started: Instant,
) -> eyre::Result<Tally> {
    let mut tally = Tally::new()?;
    let mut tick = interval(PROGRESS_INTERVAL);
    tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            outcome = rx.recv() => match outcome {
                Some(outcome) => tally.add(outcome)?,
                None => break,
            },
            _ = tick.tick() => progress::print(mix, started.elapsed(), &tally),
        }
    }
    progress::finish();
    Ok(tally)
}
