//! The way to the order machine.

use std::sync::Arc;

use hollywheel_config::PublishedSet;
use hollywheel_node::HostInfo;
use hollywheel_orders::OrderInput;
use tokio::sync::mpsc;

use crate::queue::{SharedReceiver, share_receiver};

/// Bounds the inputs that wait for the machine.
const QUEUE: usize = 256;

/// Creates the queue of the machine.
pub fn order_channel() -> (OrderHandle, SharedReceiver<OrderInput>) {
    let (sender, receiver) = mpsc::channel(QUEUE);
    (OrderHandle { sender }, share_receiver(receiver))
}

/// Sends inputs to the machine; clones share one bounded queue.
#[derive(Clone, Debug)]
pub struct OrderHandle {
    sender: mpsc::Sender<OrderInput>,
}

impl OrderHandle {
    /// Puts a version of the objects in force.
    pub async fn config(&self, published: &Arc<PublishedSet>) {
        self.send(OrderInput::Config(Arc::clone(published))).await;
    }

    /// Replaces the hosts taken for alive.
    pub async fn hosts(&self, hosts: &[HostInfo]) {
        let names = hosts.iter().map(|info| info.host.clone()).collect();
        self.send(OrderInput::Hosts(names)).await;
    }

    /// Hands over an input, waiting for room.
    pub async fn send(&self, input: OrderInput) {
        let _ = self.sender.send(input).await;
    }
}
