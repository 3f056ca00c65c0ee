//! An item of the catalogue, of any kind.

use cfg::Reader;
use serde_json::Value;

use crate::{Account, Assignment, Group, Kind, Model, Service, Target};

/// An item of the catalogue.
#[derive(Debug, Clone, PartialEq)]
pub enum Item {
    /// A client account.
    Account(Account),
    /// A model group.
    Group(Group),
    /// A model.
    Model(Model),
    /// A plain service.
    Service(Service),
    /// A target.
    Target(Target),
}

impl Item {
    /// Returns the item's kind.
    ///
    /// ```
    /// let model = note::Model { name: "m".into(), versions: vec![], adapters: vec![] };
    /// assert_eq!(note::Item::Model(model).kind(), note::Kind::Model);
    /// ```
    #[must_use]
    pub fn kind(&self) -> Kind {
        match self {
            Item::Account(_) => Kind::Account,
            Item::Group(_) => Kind::Group,
            Item::Model(_) => Kind::Model,
            Item::Service(_) => Kind::Service,
            Item::Target(_) => Kind::Target,
        }
    }

    /// Returns the item's name, which is unique within its kind.
    ///
    /// ```
    /// let model = note::Model { name: "m".into(), versions: vec![], adapters: vec![] };
    /// assert_eq!(note::Item::Model(model).name(), "m");
    /// ```
    #[must_use]
    pub fn name(&self) -> &str {
        match self {
            Item::Account(account) => &account.name,
            Item::Group(group) => &group.name,
            Item::Model(model) => &model.name,
            Item::Service(service) => &service.name,
            Item::Target(target) => &target.name,
        }
    }

    /// Returns the kind and name of the item that this one refers to, if any.
    pub(crate) fn reference(&self) -> Option<(Kind, &str)> {
        match self {
            Item::Group(group) => Some((Kind::Model, &group.model)),
            Item::Target(target) => Some(match &target.assignment {
                Assignment::Group(name) => (Kind::Group, name),
                Assignment::Service(name) => (Kind::Service, name),
            }),
            Item::Account(_) | Item::Model(_) | Item::Service(_) => None,
        }
    }

    pub(crate) fn read(r: &mut Reader) -> Option<Self> {
        match Kind::read(r)? {
            Kind::Account => Account::read(r).map(Item::Account),
            Kind::Group => Group::read(r).map(Item::Group),
            Kind::Model => Model::read(r).map(Item::Model),
            Kind::Service => Service::read(r).map(Item::Service),
            Kind::Target => Target::read(r).map(Item::Target),
        }
    }

    pub(crate) fn to_value(&self) -> Value {
        match self {
            Item::Account(account) => account.to_value(),
            Item::Group(group) => group.to_value(),
            Item::Model(model) => model.to_value(),
            Item::Service(service) => service.to_value(),
            Item::Target(target) => target.to_value(),
        }
    }
}
