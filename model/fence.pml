/* Freshness of stream control as the fence between a daemon X and its successor Y
 * (docs/design.md, 4.2 and 4.6).
 *
 * X may start one task on target 0. Y appends a takeover record to the log, becomes owner of X's
 * work, and starts the task on target 1 unless it finds it on target 0. Messages and answers are
 * delayed arbitrarily; X may be paused between any two steps; the log becomes unavailable and
 * available again; the answer to Y's append may be lost.
 *
 * Property (M2): the task never runs on both targets.
 * Mutants: START_BY_NOT_BOUNDED, NO_START_BY, NO_WAIT, NO_SWEEP.
 */
#define F 2          /* freshness period, in ticks */
#define W (F + 1)    /* wait before Y acts, in ticks: freshness period and safety margin */
#define LAST 8       /* last tick explored */

byte now = 0;
bool logUp = true;
bool takeoverLogged = false; /* the takeover record is in the log */
bool runs[2];                /* whether the task was started on target i */

/* The start order in flight from X to target 0. */
bool orderSent = false;
bool orderDelivered = false;
byte orderStartBy;

#define INVARIANT assert(!(runs[0] && runs[1]))

active proctype clock()
{
  do
  :: now < LAST -> now++
  :: now >= LAST -> break
  od
}

active proctype log_service()
{
  do
  :: logUp -> logUp = false
  :: !logUp -> logUp = true
  :: now >= LAST -> break
  od
}

active proctype daemon_x()
{
  byte sentAt;
  byte freshUntil = F;   /* X has read the log at time 0 */
  bool sawTakeover = false;
  bool answered;
  do
  :: /* Reads the log: the request is sent at sentAt and takes effect later. */
     sentAt = now;
     answered = false;
     if
     :: logUp -> answered = true; sawTakeover = takeoverLogged
     :: skip
     fi;
     /* The answer may arrive after any delay. */
     if
     :: answered && sawTakeover -> break
     :: answered && !sawTakeover ->
        if
        :: sentAt + F > freshUntil -> freshUntil = sentAt + F
        :: else
        fi
     :: else
     fi
  :: !orderSent && now < freshUntil ->
     /* X may be paused here, between the check and sending the order. */
#ifdef START_BY_NOT_BOUNDED
     orderStartBy = now + F;
#else
     orderStartBy = freshUntil;
#endif
     orderSent = true
  :: now >= LAST -> break
  od
}

active proctype target_0()
{
  do
  :: orderSent && !orderDelivered ->
     atomic {
       orderDelivered = true;
       if
#ifdef NO_START_BY
       :: true -> runs[0] = true; INVARIANT
#else
       :: now < orderStartBy -> runs[0] = true; INVARIANT
       :: else
#endif
       fi
     }
  :: now >= LAST -> break
  od
}

active proctype daemon_y()
{
  byte answeredAt;
  bool found;
  /* The append; if its answer is lost, Y finds the record by reading the log. */
  do
  :: atomic { logUp -> takeoverLogged = true }; break
  :: now >= LAST -> goto done
  od;
  answeredAt = now;
#ifndef NO_WAIT
  do
  :: now >= answeredAt + W -> break
  :: now >= LAST -> goto done
  od;
#endif
  found = false;
#ifndef NO_SWEEP
  found = runs[0];
#endif
  if
  :: !found -> atomic { runs[1] = true; INVARIANT }
  :: else
  fi;
done:
  skip
}
