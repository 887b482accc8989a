//! HTTP server for the listeners that answer each request with a page and take no client requests:
//! readiness, addresses, metrics and status.

use std::convert::Infallible;
use std::rc::Rc;

use async_std::net::TcpListener;
use async_std::task;
use boragepass_path::Record;
use boragepass_server::{AcceptChange, Acceptor};
use bytes::Bytes;
use futures::future::Abortable;
use http::header::{CONTENT_TYPE, HeaderValue};
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;

use crate::client_server::hold_connection;
use crate::driver::Driver;
use crate::http_io::WatchedIo;

/// Largest head of a request.
const HEAD_BYTES_MAX: usize = 16 * 1_024;
/// Memory of a connection.
const CONNECTION_BYTES: usize = 32 * 1_024;

/// Response with a body that is known in full.
pub(crate) struct Page {
    pub(crate) status: StatusCode,
    pub(crate) content_type: &'static str,
    pub(crate) body: Vec<u8>,
}

impl Page {
    pub(crate) fn json(body: Vec<u8>) -> Self {
        Self { status: StatusCode::OK, content_type: "application/json", body }
    }

    pub(crate) fn text(status: StatusCode, body: impl Into<Vec<u8>>) -> Self {
        Self { status, content_type: "text/plain; charset=utf-8", body: body.into() }
    }
}

/// Accepts connections and answers their requests until the process ends.
pub(crate) async fn serve(
    driver: Rc<Driver>,
    listener: TcpListener,
    page_handler: impl Fn(&Request<Incoming>) -> Page + 'static,
) {
    let page_handler = Rc::new(page_handler);
    let mut acceptor = Acceptor::new(listener, |change| driver.record(&accept_record(change, "pages")));
    loop {
        let stream = acceptor.accept().await;
        // Without memory for it, the connection is closed before anything of it is read.
        let Ok((io, connection, closing)) = hold_connection(&driver.budget, stream, CONNECTION_BYTES) else {
            continue;
        };
        let page_handler = page_handler.clone();
        task::spawn_local(async move {
            let _closed = Abortable::new(serve_connection(io, page_handler), closing).await;
            drop(connection);
        });
    }
}

/// Log line of a change of whether a listener accepts connections.
pub(crate) fn accept_record(change: AcceptChange, listener: &'static str) -> Record {
    match change {
        AcceptChange::Failing(error) => {
            Record::new("connections not accepted").text("listener", listener).text("error", error)
        }
        AcceptChange::Recovered(failures) => {
            Record::new("connections accepted again").text("listener", listener).number("failures", failures)
        }
    }
}

async fn serve_connection(io: WatchedIo, page_handler: Rc<impl Fn(&Request<Incoming>) -> Page>) {
    let service = service_fn(|request| {
        let page = page_handler(&request);
        async move {
            let mut response = Response::new(Full::new(Bytes::from(page.body)));
            *response.status_mut() = page.status;
            response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static(page.content_type));
            Ok::<_, Infallible>(response)
        }
    });
    // An error means that the client disconnected, so there is nobody to answer.
    http1::Builder::new().max_buf_size(HEAD_BYTES_MAX).serve_connection(io, service).await.ok();
}
