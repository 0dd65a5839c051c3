//! Conditional writes of documents.

use {crate::documents::DocumentKind, std::future::Future};

/// How a conditional write ended.
#[derives::key]
pub enum WriteResult {
    /// It took effect; the document has this version now.
    Written(u64),
    /// The document had this version, 0 when there was none; nothing was written.
    Conflict(u64),
    /// The answer was lost; it may have taken effect or may yet do so.
    Unknown,
}

/// Writes documents of the platform.
pub trait DocumentWriter: Send + Sync + 'static {
    /// Writes if the document has the given version; 0 stands for no document.
    fn write(
        &self,
        kind: DocumentKind,
        if_version: u64,
        content: Vec<u8>,
    ) -> impl Future<Output = WriteResult> + Send;
}
