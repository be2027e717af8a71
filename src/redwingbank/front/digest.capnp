@0xb6d1c07e52a94f13;
# what hosts tell each other of the requests they send, batched

struct Digest {
  host @0 :Text;
  incarnation @1 :UInt64;   # rises with each start of the host's process
  sent @2 :List(Sent);
  begun @3 :List(UInt32);   # numbers of requests whose first event has come
  ended @4 :List(UInt32);   # numbers of requests that are over
}

struct Sent {
  number @0 :UInt32;        # of this host's requests
  server @1 :Text;
  unread @2 :UInt32;        # prompt tokens to be read there
  ahead @3 :UInt32;         # prompt tokens that wait there already
  answerTokens @4 :UInt32;
  pauseMs @5 :UInt32;       # longest good pause between events, 0 for a plain call
  tier @6 :UInt8;
  parts @7 :List(Part);     # the shared parts of its prompt, in order
}

struct Part {
  name @0 :Text;
  tokens @1 :UInt32;
}
