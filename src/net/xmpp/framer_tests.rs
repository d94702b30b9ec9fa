use super::*;
use proptest::prelude::*;

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

/// Returns the units that a framer finds in a stream that arrives in these pieces.
fn units_of(pieces: impl Iterator<Item = Vec<u8>>) -> Result<Vec<String>, StreamEnd> {
    let (mut framer, mut buffered, mut units) = (Framer::new(), Vec::new(), Vec::new());
    for piece in pieces {
        buffered.extend(piece);
        while let Some((_, n)) = framer.next_unit(&buffered)? {
            let unit: Vec<u8> = buffered.drain(..n).collect();
            units.push(String::from_utf8(unit).expect("whole letters"));
        }
    }
    assert!(buffered.is_empty(), "left over: {buffered:?}");
    Ok(units)
}

/// Text of a stanza in the forms that XML allows: letters of one to four bytes, references, line ends, CDATA sections.
fn text() -> impl Strategy<Value = String> {
    let part = prop_oneof![
        "[a-z ]{0,6}",
        "[à-ÿ]{1,3}",
        "[あ-ん]{1,3}",
        "[😀-😏]{1,2}",
        Just("&amp;&lt;&#38;&#x1F600;".to_string()),
        Just("]]&gt; ] ]] >".to_string()),
        Just("\r\n\r\t\n".to_string()),
        "<!\\[CDATA\\[[a-zé<&]{0,4}\\]\\]>",
        Just("<![CDATA[]]>".to_string()),
        Just("<![CDATA[]]]>".to_string()),
        Just("<![CDATA[a]b]]c]]>".to_string()),
        Just("<b/>".to_string()),
        Just("<b c='é\"&quot;>'>ü</b >".to_string()),
    ];
    proptest::collection::vec(part, 0..6).prop_map(|parts| parts.concat())
}

/// One unit: a stanza, or white space of which each byte may be a unit of its own.
fn unit() -> impl Strategy<Value = String> {
    prop_oneof![
        4 => text().prop_map(|text| format!("<message to='é@x'><body>{text}</body></message>")),
        1 => Just("<presence/>".to_string()),
        1 => Just("<r xmlns='urn:xmpp:sm:3' />".to_string()),
        1 => "[ \t\n]{1,3}",
    ]
}

/// Returns the units with adjacent white space joined: it may be split or joined at will.
fn join_white_space(units: Vec<String>) -> Vec<String> {
    let mut joined: Vec<String> = Vec::new();
    for unit in units {
        match joined.last_mut() {
            Some(last) if last.trim().is_empty() && unit.trim().is_empty() => last.push_str(&unit),
            _ => joined.push(unit),
        }
    }
    joined
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(2_000))]

    /// Every unit comes whole and alone, byte for byte, wherever the stream is cut: inside a letter, a reference or a CDATA
    /// section. Otherwise its last bytes are held back until the next one comes.
    #[test]
    fn units_are_found_whole_wherever_the_stream_is_cut(
        units in proptest::collection::vec(unit(), 1..6),
        cuts in proptest::collection::vec(1usize..8, 1..40),
    ) {
        let header = format!("<?xml version='1.0'?><stream:stream to='é.example' xmlns:stream='{STREAMS}'>");
        let mut sent = vec![header];
        sent.extend(units);
        sent.push(CLOSE.to_string());
        let bytes = sent.concat().into_bytes();
        let (mut lengths, mut at) = (cuts.into_iter().cycle(), 0);
        let pieces = std::iter::from_fn(|| {
            let n = lengths.next()?.min(bytes.len() - at);
            at += n;
            (n > 0).then(|| bytes[at - n..at].to_vec())
        });
        let found = units_of(pieces).expect("well-formed");
        prop_assert_eq!(join_white_space(found), join_white_space(sent.clone()));
        let at_once = units_of(std::iter::once(bytes.clone())).expect("well-formed");
        prop_assert_eq!(join_white_space(at_once), join_white_space(sent));
    }
}
