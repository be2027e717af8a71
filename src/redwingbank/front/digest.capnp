@0xb6d1c07e52a94f13;
# Messages between hosts: requests in flight, table freshness, changes, crashes and limits of
# servers, streams that callers may take up.

struct Message {
  host @0 :Text;
  incarnation @1 :UInt64;   # increases with each start of the host's process
  dataCentre @8 :Text;      # data centre of the host
  linkMbps @9 :Float32;     # bandwidth of its network link, 0 if unknown
  union {
    digest @2 :Digest;
    question @3 :Question;
    answer @4 :Answer;
    news @5 :News;
    crash @6 :Crash;
    bundle @7 :Bundle;
    limits @10 :List(Limit);
    streams @11 :Streams;
    dutyHolder @12 :DutyHolder;
    usage @13 :Usage;
  }
}

# Request events since the last digest, stored by column: this decodes in a fraction of the time of
# one struct per request.
struct Digest {
  # Seven numbers per request sent: request number, prompt tokens to be read, prompt tokens already
  # waiting at the server, answer tokens, longest acceptable pause between events in ms (0 for plain
  # calls), rank (0 is served first), number of its entries in `parts`
  sent @0 :List(UInt32);
  servers @1 :List(Text);   # server of each request sent
  parts @2 :List(Text);     # names of shared prompt parts, in the order of the requests
  partTokens @3 :List(UInt32);
  begun @4 :List(UInt32);   # two numbers per first event: request number, ms since it was sent
  ended @5 :List(UInt32);   # numbers of requests that ended
  # Two numbers per pool, in one message a second: checksum of the pool's name, and ms since the
  # host last heard from a server of it.
  reachedMs @6 :List(UInt32);
  takesForwards @7 :Bool;   # the host serves requests that other hosts forward to it
  asksReach @8 :Bool;       # the host asks whether the receiver reaches the pools of `reachedMs`
  reachAskedS @9 :Float64;  # time of the question on the asker's clock, if it asks for a proof; the
                            # answer repeats it once a server was asked after it and has answered
  reachProved @10 :UInt32;  # checksum of the name of that server's pool
  provesReach @11 :Bool;    # the host answers questions for a proof; earlier releases leave it out
  countsServers @12 :Bool;  # forwarded requests go to as many servers as their head allows; as above
}

struct Bundle {             # digests of several hosts, forwarded by a relay
  audience @0 :UInt8;       # to whom the receiver forwards it: 0 nobody, 1 its data centre, 2 all
  hosts @1 :List(Text);
  incarnations @2 :List(UInt64);
  counts @3 :List(UInt32);  # three per host: numbers of requests sent, first events and ends
  digest @4 :Digest;        # the digests of all hosts, concatenated in the order of `hosts`
}

struct Question {           # asks how fresh the receiver's table and server list are
  askedS @0 :Float64;       # time on the asker's clock, returned with the answer
  traced @1 :Bool;          # both hosts log the question, so that their clocks can be compared
  tableRevision @2 :UInt64; # of the asker's table, 0 if it has none
}

struct Answer {
  askedS @0 :Float64;
  ageMs @1 :UInt32;         # time since the last call that confirmed the table was sent
  tableRevision @2 :UInt64;
  serversChanged @3 :UInt64; # store revision at or before which the latest server change happened
  serversWatched @4 :UInt64; # store revision up to which server changes are known
  serversAgeMs @5 :UInt32;  # time since the last call that confirmed the server list was sent
  era @6 :UInt64;           # the store's era, of which the revisions of servers are; 0 if not known
}

struct News {               # server changes between two store revisions
  since @0 :UInt64;
  until @1 :UInt64;
  written @2 :List(Server); # changed entries as of `until`
  removed @3 :List(Text);
  era @4 :UInt64;           # the store's era, of which the revisions are; 0 if not known
}

struct Server {
  name @0 :Text;
  pool @1 :Text;
  address @2 :Text;         # IP:PORT
  dataCentre @3 :Text;
  slots @4 :UInt32;
  draining @5 :Bool;
  startedMs @6 :Int64;
  version @7 :Text;         # name of its software's version
  spot @8 :Bool;            # cheaper, and may be reclaimed
  leavesMs @9 :Float64 = -1; # stated with `draining`: after how long it leaves; -1 if not stated
}

struct Crash {              # a request crashed a server, or later completed and is cleared
  fingerprint @0 :Text;
  ranMs @1 :UInt32;         # how long the request had run on the server
  cleared @2 :Bool;
  server @3 :Text;
  parts @4 :List(Text);     # fingerprints of the request's shared prompt parts, last one first
  agoMs @5 :UInt32;         # time since the request lost its connection
}

struct Streams {            # streams that callers may take up at any host
  purpose @0 :UInt8;        # 0 told, 1 asked, 2 answered, 3 ended, 4 taken up, 5 released
  rows @1 :List(Stream);
}

struct Stream {
  key @0 :Text;             # hash of the id of the request that brought the first event
  pool @1 :Text;
  version @2 :Text;         # software version that began it; empty if it is not known
  host @3 :Text;            # host that served it last
  leftMs @4 :UInt32;        # time for which its caller may take it up
  takenUpBy @5 :Text;       # purpose 4: hash of the id of the request that takes it up
  agoMs @6 :UInt32;         # purpose 4: time since then
}

# What a server says of itself, by `kind`: 0 the requests a second that it takes from all hosts
# together, 1 that it is brittle. Or what hosts say of the room at brittle servers: 2 that a host
# asks for room at any server of the pool `server`, 3 that it lends room at a server. Or 4, a server
# that says that it is leaving. Only kind 0 has a limit in `perS`; others have -1 there.
struct Limit {
  server @0 :Text;
  startedMs @1 :Int64;
  version @2 :UInt32;       # the highest one holds
  perS @3 :Float64;         # negative: the server names no limit any more
  sent @4 :UInt32;          # requests that the host has sent to the server since it knows the limit
                            # (kind 1: that it has in flight there)
  kind @5 :UInt8;
  count @6 :Int32;          # kind 1: requests that the server can turn away in a second, negative
                            # if it is not brittle any more; kinds 2 and 3: requests
  rejected @7 :UInt32;      # requests of the host that the server has turned away
  fallen @8 :Bool;          # the server fell over and has not answered since
}

struct DutyHolder {         # told each second by the holder of the lease of duties
  holder @0 :Text;          # empty if it has released the lease
  incarnation @1 :UInt64;
  fence @2 :UInt64;
  renewal @3 :UInt64;
  composed @4 :Int64;       # the highest window whose report is written down, -1 if there is none
  wallS @5 :Float64;        # time of day by the holder's view of the fleet
}

struct Usage {              # requests that began, counted by one process since each window began
  host @0 :Text;            # host and incarnation of the process that counted
  incarnation @1 :UInt64;
  windows @2 :List(Int64);
  organisations @3 :List(Text);
  counts @4 :List(UInt32);  # for each window, one for each of the organisations
  wallS @5 :Float64;        # the sender's time of day, 0 if the counts are passed on
  composed @6 :Int64 = -1;  # the highest window that is known to be composed, -1 if there is none
}
