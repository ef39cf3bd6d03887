//! Handle for sending inputs to the order state machine.

use std::sync::Arc;

use hollywheel_config::PublishedSet;
use hollywheel_node::HostInfo;
use hollywheel_orders::OrderInput;
use tokio::sync::mpsc;

use crate::queue::{SharedReceiver, share_receiver};

/// Capacity of the input queue.
const QUEUE_CAPACITY: usize = 256;

/// Creates the input queue of the order state machine.
pub fn order_channel() -> (OrderHandle, SharedReceiver<OrderInput>) {
    let (sender, receiver) = mpsc::channel(QUEUE_CAPACITY);
    (OrderHandle { sender }, share_receiver(receiver))
}

/// Handle of the order state machine. Clones share one bounded queue.
#[derive(Clone, Debug)]
pub struct OrderHandle {
    sender: mpsc::Sender<OrderInput>,
}

impl OrderHandle {
    /// Sends a new configuration version, waiting for room in the queue.
    pub async fn config(&self, published: &Arc<PublishedSet>) {
        self.send(OrderInput::Config(Arc::clone(published))).await;
    }

    /// Sends the current set of live hosts, waiting for room in the queue.
    pub async fn hosts(&self, hosts: &[HostInfo]) {
        let names = hosts.iter().map(|info| info.host.clone()).collect();
        self.send(OrderInput::Hosts(names)).await;
    }

    /// Sends an input, waiting for room in the queue.
    pub async fn send(&self, input: OrderInput) {
        let _ = self.sender.send(input).await;
    }
}
