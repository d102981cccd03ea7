/* A request with a plain id that is sent to two daemons, with a log that loses answers
 * (docs/design.md, 4.3).
 *
 * The first accept record with the id decides. A daemon starts the request only after it has read
 * its own record as the first one. A daemon whose append is not confirmed answers "unknown".
 *
 * Properties: the request runs at most once (M8); if a caller received the answer "not run", the
 * request never runs (M7).
 * Mutants: NO_READ_BACK, NO_FIRST_WINS, NOT_RUN_ON_LOST_ANSWER.
 */
#define EMPTY 0

byte log[4];          /* number of the writer plus 1, for each accept record in order */
byte logEnd = 0;
bool logUp = true;
byte runs = 0;
bool answeredNotRun = false;

#define INVARIANT assert(runs <= 1 && !(answeredNotRun && runs > 0))

active proctype log_service()
{
  byte changes = 0;
  do
  :: changes < 4 -> logUp = !logUp; changes++
  :: changes >= 4 -> logUp = true; break
  od
}

active [2] proctype daemon()
{
  byte me = _pid - 1;
  bool stored = false;
  bool sent = false;
  bool answered = false;

  /* The append. */
  if
  :: atomic { logUp && logEnd < 4 -> log[logEnd] = me + 1; logEnd++; sent = true };
     if
     :: stored = true      /* the answer arrives */
     :: skip               /* the answer is lost */
     fi
  :: !logUp -> sent = true /* lost before it took effect, which the daemon cannot detect */
  fi;

  if
  :: !stored ->
     /* The caller's deadline passes before the record can be read back. */
     if
     :: answered = true;
#ifdef NOT_RUN_ON_LOST_ANSWER
        atomic { answeredNotRun = true; INVARIANT }
#endif
     :: skip
     fi
  :: else
  fi;

#ifdef NO_READ_BACK
  if
  :: stored -> atomic { runs++; INVARIANT }
  :: else
  fi
#else
  /* Reads the log back: the record may be there although the answer was lost. */
  if
  :: atomic { logUp && logEnd > 0 ->
#ifdef NO_FIRST_WINS
       if
       :: log[0] == me + 1 || (logEnd > 1 && log[1] == me + 1) -> runs++; INVARIANT
       :: else
       fi
#else
       if
       :: log[0] == me + 1 -> runs++; INVARIANT
       :: else
       fi
#endif
     }
  :: skip
  fi
#endif
}
