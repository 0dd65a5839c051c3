//! Age of the load that a target reported.

use dogwoodbridge::admission::{LoadReport, REPORT_AGE_LIMIT_US, ReportedLoad};

/// Guards against a work time that is lost with the first report without one, and against one
/// that counts longer than its time because other reports follow.
#[test]
fn the_last_work_time_counts_for_its_time() {
    struct Case {
        name: &'static str,
        /// Time and work time of the reports; each has 3 waiting requests.
        reports: &'static [(u64, Option<u16>)],
        now_us: u64,
        work_time_percent: Option<u16>,
        waiting_count: Option<u32>,
    }
    const LIMIT_US: u64 = REPORT_AGE_LIMIT_US;
    let cases = [
        Case {
            name: "no report",
            reports: &[],
            now_us: 0,
            work_time_percent: None,
            waiting_count: None,
        },
        Case {
            name: "the newest counts",
            reports: &[(0, Some(250)), (5, Some(100))],
            now_us: 6,
            work_time_percent: Some(100),
            waiting_count: Some(3),
        },
        Case {
            name: "a report without a work time keeps the last one",
            reports: &[(0, Some(250)), (LIMIT_US / 2, None)],
            now_us: LIMIT_US,
            work_time_percent: Some(250),
            waiting_count: Some(3),
        },
        Case {
            name: "reports without a work time do not prolong the last one",
            reports: &[(0, Some(250)), (LIMIT_US / 2, None), (LIMIT_US, None)],
            now_us: LIMIT_US + 1,
            work_time_percent: None,
            waiting_count: Some(3),
        },
        Case {
            name: "reports stop",
            reports: &[(0, Some(250))],
            now_us: LIMIT_US + 1,
            work_time_percent: None,
            waiting_count: None,
        },
        Case {
            name: "a clock that is behind the report",
            reports: &[(10, Some(250))],
            now_us: 5,
            work_time_percent: Some(250),
            waiting_count: Some(3),
        },
    ];
    for case in cases {
        let mut load = ReportedLoad::new();
        for (received_us, work_time_percent) in case.reports {
            load.record(LoadReport {
                busy_ratio: 0.5,
                waiting_count: 3,
                work_time_percent: *work_time_percent,
                received_us: *received_us,
            });
        }
        let work_time_percent = load.work_time_percent(case.now_us);
        assert_eq!(work_time_percent, case.work_time_percent, "{}", case.name);
        assert_eq!(
            load.waiting_count(case.now_us),
            case.waiting_count,
            "{}",
            case.name
        );
    }
}
