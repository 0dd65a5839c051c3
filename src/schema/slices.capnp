@0xe1f7a46b9c0d3852;

# Content of the platform's object `slices`, packed.

annotation parentModule @0xabee386cd1450364 (file) :Text;
$parentModule("schema");

struct SliceTable {
  # Counts writes; the fencing token of every move.
  epoch @0 :UInt64;
  slots @1 :List(Slot);
  quota @2 :List(Run);
  keys @3 :List(Run);
}

struct Slot {
  nodeId @0 :Text;
  zone @1 :Text;
  ip @2 :Text;
  # Epoch of the write that suspected it, 0 when it is not suspected.
  markEpoch @3 :UInt64;
}

# Neighbouring slices with the same owner since the same write.
struct Run {
  slot @0 :UInt16;
  length @1 :UInt16;
  sinceEpoch @2 :UInt32;
}
