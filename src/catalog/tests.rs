use super::*;
use crate::prelude::*;

pub(crate) fn route(host: &str, prefix: &str, service: &str) -> Route {
    Route {
        host: host.into(),
        prefix: prefix.into(),
        repeat: RepeatPolicy::Idempotent,
        timeout_ms: 1_000,
        target_ms: 100,
        gap_target_ms: 0,
        priority: 0,
        attempts: 2,
        keeps_history: false,
        retention_ms: 60_000,
        sticky: false,
        regions: Regions::default(),
        public: false,
        backends: vec![Backend { service: service.into(), weight: 1 }],
    }
}

pub(crate) fn configuration(version: u64, routes: Vec<Route>) -> Configuration {
    let limits = Limits {
        max_header_bytes: 16_384,
        max_body_bytes: 1 << 20,
        header_timeout_ms: 3_000,
        idle_timeout_ms: 15_000,
    };
    Configuration { version, routes, services: vec![], workspaces: vec![], limits }
}

#[test]
fn the_longest_prefix_of_the_host_wins() {
    let routes = vec![route("a", "/x/", "one"), route("a", "/x/y/", "two"), route("b", "/", "b")];
    let catalog = Catalog::build_if_newer(None, configuration(1, routes))
        .expect("the first configuration is accepted");
    let service = |host, path| {
        catalog.route(host, path).and_then(|route| route.service(0)).map(|name| name.to_string())
    };
    assert_eq!(service("a", "/x/y/z"), Some("two".to_string()));
    assert_eq!(service("a", "/x/yz"), Some("one".to_string()));
    assert_eq!(service("a", "/y/"), None);
    assert_eq!(service("b", "/x/y/"), Some("b".to_string()));
}

#[test]
fn an_older_configuration_is_rejected() {
    let newer = Catalog::build_if_newer(None, configuration(7, vec![]))
        .expect("the first configuration is accepted");
    let error =
        Catalog::build_if_newer(Some(&newer), configuration(6, vec![])).map(|c| c.version());
    assert_eq!(error, Err(CatalogError::NotNewer { in_force: 7, offered: 6 }));
}

#[test]
fn requests_are_distributed_by_backend_weight() {
    let mut shared = route("a", "/", "one");
    shared.backends = vec![
        Backend { service: "one".into(), weight: 9 },
        Backend { service: "two".into(), weight: 1 },
    ];
    let to_two = (0..1_000).filter(|hash| shared.service(*hash).is_some_and(|s| &**s == "two"));
    assert_eq!(to_two.count(), 100);
    shared.backends.clear();
    assert_eq!(shared.service(5), None);
}

#[test]
fn a_key_identifies_its_workspace_and_is_not_stored() {
    let workspace = Workspace {
        name: "w".into(),
        priority: None,
        rate_per_s: 1.0,
        burst: 1.0,
        regions: Regions::default(),
    };
    let mut with_key = configuration(1, vec![]);
    with_key.workspaces = vec![(workspace, vec![Digest::of(&[b"secret"])])];
    let catalog =
        Catalog::build_if_newer(None, with_key).expect("the first configuration is accepted");
    assert!(catalog.workspace_by_key(Digest::of(&[b"secret"])).is_some());
    assert!(catalog.workspace_by_key(Digest::of(&[b"Secret"])).is_none());
    assert!(!format!("{catalog:?}").contains("secret"));
}

// If both a route and the workspace restrict the regions, a request may run only where both allow
// it, and nowhere if they have no region in common.
#[test]
fn a_region_must_be_allowed_by_both_route_and_workspace() {
    let (route, workspace) = (Regions::only(["a", "b"]), Regions::only(["b", "c"]));
    let both = workspace.and(&route);
    assert_eq!(["a", "b", "c"].map(|region| both.allow(Some(region))), [false, true, false]);
    assert!(!Regions::only(["a"]).and(&Regions::only(["b"])).allow(Some("a")));
    assert!(Regions::default().allow(None));
    assert!(!route.and(&Regions::default()).allow(None));
}
