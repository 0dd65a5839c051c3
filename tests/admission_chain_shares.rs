//! Supply of downstream services: measurement, propagation and the shares that follow it.

use dogwoodbridge::{
    admission::{
        BelowSupply, ChainShares, DownstreamAdmission, DownstreamControl, SupplyEstimate,
        TargetState,
    },
    model::{AdmissionLevel, Class, ServiceKey},
    settings::DownstreamChoice,
};

const SERVICE: ServiceKey = ServiceKey::new(1);
const OTHER_SERVICE: ServiceKey = ServiceKey::new(2);
const SECOND_US: u64 = 1_000_000;

/// At a target with a standing queue, arrivals equal completions. A measure without the queue, or
/// with arrivals of long ago, reports enough supply in the middle of an overload.
#[test]
fn supply_counts_recent_arrivals_and_the_backlog() {
    struct Case {
        name: &'static str,
        service_us: Option<f64>,
        arrivals_per_s: u64,
        waiting_count: usize,
        idle_us: u64,
        percent: u16,
    }
    // 100 slots of 100 ms serve 1,000 requests per second.
    let case = |name, arrivals_per_s, waiting_count, idle_us, percent| Case {
        name,
        service_us: Some(100_000.0),
        arrivals_per_s,
        waiting_count,
        idle_us,
        percent,
    };
    let cases = [
        Case {
            service_us: None,
            ..case("unknown service time", 1000, 50, 0, 0)
        },
        case("half used", 500, 0, 0, 200),
        case("as many arrivals as completions, no queue", 1000, 0, 0, 100),
        case("the same with a queue", 1000, 200, 0, 50),
        case("twice as many arrivals", 2000, 0, 0, 50),
        case("half of the window without arrivals", 2000, 0, 100_000, 100),
        case("no arrivals in the window", 2000, 0, 250_000, 400),
        case("far too many waiting", 2000, 100_000, 0, 1),
    ];
    for case in cases {
        let mut supply = SupplyEstimate::new();
        let end_us = 1_000_000;
        let count = case.arrivals_per_s;
        for index in 0..count {
            supply.record_arrival(end_us * index / count);
        }
        let state = TargetState {
            service_us: case.service_us,
            waiting_count: case.waiting_count,
            slot_count: 100,
            desired_utilisation: 1.0,
        };
        let percent = supply.percent(state, end_us - 1 + case.idle_us);
        let tolerance = case.percent / 50;
        assert!(
            percent.abs_diff(case.percent) <= tolerance,
            "{}: {percent}",
            case.name
        );
    }
}

const fn supply_level(supply_percent: u16, below_supply_percent: u16) -> AdmissionLevel {
    AdmissionLevel {
        supply_percent,
        below_supply_percent,
        ..AdmissionLevel::idle()
    }
}

/// The scarcest service decides, at whatever depth, until its figures are stale: a figure that
/// counts for longer refuses requests after the node that measured it has died.
#[test]
fn the_scarcest_called_service_decides_until_its_figures_are_stale() {
    let mut below = BelowSupply::new();
    below.record_level(SERVICE, supply_level(0, 0), 0);
    assert_eq!(below.percent(0), 0);
    for index in 0..100 {
        below.record_level(SERVICE, supply_level(150, 0), index * 5000);
        below.record_level(OTHER_SERVICE, supply_level(300, 80), index * 5000);
    }
    assert_eq!(below.percent(500_000), 80);
    below.record_level(SERVICE, supply_level(150, 0), 1_400_000);
    assert_eq!(below.percent(1_490_000), 80);
    assert_eq!(below.percent(1_500_000), 150);
    assert_eq!(below.percent(2_410_000), 0);
}

/// A ratio that is applied again before its effect shows cuts requests that could be served; one
/// that is not applied in full leaves a backlog.
#[test]
fn a_ratio_is_applied_once_and_the_rest_of_a_worse_one_at_once() {
    let mut shares = ChainShares::new();
    shares.record_ratio(0.8, 1_000_000);
    let first = shares.share(Class::Browse);
    assert!((0.65..0.8).contains(&first), "{first}");
    for now_us in (1_020_000..1_100_000).step_by(20_000) {
        shares.record_ratio(0.8, now_us);
    }
    assert!((shares.share(Class::Browse) - first).abs() < 0.01);
    shares.record_ratio(0.6, 1_100_000);
    let second = shares.share(Class::Browse);
    assert!((0.4..0.6).contains(&second), "{second}");
    assert_eq!(shares.share(Class::Critical), 1.0);
}

/// Critical requests are refused while browse could still be cut, or a class is starved.
#[test]
fn shares_fall_from_the_lowest_class_to_their_floors_and_recover_in_reverse() {
    let mut shares = ChainShares::new();
    let mut now_us = 1_000_000;
    let mut all_shares = Vec::new();
    for ratio in [0.4, 1.5] {
        for _ in 0..400 {
            now_us += 20_000;
            shares.record_ratio(ratio, now_us);
            all_shares.push(Class::ALL.map(|class| shares.share(class)));
        }
    }
    for [browse, standard, critical] in &all_shares {
        assert!(*browse >= 0.249 * standard.max(*critical) && *standard >= 0.499 * critical);
        assert!(standard == critical || *browse < 0.251 * critical);
        assert!(*critical == 1.0 || *standard < 0.501 * critical);
        assert!(*critical >= 0.099);
    }
    assert!(all_shares[399][2] < 0.11, "{:?}", all_shares[399]);
    assert_eq!(all_shares[799], [1.0; 3]);
}

/// After the figures have stopped, requests must not stay refused; nor may all be admitted at
/// once, since the service may still be scarce.
#[test]
fn shares_rise_slowly_without_measurements() {
    let mut control = DownstreamControl::new(DownstreamChoice::Supply);
    for index in 0..100 {
        control.record_level(SERVICE, supply_level(40, 0), 1_000_000 + index * 10_000);
    }
    let stopped_us = 2_000_000;
    let browse_share_at = |control: &mut DownstreamControl, now_us| {
        control.admits(Class::Browse, Class::Browse, 0.0, now_us);
        control.share(Class::Browse)
    };
    let low_share = control.share(Class::Browse);
    assert!(low_share < 0.26, "{low_share}");
    for now_us in (stopped_us..stopped_us + 900_000).step_by(50_000) {
        assert_eq!(browse_share_at(&mut control, now_us), low_share);
    }
    let mut now_us = stopped_us + 1_000_000;
    while browse_share_at(&mut control, now_us) < 1.0 {
        now_us += 50_000;
    }
    let rise_s = (now_us - stopped_us) / SECOND_US;
    assert!((4..20).contains(&rise_s), "{rise_s}");
}

/// Deployments that do not enable the rule are served as before.
#[test]
fn steps_decide_as_without_supply() {
    let mut control = DownstreamControl::new(DownstreamChoice::Steps);
    let mut steps = DownstreamAdmission::new();
    for index in 0..3000_u64 {
        let now_us = index * 3000;
        let load_percent = if index < 1500 { 200 } else { 50 };
        let level = AdmissionLevel {
            load_percent,
            ..supply_level(30, 30)
        };
        control.record_level(SERVICE, level, now_us);
        steps.record_level(level, now_us);
        let has_failed = index.is_multiple_of(7);
        control.record_call(has_failed, now_us);
        steps.record_call(has_failed, now_us);
        let draw = (index % 100) as f64 / 100.0;
        for class in Class::ALL {
            let is_admitted = control.admits(class, class, draw, now_us);
            assert_eq!(is_admitted, steps.admits(class, class, draw, now_us));
            assert_eq!(control.share(class), steps.share(class));
        }
        assert_eq!(control.load_percent(), steps.load_percent());
    }
}

/// Callers may send a few requests without a key through any node. If these counted as calls of
/// the node's target, a cycle of services would report each other's low supply for ever, and
/// requests would be refused by an idle fleet.
#[test]
fn few_requests_without_a_key_do_not_make_a_called_service() {
    struct Case {
        name: &'static str,
        runs_per_call: u64,
        percent: u16,
    }
    let cases = [
        Case {
            name: "a request without a key for each 50 runs",
            runs_per_call: 50,
            percent: 0,
        },
        Case {
            name: "a call for each second run",
            runs_per_call: 2,
            percent: 40,
        },
    ];
    for case in cases {
        let mut below = BelowSupply::new();
        for index in 0..1000 {
            let now_us = index * 2000;
            below.record_run(now_us);
            if index % case.runs_per_call == 0 {
                below.record_level(SERVICE, supply_level(40, 0), now_us);
            }
        }
        assert_eq!(below.percent(2_000_000), case.percent, "{}", case.name);
    }
}

/// A target that sheds whatever it is sent has free slots. By supply alone all call trees begin,
/// and nearly all fail midway.
#[test]
fn failing_calls_lower_the_shares_though_supply_suffices() {
    let mut control = DownstreamControl::new(DownstreamChoice::Supply);
    let mut now_us = 0;
    let mut run = |control: &mut DownstreamControl, fails: bool| {
        for _ in 0..1500 {
            now_us += 2000;
            control.record_run(Some(Class::Browse), 300_000, now_us);
            control.record_call(fails, now_us);
            control.record_level(SERVICE, supply_level(400, 0), now_us);
        }
        control.share(Class::Browse)
    };
    assert_eq!(run(&mut control, false), 1.0);
    let share = run(&mut control, true);
    assert!(share < 0.3, "{share}");
    assert_eq!(run(&mut control, false), 1.0);
}

/// Deployments whose targets do not report how long work takes are to be served by the steps as
/// before.
#[test]
fn auto_follows_supply_only_beside_a_target_that_reports_its_work_time() {
    for (reports_work_time, follows_supply) in [(false, false), (true, true)] {
        let mut control = DownstreamControl::new(DownstreamChoice::Auto);
        if reports_work_time {
            control.record_work_time();
        }
        for index in 0..100 {
            control.record_level(SERVICE, supply_level(40, 0), index * 5000);
        }
        let share = control.share(Class::Browse);
        assert_eq!(share < 0.5, follows_supply, "{share}");
    }
}
