//! Conversion and validation of single fields.

use std::net::{IpAddr, SocketAddr};
use std::str::FromStr;

use hollywheel_types::IdError;

use crate::error::WireError;

/// Parses a name.
pub(crate) fn parse_name<T>(field: &'static str, text: &str) -> Result<T, WireError>
where
    T: FromStr<Err = IdError>,
{
    text.parse()
        .map_err(|error| WireError::BadName { field, error })
}

/// Returns the value of a required field.
pub(crate) fn required<T>(field: &'static str, value: Option<T>) -> Result<T, WireError> {
    value.ok_or(WireError::Missing { field })
}

/// Checks that a list has at most `limit` entries.
pub(crate) const fn check_entries<T>(
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

/// Checks that a message has at most `limit` bytes.
pub(crate) const fn check_size(
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

/// Encodes an IP address as 4 or 16 bytes in network byte order.
pub(crate) fn encode_ip(address: SocketAddr) -> Vec<u8> {
    match address.ip() {
        IpAddr::V4(ip) => ip.octets().to_vec(),
        IpAddr::V6(ip) => ip.octets().to_vec(),
    }
}

/// Decodes a socket address from the bytes of its IP address and its port.
pub(crate) fn decode_address(
    field: &'static str,
    ip: &[u8],
    port: u32,
) -> Result<SocketAddr, WireError> {
    let bad_field = |expected| WireError::BadField { field, expected };
    let ip = if let Ok(octets) = <[u8; 4]>::try_from(ip) {
        IpAddr::from(octets)
    } else if let Ok(octets) = <[u8; 16]>::try_from(ip) {
        IpAddr::from(octets)
    } else {
        return Err(bad_field("4 or 16 bytes"));
    };
    let port = u16::try_from(port).map_err(|_| bad_field("a port up to 65535"))?;
    Ok(SocketAddr::new(ip, port))
}
