/* Slices of a team's upper limit (docs/design.md, 4.5 and 4.2).
 *
 * Three daemons share a limit of 2. Daemon 0 may lend to daemon 1 by a record in the log; the answer
 * to the append may be lost, so the record may be appended twice. Daemon 0 may die at any time;
 * daemon 2 takes it over: it inherits the slice, which counts as used until the sweep has counted
 * the tasks that daemon 0 has left running.
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
byte slice[3];          /* what each daemon knows of its own slice */
byte promised = 0;      /* deducted by daemon 0 before its record is read back */
byte charged[3];        /* running tasks by the slice that they are charged to */
bool dead = false;
bool fenced = false;    /* daemon 2 has waited long enough after the takeover record */
bool sweptDone = false;

#define RUNNING (charged[0] + charged[1] + charged[2])
#define INVARIANT assert(RUNNING <= LIMIT)

init
{
  atomic {
    slice[0] = LIMIT;
    run lender();
    run borrower();
    run successor();
    run tasks()
  }
}

proctype tasks()
{
  /* Running tasks end at any time, also those of a dead daemon. */
  do
  :: atomic { charged[0] > 0 -> charged[0]-- }
  :: atomic { charged[1] > 0 -> charged[1]-- }
  :: atomic { charged[2] > 0 -> charged[2]-- }
  :: timeout -> break
  od
}

proctype lender()
{
  byte next = 0;
  bool seenTransfer = false;
  bool lent = false;
  byte appends = 0;
  do
  :: dead -> break
  :: atomic { !dead && charged[0] + promised < slice[0] -> charged[0]++; INVARIANT }
  :: atomic {
       !dead && !lent && slice[0] > charged[0] ->
       lent = true;
#ifndef NO_DEDUCT
       promised = 1
#endif
     }
  :: /* The append; without its answer it is repeated once. */
     atomic {
       !dead && lent && !seenTransfer && appends < 2 && logEnd < RECORDS ->
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
             promised = 0;
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

proctype borrower()
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
  byte holding = LIMIT;       /* slice of daemon 0 by the log as read here */
  bool seenTransfer = false;
  bool tookOver = false;
  byte inheritedUsed;
  do
  :: /* The takeover record; daemon 0 has surely stopped when the successor acts on it. */
     atomic {
       dead && !fenced && logEnd < RECORDS ->
       log[logEnd] = TAKEOVER;
       logEnd++;
       fenced = true
     }
  :: atomic {
       next < logEnd ->
       if
       :: log[next] == TRANSFER && !tookOver && !seenTransfer ->
          holding--;
          seenTransfer = true
       :: log[next] == TAKEOVER && !tookOver ->
          tookOver = true;
          slice[2] = holding;
#ifdef NO_FULLY_USED
          inheritedUsed = 0
#else
          inheritedUsed = holding
#endif
       :: else
       fi;
       next++
     }
  :: atomic {
       tookOver && !sweptDone ->
       /* The sweep counts the tasks left running; from now on they are charged here. */
       sweptDone = true;
       charged[2] = charged[2] + charged[0];
       charged[0] = 0;
       inheritedUsed = 0
     }
  :: atomic { tookOver && charged[2] + inheritedUsed < slice[2] -> charged[2]++; INVARIANT }
  :: timeout -> break
  od
}
