/* At most once for one key, over one shard, with a former owner that may be paused at any step.
 *
 * Owners OWNERS and executors EXECS share one store. A caller sends the same key to every
 * executor. Each step names the function that it stands for (src/claims). An answer that never
 * comes is a step that is never taken: `timeout` is not used, so every process may stop (pause,
 * crash) for ever between two steps, and go on at any time.
 *
 * Checked: the key runs at most once; a claim of which "not run" was said never runs.
 *
 * Negative controls, each of which must fail:
 *   BLIND_WRITE          update_tail lands whatever the tail's version is
 *   GRANT_BEFORE_LANDED  claims are granted before their update has landed
 *   NO_TOO_OLD           admit does not compare the key with what has been forgotten
 *   REPLACE_UNASKED      a duplicate is replaced without asking its executor
 *   DISPATCH_AFTER_GIVING_UP  a grant that comes after "not run" was said is used
 *   NO_EPOCH_IN_NAMES    two owners use the same segment name, and take "exists" for their own
 */
#define EXECS 2
#define OWNERS 2
#define NOBODY 0      /* no nonce */

/* Nothing holds the key but a claim that nonce n may replace. */
#define free_for(n) (found != n && (found == NOBODY || replaces[n] == found))
#ifdef NO_TOO_OLD
#define may_be_forgotten false
#define known_forgotten false
#else
#define may_be_forgotten (too_old || my_forgotten)
#define known_forgotten my_forgotten
#endif

/* The tail: one key, so its entry is one nonce. */
byte version = 0;
byte epoch = 0;
byte entry = NOBODY;       /* in the tail */
bool listed = false;       /* the tail lists a segment */
byte listed_name = 0;
bool forgotten = false;    /* forgotten_until has passed the key's creation */
/* Segments: content by name, 255 is absent. A name is the epoch (or 0 without it). */
#define EPOCHS 4      /* the first owner takes over at most twice, the second once */
byte segment[EPOCHS] = 255;

bool too_old = false;      /* the key is past retention: by any clock, set at any time */

/* Claims: nonce n is that of executor n (1..EXECS). */
bool gave_up[EXECS + 1];   /* the executor said "not run", or answers so from now on */
bool ran[EXECS + 1];
byte runs = 0;

/* Replies: the last word of any owner to a nonce. */
bool granted[EXECS + 1];
byte holder[EXECS + 1];    /* duplicate of this nonce */
byte replaces[EXECS + 1];  /* replaces_nonce of its ask */
bool asked[EXECS + 1];

inline dispatch(n) {       /* asker_core::dispatch */
  runs++;
  ran[n] = true;
  assert(runs <= 1);
  assert(!gave_up[n])
}

proctype executor(byte n) {
  asked[n] = true;         /* asker_core::ask */
  do
  :: atomic { granted[n] && !ran[n] && !gave_up[n] -> dispatch(n) }   /* granted_in_time */
#ifdef DISPATCH_AFTER_GIVING_UP
  :: atomic { granted[n] && !ran[n] -> dispatch(n) }
#endif
  /* The deadline passes, or the owner says unavailable: refuse_late, refuse_unavailable. */
  :: atomic { !ran[n] && !gave_up[n] -> gave_up[n] = true }
  /* asker_core::query, then note_replaced: the holder has said "not run". */
  :: atomic { holder[n] != NOBODY && !gave_up[n] && !ran[n] ->
#ifndef REPLACE_UNASKED
       if
       :: gave_up[holder[n]] -> replaces[n] = holder[n]
       :: else -> skip
       fi;
#else
       replaces[n] = holder[n];
#endif
       holder[n] = NOBODY
     }
  :: ran[n] -> break
  od
}

proctype owner(byte takeovers) {
  byte my_version; byte my_epoch; byte my_entry; byte my_listed; byte my_name;
  byte found; byte n; bool my_forgotten; byte name;
take_over:
  n = NOBODY; found = NOBODY; name = 0;
  if :: takeovers > 0 -> takeovers-- :: else -> goto stop fi;
  atomic {                 /* owner_core::read_tail_object, keep_tail */
    my_version = version; my_epoch = epoch; my_entry = entry;
    my_listed = listed; my_name = listed_name; my_forgotten = forgotten
  }
  atomic {                 /* owner_core::read_next_segment, load */
    found = my_entry;
    if
    :: my_listed && segment[my_name] == 255 -> goto take_over   /* note_missing_segment */
    :: my_listed && my_entry == NOBODY && segment[my_name] != 255 -> found = segment[my_name]
    :: else -> skip
    fi
  }
  atomic {                 /* owner_core::announce */
    if
    :: version == my_version ->
       version++; my_version = version;
       my_epoch = my_epoch + 1; epoch = my_epoch
    :: else -> goto take_over
    fi
  }
serving:
  do
  /* owner_core::admit: answer_from_memory, or gather. */
  :: atomic { n = NOBODY;
       if
       :: asked[1] && !ran[1] -> n = 1
       :: asked[2] && !ran[2] -> n = 2
       fi
     }
     if
     :: atomic { found == n -> granted[n] = true; n = NOBODY }   /* same nonce */
     :: atomic { found != NOBODY && found != n && replaces[n] != found ->
          holder[n] = found; n = NOBODY }
     :: atomic { free_for(n) && may_be_forgotten -> n = NOBODY }
     /* Its own clock may run behind: only the tail's word counts. */
     :: atomic { free_for(n) && !known_forgotten -> skip }
        /* owner_core::write_batch */
#ifdef GRANT_BEFORE_LANDED
        granted[n] = true;
#endif
        atomic {
          if
#ifdef BLIND_WRITE
          :: version < 12 ->    /* a bound, since nothing else ends the writes */
#else
          :: version == my_version ->
#endif
             version++; my_version = version; entry = n; my_entry = n; epoch = my_epoch;
#ifdef BLIND_WRITE
             listed = my_listed; listed_name = my_name; forgotten = my_forgotten;
#endif
             found = n
#ifndef BLIND_WRITE
          :: else -> goto lost_it
#endif
          fi
        }
        if
        :: atomic { true -> granted[n] = true; n = NOBODY }      /* batch_landed */
        /* The answer is lost. */
        :: true ->
           atomic {            /* read back: is_ours, else lose */
             if
             :: version == my_version -> granted[n] = true; n = NOBODY
             :: version != my_version ->
                if
                :: entry == n -> granted[n] = true
                :: else -> skip
                fi;
                goto lost_it
             fi
           }
        fi
     fi
  /* owner_core::start_roll: create_segment, then an update that lists it. */
  :: !my_listed && !my_forgotten ->   /* with the key's entry, or with other keys only */
     atomic {
#ifdef NO_EPOCH_IN_NAMES
       name = 0;
#else
       name = my_epoch;
#endif
       if
       :: segment[name] == 255 -> segment[name] = my_entry
       :: else -> skip      /* our own earlier create: the name has one content only */
       fi
     }
     atomic {                /* shard_contents::list_created */
       if
#ifdef BLIND_WRITE
       :: version < 12 ->
#else
       :: version == my_version ->
#endif
          version++; my_version = version;
          listed = true; listed_name = name; entry = NOBODY; epoch = my_epoch;
          my_listed = true; my_name = name; my_entry = NOBODY
#ifndef BLIND_WRITE
       :: else -> goto lost_it
#endif
       fi
     }
  /* shard_contents::forget: unlist what is past retention, then delete it. */
  :: too_old && my_listed ->
     atomic {
       if
#ifdef BLIND_WRITE
       :: version < 12 ->
#else
       :: version == my_version ->
#endif
          version++; my_version = version; listed = false; my_listed = false; epoch = my_epoch;
          forgotten = true; my_forgotten = true;
          if :: my_entry == NOBODY -> found = NOBODY :: else -> skip fi
#ifndef BLIND_WRITE
       :: else -> goto lost_it
#endif
       fi
     }
     segment[my_name] = 255  /* owner_core::delete_retired, however late */
  /* ownership_desired{false}, and desired again later. */
  :: true -> goto take_over
  od;
lost_it:
  goto take_over;
stop:
  skip
}

proctype retention() { too_old = true }

init {
  atomic {
    run executor(1); run executor(2);
    run owner(2); run owner(1);
    run retention()
  }
}
