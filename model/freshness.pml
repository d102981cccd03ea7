/* Freshness rules R1 to R3 (docs/design.md, 4.6).
 *
 * Daemon 0 is observed. It reads the log (R1), asks daemon 1 (R2), or finds that neither it nor
 * both other members reach the log (R3). Daemon 1 reads the log by itself. Member 2 publishes a
 * change at any time at which it reaches the log; the change is accepted at that moment. Links and
 * access to the log come and go; answers may be late.
 *
 * Property (M3, M5, M11): daemon 0 is not fresh on the old configuration when more than F ticks
 * have passed since the change was accepted.
 * Mutants: NO_ALL_MEMBERS, NO_OFFSETS, FULL_PERIOD_FROM_PEER, FROM_RECEIPT.
 */
#define F 3
#define LAST 6
#define FAULTS 4

byte now = 0;
byte faults = 0;
bool reaches[3];          /* whether member i reaches the log */
bool linked[3];           /* whether daemon 0 reaches member i */
bool accepted = false;    /* the change stands in the log */
byte acceptedAt = 0;
bool knows[2];            /* daemon i has applied the change */
byte freshUntil[2];

#ifdef NO_OFFSETS
#define SAME_OFFSET(known) true
#else
#define SAME_OFFSET(known) (knows[0] || !(known))
#endif

#define INVARIANT                                                                                  \
  assert(!(accepted && now > acceptedAt + F && !knows[0] && now < freshUntil[0]))

inline extend(me, limit)
{
  if
  :: limit > freshUntil[me] -> freshUntil[me] = limit
  :: else
  fi
}

init
{
  atomic {
    reaches[0] = true; reaches[1] = true; reaches[2] = true;
    linked[1] = true; linked[2] = true;
    run surroundings();
    run reader();
    run daemon()
  }
}

proctype surroundings()
{
  do
  :: atomic { now < LAST -> now++; INVARIANT }
  :: atomic { faults < FAULTS -> faults++;
       if
       :: reaches[0] = !reaches[0]
       :: reaches[1] = !reaches[1]
       :: reaches[2] = !reaches[2]
       :: linked[1] = !linked[1]
       :: linked[2] = !linked[2]
       fi
     }
  :: atomic { !accepted && reaches[2] -> accepted = true; acceptedAt = now }
  :: now >= LAST -> break
  od
}

/* Daemon 1: its read and the answer are one step, since only daemon 0 is observed. */
proctype reader()
{
  do
  :: now >= LAST -> break
  :: atomic { now < LAST && reaches[1] -> knows[1] = accepted; extend(1, now + F) }
  od
}

proctype daemon()
{
  byte sentAt;
  byte stated;
  bool answered;
  do
  :: now >= LAST -> break
  :: atomic { now < LAST && reaches[0] -> sentAt = now };
     /* R1: the read takes effect now; its answer may be late. */
     atomic {
       answered = reaches[0];
       if
       :: answered && accepted -> knows[0] = true
       :: else
       fi
     };
     atomic {
       if
       :: answered -> extend(0, sentAt + F)
       :: else
       fi;
       INVARIANT;
       sentAt = 0; answered = false
     }
  :: atomic { now < LAST && !reaches[0] -> sentAt = now };
     /* R2: a fresh peer answers a probe; the answer brings the records and may be late. */
     atomic {
       answered = linked[1] && now < freshUntil[1];
       if
       :: answered ->
#ifdef FULL_PERIOD_FROM_PEER
          stated = F;
#else
          stated = freshUntil[1] - now;
#endif
          knows[0] = knows[0] || knows[1]
       :: else
       fi
     };
     atomic {
       if
#ifdef FROM_RECEIPT
       :: answered -> extend(0, now + stated)
#else
       :: answered -> extend(0, sentAt + stated)
#endif
       :: else
       fi;
       INVARIANT;
       sentAt = 0; stated = 0; answered = false
     }
  :: atomic { now < LAST && !reaches[0] -> sentAt = now };
     /* R3: every other member answers that it does not reach the log, and has not applied more of
      * it than daemon 0 has. */
     atomic { answered = linked[1] && !reaches[1] && SAME_OFFSET(knows[1]) };
     atomic {
#ifdef NO_ALL_MEMBERS
       answered = answered && (!linked[2] || (!reaches[2] && SAME_OFFSET(accepted)))
#else
       answered = answered && linked[2] && !reaches[2] && SAME_OFFSET(accepted)
#endif
     };
     atomic {
       if
       :: answered -> extend(0, sentAt + F)
       :: else
       fi;
       INVARIANT;
       sentAt = 0; answered = false
     }
  od
}
