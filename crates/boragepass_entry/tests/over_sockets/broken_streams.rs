//! A stream that began and broke off, while the endpoint that is to go on with it answers something else.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};

use boragepass_platform::names;

use crate::support::stage_endpoint;
use crate::{endpoint, start_vm, wait_until};

/// What the endpoint that is to go on answers; `ID` stands for the header with the request's id.
const LATER_ANSWERS: [(&str, &str); 8] = [
    ("an error", "HTTP/1.1 500 Oops\r\nID\r\ncontent-length: 13\r\n\r\nfailure text\n"),
    ("a signed error", "HTTP/1.1 500 Oops\r\nID\r\nSIGNATURE: s\r\ncontent-length: 13\r\n\r\nfailure text\n"),
    ("an error without length", "HTTP/1.1 502 Oops\r\nID\r\n\r\nfailure text\n\n"),
    ("a client error", "HTTP/1.1 400 Oops\r\nID\r\nSIGNATURE: s\r\ncontent-length: 14\r\n\r\nfailure text\n\n"),
    ("a rejection", "HTTP/1.1 503 Full\r\nID\r\nNOT_RUN: 1\r\ncontent-length: 14\r\n\r\nfailure text\n\n"),
    ("a success without signature", "HTTP/1.1 200 OK\r\nID\r\ncontent-length: 14\r\n\r\nfailure text\n\n"),
    ("no answer in the protocol", "failure text\n\nfailure text\n\n"),
    ("a head without end", "HTTP/1.1 200 OK\r\nID\r\nSIGNATURE: s\r\nfailure text"),
];

/// Starts an endpoint that breaks off each new stream after its first event, and answers one to go on with as given.
fn breaking_endpoint(later_answer: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    std::thread::spawn(move || {
        for connection in listener.incoming().map_while(Result::ok) {
            std::thread::spawn(move || answer(connection, later_answer));
        }
    });
    address
}

fn answer(mut connection: TcpStream, later_answer: &str) {
    let mut request = Vec::new();
    let mut bytes = [0; 4_096];
    while !request.ends_with(b"body") {
        match connection.read(&mut bytes) {
            Ok(read @ 1..) => request.extend_from_slice(&bytes[..read]),
            _ => return,
        }
    }
    let request = String::from_utf8_lossy(&request).to_ascii_lowercase();
    let id = request.lines().find(|line| line.starts_with(names::ATTEMPT_ID.as_str())).unwrap_or_default();
    let begun =
        "HTTP/1.1 200 OK\r\nID\r\nSIGNATURE: s\r\ntransfer-encoding: chunked\r\n\r\n10\r\nid: 0\ndata: a\n\nid\r\n";
    let answer = if request.contains(names::LAST_EVENT_ID.as_str()) { later_answer } else { begun };
    let answer = answer.replace("ID\r\n", &format!("{id}\r\n"));
    let answer = answer.replace("SIGNATURE", names::SIGNATURE.as_str()).replace("NOT_RUN", names::NOT_RUN.as_str());
    // It fails only if the VM has closed the connection.
    connection.write_all(answer.as_bytes()).ok();
}

/// Sends a request and reads all bytes until the VM closes the connection.
fn read_answer(vm: SocketAddr) -> String {
    let mut connection = TcpStream::connect(vm).expect("the VM listens");
    let head = format!(
        "POST /reviews/7 HTTP/1.1\r\nhost: gigs.example\r\n{}: request-1\r\n{}: 8000\r\n{}: 2,1\r\n{}: piece-key\r\n\
         authorization: Bearer key-of-a-client\r\ncontent-length: 4\r\n\r\nbody",
        names::ATTEMPT_ID,
        names::DEADLINE_MS,
        names::PIECES,
        names::PIECE_KEY
    );
    connection.write_all(head.as_bytes()).expect("the VM reads");
    let mut answer = Vec::new();
    // A reset is one way to show that the answer is not complete.
    connection.read_to_end(&mut answer).ok();
    String::from_utf8_lossy(&answer).into_owned()
}

#[test]
fn a_begun_stream_neither_holds_an_error_of_the_next_endpoint_nor_ends_as_complete() {
    let (stage_address, _) = stage_endpoint();
    for (name, later_answer) in LATER_ANSWERS {
        let engines = ["i-one", "i-other"].map(|id| endpoint(id, "models", breaking_endpoint(later_answer)));
        let vm = start_vm(&[engines[0].clone(), engines[1].clone(), endpoint("i-rates", "rates", stage_address)]);
        let answer = read_answer(vm.address("clients"));
        assert!(answer.starts_with("HTTP/1.1 200 ") && answer.contains("id: 0\ndata: a\n\n"), "{name}: {answer}");
        assert!(!answer.contains("failure text") && answer.matches("HTTP/1.1").count() == 1, "{name}: {answer}");
        assert!(!answer.ends_with("0\r\n\r\n"), "{name} must not look complete: {answer}");
        // The log is written a moment after what it tells.
        wait_until("the stream was to go on at another endpoint", || vm.lines_of("request sent").len() >= 2);
    }
}
