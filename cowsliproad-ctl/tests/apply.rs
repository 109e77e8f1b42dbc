//! The difference between a file and the configuration.

use cowsliproad_config::{
    ConfigObject,
    fold::VersionedObject,
    object::{Backend, ObjectKey, ObjectKind, Service},
};
use cowsliproad_ctl::apply::{Difference, Others, differences};

fn service(name: &str, backend: Backend) -> ConfigObject {
    ConfigObject::Service(Service { name: name.into(), backend })
}

fn present() -> Vec<VersionedObject> {
    let same = service("same", Backend::Plain);
    let old = service("old", Backend::Plain);
    let other = service("other", Backend::Plain);
    vec![
        VersionedObject { revision: 1, object: same },
        VersionedObject { revision: 2, object: old },
        VersionedObject { revision: 3, object: other },
    ]
}

fn wanted() -> Vec<ConfigObject> {
    vec![
        service("same", Backend::Plain),
        service("old", Backend::Engine),
        service("new", Backend::Plain),
    ]
}

#[test]
fn only_what_differs_changes() {
    let found = differences(&wanted(), &present(), Others::Keep);
    let expected = [
        Difference::Replace(2, service("old", Backend::Engine)),
        Difference::Create(service("new", Backend::Plain)),
    ];
    assert_eq!(found, expected);
}

#[test]
fn pruning_deletes_the_rest() {
    let found = differences(&wanted(), &present(), Others::Prune);
    let gone =
        Difference::Delete(3, ObjectKey::new(ObjectKind::Service, "other"));
    assert_eq!(found.last(), Some(&gone));
}
