//! Event loop around the order state machine.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hollywheel_orders::{
    EngineReport, OrderCall, OrderInput, OrderMachine, OrderOutput, OrderTicket,
};
use hollywheel_platform::PlatformService;
use hollywheel_store::StoreRequest;
use hollywheel_types::ServerId;

use super::handle::OrderHandle;
use crate::backend::BackendCaller;
use crate::metrics::DaemonMetrics;
use crate::queue::SharedReceiver;
use hollywheel_clock::{HostClock, sleep_until};

/// Handles through which the task performs the outputs of the state machine.
pub struct OrderEffects {
    /// Handle that returns results to the task as inputs.
    pub handle: OrderHandle,
    /// Client of the platform's table service.
    pub platform: Arc<dyn PlatformService>,
    /// Client of the backend servers.
    pub backend: BackendCaller,
    /// Metrics of the host.
    pub metrics: Arc<DaemonMetrics>,
    /// Time-out of one call to the table service.
    pub store_timeout: Duration,
}

/// Task that feeds the order state machine and performs its outputs.
pub struct OrderTask {
    machine: OrderMachine,
    clock: HostClock,
    receiver: SharedReceiver<OrderInput>,
    effects: OrderEffects,
}

impl OrderTask {
    /// Creates the task for a state machine.
    pub const fn new(
        machine: OrderMachine,
        clock: HostClock,
        receiver: SharedReceiver<OrderInput>,
        effects: OrderEffects,
    ) -> Self {
        Self {
            machine,
            clock,
            receiver,
            effects,
        }
    }

    /// Runs until every [`OrderHandle`] is dropped.
    pub async fn run(mut self) {
        let mut receiver = self.receiver.clone().lock_owned().await;
        loop {
            let wake = self.machine.next_wake();
            let input = tokio::select! {
                input = receiver.recv() => match input {
                    Some(input) => input,
                    None => return,
                },
                () = sleep_until(&self.clock, wake) => OrderInput::Tick,
            };
            for output in self.machine.handle(self.clock.now(), input) {
                self.perform(output);
            }
        }
    }

    fn perform(&self, output: OrderOutput) {
        match output {
            OrderOutput::Store { ticket, request } => self.call_store(ticket, request),
            OrderOutput::ReadEngine {
                ticket,
                server,
                address,
            } => self.read_engine(ticket, server, address),
            OrderOutput::Order(call) => self.send_order(call),
        }
    }

    fn call_store(&self, ticket: OrderTicket, request: StoreRequest) {
        let platform = Arc::clone(&self.effects.platform);
        let metrics = Arc::clone(&self.effects.metrics);
        let handle = self.effects.handle.clone();
        let timeout = self.effects.store_timeout;
        tokio::spawn(async move {
            let result = platform.table(request, timeout).await;
            metrics.store_called(&result);
            handle.send(OrderInput::Store { ticket, result }).await;
        });
    }

    fn read_engine(&self, ticket: OrderTicket, server: ServerId, address: SocketAddr) {
        let backend = self.effects.backend.clone();
        let handle = self.effects.handle.clone();
        tokio::spawn(async move {
            let report = backend
                .read_report(address)
                .await
                .filter(|report| report.server == server)
                .map(|report| EngineReport {
                    server: report.server,
                    incarnation: report.incarnation,
                    leaving: report.leaving,
                    models: report.models,
                });
            handle.send(OrderInput::Report { ticket, report }).await;
        });
    }

    fn send_order(&self, call: OrderCall) {
        let backend = self.effects.backend.clone();
        let handle = self.effects.handle.clone();
        tokio::spawn(async move {
            let answer = backend.send_order(&call).await;
            let order = call.order;
            handle.send(OrderInput::Answer { order, answer }).await;
        });
    }
}
