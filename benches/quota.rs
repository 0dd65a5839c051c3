//! Cost of quota and guard decisions: `cargo bench --bench quota`.

use {
    dogwoodbridge::{
        freshness::{Freshness, Snapshot},
        guard::{
            ExecutionResult, GuardTable, GuardTime, KeyedRequest, SliceHistory, StoredResponse,
        },
        membership::{Member, MemberPorts, MemberState, View},
        model::{Class, Names, WorkspaceKey},
        quota::{self, QuotaGate, QuotaInputs, Rate, Rates},
        rpc,
        slices::{Planner, PlannerInput, SliceIndex, SliceTable, Slot},
        timer::Timer,
    },
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::sync::watch,
    tokio_util::sync::CancellationToken,
};

const ADMIT_COUNT: u32 = 1_000_000;
const KEY_COUNT: u32 = 20_000;
const PLAN_COUNT: u32 = 200;
const RATE: Rate = Rate {
    rate_per_s: 4_000_000,
    burst_count: 8_000_000,
};

fn member(index: usize) -> Member {
    let byte = |n: usize| u8::try_from(n).expect("small");
    Member {
        node_id: format!("n{index:03}"),
        ip: [127, 93, byte(index / 250), byte(index % 250 + 1)].into(),
        ports: MemberPorts {
            peer: 1,
            gossip: 2,
            rpc: 3,
            control: 4,
        },
        region: "r".to_owned(),
        zone: format!("z{}", index % 6),
        started_unix_ms: 1,
        incarnation: 0,
        state: MemberState::Alive,
        target: None,
    }
}

fn report(what: &str, count: u32, elapsed: Duration) {
    let mean_ns = elapsed.as_nanos() / u128::from(count);
    println!("{what}: {mean_ns} ns each, {count} times");
}

#[tokio::main(flavor = "current_thread")]
async fn main() {
    admit().await;
    guard();
    plan();
}

async fn admit() {
    let member = member(0);
    let own = Slot::new(&member);
    let table = SliceTable::new(own.clone());
    let view = View::new([member]);
    let always_fresh = Snapshot {
        freshness: Freshness::Fresh,
        valid_until_ms: u64::MAX,
        quota_until_ms: u64::MAX,
    };
    let names = Names::new();
    let workspace = names.workspace("shop");
    let (_view, view) = watch::channel(Arc::new(view));
    let (_freshness, freshness) = watch::channel(always_fresh);
    let (_rates, rates) = watch::channel(Arc::new(Rates::from([(workspace, RATE)])));
    let (client, _calls) = rpc::channel();
    let quota = quota::spawn(QuotaInputs {
        own,
        region: "r".to_owned(),
        started_unix_ms: 1,
        timer: Timer::new(CancellationToken::new()),
        names,
        view,
        freshness,
        rates,
        client,
    });
    quota.observe_table(&table);
    tokio::time::sleep(Duration::from_millis(4500)).await;
    let started = Instant::now();
    let mut admitted_count = 0;
    for _ in 0..ADMIT_COUNT {
        admitted_count += u32::from(quota.admit(workspace, RATE, Class::Standard).await.is_ok());
    }
    report(
        "admit, including borrow requests",
        ADMIT_COUNT,
        started.elapsed(),
    );
    println!("  of which admitted: {admitted_count}");
}

fn guard() {
    let mut table = GuardTable::new(1);
    let history = SliceHistory {
        since_epoch: 1,
        known_since_unix_ms: 0,
    };
    SliceIndex::all().for_each(|slice| table.hold(slice, history));
    let time = GuardTime {
        now_ms: 1,
        unix_ms: 1_700_000_000_000,
    };
    let response = StoredResponse {
        status: 200,
        headers: vec![],
        body: bytes::Bytes::from_static(b"done"),
    };
    let started = Instant::now();
    for number in 0..KEY_COUNT {
        let header = format!("order {number}");
        let request = KeyedRequest::new(WorkspaceKey::new(0), "shop", &header, 1);
        table.begin(&request, time, Freshness::Fresh);
        table.finish(
            request.key,
            ExecutionResult::Responded(response.clone()),
            time,
        );
    }
    report("begin and finish a key", KEY_COUNT, started.elapsed());
}

fn plan() {
    let members: Vec<Member> = (0..580).map(member).collect();
    let own = Slot::new(&members[0]);
    let view = View::new(members);
    let mut planner = Planner::new(own.clone());
    let table = SliceTable::new(own.clone());
    let observed = |table, now_ms| PlannerInput {
        table,
        view: &view,
        freshness: Freshness::Fresh,
        draining: false,
        now_ms,
    };
    let steps = planner.plan(observed(&table, 1));
    let table = table.with_steps(&own, &steps);
    let started = Instant::now();
    for round in 0..PLAN_COUNT {
        let now_ms = 10_000 + u64::from(round);
        assert!(planner.plan(observed(&table, now_ms)).is_empty());
    }
    report(
        "plan of a settled table, 580 members",
        PLAN_COUNT,
        started.elapsed(),
    );
    println!("  table: {} bytes", table.serialise().len());
}
