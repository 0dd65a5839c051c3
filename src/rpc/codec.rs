//! Converts between the generated Cap'n Proto types and the messages of the
//! modules. The wire names `bank`, `ask`, `estate` and `loan` stand for token
//! pool, request, pool handover and token batch.

use {
    crate::{
        guard::{GuardKey, Handover, SliceExport, SliceHistory, SliceRecord, StoredResponse},
        model::{Names, WorkspaceKey},
        quota::{
            BorrowRequest, BorrowResponse, HandedOverLease, LeaseRequest, LeaseResponse,
            PoolHandover, PoolRef, Process,
        },
        schema::rpc_capnp as wire,
        slices::{SLICE_COUNT, SliceIndex},
    },
    capnp::Error,
};

fn text(reader: capnp::text::Reader<'_>) -> Result<String, Error> {
    Ok(reader.to_str()?.to_owned())
}

// A `WorkspaceKey` is local to a process, so messages carry names. An unknown
// name is added to the table, since peers are authenticated.
pub fn workspace(names: &Names, name: capnp::text::Reader<'_>) -> Result<WorkspaceKey, Error> {
    Ok(names.workspace(name.to_str()?))
}

fn read_process(reader: wire::process::Reader<'_>) -> Result<Process, Error> {
    Ok(Process {
        node_id: text(reader.get_node_id()?)?,
        started_unix_ms: reader.get_started_unix_ms(),
    })
}

fn write_process(process: &Process, mut builder: wire::process::Builder<'_>) {
    builder.set_node_id(&process.node_id);
    builder.set_started_unix_ms(process.started_unix_ms);
}

fn read_pool_ref(reader: wire::bank::Reader<'_>) -> Result<PoolRef, Error> {
    Ok(PoolRef {
        node_id: text(reader.get_node_id()?)?,
        pool_id: reader.get_bank_id(),
    })
}

fn write_pool_ref(pool: &PoolRef, mut builder: wire::bank::Builder<'_>) {
    builder.set_node_id(&pool.node_id);
    builder.set_bank_id(pool.pool_id);
}

pub fn read_lease_request(
    names: &Names,
    reader: wire::lease_ask::Reader<'_>,
) -> Result<LeaseRequest, Error> {
    Ok(LeaseRequest {
        workspace: workspace(names, reader.get_workspace()?)?,
        pool: read_pool_ref(reader.get_bank()?)?,
        predecessor_id: reader.get_predecessor_id(),
    })
}

pub fn write_lease_request(
    names: &Names,
    request: &LeaseRequest,
    mut builder: wire::lease_ask::Builder<'_>,
) {
    builder.set_workspace(names.workspace_name(request.workspace));
    builder.set_predecessor_id(request.predecessor_id);
    write_pool_ref(&request.pool, builder.init_bank());
}

pub fn read_lease_response(reader: wire::lease_answer::Reader<'_>) -> Result<LeaseResponse, Error> {
    Ok(LeaseResponse {
        slice_count: reader.get_slice_count(),
        level: reader.get_level(),
        ttl_ms: reader.get_ttl_ms(),
        busy_ms: reader.get_busy_ms(),
        holder: read_pool_ref(reader.get_holder()?)?,
    })
}

pub fn write_lease_response(
    response: &LeaseResponse,
    mut builder: wire::lease_answer::Builder<'_>,
) {
    builder.set_slice_count(response.slice_count);
    builder.set_level(response.level);
    builder.set_ttl_ms(response.ttl_ms);
    builder.set_busy_ms(response.busy_ms);
    write_pool_ref(&response.holder, builder.init_holder());
}

pub fn read_pool_handover(reader: wire::estate::Reader<'_>) -> Result<PoolHandover, Error> {
    let leases = reader.get_leases()?.iter().map(|lease| {
        Ok(HandedOverLease {
            owner: text(lease.get_owner()?)?,
            holder_id: lease.get_holder_id(),
            slice_count: lease.get_slice_count(),
            left_ms: lease.get_left_ms(),
        })
    });
    Ok(PoolHandover {
        level: reader.get_level(),
        lent_count: reader.get_lent_count(),
        leases: leases.collect::<Result<_, Error>>()?,
    })
}

pub fn write_pool_handover(handover: &PoolHandover, mut builder: wire::estate::Builder<'_>) {
    builder.set_level(handover.level);
    builder.set_lent_count(handover.lent_count);
    let mut leases = builder.init_leases(list_length(&handover.leases));
    for (index, lease) in (0..).zip(&handover.leases) {
        let mut builder = leases.reborrow().get(index);
        builder.set_owner(&lease.owner);
        builder.set_holder_id(lease.holder_id);
        builder.set_slice_count(lease.slice_count);
        builder.set_left_ms(lease.left_ms);
    }
}

pub fn read_borrow_request(
    names: &Names,
    reader: wire::borrow_ask::Reader<'_>,
) -> Result<BorrowRequest, Error> {
    Ok(BorrowRequest {
        workspace: workspace(names, reader.get_workspace()?)?,
        borrower: read_process(reader.get_borrower()?)?,
        pool_id: reader.get_bank_id(),
        last_batch_number: reader.get_last_loan(),
        held_count: reader.get_held_count(),
        returned_count: reader.get_returned_count(),
        need_count: reader.get_need_count(),
        extra_count: reader.get_extra_count(),
    })
}

pub fn write_borrow_request(
    names: &Names,
    request: &BorrowRequest,
    mut builder: wire::borrow_ask::Builder<'_>,
) {
    builder.set_workspace(names.workspace_name(request.workspace));
    builder.set_bank_id(request.pool_id);
    builder.set_last_loan(request.last_batch_number);
    builder.set_held_count(request.held_count);
    builder.set_returned_count(request.returned_count);
    builder.set_need_count(request.need_count);
    builder.set_extra_count(request.extra_count);
    write_process(&request.borrower, builder.init_borrower());
}

pub fn read_borrow_response(reader: wire::borrow_answer::Reader<'_>) -> BorrowResponse {
    BorrowResponse {
        pool_id: reader.get_bank_id(),
        batch_number: reader.get_loan(),
        granted_count: reader.get_granted_count(),
        ttl_ms: reader.get_ttl_ms(),
        empty_for_ms: reader.get_empty_for_ms(),
    }
}

pub fn write_borrow_response(
    response: BorrowResponse,
    mut builder: wire::borrow_answer::Builder<'_>,
) {
    builder.set_bank_id(response.pool_id);
    builder.set_loan(response.batch_number);
    builder.set_granted_count(response.granted_count);
    builder.set_ttl_ms(response.ttl_ms);
    builder.set_empty_for_ms(response.empty_for_ms);
}

pub fn read_handover(names: &Names, reader: wire::handover::Reader<'_>) -> Result<Handover, Error> {
    let slice = reader.get_slice();
    if usize::from(slice) >= SLICE_COUNT {
        return Err(Error::failed(format!("slice {slice} does not exist")));
    }
    let records = reader.get_records()?.iter();
    let export = SliceExport {
        slice: SliceIndex::new(slice),
        history: SliceHistory {
            since_epoch: reader.get_since_version(),
            known_since_unix_ms: reader.get_known_since_unix_ms(),
        },
        records: records
            .map(|record| read_record(names, record))
            .collect::<Result<_, _>>()?,
    };
    Ok(Handover {
        export,
        moved_by_epoch: reader.get_moved_by_version(),
        to_started_unix_ms: reader.get_to_started_unix_ms(),
    })
}

fn read_record(names: &Names, reader: wire::key_record::Reader<'_>) -> Result<SliceRecord, Error> {
    let key_hash = <[u8; 16]>::try_from(reader.get_key_hash()?)
        .map_err(|_| Error::failed("key hash is not 16 bytes long".to_owned()))?;
    let response = match reader.get_status() {
        0 => None,
        status => Some(StoredResponse {
            status,
            headers: read_headers(reader)?,
            body: bytes::Bytes::copy_from_slice(reader.get_body()?),
        }),
    };
    Ok(SliceRecord {
        key: GuardKey {
            workspace: workspace(names, reader.get_workspace()?)?,
            key_hash: u128::from_be_bytes(key_hash),
        },
        fingerprint: reader.get_fingerprint(),
        response,
        keep_for_ms: reader.get_keep_for_ms(),
    })
}

fn read_headers(reader: wire::key_record::Reader<'_>) -> Result<Vec<(String, String)>, Error> {
    let headers = reader.get_headers()?.iter();
    headers
        .map(|header| Ok((text(header.get_name()?)?, text(header.get_value()?)?)))
        .collect()
}

pub fn write_handover(
    names: &Names,
    handover: &Handover,
    mut builder: wire::handover::Builder<'_>,
) {
    let export = &handover.export;
    let index = u16::try_from(export.slice.index()).expect("slice indices fit into 16 bits");
    builder.set_slice(index);
    builder.set_since_version(export.history.since_epoch);
    builder.set_known_since_unix_ms(export.history.known_since_unix_ms);
    builder.set_moved_by_version(handover.moved_by_epoch);
    builder.set_to_started_unix_ms(handover.to_started_unix_ms);
    let mut records = builder.init_records(list_length(&export.records));
    for (index, record) in (0..).zip(&export.records) {
        write_record(names, record, records.reborrow().get(index));
    }
}

fn write_record(names: &Names, record: &SliceRecord, mut builder: wire::key_record::Builder<'_>) {
    builder.set_workspace(names.workspace_name(record.key.workspace));
    builder.set_key_hash(&record.key.key_hash.to_be_bytes());
    builder.set_fingerprint(record.fingerprint);
    builder.set_keep_for_ms(record.keep_for_ms);
    let Some(response) = &record.response else {
        return;
    };
    builder.set_status(response.status);
    builder.set_body(&response.body);
    let mut headers = builder.init_headers(list_length(&response.headers));
    for (index, (name, value)) in (0..).zip(&response.headers) {
        let mut header = headers.reborrow().get(index);
        header.set_name(name);
        header.set_value(value);
    }
}

fn list_length<T>(items: &[T]) -> u32 {
    u32::try_from(items.len()).expect("lists are bounded")
}
