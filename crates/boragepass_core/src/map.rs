//! Hash maps whose order of iteration depends on their content only.

use std::collections::HashMap;
use std::hash::{BuildHasherDefault, DefaultHasher};

/// Map with fixed hash keys, so that a run repeats exactly.
pub(crate) type Map<K, V> = HashMap<K, V, BuildHasherDefault<DefaultHasher>>;
