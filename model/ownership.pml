/* The ownership lease register of a target and the capacity accounting of its owner
 * (docs/design.md, 4.1).
 *
 * Two daemons place tasks on one target with capacity for one task. The target does not check its
 * capacity, so the owners' accounting alone must prevent overcommitment. Orders and answers may be
 * lost or late.
 *
 * Property (M1): at most one task runs on the target.
 * Mutants: NO_EPOCH, NO_UNANSWERED, NO_TABLE.
 */
#define LEASE 2      /* lease of the register, in ticks */
#define START_BY 1   /* time within which an order must be executed, in ticks */
#define LAST 5       /* last tick explored */

byte now = 0;
byte owner = 2;       /* 0, 1, or 2 for none */
byte epoch = 0;
byte expiry = 0;
byte running = 0;

/* Orders in flight: daemon i uses slot 2 * i, and slot 2 * i + 1 while that one is in use. */
typedef order { bool inFlight; byte epoch; byte startBy };
order wire[4];

#ifdef NO_EPOCH
#define CURRENT(slot) true
#else
#define CURRENT(slot) (wire[slot].epoch == epoch && owner == slot / 2)
#endif
#ifdef NO_UNANSWERED
#define NO_ORDER_PENDING true
#else
#define NO_ORDER_PENDING !unanswered
#endif

inline execute(slot)
{
  atomic {
    wire[slot].inFlight = false;
    if
    :: now <= wire[slot].startBy && CURRENT(slot) -> running++; assert(running <= 1)
    :: else
    fi
  }
}

active proctype clock()
{
  do
  :: now < LAST -> now++
  :: now >= LAST -> break
  od
}

active proctype network()
{
  do
  :: wire[0].inFlight -> execute(0)
  :: wire[1].inFlight -> execute(1)
  :: wire[2].inFlight -> execute(2)
  :: wire[3].inFlight -> execute(3)
  :: wire[0].inFlight -> wire[0].inFlight = false   /* lost */
  :: wire[2].inFlight -> wire[2].inFlight = false
  :: now >= LAST -> break
  od
}

active proctype target()
{
  /* A running task may end at any time. */
  do
  :: atomic { running > 0 -> running-- }
  :: now >= LAST -> break
  od
}

active [2] proctype placer()
{
  byte me = _pid - 3;
  byte myEpoch = 0;
  bool owns = false;
  byte known = 0;          /* tasks in the table of the last answer */
  bool unanswered = false; /* an order may still be executed without being in the table */
  byte unansweredUntil = 0;
  do
  :: /* Acquires or renews the lease; the answer contains the table. */
     atomic {
       if
       :: owner == 2 || owner == me || now > expiry ->
          if
          :: owner != me || now > expiry -> epoch++
          :: else
          fi;
          owner = me;
          expiry = now + LEASE;
          if
          :: !owns || myEpoch != epoch ->
             unanswered = false
          :: else
          fi;
          owns = true;
          myEpoch = epoch;
#ifndef NO_TABLE
          known = running;
#endif
          /* The clock of the target in the answer shows whether an earlier order has expired. */
          if
          :: unanswered && now > unansweredUntil -> unanswered = false
          :: else
          fi
       :: else -> owns = false
       fi
     }
  :: owns && known == 0 && NO_ORDER_PENDING ->
     atomic {
       if
       :: !wire[me * 2].inFlight ->
          wire[me * 2].epoch = myEpoch;
          wire[me * 2].startBy = now + START_BY;
          wire[me * 2].inFlight = true
       :: wire[me * 2].inFlight && !wire[me * 2 + 1].inFlight ->
          wire[me * 2 + 1].epoch = myEpoch;
          wire[me * 2 + 1].startBy = now + START_BY;
          wire[me * 2 + 1].inFlight = true
       :: else
       fi;
       unanswered = true;
       unansweredUntil = now + START_BY
     }
  :: now >= LAST -> break
  od
}
