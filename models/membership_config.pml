/* Leaving endpoints and configuration revisions, with three daemons that gossip.
 *
 * Leaving: an endpoint's record is (incarnation, state) and the higher one wins. So a daemon that
 * knows of the reclaim notice sends the endpoint no new work, even if a stale record arrives later.
 * Configuration: a daemon that uses revision r never applies a lower one, and a restarted daemon
 * asks its peers for their floor, the highest revision that one of them uses, before it serves.
 *
 * Negative controls, each of which must fail:
 *   LIVE_WINS       a received record replaces the known one
 *   NO_INCARNATION  an endpoint that returns keeps the incarnation of the one that left
 *   ANY_REVISION    a daemon applies any revision that it reads, even a stale one
 *   NO_FLOOR        a restarted daemon serves before it has asked its peers
 */
#define DAEMONS 3
#define ROUNDS 1    /* gossip exchanges and store reads of each daemon */
#define LIVE 0
#define LEAVING 1
#define REVISIONS 2

/* A record as one number, 2 * incarnation + state; the higher one wins (membership join). */
byte record[DAEMONS];
bool heard[DAEMONS];      /* the reclaim notice has reached this daemon */
byte incarnation = 1;
bool noticed = false;
bool rejoined = false;

byte store_revision = 1;
byte in_force[DAEMONS];
bool serving[DAEMONS];
bool restarted = false;

#define RECORD(i, s) (2 * (i) + (s))

inline merge_record(d, r) {  /* membership: join of records */
#ifdef LIVE_WINS
  record[d] = r
#else
  if
  :: r > record[d] -> record[d] = r
  :: else -> skip
  fi
#endif
}

inline apply_revision(d, r) { /* objects: applies only a revision above the highest seen */
#ifdef ANY_REVISION
  assert(!serving[d] || r >= in_force[d]);
  in_force[d] = r
#else
  if
  :: r > in_force[d] -> in_force[d] = r
  :: else -> skip
  fi
#endif
}

/* A daemon that knows of the reclaim notice never sends the endpoint new work. */
inline dispatch(d) {
  if
  :: record[d] == RECORD(1, LIVE) -> assert(!heard[d])
  :: else -> skip
  fi
}

proctype daemon(byte d) {
  byte other; byte carried; byte r; byte rounds = 0;
  do
  :: rounds == ROUNDS -> break
  :: atomic { serving[d] -> dispatch(d) }
  /* Gossip: reads a peer's view now and merges it later, when it may be stale. */
  :: rounds < ROUNDS -> rounds++;
     atomic { if :: other = (d + 1) % DAEMONS :: other = (d + 2) % DAEMONS fi;
       carried = record[other]; r = in_force[other] }
     atomic {
       merge_record(d, carried);
       if :: carried == RECORD(1, LEAVING) -> heard[d] = true :: else -> skip fi;
       apply_revision(d, r)
     }
  /* Reads the store, possibly a stale state. */
  :: rounds < ROUNDS -> rounds++;
     atomic { if :: r = store_revision :: r = 1 fi }
     atomic { apply_revision(d, r) }
  od
}

/* The reclaim notice reaches one daemon. */
proctype notice() {
  atomic { noticed = true; merge_record(0, RECORD(1, LEAVING)); heard[0] = true }
  /* The instance list lags behind and still shows the endpoint as live. */
  atomic { merge_record(0, RECORD(1, LIVE)) }
  /* Another endpoint starts with the same name. */
  atomic {
#ifdef NO_INCARNATION
    record[1] = RECORD(1, LIVE);
#else
    merge_record(1, RECORD(2, LIVE));
#endif
    rejoined = true
  }
}

proctype operator() {
  do
  :: atomic { store_revision < REVISIONS -> store_revision++ }
  :: store_revision == REVISIONS -> break
  od
}

/* Daemon 2 is replaced by a new one without any state. */
proctype restart() {
  byte floor;
  atomic {
    serving[2] = false; in_force[2] = 0; record[2] = 0; heard[2] = false
  }
  /* Asks its peers; each answer has the peer's revision in use and its records. */
  atomic {
    floor = in_force[0];
    if :: in_force[1] > floor -> floor = in_force[1] :: else -> skip fi;
#ifndef NO_FLOOR
    apply_revision(2, floor);
#endif
  }
  /* Reads a stale state of the store. */
  atomic { apply_revision(2, 1) }
  atomic {
    assert(in_force[2] >= floor);
    serving[2] = true
  }
}

init {
  atomic {
    byte d = 0;
    do
    :: d < DAEMONS ->
       record[d] = RECORD(1, LIVE); in_force[d] = 1; serving[d] = true; d++
    :: else -> break
    od;
    run daemon(0); run daemon(1); run daemon(2);
    run notice(); run operator(); run restart()
  }
}
