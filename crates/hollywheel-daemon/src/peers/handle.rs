//! Handle for sending inputs to the membership state machine.

use hollywheel_membership::MemberInput;
use tokio::sync::mpsc;

use crate::queue::{SharedReceiver, share_receiver};

/// Capacity of the input queue.
const QUEUE_CAPACITY: usize = 1024;

/// Creates the input queue of the membership state machine.
pub fn member_channel() -> (MemberHandle, SharedReceiver<MemberInput>) {
    let (sender, receiver) = mpsc::channel(QUEUE_CAPACITY);
    (MemberHandle { sender }, share_receiver(receiver))
}

/// Handle of the membership state machine. Clones share one bounded queue.
#[derive(Clone, Debug)]
pub struct MemberHandle {
    sender: mpsc::Sender<MemberInput>,
}

impl MemberHandle {
    /// Sends an input, or drops it if the queue is full. Gossip is repeated, so a dropped update
    /// arrives again from another host.
    pub fn offer(&self, input: MemberInput) {
        let _ = self.sender.try_send(input);
    }

    /// Sends an input, waiting for room in the queue.
    pub async fn send(&self, input: MemberInput) {
        let _ = self.sender.send(input).await;
    }
}
