//! Values that a setting can hold, from and to JSON.

use std::net::{IpAddr, SocketAddr};
use std::path::PathBuf;
use std::time::Duration;

use serde_json::Value;

/// A value that a key can hold.
///
/// A [`Duration`] is a whole number of milliseconds, so its key ends in `_ms`.
pub trait Field: Sized {
    /// What the value should have been, for the finding: `a string`.
    const EXPECTED: &'static str;

    /// Reads the value; `None` when it is something else.
    fn from_json(value: &Value) -> Option<Self>;

    /// Writes the value as [`Field::from_json`] reads it.
    fn to_json(&self) -> Value;
}

macro_rules! whole_number {
    ($($type:ty),*) => {$(
        impl Field for $type {
            const EXPECTED: &'static str = concat!("a whole number (", stringify!($type), ")");

            fn from_json(value: &Value) -> Option<Self> {
                value.as_u64()?.try_into().ok()
            }

            fn to_json(&self) -> Value {
                Value::from(*self)
            }
        }
    )*};
}

whole_number!(u8, u16, u32, u64, usize);

/// Types that are written as a string which they parse themselves.
macro_rules! parsed {
    ($($type:ty, $expected:literal;)*) => {$(
        impl Field for $type {
            const EXPECTED: &'static str = $expected;

            fn from_json(value: &Value) -> Option<Self> {
                value.as_str()?.parse().ok()
            }

            fn to_json(&self) -> Value {
                Value::from(self.to_string())
            }
        }
    )*};
}

parsed! {
    IpAddr, "an IP number";
    SocketAddr, "an address \"ip:port\"";
}

impl Field for String {
    const EXPECTED: &'static str = "a string that isn't empty";

    fn from_json(value: &Value) -> Option<Self> {
        value
            .as_str()
            .filter(|text| !text.is_empty())
            .map(str::to_owned)
    }

    fn to_json(&self) -> Value {
        Value::from(self.as_str())
    }
}

impl Field for PathBuf {
    const EXPECTED: &'static str = "a path";

    fn from_json(value: &Value) -> Option<Self> {
        String::from_json(value).map(PathBuf::from)
    }

    fn to_json(&self) -> Value {
        Value::from(self.to_string_lossy())
    }
}

impl Field for bool {
    const EXPECTED: &'static str = "true or false";

    fn from_json(value: &Value) -> Option<Self> {
        value.as_bool()
    }

    fn to_json(&self) -> Value {
        Value::from(*self)
    }
}

impl Field for f64 {
    const EXPECTED: &'static str = "a number";

    fn from_json(value: &Value) -> Option<Self> {
        value.as_f64()
    }

    fn to_json(&self) -> Value {
        Value::from(*self)
    }
}

impl Field for Duration {
    const EXPECTED: &'static str = "a whole number of milliseconds";

    fn from_json(value: &Value) -> Option<Self> {
        value.as_u64().map(Duration::from_millis)
    }

    fn to_json(&self) -> Value {
        Value::from(u64::try_from(self.as_millis()).unwrap_or(u64::MAX))
    }
}

impl<T: Field> Field for Vec<T> {
    const EXPECTED: &'static str = "a list of the right values";

    fn from_json(value: &Value) -> Option<Self> {
        value.as_array()?.iter().map(T::from_json).collect()
    }

    fn to_json(&self) -> Value {
        self.iter().map(T::to_json).collect()
    }
}
