//! Conversions of single fields.

use std::net::{IpAddr, SocketAddr};
use std::str::FromStr;

use hollywheel_types::IdError;

use crate::error::WireError;

/// Reads a name.
pub(crate) fn name<T>(field: &'static str, text: &str) -> Result<T, WireError>
where
    T: FromStr<Err = IdError>,
{
    text.parse()
        .map_err(|error| WireError::BadName { field, error })
}

/// Returns a field that must be there.
pub(crate) fn present<T>(field: &'static str, value: Option<T>) -> Result<T, WireError> {
    value.ok_or(WireError::Missing { field })
}

/// Checks the length of a list.
pub(crate) const fn bounded<T>(
    field: &'static str,
    list: &[T],
    limit: usize,
) -> Result<(), WireError> {
    if list.len() > limit {
        return Err(WireError::TooMany {
            field,
            given: list.len(),
            limit,
        });
    }
    Ok(())
}

/// Checks the length of a whole message.
pub(crate) const fn bounded_bytes(
    message: &'static str,
    bytes: &[u8],
    limit: usize,
) -> Result<(), WireError> {
    if bytes.len() > limit {
        return Err(WireError::TooLong {
            message,
            given: bytes.len(),
            limit,
        });
    }
    Ok(())
}

/// Writes the number of an address.
pub(crate) fn ip_bytes(address: SocketAddr) -> Vec<u8> {
    match address.ip() {
        IpAddr::V4(ip) => ip.octets().to_vec(),
        IpAddr::V6(ip) => ip.octets().to_vec(),
    }
}

/// Reads an address.
pub(crate) fn address(field: &'static str, ip: &[u8], port: u32) -> Result<SocketAddr, WireError> {
    let bad = |expected| WireError::BadField { field, expected };
    let ip = if let Ok(octets) = <[u8; 4]>::try_from(ip) {
        IpAddr::from(octets)
    } else if let Ok(octets) = <[u8; 16]>::try_from(ip) {
        IpAddr::from(octets)
    } else {
        return Err(bad("4 or 16 bytes"));
    };
    let port = u16::try_from(port).map_err(|_| bad("a port up to 65535"))?;
    Ok(SocketAddr::new(ip, port))
}
