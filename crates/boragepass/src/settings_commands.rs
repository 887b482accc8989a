//! `boragepass settings` and `boragepass key-hash`, which run without calling a VM.

use std::io::Read;

use boragepass_types::{AccessKey, KeyHash, KeySalt};

use crate::Output;

/// Runs `settings check FILE` or `settings reference`.
pub(crate) fn run_settings(words: &[String]) -> Output {
    let words: Vec<_> = words.iter().map(String::as_str).collect();
    match words.as_slice() {
        ["check", file] => check_file(file),
        ["reference"] => Output::done(boragepass_settings::limits_reference()),
        _ => Output::bad_input("settings takes `check FILE` or `reference`"),
    }
}

fn check_file(file: &str) -> Output {
    let text = match std::fs::read_to_string(file) {
        Ok(text) => text,
        Err(error) => return Output::bad_input(format!("{file}: {error}")),
    };
    match boragepass_settings::parse_settings(file, &text) {
        Ok(settings) => Output::done(format!("{file}: no findings, VM {}", settings.vm)),
        Err(findings) => Output::bad_input(findings.to_string()),
    }
}

/// Runs `key-hash --salt TEXT`, which reads the key from standard input.
pub(crate) fn run_key_hash(salt: &str) -> Output {
    let mut key = String::new();
    if let Err(error) = std::io::stdin().read_to_string(&mut key) {
        return Output::bad_input(format!("standard input: {error}"));
    }
    let key = key.trim();
    if key.is_empty() {
        return Output::bad_input("standard input holds no key");
    }
    Output::done(KeyHash::of(&KeySalt(salt.to_owned()), &AccessKey::new(key)).to_string())
}
