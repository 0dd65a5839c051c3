//! Lab.
fn main() {}
