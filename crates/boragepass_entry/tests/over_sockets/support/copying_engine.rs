//! Endpoint that sends copies of earlier answers on the connections that it keeps open.

use std::collections::HashMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};

use boragepass_platform::names;

/// Request as the endpoint received it.
#[derive(Debug, Clone)]
pub(crate) struct Received {
    pub(crate) path: String,
    pub(crate) attempt: String,
    pub(crate) body: String,
}

/// Number of runs by attempt id.
pub(crate) type Runs = Arc<Mutex<HashMap<String, u32>>>;

/// What the endpoint does with a request.
pub(crate) enum Answer {
    /// Rejects it without running it. The endpoint sends a copy where the next answer on this connection is due.
    Reject(String),
    /// Runs it.
    Run(String),
}

/// Answer of some status with some header lines, each ended by CRLF, and a body.
pub(crate) fn raw_answer(status: &str, header_lines: &str, body: &str) -> String {
    format!("HTTP/1.1 {status}\r\n{header_lines}content-length: {}\r\n\r\n{body}", body.len())
}

/// Answer to a request that ran, as a sound endpoint sends it.
pub(crate) fn signed_answer(received: &Received, body: &str) -> String {
    let headers = format!("{}: {}\r\n{}: s\r\n", names::ATTEMPT_ID, received.attempt, names::SIGNATURE);
    raw_answer("200 OK", &headers, body)
}

/// Starts an endpoint that keeps the last rejection of each connection and sends it once more where the next answer is
/// due. Returns its address and the runs of each attempt.
pub(crate) fn copying_engine(handler: impl Fn(&Received) -> Answer + Send + Sync + 'static) -> (SocketAddr, Runs) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("a bound address");
    let (runs, handler) = (Runs::default(), Arc::new(handler));
    let shared_runs = runs.clone();
    std::thread::spawn(move || {
        for connection in listener.incoming().map_while(Result::ok) {
            let (runs, handler) = (shared_runs.clone(), handler.clone());
            std::thread::spawn(move || serve_connection(connection, &runs, &*handler));
        }
    });
    (address, runs)
}

fn serve_connection(
    mut connection: TcpStream,
    runs: &Mutex<HashMap<String, u32>>,
    handler: &dyn Fn(&Received) -> Answer,
) {
    let mut due_copy: Option<String> = None;
    while let Some(received) = read_request(&mut connection) {
        // Calls that free results get none, so that the copy meets a call that computes some.
        if !received.path.starts_with(names::STAGE_FREE_PATH)
            && let Some(copy) = due_copy.take()
            && connection.write_all(copy.as_bytes()).is_err()
        {
            return;
        }
        let answer = match handler(&received) {
            Answer::Reject(answer) => due_copy.insert(answer).clone(),
            Answer::Run(answer) => {
                *runs.lock().expect("the lock is not poisoned").entry(received.attempt).or_default() += 1;
                // The copy arrives before the answer.
                std::thread::sleep(std::time::Duration::from_millis(30));
                answer
            }
        };
        if connection.write_all(answer.as_bytes()).is_err() {
            return;
        }
    }
}

/// Reads one request with a content length; `None` once the connection is closed.
fn read_request(connection: &mut TcpStream) -> Option<Received> {
    let mut bytes = Vec::new();
    let head_end = loop {
        if let Some(at) = bytes.windows(4).position(|four| four == b"\r\n\r\n") {
            break at + 4;
        }
        read_some(connection, &mut bytes)?;
    };
    let head = String::from_utf8_lossy(&bytes[..head_end]).into_owned();
    let header = |name: &str| {
        let mut fields = head.lines().filter_map(|line| line.split_once(':'));
        fields.find(|(field, _)| field.eq_ignore_ascii_case(name)).map(|(_, value)| value.trim().to_owned())
    };
    let body_len: usize = header("content-length").and_then(|len| len.parse().ok()).unwrap_or(0);
    while bytes.len() < head_end + body_len {
        read_some(connection, &mut bytes)?;
    }
    Some(Received {
        path: head.split(' ').nth(1).unwrap_or_default().to_owned(),
        attempt: header(names::ATTEMPT_ID.as_str()).unwrap_or_default(),
        body: String::from_utf8_lossy(&bytes[head_end..]).into_owned(),
    })
}

fn read_some(connection: &mut TcpStream, bytes: &mut Vec<u8>) -> Option<()> {
    let mut chunk = [0; 4_096];
    match connection.read(&mut chunk) {
        Ok(0) | Err(_) => None,
        Ok(len) => {
            bytes.extend_from_slice(&chunk[..len]);
            Some(())
        }
    }
}
