//! HTTP/1.1 over blocking sockets, as much as the stand-ins need.

use std::{
    io::{self, BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

pub struct Request {
    pub method: String,
    pub target: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        find(&self.headers, name)
    }

    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }

    pub fn query(&self, name: &str) -> Option<&str> {
        let query = self.target.split_once('?')?.1;
        query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='))
    }

    /// The caller's id of the request.
    pub fn id(&self) -> &str {
        self.header("x-attempt-id").unwrap_or_default()
    }
}

fn find<'a>(headers: &'a [(String, String)], name: &str) -> Option<&'a str> {
    headers.iter().find(|(key, _)| key.eq_ignore_ascii_case(name)).map(|(_, value)| value.as_str())
}

fn bad(reason: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, reason.to_owned())
}

fn line(reader: &mut impl BufRead) -> io::Result<Option<String>> {
    let mut text = String::new();
    if reader.read_line(&mut text)? == 0 {
        return Ok(None);
    }
    if !text.ends_with('\n') {
        return Err(bad("line cut"));
    }
    Ok(Some(text.trim_end_matches(['\r', '\n']).to_owned()))
}

fn headers(reader: &mut impl BufRead) -> io::Result<Vec<(String, String)>> {
    let mut all = Vec::new();
    loop {
        let text = line(reader)?.ok_or_else(|| bad("head cut"))?;
        if text.is_empty() {
            return Ok(all);
        }
        let (name, value) = text.split_once(':').ok_or_else(|| bad("header"))?;
        all.push((name.trim().to_owned(), value.trim().to_owned()));
    }
}

/// Reads the next request of a connection; none if it was closed.
pub fn read_request(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Request>> {
    let Some(first) = line(reader)? else { return Ok(None) };
    let mut words = first.split(' ');
    let method = words.next().unwrap_or_default().to_owned();
    let target = words.next().ok_or_else(|| bad("request line"))?.to_owned();
    let headers = headers(reader)?;
    let length = find(&headers, "content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    Ok(Some(Request { method, target, headers, body }))
}

/// Writes a whole answer with a length.
pub fn answer(
    stream: &mut impl Write,
    status: u16,
    headers: &[(&str, &str)],
    body: &[u8],
) -> io::Result<()> {
    let mut text = format!("HTTP/1.1 {status} X\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str("\r\n");
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)?;
    stream.flush()
}

pub fn chunk(stream: &mut impl Write, bytes: &[u8]) -> io::Result<()> {
    let mut out = format!("{:x}\r\n", bytes.len()).into_bytes();
    out.extend_from_slice(bytes);
    out.extend_from_slice(b"\r\n");
    stream.write_all(&out)?;
    stream.flush()
}

enum Framing {
    Length(usize),
    Chunked,
    Close,
}

/// An answer whose body is still to be read.
pub struct Response {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    reader: BufReader<TcpStream>,
    framing: Framing,
}

impl Response {
    pub fn header(&self, name: &str) -> Option<&str> {
        find(&self.headers, name)
    }

    /// The next bytes of the body; none at its good end.
    pub fn next(&mut self) -> io::Result<Option<Vec<u8>>> {
        match &mut self.framing {
            Framing::Length(0) => Ok(None),
            Framing::Length(left) => {
                let mut bytes = vec![0; (*left).min(65_536)];
                let count = self.reader.read(&mut bytes)?;
                if count == 0 {
                    return Err(bad("body cut"));
                }
                *left -= count;
                bytes.truncate(count);
                Ok(Some(bytes))
            }
            Framing::Chunked => {
                let size = line(&mut self.reader)?.ok_or_else(|| bad("chunks cut"))?;
                let size = usize::from_str_radix(size.trim(), 16).map_err(|_| bad("chunk size"))?;
                let mut bytes = vec![0; size + 2];
                self.reader.read_exact(&mut bytes)?;
                bytes.truncate(size);
                Ok((size > 0).then_some(bytes))
            }
            Framing::Close => {
                let mut bytes = vec![0; 65_536];
                let count = self.reader.read(&mut bytes)?;
                bytes.truncate(count);
                Ok((count > 0).then_some(bytes))
            }
        }
    }

    /// Reads the rest of the body.
    pub fn rest(&mut self) -> io::Result<Vec<u8>> {
        let mut all = Vec::new();
        while let Some(bytes) = self.next()? {
            all.extend_from_slice(&bytes);
        }
        Ok(all)
    }
}

/// Sends a request over a new connection and reads the head of the answer.
pub fn send(
    addr: SocketAddr,
    method: &str,
    target: &str,
    headers_out: &[(&str, &str)],
    body: &[u8],
    limit: Duration,
) -> io::Result<Response> {
    let mut stream = TcpStream::connect_timeout(&addr, limit.min(Duration::from_secs(1)))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(limit))?;
    stream.set_write_timeout(Some(limit))?;
    let mut text = format!("{method} {target} HTTP/1.1\r\n");
    for (name, value) in headers_out {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    if method != "GET" || !body.is_empty() {
        text.push_str(&format!("Content-Length: {}\r\n", body.len()));
    }
    text.push_str("\r\n");
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)?;
    let mut reader = BufReader::new(stream);
    let first = line(&mut reader)?.ok_or_else(|| bad("closed without an answer"))?;
    let status = first.split(' ').nth(1).and_then(|text| text.parse().ok());
    let status: u16 = status.ok_or_else(|| bad("status line"))?;
    let headers = headers(&mut reader)?;
    let framing = if find(&headers, "transfer-encoding").is_some() {
        Framing::Chunked
    } else if let Some(length) = find(&headers, "content-length").and_then(|text| text.parse().ok()) {
        Framing::Length(length)
    } else if status == 204 {
        Framing::Length(0)
    } else {
        Framing::Close
    };
    Ok(Response { status, headers, reader, framing })
}
