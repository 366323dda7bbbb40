//! Comparison of two configurations.

use std::collections::BTreeMap;
use std::sync::Arc;

use masticfield_core::config::{FleetConfig, SpecKind};
use serde::Serialize;
use serde_json::Value;

use super::{Change, ChangeKind, FieldChange};

/// Returns the objects that differ, by kind and name.
pub(super) fn changes(from: &FleetConfig, to: &FleetConfig) -> Vec<Change> {
    let mut changes = Vec::new();
    compare(SpecKind::Host, from.hosts(), to.hosts(), &mut changes);
    compare(SpecKind::Pool, from.pools(), to.pools(), &mut changes);
    compare(
        SpecKind::Service,
        from.services(),
        to.services(),
        &mut changes,
    );
    compare(SpecKind::Team, from.teams(), to.teams(), &mut changes);
    compare(SpecKind::Job, from.jobs(), to.jobs(), &mut changes);
    compare(
        SpecKind::Maintenance,
        from.maintenance(),
        to.maintenance(),
        &mut changes,
    );
    changes
}

fn compare<T: Serialize + PartialEq>(
    kind: SpecKind,
    from: &BTreeMap<Arc<str>, T>,
    to: &BTreeMap<Arc<str>, T>,
    changes: &mut Vec<Change>,
) {
    let change = |change, name: &Arc<str>, fields| Change {
        change,
        kind,
        name: Arc::clone(name),
        fields,
    };
    for name in from.keys().filter(|name| !to.contains_key(*name)) {
        changes.push(change(ChangeKind::Withdrawn, name, Vec::new()));
    }
    for (name, after) in to {
        match from.get(name) {
            None => changes.push(change(ChangeKind::Added, name, Vec::new())),
            Some(before) if before != after => {
                let fields = field_changes(before, after);
                changes.push(change(ChangeKind::Changed, name, fields));
            }
            Some(_) => {}
        }
    }
}

fn field_changes(from: &impl Serialize, to: &impl Serialize) -> Vec<FieldChange> {
    let (from, to) = (flatten(from), flatten(to));
    let mut names: Vec<_> = from.keys().chain(to.keys()).collect();
    names.sort();
    names.dedup();
    let value = |fields: &BTreeMap<String, Value>, name: &String| {
        fields.get(name).cloned().unwrap_or(Value::Null)
    };
    names
        .into_iter()
        .map(|name| FieldChange {
            field: name.clone(),
            from: value(&from, name),
            to: value(&to, name),
        })
        .filter(|field| field.from != field.to)
        .collect()
}

/// The fields of a declaration, with the paths of nested ones.
fn flatten(spec: &impl Serialize) -> BTreeMap<String, Value> {
    let mut fields = BTreeMap::new();
    let spec = serde_json::to_value(spec).expect("declarations are plain data");
    add_fields(&mut fields, "", spec);
    fields
}

fn add_fields(fields: &mut BTreeMap<String, Value>, path: &str, value: Value) {
    let Value::Object(members) = value else {
        fields.insert(path.to_owned(), value);
        return;
    };
    for (name, member) in members {
        let path = if path.is_empty() {
            name
        } else {
            format!("{path}.{name}")
        };
        add_fields(fields, &path, member);
    }
}
