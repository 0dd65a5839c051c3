//! Test cases from bolero's generators with a fixed seed.
//!
//! `bolero::check!` takes its seed from the operating system unless an environment variable sets
//! one. Results must be reproducible, so a seeded random number generator drives its generators.

use {
    bolero::{
        TypeGenerator, ValueGenerator,
        generator::{
            bolero_generator::driver::{Options, Rng},
            produce,
        },
    },
    rand::{SeedableRng, rngs::StdRng},
};

/// Seed of the first case; each further case adds 1.
const SEED: u64 = 20_261_202;
/// Most random bytes used to generate one case.
const MAX_CASE_BYTES: usize = 4096;

/// Runs `check` on `case_count` generated cases.
pub fn for_each_case<T: TypeGenerator>(case_count: usize, mut check: impl FnMut(T)) {
    let options = Options::default().with_max_len(MAX_CASE_BYTES);
    let mut checked_count = 0;
    for index in 0..case_count as u64 {
        // A driver yields MAX_CASE_BYTES bytes and then zeros, so each case needs its own.
        let mut driver = Rng::new(StdRng::seed_from_u64(SEED + index), &options);
        if let Some(case) = produce::<T>().generate(&mut driver) {
            check(case);
            checked_count += 1;
        }
    }
    assert_eq!(
        checked_count, case_count,
        "the generator produced too few cases"
    );
}
