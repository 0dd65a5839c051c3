@0xb3f1c7d2a4e59681;

# Travels in the headers of HTTP/2 requests and answers between nodes.

struct Context {
  requestId @0 :Data;
  workspace @1 :Text;
  service @2 :Text;
  class @3 :UInt8;
  remainingUs @4 :UInt64;
  retryAllotment @5 :UInt8;
  depth @6 :UInt8;
  repeatable @7 :Bool;
  # Wall-clock time of sending; bounds how long a recorded header can be replayed.
  sentUnixMs @8 :UInt64;
  # Made anew for each attempt; the answer repeats it.
  attemptId @9 :UInt64;
  # For the home of the idempotency key, which sends it on; not for the target.
  guarded @10 :Bool;
  # SHA-256 of the tenant key of the original request; never the key.
  keyDigest @11 :Data;
  # SHA-256 of what else decides on the work: Idempotency-Key and body. Empty
  # where there is neither.
  contentDigest @12 :Data;
  # Time left to the latency objective; 0 where there is none, or it has passed.
  objectiveUs @13 :UInt64;
  # Limit that the receiver reported for its target; the process is 0 if none.
  limitProcess @14 :UInt64;
  limitMilliPerS @15 :UInt64;
  # Process of the receiver's node that reported it.
  limitReporter @16 :UInt64;
}

struct Answer {
  requestId @0 :Data;
  # 0 whole, 1 not-run, 2 unknown.
  outcome @1 :UInt8;
  # Code of the reason, 0 when whole.
  reason @2 :UInt8;
  retryAfterMs @3 :UInt32;
  exhausted @4 :Bool;
  # Allotment that comes back to the sender.
  unspent @5 :UInt8;
  # Admission level of the answering node.
  lowestClass @6 :UInt8;
  loadPercent @7 :UInt16;
  draining @8 :Bool;
  # Attempt that this answers.
  attemptId @9 :UInt64;
  # Load that the calls of its target meet, in percent.
  belowPercent @10 :UInt16;
  # Process of the target that said in a response that it leaves; 0 if none did.
  leavingProcess @11 :UInt64;
  # Time that work takes at the target now, in percent of its usual time; 0 if it
  # does not tell.
  workTimePercent @12 :UInt16;
  # Expected wait of one more request of this class before it starts.
  waitUs @13 :UInt32;
  # Calls that the target can complete, in percent of those offered to it; 0 if
  # unknown.
  supplyPercent @14 :UInt16;
  # The same of the scarcest of the services that the target calls.
  belowSupplyPercent @15 :UInt16;
  # Process of the target that names a limit; 0 if it names none.
  limitProcess @16 :UInt64;
  # Requests that it takes in 1,000 s.
  limitMilliPerS @17 :UInt64;
  # Process of the answering node.
  limitReporter @18 :UInt64;
}
