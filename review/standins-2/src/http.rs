//! HTTP/1.1 messages over TCP, as far as the stand-ins need them.

use std::io;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Head and body of a request or of a response.
#[derive(Debug, Default, Clone)]
pub struct Message {
    /// First line.
    pub start: String,
    /// Headers, names in lower case.
    pub headers: Vec<(String, String)>,
    /// Body without its framing.
    pub body: Vec<u8>,
    /// Whether the end of the body was received.
    pub is_whole: bool,
}

impl Message {
    /// Returns the value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(known, _)| known == name).map(|(_, value)| value.as_str())
    }

    /// Returns the method of a request.
    pub fn method(&self) -> &str {
        self.start.split(' ').next().unwrap_or_default()
    }

    /// Returns the path of a request, with its query.
    pub fn path(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or_default()
    }

    /// Returns the status of a response; 0 without one.
    pub fn status(&self) -> u16 {
        self.start.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0)
    }
}

/// Connection with what was received and not used yet.
pub struct Connection {
    pub stream: TcpStream,
    buf: Vec<u8>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Connection { stream, buf: Vec::new() }
    }

    async fn fill(&mut self) -> io::Result<usize> {
        self.buf.reserve(64 << 10);
        self.stream.read_buf(&mut self.buf).await
    }

    /// Reads the head of the next message; `None` at the end of the connection.
    pub async fn read_head(&mut self) -> io::Result<Option<Message>> {
        loop {
            if let Some(end) = self.buf.windows(4).position(|bytes| bytes == b"\r\n\r\n") {
                let head = String::from_utf8_lossy(&self.buf[..end]).into_owned();
                self.buf.drain(..end + 4);
                let mut lines = head.split("\r\n");
                let start = lines.next().unwrap_or_default().to_owned();
                let headers = lines.filter_map(|line| line.split_once(':'));
                let headers =
                    headers.map(|(name, value)| (name.to_lowercase(), value.trim().to_owned()));
                return Ok(Some(Message { start, headers: headers.collect(), ..Message::default() }));
            }
            if self.fill().await? == 0 {
                return Ok(None);
            }
        }
    }

    /// Reads the body that belongs to a head.
    pub async fn read_body(&mut self, message: &mut Message) -> io::Result<()> {
        let is_chunked =
            message.header("transfer-encoding").is_some_and(|value| value.contains("chunked"));
        if is_chunked {
            return self.read_chunks(message).await;
        }
        let length = message.header("content-length").and_then(|length| length.parse().ok());
        let is_response = message.start.starts_with("HTTP/");
        let length: usize = match length {
            Some(length) => length,
            None if is_response => {
                while self.fill().await? > 0 {}
                message.body = std::mem::take(&mut self.buf);
                message.is_whole = true;
                return Ok(());
            }
            None => 0,
        };
        while self.buf.len() < length {
            if self.fill().await? == 0 {
                message.body = std::mem::take(&mut self.buf);
                return Ok(());
            }
        }
        message.body = self.buf.drain(..length).collect();
        message.is_whole = true;
        Ok(())
    }

    async fn read_chunks(&mut self, message: &mut Message) -> io::Result<()> {
        loop {
            let Some(end) = self.buf.windows(2).position(|bytes| bytes == b"\r\n") else {
                if self.fill().await? == 0 {
                    return Ok(());
                }
                continue;
            };
            let size = String::from_utf8_lossy(&self.buf[..end]).into_owned();
            let size = usize::from_str_radix(size.trim(), 16).unwrap_or(0);
            while self.buf.len() < end + 2 + size + 2 {
                if self.fill().await? == 0 {
                    return Ok(());
                }
            }
            message.body.extend_from_slice(&self.buf[end + 2..end + 2 + size]);
            self.buf.drain(..end + 2 + size + 2);
            if size == 0 {
                message.is_whole = true;
                return Ok(());
            }
        }
    }

    /// Reads a whole message.
    pub async fn read(&mut self) -> io::Result<Option<Message>> {
        let Some(mut message) = self.read_head().await? else { return Ok(None) };
        self.read_body(&mut message).await?;
        Ok(Some(message))
    }

    /// Writes bytes.
    pub async fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes).await
    }
}

/// Returns a response with a body.
pub fn response(status: u16, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut text = format!("HTTP/1.1 {status} X\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str("\r\n");
    [text.as_bytes(), body].concat()
}

/// Sends a request over a new connection and returns the response.
pub async fn call(address: &str, request: &[u8]) -> io::Result<Message> {
    let mut connection = Connection::new(TcpStream::connect(address).await?);
    connection.write(request).await?;
    connection.read().await?.ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
}
