use crate::{FleetConfiguration, Generation, KeyDigest, Root, differences, load_documents};
use mastbay_settings::Document;
use std::collections::{BTreeMap, BTreeSet};

fn fleet(tenants: usize) -> String {
    let mut text = String::from(
        "[service answers]\nkind = model\nmodel = anglers-8b\nrepeatable = yes\n\
         [service permits]\nkind = plain\npath-prefix = /permits\n\
         [backend engine-1]\nservice = answers\naddress = 127.0.0.1:9001\nzone = a\nslots = 8\n",
    );
    for index in 0..tenants {
        let key = KeyDigest::of(&format!("key-{index}"));
        text.push_str(&format!("[tenant t{index}]\nweight = 2\nkey-sha256 = {key}\n"));
    }
    text
}

fn load(text: &str) -> Result<FleetConfiguration, Vec<String>> {
    let document = Document::parse("fleet.ini", text).expect("INI form");
    load_documents(&[document])
        .map_err(|faults| faults.list.iter().map(ToString::to_string).collect())
}

#[test]
fn parts_assemble_to_the_same_configuration_and_most_survive_a_small_change() {
    let mut configuration = load(&fleet(400)).expect("valid");
    let before = configuration.to_parts();
    let root = Root {
        generation: Generation(1),
        apply_id: "a".to_owned(),
        previous: Vec::new(),
        parts: before.iter().map(|part| part.hash()).collect(),
    };
    let by_hash: BTreeMap<_, _> = before.iter().map(|part| (part.hash(), part.clone())).collect();
    let assembled = FleetConfiguration::assemble(&root, &by_hash).expect("all parts");
    assert_eq!(assembled, configuration);

    configuration.tenants.values_mut().next().expect("a tenant").most_waiting = 3;
    let known: BTreeSet<_> = by_hash.keys().cloned().collect();
    let new = configuration.to_parts().iter().filter(|part| !known.contains(&part.hash())).count();
    assert_eq!(new, 1, "one changed entry creates one new part");
}

#[test]
fn faults_over_several_sections_are_reported_together() {
    let digest = KeyDigest::of("same");
    let text = format!(
        "[tenant a]\nkey-sha256 = {digest}\nweight = 0\n\
         [tenant b]\nkey-sha256 = {digest}\n\
         [tenant b]\n\
         [backend x]\nservice = nowhere\naddress = 127.0.0.1:1\nzone = z\nslots = 1\n\
         [service s]\nkind = plain\npath-prefix = /v1/x\n\
         [tenant bad name!]\n[what]\n"
    );
    let found = load(&text).expect_err("faults");
    let expected = [
        "[tenant b] appears more than once",
        "[tenant a] weight: expected a whole number from 1 to 10000, found '0'",
        "is already taken by [tenant a]",
        "[service s] path-prefix: expected a path such as /permits",
        "[tenant bad name!] expected a name of 1 to 63",
        "[what] unknown section; known here: tenant NAME",
        "[backend x] service: no service 'nowhere' is declared",
    ];
    for text in expected {
        assert!(found.iter().any(|fault| fault.contains(text)), "{text} not in {found:#?}");
    }
    assert_eq!(found.len(), expected.len(), "{found:#?}");
}

#[test]
fn differences_name_the_changed_entries() {
    let before = load(&fleet(2)).expect("valid");
    let mut after = before.clone();
    after.tenants.values_mut().next().expect("a tenant").most_waiting = 3;
    after.backends.clear();
    let shown: Vec<String> = differences(&before, &after).iter().map(ToString::to_string).collect();
    assert_eq!(shown, ["changed tenant t0: most_waiting 10000 -> 3", "removed backend engine-1"]);
}
