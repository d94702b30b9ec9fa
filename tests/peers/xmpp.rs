//! The client's and the server's side of an XMPP log-in.

use super::{Balancer, LineConnection};
use base64::Engine;
use std::net::SocketAddr;

pub const OPENING: &str =
    "<?xml version='1.0'?><stream:stream to='desk.example' version='1.0' xmlns='jabber:client' \
                       xmlns:stream='http://etherx.jabber.org/streams'>";
pub const FEATURES: &str = "<stream:features><mechanisms xmlns='urn:ietf:params:xml:ns:xmpp-sasl'>\
                        <mechanism>PLAIN</mechanism></mechanisms></stream:features>";
pub const SUCCESS: &str = "<success xmlns='urn:ietf:params:xml:ns:xmpp-sasl'/>";

/// Returns the credentials of a user.
pub fn auth(user: &str) -> String {
    let credentials = base64::engine::general_purpose::STANDARD.encode(format!("\0{user}\0secret"));
    format!("<auth xmlns='urn:ietf:params:xml:ns:xmpp-sasl' mechanism='PLAIN'>{credentials}</auth>")
}

/// Opens a stream and sends a login.
pub fn log_in(balancer: &Balancer, user: &str) -> LineConnection {
    let mut client = LineConnection::connect(balancer.xmpp_address.unwrap());
    client.send_text(OPENING).receive_until("</stream:features>");
    client.send_text(&auth(user));
    client
}

/// Logs in and sends the header of the new stream.
pub fn log_in_and_reopen(balancer: &Balancer, user: &str) -> LineConnection {
    let mut client = log_in(balancer, user);
    client.receive_until(SUCCESS);
    client.send_text(OPENING);
    client
}

/// Logs in and opens the new stream, up to its features.
pub fn establish(balancer: &Balancer, user: &str) -> LineConnection {
    let mut client = log_in_and_reopen(balancer, user);
    client.receive_until("<stream:features/>");
    client
}

/// Accepts a client's log-in, as the server, and reads the header of its new stream.
pub fn accept_login(peer: &mut LineConnection) {
    peer.receive_until("version='1.0'");
    peer.receive_until(">");
    peer.send_text(OPENING).send_text(FEATURES).receive_until("</auth>");
    peer.send_text(SUCCESS).receive_until("/streams'>");
}

/// Returns the operator's file of an XMPP front whose only server, `s-00000001`, has this address.
pub fn operator_file(server: SocketAddr) -> String {
    format!(
        "[xmpp]\nlisten = \"127.0.0.1:0\"\n[xmpp.instances]\n\"s-00000001\" = \"{server}\"\n\
         [[xmpp.service]]\ndomain = \"desk.example\"\nclass = \"watch\"\ngroup = \"jid\"\n"
    )
}
