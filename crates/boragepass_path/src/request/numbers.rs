//! Numbers that the executor and the reducer use for what is in progress on this VM.

use derive_more::Display;

macro_rules! numbers {
    ($($(#[$doc:meta])* $name:ident),+ $(,)?) => {$(
        $(#[$doc])*
        #[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Display)]
        pub struct $name(pub u64);

        impl $name {
            /// Takes the next number of a counter.
            pub fn take(counter: &mut u64) -> Self {
                *counter += 1;
                Self(*counter)
            }
        }
    )+};
}

numbers! {
    /// Request of a client.
    RequestNumber,
    /// One send of a request to an endpoint.
    SendNumber,
    /// One call of pieces to an endpoint.
    CallNumber,
}
