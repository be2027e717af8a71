@0xb6d1c07e52a94f13;
# what hosts tell each other: the requests they send, and how fresh their table is

struct Message {
  host @0 :Text;
  incarnation @1 :UInt64;   # rises with each start of the host's process
  union {
    digest @2 :Digest;
    question @3 :Question;
    answer @4 :Answer;
    news @5 :News;
    crash @6 :Crash;
  }
}

struct Digest {
  sent @0 :List(Sent);
  begun @1 :List(Begun);
  ended @2 :List(UInt32);   # numbers of requests that are over
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

struct Sent {
  number @0 :UInt32;        # of this host's requests
  server @1 :Text;
  unread @2 :UInt32;        # prompt tokens to be read there
  ahead @3 :UInt32;         # prompt tokens that wait there already
  answerTokens @4 :UInt32;
  pauseMs @5 :UInt32;       # longest good pause between events, 0 for a plain call
  rank @6 :UInt8;           # its place in the server's order, 0 first
  parts @7 :List(Part);     # the shared parts of its prompt, in order
}

struct Begun {              # a request's first event has come
  number @0 :UInt32;
  tookMs @1 :UInt32;        # since it was sent
}

struct Part {
  name @0 :Text;
  tokens @1 :UInt32;
}

struct Crash {              # a request crashed a server, or is cleared of that
  fingerprint @0 :Text;
  ranMs @1 :UInt32;         # how long it had run there
  cleared @2 :Bool;
}
