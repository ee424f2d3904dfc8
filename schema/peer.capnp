# Protocol between nodes.
#
# Fields and methods are only ever added, never renumbered, so that nodes of neighbouring releases
# understand each other during a rolling restart.

@0xd2b5a1c07f3e9846;

using Rust = import "/rust.capnp";
$Rust.parentModule("peer");

# What a node that asks for a token offers on a new connection.
interface Authentication {
  # Returns the node's methods to a holder of one of its tokens.
  authenticate @0 (token :Data) -> (session :Session);
}

# What a node that asks for no token offers on a new connection: nodes without a token, also those of
# a release before `Authentication`, call its methods at once.
interface OpenPeer extends(Authentication, Peer) {}

struct Session {
  union {
    peer @0 :Peer;
    # A JSON document with kind, verdict and message.
    error @1 :Data;
  }
}

interface Peer {
  # Exchanges state with a node and shows that it responds.
  probe @0 (message :Probe) -> (message :Probe);

  # Stores a copy of an accepted request.
  hold @1 (payload :Data) -> (answer :Answer);

  # Adds a batch of generated tokens to stored copies.
  progress @2 (payload :Data) -> (answer :Answer);

  # Takes over the streams of a node that is leaving.
  handover @3 (payload :Data) -> (answer :Answer);

  # Looks for a request by its id.
  find @4 (payload :Data) -> (answer :Answer);

  # Returns the newest configuration.
  config @5 (payload :Data) -> (answer :Answer);

  # Announces that a version of a service receives no more requests.
  trip @6 (payload :Data) -> (answer :Answer);

  # Adds generated tokens to stored copies. A node that does not implement it, because it runs an
  # earlier release, gets the same by `progress`.
  append @7 (batch :Batch) -> (receipts :Receipts);

  # Exchanges what two nodes of a gateway know of all nodes.
  gossip @8 (payload :Data) -> (answer :Answer);
}

# Payloads are JSON documents; their types are serde structs of the module that owns the method.
struct Answer {
  union {
    payload @0 :Data;
    # A JSON document with kind, verdict and message.
    error @1 :Data;
  }
}

struct Batch {
  # Random number of the process that generates the responses.
  owner @0 :UInt64;
  items @1 :List(Item);
  # The texts of all items, and the bytes of each.
  text @2 :Text;
  lengths @3 :List(UInt32);
  contexts @4 :List(Context);
}

# A part of one response.
struct Item {
  # Id of the request.
  idHigh @0 :UInt64;
  idLow @1 :UInt64;
  # Number of the present attempt; 0 before the first.
  attempt @2 :UInt32;
  # Offset of the first text in the response.
  offset @3 :UInt32;
  # Number of texts in the batch.
  count @4 :UInt32;
}

# What changes seldom about a response; sent when the copy does not have the present one.
struct Context {
  # Index of the item.
  item @0 :UInt32;
  # A JSON document with the attempts, the engine stream and the phase.
  payload @1 :Data;
}

struct Receipts {
  union {
    # One for each item.
    list @0 :List(Receipt);
    # A JSON document with kind, verdict and message.
    error @1 :Data;
  }
}

struct Receipt {
  union {
    # Number of chunks that the copy has.
    stored @0 :UInt32;
    # There is no copy, or something is missing in between.
    unknown @1 :Void;
    # The node serves the response itself.
    served @2 :Void;
  }
}

struct Probe {
  protocol @0 :UInt16;
  draining @1 :Bool;
  # Random number of the sender's process.
  incarnation @2 :UInt64;
  # Offset of the active configuration plus one; 0 without one.
  configVersion @3 :UInt64;
  # Offset after the newest record of `control` that the sender has read.
  controlEnd @4 :UInt64;
  # Weight of the sender in address responses, in 1/255.
  weight @5 :UInt8;
  # Highest format number of configurations that the sender reads.
  format @6 :UInt16;
  demand @7 :List(Demand);
  members @8 :List(Member);
  endpoints @9 :List(Endpoint);
  loads @10 :List(Load);
  # The sender has just started and asks for statements about many nodes.
  joining @11 :Bool;
  # Hash of the notices about endpoints that the sender learned lately; nodes with different ones
  # tell each other theirs.
  digest @12 :UInt16;
}

# What callers of a client account ask of the sender.
struct Demand {
  # Hash of the account's name.
  account @0 :UInt32;
  # Cost units per second.
  rate @1 :Float32;
}

# A statement about a node, ordered by (incarnation, version).
struct Member {
  incarnation @0 :UInt64;
  version @1 :UInt32;
  # 0 alive, 1 suspect, 2 leaving, 3 gone.
  state @2 :UInt8;
  name @3 :Text;
  domain @4 :Text;
  # Addresses for other nodes and for callers, an IP number and a port each.
  peer @5 :Text;
  listen @6 :Text;
}

# A statement that an endpoint is leaving.
struct Endpoint {
  # Random number of the endpoint's process; 0 when the signal does not name it.
  incarnation @0 :UInt64;
  host @1 :Text;
}

# A load report of an endpoint.
struct Load {
  # Hash of the host's name.
  host @0 :UInt32;
  # Low bits of the endpoint's incarnation.
  incarnation @1 :UInt8;
  # Low bits of the number of the report.
  seq @2 :UInt8;
  # At most 255 each.
  running @3 :UInt8;
  queued @4 :UInt8;
}
