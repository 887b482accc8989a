//! Numbers by which the executor and the reducer identify work in progress on this VM.

use derive_more::Display;

macro_rules! numbers {
    ($($(#[$doc:meta])* $name:ident),+ $(,)?) => {$(
        $(#[$doc])*
        #[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Display)]
        pub struct $name(pub u64);

        impl $name {
            /// Advances a counter and returns its new number.
            pub fn take(counter: &mut u64) -> Self {
                *counter += 1;
                Self(*counter)
            }
        }
    )+};
}

numbers! {
    /// Number of a client request.
    RequestNumber,
    /// Number of a send of a request to an endpoint.
    SendNumber,
    /// Number of a stage call to an endpoint.
    CallNumber,
}
