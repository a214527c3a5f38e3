use super::*;

#[test]
fn only_the_header_proves_that_a_request_was_rejected_without_running() {
    let mut headers = HeaderMap::new();
    assert_eq!(classify_response(StatusCode::SERVICE_UNAVAILABLE, &headers), Outcome::Error);
    headers.insert("x-turned-away", HeaderValue::from_static("1"));
    assert_eq!(classify_response(StatusCode::SERVICE_UNAVAILABLE, &headers), Outcome::Full);
    assert_eq!(classify_response(StatusCode::GATEWAY_TIMEOUT, &headers), Outcome::Full);
    assert_eq!(classify_response(StatusCode::INTERNAL_SERVER_ERROR, &headers), Outcome::Error);
    assert_eq!(classify_response(StatusCode::OK, &headers), Outcome::Ok);
}

#[test]
fn a_load_report_is_parsed_completely_or_not_at_all() {
    let fields = ["queue".to_owned(), "util".to_owned()];
    let parse = |text: &'static str| {
        let mut headers = HeaderMap::new();
        headers.insert("x-pressure", HeaderValue::from_static(text));
        parse_load_report(&headers, &fields)
    };
    assert_eq!(parse(r#"{"util":0.5,"queue":3,"more":1}"#), [3.0, 0.5]);
    for malformed in [
        r#"{"queue":3}"#,
        r#"{"queue":3,"util":-1}"#,
        r#"{"queue":3,"util":1e99}"#,
        r#"{"queue":3,"util":NaN}"#,
        r#"{"queue":3,"util":0."#,
        "[3,0.5]",
    ] {
        assert!(parse(malformed).is_empty(), "{malformed}");
    }
}
