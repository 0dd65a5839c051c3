//! Admitted shares follow the supply of a downstream service.

mod supply_support;

use {
    dogwoodbridge::{model::Class, settings::DownstreamChoice},
    supply_support::{
        Model, Outcome,
        scenario::{Demand, FigureFault, Kind, Layer, Scenario},
    },
};

const SECOND_US: u64 = 1_000_000;
const MIN_GOODPUT_RATIO: f64 = 0.9;
const MAX_WASTED_RATIO: f64 = 0.05;
const MAX_IDLE_RATIO: f64 = 0.03;
/// No kind may be served less often than this, over the best-served one.
const MIN_SERVED_RATIO: f64 = 0.25;
/// The highest class counts as served in full from here: the bound has no queueing and no noise.
const IN_FULL_RATIO: f64 = 0.99;

const fn browse(demand: Demand) -> Kind {
    Kind {
        class: Class::Browse,
        layer: Layer::ROOT_BROWSE,
        demand,
    }
}

const fn critical(demand: Demand) -> Kind {
    Kind {
        class: Class::Critical,
        layer: Layer::ROOT_CRITICAL,
        demand,
    }
}

/// Single calls at the deepest service.
const fn short(demand: Demand) -> Kind {
    Kind {
        class: Class::Critical,
        layer: Layer::DEEPEST,
        demand,
    }
}

const fn burst(usual: f64, burst: f64, from_s: u64, until_s: u64) -> Demand {
    Demand::Burst {
        usual,
        burst,
        from_us: from_s * SECOND_US,
        until_us: until_s * SECOND_US,
    }
}

const fn wave(mean: f64) -> Demand {
    Demand::Wave {
        mean,
        amplitude: 0.55,
        period_us: 15 * SECOND_US,
    }
}

const fn seconds(from_s: u64, until_s: u64) -> (u64, u64) {
    (from_s * SECOND_US, until_s * SECOND_US)
}

/// Usual load up to 3 s, then 1.85 of the capacity.
fn jump(name: &'static str, counted_us: (u64, u64)) -> Scenario {
    let until_s = counted_us.1 / SECOND_US;
    let kinds = vec![
        browse(burst(0.4, 1.3, 3, until_s)),
        critical(burst(0.3, 0.55, 3, until_s)),
    ];
    Scenario::new(name, kinds, counted_us)
}

/// Figures of one run.
struct Figures {
    goodput_ratio: f64,
    wasted_ratio: f64,
    /// Slot time that was idle while requests were refused, over the usable slot time then.
    idle_ratio: f64,
    /// Completed over possible requests of the worst-served kind of the highest class.
    critical_ratio: f64,
    /// Served share of the worst-served kind over that of the best-served one, and three standard
    /// errors, since requests are admitted at random.
    least_served_ratio: f64,
}

impl Figures {
    fn new(scenario: &Scenario, outcome: &Outcome) -> Self {
        let possible = scenario.possible(&outcome.kinds);
        let (mut completed_trees, mut possible_trees) = (0.0, 0.0);
        let mut critical_ratio = f64::MAX;
        let mut shares = Vec::new();
        for (kind, count) in outcome.kinds.iter().enumerate() {
            let completed = f64::from(count.completed);
            completed_trees += f64::from(count.ended) * scenario.tree_count(kind);
            possible_trees += possible[kind] * scenario.tree_count(kind);
            if scenario.kinds[kind].class == Class::Critical {
                critical_ratio = critical_ratio.min(completed / possible[kind]);
            }
            shares.push((completed / count.offered(), completed));
        }
        Self {
            goodput_ratio: completed_trees / possible_trees,
            wasted_ratio: outcome.wasted_us as f64 / outcome.slot_us as f64,
            idle_ratio: outcome.idle_us / outcome.refusing_us.max(1.0),
            critical_ratio,
            least_served_ratio: least_served_ratio(&mut shares),
        }
    }

    fn run(scenario: &Scenario) -> Self {
        let figures = Self::new(scenario, &Model::run(scenario));
        println!(
            "{:<40} {:<6} goodput {:.3} wasted {:.4} idle {:.3} critical {:.3} least served {:.3}",
            scenario.name,
            format!("{:?}", scenario.choice),
            figures.goodput_ratio,
            figures.wasted_ratio,
            figures.idle_ratio,
            figures.critical_ratio,
            figures.least_served_ratio
        );
        figures
    }
}

fn least_served_ratio(shares: &mut [(f64, f64)]) -> f64 {
    shares.sort_by(|first, second| first.0.total_cmp(&second.0));
    let (least, least_count) = shares[0];
    let (most, most_count) = shares[shares.len() - 1];
    let standard_error = (1.0 / least_count + 1.0 / most_count).sqrt();
    least / most * (1.0 + 3.0 * standard_error)
}

/// Demand above the capacity of the deepest service: trees fail midway, the highest class is
/// refused while lower ones are admitted, or slots idle while requests are refused.
#[test]
fn shares_follow_the_supply_of_the_deepest_service() {
    let scenarios = [
        jump("jump to 1.85", seconds(3, 13)),
        Scenario::new(
            "jump to 1.85, half of it critical",
            vec![
                browse(burst(0.35, 0.925, 3, 13)),
                critical(burst(0.35, 0.925, 3, 13)),
            ],
            seconds(3, 13),
        ),
        Scenario::new(
            "mean of 1.3 for 20 s",
            vec![
                browse(burst(0.4, 0.9, 3, 23)),
                critical(burst(0.3, 0.4, 3, 23)),
            ],
            seconds(3, 23),
        ),
        Scenario::new(
            "one kind to 2.3 times, with short calls",
            vec![
                browse(burst(0.5, 1.15, 3, 13)),
                critical(Demand::Steady(0.2)),
                short(Demand::Steady(0.2)),
            ],
            seconds(3, 13),
        ),
        Scenario {
            capacity_change: (0.8, 7 * SECOND_US),
            ..Scenario::new(
                "capacity down by a fifth in a burst",
                vec![
                    browse(burst(0.4, 0.8, 3, 13)),
                    critical(burst(0.3, 0.5, 3, 13)),
                ],
                seconds(3, 13),
            )
        },
        Scenario::new(
            "wave of 0.55 around 0.9",
            vec![browse(wave(0.6)), critical(wave(0.3))],
            seconds(3, 33),
        ),
    ];
    for scenario in scenarios {
        Figures::run(&Scenario {
            choice: DownstreamChoice::Steps,
            ..scenario.clone()
        });
        for seed in 1..=2 {
            let figures = Figures::run(&Scenario {
                seed,
                ..scenario.clone()
            });
            let name = scenario.name;
            assert!(figures.goodput_ratio >= MIN_GOODPUT_RATIO, "{name}");
            assert!(figures.wasted_ratio < MAX_WASTED_RATIO, "{name}");
            assert!(figures.critical_ratio >= IN_FULL_RATIO, "{name}");
            assert!(figures.least_served_ratio >= MIN_SERVED_RATIO, "{name}");
            if name.starts_with("wave") {
                assert!(figures.idle_ratio < MAX_IDLE_RATIO, "{name}");
            }
        }
    }
}

/// Wrong or missing figures, or targets that leave, must not lock requests out for good: admission
/// is as good as without the fault one deadline of a tree later, and within five seconds, as under
/// the steps, if capacity is lost and leaves a backlog.
#[test]
fn faults_have_no_lasting_effect() {
    let fault = |fault| (fault, 5 * SECOND_US, 8 * SECOND_US);
    let counted_us = seconds(10, 14);
    let scenarios = [
        Scenario {
            figure_fault: fault(FigureFault::Stop),
            ..jump("figures stop", counted_us)
        },
        Scenario {
            figure_fault: fault(FigureFault::Constant),
            ..jump("figures are duplicated", counted_us)
        },
        Scenario {
            figure_fault: fault(FigureFault::Alternate),
            ..jump("figures alternate", counted_us)
        },
        Scenario {
            leaving: (1, 8 * SECOND_US),
            ..jump("a measuring node dies", seconds(13, 17))
        },
        Scenario {
            leaving: (3, 8 * SECOND_US),
            ..Scenario::new(
                "all targets but one leave",
                vec![browse(Demand::Steady(0.4)), critical(Demand::Steady(0.3))],
                seconds(13, 17),
            )
        },
        Scenario {
            figure_fault: (FigureFault::Late, 5 * SECOND_US, u64::MAX),
            ..jump("figures stay late", counted_us)
        },
    ];
    for scenario in scenarios {
        let figures = Figures::run(&scenario);
        let name = scenario.name;
        assert!(figures.goodput_ratio >= MIN_GOODPUT_RATIO, "{name}");
        assert!(figures.least_served_ratio >= MIN_SERVED_RATIO, "{name}");
    }
}
