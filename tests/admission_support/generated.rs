//! Cases from bolero's generators with a fixed seed.
//!
//! `bolero::check!` takes its seed from the operating system and lets only an
//! environment variable change that. The verdict must be the same every time,
//! so its generators are driven by a seeded generator instead.

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

/// Seed of all generated cases.
const SEED: u64 = 20_261_202;
/// Bytes from which one case is made at most.
const MAX_LEN: usize = 4096;

/// Runs the check over this many generated cases.
pub fn for_each_case<T: TypeGenerator>(case_count: usize, mut check: impl FnMut(T)) {
    let options = Options::default().with_max_len(MAX_LEN);
    let mut checked_count = 0;
    for index in 0..case_count as u64 {
        // A driver gives MAX_LEN bytes and then zeros, so each case has its own.
        let mut driver = Rng::new(StdRng::seed_from_u64(SEED + index), &options);
        if let Some(case) = produce::<T>().generate(&mut driver) {
            check(case);
            checked_count += 1;
        }
    }
    assert_eq!(checked_count, case_count, "the generator ran dry");
}
