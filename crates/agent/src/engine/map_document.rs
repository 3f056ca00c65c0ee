//! The JSON form of an expert map.

use bytes::Bytes;
use expert::Map;
use serde_json::{Value, json};

/// The JSON document of a map: the number of the expert by layer, rank and slot,
/// or null for an empty slot.
///
/// ```
/// use expert::{Map, Shape};
///
/// let map = Map::uniform(Shape::with_spare(1, 2, 2, 0, 1));
/// let document = agent::engine::map_document(&map);
/// assert_eq!(&document[..], br#"{"layers":[[[0],[1]]]}"#);
/// ```
#[must_use]
pub fn map_document(map: &Map) -> Bytes {
    let shape = map.shape();
    let slots = |layer, rank| -> Vec<Value> {
        let slots = map.rank_slots(layer, rank).iter();
        slots
            .map(|slot| json!(slot.map(|expert| expert.0)))
            .collect()
    };
    let ranks = |layer| -> Vec<Value> {
        let ranks = 0..shape.ranks();
        ranks.map(|rank| json!(slots(layer, rank))).collect()
    };
    let layers: Vec<Value> = (0..shape.layers())
        .map(|layer| json!(ranks(layer)))
        .collect();
    json!({ "layers": layers }).to_string().into()
}
