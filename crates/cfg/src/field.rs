//! Conversion of settings from and to JSON.

use std::net::{IpAddr, SocketAddr};
use std::path::PathBuf;
use std::time::Duration;

use serde_json::Value;

/// A type of settings that can be read from JSON.
///
/// A [`Duration`] is a whole number of milliseconds; its key should end in `_ms`.
pub trait Field: Sized {
    /// Description of a valid value for findings, such as `a string`.
    const EXPECTED: &'static str;

    /// Converts from JSON; `None` if the value is not valid for the type.
    fn from_json(value: &Value) -> Option<Self>;

    /// Converts to the JSON value that [`Field::from_json`] reads.
    fn to_json(&self) -> Value;
}

macro_rules! unsigned_integer {
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

unsigned_integer!(u8, u16, u32, u64, usize);

/// Types that are represented as a string and implement `FromStr` and `Display`.
macro_rules! from_str {
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

from_str! {
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
