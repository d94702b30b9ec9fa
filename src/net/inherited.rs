//! Where clients come in: a socket that this process bound itself, or one that the platform keeps and every version of
//! the program inherits. From the latter an older and a newer process take side by side; no word passes between them.

use crate::broker::Broker;
use filedescriptor::FileDescriptor;
use socket2::{Socket, Type};
use std::io;
use std::net::SocketAddr;
use std::os::fd::OwnedFd;
use std::rc::Rc;
use tokio::net::{TcpListener, TcpStream};

/// What a process that leaves finds waiting in a shared queue after this long has nobody else to take it: the process
/// after it has died, or there is none.
const UNTAKEN: u64 = 50_000;

/// A listening socket.
pub struct Listener {
    socket: TcpListener,
    shared: bool,
}

impl Listener {
    /// One of our own.
    pub async fn bind(address: SocketAddr) -> Result<Listener, String> {
        let socket = TcpListener::bind(address).await;
        let socket = socket.map_err(|e| format!("cannot listen on {address}: {e}"))?;
        Ok(Listener { socket, shared: false })
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

    /// Whether another process may take from its queue too.
    pub fn shared(&self) -> bool {
        self.shared
    }

    /// Where it listens.
    pub fn at(&self) -> Result<SocketAddr, String> {
        self.socket.local_addr().map_err(|e| e.to_string())
    }

    /// The next connection. Where the queue is shared and this process leaves, only one that nobody else takes.
    pub async fn accept(&self, broker: &Rc<Broker>) -> io::Result<(TcpStream, SocketAddr)> {
        while self.shared && broker.leaving() {
            tokio::select! {
                biased;
                came = self.socket.accept() => return came,
                () = std::future::ready(()) => {}
            }
            broker.after(UNTAKEN).await;
        }
        self.socket.accept().await
    }
}
