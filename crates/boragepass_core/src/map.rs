//! Hash maps whose order of iteration depends on their content only.

use std::collections::HashMap;

use xxhash_rust::xxh3::Xxh3DefaultBuilder;

/// Map with a fixed hash function, so that a run repeats exactly.
pub(crate) type Map<K, V> = HashMap<K, V, Xxh3DefaultBuilder>;
