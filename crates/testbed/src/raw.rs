//! Reading of raw HTTP/1 requests, for stand-ins that write malformed answers.

use smol::io::AsyncReadExt;
use smol::net::TcpStream;

/// Size of the read buffer, in bytes.
const READ_SIZE: usize = 4_096;

/// Reads a request with a `content-length` and returns its head; `None` if the connection ended.
pub async fn read_request(stream: &mut TcpStream) -> Option<String> {
    read_whole_request(stream).await.map(|(head, _)| head)
}

/// Reads a request like [`read_request`] and returns its head and body.
pub async fn read_whole_request(stream: &mut TcpStream) -> Option<(String, String)> {
    let mut bytes = Vec::new();
    let mut buffer = [0; READ_SIZE];
    loop {
        let text = String::from_utf8_lossy(&bytes).into_owned();
        if let Some(end) = text.find("\r\n\r\n") {
            let length = header(&text[..end], "content-length");
            let length: usize = length.and_then(|value| value.parse().ok()).unwrap_or(0);
            if bytes.len() >= end + 4 + length {
                let body = String::from_utf8_lossy(&bytes[end + 4..end + 4 + length]);
                return Some((text[..end].to_owned(), body.into_owned()));
            }
        }
        match stream.read(&mut buffer).await {
            Ok(read) if read > 0 => bytes.extend_from_slice(&buffer[..read]),
            _ => return None,
        }
    }
}

/// Returns the value of a header in the head of a message; the name is compared without case.
pub fn header(head: &str, name: &str) -> Option<String> {
    let mut lines = head.lines().filter_map(|line| line.split_once(": "));
    let found = lines.find(|(key, _)| key.eq_ignore_ascii_case(name));
    found.map(|(_, value)| value.to_owned())
}
