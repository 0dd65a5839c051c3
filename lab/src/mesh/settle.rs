//! Waits until a fleet that has just started is at rest.

use {
    super::Mesh,
    crate::{
        LabError,
        wait::{GENEROUS_LIMIT, wait_until},
    },
    bytes::Bytes,
    dogwoodbridge::slices::SliceTable,
    std::{cell::RefCell, time::Duration},
    tokio::time::Instant,
};

/// Time without a new slice table after which the fleet counts as at rest:
/// longer than between two moves, than slices rest after a move, and than nodes
/// wait before they mark slots of members that they do not know.
const REST: Duration = Duration::from_secs(16);

impl Mesh {
    /// The slice table as the platform holds it.
    pub async fn slice_table(&self) -> Option<SliceTable> {
        let platform = self.platform_admin();
        let answer = platform.call("GET", "/objects/slices", Bytes::new()).await;
        SliceTable::parse(&answer.ok()?.1).ok()
    }

    /// Waits until slices have ceased to move. Before that requests inside
    /// their rate are refused, and each run would measure another start.
    pub async fn wait_settled(&self) -> Result<(), LabError> {
        let seen = RefCell::new((None, Instant::now()));
        wait_until("slices have ceased to move", GENEROUS_LIMIT, || async {
            let table = self.slice_table().await?;
            let mut seen = seen.borrow_mut();
            if seen.0 != Some(table.epoch) {
                *seen = (Some(table.epoch), Instant::now());
            }
            (seen.1.elapsed() > REST).then_some(())
        })
        .await
    }
}
