//! One HTTP/1.1 call on a connection of its own.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// The status and body of a response.
pub type Answer = (u16, String);

/// Sends a request and waits for the whole response until the timeout; afterwards the connection is closed. Returns
/// `None` without a complete response.
pub fn call(
    address: SocketAddr,
    method: &str,
    host: &str,
    path: &str,
    headers: &str,
    body: &str,
    timeout: Duration,
) -> Option<Answer> {
    let deadline = Instant::now() + timeout;
    let mut stream = TcpStream::connect_timeout(&address, timeout).ok()?;
    let _ = stream.set_nodelay(true);
    let content = if body.is_empty() { String::new() } else { "Content-Type: application/json\r\n".to_owned() };
    let request = format!(
        "{method} {path} HTTP/1.1\r\nHost: {host}\r\n{content}{headers}Content-Length: {}\r\nConnection: close\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(request.as_bytes()).ok()?;
    let mut received = Vec::new();
    let mut chunk = vec![0; 64 * 1024];
    loop {
        if let Some(answer) = complete(&received) {
            return Some(answer);
        }
        let left = deadline.checked_duration_since(Instant::now()).filter(|left| !left.is_zero());
        let Some(left) = left else {
            let _ = stream.shutdown(Shutdown::Both);
            return None;
        };
        stream.set_read_timeout(Some(left)).ok()?;
        match stream.read(&mut chunk) {
            Ok(0) | Err(_) => return complete(&received),
            Ok(count) => received.extend_from_slice(&chunk[..count]),
        }
    }
}

fn complete(received: &[u8]) -> Option<Answer> {
    let end = received.windows(4).position(|window| window == b"\r\n\r\n")?;
    let head = std::str::from_utf8(&received[..end]).ok()?;
    let status = head.split(' ').nth(1)?.parse().ok()?;
    let length = head.lines().find_map(|line| {
        let (name, value) = line.split_once(':')?;
        name.eq_ignore_ascii_case("content-length").then(|| value.trim().parse::<usize>().ok())?
    });
    let body = &received[end + 4..];
    let length = length.unwrap_or(0);
    (body.len() >= length).then(|| (status, String::from_utf8_lossy(&body[..length]).into_owned()))
}
