use super::*;

fn parse_in_chunks(text: &str, chunk_bytes: usize) -> Vec<Value> {
    let mut parser = ListParser::default();
    let mut values = Vec::new();
    for chunk in text.as_bytes().chunks(chunk_bytes) {
        parser.push(&Bytes::copy_from_slice(chunk));
        while let Some(item) = parser.next().unwrap() {
            if let Item::List(value) = item {
                values.push(value);
            }
        }
    }
    values
}

#[test]
fn objects_may_be_split_anywhere_and_indented_over_lines() {
    let first = serde_json::json!({"revision": 1, "members": [{"id": "a}\n{"}, {"id": "b"}]});
    let second = serde_json::json!({"revision": 2, "members": []});
    let indented = serde_json::to_string_pretty(&first).unwrap();
    for text in [format!("{first}\r\n\n{second}\n"), format!("\n{indented}\n\n{second}\n{first}\n")] {
        let whole = parse_in_chunks(&text, text.len());
        assert_eq!(whole[..2], [first.clone(), second.clone()]);
        for chunk_bytes in 1..60 {
            assert_eq!(parse_in_chunks(&text, chunk_bytes), whole, "in chunks of {chunk_bytes} bytes");
        }
    }
}

#[test]
fn empty_line_is_a_keep_alive_and_invalid_json_is_an_error() {
    let mut parser = ListParser::default();
    parser.push(&Bytes::from_static(b"\n"));
    assert_eq!(parser.next().unwrap(), Some(Item::KeepAlive));
    assert_eq!(parser.next().unwrap(), None);
    parser.push(&Bytes::from_static(b"{\"a\" 7}"));
    assert!(parser.next().unwrap_err().to_string().contains("expected `:`"));
    let mut parser = ListParser::default();
    parser.push(&Bytes::from_static(b"<html>"));
    assert!(parser.next().unwrap_err().to_string().contains("expected an object"));
}

#[test]
fn endless_list_is_an_error() {
    let mut parser = ListParser::default();
    parser.push(&Bytes::from_static(b"{\"members\": "));
    parser.push(&Bytes::from(vec![b'['; MAX_LIST_BYTES]));
    assert!(parser.next().unwrap_err().to_string().contains("longer than"));
}

// A list that has arrived whole must not wait for the end of the next one, which may never come.
#[test]
fn a_whole_list_does_not_wait_for_the_next_one() {
    let first = serde_json::json!({"revision": 1, "members": [{"id": "\\\"}{"}]});
    let indented = serde_json::to_string_pretty(&first).unwrap();
    let next = r#"{"revision": 2, "members": [{"id": "s}-1"}"#;
    for text in [format!("{first}\n"), format!("{first}"), format!("{indented}\r\n")] {
        for cut in 0..next.len() {
            let mut parser = ListParser::default();
            parser.push(&Bytes::from(format!("{text}{}", &next[..cut])));
            assert_eq!(
                parser.next().unwrap(),
                Some(Item::List(first.clone())),
                "with {cut} bytes of the next"
            );
            while parser.next().unwrap() == Some(Item::KeepAlive) {}
            parser.push(&Bytes::from(format!("{}]}}", &next[cut..])));
            let Some(Item::List(second)) = parser.next().unwrap() else { panic!("cut at {cut}") };
            assert_eq!(second["revision"], 2);
        }
    }
}

// Otherwise a list that arrives in many chunks would cost the square of its length.
#[test]
fn no_byte_is_scanned_twice() {
    let mut scanner = ObjectScanner::default();
    assert_eq!(scanner.find_end(b"{\"a\": ["), None);
    // Scanned again, the first eight bytes would open no object.
    assert_eq!(scanner.find_end(b"xxxxxxxx7]} {"), Some(11));
}
