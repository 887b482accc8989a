//! One call to a VM.

use std::net::SocketAddr;
use std::time::Duration;

use boragepass_clients::HttpClient;
use boragepass_wire::WireOperatorReply;
use http_types::Method;

use crate::arguments::Arguments;
use crate::{ExitStatus, Output};

const WITHIN: Duration = Duration::from_secs(15);
const KEY_VARIABLE: &str = "BORAGEPASS_OPERATOR_KEY";

/// Where and as whom to call.
pub(crate) struct Client {
    address: SocketAddr,
    key: String,
}

impl Client {
    /// Client for the address and key of the arguments.
    pub(crate) fn new(arguments: &Arguments) -> Result<Self, Output> {
        let missing = "--address IP:PORT names the operators' address of a VM";
        let address = arguments.address.ok_or_else(|| Output::bad_input(missing))?;
        Ok(Self { address, key: read_key(arguments.key_file.as_deref())? })
    }

    /// Calls the VM. The second value is the answer's text as it came.
    pub(crate) fn call(&self, method: Method, path: &str, body: String) -> Result<(WireOperatorReply, String), Output> {
        let client = HttpClient::default();
        let exchange = client.exchange_with_key(self.address, method, path, body, WITHIN, &self.key);
        let (_, text) = async_std::task::block_on(exchange)
            .map_err(|error| Output::problem(ExitStatus::Unreachable, format!("{}: {error}", self.address)))?;
        match serde_json::from_str(&text) {
            Ok(reply) => Ok((reply, text)),
            Err(error) => {
                let problem = format!("{}: the answer is not understood: {error}", self.address);
                Err(Output::problem(ExitStatus::Unreachable, problem))
            }
        }
    }
}

fn read_key(file: Option<&str>) -> Result<String, Output> {
    let Some(file) = file else {
        return std::env::var(KEY_VARIABLE)
            .map_err(|_| Output::bad_input(format!("--key-file or {KEY_VARIABLE} gives the operators' key")));
    };
    match std::fs::read_to_string(file) {
        Ok(text) => Ok(text.trim().to_owned()),
        Err(error) => Err(Output::bad_input(format!("{file}: {error}"))),
    }
}
