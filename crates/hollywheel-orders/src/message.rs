//! Inputs and outputs of the order machine.

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

/// Numbers the calls of the table service and the reads of engines.
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

/// Holds the settings of the order machine of one host.
#[derive(Clone, Debug)]
pub struct OrderSettings {
    /// The host.
    pub host: HostId,
    /// The start of the process.
    pub incarnation: Incarnation,
    /// The seed of random choices.
    pub seed: u64,
    /// The time that a lease lasts after it was taken or renewed.
    pub lease_span: Duration,
    /// The time before the end of a lease in which no order is issued, for engines that refuse
    /// old fencing numbers.
    pub fenced_margin: Duration,
    /// The same for engines that accept old fencing numbers.
    pub unfenced_margin: Duration,
    /// The time in which an engine must answer an order.
    pub order_timeout: Duration,
    /// The time in which an engine must report a model that it was told to load.
    pub load_timeout: Duration,
    /// The loads a second that the weight store allows; pools share it evenly.
    pub load_rate: RequestRate,
}

impl OrderSettings {
    /// Returns the settings of a host with the default spans.
    pub fn new(host: HostId, incarnation: Incarnation, seed: u64) -> Self {
        Self {
            host,
            incarnation,
            seed,
            lease_span: Duration::from_secs(30),
            fenced_margin: Duration::from_secs(3),
            unfenced_margin: Duration::from_secs(12),
            order_timeout: Duration::from_secs(2),
            load_timeout: Duration::from_secs(120),
            load_rate: RequestRate::per_second(0.2),
        }
    }
}

/// Holds what an engine says of itself.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EngineReport {
    /// The engine.
    pub server: ServerId,
    /// The start of its process.
    pub incarnation: Incarnation,
    /// Whether it is leaving.
    pub leaving: bool,
    /// The models that it holds or is loading.
    pub models: Vec<ModelId>,
}

/// Names what an engine is told to do.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "action", content = "model")]
pub enum OrderAction {
    /// Load a model.
    LoadModel(ModelId),
    /// Unload a model.
    UnloadModel(ModelId),
}

/// Describes an order to an engine.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct OrderCall {
    /// The order.
    pub order: OrderId,
    /// The pool.
    pub pool: PoolId,
    /// The engine.
    pub server: ServerId,
    /// Its address.
    pub address: SocketAddr,
    /// The fencing number of the lease.
    pub fencing: FencingNumber,
    /// What to do.
    pub action: OrderAction,
    /// The point after which the order must not be sent; it is read from the clock right before
    /// sending.
    pub send_before: MonoTime,
    /// The point after which the answer is no longer waited for.
    pub deadline: MonoTime,
}

/// Says what became of an order.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "answer")]
pub enum OrderAnswer {
    /// The engine accepted it.
    Accepted,
    /// The engine refused it, since it has seen a larger fencing number.
    Stale {
        /// The largest number that it has seen.
        highest: FencingNumber,
    },
    /// It was not sent, or the engine refused it for another reason; it had no effect.
    NotSent,
    /// It may have been accepted.
    Unknown,
}

/// Holds one input of the order machine.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "input", content = "with")]
pub enum OrderInput {
    /// Takes a version of the objects.
    Config(Arc<PublishedSet>),
    /// Replaces the list of the hosts taken for alive.
    Hosts(Vec<HostId>),
    /// Answers a read of an engine, taken after the read was asked for; none if not reached.
    Report {
        /// The read.
        ticket: OrderTicket,
        /// The report.
        report: Option<EngineReport>,
    },
    /// Answers a call of the table service.
    Store {
        /// The call.
        ticket: OrderTicket,
        /// The answer.
        result: Result<StoreReply, StoreFailure>,
    },
    /// Answers an order.
    Answer {
        /// The order.
        order: OrderId,
        /// What became of it.
        answer: OrderAnswer,
    },
    /// Begins the graceful shutdown: leases are given up and no order is issued.
    Leave,
    /// Lets time pass.
    Tick,
}

/// Holds one output of the order machine.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "output", content = "with")]
pub enum OrderOutput {
    /// Calls the table service.
    Store {
        /// The call.
        ticket: OrderTicket,
        /// The request.
        request: StoreRequest,
    },
    /// Reads what an engine holds.
    ReadEngine {
        /// The read.
        ticket: OrderTicket,
        /// The engine.
        server: ServerId,
        /// Its address.
        address: SocketAddr,
    },
    /// Sends an order.
    Order(OrderCall),
}
