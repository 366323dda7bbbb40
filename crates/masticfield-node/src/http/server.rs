//! HTTP server with limits and graceful shutdown.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use http::header::CONTENT_TYPE;
use http::{HeaderValue, Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioTimer;
use hyper_util::server::graceful::GracefulShutdown;
use masticfield_core::kernel::Shutdown;
use serde::Serialize;
use snafu::ResultExt;
use tokio::net::{TcpListener, TcpSocket, TcpStream};

use super::connection_io::ConnectionIo;
use super::connections::Connections;
use super::error::BindSnafu;
use super::{BindError, Bodies, ConnectionMetrics, HttpLimits, RequestBody, ResourceBounds};

/// Default limit of hyper on the number of headers of a request.
const HYPER_MAX_HEADERS: usize = 100;

/// Maximum number of connections that wait to be accepted.
const BACKLOG: u32 = 1_024;

/// A response with its complete body.
pub type Reply = Response<Full<Bytes>>;

/// An HTTP server on a bound listener.
#[derive(Debug)]
pub struct Server {
    name: &'static str,
    listener: TcpListener,
    limits: HttpLimits,
    bodies: Bodies,
    metrics: ConnectionMetrics,
}

impl Server {
    /// Binds a listener; `flag` names the setting in errors and logs.
    ///
    /// # Errors
    ///
    /// Fails if the address is in use or does not belong to this host.
    #[expect(
        clippy::unused_async,
        reason = "callers await it, and sockets need a runtime"
    )]
    pub async fn bind(
        flag: &'static str,
        address: SocketAddr,
        limits: HttpLimits,
    ) -> Result<Self, BindError> {
        let listener =
            listen(address, limits.receive_buffer()).context(BindSnafu { flag, address })?;
        Ok(Self {
            name: flag,
            listener,
            limits,
            bodies: Bodies::new(ResourceBounds::default()),
            metrics: ConnectionMetrics::new(),
        })
    }

    /// Sets the table of request bodies, which all listeners of a process share; without it, the
    /// listener has a table of its own with the default bounds.
    #[must_use]
    pub fn bodies(mut self, bodies: Bodies) -> Self {
        self.bodies = bodies;
        self
    }

    /// Sets the metrics of connections, which all listeners of a process share.
    #[must_use]
    pub fn metrics(mut self, metrics: &ConnectionMetrics) -> Self {
        self.metrics = metrics.of_listener(self.name);
        self
    }

    /// Returns the address that the listener is bound to.
    ///
    /// # Panics
    ///
    /// Panics if the operating system does not report the address, which does not occur for a bound
    /// listener.
    pub fn address(&self) -> SocketAddr {
        self.listener
            .local_addr()
            .expect("a bound listener has an address")
    }

    /// Serves until the shutdown is triggered and the HTTP requests in flight are done.
    ///
    /// After the trigger, connections are still accepted for the linger time, and those that are
    /// pending at its end are served. Requests in flight then have the drain timeout to finish,
    /// after which they are cut.
    pub async fn serve<F>(
        self,
        mut shutdown: Shutdown,
        handler: impl Fn(Request<RequestBody>, SocketAddr) -> F + Clone + Send + Sync + 'static,
    ) where
        F: Future<Output = Reply> + Send + 'static,
    {
        let connections = Connections::new(self.limits.max_connections(), self.metrics.clone());
        let graceful = GracefulShutdown::new();
        let linger = async {
            shutdown.requested().await;
            tokio::time::sleep(self.limits.linger()).await;
        };
        tokio::pin!(linger);
        let mut closing = false;
        loop {
            let accepted = tokio::select! {
                biased;
                accepted = self.accept() => accepted,
                () = std::future::ready(()), if closing => break,
                () = &mut linger, if !closing => {
                    closing = true;
                    continue;
                }
            };
            let Some((stream, peer)) = accepted else {
                continue;
            };
            let Some((connection, closed)) = connections.admit() else {
                continue;
            };
            connections.wait_for_closed().await;
            let connection = Arc::new(connection);
            let io =
                ConnectionIo::new(stream, Arc::clone(&connection), self.limits.write_timeout());
            let (handler, bodies) = (handler.clone(), self.bodies.clone());
            let respond = service_fn(move |req: Request<Incoming>| {
                let connection = Arc::clone(&connection);
                let body = |body| RequestBody::new(body, bodies.clone(), Arc::clone(&connection));
                let reply = handler(req.map(body), peer);
                async move {
                    let reply = reply.await;
                    connection.end_handling();
                    Ok::<_, std::convert::Infallible>(reply)
                }
            });
            let served = graceful.watch(self.protocol().serve_connection(io, respond));
            tokio::spawn(async move {
                // Errors of one connection do not affect the server.
                tokio::select! {
                    biased;
                    _ = closed => {}
                    _ = served => {}
                }
            });
        }
        drop(self.listener);
        if tokio::time::timeout(self.limits.drain_timeout(), graceful.shutdown())
            .await
            .is_err()
        {
            log::warn!(listener = self.name; "requests in flight were cut after the drain timeout");
        }
    }

    async fn accept(&self) -> Option<(TcpStream, SocketAddr)> {
        match self.listener.accept().await {
            Ok((stream, peer)) => {
                // Without `TCP_NODELAY`, responses are only slower.
                drop(stream.set_nodelay(true));
                Some((stream, peer))
            }
            Err(error) => {
                log::warn!(listener = self.name, error:%; "a connection could not be accepted");
                tokio::time::sleep(std::time::Duration::from_millis(10)).await;
                None
            }
        }
    }

    fn protocol(&self) -> http1::Builder {
        let mut protocol = http1::Builder::new();
        protocol
            .timer(TokioTimer::new())
            .header_read_timeout(self.limits.header_timeout())
            .max_buf_size(self.limits.max_header_bytes());
        if self.limits.max_headers() != HYPER_MAX_HEADERS {
            // Setting any limit makes hyper allocate for each request.
            protocol.max_headers(self.limits.max_headers());
        }
        protocol
    }
}

/// Listens with a receive buffer of a fixed size, which accepted connections inherit.
fn listen(address: SocketAddr, receive_buffer: u32) -> io::Result<TcpListener> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4(),
        SocketAddr::V6(_) => TcpSocket::new_v6(),
    }?;
    socket.set_reuseaddr(true)?;
    // The listener works with any other size as well.
    drop(socket.set_recv_buffer_size(receive_buffer));
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// Creates a response with a JSON body.
///
/// # Panics
///
/// Panics if `body` cannot be serialized as JSON, which is a bug of its type.
pub fn json_reply(status: StatusCode, body: &impl Serialize) -> Reply {
    let json = serde_json::to_vec(body).expect("replies are plain data");
    reply(status, "application/json", json)
}

/// Creates a response with a plain-text body.
pub fn text_reply(status: StatusCode, body: impl Into<Bytes>) -> Reply {
    reply(status, "text/plain; charset=utf-8", body)
}

fn reply(status: StatusCode, content_type: &'static str, body: impl Into<Bytes>) -> Reply {
    let mut reply = Response::new(Full::new(body.into()));
    *reply.status_mut() = status;
    reply
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static(content_type));
    reply
}
