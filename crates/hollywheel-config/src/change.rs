//! Published versions and the differences between them.

use std::fmt;

use hollywheel_types::{ConfigVersion, PublishId, SortedMap, WallTime};
use serde::{Deserialize, Serialize};

use crate::object::{ConfigObject, ObjectKey};
use crate::set::ObjectSet;

/// Holds a version of the object set as it was published.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct PublishedSet {
    /// The version, which only rises.
    pub version: ConfigVersion,
    /// The publication that made the version.
    pub publish_id: PublishId,
    /// The objects.
    pub set: ObjectSet,
}

impl PublishedSet {
    /// Applies a change that was made on this version.
    ///
    /// # Errors
    ///
    /// Returns the change if it was made on another version.
    pub fn apply(&self, change: &ConfigChange) -> Result<Self, BaseMismatch> {
        let mut next = self.clone();
        next.advance(change)?;
        Ok(next)
    }

    /// Applies a change that was made on this version, in place.
    ///
    /// # Errors
    ///
    /// Returns an error and changes nothing if the change was made on another version.
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

/// Says that a change was made on another version than the one at hand.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct BaseMismatch {
    /// The version at hand.
    pub version: ConfigVersion,
    /// The version that the change was made on.
    pub base: ConfigVersion,
}

impl fmt::Display for BaseMismatch {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "the change was made on version {} but version {} is at hand",
            self.base, self.version
        )
    }
}

impl std::error::Error for BaseMismatch {}

/// Describes one publication as it is stored and sent between hosts.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ConfigChange {
    /// The version that it was made on.
    pub base: ConfigVersion,
    /// The version that it makes.
    pub version: ConfigVersion,
    /// The publication.
    pub publish_id: PublishId,
    /// The operator who published it.
    pub operator: String,
    /// When it was published.
    pub published_at: WallTime,
    /// What it changes.
    pub diff: SetDiff,
}

/// Lists the objects that differ between two sets.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct SetDiff {
    /// Objects that are new or changed.
    pub put: Vec<ConfigObject>,
    /// Keys of objects that are gone.
    pub removed: Vec<ObjectKey>,
}

/// Names what happens to one object in a difference.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ObjectChange {
    /// The object is new.
    Added(ObjectKey),
    /// The object differs.
    Changed(ObjectKey),
    /// The object is gone.
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
    /// Computes what turns one set into another.
    pub fn between(old: &ObjectSet, new: &ObjectSet) -> Self {
        let before = keyed_objects(old);
        let after = keyed_objects(new);
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

    /// Says whether nothing differs.
    pub const fn is_empty(&self) -> bool {
        self.put.is_empty() && self.removed.is_empty()
    }

    /// Lists what happens to each object, in the order of the keys.
    pub fn summary(&self, old: &ObjectSet) -> Vec<ObjectChange> {
        let before = keyed_objects(old);
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

fn keyed_objects(set: &ObjectSet) -> SortedMap<ObjectKey, ConfigObject> {
    set.objects()
        .into_iter()
        .map(|object| (object.key(), object))
        .collect()
}
