/* At-most-once execution of one key in one shard, with a former owner that may pause at any step.
 *
 * OWNERS owners and EXECS executors share one store. A caller sends the same key to every
 * executor. The comment of a step names the function that it models (src/claims). A lost answer is
 * a step that is never taken: `timeout` is not used, so every process may stop (pause, crash)
 * forever between two steps, or continue at any time.
 *
 * Checked: the key runs at most once; a claim that was reported as "not run" never runs.
 *
 * Negative controls, each of which must fail:
 *   BLIND_WRITE          update_tail commits whatever the tail's version is
 *   GRANT_BEFORE_LANDED  claims are granted before their update is committed
 *   NO_TOO_OLD           admit does not compare the key's age with the forgotten entries
 *   REPLACE_UNASKED      a duplicate is replaced without asking its executor
 *   DISPATCH_AFTER_GIVING_UP  a grant that arrives after the report "not run" is used
 *   NO_EPOCH_IN_NAMES    two owners use the same segment name and treat "exists" as their own write
 */
#define EXECS 2
#define OWNERS 2
#define NOBODY 0      /* no nonce */

/* The key is unclaimed, or held by a claim that nonce n may replace. */
#define free_for(n) (found != n && (found == NOBODY || replaces[n] == found))
#ifdef NO_TOO_OLD
#define may_be_forgotten false
#define known_forgotten false
#else
#define may_be_forgotten (too_old || my_forgotten)
#define known_forgotten my_forgotten
#endif

/* The shard's tail. With a single key, its only entry is a nonce. */
byte version = 0;
byte epoch = 0;
byte entry = NOBODY;       /* nonce in the tail */
bool listed = false;       /* the tail lists a segment */
byte listed_name = 0;
bool forgotten = false;    /* forgotten_until has passed the key's creation */
/* Content of the segments by name; 255: absent. The name is the epoch (0 without epochs). */
#define EPOCHS 4      /* the first owner takes over at most twice, the second once */
byte segment[EPOCHS] = 255;

bool too_old = false;      /* some clock puts the key past its retention; set at any time */

/* Claims: executor n (1..EXECS) uses nonce n. */
bool gave_up[EXECS + 1];   /* the executor reports "not run" from now on */
bool ran[EXECS + 1];
byte runs = 0;

/* Replies: the last reply of any owner to a nonce. */
bool granted[EXECS + 1];
byte holder[EXECS + 1];    /* nonce of the claim that this one duplicates */
byte replaces[EXECS + 1];  /* replaces_nonce of its claim request */
bool asked[EXECS + 1];

inline dispatch(n) {       /* claim_client_core::dispatch */
  runs++;
  ran[n] = true;
  assert(runs <= 1);
  assert(!gave_up[n])
}

proctype executor(byte n) {
  asked[n] = true;         /* claim_client_core::send_claim_to_owner */
  do
  :: atomic { granted[n] && !ran[n] && !gave_up[n] -> dispatch(n) }   /* granted_in_time */
#ifdef DISPATCH_AFTER_GIVING_UP
  :: atomic { granted[n] && !ran[n] -> dispatch(n) }
#endif
  /* refuse_deadline_passed, or refuse_unavailable if the owner is unavailable. */
  :: atomic { !ran[n] && !gave_up[n] -> gave_up[n] = true }
  /* claim_client_core::query_holder, then set_replaced_nonce: the holder reported "not run". */
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
  atomic {                 /* owner_core::read_tail_object, load_tail */
    my_version = version; my_epoch = epoch; my_entry = entry;
    my_listed = listed; my_name = listed_name; my_forgotten = forgotten
  }
  atomic {                 /* owner_core::read_next_segment, load_segment */
    found = my_entry;
    if
    :: my_listed && segment[my_name] == 255 -> goto take_over   /* note_missing_segment */
    :: my_listed && my_entry == NOBODY && segment[my_name] != 255 -> found = segment[my_name]
    :: else -> skip
    fi
  }
  atomic {                 /* owner_core::write_takeover */
    if
    :: version == my_version ->
       version++; my_version = version;
       my_epoch = my_epoch + 1; epoch = my_epoch
    :: else -> goto take_over
    fi
  }
serving:
  do
  /* owner_core::admit: answer_from_contents, or pending_claims::enqueue. */
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
     /* The owner's clock may be behind, so only the tail decides what is forgotten. */
     :: atomic { free_for(n) && !known_forgotten -> skip }
        /* owner_core::write_batch */
#ifdef GRANT_BEFORE_LANDED
        granted[n] = true;
#endif
        atomic {
          if
#ifdef BLIND_WRITE
          :: version < 12 ->    /* bound, since nothing else ends the writes */
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
        :: atomic { true -> granted[n] = true; n = NOBODY }      /* commit_batch */
        /* The store's answer is lost. */
        :: true ->
           atomic {            /* read back: is_own_update, otherwise lose_ownership */
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
       :: else -> skip      /* this owner's earlier create; a name only ever has one content */
       fi
     }
     atomic {                /* shard_contents::list_created_segment */
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
  /* shard_contents::expire_segments: unlists, then deletes segments past retention. */
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
     segment[my_name] = 255  /* owner_core::delete_retired, after any delay */
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
