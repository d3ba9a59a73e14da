//! Readers that take a few bytes per second, or none.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};

use super::sheet::MODEL;

/// Receive buffer of a slow reader. The system's default would take a whole
/// answer, and the reader would be slow without the entry noticing.
const RECEIVE_BYTES: u32 = 4_096;

/// Time between two reads.
const PAUSE: Duration = Duration::from_secs(1);

/// Opens a chat stream on a connection of its own and reads nothing.
///
/// # Errors
///
/// Fails if the connection cannot be made.
pub async fn open(
    address: SocketAddr,
    token: &str,
    prompt: &str,
    tokens: u32,
) -> io::Result<TcpStream> {
    let socket = TcpSocket::new_v4()?;
    socket.set_recv_buffer_size(RECEIVE_BYTES)?;
    let mut stream = socket.connect(address).await?;
    let body = json!({
        "model": MODEL,
        "messages": [{"role": "user", "content": prompt}],
        "max_tokens": tokens,
        "stream": true,
    })
    .to_string();
    let head = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nhost: load\r\nauthorization: Bearer {token}\r\n\
         content-type: application/json\r\ncontent-length: {}\r\n\r\n",
        body.len()
    );
    stream.write_all(head.as_bytes()).await?;
    stream.write_all(body.as_bytes()).await?;
    Ok(stream)
}

/// Reads `rate` bytes per second until the stream ends.
///
/// # Errors
///
/// Fails if the connection breaks.
pub async fn read(mut stream: TcpStream, rate: usize) -> io::Result<()> {
    let mut buffer = vec![0; rate];
    loop {
        if stream.read(&mut buffer).await? == 0 {
            return Ok(());
        }
        tokio::time::sleep(PAUSE).await;
    }
}
