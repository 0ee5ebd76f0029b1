/*
 * At-most-once execution of requests by the owner of one partition.
 *
 * Each store call is one atomic step. An instance may be delayed between any two steps, which
 * models pauses and expired leases: a takeover never waits for the previous owner. Any call may be
 * refused at any time, which models outages. The clock does not occur: reclamation may treat a
 * request as expired at any time.
 *
 * A write whose reply is lost is put on the network. It may be applied at any later time at which
 * its condition holds, or never.
 */

#ifndef INSTANCES
#define INSTANCES 3
#endif
#ifndef REQUESTS
#define REQUESTS 2
#endif
#ifndef EPOCHS          /* takeovers in total */
#define EPOCHS 3
#endif
#ifndef SEGMENTS
#define SEGMENTS 4
#endif
#ifndef LOSSES          /* lost replies in total */
#define LOSSES 1
#endif
#ifndef ROLLS           /* planned changes to the next segment in total */
#define ROLLS 0
#endif
#ifndef RECLAIM         /* whether expired segments are deleted */
#define RECLAIM 0
#endif

#define ATTEMPTS 2      /* attempts are numbered from 1 */
#define SUBMISSION(r, a) ((r) * ATTEMPTS + (a) - 1)
#define EXPIRY(r) ((r) + 1)

/* Records, and the last record of a request in a segment. */
#define NOTHING 0
#define CLAIM 1
#define RELEASED 2
#define DONE 3

/* Phases of a request in the index of an owner. */
#define FREE 0
#define PENDING 1       /* claim not confirmed */
#define ABANDONED 2     /* claim in doubt that is never dispatched, to be released */
#define RUNNING 3       /* claim confirmed and dispatched */
#define REPORT_DONE 4   /* run ended, outcome not confirmed */
#define REPORT_RELEASE 5
#define KNOWN_DONE 6
#define KNOWN_RELEASED 7
#define MAY_HAVE_RUN 8  /* claimed in an earlier epoch without outcome */

/* States of an instance. */
#define IDLE 0
#define WALKING 1       /* epoch raised, sealing segments */
#define CONFIRMING 2    /* segment created, head not confirmed */
#define OWNER 3
#define ROLLING 4       /* owner; next segment created, open one not sealed */

/* Verdict that a submission was told. */
#define FRESH 0
#define WAITING 1
#define NOT_RUN 2
#define OTHER 3         /* done, may have run, running or invalid */

typedef Segment {
  bit exists;
  byte epoch;           /* epoch that created it; 0 once sealed, to merge equal states */
  byte sealed;          /* epoch that sealed it, or 0 */
  byte version;         /* writes in the epoch; with the epoch it is unique, as in the store */
  byte kind[REQUESTS];
  byte attempt[REQUESTS];
  bit claims[REQUESTS]; /* holds a claim, so it lives until the expiry */
};

typedef Instance {
  byte state;
  byte epoch;
  byte number;          /* open segment, or the next one to read */
  byte version;         /* its known version */
  byte next;            /* version of the created next segment */
  byte first;           /* segments below may be deleted */
  byte watermark;
  byte phase[REQUESTS];
  byte attempt[REQUESTS];
  byte dispatched[REQUESTS];
  bit doubt;            /* a write is in doubt */
  byte doubtful;        /* its request */
  bit sent;             /* a write is on the network */
  byte sentNumber;
  byte sentEpoch;
  byte sentVersion;
  byte sentRequest;
  byte sentKind;
  byte sentAttempt;
};

Segment segment[SEGMENTS];
Instance instance[INSTANCES];
byte headEpoch;
byte headFirst;
byte headWatermark;
byte losses;
byte rolls;

/* Ghost variables for the properties. */
byte told[REQUESTS * ATTEMPTS];
bit ran[REQUESTS * ATTEMPTS];
byte runs[REQUESTS];
byte answer[REQUESTS];

/* With TRACE the steps that a trace names happen in its order, and all others at any time. */
#ifdef TRACE
#define EVENT(kind, i, x) ((kind) * 100 + (i) * 30 + (x))
#define RAISE(i) EVENT(1, i, 0)
#define CREATE(i, s) EVENT(2, i, s)
#define SEAL(i, s) EVENT(3, i, s)
#define CONFIRM(i) EVENT(4, i, 0)
#define WRITE(i, r, k) EVENT(5, i, (r) * 4 + (k))
#define RUN(i, r, a) EVENT(6, i, (r) * 4 + (a))
short recorded[64];
byte at;               /* next event */
#include "trace.pml"
#define follows(event) (at < LENGTH && recorded[at] == (event))
#define advance at++;
#else
#define follows(event) true
#define advance
#endif

#define me instance[i]
#define open segment[me.number]
#define fits(s, e, v) (segment[s].exists && segment[s].epoch == (e) && segment[s].version == (v))

/* "Not run" means that the submission never runs, and for an attempt above 1 that no earlier
   attempt runs either. */
inline tell(rr, aa, what) {
  if
  :: told[SUBMISSION(rr, aa)] == WAITING ->
     told[SUBMISSION(rr, aa)] = what;
     if
     :: what == NOT_RUN ->
        assert(!ran[SUBMISSION(rr, aa)]);
        assert(aa == 1 || !ran[SUBMISSION(rr, 1)])
     :: else
     fi
  :: else
  fi
}

/* An attempt above 1 that was not claimed and released by this owner may have a predecessor that
   ran. */
inline refuse(rr, aa) {
  if
#ifndef RETRY_NOT_RUN
  :: aa > 1 -> tell(rr, aa, OTHER)
#endif
  :: else -> tell(rr, aa, NOT_RUN)
  fi
}

inline apply(ss, rr, kk, aa) {
  segment[ss].version++;
  segment[ss].kind[rr] = kk;
  segment[ss].attempt[rr] = (kk == RELEASED -> aa : 0);
  if
  :: kk == CLAIM -> segment[ss].claims[rr] = 1
  :: kk == DONE ->
     /* A confirmed answer is never replaced by another. */
     assert(answer[rr] == 0 || answer[rr] == aa);
     answer[rr] = aa
  :: else
  fi
}

inline create(ss) {
  segment[ss].exists = 1;
  segment[ss].epoch = me.epoch;
  segment[ss].sealed = 0;
  segment[ss].version = 1
}

inline seal(ss) {
  segment[ss].sealed = me.epoch;
  segment[ss].epoch = 0;
  segment[ss].version = 0
}

/* Ends the ownership: the index is dropped. Dispatched runs continue. */
inline fence() {
  me.state = IDLE;
  me.epoch = 1;         /* any but 0; not used before the next takeover */
  me.number = 0;
  me.version = 0;
  me.watermark = 0;
  me.doubt = 0;
  me.doubtful = 0;
  me.next = 0;
  q = 0;
  do
  :: q < REQUESTS ->
     if
     :: me.phase[q] == PENDING || me.phase[q] == ABANDONED ->
        b = me.attempt[q];
        refuse(q, b)
     :: me.phase[q] >= RUNNING && me.phase[q] <= REPORT_RELEASE ->
        b = me.attempt[q];
        tell(q, b, OTHER)
     :: else
     fi;
     me.phase[q] = FREE;
     me.attempt[q] = 0;
     q++
  :: else -> break
  od;
  q = 0;
  b = 0
}

/* Loads the records of a sealed segment. */
inline load() {
  q = 0;
  do
  :: q < REQUESTS ->
     if
     :: open.kind[q] == NOTHING || EXPIRY(q) <= me.watermark
     :: else ->
        if
        :: open.kind[q] == CLAIM ->
#ifdef LOAD_FORGETS
           me.phase[q] = FREE
#else
           me.phase[q] = MAY_HAVE_RUN
#endif
        :: open.kind[q] == RELEASED -> me.phase[q] = KNOWN_RELEASED
        :: open.kind[q] == DONE -> me.phase[q] = KNOWN_DONE
        fi;
        me.attempt[q] = open.attempt[q]
     fi;
     q++
  :: else -> break
  od;
  q = 0;
  me.number++
}

/* Applies the confirmed write of a record to the index. */
inline confirm(rr, kk) {
  b = me.attempt[rr];
  me.version++;
  if
  :: kk == CLAIM && me.phase[rr] == PENDING ->
     me.phase[rr] = RUNNING;
     me.dispatched[rr] = me.attempt[rr]
  :: kk == CLAIM && me.phase[rr] == ABANDONED -> me.phase[rr] = REPORT_RELEASE
  :: kk == DONE ->
     me.phase[rr] = KNOWN_DONE;
     me.attempt[rr] = 0;
     tell(rr, b, OTHER)
  :: kk == RELEASED ->
     me.phase[rr] = KNOWN_RELEASED;
     tell(rr, b, NOT_RUN)
  :: else
  fi
}

#if REQUESTS > 1
#define unclaimed(s) (gone(s, 0) && gone(s, 1))
#else
#define unclaimed(s) gone(s, 0)
#endif
#define gone(s, r) (!segment[s].claims[r] || EXPIRY(r) <= headWatermark)
#define expired(s) (s < me.number && segment[s].sealed != 0 && unclaimed(s))
/* The owner continues to write to the open segment after it created the next one. */
#ifdef SEAL_FIRST
#define owns (me.state == OWNER)
#else
#define owns (me.state == OWNER || me.state == ROLLING)
#endif
#define unsealed (open.exists && open.epoch <= me.epoch && open.sealed == 0)
#define current fits(me.number, me.epoch, me.version)
#define arrives fits(me.sentNumber, me.sentEpoch, me.sentVersion)
#define KIND(p) ((p) == REPORT_DONE -> DONE : ((p) == REPORT_RELEASE -> RELEASED : CLAIM))
#define writable(p) ((p) == PENDING || (p) == REPORT_DONE || (p) == REPORT_RELEASE)

/* The part of an owner that concerns the whole partition. */
proctype Owner(byte i) {
  byte q, b, k;         /* scratch, 0 between steps */
end:
  do
  /* Raises the epoch in the head. Instances are alike, so they start in order. */
  :: d_step {
       me.state == IDLE && headEpoch < EPOCHS && follows(RAISE(i)) &&
       (i == 0 || instance[i - 1].epoch > 0 || me.epoch > 0) ->
       advance
       headEpoch++;
       me.epoch = headEpoch;
       me.number = headFirst;
       me.first = headFirst;
       me.watermark = headWatermark;
       me.version = 0;
       me.state = WALKING
     }

  /* Reads the next segment: seals and loads it, or creates it. */
  :: d_step {
       me.state == WALKING && me.number < SEGMENTS &&
       (open.exists || follows(CREATE(i, me.number))) &&
       (!unsealed || follows(SEAL(i, me.number))) ->
       if
       :: !open.exists ->
          advance
          create(me.number);
          me.version = open.version;
#ifdef NO_CONFIRM
          me.state = OWNER
#else
          me.state = CONFIRMING
#endif
       :: open.exists && (open.epoch > me.epoch || open.sealed > me.epoch) -> fence()
       :: else ->
          if
          :: open.sealed == 0 ->
#ifndef NO_SEAL
             advance
             seal(me.number);
#endif
             skip
          :: else
          fi;
          load()
       fi
     }

  /* Updates the head once more: the created segment may be one that was deleted before. */
  :: d_step {
       me.state == CONFIRMING && (headEpoch != me.epoch || follows(CONFIRM(i))) ->
       if
       :: headEpoch == me.epoch ->
          advance
          me.state = OWNER
       :: else -> fence()
       fi
     }

#if ROLLS > 0
  /* Creates the next segment, then seals the open one. */
  :: d_step {
       me.state == OWNER && !me.doubt && rolls < ROLLS && me.number + 1 < SEGMENTS &&
       (segment[me.number + 1].exists || follows(CREATE(i, me.number + 1))) ->
       rolls++;
#ifdef SEAL_FIRST
       if
       :: fits(me.number, me.epoch, me.version) ->
          seal(me.number);
          me.state = ROLLING
       :: else -> fence()
       fi
#else
       if
       :: !segment[me.number + 1].exists ->
          advance
          create(me.number + 1);
          me.next = segment[me.number + 1].version;
          me.state = ROLLING
       :: else -> fence()
       fi
#endif
     }
  :: d_step {
       me.state == ROLLING && !me.doubt && (!current || follows(SEAL(i, me.number))) ->
#ifdef SEAL_FIRST
       if
       :: !segment[me.number + 1].exists ->
          create(me.number + 1);
          me.number++;
          me.version = open.version;
          me.state = OWNER
       :: else -> fence()
       fi
#else
       if
       :: fits(me.number, me.epoch, me.version) ->
          advance
          seal(me.number);
          me.number++;
          me.version = me.next;
          me.next = 0;
          me.state = OWNER
       :: else -> fence()
       fi
#endif
     }
#endif

#if RECLAIM
  /* Refuses requests up to the watermark before the head is written. */
  :: d_step {
       me.state == OWNER && me.watermark < REQUESTS && me.watermark == headWatermark ->
       me.watermark++;
#ifdef DELETE_FIRST
       me.watermark--;
       q = 0;
       do
       :: q < REQUESTS ->
          if
          :: EXPIRY(q) <= me.watermark + 1 && me.phase[q] >= KNOWN_DONE -> me.phase[q] = FREE
          :: else
          fi;
          q++
       :: else -> break
       od;
       q = 0
#endif
     }
  /* Raises the watermark in the head, then forgets what it covers. */
  :: d_step {
       me.state == OWNER && me.watermark > headWatermark ->
       if
       :: headEpoch == me.epoch ->
          headWatermark = me.watermark;
          do
          :: expired(headFirst) -> headFirst++
          :: else -> break
          od;
          me.first = headFirst;
          q = 0;
          do
          :: q < REQUESTS ->
             if
             :: EXPIRY(q) <= me.watermark && me.phase[q] >= KNOWN_DONE ->
                me.phase[q] = FREE;
                me.attempt[q] = 0
             :: else
             fi;
             q++
          :: else -> break
          od;
          q = 0
       :: else -> fence()
       fi
     }
  /* Deletes a segment below the first one, also long after the ownership ended. */
  :: d_step {
       me.first > 0 && segment[me.first - 1].exists ->
       segment[me.first - 1].exists = 0;
       segment[me.first - 1].epoch = 0;
       segment[me.first - 1].sealed = 0;
       segment[me.first - 1].version = 0;
       q = 0;
       do
       :: q < REQUESTS ->
          segment[me.first - 1].kind[q] = NOTHING;
          segment[me.first - 1].attempt[q] = 0;
          segment[me.first - 1].claims[q] = 0;
          q++
       :: else -> break
       od;
       q = 0
     }
  :: d_step {
       me.first > 1 && !segment[me.first - 1].exists && me.state == IDLE -> me.first--
     }
#endif

#if LOSSES > 0
  /* A write on the network arrives. */
  :: d_step {
       me.sent && (!arrives || follows(WRITE(i, me.sentRequest, me.sentKind))) ->
       if
       :: fits(me.sentNumber, me.sentEpoch, me.sentVersion) ->
          q = me.sentRequest;
          b = me.sentAttempt;
          k = me.sentKind;
          advance
          apply(me.sentNumber, q, k, b);
          q = 0;
          b = 0;
          k = 0
       :: else
       fi;
       me.sent = 0;
       me.sentNumber = 0;
       me.sentEpoch = 0;
       me.sentVersion = 0;
       me.sentRequest = 0;
       me.sentKind = 0;
       me.sentAttempt = 0
     }
  /* Resolves a write in doubt: repeats it under the same condition, or finds it applied. */
  :: d_step {
       owns && me.doubt &&
       (!current || follows(WRITE(i, me.doubtful, KIND(me.phase[me.doubtful])))) ->
       q = me.doubtful;
       b = me.attempt[q];
       k = KIND(me.phase[q]);
       if
       :: fits(me.number, me.epoch, me.version) ->
          advance
          apply(me.number, q, k, b);
          me.doubt = 0;
          me.doubtful = 0;
          confirm(q, k)
       :: open.exists && open.epoch == me.epoch && open.version == me.version + 1 ->
          me.doubt = 0;
          me.doubtful = 0;
          confirm(q, k)
       :: else -> fence()
       fi;
       q = 0;
       b = 0;
       k = 0
     }
  /* The store is down: a claim in doubt is abandoned and must not be dispatched. */
  :: d_step {
       owns && me.doubt && me.phase[me.doubtful] == PENDING ->
#ifdef DISPATCH_DOUBT
       me.dispatched[me.doubtful] = me.attempt[me.doubtful];
       me.phase[me.doubtful] = RUNNING
#else
       q = me.doubtful;
       b = me.attempt[q];
       me.phase[q] = ABANDONED;
       refuse(q, b);
       q = 0;
       b = 0
#endif
     }
#endif
  od
}

/* An attempt arrives at an owner. One that finds a live claim waits, which is not a step. */
inline submit(rr, aa) {
  told[SUBMISSION(rr, aa)] = WAITING;
  if
#ifndef NO_WATERMARK
  :: EXPIRY(rr) <= me.watermark -> tell(rr, aa, OTHER)
#endif
  :: else ->
     if
     :: me.phase[rr] == KNOWN_DONE ->
        assert(answer[rr] != 0);
        tell(rr, aa, OTHER)
     :: me.phase[rr] == MAY_HAVE_RUN -> tell(rr, aa, OTHER)
     :: me.phase[rr] == KNOWN_RELEASED && aa <= me.attempt[rr] -> tell(rr, aa, NOT_RUN)
     :: else ->
        me.phase[rr] = PENDING;
        me.attempt[rr] = aa
     fi
  fi
}

#define settled(p) ((p) == FREE || (p) >= KNOWN_DONE)

/* The part of an owner that concerns one request. */
proctype Claims(byte i; byte r) {
  byte q, b, k;         /* scratch, 0 between steps */
end:
  do
  :: d_step { owns && told[SUBMISSION(r, 1)] == FRESH && settled(me.phase[r]) -> submit(r, 1) }
  :: d_step { owns && told[SUBMISSION(r, 2)] == FRESH && settled(me.phase[r]) -> submit(r, 2) }

  /* Writes a claim or an outcome. */
  :: d_step {
       owns && !me.doubt && writable(me.phase[r]) &&
       (!current || follows(WRITE(i, r, KIND(me.phase[r])))) ->
       b = me.attempt[r];
       k = KIND(me.phase[r]);
       if
       :: fits(me.number, me.epoch, me.version) ->
          advance
          apply(me.number, r, k, b);
          confirm(r, k)
       :: else -> fence()
       fi;
       b = 0;
       k = 0
     }

#if LOSSES > 0
  /* Writes, and the reply is lost. */
  :: d_step {
       owns && !me.doubt && !me.sent && losses < LOSSES && writable(me.phase[r]) ->
       losses++;
       me.doubt = 1;
       me.doubtful = r;
       me.sent = 1;
       me.sentNumber = me.number;
       me.sentEpoch = me.epoch;
       me.sentVersion = me.version;
       me.sentRequest = r;
       me.sentKind = KIND(me.phase[r]);
       me.sentAttempt = me.attempt[r]
     }
#endif

  /* The store is down before the claim was sent. */
  :: d_step {
       owns && me.phase[r] == PENDING && !(me.doubt && me.doubtful == r) ->
       b = me.attempt[r];
       refuse(r, b);
       me.phase[r] = FREE;
       me.attempt[r] = 0;
       b = 0
     }

  /* The outcome can't be written now. */
  :: d_step {
       owns && (me.phase[r] == REPORT_DONE || me.phase[r] == REPORT_RELEASE) &&
       told[SUBMISSION(r, me.attempt[r])] == WAITING ->
       b = me.attempt[r];
       tell(r, b, OTHER);
       b = 0
     }

  /* Runs a dispatched request, also after the ownership ended. */
  :: d_step {
       me.dispatched[r] != 0 && follows(RUN(i, r, me.dispatched[r])) ->
       advance
       runs[r]++;
       ran[SUBMISSION(r, me.dispatched[r])] = 1;
       assert(runs[r] <= 1);
       assert(told[SUBMISSION(r, me.dispatched[r])] != NOT_RUN);
       assert(me.dispatched[r] > 1 || told[SUBMISSION(r, 2)] != NOT_RUN);
       me.dispatched[r] = 0;
       if
       :: me.phase[r] == RUNNING -> me.phase[r] = REPORT_DONE
       :: else
       fi
     }
  /* The leaf refuses it, so it does not run. */
  :: d_step {
       me.dispatched[r] != 0 && follows(RUN(i, r, me.dispatched[r])) ->
       advance
       me.dispatched[r] = 0;
       if
       :: me.phase[r] == RUNNING -> me.phase[r] = REPORT_RELEASE
       :: else
       fi
     }
  od
}

#ifdef TRACE
/* The trace is accepted if this assertion fails. */
proctype Accept() {
  bit accepted;
end:
  d_step { at == LENGTH && TOLD -> accepted = 1 };
  assert(!accepted)
}
#endif

init {
  atomic {
    byte n = 0;
#ifdef TRACE
    expect();
#ifdef FORGED
    /* The first run comes before the write of its claim. */
    at = 1;
    do
    :: recorded[at] / 100 != 6 -> at++
    :: else -> break
    od;
    recorded[at] = recorded[at - 1] + recorded[at];
    recorded[at - 1] = recorded[at] - recorded[at - 1];
    recorded[at] = recorded[at] - recorded[at - 1];
    at = 0;
#endif
    run Accept();
#endif
    do
    :: n < INSTANCES ->
       run Owner(n);
       run Claims(n, 0);
#if REQUESTS > 1
       run Claims(n, 1);
#endif
       n++
    :: else -> break
    od
  }
}
