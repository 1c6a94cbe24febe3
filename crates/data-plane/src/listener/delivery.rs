//! Whether the last response on a connection was read by its client. A handler that acts only once its response has
//! arrived waits for that.

use tokio::sync::watch;

/// What the end of a connection tells of the last response on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeliveryStatus {
    /// The client closed in order after the response: it has read it.
    Delivered,
    /// The connection broke.
    Broken,
    /// It ended without a sign.
    Unknown,
}

/// Tells what became of a request's response. It stands among the extensions of a request whose handler wants it.
#[derive(Clone)]
pub struct DeliveryReceipt(watch::Receiver<Option<DeliveryStatus>>);

impl DeliveryReceipt {
    /// Waits for the end of the connection, and says what it tells of the response.
    pub async fn wait(&mut self) -> DeliveryStatus {
        let status = self.0.wait_for(Option::is_some).await;
        status
            .ok()
            .and_then(|status| *status)
            .unwrap_or(DeliveryStatus::Unknown)
    }
}

/// The connection's end of its receipts. Dropped without a report it stands for [`DeliveryStatus::Unknown`].
pub(super) struct DeliveryReporter {
    sender: watch::Sender<Option<DeliveryStatus>>,
    receipt: DeliveryReceipt,
}

impl DeliveryReporter {
    pub(super) fn new() -> Self {
        let (sender, receiver) = watch::channel(None);
        let receipt = DeliveryReceipt(receiver);
        Self { sender, receipt }
    }

    /// The receipt for a request on this connection.
    pub(super) fn receipt(&self) -> DeliveryReceipt {
        self.receipt.clone()
    }

    /// The connection has ended.
    pub(super) fn report(&self, status: DeliveryStatus) {
        self.sender.send_replace(Some(status));
    }
}
