//! The cases of the experiment and their rows in the report. Runs are spread over threads.

use std::sync::mpsc;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use model::config::DetectionProfile;

use super::fault_model::FaultMode;
use super::simulation::{self, Deployment, RunPlan, RunResult};
use super::subject::Subject;
use super::{baselines, fleet};
use crate::report::{Bound, Report, ReportRow, quantile, to_f64};
use crate::settings::LabSettings;

/// Request rates of each node, in requests per second.
const REQUEST_RATES: [f64; 4] = [0.1, 0.5, 2.0, 20.0];
/// The request rate to which the bounds on detection times apply.
const TARGET_RATE: f64 = 2.0;
/// Length of a run after the onset of the fault.
const FAULT_SPAN: Duration = Duration::from_secs(15);
/// Minimum number of healthy outcomes over the long runs of a mode, in which no upstream may
/// be ejected.
const LONG_RUN_OUTCOMES: u64 = 10_000_000;
/// Request rate of the long runs at each node.
const LONG_RUN_RATE: f64 = 20.0;
/// Threads that simulate runs.
const THREADS: usize = 5;

/// Builds a subject for a run.
type SubjectBuilder = fn(&RunPlan) -> Subject;

const SUBJECTS: [(&str, SubjectBuilder); 4] = [
    ("ours", fleet::build),
    ("round robin", baselines::round_robin),
    ("probes only", baselines::probes_only),
    ("consecutive failures", baselines::consecutive_failures),
];

/// One run of a case with one subject.
struct RunJob {
    case: String,
    /// Index in [`SUBJECTS`].
    subject: usize,
    plan: RunPlan,
}

/// Runs every case; the seconds set the number of runs of each case with each subject, from
/// 3 to 400.
pub(crate) fn run(settings: &LabSettings) -> bool {
    let mut report = Report::new("detect", settings);
    let run_count = settings.seconds.clamp(3, 400);
    let mut jobs = Vec::new();
    for deployment in deployments() {
        for mode in FaultMode::ALL {
            for rate in REQUEST_RATES {
                add_jobs(
                    &mut jobs,
                    &deployment,
                    *mode,
                    rate,
                    run_count,
                    settings.seed,
                );
            }
        }
    }
    let results = run_jobs(jobs, &report);
    for (case, subject, plan, results) in results {
        add_rows(&mut report, &case, subject, &plan, &results);
    }
    long_runs(&mut report, settings);
    report.finish()
}

/// The simulated deployments: the three services of each of two organisations.
fn deployments() -> Vec<Deployment> {
    let association = |service, upstreams| Deployment {
        name: "association",
        profile: DetectionProfile::Stability,
        service,
        upstreams,
        slots: 4,
        nodes: 48,
        data_centres: ["ikeja", "lekki", "ibadan"],
        remote_latency: Duration::from_millis(5),
    };
    let cooperative = |service, upstreams| Deployment {
        name: "cooperative",
        profile: DetectionProfile::Detection,
        service,
        upstreams,
        slots: 2,
        nodes: 48,
        data_centres: ["mcallen", "harlingen", "weslaco"],
        remote_latency: Duration::from_millis(4),
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
    jobs: &mut Vec<RunJob>,
    deployment: &Deployment,
    mode: FaultMode,
    rate: f64,
    run_count: u64,
    seed: u64,
) {
    let case = format!("{} {mode} {rate}/s", deployment.name);
    for (subject, _) in SUBJECTS.iter().enumerate() {
        for run_number in 0..run_count {
            let plan = RunPlan {
                deployment: deployment.clone(),
                mode,
                rate,
                fault_span: FAULT_SPAN,
                seed: seed.wrapping_mul(0x9e37_79b9).wrapping_add(run_number),
            };
            jobs.push(RunJob {
                case: case.clone(),
                subject,
                plan,
            });
        }
    }
}

/// The results of each case and subject, with the plan of its first run.
type GroupedResults = Vec<(String, &'static str, RunPlan, Vec<RunResult>)>;

/// Runs jobs on [`THREADS`] threads, each run with its own paused clock.
fn run_jobs(jobs: Vec<RunJob>, report: &Report) -> GroupedResults {
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
    let mut done: Vec<Option<(RunJob, RunResult)>> = Vec::new();
    done.resize_with(total, || None);
    for (count, (index, job, result)) in results.into_iter().enumerate() {
        done[index] = Some((job, result));
        report.progress(&format!("{} of {total} runs", count + 1));
    }
    group(order, done)
}

/// Groups results by case and subject, in the order of the jobs.
fn group(order: Vec<(String, usize)>, done: Vec<Option<(RunJob, RunResult)>>) -> GroupedResults {
    let mut grouped: GroupedResults = Vec::new();
    for ((case, subject), finished) in order.into_iter().zip(done) {
        let Some((job, result)) = finished else {
            continue;
        };
        let name = SUBJECTS[subject].0;
        let found = grouped
            .iter_mut()
            .find(|(known_case, known_name, _, _)| *known_case == case && *known_name == name);
        match found {
            Some((_, _, _, results)) => results.push(result),
            None => grouped.push((case, name, job.plan, vec![result])),
        }
    }
    grouped
}

fn run_paused(plan: &RunPlan, build: SubjectBuilder) -> RunResult {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build();
    let Ok(runtime) = runtime else {
        unreachable!("a runtime without I/O can always be built")
    };
    runtime.block_on(async { simulation::run(plan, build(plan)).await })
}

fn add_rows(
    report: &mut Report,
    case: &str,
    subject: &'static str,
    plan: &RunPlan,
    results: &[RunResult],
) {
    let ours = subject == "ours";
    let single_upstream = !matches!(
        plan.mode,
        FaultMode::NoFault | FaultMode::FailingProbe | FaultMode::AllFail | FaultMode::Partition
    );
    let mut row = |metric, unit, value, bound| {
        report.add(ReportRow {
            case: case.to_owned(),
            subject,
            metric,
            unit,
            value,
            bound,
        });
    };
    if single_upstream {
        let (median_bound, p99_bound) = detection_bounds(plan, ours);
        let mut times: Vec<f64> = results
            .iter()
            .map(|result| result.detection_seconds.unwrap_or(FAULT_SPAN.as_secs_f64()))
            .collect();
        times.sort_by(f64::total_cmp);
        row("detection median", "s", quantile(&times, 0.5), median_bound);
        row("detection p99", "s", quantile(&times, 0.99), p99_bound);
        let affected_requests: u64 = results.iter().map(|result| result.affected_requests).sum();
        row(
            "requests to it after onset",
            "per run",
            to_f64(affected_requests) / to_f64(results.len() as u64),
            Bound::Unbounded,
        );
    }
    if single_upstream && ours {
        let ejected = results.iter().filter(|result| result.ejected).count() as u64;
        row(
            "ejected within 15 s",
            "of runs",
            to_f64(ejected) / to_f64(results.len() as u64),
            Bound::Unbounded,
        );
    }
    let healthy_outcomes: u64 = results.iter().map(|result| result.healthy_outcomes).sum();
    let false_ejections: u64 = results.iter().map(|result| result.false_ejections).sum();
    let per_million = to_f64(false_ejections) * 1e6 / to_f64(healthy_outcomes.max(1));
    if ours {
        let false_avoids: u64 = results.iter().map(|result| result.false_avoids).sum();
        let per_million = to_f64(false_avoids) * 1e6 / to_f64(healthy_outcomes.max(1));
        row("false avoidances", "per 1e6", per_million, Bound::Unbounded);
    }
    let stability = plan.deployment.profile == DetectionProfile::Stability;
    let forbids_ejection =
        ours && (stability || matches!(plan.mode, FaultMode::AllFail | FaultMode::Partition));
    let bound = if forbids_ejection {
        Bound::AtMost(0.0)
    } else {
        Bound::Unbounded
    };
    row("false ejections", "per 1e6", per_million, bound);
    let margin = results
        .iter()
        .map(|result| f64::from(result.slots_min) - f64::from(result.floor))
        .fold(f64::INFINITY, f64::min);
    let bound = if ours {
        Bound::AtLeast(0.0)
    } else {
        Bound::Unbounded
    };
    row("least slots above the floor", "slots", margin, bound);
}

/// Bounds on the median and on the 99th percentile of the detection time.
fn detection_bounds(plan: &RunPlan, ours: bool) -> (Bound, Bound) {
    if !ours || plan.rate != TARGET_RATE {
        return (Bound::Unbounded, Bound::Unbounded);
    }
    match plan.deployment.profile {
        DetectionProfile::Detection | DetectionProfile::Episodes => {
            (Bound::AtMost(1.0), Bound::AtMost(3.0))
        }
        DetectionProfile::Stability => (Bound::Unbounded, Bound::AtMost(10.0)),
    }
}

/// Long runs in which no upstream may be ejected: without a fault, and with one link cut.
fn long_runs(report: &mut Report, settings: &LabSettings) {
    let deployment = deployments().remove(0);
    let outcomes_per_run = LONG_RUN_OUTCOMES / THREADS as u64;
    #[expect(clippy::cast_precision_loss, reason = "nodes are few")]
    let fleet_rate = LONG_RUN_RATE * deployment.nodes as f64;
    let fault_span = Duration::from_secs_f64(to_f64(outcomes_per_run) / fleet_rate * 1.01);
    for mode in [FaultMode::NoFault, FaultMode::Partition] {
        let jobs = (0..THREADS as u64).map(|run_number| RunJob {
            case: format!("association {mode}, long"),
            subject: 0,
            plan: RunPlan {
                deployment: deployment.clone(),
                mode,
                rate: LONG_RUN_RATE,
                fault_span,
                seed: settings.seed.wrapping_add(1000 + run_number),
            },
        });
        for (case, subject, _, results) in run_jobs(jobs.collect(), report) {
            let healthy_outcomes: u64 = results.iter().map(|result| result.healthy_outcomes).sum();
            let false_ejections: u64 = results.iter().map(|result| result.false_ejections).sum();
            let mut row = |metric, unit, value, bound| {
                report.add(ReportRow {
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
                to_f64(healthy_outcomes),
                Bound::AtLeast(to_f64(LONG_RUN_OUTCOMES)),
            );
            row(
                "false ejections",
                "ejections",
                to_f64(false_ejections),
                Bound::AtMost(0.0),
            );
        }
    }
}
