@0xd3c1f0a9b7e64512;
# messages between daemons; each travels sealed (see peers.py)

struct Envelope {
  sender @0 :Text;          # host name
  incarnation @1 :UInt64;   # start of the sending process, microseconds since 1970
  sequence @2 :UInt64;      # rises by one a message of an incarnation
  union {
    heartbeat @3 :Heartbeat;
    demand @4 :Demand;
    allocation @5 :Allocation;
    pull @6 :Pull;
    pulled @7 :Pulled;
  }
}

struct Member {
  host @0 :Text;
  dataCentre @1 :Text;
  address @2 :Text;         # ip:port of its control socket
  incarnation @3 :UInt64;
  state @4 :UInt8;          # 0 alive, 1 suspect, 2 leaving, 3 dead
  revision @5 :UInt64;      # table in force there
}

struct Heartbeat {
  reply @0 :Bool;           # true in the answer to a heartbeat
  revision @1 :UInt64;
  members @2 :List(Member); # the sender first, then a few others
  notices @3 :List(Notice); # news that every host must have within seconds
}

struct Notice {             # a quarantined or released fingerprint, a draining server, counts
  kind @0 :Text;
  subject @1 :Text;
  origin @2 :Text;
  number @3 :UInt64;
  value @4 :Float64;
  ttlMs @5 :UInt32;
}

struct ClassDemand {
  tier @0 :UInt8;
  className @1 :Text;
  waiting @2 :UInt32;
  oldestMs @3 :UInt32;
  slackMs @4 :Int32;        # least time left to a target, negative when missed
  running @5 :UInt32;       # in flight from this host
  organisations @6 :UInt16; # distinct organisations that wait
}

struct ServerCount {
  server @0 :Text;
  count @1 :UInt16;
}

struct Demand {             # a host to the allocator of a pool
  pool @0 :Text;
  number @1 :UInt64;
  classes @2 :List(ClassDemand);
  running @3 :List(ServerCount);
  holding @4 :List(ServerCount);  # free slots held
  returned @5 :List(ServerCount);
  organisations @6 :List(OrganisationUse);
  applied @7 :UInt64;       # number of the last allocation applied
}

struct OrganisationUse {
  organisation @0 :Text;
  running @1 :UInt32;
  waiting @2 :UInt32;
  tokens @3 :UInt64;        # served in the last minute
}

struct Allocation {         # the allocator of a pool to a host
  pool @0 :Text;
  number @1 :UInt64;
  answers @2 :UInt64;       # number of the demand this answers
  ttlMs @3 :UInt32;
  floor @4 :UInt8;          # lowest tier (largest number) that may take a slot that frees
  slots @5 :List(ServerCount);   # most requests in flight the host may have at each server
  limits @6 :List(OrganisationUse);  # share of organisation limits this host may use
  turns @7 :List(ServerCount);   # class name; most in flight when one starts above tier order
  slackMs @8 :Int32 = 1000000000;  # most slack that may start in the floor's tier
}

struct Pull {               # over TCP: asks a peer for values by name
  names @0 :List(Text);
}

struct Pulled {
  revision @0 :UInt64;
  values @1 :List(Value);
}

struct Value {
  name @0 :Text;
  data @1 :Data;
}
