//! What the proofs of docs/PROOFS.md share: meshes, traffic, checks, the page.

mod fixture;
mod page;
mod tests;
mod traffic;
mod violations;

use crate::measure::Execution;

pub use {
    fixture::{Fixture, MAIN, SMALL, SMALL_BURST, SMALL_RATE_PER_S, chain, pair},
    page::{Cell, CellCounts, Page, PageError, Proof},
    tests::scan_tests,
    traffic::{Sent, Traffic},
    violations::{Violation, executions_of, violations},
};
