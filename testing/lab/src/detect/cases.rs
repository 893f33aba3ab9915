//! The cases of the experiment, run on a few threads.

use std::sync::mpsc;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use model::config::DetectionProfile;

use super::script::Mode;
use super::subject::Subject;
use super::world::{self, Deployment, RunPlan, RunResult};
use super::{baselines, ours};
use crate::report::{Bound, Report, Row, figure, quantile};
use crate::settings::LabSettings;

/// Rates at each node and service, in requests a second.
const RATES: [f64; 4] = [0.1, 0.5, 2.0, 20.0];
/// The rate at which the targets hold.
const TARGET_RATE: f64 = 2.0;
/// Time after the fault begins.
const SPAN: Duration = Duration::from_secs(15);
/// Healthy outcomes over which nothing may be ejected.
const QUIET_OUTCOMES: u64 = 10_000_000;
/// Rate of the long quiet runs.
const QUIET_RATE: f64 = 20.0;
/// Threads that run cases.
const THREADS: usize = 5;

type Builder = fn(&RunPlan) -> Subject;

const SUBJECTS: [(&str, Builder); 4] = [
    ("ours", ours::build),
    ("round robin", baselines::round_robin),
    ("probes only", baselines::probes_only),
    ("consecutive failures", baselines::consecutive_failures),
];

struct Job {
    case: String,
    subject: usize,
    plan: RunPlan,
}

/// Runs every case.
pub(crate) fn run(settings: &LabSettings) -> bool {
    let mut report = Report::new("detect", settings);
    let trials = settings.seconds.clamp(3, 400);
    let mut jobs = Vec::new();
    for deployment in deployments() {
        for mode in Mode::ALL {
            for rate in RATES {
                add_jobs(&mut jobs, &deployment, *mode, rate, trials, settings.seed);
            }
        }
    }
    let results = run_jobs(jobs, &report);
    for (case, subject, plan, results) in results {
        add_rows(&mut report, &case, subject, &plan, &results);
    }
    quiet_runs(&mut report, settings);
    report.finish()
}

fn deployments() -> Vec<Deployment> {
    let association = |service, upstreams| Deployment {
        name: "association",
        profile: DetectionProfile::Stability,
        service,
        upstreams,
        slots: 4,
        nodes: 48,
        centres: ["ikeja", "lekki", "ibadan"],
        apart: Duration::from_millis(5),
    };
    let cooperative = |service, upstreams| Deployment {
        name: "cooperative",
        profile: DetectionProfile::Detection,
        service,
        upstreams,
        slots: 2,
        nodes: 48,
        centres: ["mcallen", "harlingen", "weslaco"],
        apart: Duration::from_millis(4),
    };
    vec![
        association("stocklist", 10),
        association("millorders", 20),
        association("tradedocs", 6),
        cooperative("rota-view", 10),
        cooperative("rota-book", 20),
        cooperative("batch-desk", 6),
    ]
}

fn add_jobs(
    jobs: &mut Vec<Job>,
    deployment: &Deployment,
    mode: Mode,
    rate: f64,
    trials: u64,
    seed: u64,
) {
    let case = format!("{} {mode} {rate}/s", deployment.name);
    for (subject, _) in SUBJECTS.iter().enumerate() {
        for trial in 0..trials {
            let plan = RunPlan {
                deployment: deployment.clone(),
                mode,
                rate,
                span: SPAN,
                seed: seed.wrapping_mul(0x9e37_79b9).wrapping_add(trial),
            };
            jobs.push(Job {
                case: case.clone(),
                subject,
                plan,
            });
        }
    }
}

type Grouped = Vec<(String, &'static str, RunPlan, Vec<RunResult>)>;

/// Runs jobs on threads of their own, each with its own paused clock.
fn run_jobs(jobs: Vec<Job>, report: &Report) -> Grouped {
    let total = jobs.len();
    let order: Vec<_> = jobs
        .iter()
        .map(|job| (job.case.clone(), job.subject))
        .collect();
    let queue = Arc::new(Mutex::new(jobs.into_iter().enumerate()));
    let (sender, results) = mpsc::channel();
    for _ in 0..THREADS {
        let queue = Arc::clone(&queue);
        let sender = sender.clone();
        std::thread::spawn(move || {
            while let Some((index, job)) = queue.lock().ok().and_then(|mut queue| queue.next()) {
                let result = run_paused(&job.plan, SUBJECTS[job.subject].1);
                if sender.send((index, job, result)).is_err() {
                    return;
                }
            }
        });
    }
    drop(sender);
    let mut done: Vec<Option<(Job, RunResult)>> = Vec::new();
    done.resize_with(total, || None);
    for (count, (index, job, result)) in results.into_iter().enumerate() {
        done[index] = Some((job, result));
        report.progress(&format!("{} of {total} runs", count + 1));
    }
    group(order, done)
}

fn group(order: Vec<(String, usize)>, done: Vec<Option<(Job, RunResult)>>) -> Grouped {
    let mut grouped: Grouped = Vec::new();
    for ((case, subject), slot) in order.into_iter().zip(done) {
        let Some((job, result)) = slot else { continue };
        let name = SUBJECTS[subject].0;
        let found = grouped
            .iter_mut()
            .find(|(known, other, _, _)| *known == case && *other == name);
        match found {
            Some((_, _, _, results)) => results.push(result),
            None => grouped.push((case, name, job.plan, vec![result])),
        }
    }
    grouped
}

fn run_paused(plan: &RunPlan, build: Builder) -> RunResult {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build();
    let Ok(runtime) = runtime else {
        unreachable!("a runtime without sockets can always be built")
    };
    runtime.block_on(async { world::run(plan, build(plan)).await })
}

fn add_rows(
    report: &mut Report,
    case: &str,
    subject: &'static str,
    plan: &RunPlan,
    results: &[RunResult],
) {
    let ours = subject == "ours";
    let single = !matches!(
        plan.mode,
        Mode::Sound | Mode::HealthWrong | Mode::AllFail | Mode::Partition
    );
    let mut row = |metric, unit, value, bound| {
        report.add(Row {
            case: case.to_owned(),
            subject,
            metric,
            unit,
            value,
            bound,
        });
    };
    if single {
        let (median, worst) = detection_bounds(plan, ours);
        let mut times: Vec<f64> = results
            .iter()
            .map(|result| result.detected.unwrap_or(SPAN.as_secs_f64()))
            .collect();
        times.sort_by(f64::total_cmp);
        row("detection median", "s", quantile(&times, 0.5), median);
        row("detection p99", "s", quantile(&times, 0.99), worst);
        let hits: u64 = results.iter().map(|result| result.hits).sum();
        row(
            "requests to it after onset",
            "per run",
            figure(hits) / figure(results.len() as u64),
            Bound::Free,
        );
    }
    if single && ours {
        let ejected = results.iter().filter(|result| result.ejected).count() as u64;
        row(
            "ejected within 15 s",
            "of runs",
            figure(ejected) / figure(results.len() as u64),
            Bound::Free,
        );
    }
    let outcomes: u64 = results.iter().map(|result| result.sound_outcomes).sum();
    let wrong: u64 = results.iter().map(|result| result.false_ejections).sum();
    let per_million = figure(wrong) * 1e6 / figure(outcomes.max(1));
    if ours {
        let avoids: u64 = results.iter().map(|result| result.false_avoids).sum();
        let per_million = figure(avoids) * 1e6 / figure(outcomes.max(1));
        row("false avoidances", "per 1e6", per_million, Bound::Free);
    }
    let stability = plan.deployment.profile == DetectionProfile::Stability;
    let quiet = ours && (stability || matches!(plan.mode, Mode::AllFail | Mode::Partition));
    let bound = if quiet {
        Bound::AtMost(0.0)
    } else {
        Bound::Free
    };
    row("false ejections", "per 1e6", per_million, bound);
    let margin = results
        .iter()
        .map(|result| f64::from(result.least_slots) - f64::from(result.floor))
        .fold(f64::INFINITY, f64::min);
    let bound = if ours {
        Bound::AtLeast(0.0)
    } else {
        Bound::Free
    };
    row("least slots above the floor", "slots", margin, bound);
}

fn detection_bounds(plan: &RunPlan, ours: bool) -> (Bound, Bound) {
    if !ours || plan.rate != TARGET_RATE {
        return (Bound::Free, Bound::Free);
    }
    match plan.deployment.profile {
        DetectionProfile::Detection | DetectionProfile::Episodes => {
            (Bound::AtMost(1.0), Bound::AtMost(3.0))
        }
        DetectionProfile::Stability => (Bound::Free, Bound::AtMost(10.0)),
    }
}

/// Long runs in which nothing may be ejected: without a fault, and with one link cut.
fn quiet_runs(report: &mut Report, settings: &LabSettings) {
    let deployment = deployments().remove(0);
    let per_run = QUIET_OUTCOMES / THREADS as u64;
    #[expect(clippy::cast_precision_loss, reason = "nodes are few")]
    let rate = QUIET_RATE * deployment.nodes as f64;
    let span = Duration::from_secs_f64(figure(per_run) / rate * 1.01);
    for mode in [Mode::Sound, Mode::Partition] {
        let jobs = (0..THREADS as u64).map(|trial| Job {
            case: format!("association {mode}, long"),
            subject: 0,
            plan: RunPlan {
                deployment: deployment.clone(),
                mode,
                rate: QUIET_RATE,
                span,
                seed: settings.seed.wrapping_add(1000 + trial),
            },
        });
        for (case, subject, _, results) in run_jobs(jobs.collect(), report) {
            let outcomes: u64 = results.iter().map(|result| result.sound_outcomes).sum();
            let wrong: u64 = results.iter().map(|result| result.false_ejections).sum();
            let mut row = |metric, unit, value, bound| {
                report.add(Row {
                    case: case.clone(),
                    subject,
                    metric,
                    unit,
                    value,
                    bound,
                });
            };
            row(
                "healthy outcomes",
                "outcomes",
                figure(outcomes),
                Bound::AtLeast(figure(QUIET_OUTCOMES)),
            );
            row(
                "false ejections",
                "ejections",
                figure(wrong),
                Bound::AtMost(0.0),
            );
        }
    }
}
