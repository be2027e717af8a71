@0xb6d1c07e52a94f13;
# what hosts tell each other: the requests they send, and how fresh their table is

struct Message {
  host @0 :Text;
  incarnation @1 :UInt64;   # rises with each start of the host's process
  union {
    digest @2 :Digest;
    question @3 :Question;
    answer @4 :Answer;
  }
}

struct Digest {
  sent @0 :List(Sent);
  begun @1 :List(Begun);
  ended @2 :List(UInt32);   # numbers of requests that are over
}

struct Question {           # how fresh are you?
  askedS @0 :Float64;       # on the asker's own clock; comes back with the answer
}

struct Answer {
  askedS @0 :Float64;
  ageMs @1 :UInt32;         # since the call was sent that confirmed the table last
  tableRevision @2 :UInt64;
  serverRevision @3 :UInt64; # the store's revision of the newest server entry known
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
