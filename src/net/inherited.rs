//! Where clients come in: a socket that this process bound itself, or one that the platform keeps and every version of
//! the program inherits. From the latter an older and a newer process take side by side; no word passes between them.

use crate::broker::Broker;
use filedescriptor::FileDescriptor;
use socket2::{Socket, Type};
use std::io;
use std::net::SocketAddr;
use std::os::fd::OwnedFd;
use std::rc::Rc;
use tokio::net::{TcpListener, TcpSocket, TcpStream};

/// What a process that leaves finds waiting in a shared queue after this long has nobody else to take it: the process
/// after it has died, or there is none.
const UNTAKEN: u64 = 50_000;

/// Connections that the system holds for this process until they are accepted.
const BACKLOG: u32 = 1_024;

/// An address that belongs to this process, which does not listen there yet: the system refuses connections, as it does while
/// the process is down. One that is inherited listens already, and is only not accepted from.
pub enum Reserved {
    /// Bound by this process.
    Bound(TcpSocket),
    /// Inherited from the platform.
    Inherited(Listener),
}

impl Reserved {
    /// Binds the address.
    pub fn bind(address: SocketAddr) -> Result<Reserved, String> {
        let bound = || {
            let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
            socket.set_reuseaddr(true)?;
            socket.bind(address)?;
            Ok(socket)
        };
        bound().map(Reserved::Bound).map_err(|e: io::Error| format!("cannot listen on {address}: {e}"))
    }

    /// Whether another process may accept connections here too.
    pub fn shared(&self) -> bool {
        matches!(self, Reserved::Inherited(_))
    }

    /// Listens from now on.
    pub fn listen(self) -> Result<Listener, String> {
        match self {
            Reserved::Bound(socket) => {
                let listening = socket.listen(BACKLOG).map_err(|e| format!("cannot listen: {e}"))?;
                Ok(Listener { socket: listening, shared: false })
            }
            Reserved::Inherited(listener) => Ok(listener),
        }
    }
}

/// A listening socket.
pub struct Listener {
    socket: TcpListener,
    shared: bool,
}

impl Listener {
    /// One of our own.
    pub fn bind(address: SocketAddr) -> Result<Listener, String> {
        Reserved::bind(address)?.listen()
    }

    /// The one that came as this descriptor, which must listen at this address.
    pub fn inherited(descriptor: &str, address: SocketAddr) -> Result<Listener, String> {
        let wrong =
            |why: String| format!("LB_FD: {why}; pass the listening socket of {address}, or unset LB_FD");
        let number: i32 = match descriptor.parse() {
            Ok(number) if number > 2 => number,
            _ => return Err(wrong(format!("{descriptor:?} is no descriptor that could be passed"))),
        };
        let none = |e: &dyn std::fmt::Display| wrong(format!("descriptor {number} cannot be taken: {e}"));
        let taken = FileDescriptor::dup(&number).map_err(|e| none(&e))?.as_file().map_err(|e| none(&e))?;
        let socket = Socket::from(OwnedFd::from(taken));
        let listens =
            socket.r#type().is_ok_and(|t| t == Type::STREAM) && socket.is_listener().unwrap_or(false);
        let at = socket.local_addr().ok().and_then(|at| at.as_socket());
        match at {
            Some(at) if listens && at == address => {}
            Some(at) if listens => return Err(wrong(format!("descriptor {number} listens on {at}"))),
            _ => return Err(wrong(format!("descriptor {number} is no listening TCP socket"))),
        }
        let socket = socket.set_nonblocking(true).and_then(|()| TcpListener::from_std(socket.into()));
        Ok(Listener { socket: socket.map_err(|e| none(&e))?, shared: true })
    }

    /// Where it listens.
    pub fn at(&self) -> Result<SocketAddr, String> {
        self.socket.local_addr().map_err(|e| e.to_string())
    }

    /// The next connection. Where the queue is shared and this process leaves, only one that nobody else takes.
    pub async fn accept(&self, broker: &Rc<Broker>) -> io::Result<(TcpStream, SocketAddr)> {
        while self.shared && broker.is_shutting_down() {
            tokio::select! {
                biased;
                came = self.socket.accept() => return came,
                () = std::future::ready(()) => {}
            }
            broker.sleep(UNTAKEN).await;
        }
        self.socket.accept().await
    }
}
