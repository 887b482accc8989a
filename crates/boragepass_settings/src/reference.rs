//! Reference of the `limits` and `http` sections in `docs/OPERATIONS.md`, generated from the table of
//! keys that the parser uses.

use boragepass_core::Limits;

use crate::HttpLimits;
use crate::limit_keys::{HTTP, LIMITS, LimitKey};

fn section_reference<T>(title: &str, defaults: &T, keys: &[LimitKey<T>]) -> String {
    let mut markdown = format!("### `[{title}]`\n\n| key | default | range | meaning |\n| --- | --- | --- | --- |\n");
    for key in keys {
        let default = (key.get)(defaults);
        markdown.push_str(&format!("| `{}` | {default} | {} to {} | {} |\n", key.name, key.min, key.max, key.meaning));
    }
    markdown
}

/// Reference as Markdown tables.
pub fn limits_reference() -> String {
    let limits = section_reference("limits", &Limits::default(), LIMITS);
    let http = section_reference("http", &HttpLimits::default(), HTTP);
    format!("{limits}\n{http}")
}
