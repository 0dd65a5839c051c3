//! The page of proofs against the tests that exist.

use {
    crate::LabError,
    std::{
        collections::{BTreeMap, BTreeSet},
        fmt, fs,
        path::Path,
    },
};

/// Place of the page below the root.
const PAGE: &str = "docs/PROOFS.md";
/// First heading of the tables that are counted.
const COUNTED_HEADINGS: [&str; 2] = ["Property", "Two faults together"];
/// Beginning of a cell without a test; a note follows.
const NOT_PROVED: &str = "not proved";
/// Mark of a test of decisions without I/O.
const LOGIC: &str = "(logic)";
/// Mark of a test whose nodes run inside the test's process.
const IN_PROCESS: &str = "(in process)";

/// How much a cell shows.
#[derives::key]
pub enum Proof {
    /// No test.
    None,
    /// Only tests of decisions without I/O.
    Logic,
    /// Nodes inside the test's process, with real sockets.
    InProcess,
    /// Real processes.
    Processes,
}

/// A property under a fault.
#[derives::value]
#[derive(Eq)]
pub struct Cell {
    /// The property.
    pub row: String,
    /// The fault.
    pub column: String,
    /// What the page says.
    pub text: String,
}

/// The page claims what it must not.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum PageError {
    /// A row has other cells than its heading.
    #[error("{row:?}: {found_count} cells, the heading has {expected_count}")]
    CellCount {
        /// The row.
        row: String,
        /// Cells of the row.
        found_count: usize,
        /// Cells of the heading.
        expected_count: usize,
    },
    /// A cell names a test that is not there, or is ignored.
    #[error("{row:?}, {column:?}: there is no test {test:?}")]
    NoSuchTest {
        /// The row.
        row: String,
        /// The column.
        column: String,
        /// As the page names it.
        test: String,
    },
    /// A cell has neither a test nor a reason.
    #[error("{row:?}, {column:?}: neither a test nor \"not proved\" with a note")]
    NoReason {
        /// The row.
        row: String,
        /// The column.
        column: String,
    },
}

/// All cells of the page.
#[derives::value]
#[derive(Default, Eq)]
pub struct Page {
    /// Cells, row by row.
    pub cells: Vec<Cell>,
    /// Names of the notes that explain cells without tests.
    pub notes: BTreeSet<String>,
}

/// Number of cells by how much they show.
#[derives::value]
#[derive(Default, Eq)]
pub struct CellCounts(pub BTreeMap<Proof, usize>);

impl Page {
    /// Reads the page of a repository.
    pub fn read(root: &Path) -> anyhow::Result<Self> {
        let path = root.join(PAGE);
        let text = fs::read_to_string(&path);
        let text = text.map_err(LabError::io(path.display().to_string()))?;
        Ok(Self::parse(&text)?)
    }

    /// Takes the cells out of the tables and the names out of the list of
    /// notes, whose lines begin with `- [NAME]`.
    pub fn parse(text: &str) -> Result<Self, PageError> {
        let mut page = Self::default();
        let mut headings: Vec<&str> = Vec::new();
        for line in text.lines() {
            if let Some(name) = note_name(line) {
                page.notes.insert(name.to_owned());
            }
            let Some(cells) = table_cells(line) else {
                headings.clear();
                continue;
            };
            if headings.is_empty() {
                headings = cells;
            } else if !cells[0].starts_with("--") && COUNTED_HEADINGS.contains(&headings[0]) {
                page.add_row(&headings, &cells)?;
            }
        }
        Ok(page)
    }

    fn add_row(&mut self, headings: &[&str], cells: &[&str]) -> Result<(), PageError> {
        if headings.len() != cells.len() {
            return Err(PageError::CellCount {
                row: cells[0].to_owned(),
                found_count: cells.len(),
                expected_count: headings.len(),
            });
        }
        let pairs = headings.iter().zip(cells).skip(1);
        self.cells.extend(pairs.map(|(heading, cell)| Cell {
            row: cells[0].to_owned(),
            column: (*heading).to_owned(),
            text: (*cell).to_owned(),
        }));
        Ok(())
    }

    /// Counts the cells.
    ///
    /// A page that names a test which was renamed or removed would go on
    /// claiming what nothing shows; so any such name is an error.
    pub fn check(&self, tests: &BTreeSet<String>) -> Result<CellCounts, PageError> {
        let mut counts = CellCounts::default();
        for cell in &self.cells {
            let proof = cell.proof(tests, &self.notes)?;
            *counts.0.entry(proof).or_default() += 1;
        }
        Ok(counts)
    }
}

impl Cell {
    fn proof(
        &self,
        tests: &BTreeSet<String>,
        notes: &BTreeSet<String>,
    ) -> Result<Proof, PageError> {
        let mut proof = Proof::None;
        // Names stand between backquotes, each with its mark after it.
        let mut parts = self.text.split('`').skip(1);
        while let (Some(test), Some(mark)) = (parts.next(), parts.next()) {
            if !tests.contains(test) {
                return Err(PageError::NoSuchTest {
                    row: self.row.clone(),
                    column: self.column.clone(),
                    test: test.to_owned(),
                });
            }
            proof = proof.max(marked(mark));
        }
        if proof == Proof::None && !self.has_reason(notes) {
            return Err(PageError::NoReason {
                row: self.row.clone(),
                column: self.column.clone(),
            });
        }
        Ok(proof)
    }

    fn has_reason(&self, notes: &BTreeSet<String>) -> bool {
        let reason = self.text.strip_prefix(NOT_PROVED).map(str::trim);
        let name = reason.and_then(|reason| reason.strip_prefix('[')?.strip_suffix(']'));
        name.is_some_and(|name| notes.contains(name))
    }
}

fn marked(mark: &str) -> Proof {
    let mark = mark.trim();
    if mark.starts_with(LOGIC) {
        Proof::Logic
    } else if mark.starts_with(IN_PROCESS) {
        Proof::InProcess
    } else {
        Proof::Processes
    }
}

fn table_cells(line: &str) -> Option<Vec<&str>> {
    let inner = line.trim().strip_prefix('|')?.strip_suffix('|')?;
    Some(inner.split('|').map(str::trim).collect())
}

fn note_name(line: &str) -> Option<&str> {
    let (name, _) = line.strip_prefix("- [")?.split_once(']')?;
    Some(name)
}

impl CellCounts {
    /// Number of cells.
    #[must_use]
    pub fn count(&self, proof: Proof) -> usize {
        self.0.get(&proof).copied().unwrap_or(0)
    }
}

impl fmt::Display for CellCounts {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let total: usize = self.0.values().sum();
        let not_proved = self.count(Proof::None);
        let lines = [
            ("cells", total),
            ("proved", total - not_proved),
            ("  with real processes", self.count(Proof::Processes)),
            ("  with nodes in process", self.count(Proof::InProcess)),
            ("  as logic only", self.count(Proof::Logic)),
            ("not proved", not_proved),
        ];
        let text = lines.map(|(name, count)| format!("{name:<28}{count:>6}"));
        formatter.write_str(&text.join("\n"))
    }
}
