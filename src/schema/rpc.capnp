@0xd02d1c8f5b7a4e93;

# The annotation of capnpc's rust.capnp, declared here so that the schema
# compiles without an import path.
annotation parentModule @0xabee386cd1450364 (file) :Text;
$parentModule("schema");

# Calls between nodes over capnp-rpc, port 7004.

# What a connection offers before the peer has shown that it holds the fleet
# secret. Nonces make proofs useless for another connection; the two sides
# prove with different labels, so that a proof cannot be sent back.
interface Gate {
  challenge @0 (clientNonce :Data) -> (serverNonce :Data, serverProof :Data);
  enter @1 (clientProof :Data) -> (node :Node);
}

interface Node {
  # Version 0 when there is none above the one given.
  document @0 (kind :UInt8, aboveVersion :UInt64) -> (version :UInt64, content :Data);
  lease @1 (ask :LeaseAsk) -> (answer :LeaseAnswer);
  borrow @2 (ask :BorrowAsk) -> (answer :BorrowAnswer);
  handOver @3 (handover :Handover) -> (accepted :Bool);
  # From the bank of a workspace to the node that was it before. `retired` is
  # false when that node takes itself for the bank.
  takeOver @4 (workspace :Text) -> (retired :Bool, estate :Estate);
}

# A process of a node: the start tells a replacement from its predecessor.
struct Process {
  nodeId @0 :Text;
  startedUnixMs @1 :UInt64;
}

# From a bank to the owner of quota slices.
struct LeaseAsk {
  workspace @0 :Text;
  bank @1 :Bank;
  # Number of the bank that handed its lease over, or 0.
  predecessorId @2 :UInt64;
}

struct Bank {
  nodeId @0 :Text;
  bankId @1 :UInt64;
}

struct LeaseAnswer {
  # 0 when nothing is granted.
  sliceCount @0 :UInt16;
  # Level moved from the owner's bucket, in 1/4096 of a millionth of a token.
  level @1 :UInt64;
  # Lifetime, counted by the bank from when it asked.
  ttlMs @2 :UInt32;
  # When to ask again, where another bank holds the lease.
  busyMs @3 :UInt32;
  holder @4 :Bank;
}

struct Estate {
  level @0 :UInt64;
  lentCount @1 :UInt64;
  leases @2 :List(Lease);

  struct Lease {
    owner @0 :Text;
    holderId @1 :UInt64;
    sliceCount @2 :UInt16;
    # Lifetime left, counted by the successor from when it asked.
    leftMs @3 :UInt32;
  }
}

# From any node to the bank of a workspace.
struct BorrowAsk {
  workspace @0 :Text;
  borrower @1 :Process;
  # What the borrower states about loans of this bank; a random number.
  bankId @2 :UInt64;
  lastLoan @3 :UInt64;
  heldCount @4 :UInt32;
  returnedCount @5 :UInt32;
  # Requests that wait.
  needCount @6 :UInt32;
  # Requests expected soon; granted only out of plenty.
  extraCount @7 :UInt32;
}

struct BorrowAnswer {
  bankId @0 :UInt64;
  loan @1 :UInt64;
  grantedCount @2 :UInt32;
  # Lifetime, counted by the borrower from when it asked.
  ttlMs @3 :UInt32;
  # When the bank expects the next token.
  emptyForMs @4 :UInt32;
}

# Recent idempotency keys of a slice that was given up.
struct Handover {
  slice @0 :UInt16;
  sinceVersion @1 :UInt64;
  knownSinceUnixMs @2 :UInt64;
  movedByVersion @3 :UInt64;
  toStartedUnixMs @4 :UInt64;
  records @5 :List(KeyRecord);
}

struct KeyRecord {
  workspace @0 :Text;
  # 16 bytes, big endian.
  keyHash @1 :Data;
  fingerprint @2 :UInt64;
  keepForMs @3 :UInt64;
  # Status 0 when the outcome is unknown.
  status @4 :UInt16;
  headers @5 :List(Header);
  body @6 :Data;
}

struct Header {
  name @0 :Text;
  value @1 :Text;
}
