//! How much a node may rely on what it knows of the platform.

/// State of a node's knowledge of the platform.
#[derives::key]
pub enum Freshness {
    /// The platform was confirmed to be as known within the limit.
    Fresh,
    /// Every other availability zone answers and none reaches the platform:
    /// nothing can have changed there.
    StoreDown,
    /// Others may have changed the platform's content unseen.
    CutOff,
}
