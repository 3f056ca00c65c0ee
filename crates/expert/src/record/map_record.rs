//! Encoded form of a map.

use crate::error::Code;
use crate::{Error, ExpertId, Result, Shape};

/// Encoded form of [`Map`](crate::Map).
#[derive(Clone, Eq, PartialEq, prost::Message)]
pub(crate) struct MapRecord {
    #[prost(uint32, tag = "1")]
    pub(crate) format: u32,
    #[prost(uint32, tag = "2")]
    layers: u32,
    #[prost(uint32, tag = "3")]
    experts: u32,
    #[prost(uint32, tag = "4")]
    slots_per_rank: u32,
    #[prost(uint32, repeated, tag = "5")]
    hosts: Vec<u32>,
    /// 0 for an empty slot, otherwise the expert number plus 1.
    #[prost(uint32, repeated, tag = "6")]
    slots: Vec<u32>,
}

impl MapRecord {
    pub(crate) fn new(format: u32, shape: &Shape, slots: &[Option<ExpertId>]) -> MapRecord {
        let to_u32 = |value: usize| u32::try_from(value).unwrap_or(u32::MAX);
        MapRecord {
            format,
            layers: to_u32(shape.layers()),
            experts: to_u32(shape.experts()),
            slots_per_rank: to_u32(shape.slots_per_rank()),
            hosts: shape.hosts().iter().map(|&host| u32::from(host)).collect(),
            slots: slots
                .iter()
                .map(|slot| slot.map_or(0, |expert| u32::from(expert.0) + 1))
                .collect(),
        }
    }

    pub(crate) fn into_parts(self) -> Result<(Shape, Vec<Option<ExpertId>>)> {
        let hosts = self.hosts.into_iter().map(to_u16);
        let shape = Shape::new(
            to_u16(self.layers)?,
            to_u16(self.experts)?,
            to_u16(self.slots_per_rank)?,
            hosts.collect::<Result<_>>()?,
        );
        let slots = self
            .slots
            .into_iter()
            .map(|slot| match slot.checked_sub(1) {
                None => Ok(None),
                Some(expert) => Ok(Some(ExpertId(to_u16(expert)?))),
            });
        Ok((shape, slots.collect::<Result<_>>()?))
    }
}

fn to_u16(value: u32) -> Result<u16> {
    u16::try_from(value).map_err(|_| Error::new(Code::Range(value)))
}
