//! Listening sockets: bound by this process, or kept open by the platform and inherited by every version of the
//! program. From an inherited one an older and a newer process accept side by side, without exchanging messages.

use crate::broker::Broker;
use filedescriptor::FileDescriptor;
use socket2::{Socket, Type};
use std::io;
use std::net::SocketAddr;
use std::os::fd::OwnedFd;
use std::rc::Rc;
use tokio::net::{TcpListener, TcpSocket, TcpStream};

/// Interval in microseconds at which a process that is ending looks at a shared accept queue. A connection that still
/// waits there has no other process to accept it: the successor has died, or there is none.
const SHARED_QUEUE_INTERVAL: u64 = 50_000;

/// Number of connections that the kernel queues until this process accepts them.
const LISTEN_BACKLOG: u32 = 1_024;

/// An address that is reserved for this process before it accepts connections there. On a socket that it bound itself
/// it does not listen yet, so the kernel refuses connections as it does while the process is down. An inherited socket
/// listens already; connections are queued but not accepted.
pub enum ReservedAddress {
    /// A socket bound by this process.
    Bound(TcpSocket),
    /// A listening socket inherited from the platform.
    Inherited(Listener),
}

impl ReservedAddress {
    /// Binds `address` without listening.
    pub fn bind(address: SocketAddr) -> Result<ReservedAddress, String> {
        let bound = || {
            let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
            socket.set_reuseaddr(true)?;
            socket.bind(address)?;
            Ok(socket)
        };
        bound().map(ReservedAddress::Bound).map_err(|e: io::Error| format!("cannot listen on {address}: {e}"))
    }

    /// Returns whether another process may accept connections here too.
    pub fn is_shared(&self) -> bool {
        matches!(self, ReservedAddress::Inherited(_))
    }

    /// Starts listening.
    pub fn listen(self) -> Result<Listener, String> {
        match self {
            ReservedAddress::Bound(socket) => {
                let listening = socket.listen(LISTEN_BACKLOG).map_err(|e| format!("cannot listen: {e}"))?;
                Ok(Listener { socket: listening, shared: false })
            }
            ReservedAddress::Inherited(listener) => Ok(listener),
        }
    }
}

/// A listening socket.
pub struct Listener {
    socket: TcpListener,
    shared: bool,
}

impl Listener {
    /// Binds `address` and listens there; the socket is not shared with other processes.
    pub fn bind(address: SocketAddr) -> Result<Listener, String> {
        ReservedAddress::bind(address)?.listen()
    }

    /// Returns the listener passed as `descriptor`, which must be a TCP socket that listens at `address`.
    pub fn inherited(descriptor: &str, address: SocketAddr) -> Result<Listener, String> {
        let error_text =
            |why: String| format!("LB_FD: {why}; pass the listening socket of {address}, or unset LB_FD");
        let number: i32 = match descriptor.parse() {
            Ok(number) if number > 2 => number,
            _ => return Err(error_text(format!("{descriptor:?} is no descriptor that can be passed"))),
        };
        let unusable =
            |e: &dyn std::fmt::Display| error_text(format!("descriptor {number} cannot be taken: {e}"));
        let duplicate =
            FileDescriptor::dup(&number).map_err(|e| unusable(&e))?.as_file().map_err(|e| unusable(&e))?;
        let socket = Socket::from(OwnedFd::from(duplicate));
        let listens =
            socket.r#type().is_ok_and(|t| t == Type::STREAM) && socket.is_listener().unwrap_or(false);
        let local = socket.local_addr().ok().and_then(|local| local.as_socket());
        match local {
            Some(local) if listens && local == address => {}
            Some(local) if listens => {
                return Err(error_text(format!("descriptor {number} listens on {local}")))
            }
            _ => return Err(error_text(format!("descriptor {number} is no listening TCP socket"))),
        }
        let socket = socket.set_nonblocking(true).and_then(|()| TcpListener::from_std(socket.into()));
        Ok(Listener { socket: socket.map_err(|e| unusable(&e))?, shared: true })
    }

    /// Returns the address that it listens on.
    pub fn local_address(&self) -> Result<SocketAddr, String> {
        self.socket.local_addr().map_err(|e| e.to_string())
    }

    /// Accepts the next connection. While this process is ending and the socket is shared, only connections that no
    /// other process accepts are taken.
    pub async fn accept(&self, broker: &Rc<Broker>) -> io::Result<(TcpStream, SocketAddr)> {
        while self.shared && broker.is_shutting_down() {
            tokio::select! {
                biased;
                accepted = self.socket.accept() => return accepted,
                () = std::future::ready(()) => {}
            }
            broker.sleep(SHARED_QUEUE_INTERVAL).await;
        }
        self.socket.accept().await
    }
}
