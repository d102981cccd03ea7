/* Slices of a team's upper limit (docs/design.md, 4.5 and 4.2).
 *
 * Three daemons share an upper limit of 2. Daemon 0 may transfer a part of its slice to daemon 1 by
 * a record in the log; the answer to the append may be lost, so the record may be appended twice.
 * Daemon 0 may die at any time. Daemon 2 is then the owner of its slice, which counts as fully used
 * until reconciliation has counted the tasks that daemon 0 left running.
 *
 * Property (M4): at most 2 tasks of the team run.
 * Mutants: NO_DEDUCT, NO_DEDUPLICATION, NO_FULLY_USED.
 */
#define LIMIT 2
#define NONE 0
#define TRANSFER 1
#define TAKEOVER 2
#define RECORDS 4

byte log[RECORDS];
byte logEnd = 0;
byte slice[3];            /* size of each daemon's slice as known to that daemon */
byte pendingTransfer = 0; /* deducted by daemon 0 until it reads its record back */
byte charged[3];          /* running tasks charged to each slice */
bool dead = false;
bool fenced = false;      /* daemon 2 has appended the takeover record after the end of daemon 0 */
bool reconciled = false;

#define RUNNING (charged[0] + charged[1] + charged[2])
#define INVARIANT assert(RUNNING <= LIMIT)

init
{
  atomic {
    slice[0] = LIMIT;
    run transfer_source();
    run transfer_receiver();
    run successor();
    run tasks()
  }
}

proctype tasks()
{
  /* Running tasks end at any time, including those of a dead daemon. */
  do
  :: atomic { charged[0] > 0 -> charged[0]-- }
  :: atomic { charged[1] > 0 -> charged[1]-- }
  :: atomic { charged[2] > 0 -> charged[2]-- }
  :: timeout -> break
  od
}

proctype transfer_source()
{
  byte next = 0;
  bool seenTransfer = false;
  bool transferBegun = false;
  byte appends = 0;
  do
  :: dead -> break
  :: atomic { !dead && charged[0] + pendingTransfer < slice[0] -> charged[0]++; INVARIANT }
  :: atomic {
       !dead && !transferBegun && slice[0] > charged[0] ->
       transferBegun = true;
#ifndef NO_DEDUCT
       pendingTransfer = 1
#endif
     }
  :: /* The append; without an answer it is repeated once. */
     atomic {
       !dead && transferBegun && !seenTransfer && appends < 2 && logEnd < RECORDS ->
       log[logEnd] = TRANSFER;
       logEnd++;
       appends++
     }
  :: atomic {
       !dead && next < logEnd ->
       if
       :: log[next] == TRANSFER ->
          if
#ifdef NO_DEDUPLICATION
          :: true ->
#else
          :: !seenTransfer ->
#endif
             if
             :: slice[0] > 0 -> slice[0]--
             :: else
             fi;
             pendingTransfer = 0;
             seenTransfer = true
          :: else
          fi
       :: log[next] == TAKEOVER -> break
       :: else
       fi;
       next++
     }
  :: atomic { !dead -> dead = true }; break
  od
}

proctype transfer_receiver()
{
  byte next = 0;
  bool seenTransfer = false;
  do
  :: atomic { charged[1] < slice[1] -> charged[1]++; INVARIANT }
  :: atomic {
       next < logEnd ->
       if
       :: log[next] == TRANSFER ->
          if
#ifdef NO_DEDUPLICATION
          :: true -> slice[1]++
#else
          :: !seenTransfer -> slice[1]++; seenTransfer = true
#endif
          :: else
          fi
       :: else
       fi;
       next++
     }
  :: timeout -> break
  od
}

proctype successor()
{
  byte next = 0;
  byte sourceSlice = LIMIT; /* slice of daemon 0 according to the log as read by daemon 2 */
  bool seenTransfer = false;
  bool takeoverApplied = false;
  byte assumedUsed;
  do
  :: /* The takeover record; daemon 0 has stopped before the successor acts on it. */
     atomic {
       dead && !fenced && logEnd < RECORDS ->
       log[logEnd] = TAKEOVER;
       logEnd++;
       fenced = true
     }
  :: atomic {
       next < logEnd ->
       if
       :: log[next] == TRANSFER && !takeoverApplied && !seenTransfer ->
          sourceSlice--;
          seenTransfer = true
       :: log[next] == TAKEOVER && !takeoverApplied ->
          takeoverApplied = true;
          slice[2] = sourceSlice;
#ifdef NO_FULLY_USED
          assumedUsed = 0
#else
          assumedUsed = sourceSlice
#endif
       :: else
       fi;
       next++
     }
  :: atomic {
       takeoverApplied && !reconciled ->
       /* Reconciliation counts the tasks left running and charges them to this slice. */
       reconciled = true;
       charged[2] = charged[2] + charged[0];
       charged[0] = 0;
       assumedUsed = 0
     }
  :: atomic { takeoverApplied && charged[2] + assumedUsed < slice[2] -> charged[2]++; INVARIANT }
  :: timeout -> break
  od
}
