@0xd8e4b7a6c1f20357;

# The annotation of capnpc's rust.capnp, declared here so that the schema
# compiles without an import path.
annotation parentModule @0xabee386cd1450364 (file) :Text;
$parentModule("schema");

# Datagrams between nodes; packed, after a 16 byte HMAC-SHA256 tag.

struct Target {
  service @0 :Text;
  slotCount @1 :UInt32;
  connectionCount @2 :UInt32;
  draining @3 :Bool;
  # Differs between processes of the target; 0 if unknown.
  processId @4 :UInt64;
}

struct Record {
  nodeId @0 :Text;
  # 4 or 16 bytes.
  ip @1 :Data;
  peerPort @2 :UInt16;
  gossipPort @3 :UInt16;
  rpcPort @4 :UInt16;
  controlPort @5 :UInt16;
  region @6 :Text;
  zone @7 :Text;
  startedUnixMs @8 :UInt64;
  incarnation @9 :UInt32;
  # 0 alive, 1 suspect, 2 dead, 3 left.
  liveness @10 :UInt8;
  draining @11 :Bool;
  hasTarget @12 :Bool;
  target @13 :Target;
}

struct Packet {
  sender @0 :Record;
  sequence @1 :UInt64;
  # 0 ping, 1 ack, 2 ping request, 3 indirect ack, 4 sync request, 5 sync part.
  kind @2 :UInt8;
  # Member to be probed on behalf of the sender; only in ping requests.
  subject @3 :Text;
  versions @4 :List(UInt64);
  # Age of the last confirmed look at the platform; 2^64 - 1 if there was none.
  platformAgeMs @5 :UInt64 = 18446744073709551615;
  # Sum of the hashes of all records; equal tables have equal sums.
  tableHash @6 :UInt64;
  updates @7 :List(Record);
  revocations @8 :List(Data);
  # Calls of the sender to the documents' origin fail.
  originFailing @9 :Bool;
}
