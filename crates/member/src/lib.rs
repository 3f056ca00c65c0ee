//! Announcements, liveness, draining and the address list.
//!
//! The leader of the control replicas holds one [`Registry`]: soft state, built
//! anew by each leader from the renewals that reach it. Its [`View`] goes to all
//! nodes; [`nearest_first`] orders the entries of the list for callers.
//!
//! Targets without an agent tell any replica of themselves; what they and the
//! entries tell stands on each replica's [`Board`].
//!
//! ```
//! use std::time::{Duration, Instant};
//! use member::{Node, Registry, Renewal, Role};
//!
//! let lease = Duration::from_secs(3);
//! let began = Instant::now();
//! let mut registry = Registry::new(7, began, lease);
//!
//! let node = Node::new(Role::Entry, "entry-1", 42, "celje");
//! assert_eq!(registry.renew(node, 1, began), Renewal::Granted { changed: true });
//! assert_eq!(registry.view().nodes.len(), 1);
//!
//! // Nothing is told about "everywhere" before all that live were heard.
//! assert!(!registry.in_force(1, began).everywhere);
//! ```

mod announcement;
mod board;
mod capability;
mod changes;
mod entrance;
mod hash;
mod heard;
mod in_force;
mod member;
mod nearest_first;
mod node;
mod node_key;
mod presence;
mod refusal;
mod registry;
mod renewal;
mod renewal_path;
mod role;
mod serves;
mod sighting;
mod slot;
mod speed_reports;
mod target_speed;
mod view;

pub use announcement::Announcement;
pub use board::Board;
pub use capability::Capability;
pub use changes::Changes;
pub use entrance::Entrance;
pub use hash::{hash_bytes, hash_name, mix};
pub use heard::Heard;
pub use in_force::InForce;
pub use member::Member;
pub use nearest_first::nearest_first;
pub use node::Node;
pub use node_key::NodeKey;
pub use presence::Presence;
pub use refusal::Refusal;
pub use registry::Registry;
pub use renewal::Renewal;
pub use renewal_path::{RELAY_ABOVE, RELAY_GROUP, RenewalPath, Renewer, renewal_path};
pub use role::Role;
pub use serves::Serves;
pub use sighting::Sighting;
pub use speed_reports::SpeedReports;
pub use target_speed::TargetSpeed;
pub use view::View;
