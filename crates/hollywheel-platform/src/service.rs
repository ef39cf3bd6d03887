//! Trait by which the daemon calls the platform.

use std::pin::Pin;
use std::time::Duration;

use bytes::Bytes;
use hollywheel_store::{StoreFailure, StoreReply, StoreRequest};

use crate::error::PlatformError;
use crate::hosts::HostListing;

/// A call in progress.
pub type PlatformFuture<'a, T> = Pin<Box<dyn Future<Output = T> + Send + 'a>>;

/// Calls the platform; tests implement it with fakes.
pub trait PlatformService: Send + Sync {
    /// Calls the table service. A call is never retried.
    ///
    /// # Errors
    ///
    /// The future returns [`StoreFailure::Refused`] only if the call had no effect.
    fn table(
        &self,
        request: StoreRequest,
        timeout: Duration,
    ) -> PlatformFuture<'_, Result<StoreReply, StoreFailure>>;

    /// Reads an object.
    ///
    /// # Errors
    ///
    /// The future returns [`PlatformError::Missing`] if there is no such object.
    fn get_object(
        &self,
        name: String,
        timeout: Duration,
    ) -> PlatformFuture<'_, Result<Bytes, PlatformError>>;

    /// Writes an object.
    ///
    /// # Errors
    ///
    /// The future returns [`PlatformError::Unknown`] if the object may have been written.
    fn put_object(
        &self,
        name: String,
        content: Bytes,
        timeout: Duration,
    ) -> PlatformFuture<'_, Result<(), PlatformError>>;

    /// Reads the host list.
    ///
    /// # Errors
    ///
    /// The future returns the error of the call.
    fn hosts(&self, timeout: Duration) -> PlatformFuture<'_, Result<HostListing, PlatformError>>;
}
