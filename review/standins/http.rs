//! Minimal HTTP/1.1 over blocking sockets, for the stand-ins.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// A parsed head: its first line and its headers with lower-case names.
#[derive(Clone, Debug, Default)]
pub struct Head {
    pub line: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    pub fn get(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        headers
            .find(|(known, _)| known == name)
            .map(|(_, value)| value.as_str())
    }

    /// Returns the target of a request, or the status of a response.
    pub fn second_word(&self) -> &str {
        self.line.split(' ').nth(1).unwrap_or("")
    }
}

/// A connection with a buffered reading side.
pub struct Connection {
    pub reader: BufReader<TcpStream>,
    pub writer: TcpStream,
}

impl Connection {
    pub fn new(stream: TcpStream) -> io::Result<Self> {
        stream.set_nodelay(true)?;
        Ok(Self {
            writer: stream.try_clone()?,
            reader: BufReader::new(stream),
        })
    }

    pub fn open(address: SocketAddr) -> io::Result<Self> {
        Self::new(TcpStream::connect_timeout(&address, Duration::from_secs(2))?)
    }

    /// Sets how long a read waits for bytes.
    pub fn set_patience(&self, patience: Duration) {
        let _ = self.writer.set_read_timeout(Some(patience));
    }

    fn read_line(&mut self) -> io::Result<String> {
        let mut line = Vec::new();
        self.reader.read_until(b'\n', &mut line)?;
        if line.last() != Some(&b'\n') {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        Ok(String::from_utf8_lossy(&line).trim_end().to_owned())
    }

    /// Reads a head; `None` if the connection ended before its first byte.
    pub fn read_head(&mut self) -> io::Result<Option<Head>> {
        if self.reader.fill_buf()?.is_empty() {
            return Ok(None);
        }
        let mut head = Head {
            line: self.read_line()?,
            headers: Vec::new(),
        };
        loop {
            let line = self.read_line()?;
            if line.is_empty() {
                return Ok(Some(head));
            }
            if let Some((name, value)) = line.split_once(':') {
                let header = (name.to_ascii_lowercase(), value.trim().to_owned());
                head.headers.push(header);
            }
        }
    }

    /// Reads the next chunk of a chunked body; empty at its end.
    pub fn read_chunk(&mut self) -> io::Result<Vec<u8>> {
        let line = self.read_line()?;
        let size = usize::from_str_radix(line.split(';').next().unwrap_or("").trim(), 16);
        let size = size.map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
        let mut chunk = vec![0; size];
        self.reader.read_exact(&mut chunk)?;
        self.read_line()?;
        Ok(chunk)
    }

    /// Reads the body that belongs to a head.
    pub fn read_body(&mut self, head: &Head) -> io::Result<Vec<u8>> {
        if head.get("transfer-encoding").is_some() {
            let mut body = Vec::new();
            loop {
                let chunk = self.read_chunk()?;
                if chunk.is_empty() {
                    return Ok(body);
                }
                body.extend(chunk);
            }
        }
        let length = head.get("content-length").and_then(|text| text.parse().ok());
        let mut body = vec![0; length.unwrap_or(0)];
        self.reader.read_exact(&mut body)?;
        Ok(body)
    }

    /// Writes a response with a length. Headers are given as whole lines.
    pub fn respond(&mut self, status: &str, headers: &[String], body: &[u8]) -> io::Result<()> {
        let mut text = format!("HTTP/1.1 {status}\r\n");
        for header in headers {
            text.push_str(header);
            text.push_str("\r\n");
        }
        text.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
        let mut bytes = text.into_bytes();
        bytes.extend_from_slice(body);
        self.writer.write_all(&bytes)
    }

    pub fn write_chunk(&mut self, chunk: &[u8]) -> io::Result<()> {
        let mut bytes = format!("{:x}\r\n", chunk.len()).into_bytes();
        bytes.extend_from_slice(chunk);
        bytes.extend_from_slice(b"\r\n");
        self.writer.write_all(&bytes)
    }

    /// Returns whether the other side has closed the connection.
    pub fn is_closed(&self) -> bool {
        let mut byte = [0; 1];
        if self.writer.set_nonblocking(true).is_err() {
            return true;
        }
        let peeked = self.writer.peek(&mut byte);
        let _ = self.writer.set_nonblocking(false);
        match peeked {
            Ok(count) => count == 0,
            Err(error) => error.kind() != io::ErrorKind::WouldBlock,
        }
    }
}
