//! One customer's settings at another: all that is told of classes, tenants and limits comes from the file.

use serde_json::{json, Value};

use crate::site::*;

/// Another deployment: other names, other effects, short times, no advice, no cancelling.
fn other(settings: &mut Value) {
    let class = |name: &str, semantics: &str| {
        json!({"name": name, "aim": 200_000, "deadline": 400_000, "semantics": semantics, "points": 9.0,
            "late-share": 0.0, "key-scope": "zone", "key-ttl": 150_000})
    };
    settings["classes"] = json!([class("pay", "safe"), class("look", "unsafe"), class("seal", "keyed")]);
    settings["tenants"] = json!([{"name": "bravo", "quota-per-s": 0.0}]);
    settings["bounds"] = json!({"max-attempts": 1, "cancelling": false, "dial-timeout": 100_000,
        "keepalive": 9_000_000, "retry-after": false, "max-retry-after": 2_000_000});
}

/// A request whose method says the effect that its class has there.
fn of(class: &str, effect: &str, tenant: &str, id: &str) -> Vec<u8> {
    let like = match effect {
        "safe" => "look",
        "unsafe" => "pay",
        _ => "put",
    };
    let text = String::from_utf8(request(like, id, 60_000)).unwrap();
    text.replace(&format!("X-Lane: {like}"), &format!("X-Lane: {class}"))
        .replace("X-Org: acme", &format!("X-Org: {tenant}"))
        .into_bytes()
}

#[test]
fn two_deployments_side_by_side_know_nothing_of_each_other() {
    let (one, two) = (Site::new(2), Site::configured(2, json!({"sockets": 128}), other));
    for round in 0..3 {
        let ask = |site: &Site, class, effect, tenant| {
            site.raw(&of(class, effect, tenant, &format!("{round}-{class}-{effect}-{tenant}"))).status()
        };
        // The same name has the effect that each one's settings give it.
        assert_eq!([ask(&one, "pay", "unsafe", "acme"), ask(&two, "pay", "unsafe", "bravo")], [200, 400]);
        assert_eq!([ask(&one, "pay", "safe", "acme"), ask(&two, "pay", "safe", "bravo")], [400, 200]);
        assert_eq!([ask(&one, "seal", "keyed", "acme"), ask(&two, "seal", "keyed", "bravo")], [400, 200]);
        assert_eq!([ask(&one, "put", "keyed", "acme"), ask(&two, "put", "keyed", "bravo")], [200, 400]);
        assert_eq!([ask(&one, "look", "safe", "bravo"), ask(&two, "look", "unsafe", "acme")], [400, 400]);
    }
    // Times and advice too: the one waits for a silent server, the other gives up in its 400 ms and says nothing.
    two.all_do(Does::Answer("503 Full\r\nX-Turned-Away: 1"));
    one.all_do(Does::Answer("503 Full\r\nX-Turned-Away: 1"));
    let refused = one.raw(&of("pay", "unsafe", "acme", "r1"));
    assert!(refused.status() == 503 && !refused.header("retry-after").is_empty());
    let refused = two.raw(&of("look", "unsafe", "bravo", "r2"));
    assert!(refused.status() == 503 && refused.header("retry-after").is_empty());
    two.all_do(Does::Hang);
    let late = two.raw(&of("look", "unsafe", "bravo", "late"));
    assert!(![200, 429, 503].contains(&late.status()));
    let told: u64 = two.requests().last().unwrap().1.header("x-remaining-ms").parse().unwrap();
    assert!(told <= 400, "{told}");
}

// SIGHUP moves discovery and nothing else: classes, tenants and limits hold until a restart, and with a restart
// nothing of the old ones is left.
#[test]
fn a_changed_file_counts_for_discovery_at_once_and_for_the_rest_at_a_restart() {
    let mut site = Site::new(1);
    let (tx, watches) = std::sync::mpsc::channel();
    site.config["discovery"] = json!(discovery(tx).to_string());
    other(&mut site.config["settings"]);
    site.reload(&site.config.to_string());
    let (request, _stream) = watches.recv_timeout(PATIENCE).expect("a watch at the new place");
    assert!(request.first.contains("index=0 "), "{}", request.first);
    assert_eq!(site.raw(&of("pay", "unsafe", "acme", "1")).status(), 200);
    assert_eq!(site.raw(&of("seal", "keyed", "bravo", "2")).status(), 400);
    let fresh = Site::configured(1, json!({"sockets": 128}), other);
    assert_eq!(fresh.raw(&of("seal", "keyed", "bravo", "3")).status(), 200);
    assert_eq!(fresh.raw(&of("put", "keyed", "acme", "4")).status(), 400);
}
