//! Reference of the `limits` and `http` sections for the operators' page, made from the same rows
//! that the parser uses.

use boragepass_core::Limits;

use crate::HttpLimits;
use crate::limit_keys::{HTTP, LIMITS, LimitKey};

fn section<T>(title: &str, defaults: &T, keys: &[LimitKey<T>]) -> String {
    let mut text = format!("### `[{title}]`\n\n| key | default | range | meaning |\n| --- | --- | --- | --- |\n");
    for key in keys {
        let default = (key.get)(defaults);
        text.push_str(&format!("| `{}` | {default} | {} to {} | {} |\n", key.name, key.low, key.high, key.about));
    }
    text
}

/// Reference in Markdown.
pub fn limits_reference() -> String {
    let limits = section("limits", &Limits::default(), LIMITS);
    let http = section("http", &HttpLimits::default(), HTTP);
    format!("{limits}\n{http}")
}
