//! Sends the load of one mix.

use std::sync::Arc;
use std::time::{Duration, Instant};

use tokio::sync::mpsc;
use tokio::time::{MissedTickBehavior, interval, sleep_until};

use super::caller::Callers;
use super::directory::Directory;
use super::http::Client;
use super::outcome::Outcome;
use super::report::Report;
use super::tally::Tally;
use super::verdict::Verdict;
use super::{BenchOptions, Mix, Plan, progress, seen};

/// Outcomes that may wait to be counted.
const WAITING: usize = 4_096;

const PROGRESS: Duration = Duration::from_secs(1);

pub(super) async fn run(options: &BenchOptions, mix: &Mix) -> eyre::Result<Report> {
    let client = Client::new();
    let directory = Directory::ask(&client, &options.host).await?;
    let callers = Callers {
        client: client.clone(),
        directory: Arc::new(directory),
        accounts: Arc::new(options.key.clone()),
        began: Instant::now(),
    };
    let began = callers.began;
    let (tx, rx) = mpsc::channel(WAITING);
    let sender = tokio::spawn(send(options.clone(), mix.clone(), callers, tx));
    let tally = collect(mix.name, rx, began).await?;
    let sent = sender.await?;
    let seen = match options.seen.as_slice() {
        [] => None,
        fakes => Some(seen::ask(&client, fakes).await?),
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

/// Sends each request at its time; how many there were.
async fn send(options: BenchOptions, mix: Mix, callers: Callers, tx: mpsc::Sender<Outcome>) -> u64 {
    let weights: Vec<u32> = options.key.iter().map(|account| account.weight).collect();
    let plan = Plan::new(mix, &weights, options.rate, options.seed);
    let length = options.duration();
    let mut sent = 0;
    for planned in plan.take_while(|planned| planned.send_after < length) {
        sleep_until((callers.began + planned.send_after).into()).await;
        let (callers, tx) = (callers.clone(), tx.clone());
        let turn = usize::try_from(sent).unwrap_or_default();
        sent += 1;
        tokio::spawn(async move {
            let outcome = callers.send(planned, turn).await;
            // Nobody counts any more only when the bench has failed already.
            let _ = tx.send(outcome).await;
        });
    }
    sent
}

/// Counts outcomes until the last request has ended.
async fn collect(
    mix: &str,
    mut rx: mpsc::Receiver<Outcome>,
    began: Instant,
) -> eyre::Result<Tally> {
    let mut tally = Tally::new()?;
    let mut tick = interval(PROGRESS);
    tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            outcome = rx.recv() => match outcome {
                Some(outcome) => tally.add(outcome)?,
                None => break,
            },
            _ = tick.tick() => progress::show(mix, began.elapsed(), &tally),
        }
    }
    progress::end();
    Ok(tally)
}
