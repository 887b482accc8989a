//! Hash maps whose order of iteration is the same in each run.

use std::collections::HashMap;
use std::hash::{BuildHasherDefault, DefaultHasher};

/// Hash map with fixed hash keys: the standard ones are random, and a simulated run could not be repeated.
pub(crate) type Map<K, V> = HashMap<K, V, BuildHasherDefault<DefaultHasher>>;
