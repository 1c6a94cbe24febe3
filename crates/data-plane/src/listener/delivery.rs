//! Reports whether the client read the last response on a connection, for handlers that act only after their response
//! has been delivered.

use tokio::sync::watch;

/// What the end of a connection reveals about the delivery of its last response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeliveryStatus {
    /// The client closed the connection after the response without resetting it, so it has read the response.
    Delivered,
    /// The connection broke.
    Broken,
    /// The connection ended without showing whether the client read the response.
    Unknown,
}

/// Reports whether the response to a request was delivered. It is an extension of requests to handlers that set
/// [`RequestHandler::WANTS_RECEIPT`](super::RequestHandler::WANTS_RECEIPT).
#[derive(Clone)]
pub struct DeliveryReceipt(watch::Receiver<Option<DeliveryStatus>>);

impl DeliveryReceipt {
    /// Waits for the end of the connection and returns the delivery status of its last response.
    pub async fn wait(&mut self) -> DeliveryStatus {
        let status = self.0.wait_for(Option::is_some).await;
        status
            .ok()
            .and_then(|status| *status)
            .unwrap_or(DeliveryStatus::Unknown)
    }
}

/// The sending side of a connection's receipts. If it is dropped without a report, they yield
/// [`DeliveryStatus::Unknown`].
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

    /// Returns a receipt for a request on this connection.
    pub(super) fn receipt(&self) -> DeliveryReceipt {
        self.receipt.clone()
    }

    /// Reports the status at the end of the connection.
    pub(super) fn report(&self, status: DeliveryStatus) {
        self.sender.send_replace(Some(status));
    }
}
