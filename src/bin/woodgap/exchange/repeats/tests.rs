use super::*;

const LEFT: Duration = Duration::from_secs(60);

fn request(id: &str) -> RequestKey {
    RequestKey::new(Some(ClassId(0)), id.as_bytes())
}

fn response(id: &str, body: &[u8]) -> ResponseKey {
    ResponseKey::new(request(id), body)
}

#[test]
fn a_response_that_repeats_one_of_its_connection_is_doubted() {
    let detector = RepeatDetector::default();
    let mut responses = detector.open_connection();
    let doubt = |responses: &ConnectionResponses, id: &str, body: &[u8], time_left| {
        detector.doubt(responses, &response(id, body), time_left)
    };
    assert_eq!(doubt(&responses, "1", b"receipt 1", LEFT), None);
    detector.record_use(&mut responses, &response("1", b"receipt 1"));
    assert_eq!(doubt(&responses, "2", b"receipt 2", LEFT), None);
    assert_eq!(doubt(&responses, "2", b"receipt 1", LEFT), Some(MIN_WAIT));
    // The same request, a probe, and bodies that are all alike.
    assert_eq!(doubt(&responses, "1", b"receipt 1", LEFT), None);
    assert_eq!(
        detector.doubt(&responses, &ResponseKey::new(RequestKey::new(None, b""), b"receipt 1"), LEFT),
        None
    );
    detector.record_use(&mut responses, &response("3", b""));
    assert_eq!(doubt(&responses, "4", b"", LEFT), None);
    // The wait follows the slowest response, within the time that is left.
    detector.record_time(&request("5"), Duration::from_secs(3));
    detector.record_time(&request("6"), Duration::from_secs(1));
    assert_eq!(doubt(&responses, "7", b"receipt 1", LEFT), Some(Duration::from_secs(6)));
    let short = Duration::from_millis(80);
    assert_eq!(doubt(&responses, "7", b"receipt 1", short), Some(short / 2));
}

// Servers that answer with a constant must not be waited for again and again.
#[test]
fn waits_end_for_servers_that_repeat_themselves_rightly() {
    let detector = RepeatDetector::default();
    let mut responses = detector.open_connection();
    detector.record_use(&mut responses, &response("1", b"ok"));
    let doubt = || detector.doubt(&responses, &response("2", b"ok"), LEFT);
    let mut waits = Vec::new();
    while let Some(wait) = doubt() {
        waits.push(wait);
        detector.record_genuine(&request("2"));
    }
    assert_eq!(waits.len(), MAX_HALVINGS as usize);
    assert!(waits.iter().sum::<Duration>() < 2 * MIN_WAIT, "{waits:?}");
    // One second copy, and repeats are doubted again.
    detector.record_copy(&request("3"));
    assert_eq!(doubt(), Some(MIN_WAIT));
}

// A second copy comes on the connection of its original. What two connections have brought is common.
#[test]
fn a_body_of_several_connections_is_not_doubted() {
    let detector = RepeatDetector::default();
    let [mut first, mut second] = [detector.open_connection(), detector.open_connection()];
    detector.record_use(&mut first, &response("1", b"ok"));
    assert!(detector.doubt(&first, &response("3", b"ok"), LEFT).is_some());
    detector.record_use(&mut second, &response("2", b"ok"));
    assert_eq!(detector.doubt(&first, &response("3", b"ok"), LEFT), None);
}

#[test]
fn only_the_last_responses_of_a_connection_are_remembered() {
    let detector = RepeatDetector::default();
    let mut responses = detector.open_connection();
    for n in 0..=MAX_RECENT_RESPONSES {
        detector.record_use(&mut responses, &response(&n.to_string(), format!("receipt {n}").as_bytes()));
    }
    assert_eq!(detector.doubt(&responses, &response("x", b"receipt 0"), LEFT), None);
    assert!(detector.doubt(&responses, &response("x", b"receipt 1"), LEFT).is_some());
}

// A second copy of the response to a probe must not be taken for the response to a request, though all probes are answered
// alike.
#[test]
fn a_response_that_repeats_that_of_a_probe_is_doubted() {
    for body in [&b""[..], b"healthy"] {
        let probe = ResponseKey::new(RequestKey::new(None, b""), body);
        let detector = RepeatDetector::default();
        let [mut first, mut second] = [detector.open_connection(), detector.open_connection()];
        detector.record_use(&mut first, &probe);
        detector.record_use(&mut second, &probe);
        assert_eq!(detector.doubt(&first, &response("1", body), LEFT), Some(MIN_WAIT));
        assert_eq!(detector.doubt(&first, &probe, LEFT), None);
    }
}
