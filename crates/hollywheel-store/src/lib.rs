//! Requests and replies of the platform's table service.

mod message;

pub use message::{
    RowOutcome, StoreFailure, StoreOp, StoreReply, StoreRequest, StoreRow, TableName, TxnMode,
};
