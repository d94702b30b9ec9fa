use super::*;

/// Guards against keep-alive white space being taken for a stalled stanza.
#[test]
fn white_space_between_stanzas_is_a_unit_at_once_and_a_partial_stanza_is_none() {
    let mut framer = Framer::new();
    let mut data = format!("<stream:stream xmlns:stream='{STREAMS}'>").into_bytes();
    let Ok(Some((Unit::Header(_), n))) = framer.next_unit(&data) else { panic!("the header") };
    data.drain(..n);
    data.push(b' ');
    let Ok(Some((Unit::Space, 1))) = framer.next_unit(&data) else { panic!("the white space") };
    data.clear();
    data.extend(b"<a><b/>");
    assert!(matches!(framer.next_unit(&data), Ok(None)));
    data.extend(b"</a> ");
    assert!(matches!(framer.next_unit(&data), Ok(Some((Unit::Stanza(_), 11)))));
}
