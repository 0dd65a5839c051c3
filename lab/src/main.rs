//! `dogwood-lab`: demonstration, scenarios and reports.

use {
    anyhow::{Context, bail, ensure},
    clap::{Parser, Subcommand},
    lab::{
        capacity,
        cost::{self, CostConf},
        demo,
        measure::ScenarioResult,
        proofs::{Page, scan_tests},
        report,
        scenario::{self, Scenario},
        up,
    },
    std::path::{Path, PathBuf},
    tokio::signal::unix::{SignalKind, signal},
};

/// Starts real processes on loopback, sends requests and reports
#[derive(Debug, Parser)]
#[command(name = "dogwood-lab", version)]
struct Args {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Bring up a small mesh, send requests, print what became of them, clean up
    Demo,
    /// Bring up the mesh of an example and keep it until the command is interrupted
    Up {
        /// Directory with the configuration to publish
        #[arg(long, default_value = "examples/cascade-tally")]
        dir: PathBuf,
        /// Where the variables for dogwoodctl are written
        #[arg(long, default_value = "target/mesh.env")]
        env_file: PathBuf,
    },
    /// Measure what a call through one node costs, against the target directly
    Cost {
        /// Calls of each round
        #[arg(long, default_value_t = 20_000)]
        calls: usize,
        /// Connections, each with one call at a time
        #[arg(long, default_value_t = 16)]
        connections: usize,
        /// Rounds, whose medians are printed
        #[arg(long, default_value_t = 5)]
        rounds: usize,
    },
    /// Measure what control costs at several fleet sizes; print the table for 580 nodes
    Capacity {
        /// Node counts, one mesh after the other
        #[arg(long, value_delimiter = ',', default_value = "12,24,48,96")]
        nodes: Vec<usize>,
        /// File for all figures
        #[arg(long, default_value = "target/lab-reports/capacity.json")]
        out: PathBuf,
    },
    /// Run a scenario and report the four measures
    Run {
        /// Scenario in TOML
        scenario: PathBuf,
        /// Directory for result.json, report.html and plots
        #[arg(long, default_value = "target/lab-reports")]
        out: PathBuf,
        /// Further flags of all nodes, such as "--admission static --retry naive"
        #[arg(long, default_value = "", allow_hyphen_values = true)]
        node_flags: String,
    },
    /// Run a scenario with two sets of node flags in turn and print the ratios
    Compare {
        /// Scenario in TOML
        scenario: PathBuf,
        /// Flags of the first run, such as "--admission adaptive --retry budget"
        #[arg(allow_hyphen_values = true)]
        first: String,
        /// Flags of the second run, such as "--admission admit-all --retry naive"
        #[arg(allow_hyphen_values = true)]
        second: String,
        /// Directory for both reports
        #[arg(long, default_value = "target/lab-reports")]
        out: PathBuf,
    },
    /// Count the cells of docs/PROOFS.md that tests prove; fails if the page names a test that does not exist
    Proofs {
        /// Root of the repository
        #[arg(long, default_value = ".")]
        root: PathBuf,
    },
}

#[tokio::main]
async fn main() -> anyhow::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    // The processes of a mesh are killed when it is dropped; a signal that
    // ended this process at once would leave them behind.
    tokio::select! {
        result = run(Args::parse().command) => result,
        _ = tokio::signal::ctrl_c() => bail!("interrupted"),
        _ = terminate.recv() => bail!("terminated"),
    }
}

async fn run(command: Command) -> anyhow::Result<()> {
    match command {
        Command::Demo => run_demo().await,
        Command::Up { dir, env_file } => run_up(&dir, &env_file).await,
        Command::Cost {
            calls,
            connections,
            rounds,
        } => {
            let conf = CostConf {
                call_count: calls,
                connection_count: connections.max(1),
                round_count: rounds,
            };
            println!("{}", cost::measure(conf).await?);
            Ok(())
        }
        Command::Capacity { nodes, out } => run_capacity(&nodes, &out).await,
        Command::Run {
            scenario,
            out,
            node_flags,
        } => {
            let result = run_scenario(&scenario, &node_flags, &out).await?;
            ensure!(result.checks.is_clean(), "something that must hold did not");
            Ok(())
        }
        Command::Compare {
            scenario,
            first,
            second,
            out,
        } => {
            let first = run_scenario(&scenario, &first, &out.join("a")).await?;
            let second = run_scenario(&scenario, &second, &out.join("b")).await?;
            println!("{}", report::compare_text(&first, &second));
            Ok(())
        }
        Command::Proofs { root } => {
            let page = Page::read(&root)?;
            println!("{}", page.check(&scan_tests(&root)?)?);
            Ok(())
        }
    }
}

async fn run_scenario(path: &Path, node_flags: &str, out: &Path) -> anyhow::Result<ScenarioResult> {
    let mut scenario =
        Scenario::read(path).with_context(|| format!("scenario {}", path.display()))?;
    let flags = node_flags.split_whitespace().map(str::to_owned);
    scenario.node_flags.extend(flags);
    let result = scenario::run(&scenario).await?;
    report::write(&result, out)?;
    println!("{}", report::text(&result));
    println!("report: {}", out.join("report.html").display());
    Ok(result)
}

async fn run_up(dir: &Path, env_file: &Path) -> anyhow::Result<()> {
    println!("Starting a platform, 2 availability zones, 4 services, 8 nodes …");
    let mesh = up::start(dir).await?;
    let variables = up::instructions(&mesh);
    std::fs::write(env_file, &variables).context("variables for dogwoodctl")?;
    println!(
        "{variables}\nThe mesh is up; these lines are in {}.",
        env_file.display()
    );
    println!("Ctrl-C ends it.");
    std::future::pending::<()>().await;
    Ok(())
}

async fn run_capacity(node_counts: &[usize], out: &Path) -> anyhow::Result<()> {
    let report = capacity::run(node_counts).await?;
    if let Some(dir) = out.parent() {
        std::fs::create_dir_all(dir)?;
    }
    std::fs::write(out, serde_json::to_vec_pretty(&report)?)?;
    println!("{report}\nall figures: {}", out.display());
    Ok(())
}

async fn run_demo() -> anyhow::Result<()> {
    println!("Starting a platform, 2 availability zones, 2 services, 4 nodes …");
    let demo = demo::run().await?;
    let (summary, overhead) = (&demo.summary, &demo.overhead);
    println!("{summary}\n{overhead}");
    println!(
        "idle node: {:.1} MiB resident, {:.2} % of a core",
        demo.idle_resident_mib(),
        demo.idle_cpu_percent()
    );
    ensure!(summary.wrong_count == 0, "answers were cut or crossed");
    ensure!(summary.whole_count > 0, "no request was answered");
    ensure!(!overhead.direct_us.is_empty(), "no latency was measured");
    Ok(())
}
