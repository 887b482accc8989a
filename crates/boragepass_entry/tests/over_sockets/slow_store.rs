//! A configuration that takes longer to arrive than a call of the store may take.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

use boragepass_path::Endpoint;
use boragepass_platform::{Row, RowPage, encode_changes, encode_endpoint, encode_rows, names};
use bytes::Bytes;

use crate::support::{EntryVm, Reply, serve};
use crate::{CONFIGURATION, configuration_of, endpoint, wait_until};

/// Parts in which the configuration arrives, and the pause before each.
const PARTS: usize = 20;
const PART_PAUSE: Duration = Duration::from_millis(100);

/// Starts a fake store whose reply with the configuration arrives in parts.
fn slow_store(endpoint: &Endpoint) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    let value = Bytes::from(CONFIGURATION);
    let configuration = vec![Row { key: names::CONFIGURATION_KEY.to_owned(), value, version: 1 }];
    let entry = Row { key: endpoint.id.to_string(), value: encode_endpoint(endpoint).into(), version: 2 };
    std::thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let rows = (configuration.clone(), vec![entry.clone()]);
            std::thread::spawn(move || answer_calls(stream, &rows));
        }
    });
    address
}

fn answer_calls(mut stream: TcpStream, (configuration, endpoints): &(Vec<Row>, Vec<Row>)) {
    let mut reader = BufReader::new(stream.try_clone().expect("a second handle"));
    let mut request = String::new();
    while reader.read_line(&mut request).is_ok_and(|len| len > 2) {}
    let is_of = |table: &str| request.contains(&format!("table={table}&"));
    let is_configuration = is_of(names::CONFIGURATION_TABLE) && !request.contains("waitMs=");
    let body = if request.contains("waitMs=") {
        std::thread::sleep(Duration::from_millis(500));
        encode_changes("", &RowPage::last(Vec::new(), 3))
    } else if is_configuration {
        encode_rows(names::CONFIGURATION_TABLE, &RowPage::last(configuration.clone(), 3))
    } else if is_of(names::ENDPOINT_TABLE) {
        encode_rows(names::ENDPOINT_TABLE, &RowPage::last(endpoints.clone(), 3))
    } else {
        encode_rows("", &RowPage::last(Vec::new(), 3))
    };
    let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\nconnection: close\r\n\r\n", body.len());
    let mut is_sent = stream.write_all(head.as_bytes()).is_ok();
    for part in body.chunks(body.len().div_ceil(PARTS)) {
        if is_configuration {
            std::thread::sleep(PART_PAUSE);
        }
        is_sent = is_sent && stream.write_all(part).is_ok();
    }
}

#[test]
fn a_configuration_that_arrives_slowly_is_read_to_its_end() {
    let (api, _) = serve(|got| Some(Reply::signed(got, "sound")));
    let vm = EntryVm::start(slow_store(&endpoint("i-api", "api", api)));
    wait_until("the configuration is in force", || configuration_of(&vm).is_some());
}
