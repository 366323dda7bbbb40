//! Search for all invalid fields of a note.
//!
//! The parser stops at the first invalid field. To find the others, the field is removed, or
//! replaced by a value that is accepted, and the note is parsed again. Each declaration is parsed
//! in a note of its own, so that the time is in proportion to the size of the note.

use masticfield_core::note::ReleaseNote;
use toml::Spanned;
use toml::de::{DeArray, DeTable, DeValue};

use super::found::Found;
use super::part::{Part, parse};

/// Sections of a note that contain lists.
pub(super) const SECTIONS: [&str; 3] = ["added", "changed", "withdrawn"];

/// Start and end of a value that a part has in addition to those of the text.
const OUTSIDE: std::ops::Range<usize> = usize::MAX..usize::MAX;

/// A note with invalid values replaced.
#[derive(Debug)]
pub(super) struct Repaired<'a> {
    /// `None` if no replacement was accepted in some place.
    pub note: Option<ReleaseNote>,
    pub root: DeTable<'a>,
    pub found: Found,
}

/// An element of a list of a section.
struct Element<'a> {
    section: &'static str,
    list: String,
    index: usize,
    value: Spanned<DeValue<'a>>,
}

/// Finds every invalid field of a text of `length` bytes that was parsed to `root`.
pub(super) fn repair(mut root: Spanned<DeTable<'_>>, length: usize) -> Repaired<'_> {
    let span = root.span();
    let elements = take_elements(root.get_mut());
    let (mut root, mut found) = Part::new(root, length).run();
    for element in elements {
        // A list that was removed has an error already.
        let Some(array) = array(&mut root, element.section, &element.list) else {
            continue;
        };
        let Element {
            section,
            list,
            index,
            value,
        } = element;
        let part = Part::new(alone(section, &list, value), length);
        let (mut repaired, mut found_in_it) = part.run();
        if let Some(repaired) = self::array(&mut repaired, section, &list) {
            for value in std::mem::replace(repaired, DeArray::new()) {
                array.push(value);
            }
        }
        found_in_it.set_index(index);
        found.extend(found_in_it);
    }
    let note = parse(Spanned::new(span, root.clone())).ok();
    Repaired { note, root, found }
}

/// Removes the elements of all lists.
fn take_elements<'a>(root: &mut DeTable<'a>) -> Vec<Element<'a>> {
    let mut elements = Vec::new();
    for section in SECTIONS {
        let Some(DeValue::Table(lists)) = root.get_mut(section).map(Spanned::get_mut) else {
            continue;
        };
        for (name, list) in lists.iter_mut() {
            let DeValue::Array(array) = list.get_mut() else {
                continue;
            };
            let taken = std::mem::replace(array, DeArray::new()).into_iter();
            elements.extend(taken.enumerate().map(|(index, value)| Element {
                section,
                list: name.get_ref().clone().into_owned(),
                index,
                value,
            }));
        }
    }
    elements
}

fn array<'t, 'a>(
    root: &'t mut DeTable<'a>,
    section: &str,
    list: &str,
) -> Option<&'t mut DeArray<'a>> {
    let DeValue::Table(lists) = root.get_mut(section)?.get_mut() else {
        return None;
    };
    match lists.get_mut(list)?.get_mut() {
        DeValue::Array(array) => Some(array),
        _ => None,
    }
}

/// A note that contains one element only.
fn alone<'a>(
    section: &'static str,
    list: &str,
    element: Spanned<DeValue<'a>>,
) -> Spanned<DeTable<'a>> {
    let mut root = DeTable::parse("number = 1\nbuilds_on = 0").expect("the note is valid TOML");
    for (_, value) in root.get_mut().iter_mut() {
        *value = Spanned::new(OUTSIDE, value.get_ref().clone());
    }
    let array = DeValue::Array(DeArray::from_iter([element]));
    let mut lists = DeTable::new();
    lists.insert(key(list), Spanned::new(OUTSIDE, array));
    let lists = Spanned::new(OUTSIDE, DeValue::Table(lists));
    let mut note = root.into_inner();
    note.insert(key(section), lists);
    Spanned::new(OUTSIDE, note)
}

fn key<'a>(name: &str) -> Spanned<std::borrow::Cow<'a, str>> {
    Spanned::new(OUTSIDE, name.to_owned().into())
}
