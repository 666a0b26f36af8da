//! The entries of a job in the order of the numbered objects that hold them: the results in its
//! segments, or the items in its parts.
//!
//! Stored objects never change, so their order and the positions of the entries are kept for good.
//! Their contents take more memory; they can be released, and restored by another read.

use std::{collections::HashMap, sync::Arc};

use tokio::time::Instant;

use crate::{item::NewItem, record::ItemResult};

/// Maximum size of the entries in one page, in bytes of JSON.
const PAGE_BYTES: usize = 900 << 10;
/// Memory for the position of an entry beside its id, in bytes.
const POSITION_BYTES: usize = 64;
/// Memory for an entry beside its texts, in bytes.
const ENTRY_BYTES: usize = 64;

/// What a numbered object of a job holds.
pub(crate) trait Entry: Send + Sync + Sized + 'static {
    /// Id of the entry's item.
    fn id(&self) -> &str;

    /// Size in a page, in bytes of JSON.
    fn json_len(&self) -> usize;

    /// Size in memory, in bytes.
    fn bytes(&self) -> usize;
}

impl Entry for ItemResult {
    fn id(&self) -> &str {
        &self.item
    }

    fn json_len(&self) -> usize {
        Self::json_len(self)
    }

    fn bytes(&self) -> usize {
        self.item.len() + self.output.len() + ENTRY_BYTES
    }
}

impl Entry for NewItem {
    fn id(&self) -> &str {
        &self.id
    }

    fn json_len(&self) -> usize {
        self.body.len()
    }

    fn bytes(&self) -> usize {
        let headers = self.headers.iter().map(|(name, value)| name.len() + value.len());
        self.id.len() + self.path.len() + headers.sum::<usize>() + self.body.len() + ENTRY_BYTES
    }
}

/// Some consecutive entries.
#[derive(Debug)]
pub(crate) struct Page<E> {
    pub(crate) entries: Vec<Arc<E>>,
    /// Whether the page has no room for the next entry.
    pub(crate) is_full: bool,
}

/// Fills a page with entries, given with their sizes; it has at least one if there are any.
pub(crate) fn fill_page<'a, E: Entry>(
    entries: impl Iterator<Item = (&'a Arc<E>, usize)>,
) -> Page<E> {
    let mut page = Page { entries: Vec::new(), is_full: false };
    let mut bytes = 0;
    for (entry, json_len) in entries {
        bytes += json_len;
        if !page.entries.is_empty() && bytes > PAGE_BYTES {
            page.is_full = true;
            break;
        }
        page.entries.push(Arc::clone(entry));
    }
    page
}

/// What is known of an entry.
#[derive(Debug)]
pub(crate) enum Found<T> {
    Here(T),
    /// The contents of the object of this number have been released.
    Released(usize),
    /// It isn't in the objects that were read so far.
    Unknown,
}

/// The entries of one object.
#[derive(Debug)]
struct Chunk<E> {
    /// Position of the first entry.
    first: usize,
    /// The entries that count, with their sizes in a page; `None` once released.
    entries: Option<Vec<(Arc<E>, usize)>>,
    bytes: usize,
    used: Instant,
}

/// The entries of a job, as far as they have been read.
#[derive(Debug)]
pub(crate) struct Row<E> {
    chunks: Vec<Chunk<E>>,
    positions: HashMap<String, usize>,
    bytes: usize,
    index_bytes: usize,
    /// Size of the largest object, in bytes.
    largest: usize,
}

impl<E> Default for Row<E> {
    fn default() -> Self {
        let (chunks, positions) = (Vec::new(), HashMap::new());
        Self { chunks, positions, bytes: 0, index_bytes: 0, largest: 0 }
    }
}

impl<E: Entry> Row<E> {
    /// Number of entries read so far.
    pub(crate) fn len(&self) -> usize {
        self.positions.len()
    }

    /// Number of objects read so far, which is the number of the next one.
    pub(crate) const fn objects(&self) -> usize {
        self.chunks.len()
    }

    /// Memory that the contents take, in bytes.
    pub(crate) const fn bytes(&self) -> usize {
        self.bytes
    }

    /// Memory that the positions take, in bytes; it can't be released.
    pub(crate) const fn index_bytes(&self) -> usize {
        self.index_bytes
    }

    /// Size of the largest object, in bytes.
    pub(crate) const fn largest(&self) -> usize {
        self.largest
    }

    /// Memory that the contents from `position` on take, in bytes.
    pub(crate) fn bytes_from(&self, position: usize) -> usize {
        let later = self.chunks.iter().rev().take_while(|chunk| chunk.first >= position);
        later.filter(|chunk| chunk.entries.is_some()).map(|chunk| chunk.bytes).sum()
    }

    /// Whether an entry is in the objects read so far.
    pub(crate) fn contains(&self, id: &str) -> bool {
        self.positions.contains_key(id)
    }

    /// Adds the next object; the first entry of each id counts.
    pub(crate) fn append(&mut self, now: Instant, entries: Vec<E>) {
        let first = self.len();
        for entry in &entries {
            if !self.contains(entry.id()) {
                self.index_bytes += entry.id().len() + POSITION_BYTES;
                self.positions.insert(entry.id().to_owned(), self.len());
            }
        }
        self.index_bytes += POSITION_BYTES;
        self.chunks.push(Chunk { first, entries: None, bytes: 0, used: now });
        self.restore(now, self.chunks.len() - 1, entries);
    }

    /// Adds the contents of an object again.
    pub(crate) fn restore(&mut self, now: Instant, object: usize, entries: Vec<E>) {
        let Some(chunk) = self.chunks.get_mut(object) else { return };
        if chunk.entries.is_some() {
            return;
        }
        let mut kept = Vec::new();
        for entry in entries {
            if self.positions.get(entry.id()) == Some(&(chunk.first + kept.len())) {
                let json_len = entry.json_len();
                kept.push((Arc::new(entry), json_len));
            }
        }
        chunk.bytes = kept.iter().map(|(entry, _)| entry.bytes()).sum();
        chunk.entries = Some(kept);
        chunk.used = now;
        self.bytes += chunk.bytes;
        self.largest = self.largest.max(chunk.bytes);
    }

    /// Releases the contents that were not used for the longest time; returns whether there were any.
    pub(crate) fn release_oldest(&mut self) -> bool {
        let held = self.chunks.iter_mut().filter(|chunk| chunk.bytes > 0);
        let oldest = held.filter(|chunk| chunk.entries.is_some()).min_by_key(|chunk| chunk.used);
        let Some(chunk) = oldest else { return false };
        chunk.entries = None;
        self.bytes -= chunk.bytes;
        true
    }

    /// Number of the object that holds a position.
    fn object_of(&self, position: usize) -> Option<usize> {
        let known = position < self.len();
        // Objects without entries begin where the next one does.
        known.then(|| self.chunks.partition_point(|chunk| chunk.first <= position) - 1)
    }

    /// A page of the entries from `position` on.
    pub(crate) fn page(&mut self, now: Instant, position: usize) -> Found<Page<E>> {
        let Some(object) = self.object_of(position) else { return Found::Unknown };
        let offset = position - self.chunks[object].first;
        let held = self.chunks[object..].iter().map_while(|chunk| chunk.entries.as_ref());
        let held = held.flatten().map(|(entry, json_len)| (entry, *json_len));
        let page = fill_page(held.skip(offset));
        if page.entries.is_empty() {
            return Found::Released(object);
        }
        self.chunks[object].used = now;
        Found::Here(page)
    }

    /// The entry of an id.
    pub(crate) fn entry(&mut self, now: Instant, id: &str) -> Found<Arc<E>> {
        let position = self.positions.get(id).copied();
        let Some(position) = position else { return Found::Unknown };
        match self.page(now, position) {
            Found::Here(page) => {
                page.entries.into_iter().next().map_or(Found::Unknown, Found::Here)
            }
            Found::Released(object) => Found::Released(object),
            Found::Unknown => Found::Unknown,
        }
    }
}
