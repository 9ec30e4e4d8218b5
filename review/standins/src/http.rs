//! HTTP/1.1 by hand: the stand-ins need full control of the bytes on a connection.

use std::io;

use tokio::io::{AsyncBufRead, AsyncBufReadExt, AsyncReadExt};

/// Head and body of a request or an answer.
#[derive(Debug, Clone, Default)]
pub struct Message {
    /// First line.
    pub start: String,
    /// Headers; names in lower case.
    pub headers: Vec<(String, String)>,
    /// Body.
    pub body: Vec<u8>,
}

impl Message {
    /// Returns the first value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n == name).map(|(_, v)| v.as_str())
    }

    /// Returns the method of a request.
    pub fn method(&self) -> &str {
        self.start.split(' ').next().unwrap_or("")
    }

    /// Returns the path of a request, without the query.
    pub fn path(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or("").split('?').next().unwrap_or("")
    }

    /// Returns one value of the query of a request.
    pub fn query(&self, name: &str) -> Option<&str> {
        let target = self.start.split(' ').nth(1)?;
        let query = target.split_once('?')?.1;
        query.split('&').filter_map(|pair| pair.split_once('=')).find(|p| p.0 == name).map(|p| p.1)
    }

    /// Returns the status of an answer.
    pub fn status(&self) -> u16 {
        self.start.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }

    /// Returns whether the sender closes the connection after this message.
    pub fn closes(&self) -> bool {
        self.header("connection").is_some_and(|v| v.to_ascii_lowercase().contains("close"))
    }
}

async fn read_line<R: AsyncBufRead + Unpin>(r: &mut R) -> io::Result<Option<String>> {
    let mut line = Vec::new();
    if r.read_until(b'\n', &mut line).await? == 0 {
        return Ok(None);
    }
    if line.last() != Some(&b'\n') {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    Ok(Some(String::from_utf8_lossy(&line).trim_end().to_owned()))
}

/// Reads the head of a message; `None` at a clean end of the connection.
pub async fn read_head<R: AsyncBufRead + Unpin>(r: &mut R) -> io::Result<Option<Message>> {
    let Some(start) = read_line(r).await? else { return Ok(None) };
    let mut message = Message { start, ..Message::default() };
    loop {
        let line = read_line(r).await?.ok_or(io::ErrorKind::UnexpectedEof)?;
        if line.is_empty() {
            return Ok(Some(message));
        }
        let (name, value) = line.split_once(':').ok_or(io::ErrorKind::InvalidData)?;
        message.headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
    }
}

/// Reads one chunk of a chunked body; `None` after the last.
pub async fn read_chunk<R: AsyncBufRead + Unpin>(r: &mut R) -> io::Result<Option<Vec<u8>>> {
    let line = read_line(r).await?.ok_or(io::ErrorKind::UnexpectedEof)?;
    let len = usize::from_str_radix(line.trim(), 16).map_err(|_| io::ErrorKind::InvalidData)?;
    let mut data = vec![0; len];
    r.read_exact(&mut data).await?;
    read_line(r).await?.ok_or(io::ErrorKind::UnexpectedEof)?;
    Ok((len > 0).then_some(data))
}

/// Reads a whole message with its body.
pub async fn read_message<R: AsyncBufRead + Unpin>(r: &mut R) -> io::Result<Option<Message>> {
    let Some(mut message) = read_head(r).await? else { return Ok(None) };
    if let Some(len) = message.header("content-length") {
        let len = len.parse().map_err(|_| io::ErrorKind::InvalidData)?;
        message.body = vec![0; len];
        r.read_exact(&mut message.body).await?;
    } else if message.header("transfer-encoding").is_some() {
        while let Some(chunk) = read_chunk(r).await? {
            message.body.extend(chunk);
        }
    }
    Ok(Some(message))
}

/// Returns the bytes of an answer.
pub fn answer(status: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut head = format!("HTTP/1.1 {status}\r\n");
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}
