//! Positions of the declarations in the text of a note.

use std::collections::HashMap;

use masticfield_core::config::SpecKind;
use masticfield_core::note::{LineIndex, Position};
use toml::Spanned;
use toml::de::{DeTable, DeValue};

/// Every kind of object, and the name of its list in a section.
const LISTS: [(SpecKind, &str); 6] = [
    (SpecKind::Host, "hosts"),
    (SpecKind::Pool, "pools"),
    (SpecKind::Service, "services"),
    (SpecKind::Team, "teams"),
    (SpecKind::Job, "jobs"),
    (SpecKind::Maintenance, "maintenance"),
];

/// Where the objects of a note are declared.
#[derive(Debug)]
pub(super) struct SourceMap<'a> {
    lines: &'a LineIndex<'a>,
    root: &'a DeTable<'a>,
    added: HashMap<(SpecKind, &'a str), Vec<Declaration<'a>>>,
    changed: HashMap<(SpecKind, &'a str), Vec<Declaration<'a>>>,
    withdrawn: HashMap<(SpecKind, &'a str), Vec<Declaration<'a>>>,
}

/// An element of a list of a section.
#[derive(Debug, Clone, Copy)]
pub(super) struct Declaration<'a> {
    pub section: &'static str,
    pub list: &'static str,
    pub index: usize,
    value: &'a Spanned<DeValue<'a>>,
}

/// A field and its position.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Place {
    pub field: String,
    pub position: Position,
}

impl<'a> SourceMap<'a> {
    /// Creates the map of a note from the table that its text was parsed to.
    pub(super) fn new(lines: &'a LineIndex<'a>, root: &'a DeTable<'a>) -> Self {
        Self {
            lines,
            root,
            added: section(root, "added"),
            changed: section(root, "changed"),
            withdrawn: section(root, "withdrawn"),
        }
    }

    /// The place of a field of the note itself, such as `number`.
    pub(super) fn header(&self, field: &'static str) -> Option<Place> {
        let value = self.root.get(field)?;
        Some(Place {
            field: field.to_owned(),
            position: self.position(value),
        })
    }

    /// The declarations of an object: added ones before changed ones, the last one first.
    pub(super) fn declarations(&self, kind: SpecKind, name: &str) -> Vec<Declaration<'a>> {
        let sections = [&self.added, &self.changed].into_iter();
        let lists = sections.filter_map(|section| section.get(&(kind, name)));
        lists.flat_map(|list| list.iter().rev()).copied().collect()
    }

    /// The place of a field of a declared object, or of the object if it lacks the field.
    pub(super) fn declared(&self, kind: SpecKind, name: &str, field: &str) -> Option<Place> {
        let declaration = *self.declarations(kind, name).first()?;
        Some(self.place(&declaration, field))
    }

    /// The place where an object is changed or withdrawn that does not exist.
    pub(super) fn missing(&self, kind: SpecKind, name: &str) -> Option<Place> {
        let changed = self.changed.get(&(kind, name)).and_then(|list| list.last());
        let withdrawn = self.withdrawn.get(&(kind, name));
        match withdrawn {
            Some(list) if list.len() > 1 || changed.is_none() => Some(self.place(list.last()?, "")),
            _ => Some(self.place(changed?, "name")),
        }
    }

    /// The place where an object is withdrawn.
    pub(super) fn withdrawn(&self, kind: SpecKind, name: &str) -> Option<Place> {
        let declaration = self.withdrawn.get(&(kind, name))?.last()?;
        Some(self.place(declaration, ""))
    }

    /// Whether the note withdraws an object and changes or withdraws it a second time.
    pub(super) fn is_missing_in_any(&self, kind: SpecKind, name: &str) -> bool {
        let withdrawn = self.withdrawn.get(&(kind, name)).map_or(0, Vec::len);
        withdrawn > 1 || (withdrawn == 1 && self.changed.contains_key(&(kind, name)))
    }

    fn place(&self, declaration: &Declaration<'a>, field: &str) -> Place {
        let Declaration {
            section,
            list,
            index,
            value,
        } = declaration;
        let path = if field.is_empty() {
            format!("{section}.{list}[{index}]")
        } else {
            format!("{section}.{list}[{index}].{field}")
        };
        let mut fields = field.split('.').filter(|name| !name.is_empty());
        let found = fields.try_fold(*value, |value, name| value.get_ref().as_table()?.get(name));
        Place {
            field: path,
            position: self.position(found.unwrap_or(value)),
        }
    }

    fn position(&self, value: &Spanned<DeValue<'_>>) -> Position {
        self.lines.position(value.span().start)
    }
}

/// The declarations in one section, by kind and name.
fn section<'a>(
    root: &'a DeTable<'a>,
    section: &'static str,
) -> HashMap<(SpecKind, &'a str), Vec<Declaration<'a>>> {
    let mut declarations: HashMap<_, Vec<_>> = HashMap::new();
    let Some(lists) = root
        .get(section)
        .and_then(|value| value.get_ref().as_table())
    else {
        return declarations;
    };
    for (kind, list) in LISTS {
        let elements = lists.get(list).and_then(|value| value.get_ref().as_array());
        for (index, value) in elements
            .into_iter()
            .flat_map(|list| list.iter())
            .enumerate()
        {
            let Some(name) = name(value.get_ref()) else {
                continue;
            };
            declarations
                .entry((kind, name))
                .or_default()
                .push(Declaration {
                    section,
                    list,
                    index,
                    value,
                });
        }
    }
    declarations
}

/// The name of a declaration, or the withdrawn name.
fn name<'a>(value: &'a DeValue<'a>) -> Option<&'a str> {
    match value {
        DeValue::Table(table) => table.get("name")?.get_ref().as_str(),
        value => value.as_str(),
    }
}
