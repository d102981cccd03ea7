/* Freshness rules R1 to R3 (docs/design.md, 4.6).
 *
 * The property is checked for daemon 0. It reads the log (R1), asks daemon 1 (R2), or finds that
 * neither itself nor any of the two other members has connectivity to the log (R3). Daemon 1 reads
 * the log on its own. Member 2 may publish a change whenever it reaches the log; the change is
 * accepted at that moment. Links between members and connectivity to the log fail and recover;
 * answers may be late.
 *
 * Property (M3, M5, M11): daemon 0 is not fresh with the old configuration more than F ticks after
 * the change was accepted.
 * Mutants: NO_ALL_MEMBERS, NO_OFFSETS, FULL_PERIOD_FROM_PEER, FROM_RECEIPT.
 */
#define F 3          /* freshness period, in ticks */
#define LAST 6       /* last tick explored */
#define FAULTS 4     /* most changes of connectivity */

byte now = 0;
byte faults = 0;
bool reachesLog[3];       /* whether member i reaches the log */
bool linked[3];           /* whether daemon 0 and member i are connected */
bool accepted = false;    /* the change is in the log */
byte acceptedAt = 0;
bool applied[2];          /* daemon i has applied the change */
byte freshUntil[2];

#ifdef NO_OFFSETS
#define SAME_OFFSET(peerApplied) true
#else
#define SAME_OFFSET(peerApplied) (applied[0] || !(peerApplied))
#endif

#define INVARIANT                                                                                  \
  assert(!(accepted && now > acceptedAt + F && !applied[0] && now < freshUntil[0]))

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
    reachesLog[0] = true; reachesLog[1] = true; reachesLog[2] = true;
    linked[1] = true; linked[2] = true;
    run environment();
    run reader();
    run daemon()
  }
}

proctype environment()
{
  do
  :: atomic { now < LAST -> now++; INVARIANT }
  :: atomic { faults < FAULTS -> faults++;
       if
       :: reachesLog[0] = !reachesLog[0]
       :: reachesLog[1] = !reachesLog[1]
       :: reachesLog[2] = !reachesLog[2]
       :: linked[1] = !linked[1]
       :: linked[2] = !linked[2]
       fi
     }
  :: atomic { !accepted && reachesLog[2] -> accepted = true; acceptedAt = now }
  :: now >= LAST -> break
  od
}

/* Daemon 1: its read and the answer are one step, because the property concerns only daemon 0. */
proctype reader()
{
  do
  :: now >= LAST -> break
  :: atomic { now < LAST && reachesLog[1] -> applied[1] = accepted; extend(1, now + F) }
  od
}

proctype daemon()
{
  byte sentAt;
  byte remainingTicks;
  bool answered;
  do
  :: now >= LAST -> break
  :: atomic { now < LAST && reachesLog[0] -> sentAt = now };
     /* R1: the read takes effect now; its answer may be late. */
     atomic {
       answered = reachesLog[0];
       if
       :: answered && accepted -> applied[0] = true
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
  :: atomic { now < LAST && !reachesLog[0] -> sentAt = now };
     /* R2: a fresh peer answers a probe; the answer contains the records and may be late. */
     atomic {
       answered = linked[1] && now < freshUntil[1];
       if
       :: answered ->
#ifdef FULL_PERIOD_FROM_PEER
          remainingTicks = F;
#else
          remainingTicks = freshUntil[1] - now;
#endif
          applied[0] = applied[0] || applied[1]
       :: else
       fi
     };
     atomic {
       if
#ifdef FROM_RECEIPT
       :: answered -> extend(0, now + remainingTicks)
#else
       :: answered -> extend(0, sentAt + remainingTicks)
#endif
       :: else
       fi;
       INVARIANT;
       sentAt = 0; remainingTicks = 0; answered = false
     }
  :: atomic { now < LAST && !reachesLog[0] -> sentAt = now };
     /* R3: every other member answers that it does not reach the log and has not applied more
      * records than daemon 0. */
     atomic { answered = linked[1] && !reachesLog[1] && SAME_OFFSET(applied[1]) };
     atomic {
#ifdef NO_ALL_MEMBERS
       answered = answered && (!linked[2] || (!reachesLog[2] && SAME_OFFSET(accepted)))
#else
       answered = answered && linked[2] && !reachesLog[2] && SAME_OFFSET(accepted)
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
