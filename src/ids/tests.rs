use test_case::test_case;

use crate::ids::{InvalidName, ProgramId, WorkspaceId};

fn program(workspace: &str, name: &str) -> ProgramId {
    ProgramId::parse(WorkspaceId::parse(workspace).unwrap(), name).unwrap()
}

#[test_case("", InvalidName::Empty)]
#[test_case("a b", InvalidName::Character(' '))]
#[test_case("a/b", InvalidName::Character('/'))]
fn invalid_workspace_names_are_rejected(text: &str, expected: InvalidName) {
    assert_eq!(WorkspaceId::parse(text), Err(expected));
}

#[test]
fn sub_agent_shares_shard_and_account_of_its_root() {
    let root = program("ice", "crossing-7");
    let child = program("ice", "crossing-7/checker");
    assert_eq!(root.shard(64), child.shard(64));
    assert_eq!(child.account(), root);
}

#[test]
fn same_name_in_two_workspaces_identifies_two_programs() {
    assert_ne!(program("ice", "p"), program("biogas", "p"));
}
