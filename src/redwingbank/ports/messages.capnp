@0xd3c1f0a9b7e64512;
# Messages between daemons, encrypted and authenticated (see seal.py).

struct Envelope {
  sender @0 :Text;          # host name
  incarnation @1 :UInt64;   # start of the sending process, microseconds since 1970
  sequence @2 :UInt64;      # increases by one with each message of an incarnation
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
  revision @5 :UInt64;      # revision of the table in force on that host
}

struct Heartbeat {
  reply @0 :Bool;           # true if this answers another heartbeat
  revision @1 :UInt64;
  members @2 :List(Member); # the sender first, then a few other members
  notices @3 :List(Notice); # state that has to reach every host within seconds
}

struct Notice {             # quarantined or released fingerprint, draining server, counts
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
  slackMs @4 :Int32;        # least time left to a latency target, negative if missed
  running @5 :UInt32;       # requests in flight from this host
  organisations @6 :UInt16; # distinct organisations with waiting requests
}

struct ServerCount {
  server @0 :Text;
  count @1 :UInt16;
}

struct Demand {             # from a host to the allocator of a pool
  pool @0 :Text;
  number @1 :UInt64;
  classes @2 :List(ClassDemand);
  running @3 :List(ServerCount);
  holding @4 :List(ServerCount);  # free slots held by the host
  returned @5 :List(ServerCount);
  organisations @6 :List(OrganisationUse);
  applied @7 :UInt64;       # number of the last allocation applied
}

struct OrganisationUse {
  organisation @0 :Text;
  running @1 :UInt32;
  waiting @2 :UInt32;
  tokens @3 :UInt64;        # tokens served in the last minute
}

struct Allocation {         # from the allocator of a pool to a host
  pool @0 :Text;
  number @1 :UInt64;
  answers @2 :UInt64;       # number of the demand that this answers
  ttlMs @3 :UInt32;
  floor @4 :UInt8;          # lowest tier (largest number) that may take a freed slot
  slots @5 :List(ServerCount);   # maximum requests in flight from the host, by server
  limits @6 :List(OrganisationUse);  # share of the organisations' limits that the host may use
  turns @7 :List(ServerCount);   # by class name: maximum in flight for a start ahead of tier order
  slackMs @8 :Int32 = 1000000000;  # maximum slack of a request that may start in the floor's tier
}

struct Pull {               # over TCP: requests values from a peer by name
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
