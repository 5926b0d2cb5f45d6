//! Measures what one more program, endpoint, peer or record costs, for docs/CAPACITY.md. Each figure is
//! the time or memory of a whole run divided by its operations; growing sizes show the slope.

use std::alloc::System;
use std::hint::black_box;
use std::time::Instant;

use stats_alloc::{INSTRUMENTED_SYSTEM, StatsAlloc};
use trefoilproxy::admission::{BorrowRequest, Lender, LendingTimes};
use trefoilproxy::contracts::{
    ConfigRecord, ConfigState, KeyDigest, KeyId, Operation, parse_declaration,
};
use trefoilproxy::membership::{Heartbeat, LivenessTimeouts, PeerState, PeerTable, RoleStatus};
use trefoilproxy::prelude::*;
use trefoilproxy::programs::{
    FinishReason, IntentRecord, Message, OutcomeRecord, PlaceRequest, Record, ShardState,
    StoredRecord, TurnResult, Usage,
};
use trefoilproxy::routing::{EndpointView, Router, RoutingPolicy};

#[global_allocator]
static ALLOCATOR: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

/// Bytes currently allocated.
fn allocated_bytes() -> usize {
    let stats = ALLOCATOR.stats();
    stats.bytes_allocated.saturating_sub(stats.bytes_deallocated)
}

fn vm(name: &str) -> VmName {
    VmName::parse(name).expect("a valid name")
}

fn model_name() -> ModelName {
    ModelName::parse("small").expect("a valid name")
}

fn program(number: usize) -> ProgramId {
    let workspace = WorkspaceId::parse(&format!("w{}", number % 3_300)).expect("a valid name");
    ProgramId::parse(workspace, &format!("program-{number}")).expect("a valid name")
}

/// Nanoseconds per operation since `started`.
fn ns_per_operation(started: Instant, count: usize) -> f64 {
    started.elapsed().as_nanos() as f64 / count as f64
}

/// A shard's records of programs with `turns` turns each, with texts of the given sizes in bytes.
fn shard_records(
    programs: usize,
    turns: u32,
    prompt_bytes: usize,
    answer_bytes: usize,
) -> Vec<StoredRecord<Record>> {
    let claim = Record::Claim { entry: vm("e0"), instance: Instance(1), nonce: 1 };
    let mut records = vec![claim];
    let mut sequence = 0;
    for turn in 1..=turns {
        for number in 0..programs {
            sequence += 1;
            let attempt = AttemptId { shard: ShardId(0), epoch: Epoch(1), sequence };
            let digest = Digest::of(&[&sequence.to_le_bytes()]);
            records.push(Record::Intent(IntentRecord {
                program: program(number),
                turn: TurnNo(turn),
                digest,
                attempt,
                endpoint: EndpointRef { vm: vm("m0"), instance: Instance(1) },
                reserve_tokens: 100,
                idempotent: true,
                idempotency_key: None,
            }));
            records.push(Record::Outcome(OutcomeRecord {
                program: program(number),
                epoch: Epoch(1),
                turn: TurnNo(turn),
                attempt,
                digest,
                idempotency_key: None,
                messages: vec![Message::text("user", &"a".repeat(prompt_bytes))],
                result: TurnResult::Answered {
                    text: "b".repeat(answer_bytes).into(),
                    finish: FinishReason::Stop,
                    usage: Usage { prompt_tokens: 1, completion_tokens: 50 },
                },
                charge_tokens: 50,
            }));
        }
    }
    let stored = (1..).zip(records);
    let stored = stored.map(|(offset, data)| StoredRecord {
        offset: Offset(offset),
        time_ms: UnixMs(offset),
        data,
    });
    stored.collect()
}

fn measure_recovery() {
    println!("\nrecovery of a shard: 4 turns a program, 400 bytes asked and 600 answered a turn");
    println!(
        "{:>9} {:>9} {:>14} {:>12} {:>16}",
        "programs", "records", "fold ms", "ns/record", "bytes/program"
    );
    for programs in [100, 1_000, 5_000] {
        let stream = shard_records(programs, 4, 400, 600);
        let lines: Vec<String> =
            stream.iter().map(|r| serde_json::to_string(r).unwrap_or_default()).collect();
        let before = allocated_bytes();
        let started = Instant::now();
        let read: Vec<StoredRecord<Record>> =
            lines.iter().filter_map(|line| serde_json::from_str(line).ok()).collect();
        let shard_state = ShardState::from_records(Offset(1), &read);
        let ms = started.elapsed().as_secs_f64() * 1_000.0;
        let ns = ns_per_operation(started, read.len());
        let records = read.len();
        drop(read);
        let bytes = (allocated_bytes() - before) / programs;
        println!("{programs:>9} {:>9} {ms:>14.1} {ns:>12.0} {bytes:>16}", records);
        black_box(shard_state);
    }
    let outcome = serde_json::to_string(&shard_records(1, 1, 400, 600)[2].data).unwrap_or_default();
    let intent = serde_json::to_string(&shard_records(1, 1, 400, 600)[1].data).unwrap_or_default();
    println!(
        "bytes of an intent {}, of an outcome without its texts {}",
        intent.len(),
        outcome.len() - 1_000
    );
}

fn measure_routing() {
    println!("\nrouting: one placement against the number of endpoints of a model");
    println!("{:>9} {:>12} {:>12} {:>14}", "endpoints", "first ns", "later ns", "bytes/program");
    for endpoints in [9, 100, 1_000, 2_750] {
        let views: Vec<EndpointView> = (0..endpoints)
            .map(|index| EndpointView {
                endpoint: EndpointRef { vm: vm(&format!("m{index}")), instance: Instance(1) },
                reported_load: (index % 7) as u32,
                concurrency: 16,
                reported_at: TimeMs(0),
                in_same_domain: index % 4 == 0,
                vm_hash: EndpointView::vm_hash(&vm(&format!("m{index}"))),
            })
            .collect();
        let mut router = Router::new(RoutingPolicy::CacheAffinity, 1);
        let calls = (2_000_000 / endpoints).min(20_000);
        let programs: Vec<ProgramId> = (0..calls).map(program).collect();
        let target = model_name();
        let mut place = |is_first: bool| {
            let started = Instant::now();
            for (at, program) in programs.iter().enumerate() {
                let digest = Digest::of(&[&at.to_le_bytes()]);
                let request = PlaceRequest {
                    program,
                    target: &target,
                    digest: &digest,
                    weight: 1,
                    is_first,
                    is_suspect: false,
                    avoid: None,
                };
                let _ = black_box(router.place(TimeMs(at as u64 * 20), &request, &views));
            }
            ns_per_operation(started, calls)
        };
        let before = allocated_bytes();
        let first = place(true);
        let bytes = (allocated_bytes() - before) / calls;
        let later = place(false);
        println!("{endpoints:>9} {first:>12.0} {later:>12.0} {bytes:>14}");
    }
}

fn heartbeat(number: usize, sequence: u64, shards: u16) -> Heartbeat {
    let owned = (0..shards).map(|shard| (ShardId(shard), Epoch(123_456))).collect();
    Heartbeat {
        vm: vm(&format!("entry-{number}")),
        instance: Instance(number as u64),
        started: UnixMs(1_780_000_000_000),
        sequence,
        failure_domain: "domain-a".into(),
        address: "10.1.2.3:7000".parse().expect("an address"),
        control: "10.1.2.3:7001".parse().expect("an address"),
        state: PeerState::Live,
        role_status: RoleStatus::Entry { config: Offset(1_000_000), log_age_ms: Some(100), owned },
    }
}

fn measure_membership() {
    println!("\nmembership: direct heartbeats to every entry, 4 a second");
    println!(
        "{:>8} {:>12} {:>12} {:>14} {:>12}",
        "entries", "bytes each", "ns to take", "B/s sent", "% of a core"
    );
    for entries in [4, 16, 64, 350] {
        let bytes = heartbeat(1, 1_000_000, 2).encode().len();
        let mut table = PeerTable::new(LivenessTimeouts::for_heartbeat(250));
        let rounds = 200_000 / entries;
        let datagrams: Vec<Vec<u8>> =
            (0..entries).map(|number| heartbeat(number, 1, 2).encode()).collect();
        let started = Instant::now();
        for round in 0..rounds {
            for datagram in &datagrams {
                if let Some(mut heartbeat) = Heartbeat::decode(datagram) {
                    heartbeat.sequence = round as u64 + 2;
                    table.record_heartbeat(TimeMs(round as u64), heartbeat);
                }
            }
        }
        let ns = ns_per_operation(started, rounds * entries);
        let sent_per_s = 4 * bytes * (entries - 1);
        let core_percent = ns * 4.0 * entries as f64 / 1e9 * 100.0;
        println!("{entries:>8} {bytes:>12} {ns:>12.0} {sent_per_s:>14} {core_percent:>12.3}");
    }
}

fn measure_configuration() {
    println!("\nconfiguration: the book against the number of workspaces, two keys each");
    println!(
        "{:>10} {:>14} {:>16} {:>16} {:>14}",
        "workspaces", "ns/change", "bytes/workspace", "authenticate ns", "snapshot B"
    );
    let contract = parse_declaration(
        "workspace = \"w\"\nrate_per_s = 3\nburst = 6\nmodels = [\"small\"]\n[program]\nbudget_tokens = 9\nmax_turns = 9",
    );
    let Ok(declaration) = contract else {
        return;
    };
    for workspaces in [8, 330, 3_300] {
        let before = allocated_bytes();
        let mut config_state = ConfigState::default();
        let started = Instant::now();
        let mut offset = 0;
        for number in 0..workspaces {
            let id = WorkspaceId::parse(&format!("w{number}")).expect("a valid name");
            let key = |k: usize| KeyDigest::of_key(&format!("key-{number}-{k}"));
            let publish = Operation::Publish { contract: declaration.contract.clone() };
            let grant = |k| Operation::Grant { key: KeyId(format!("k{k}").into()), digest: key(k) };
            for operation in [publish, grant(0), grant(1)] {
                offset += 1;
                let base = config_state.version(&id);
                let workspace = id.clone();
                let change = ConfigRecord::Change { id: offset, workspace, base, operation };
                config_state.apply(Offset(offset), &change);
            }
        }
        let ns = ns_per_operation(started, offset as usize);
        let bytes = (allocated_bytes() - before) / workspaces;
        let digests: Vec<KeyDigest> =
            (0..10_000).map(|n| KeyDigest::of_key(&format!("key-{}-1", n % workspaces))).collect();
        let started = Instant::now();
        digests.iter().for_each(|digest| drop(black_box(config_state.authenticate(digest))));
        let authenticate = ns_per_operation(started, digests.len());
        let snapshot = serde_json::to_vec(&config_state.snapshot()).unwrap_or_default().len();
        println!("{workspaces:>10} {ns:>14.0} {bytes:>16} {authenticate:>16.0} {snapshot:>14}");
    }
}

fn measure_lending() {
    println!("\nlending: one question against the number of workspaces");
    println!("{:>10} {:>12} {:>16}", "workspaces", "ns", "bytes/workspace");
    for workspaces in [8, 330, 3_300] {
        let mut lender = Lender::first(LendingTimes::default(), TimeMs(0));
        let before = allocated_bytes();
        let calls = 200_000;
        let names: Vec<WorkspaceId> = (0..workspaces)
            .map(|n| WorkspaceId::parse(&format!("w{n}")).expect("a valid name"))
            .collect();
        let started = Instant::now();
        for call in 0..calls {
            let request = BorrowRequest {
                workspace: names[call % workspaces].clone(),
                borrower: Instance((call % 10) as u64),
                sequence: call as u64 + 1,
                unused: 0,
                wanted: 1,
                for_ms: 60,
            };
            let now = TimeMs(call as u64 / 20);
            black_box(lender.lend(now, now, (100, 100), &request));
        }
        let ns = ns_per_operation(started, calls);
        println!("{workspaces:>10} {ns:>12.0} {:>16}", (allocated_bytes() - before) / workspaces);
    }
}

/// Prints all measurements.
pub fn run() {
    measure_recovery();
    measure_routing();
    measure_membership();
    measure_configuration();
    measure_lending();
}
