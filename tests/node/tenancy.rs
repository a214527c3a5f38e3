//! Two deployments with different settings: classes, tenants and limits come from the configuration file
//! alone.

use serde_json::{json, Value};

use crate::harness::*;

/// Settings of another deployment: other names and semantics, short times, no `Retry-After`, no cancelling.
fn use_other_settings(settings: &mut Value) {
    let class = |name: &str, semantics: &str| {
        json!({"name": name, "aim": 200_000, "deadline": 400_000, "semantics": semantics, "points": 9.0,
            "late-share": 0.0, "key-scope": "zone", "key-ttl": 150_000})
    };
    settings["classes"] = json!([class("pay", "safe"), class("look", "unsafe"), class("seal", "keyed")]);
    settings["tenants"] = json!([{"name": "bravo", "quota-per-s": 0.0}]);
    settings["bounds"] = json!({"max-attempts": 1, "cancelling": false, "dial-timeout": 100_000,
        "keepalive": 9_000_000, "retry-after": false, "max-retry-after": 2_000_000});
}

/// A request of a class, with the method and headers that these semantics need.
fn request_with(class: &str, semantics: &str, tenant: &str, id: &str) -> Vec<u8> {
    let template = match semantics {
        "safe" => "look",
        "unsafe" => "pay",
        _ => "put",
    };
    let text = String::from_utf8(request_bytes(template, id, 60_000)).unwrap();
    text.replace(&format!("X-Lane: {template}"), &format!("X-Lane: {class}"))
        .replace("X-Org: acme", &format!("X-Org: {tenant}"))
        .into_bytes()
}

#[test]
fn two_deployments_on_one_host_are_independent() {
    let (first, second) =
        (Harness::new(2), Harness::with_settings(2, json!({"sockets": 128}), use_other_settings));
    for round in 0..3 {
        let status_of = |harness: &Harness, class, semantics, tenant| {
            let id = format!("{round}-{class}-{semantics}-{tenant}");
            harness.send_raw(&request_with(class, semantics, tenant, &id)).status()
        };
        // A class has the semantics of its own deployment, whatever another one gives to the same name.
        assert_eq!(
            [status_of(&first, "pay", "unsafe", "acme"), status_of(&second, "pay", "unsafe", "bravo")],
            [200, 400]
        );
        assert_eq!(
            [status_of(&first, "pay", "safe", "acme"), status_of(&second, "pay", "safe", "bravo")],
            [400, 200]
        );
        assert_eq!(
            [status_of(&first, "seal", "keyed", "acme"), status_of(&second, "seal", "keyed", "bravo")],
            [400, 200]
        );
        assert_eq!(
            [status_of(&first, "put", "keyed", "acme"), status_of(&second, "put", "keyed", "bravo")],
            [200, 400]
        );
        assert_eq!(
            [status_of(&first, "look", "safe", "bravo"), status_of(&second, "look", "unsafe", "acme")],
            [400, 400]
        );
    }
    // The same holds for times and `Retry-After`: the second deployment gives up within its 400 ms and sends no
    // `Retry-After`.
    second.set_behavior(Behavior::RespondEmpty("503 Full\r\nX-Turned-Away: 1"));
    first.set_behavior(Behavior::RespondEmpty("503 Full\r\nX-Turned-Away: 1"));
    let refused = first.send_raw(&request_with("pay", "unsafe", "acme", "r1"));
    assert!(refused.status() == 503 && !refused.header("retry-after").is_empty());
    let refused = second.send_raw(&request_with("look", "unsafe", "bravo", "r2"));
    assert!(refused.status() == 503 && refused.header("retry-after").is_empty());
    second.set_behavior(Behavior::Hang);
    let late = second.send_raw(&request_with("look", "unsafe", "bravo", "late"));
    assert!(![200, 429, 503].contains(&late.status()));
    let remaining_ms: u64 =
        second.take_requests().last().unwrap().1.header("x-remaining-ms").parse().unwrap();
    assert!(remaining_ms <= 400, "{remaining_ms}");
}

// SIGHUP changes the address of discovery and nothing else: classes, tenants and limits stay until a restart,
// and none of the old ones is left after a restart.
#[test]
fn a_changed_file_moves_discovery_at_once_and_the_rest_at_a_restart() {
    let mut harness = Harness::new(1);
    let (tx, watches) = std::sync::mpsc::channel();
    harness.config["discovery"] = json!(spawn_discovery(tx).to_string());
    use_other_settings(&mut harness.config["settings"]);
    harness.reload_config(&harness.config.to_string());
    let (request, _stream) = watches.recv_timeout(TEST_TIMEOUT).expect("a watch at the new address");
    assert!(request.start_line.contains("index=0 "), "{}", request.start_line);
    assert_eq!(harness.send_raw(&request_with("pay", "unsafe", "acme", "1")).status(), 200);
    assert_eq!(harness.send_raw(&request_with("seal", "keyed", "bravo", "2")).status(), 400);
    let restarted = Harness::with_settings(1, json!({"sockets": 128}), use_other_settings);
    assert_eq!(restarted.send_raw(&request_with("seal", "keyed", "bravo", "3")).status(), 200);
    assert_eq!(restarted.send_raw(&request_with("put", "keyed", "acme", "4")).status(), 400);
}
