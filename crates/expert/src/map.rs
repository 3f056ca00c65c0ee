//! Which expert each slot of a group holds.

use crate::error::Code;
use crate::record::MapRecord;
use crate::{Error, ExpertId, Load, MapFault, Rank, Result, Shape};
use bytes::Bytes;
use prost::Message;
use std::collections::BTreeSet;

/// Version of the encoding that is written and read.
const FORMAT: u32 = 1;

/// Which expert each slot of a group holds.
///
/// The tokens of an expert are split evenly over its copies in a layer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Map {
    shape: Shape,
    /// By layer, then rank, then slot.
    slots: Vec<Option<ExpertId>>,
}

impl Map {
    /// A map whose slots are all empty.
    ///
    /// ```
    /// use expert::{Map, Shape};
    ///
    /// let map = Map::empty(Shape::with_spare(1, 4, 2, 1, 1));
    /// assert_eq!(map.check(&[true, true]).len(), 4);
    /// ```
    #[must_use]
    pub fn empty(shape: Shape) -> Map {
        let slots = vec![None; shape.layers() * shape.slots_per_layer()];
        Map { shape, slots }
    }

    /// The default map for a group whose load is unknown: experts in order,
    /// with further copies in the spare slots, half a group away from the
    /// first copies.
    ///
    /// ```
    /// use expert::{Map, Shape};
    ///
    /// let map = Map::uniform(Shape::with_spare(2, 128, 16, 1, 8));
    /// assert!(map.check(&[true; 16]).is_empty());
    /// ```
    #[must_use]
    pub fn uniform(shape: Shape) -> Map {
        let mut map = Map::empty(shape);
        let (ranks, experts) = (map.shape.ranks(), map.shape.experts());
        for layer in 0..map.shape.layers() {
            for place in 0..map.shape.slots_per_layer() {
                let (slot, offset) = (place / ranks, place % ranks);
                // Each pass over the ranks starts half a group further on, so
                // that the copies of an expert land on different hosts.
                let rank = (offset + slot * (ranks / 2)) % ranks;
                let expert = ExpertId::from_index(place % experts.max(1));
                if experts > 0 && !map.rank_slots(layer, rank).contains(&Some(expert)) {
                    map.rank_slots_mut(layer, rank)[slot] = Some(expert);
                }
            }
        }
        map
    }

    /// The map with one copy of each expert, distributed to the ranks round
    /// robin, and all spare slots empty.
    ///
    /// ```
    /// use expert::{Map, Shape};
    ///
    /// let map = Map::round_robin(Shape::with_spare(1, 4, 2, 1, 1));
    /// let rank: Vec<_> = map.rank_slots(0, 1).iter().flatten().map(|e| e.0).collect();
    /// assert_eq!(rank, [1, 3]);
    /// ```
    #[must_use]
    pub fn round_robin(shape: Shape) -> Map {
        let mut map = Map::empty(shape);
        let ranks = map.shape.ranks().max(1);
        for layer in 0..map.shape.layers() {
            for place in 0..map.shape.experts() {
                let (slot, rank) = (place / ranks, place % ranks);
                if slot < map.shape.slots_per_rank() {
                    let expert = ExpertId::from_index(place);
                    map.rank_slots_mut(layer, rank)[slot] = Some(expert);
                }
            }
        }
        map
    }

    /// Dimensions of the map.
    #[must_use]
    pub fn shape(&self) -> &Shape {
        &self.shape
    }

    /// The same slots with the ranks on other hosts; `None` if the number of
    /// hosts is not the number of ranks.
    ///
    /// ```
    /// use expert::{Map, Shape};
    ///
    /// let map = Map::uniform(Shape::new(1, 4, 3, vec![0, 0]));
    /// let moved = map.with_hosts(vec![0, 1]).unwrap();
    /// assert_eq!(moved.layer(0), map.layer(0));
    /// assert!(map.with_hosts(vec![0]).is_none());
    /// ```
    #[must_use]
    pub fn with_hosts(&self, hosts: Vec<u16>) -> Option<Map> {
        (hosts.len() == self.shape.ranks()).then(|| Map {
            shape: self.shape.with_hosts(hosts),
            slots: self.slots.clone(),
        })
    }

    /// Slots of one layer, by rank.
    ///
    /// # Panics
    ///
    /// Panics if the shape has no such layer.
    #[must_use]
    pub fn layer(&self, layer: usize) -> &[Option<ExpertId>] {
        let width = self.shape.slots_per_layer();
        &self.slots[layer * width..(layer + 1) * width]
    }

    /// Slots of one rank in one layer.
    ///
    /// # Panics
    ///
    /// Panics if the shape has no such layer or rank.
    #[must_use]
    pub fn rank_slots(&self, layer: usize, rank: usize) -> &[Option<ExpertId>] {
        let width = self.shape.slots_per_rank();
        &self.layer(layer)[rank * width..(rank + 1) * width]
    }

    pub(crate) fn layer_mut(&mut self, layer: usize) -> &mut [Option<ExpertId>] {
        let width = self.shape.slots_per_layer();
        &mut self.slots[layer * width..(layer + 1) * width]
    }

    fn rank_slots_mut(&mut self, layer: usize, rank: usize) -> &mut [Option<ExpertId>] {
        let width = self.shape.slots_per_rank();
        &mut self.layer_mut(layer)[rank * width..(rank + 1) * width]
    }

    /// Empties the slots of a lost rank.
    ///
    /// ```
    /// use expert::{Map, Rank, Shape};
    ///
    /// let mut map = Map::uniform(Shape::with_spare(1, 4, 2, 1, 1));
    /// map.clear_rank(Rank(1));
    /// assert!(!map.check(&[true, false]).is_empty());
    /// ```
    pub fn clear_rank(&mut self, rank: Rank) {
        if rank.index() < self.shape.ranks() {
            for layer in 0..self.shape.layers() {
                self.rank_slots_mut(layer, rank.index()).fill(None);
            }
        }
    }

    /// All faults of the map if only the ranks marked in `live` run; empty for
    /// a usable map.
    ///
    /// ```
    /// use expert::{Map, Shape};
    ///
    /// let map = Map::uniform(Shape::with_spare(1, 4, 2, 1, 1));
    /// assert!(map.check(&[true, true]).is_empty());
    /// ```
    #[must_use]
    pub fn check(&self, live: &[bool]) -> Vec<MapFault> {
        let expected = self.shape.layers() * self.shape.slots_per_layer();
        if self.slots.len() != expected {
            let found = self.slots.len();
            return vec![MapFault::Size { expected, found }];
        }
        let mut faults = Vec::new();
        for layer in 0..self.shape.layers() {
            self.check_layer(layer, live, &mut faults);
        }
        faults
    }

    fn check_layer(&self, layer: usize, live: &[bool], faults: &mut Vec<MapFault>) {
        let mut has_copy = vec![false; self.shape.experts()];
        for rank in 0..self.shape.ranks() {
            let mut seen = BTreeSet::new();
            for expert in self.rank_slots(layer, rank).iter().flatten().copied() {
                let id = Rank::from_index(rank);
                if expert.index() >= has_copy.len() {
                    faults.push(MapFault::UnknownExpert {
                        layer,
                        rank: id,
                        expert,
                    });
                    continue;
                }
                if !seen.insert(expert) {
                    faults.push(MapFault::Duplicate {
                        layer,
                        rank: id,
                        expert,
                    });
                }
                has_copy[expert.index()] |= live.get(rank).copied().unwrap_or(false);
            }
        }
        let missing = (0..has_copy.len()).filter(|&expert| !has_copy[expert]);
        faults.extend(missing.map(|expert| MapFault::Missing {
            layer,
            expert: ExpertId::from_index(expert),
        }));
    }

    /// Tokens of `load` that each rank computes, summed over all layers.
    ///
    /// ```
    /// use expert::{Load, Map, Shape};
    ///
    /// let map = Map::uniform(Shape::with_spare(1, 2, 2, 0, 1));
    /// let mut load = Load::new(1, 2);
    /// load.add(&[30, 10]);
    /// assert_eq!(map.tokens_by_rank(&load), [30.0, 10.0]);
    /// ```
    #[must_use]
    pub fn tokens_by_rank(&self, load: &Load) -> Vec<f64> {
        let mut tokens = vec![0.0; self.shape.ranks()];
        for layer in 0..self.shape.layers().min(load.layers()) {
            let values = load.layer(layer);
            let mut copies = vec![0_u32; values.len()];
            for expert in self.layer(layer).iter().flatten() {
                if let Some(count) = copies.get_mut(expert.index()) {
                    *count += 1;
                }
            }
            for (rank, tokens) in tokens.iter_mut().enumerate() {
                for expert in self.rank_slots(layer, rank).iter().flatten() {
                    let value = values.get(expert.index()).copied().unwrap_or_default();
                    let count = copies.get(expert.index()).copied().unwrap_or_default();
                    *tokens += value / f64::from(count.max(1));
                }
            }
        }
        tokens
    }

    /// Number of experts that the ranks have to load when they switch from
    /// `previous` to this map.
    ///
    /// ```
    /// use expert::{Map, Shape};
    ///
    /// let map = Map::uniform(Shape::with_spare(1, 4, 2, 1, 1));
    /// assert_eq!(map.loads_from(&map), 0);
    /// ```
    #[must_use]
    pub fn loads_from(&self, previous: &Map) -> usize {
        if self.shape != previous.shape {
            return self.slots.iter().flatten().count();
        }
        let width = self.shape.slots_per_rank().max(1);
        let ranks = self.slots.chunks(width).zip(previous.slots.chunks(width));
        ranks
            .map(|(new, old)| new.iter().flatten().filter(|e| !old.contains(&Some(**e))))
            .map(Iterator::count)
            .sum()
    }

    /// The compact encoding, about one byte per slot.
    ///
    /// ```
    /// use expert::{Map, Shape};
    ///
    /// let map = Map::uniform(Shape::with_spare(2, 8, 4, 1, 2));
    /// assert_eq!(Map::from_bytes(map.to_bytes()).unwrap(), map);
    /// ```
    #[must_use]
    pub fn to_bytes(&self) -> Bytes {
        MapRecord::new(FORMAT, &self.shape, &self.slots)
            .encode_to_vec()
            .into()
    }

    /// Decodes the compact encoding. The contents of the map still have to be
    /// [checked](Map::check).
    ///
    /// # Errors
    ///
    /// Fails if the bytes aren't a map in this format, if the number of slots
    /// doesn't match the shape, or if the shape has fewer slots than experts.
    ///
    /// ```
    /// assert!(expert::Map::from_bytes(&b"\xff"[..]).is_err());
    /// ```
    pub fn from_bytes(buf: impl Into<Bytes>) -> Result<Map> {
        let record = MapRecord::decode(buf.into())?;
        if record.format != FORMAT {
            return Err(Error::new(Code::Format(record.format)));
        }
        let (shape, slots) = record.into_parts()?;
        let map = Map { shape, slots };
        let expected = map.shape.layers() * map.shape.slots_per_layer();
        let has_room = map.shape.slots_per_layer() >= map.shape.experts();
        if map.slots.len() == expected && has_room {
            Ok(map)
        } else {
            Err(Error::new(Code::Slots(map.slots.len(), expected)))
        }
    }
}
