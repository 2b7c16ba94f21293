@0xd1c7a5f09b3e6241;
# Messages between entry VMs.

struct Heartbeat {
  # State of one entry VM, as sent to its neighbours.
  node @0 :Text;
  incarnation @1 :Text;
  zone @2 :Text;
  nextOffset @3 :UInt64;      # next record of the control stream to fold
  viewAgeS @4 :Float64;       # age of the sender's view, infinity if unknown
  digest @5 :Text;            # digest of the state at nextOffset, or empty
  draining @6 :Bool;
  withdrawnKeys @7 :List(Text);  # ids of recently withdrawn keys
  vitalOffset @8 :UInt64;     # after the last record that revokes rights
  keyOffset @9 :UInt64;       # likewise, but without the ends of sessions
}

struct JobOrder {
  # A submitted job, on its way to the owner of its pool.
  pool @0 :Text;
  team @1 :Text;
  keyId @2 :Text;
  idempotencyKey @3 :Text;
  queue @4 :Text;
  cpuMillis @5 :Int64;
  memoryBytes @6 :Int64;
  accelerators @7 :Int64;
  runTimeS @8 :Float64;
  urgent @9 :Bool;
  idempotent @10 :Bool;
  deadlineS @11 :Float64;
  payload @12 :Text;
}

struct JobReply {
  # Reply of a pool's owner.
  tag @0 :Tag;
  code @1 :Text;       # stable error code if refused or unknown
  detail @2 :Text;     # explanation for a person
  body @3 :Text;       # a job or a page of jobs, as JSON text of the API

  enum Tag {
    done @0;
    refused @1;        # provably no effect
    unknown @2;        # may have had an effect
    missing @3;        # no such job
  }
}

interface Gate {
  # Methods for unauthenticated clients.
  challenge @0 () -> (nonce :Data);
  login @1 (node :Text, nonce :Data, proof :Data) -> (peer :Peer, proof :Data);
}

interface Peer {
  # Methods for peers that have proved knowledge of the shared secret.
  exchange @0 (heartbeat :Heartbeat) -> (heartbeat :Heartbeat);
  submitJob @1 (order :JobOrder) -> (reply :JobReply);
  readJob @2 (jobId :Text, team :Text, waitS :Float64) -> (reply :JobReply);
  listJobs @3 (pool :Text, team :Text, after :Text, limit :UInt32)
      -> (reply :JobReply);
  cancelJob @4 (jobId :Text, team :Text, by :Text) -> (reply :JobReply);
  settleJob @5 (jobId :Text, succeeded :Bool, by :Text) -> (reply :JobReply);
  takeSnapshot @6 () -> (snapshot :Data);  # of the control state, compressed
}
