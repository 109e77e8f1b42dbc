//! The engine stand-in's answer depends on the messages alone.

use cowsliproad_standin::engine;
use serde_json::json;

#[test]
fn an_answer_follows_from_its_body() {
    let body = json!({ "messages": ["a"], "max_tokens": 3 });
    let same = json!({ "messages": ["a"], "max_tokens": 3, "priority": 9 });
    let other = json!({ "messages": ["b"], "max_tokens": 3 });
    assert_eq!(engine::answer(&body), engine::answer(&same));
    assert_ne!(engine::answer(&body), engine::answer(&other));
    assert_eq!(engine::answer(&body).split_whitespace().count(), 3);
}
