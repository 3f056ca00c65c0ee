//! Announcements, liveness, draining and the address list.
//!
//! The leader of the control replicas holds one [`Registry`]: soft state that
//! each leader rebuilds from the renewals that it receives. Its [`View`] is sent
//! to all nodes; [`nearest_first`] sorts the address list of entries for callers.
//!
//! Targets without an agent report to any replica. Each replica keeps the
//! reports of targets and entries in a [`ReportStore`].
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
//! // Not in use everywhere until the leases of earlier leaders have expired.
//! assert!(!registry.note_rollout(1, began).everywhere);
//! ```

mod alive_effect;
mod announcement;
mod capability;
mod entry_report;
mod evacuated_zones;
mod hash;
mod member;
mod nearest_first;
mod node;
mod node_key;
mod node_record;
mod note_rollout;
mod overdue_targets;
mod presence;
mod refresh_source;
mod refusal;
mod registry;
mod renewal;
mod renewal_path;
mod report_effect;
mod report_store;
mod role;
mod serves;
mod speed_report_schedule;
mod table_digest;
mod target_limit;
mod target_report;
mod target_speed;
mod view;
mod view_changes;

pub use alive_effect::AliveEffect;
pub use announcement::Announcement;
pub use capability::Capability;
pub use entry_report::EntryReport;
pub use evacuated_zones::{EvacuatedZones, Evacuation};
pub use hash::{hash_bytes, hash_name, mix};
pub use member::Member;
pub use nearest_first::nearest_first;
pub use node::Node;
pub use node_key::NodeKey;
pub use note_rollout::NoteRollout;
pub use overdue_targets::{LastReport, OverdueTargets};
pub use presence::Presence;
pub use refresh_source::refresh_source;
pub use refusal::Refusal;
pub use registry::{NODES_PER_LEASE, Registry};
pub use renewal::Renewal;
pub use renewal_path::{
    MAX_DIRECT_RENEWALS, NODES_PER_RELAY, RelayCandidate, RenewalPath, renewal_path,
};
pub use report_effect::ReportEffect;
pub use report_store::ReportStore;
pub use role::Role;
pub use serves::Serves;
pub use speed_report_schedule::SpeedReportSchedule;
pub use table_digest::TableDigest;
pub use target_limit::{LimitEffect, TargetLimit, TargetLimits};
pub use target_report::TargetReport;
pub use target_speed::TargetSpeed;
pub use view::View;
pub use view_changes::ViewChanges;
