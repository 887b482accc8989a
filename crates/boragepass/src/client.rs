//! Calls of the operators' API of a VM.

use std::net::SocketAddr;
use std::time::Duration;

use boragepass_clients::HttpClient;
use boragepass_wire::WireOperatorReply;
use http_types::Method;

use crate::arguments::Arguments;
use crate::{ExitStatus, Output};

const CALL_TIMEOUT: Duration = Duration::from_secs(15);
const KEY_VARIABLE: &str = "BORAGEPASS_OPERATOR_KEY";

/// Address of a VM and the operators' key to call it with.
pub(crate) struct Client {
    address: SocketAddr,
    key: String,
}

impl Client {
    /// Creates a client from the address and key of the arguments.
    pub(crate) fn new(arguments: &Arguments) -> Result<Self, Output> {
        let no_address = "--address IP:PORT is required: the operator address of a VM";
        let address = arguments.address.ok_or_else(|| Output::bad_input(no_address))?;
        Ok(Self { address, key: read_key(arguments.key_file.as_deref())? })
    }

    /// Calls the VM; returns the reply and its unparsed text.
    pub(crate) fn call(&self, method: Method, path: &str, body: String) -> Result<(WireOperatorReply, String), Output> {
        let client = HttpClient::default();
        let exchange = client.exchange_with_key(self.address, method, path, body, CALL_TIMEOUT, &self.key);
        let (_, text) = async_std::task::block_on(exchange)
            .map_err(|error| Output::problem(ExitStatus::Unreachable, format!("{}: {error}", self.address)))?;
        match serde_json::from_str(&text) {
            Ok(reply) => Ok((reply, text)),
            Err(error) => {
                let problem = format!("{}: cannot parse the reply: {error}", self.address);
                Err(Output::problem(ExitStatus::Unreachable, problem))
            }
        }
    }
}

/// Reads the operators' key from a file, or from the environment if no file is given.
fn read_key(file: Option<&str>) -> Result<String, Output> {
    let Some(file) = file else {
        return std::env::var(KEY_VARIABLE).map_err(|_| {
            Output::bad_input(format!("the operators' key is required: set --key-file or {KEY_VARIABLE}"))
        });
    };
    match std::fs::read_to_string(file) {
        Ok(text) => Ok(text.trim().to_owned()),
        Err(error) => Err(Output::bad_input(format!("{file}: {error}"))),
    }
}
