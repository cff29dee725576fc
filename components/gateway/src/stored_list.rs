//! Lists in objects of the store, of which another writer may have changed an element.

use serde::{Deserialize, Deserializer, Serialize, Serializer, de::IgnoredAny};

/// A list without the elements that cannot be read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct StoredList<T> {
    pub(crate) elements: Vec<T>,
    /// Number of elements that are left out.
    pub(crate) unreadable: usize,
}

impl<T> Default for StoredList<T> {
    fn default() -> StoredList<T> {
        StoredList { elements: Vec::new(), unreadable: 0 }
    }
}

impl<T> FromIterator<T> for StoredList<T> {
    fn from_iter<I: IntoIterator<Item = T>>(elements: I) -> StoredList<T> {
        StoredList { elements: elements.into_iter().collect(), unreadable: 0 }
    }
}

impl<T: Serialize> Serialize for StoredList<T> {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        self.elements.serialize(serializer)
    }
}

#[derive(Deserialize)]
#[serde(untagged)]
enum Element<T> {
    Readable(T),
    Unreadable(IgnoredAny),
}

impl<'de, T: Deserialize<'de>> Deserialize<'de> for StoredList<T> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<StoredList<T>, D::Error> {
        let mut list = StoredList::default();
        for element in Vec::<Element<T>>::deserialize(deserializer)? {
            match element {
                Element::Readable(element) => list.elements.push(element),
                Element::Unreadable(_) => list.unreadable += 1,
            }
        }
        if list.unreadable > 0 {
            let count = list.unreadable;
            log::warn!(target: "store", count; "elements of an object not read");
        }
        Ok(list)
    }
}
