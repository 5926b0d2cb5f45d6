use super::*;

#[test]
fn named_mechanisms_are_off_and_all_others_on() {
    let mechanisms = Mechanisms::without("waiting, health").expect("known");
    for (mechanism, name) in Mechanism::ALL {
        assert_eq!(
            mechanisms.is_enabled(mechanism),
            !["waiting", "health"].contains(&name),
            "{name}"
        );
    }
    assert_eq!(Mechanisms::without(""), Ok(Mechanisms::default()));
}

#[test]
fn an_unknown_name_is_rejected_with_the_list_of_known_names() {
    let fault = Mechanisms::without("waiting,luck").expect_err("unknown").to_string();
    assert!(fault.contains("\"luck\"") && fault.contains("whole-programs"), "{fault}");
}
