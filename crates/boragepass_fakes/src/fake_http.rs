//! HTTP listener of a stand-in, which can be stopped and started again on its port.

use std::future::Future;
use std::net::SocketAddr;

use async_std::net::{TcpListener, TcpStream};
use async_std::stream::StreamExt;
use boragepass_server::Tasks;
use http_types::{Request, Response, StatusCode};
use serde::Serialize;

/// Serves requests until the tasks end. Gives the address that was bound.
pub(crate) async fn serve<F, Fut>(address: SocketAddr, tasks: &Tasks, answer: F) -> std::io::Result<SocketAddr>
where
    F: Fn(Request) -> Fut + Clone + Send + Sync + 'static,
    Fut: Future<Output = Option<Response>> + Send + 'static,
{
    let listener = TcpListener::bind(address).await?;
    let bound = listener.local_addr()?;
    let inner = tasks.clone();
    tasks.spawn(async move {
        let mut incoming = listener.incoming();
        while let Some(Ok(stream)) = incoming.next().await {
            let answer = answer.clone();
            inner.spawn(async move { serve_connection(stream, answer).await });
        }
    });
    Ok(bound)
}

async fn serve_connection<F, Fut>(stream: TcpStream, answer: F)
where
    F: Fn(Request) -> Fut + Clone + Send + Sync + 'static,
    Fut: Future<Output = Option<Response>> + Send + 'static,
{
    stream.set_nodelay(true).ok();
    let endpoint = move |request| {
        let answer = answer(request);
        async move {
            // No response stands for a reply that is lost: the connection breaks.
            answer.await.ok_or_else(|| http_types::Error::from_str(StatusCode::InternalServerError, "lost"))
        }
    };
    async_h1::accept(stream, endpoint).await.ok();
}

/// Response with a JSON body.
pub(crate) fn json(status: StatusCode, value: &impl Serialize) -> Response {
    let mut response = Response::new(status);
    response.set_body(serde_json::to_string(value).unwrap_or_default());
    response
}
