//! Random numbers from a fixed seed.

use std::sync::Mutex;

pub struct Random(Mutex<u64>);

impl Random {
    pub const fn new(seed: u64) -> Self {
        Self(Mutex::new(seed))
    }

    /// A number from 0 to 1 (xorshift64*).
    pub fn next(&self) -> f64 {
        let mut state = self.0.lock().unwrap();
        *state ^= *state >> 12;
        *state ^= *state << 25;
        *state ^= *state >> 27;
        (state.wrapping_mul(0x2545_f491_4f6c_dd1d) >> 11) as f64 / (1u64 << 53) as f64
    }
}
