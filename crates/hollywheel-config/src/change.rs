//! Published versions and the differences between them.

use std::fmt;

use hollywheel_types::{ConfigVersion, PublishId, SortedMap, WallTime};
use serde::{Deserialize, Serialize};

use crate::object::{ConfigObject, ObjectKey};
use crate::set::ObjectSet;

/// Holds one published version of the object set.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct PublishedSet {
    /// The version number, which increases with every publication.
    pub version: ConfigVersion,
    /// The ID of the publication that created the version.
    pub publish_id: PublishId,
    /// The objects.
    pub set: ObjectSet,
}

impl PublishedSet {
    /// Returns the set that results from a change based on this version.
    ///
    /// # Errors
    ///
    /// Returns [`BaseMismatch`] if the change is based on another version.
    pub fn apply(&self, change: &ConfigChange) -> Result<Self, BaseMismatch> {
        let mut next = self.clone();
        next.advance(change)?;
        Ok(next)
    }

    /// Applies a change based on this version in place.
    ///
    /// # Errors
    ///
    /// Returns [`BaseMismatch`] and changes nothing if the change is based on another version.
    pub fn advance(&mut self, change: &ConfigChange) -> Result<(), BaseMismatch> {
        if change.base != self.version || change.version <= change.base {
            return Err(BaseMismatch {
                version: self.version,
                base: change.base,
            });
        }
        for key in &change.diff.removed {
            self.set.remove(key);
        }
        for object in &change.diff.put {
            self.set.put(object.clone());
        }
        self.version = change.version;
        self.publish_id = change.publish_id;
        Ok(())
    }
}

/// Reports that a change is based on another version than the one that it was applied to.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct BaseMismatch {
    /// The version that the change was applied to.
    pub version: ConfigVersion,
    /// The version that the change is based on.
    pub base: ConfigVersion,
}

impl fmt::Display for BaseMismatch {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "the change is based on version {} but the current version is {}",
            self.base, self.version
        )
    }
}

impl std::error::Error for BaseMismatch {}

/// Describes the change of one publication, as stored and as sent between hosts.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ConfigChange {
    /// The version that the change is based on.
    pub base: ConfigVersion,
    /// The version that the change creates.
    pub version: ConfigVersion,
    /// The ID of the publication.
    pub publish_id: PublishId,
    /// The operator who published it.
    pub operator: String,
    /// The time of the publication.
    pub published_at: WallTime,
    /// The difference between the two versions.
    pub diff: SetDiff,
}

/// Lists the objects that differ between two sets.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct SetDiff {
    /// Objects that are new or changed.
    pub put: Vec<ConfigObject>,
    /// Keys of objects that were removed.
    pub removed: Vec<ObjectKey>,
}

/// Describes how one object differs between two sets.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ObjectChange {
    /// The object was added.
    Added(ObjectKey),
    /// The object was changed.
    Changed(ObjectKey),
    /// The object was removed.
    Removed(ObjectKey),
}

impl fmt::Display for ObjectChange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Added(key) => write!(f, "+ {key}"),
            Self::Changed(key) => write!(f, "~ {key}"),
            Self::Removed(key) => write!(f, "- {key}"),
        }
    }
}

impl SetDiff {
    /// Computes the difference that turns the old set into the new one.
    pub fn between(old: &ObjectSet, new: &ObjectSet) -> Self {
        let before = objects_by_key(old);
        let after = objects_by_key(new);
        let put = after
            .iter()
            .filter(|(key, object)| before.get(*key) != Some(object))
            .map(|(_, object)| object.clone())
            .collect();
        let removed = before
            .keys()
            .filter(|key| !after.contains_key(*key))
            .cloned()
            .collect();
        Self { put, removed }
    }

    /// Returns whether the sets are equal.
    pub const fn is_empty(&self) -> bool {
        self.put.is_empty() && self.removed.is_empty()
    }

    /// Returns one entry for each object that differs, sorted by key.
    pub fn summary(&self, old: &ObjectSet) -> Vec<ObjectChange> {
        let before = objects_by_key(old);
        let mut changes: Vec<(ObjectKey, ObjectChange)> = Vec::new();
        for object in &self.put {
            let key = object.key();
            let change = if before.contains_key(&key) {
                ObjectChange::Changed(key.clone())
            } else {
                ObjectChange::Added(key.clone())
            };
            changes.push((key, change));
        }
        for key in &self.removed {
            changes.push((key.clone(), ObjectChange::Removed(key.clone())));
        }
        changes.sort_by(|a, b| a.0.cmp(&b.0));
        changes.into_iter().map(|(_, change)| change).collect()
    }
}

fn objects_by_key(set: &ObjectSet) -> SortedMap<ObjectKey, ConfigObject> {
    set.objects()
        .into_iter()
        .map(|object| (object.key(), object))
        .collect()
}
