/* Freshness rules R1 to R3 (docs/design.md, 4.6).
 *
 * Two daemons read the log, or ask each other when they cannot reach it. A third member only answers
 * whether it reaches the log. Links between daemons
 * and from each daemon to the log come and go. Any daemon that reaches the log may publish a
 * change; it is accepted at that moment.
 *
 * Property (M3, M5, M11): no daemon is fresh on the old configuration when more than F ticks have
 * passed since the change was accepted.
 * Mutants: NO_ALL_MEMBERS, FULL_PERIOD_FROM_PEER, FROM_RECEIPT.
 */
#define F 2
#define LAST 5
#define NEVER 100

byte now = 0;
bool reaches[3];          /* whether daemon i reaches the log */
bool linked[3];           /* whether daemons i and (i + 1) % 3 reach each other */
byte acceptedAt = NEVER;
bool knows[3];            /* daemon i has applied the change */
byte freshUntil[3];

#define OLD_AND_FRESH(i) (!knows[i] && now < freshUntil[i])
#define INVARIANT                                                                                  \
  assert(!(acceptedAt != NEVER && now > acceptedAt + F &&                                          \
           (OLD_AND_FRESH(0) || OLD_AND_FRESH(1))))

#define LINK(i, j) linked[((i + 1) % 3 == j -> i : j)]

init
{
  atomic {
    reaches[0] = true; reaches[1] = true; reaches[2] = true;
    linked[0] = true; linked[1] = true; linked[2] = true;
    run surroundings();
    run daemon(0);
    run daemon(1)
  }
}

proctype surroundings()
{
  byte faults = 0;
  do
  :: atomic { now < LAST -> now++; INVARIANT }
  :: faults < 4 -> reaches[0] = !reaches[0]; faults++
  :: faults < 4 -> reaches[1] = !reaches[1]; faults++
  :: faults < 4 -> reaches[2] = !reaches[2]; faults++
  :: faults < 4 -> linked[0] = !linked[0]; faults++
  :: faults < 4 -> linked[1] = !linked[1]; faults++
  :: atomic {
       acceptedAt == NEVER ->
       if
       :: reaches[0] -> acceptedAt = now; knows[0] = true
       :: reaches[1] -> acceptedAt = now; knows[1] = true
       :: reaches[2] -> acceptedAt = now; knows[2] = true
       :: else
       fi
     }
  :: now >= LAST -> break
  od
}

inline extend(me, until)
{
  if
  :: until > freshUntil[me] -> freshUntil[me] = until
  :: else
  fi
}

proctype daemon(byte me)
{
  byte sentAt;
  byte stated;
  byte peer;
  bool agreed;
  bool gotIt;
  do
  :: now >= LAST -> break
  :: now < LAST && reaches[me] ->
     /* R1: reads the log to its end; the answer may be late. */
     sentAt = now;
     atomic {
       if
       :: reaches[me] -> gotIt = true; knows[me] = (knows[me] || acceptedAt != NEVER)
       :: else -> gotIt = false
       fi
     }
     atomic {
       if
       :: gotIt -> extend(me, sentAt + F)
       :: else
       fi;
       INVARIANT
     }
  :: now < LAST && !reaches[me] ->
     /* R2: a fresh peer answers a probe; the answer brings the records and may be late. */
     sentAt = now;
     peer = 1 - me;
     atomic {
       gotIt = LINK(me, peer) && now < freshUntil[peer];
       if
       :: gotIt ->
#ifdef FULL_PERIOD_FROM_PEER
          stated = F;
#else
          stated = freshUntil[peer] - now;
#endif
          knows[me] = (knows[me] || knows[peer])
       :: else
       fi
     }
     atomic {
       if
#ifdef FROM_RECEIPT
       :: gotIt -> extend(me, now + stated)
#else
       :: gotIt -> extend(me, sentAt + stated)
#endif
       :: else
       fi;
       INVARIANT
     }
  :: now < LAST && !reaches[me] ->
     /* R3: all members answer that they do not reach the log. */
     sentAt = now;
     peer = 1 - me;
     agreed = true;
     atomic {
       if
       :: LINK(me, peer) && !reaches[peer]
       :: else -> agreed = false
       fi
     }
     peer = 2;
     atomic {
       if
       :: LINK(me, peer) && !reaches[peer]
#ifdef NO_ALL_MEMBERS
       :: !LINK(me, peer)
#endif
       :: else -> agreed = false
       fi
     }
     atomic {
       if
       :: agreed && !reaches[me] -> extend(me, sentAt + F)
       :: else
       fi;
       INVARIANT
     }
  od
}
