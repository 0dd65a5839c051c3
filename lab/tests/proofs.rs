//! The page of proofs names only tests that exist.

use {
    lab::proofs::{Page, PageError, Proof, scan_tests},
    std::{collections::BTreeSet, path::Path},
};

/// Properties that must always hold, and faults.
const GRID: (usize, usize) = (12, 11);
/// Pairs of faults that are asked for.
const PAIR_COUNT: usize = 4;

#[test]
fn page_of_proofs_claims_only_tests_that_exist() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("..");
    let page = Page::read(&root).expect("docs/PROOFS.md");
    let tests = scan_tests(&root).expect("sources");
    let counts = page
        .check(&tests)
        .expect("a page that claims what is there");
    println!("{counts}");
    let rows: BTreeSet<_> = page.cells.iter().map(|cell| &cell.row).collect();
    assert_eq!(rows.len(), GRID.0 + PAIR_COUNT);
    assert_eq!(page.cells.len(), GRID.0 * GRID.1 + PAIR_COUNT);
}

/// A test is renamed, or a row is filled in by hand and goes wrong. The page
/// would claim what nothing shows, and an operator would believe it.
#[test]
fn pages_that_claim_too_much_are_refused() {
    struct Case {
        name: &'static str,
        cell: &'static str,
        proof: Result<Proof, PageError>,
    }
    let row = || "p".to_owned();
    let column = || "f".to_owned();
    let no_reason = || {
        Err(PageError::NoReason {
            row: row(),
            column: column(),
        })
    };
    let cases = [
        Case {
            name: "a test",
            cell: "`a::x`",
            proof: Ok(Proof::Processes),
        },
        Case {
            name: "logic",
            cell: "`a::x` (logic)",
            proof: Ok(Proof::Logic),
        },
        Case {
            name: "the better of two",
            cell: "`a::x` (logic), `b::y` (in process)",
            proof: Ok(Proof::InProcess),
        },
        Case {
            name: "with a note",
            cell: "not proved [n]",
            proof: Ok(Proof::None),
        },
        Case {
            name: "without a note",
            cell: "not proved",
            proof: no_reason(),
        },
        Case {
            name: "with a note that is missing",
            cell: "not proved [m]",
            proof: no_reason(),
        },
        Case {
            name: "empty",
            cell: "",
            proof: no_reason(),
        },
        Case {
            name: "words only",
            cell: "surely",
            proof: no_reason(),
        },
        Case {
            name: "a test that does not exist",
            cell: "`a::x`, `a::y`",
            proof: Err(PageError::NoSuchTest {
                row: row(),
                column: column(),
                test: "a::y".to_owned(),
            }),
        },
    ];
    let tests = BTreeSet::from(["a::x".to_owned(), "b::y".to_owned()]);
    for case in cases {
        let text = format!(
            "| Property | f |\n|---|---|\n| p | {} |\n\n- [n] later\n",
            case.cell
        );
        let page = Page::parse(&text).expect("a table");
        let counts = page.check(&tests);
        let proof = counts.map(|counts| *counts.0.keys().next().expect("one cell"));
        assert_eq!(proof, case.proof, "{}", case.name);
    }
    let short_row = "| Property | f |\n|---|---|\n| p |\n";
    assert!(matches!(
        Page::parse(short_row),
        Err(PageError::CellCount { .. })
    ));
}
