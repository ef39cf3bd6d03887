//! Inputs and outputs of the order state machine.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hollywheel_config::PublishedSet;
use hollywheel_store::{StoreFailure, StoreReply, StoreRequest};
use hollywheel_types::{
    FencingNumber, HostId, Incarnation, ModelId, MonoTime, PoolId, RequestRate, ServerId,
};
use serde::{Deserialize, Serialize};

/// Correlates a call of the table service or a read of an engine with its answer.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct OrderTicket(pub u64);

/// Identifies an order to an engine, written as 32 hexadecimal digits.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct OrderId(pub u128);

impl fmt::Display for OrderId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

/// Settings of the order state machine of one host.
#[derive(Clone, Debug)]
pub struct OrderSettings {
    /// The host.
    pub host: HostId,
    /// The incarnation of the local process: its start time.
    pub incarnation: Incarnation,
    /// The seed of the random number generator that draws order ids.
    pub seed: u64,
    /// How long a lease lasts after it was taken or renewed.
    pub lease_duration: Duration,
    /// How long before the end of a lease the last order may be sent to engines that reject stale
    /// fencing numbers.
    pub fenced_margin: Duration,
    /// The same margin for engines that don't check fencing numbers.
    pub unfenced_margin: Duration,
    /// How long to wait for an engine's answer to an order or for a read to complete.
    pub order_timeout: Duration,
    /// How long a load counts as pending if the engine does not report the model.
    pub load_timeout: Duration,
    /// The number of model loads per second that the weight store allows; pools share it evenly.
    pub load_rate: RequestRate,
}

impl OrderSettings {
    /// Returns the settings of a host with the default durations.
    pub fn new(host: HostId, incarnation: Incarnation, seed: u64) -> Self {
        Self {
            host,
            incarnation,
            seed,
            lease_duration: Duration::from_secs(30),
            fenced_margin: Duration::from_secs(3),
            unfenced_margin: Duration::from_secs(12),
            order_timeout: Duration::from_secs(2),
            load_timeout: Duration::from_secs(120),
            load_rate: RequestRate::per_second(0.2),
        }
    }
}

/// The state that an engine reports about itself.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EngineReport {
    /// The engine.
    pub server: ServerId,
    /// The incarnation of its process.
    pub incarnation: Incarnation,
    /// Whether it is leaving.
    pub leaving: bool,
    /// The models that it has loaded or is loading.
    pub models: Vec<ModelId>,
}

/// The action that an order asks an engine for.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "action", content = "model")]
pub enum OrderAction {
    /// Load a model.
    LoadModel(ModelId),
    /// Unload a model.
    UnloadModel(ModelId),
}

/// An order to an engine.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct OrderCall {
    /// The id of the order.
    pub order: OrderId,
    /// The pool.
    pub pool: PoolId,
    /// The engine.
    pub server: ServerId,
    /// Its address.
    pub address: SocketAddr,
    /// The fencing number of the lease.
    pub fencing: FencingNumber,
    /// The action.
    pub action: OrderAction,
    /// The time after which the order must not be sent; the sender must check the clock
    /// immediately before sending.
    pub send_before: MonoTime,
    /// The time after which the answer is no longer waited for.
    pub deadline: MonoTime,
}

/// The outcome of an order.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "answer")]
pub enum OrderAnswer {
    /// The engine accepted the order.
    Accepted,
    /// The engine rejected the order because it has seen a larger fencing number.
    Stale {
        /// The largest fencing number that the engine has seen.
        highest: FencingNumber,
    },
    /// The order was not sent, or the engine rejected it for another reason; it had no effect.
    NotSent,
    /// The order may have been accepted.
    Unknown,
}

/// An input of the order state machine.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "input", content = "with")]
pub enum OrderInput {
    /// A configuration version came into force.
    Config(Arc<PublishedSet>),
    /// The list of hosts that are considered alive changed.
    Hosts(Vec<HostId>),
    /// A read of an engine completed. The engine must have been asked after the read was requested.
    Report {
        /// The ticket of the read.
        ticket: OrderTicket,
        /// The report; `None` if the engine was not reached.
        report: Option<EngineReport>,
    },
    /// A call of the table service completed.
    Store {
        /// The ticket of the call.
        ticket: OrderTicket,
        /// The reply or failure.
        result: Result<StoreReply, StoreFailure>,
    },
    /// An order completed.
    Answer {
        /// The id of the order.
        order: OrderId,
        /// The outcome.
        answer: OrderAnswer,
    },
    /// Begins the graceful shutdown: leases are released and no further order is issued.
    Leave,
    /// Runs the actions that are due.
    Tick,
}

/// An output of the order state machine.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "output", content = "with")]
pub enum OrderOutput {
    /// Calls the table service.
    Store {
        /// The ticket of the call.
        ticket: OrderTicket,
        /// The request.
        request: StoreRequest,
    },
    /// Reads the state of an engine.
    ReadEngine {
        /// The ticket of the read.
        ticket: OrderTicket,
        /// The engine.
        server: ServerId,
        /// Its address.
        address: SocketAddr,
    },
    /// Sends an order.
    Order(OrderCall),
}
