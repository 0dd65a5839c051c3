//! Decoding of the load that targets report.

#[path = "admission_support/generated.rs"]
mod generated;

use {
    dogwoodbridge::dialect::{Dialect, Native, TargetLoad, TargetNotice, WorkTime},
    hyper::Method,
};

const CASE_COUNT: usize = 4000;

/// Guards against a figure out of range that scales expected service times, and against the loss
/// of valid figures beside it.
#[test]
fn work_times_are_decoded_or_invalid() {
    struct Case {
        text: &'static str,
        work_time: WorkTime,
    }
    let percent = |text, percent| Case {
        text,
        work_time: WorkTime::Percent(percent),
    };
    let invalid = |text| Case {
        text,
        work_time: WorkTime::Invalid,
    };
    let not_reported = |text| Case {
        text,
        work_time: WorkTime::NotReported,
    };
    let cases = [
        not_reported("3,2,8"),
        not_reported(" 3 , 2 ,\t8 "),
        percent("3,2,8,100", 100),
        percent("3,2,8, 250 ", 250),
        percent("3,2,8,99.9", 99),
        percent("3,2,8,1e2", 100),
        percent("3,2,8,10", 10),
        percent("3,2,8,10000", 10_000),
        percent("3,2,8,100,7", 100),
        percent("3,2,8,100,", 100),
        percent("3,2,8,100,x,y", 100),
        invalid("3,2,8,"),
        invalid("3,2,8,  "),
        invalid("3,2,8,,100"),
        invalid("3,2,8,0"),
        invalid("3,2,8,-0"),
        invalid("3,2,8,1"),
        invalid("3,2,8,9"),
        invalid("3,2,8,9.99"),
        invalid("3,2,8,10000.1"),
        invalid("3,2,8,1000000"),
        invalid("3,2,8,-100"),
        invalid("3,2,8,NaN"),
        invalid("3,2,8,inf"),
        invalid("3,2,8,-inf"),
        invalid("3,2,8,1e999"),
        invalid("3,2,8,slow"),
        invalid("3,2,8,1 00"),
        invalid("3,2,8,100%"),
        invalid("3,2,8,0x64"),
        invalid("3,2,8,\u{fffd}"),
        invalid("3,2,8,\u{661}\u{660}\u{660}"),
    ];
    for case in cases {
        let expected = TargetLoad {
            busy_ratio: 0.375,
            waiting_count: 2,
            work_time: case.work_time,
        };
        let load = TargetLoad::from_list(case.text);
        assert_eq!(load, Some(expected), "{:?}", case.text);
    }
}

/// Guards against a busy ratio that is not a number, and against a count that wraps around.
#[test]
fn counts_are_decoded_or_the_report_is_ignored() {
    struct Case {
        text: &'static str,
        expected: Option<(f64, u32)>,
    }
    let valid = |text, busy_ratio, waiting_count| Case {
        text,
        expected: Some((busy_ratio, waiting_count)),
    };
    let ignored = |text| Case {
        text,
        expected: None,
    };
    let cases = [
        valid("0,0,1", 0.0, 0),
        valid("16,40,8", 1.0, 40),
        valid("1.5,0.9,6", 0.25, 0),
        valid("1,4294967295,1", 1.0, u32::MAX),
        ignored(""),
        ignored(" "),
        ignored(",,"),
        ignored("3"),
        ignored("3,2"),
        ignored("3,2,"),
        ignored("3,,8"),
        ignored("3,2,0"),
        ignored("0,0,0"),
        ignored("3,2,-8"),
        ignored("-3,2,8"),
        ignored("3,-2,8"),
        ignored("NaN,2,8"),
        ignored("3,NaN,8"),
        ignored("3,2,NaN"),
        ignored("inf,2,inf"),
        ignored("3,inf,8"),
        ignored("3,2,inf"),
        ignored("3,4294967296,8"),
        ignored("a,b,c"),
        ignored("3;2;8"),
        ignored("\u{fffd},2,8"),
        ignored("3,2,0,100"),
    ];
    for case in cases {
        let counts =
            TargetLoad::from_list(case.text).map(|load| (load.busy_ratio, load.waiting_count));
        assert_eq!(counts, case.expected, "{:?}", case.text);
    }
}

/// Guards against a panic or a figure out of bounds, whatever bytes a target sends.
#[test]
fn arbitrary_bytes_yield_figures_within_bounds_or_none() {
    /// Characters of nearly valid lists, so that many cases reach the later figures.
    const ALPHABET: &[u8] = b"0123456789,,,,. -+eENainf\xff";
    let check = |bytes: &[u8]| {
        let Some(load) = TargetLoad::from_list(&String::from_utf8_lossy(bytes)) else {
            return;
        };
        assert!((0.0..=1.0).contains(&load.busy_ratio), "{bytes:?}");
        if let Some(percent) = load.work_time.percent() {
            assert!((10..=10_000).contains(&percent), "{bytes:?}");
        }
    };
    generated::for_each_case(CASE_COUNT, |bytes: Vec<u8>| {
        check(&bytes);
        let list: Vec<u8> = bytes
            .iter()
            .map(|byte| ALPHABET[usize::from(*byte) % ALPHABET.len()])
            .collect();
        check(&list);
        let figure = [b"3,2,8,".as_slice(), &list].concat();
        check(&figure);
        let _ = Native.read_notice(&Method::POST, "/-/load", &bytes);
    });
    generated::for_each_case(CASE_COUNT, |figure: u64| {
        check(format!("3,2,8,{}", f64::from_bits(figure)).as_bytes());
    });
}

/// Guards against a notice whose valid figures are lost because of one that is not.
#[test]
fn load_notices_are_decoded() {
    struct Case {
        body: &'static str,
        expected: Option<TargetLoad>,
    }
    let valid = |body, waiting_count, work_time| Case {
        body,
        expected: Some(TargetLoad {
            busy_ratio: 0.5,
            waiting_count,
            work_time,
        }),
    };
    let rejected = |body| Case {
        body,
        expected: None,
    };
    let cases = [
        valid(r#"{"busy_ratio": 0.5}"#, 0, WorkTime::NotReported),
        valid(
            r#"{"busy_ratio": 0.5, "waiting_count": 7}"#,
            7,
            WorkTime::NotReported,
        ),
        valid(
            r#"{"busy_ratio": 0.5, "work_time_percent": null}"#,
            0,
            WorkTime::NotReported,
        ),
        valid(
            r#"{"busy_ratio": 0.5, "waiting_count": 7, "work_time_percent": 250}"#,
            7,
            WorkTime::Percent(250),
        ),
        valid(
            r#"{"busy_ratio": 0.5, "work_time_percent": 99.5}"#,
            0,
            WorkTime::Percent(99),
        ),
        valid(
            r#"{"busy_ratio": 0.5, "work_time_percent": 9}"#,
            0,
            WorkTime::Invalid,
        ),
        valid(
            r#"{"busy_ratio": 0.5, "work_time_percent": 0}"#,
            0,
            WorkTime::Invalid,
        ),
        valid(
            r#"{"busy_ratio": 0.5, "work_time_percent": -250}"#,
            0,
            WorkTime::Invalid,
        ),
        valid(
            r#"{"busy_ratio": 0.5, "work_time_percent": 1000000}"#,
            0,
            WorkTime::Invalid,
        ),
        valid(
            r#"{"busy_ratio": 0.5, "work_time_percent": "250"}"#,
            0,
            WorkTime::Invalid,
        ),
        valid(
            r#"{"busy_ratio": 0.5, "work_time_percent": [250]}"#,
            0,
            WorkTime::Invalid,
        ),
        rejected(r#"{"busy_ratio": 1.5}"#),
        rejected(r#"{"busy_ratio": -0.5, "work_time_percent": 250}"#),
        rejected(r#"{"busy_ratio": 0.5, "waiting_count": -1}"#),
        rejected(r#"{"busy_ratio": 0.5, "waiting_count": 4294967296}"#),
        rejected(r#"{"waiting_count": 7}"#),
        rejected(r#"{"busy_ratio": 0.5, "other": 1}"#),
        rejected(""),
    ];
    for case in cases {
        let notice = Native.read_notice(&Method::POST, "/-/load", case.body.as_bytes());
        let load = notice.ok().map(|notice| match notice {
            TargetNotice::Load(load) => load,
            other => panic!("{other:?}"),
        });
        assert_eq!(load, case.expected, "{}", case.body);
    }
}
