//! HTTP/1.1 listener of a fake, which can be stopped and started again on the same port.

use std::future::Future;
use std::net::SocketAddr;

use async_std::net::{TcpListener, TcpStream};
use async_std::stream::StreamExt;
use boragepass_server::Tasks;
use http_types::{Request, Response, StatusCode};
use serde::Serialize;

/// Serves requests until the tasks are aborted. Returns the bound address.
pub(crate) async fn serve<F, Fut>(address: SocketAddr, tasks: &Tasks, handler: F) -> std::io::Result<SocketAddr>
where
    F: Fn(Request) -> Fut + Clone + Send + Sync + 'static,
    Fut: Future<Output = Option<Response>> + Send + 'static,
{
    let listener = TcpListener::bind(address).await?;
    let bound = listener.local_addr()?;
    let connection_tasks = tasks.clone();
    tasks.spawn(async move {
        let mut incoming = listener.incoming();
        while let Some(Ok(stream)) = incoming.next().await {
            let handler = handler.clone();
            connection_tasks.spawn(async move { serve_connection(stream, handler).await });
        }
    });
    Ok(bound)
}

async fn serve_connection<F, Fut>(stream: TcpStream, handler: F)
where
    F: Fn(Request) -> Fut + Clone + Send + Sync + 'static,
    Fut: Future<Output = Option<Response>> + Send + 'static,
{
    stream.set_nodelay(true).ok();
    let respond = move |request| {
        let reply = handler(request);
        async move {
            // A handler without a response stands for a lost reply: the connection breaks.
            reply.await.ok_or_else(|| http_types::Error::from_str(StatusCode::InternalServerError, "lost"))
        }
    };
    async_h1::accept(stream, respond).await.ok();
}

/// Response with a JSON body.
pub(crate) fn json_response(status: StatusCode, value: &impl Serialize) -> Response {
    let mut response = Response::new(status);
    response.set_body(serde_json::to_string(value).unwrap_or_default());
    response
}
