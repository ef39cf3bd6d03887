//! The way to the membership machine.

use hollywheel_membership::MemberInput;
use tokio::sync::mpsc;

use crate::queue::{SharedReceiver, share_receiver};

/// Bounds the inputs that wait for the machine.
const QUEUE: usize = 1024;

/// Creates the queue of the machine.
pub fn member_channel() -> (MemberHandle, SharedReceiver<MemberInput>) {
    let (sender, receiver) = mpsc::channel(QUEUE);
    (MemberHandle { sender }, share_receiver(receiver))
}

/// Sends inputs to the machine; clones share one bounded queue.
#[derive(Clone, Debug)]
pub struct MemberHandle {
    sender: mpsc::Sender<MemberInput>,
}

impl MemberHandle {
    /// Hands over an input; it is dropped if the queue is full. News is told again by others.
    pub fn offer(&self, input: MemberInput) {
        let _ = self.sender.try_send(input);
    }

    /// Hands over an input, waiting for room.
    pub async fn send(&self, input: MemberInput) {
        let _ = self.sender.send(input).await;
    }
}
