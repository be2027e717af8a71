@0xb6d1c07e52a94f13;
# what hosts tell each other: the requests they send, and how fresh their table is

struct Message {
  host @0 :Text;
  incarnation @1 :UInt64;   # rises with each start of the host's process
  dataCentre @8 :Text;      # where the host is
  linkMbps @9 :Float32;     # what its network link carries, 0 where that is not known
  union {
    digest @2 :Digest;
    question @3 :Question;
    answer @4 :Answer;
    news @5 :News;
    crash @6 :Crash;
    bundle @7 :Bundle;
  }
}

# Requests, written by columns, which are read in a fraction of the time of a struct a request.
struct Digest {
  # for each request that was sent: its number, prompt tokens to be read, prompt tokens that wait
  # there already, answer tokens, longest good pause between events in ms (0 for a plain call),
  # its rank in the server's order (0 first), how many of the parts below are its own
  sent @0 :List(UInt32);
  servers @1 :List(Text);   # for each request that was sent: its server
  parts @2 :List(Text);     # shared parts of prompts, in order
  partTokens @3 :List(UInt32);
  begun @4 :List(UInt32);   # for each first event: the request's number, ms since it was sent
  ended @5 :List(UInt32);   # numbers of requests that are over
}

struct Bundle {             # digests of several hosts, passed on by one of them
  audience @0 :UInt8;       # whom the receiver tells: 0 nobody, 1 its data centre, 2 all
  hosts @1 :List(Text);
  incarnations @2 :List(UInt64);
  counts @3 :List(UInt32);  # for each host: how many requests sent, first events and ends follow
  digest @4 :Digest;        # those of all hosts, one host after the other
}

struct Question {           # how fresh are you?
  askedS @0 :Float64;       # on the asker's own clock; comes back with the answer
  traced @1 :Bool;          # both hosts write it to their logs, to compare their clocks
}

struct Answer {
  askedS @0 :Float64;
  ageMs @1 :UInt32;         # since the call was sent that confirmed the table last
  tableRevision @2 :UInt64;
  serversChanged @3 :UInt64; # the store's revision by which servers had changed last
  serversWatched @4 :UInt64; # the store's revision up to which changes of servers are known
  serversAgeMs @5 :UInt32;  # since the call was sent that confirmed the list of servers last
}

struct News {               # what became of servers between two revisions of the store
  since @0 :UInt64;
  until @1 :UInt64;
  written @2 :List(Server); # as they are at `until`
  removed @3 :List(Text);
}

struct Server {
  name @0 :Text;
  pool @1 :Text;
  address @2 :Text;         # IP:PORT
  dataCentre @3 :Text;
  slots @4 :UInt32;
  draining @5 :Bool;
  startedMs @6 :Int64;
}

struct Crash {              # a request crashed a server, or is cleared of that
  fingerprint @0 :Text;
  ranMs @1 :UInt32;         # how long it had run there
  cleared @2 :Bool;
}
