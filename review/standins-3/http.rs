//! HTTP/1.1 messages on blocking sockets, as far as the stand-ins need them.

use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// A request or a response.
#[derive(Debug, Default)]
pub struct Message {
    /// The request line or status line.
    pub line: String,
    /// Header names in lower case, and values.
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    /// Returns the value of a header, or the empty string.
    pub fn header(&self, name: &str) -> &str {
        let found = self.headers.iter().find(|(known, _)| known == name);
        found.map_or("", |(_, value)| value.as_str())
    }

    /// Returns the path of a request with its query.
    pub fn target(&self) -> &str {
        self.line.split(' ').nth(1).unwrap_or("")
    }

    /// Returns the status of a response.
    pub fn status(&self) -> u16 {
        let status = self.line.split(' ').nth(1);
        status.and_then(|text| text.parse().ok()).unwrap_or(0)
    }

    /// Returns a parameter of the query of a request.
    pub fn parameter(&self, name: &str) -> String {
        let query = self.target().split_once('?').map_or("", |(_, query)| query);
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        let found = pairs.find(|(key, _)| *key == name);
        found.map_or(String::new(), |(_, value)| value.to_owned())
    }
}

fn invalid(detail: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, detail.to_owned())
}

/// Reads the head of a message; none if the connection ends before it.
pub fn read_head(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let mut message = Message::default();
    let mut text = String::new();
    while message.line.is_empty() {
        text.clear();
        if reader.read_line(&mut text)? == 0 {
            return Ok(None);
        }
        message.line = text.trim_end().to_owned();
    }
    loop {
        text.clear();
        if reader.read_line(&mut text)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = text.trim_end();
        if line.is_empty() {
            return Ok(Some(message));
        }
        let (name, value) = line.split_once(':').ok_or_else(|| invalid("header"))?;
        let header = (name.to_ascii_lowercase(), value.trim().to_owned());
        message.headers.push(header);
    }
}

/// Reads a message. The body of a response without a length ends with the connection.
pub fn read_message(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let Some(mut message) = read_head(reader)? else {
        return Ok(None);
    };
    let is_response = message.line.starts_with("HTTP/");
    if message.header("transfer-encoding").contains("chunked") {
        loop {
            let mut size = String::new();
            if reader.read_line(&mut size)? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            let size = size.trim().split(';').next().unwrap_or("");
            let size = usize::from_str_radix(size, 16).map_err(|_| invalid("chunk"))?;
            let mut chunk = vec![0; size + 2];
            reader.read_exact(&mut chunk)?;
            chunk.truncate(size);
            message.body.extend_from_slice(&chunk);
            if size == 0 {
                return Ok(Some(message));
            }
        }
    }
    if let Ok(length) = message.header("content-length").parse::<usize>() {
        message.body = vec![0; length];
        reader.read_exact(&mut message.body)?;
    } else if is_response && message.status() != 204 {
        reader.read_to_end(&mut message.body)?;
    }
    Ok(Some(message))
}

/// A client's connection.
pub struct Connection {
    pub reader: BufReader<TcpStream>,
}

impl Connection {
    pub fn open(address: SocketAddr, time: Duration) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(time))?;
        stream.set_write_timeout(Some(time))?;
        Ok(Self {
            reader: BufReader::new(stream),
        })
    }

    /// Sends a request and reads the whole response.
    pub fn call(&mut self, request: &[u8]) -> io::Result<Message> {
        self.reader.get_mut().write_all(request)?;
        let response = read_message(&mut self.reader)?;
        response.ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
    }
}

/// Sends one request on a connection of its own and returns the status; 0 if there is no answer.
pub fn fetch_status(address: SocketAddr, request: &str) -> u16 {
    let connection = Connection::open(address, Duration::from_secs(2));
    let answered = connection.and_then(|mut connection| connection.call(request.as_bytes()));
    answered.map_or(0, |response| response.status())
}
