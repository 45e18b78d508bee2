/* Hand-over of one stream from a suspected run to its replacement, within a bounded overlap of the two runs. */
/* mutants: MUTANT_UNBOUNDED_OVERLAP MUTANT_REPLACEMENT_WINS MUTANT_CURRENT_WINS MUTANT_NEXT_AFTER_LOSS MUTANT_NEXT_AFTER_PROGRESS MUTANT_HEAD_OF_QUEUED_RUN MUTANT_READ_ENDED_RUN MUTANT_NO_DEADLINE */
/* pan: -DSAFETY -DCOLLAPSE -DVECTORSZ=512 */
/* run: -m200000 -w24 */

/*
 * One router, two engines, messages under way. Names are those of Libraries/LibForwarding/ForwardedRequest.h.
 *
 * Time passes in ticks. A message takes a tick at most, and the router handles its timer before the next tick.
 * Engines take their steps at any time or never: they are slow, silent for a while or for good, refuse, lose
 * the copy or break off. While `isOtherPrompt`, engine 0 does as it likes and engine 1 takes a step each tick.
 *
 * Checked: two engines are never at work for OVERLAP_LIMIT ticks; a run that may be sound is not ended for one
 * that has not begun; the caller gets each event once and in order; the request ends by its deadline, and
 * events go on in time if one engine is prompt.
 */

#define ENGINES 2
#define EVENTS 2
#define ATTEMPTS 3
#define FAULTS 1
#define SUSPICIONS 1

/* In ticks of some 100 ms. */
#define MAX_RUN_OVERLAP 2
#define OVERLAP_LIMIT 4
#define STALL_LIMIT 2
#define FIRST_EVENT_TIMEOUT 3
#define LONGEST_SOUND_SILENCE 5
#define REPLACEMENT_INTERVAL 2
#define DEADLINE 8
/* If one engine is prompt, and the longest time without an event then. */
#define DEADLINE_IF_PROMPT 13
#define LONGEST_GAP 10

#define NONE 15

mtype = { Start, Close, Head, Event, Refused, CopyMissing, Lost };
mtype:state = { Idle, Queued, Working };

/* Kind, run, event: the last one that the caller has, or the one that is sent. */
chan toEngine[ENGINES] = [4] of { mtype, byte, byte };
chan toRouter[ENGINES] = [5] of { mtype, byte, byte };
/* Messages that were already under way at the last tick. */
byte lateToEngine[ENGINES];
byte lateToRouter[ENGINES];

/* Engines. */
mtype:state state[ENGINES] = Idle;
byte engineRun[ENGINES];
byte position[ENGINES];
bool hasStepped[ENGINES];
byte faults = 0;
byte suspicions = 0;
bool isOtherPrompt = false;
/* How long an engine has been at work on a run while the other one was at work on a later one. */
byte overlapOfEngines = 0;
byte firstRun = NONE;

/* The router. Each engine has one run of the stream at most; NONE if it has none. */
byte runAt[ENGINES];
byte current = 0;
bool hasReplacement = false;
bool isAccepted = false;
bool hasEvents = false;
bool hasCopy = true;
byte startedRuns = 0;
byte executedAttempts = 0;
/* Ticks since the current run's last event, or its start. */
byte silence = 0;
/* Of the current run and its replacement. */
byte overlap = 0;
byte untilReplacement = 0;
byte delivered = 0;
byte sinceEvent = 0;
byte now = 0;
byte deadline = DEADLINE;
bool isTimerDue = false;
bool isFinished = false;

#define other (1 - current)
#define isPrompt(e) (isOtherPrompt && e == 1)
#define hasLateMessages (lateToEngine[0] + lateToEngine[1] + lateToRouter[0] + lateToRouter[1] > 0)
#define isBehind(e) (isPrompt(e) && state[e] != Idle && !hasStepped[e])

inline reply(e, kind, event)
{
    toRouter[e]!kind, engineRun[e], event
}

inline endAtEngine(e)
{
    state[e] = Idle;
    engineRun[e] = NONE;
    position[e] = 0
}

proctype Engine(byte e)
{
    byte number, event;
    mtype kind;

end_idle:
    do
    :: atomic { nempty(toEngine[e]) ->
       toEngine[e]?kind, number, event;
       if :: lateToEngine[e] > 0 -> lateToEngine[e]-- :: else fi;
       if
       :: kind == Start ->
          state[e] = Queued; engineRun[e] = number; position[e] = event;
#ifdef MUTANT_HEAD_OF_QUEUED_RUN
          reply(e, Head, 0)
#endif
       :: kind == Close && engineRun[e] == number -> endAtEngine(e)
       :: else
       fi;
       kind = 0; number = 0; event = 0 }
    :: atomic { state[e] == Queued && nfull(toRouter[e]) ->
       state[e] = Working;
       hasStepped[e] = isPrompt(e);
#ifndef MUTANT_HEAD_OF_QUEUED_RUN
       reply(e, Head, 0)
#endif
       }
    :: atomic { state[e] == Working && nfull(toRouter[e]) && !(isPrompt(e) && hasStepped[e]) ->
       position[e]++;
       hasStepped[e] = isPrompt(e);
       reply(e, Event, position[e]);
       if :: position[e] == EVENTS -> endAtEngine(e) :: else fi }
    :: atomic { state[e] == Queued && faults > 0 && nfull(toRouter[e]) ->
       faults--;
       if :: reply(e, Refused, 0) :: reply(e, CopyMissing, 0) fi;
       endAtEngine(e) }
    :: atomic { state[e] == Working && faults > 0 && nfull(toRouter[e]) ->
       faults--;
       reply(e, Lost, 0);
       endAtEngine(e) }
    od
}

inline sendStart(e)
{
    runAt[e] = startedRuns;
    startedRuns++;
    executedAttempts++;
    toEngine[e]!Start, runAt[e], delivered
}

inline cancel(e)
{
    toEngine[e]!Close, runAt[e], 0;
    runAt[e] = NONE
}

inline endReplacement()
{
    hasReplacement = false;
    isAccepted = false;
    overlap = 0
}

inline adoptReplacement()
{
    current = other;
    silence = overlap;
    hasEvents = false;
    hasCopy = true;
    untilReplacement = 0;
    endReplacement()
}

inline finish()
{
    if :: runAt[0] != NONE -> cancel(0) :: else fi;
    if :: runAt[1] != NONE -> cancel(1) :: else fi;
    isFinished = true
}

/* The engine has begun the run and has broken off since, or sent all. */
#define hasUnreadEnd(e) (engineRun[e] == NONE && nempty(toRouter[e]))

/* The replacement takes over from a run that has not ended. */
inline giveUpCurrent()
{
    cancel(current);
    adoptReplacement()
}

inline giveUpForSlowReplacement()
{
    assert(state[other] == Working || silence >= LONGEST_SOUND_SILENCE || hasUnreadEnd(other));
    giveUpCurrent()
}

inline endOverlap()
{
#ifdef MUTANT_REPLACEMENT_WINS
    if
    :: true -> giveUpForSlowReplacement()
#else
#ifdef MUTANT_CURRENT_WINS
    if
    :: false -> skip
#else
    if
#ifdef MUTANT_HEAD_OF_QUEUED_RUN
    :: isAccepted || silence >= LONGEST_SOUND_SILENCE -> giveUpForSlowReplacement()
#else
    :: silence >= LONGEST_SOUND_SILENCE -> giveUpForSlowReplacement()
#endif
#endif
#endif
    :: else ->
       cancel(other);
       endReplacement();
       untilReplacement = REPLACEMENT_INTERVAL
    fi
}

#define isSuspected (silence >= (hasEvents -> STALL_LIMIT : FIRST_EVENT_TIMEOUT))
#define mayReplace (hasEvents && hasCopy || silence >= LONGEST_SOUND_SILENCE - MAX_RUN_OVERLAP)

inline seekReplacement()
{
    if
    :: !hasReplacement && mayReplace && untilReplacement == 0 && executedAttempts < ATTEMPTS ->
       if
       :: sendStart(other); hasReplacement = true
       /* No target is available now. */
       :: !isOtherPrompt -> untilReplacement = REPLACEMENT_INTERVAL
       fi
    :: else
    fi
}

/* The current run has ended without an answer. */
inline currentEnded(mayResume)
{
    runAt[current] = NONE;
    if
    :: hasReplacement -> adoptReplacement()
    :: !hasReplacement && executedAttempts < ATTEMPTS ->
       if :: current = other :: true fi;
       silence = 0;
       hasEvents = false;
       hasCopy = mayResume;
       sendStart(current)
    :: else -> finish()
    fi
}

inline replacementRejected()
{
    runAt[other] = NONE;
    endReplacement();
    seekReplacement()
}

inline replacementLost()
{
    runAt[other] = NONE;
    endReplacement();
#ifdef MUTANT_NEXT_AFTER_LOSS
    seekReplacement()
#else
    untilReplacement = REPLACEMENT_INTERVAL
#endif
}

inline eventReceived(e, event)
{
    if
    :: e != current -> giveUpCurrent()
    :: e == current && hasReplacement ->
       cancel(other);
       endReplacement();
#ifndef MUTANT_NEXT_AFTER_PROGRESS
       untilReplacement = REPLACEMENT_INTERVAL
#endif
    :: else
    fi;
    assert(event == delivered + 1);
    delivered = event;
    hasEvents = true;
    silence = 0;
    sinceEvent = 0;
    if :: delivered == EVENTS -> runAt[current] = NONE; finish() :: else fi
}

inline handleMessage(e)
{
    if
    :: kind == Head ->
       if :: e != current -> isAccepted = true :: else fi
    :: kind == Event -> eventReceived(e, event)
    :: kind == Refused || kind == CopyMissing ->
       executedAttempts--;
       if
       :: e == current -> currentEnded(kind == Refused)
       :: else -> hasCopy = hasCopy && kind == Refused; replacementRejected()
       fi
    :: kind == Lost ->
       if :: e == current -> currentEnded(hasCopy) :: else -> replacementLost() fi
    fi
}

#ifdef MUTANT_READ_ENDED_RUN
#define isOpen(e, n) (runAt[e] != NONE)
#else
#define isOpen(e, n) (runAt[e] == n)
#endif

inline receive(e)
{
    toRouter[e]?kind, number, event;
    if :: lateToRouter[e] > 0 -> lateToRouter[e]-- :: else fi;
    if :: !isFinished && isOpen(e, number) -> handleMessage(e) :: else fi;
    kind = 0; number = 0; event = 0
}

inline handleTimer()
{
    isTimerDue = false;
#ifndef MUTANT_NO_DEADLINE
    if
    :: now >= deadline -> finish()
    :: else
    fi;
#endif
    if
    :: isFinished
#ifndef MUTANT_UNBOUNDED_OVERLAP
    :: !isFinished && hasReplacement && overlap >= MAX_RUN_OVERLAP -> endOverlap()
#endif
    :: !isFinished && !(hasReplacement && overlap >= MAX_RUN_OVERLAP) && isSuspected -> seekReplacement()
    :: else
    fi
}

proctype Router()
{
    byte number, event;
    mtype kind;

    atomic { sendStart(0) };
end_idle:
    do
    :: atomic { nempty(toRouter[0]) && nfull(toEngine[0]) && nfull(toEngine[1]) -> receive(0) }
    :: atomic { nempty(toRouter[1]) && nfull(toEngine[0]) && nfull(toEngine[1]) -> receive(1) }
    :: atomic { isTimerDue -> handleTimer() }
    /* TargetSuspected, by a peer's report that may be late. */
    :: atomic { suspicions > 0 && !isFinished && !hasReplacement && nfull(toEngine[other]) ->
       suspicions--;
       seekReplacement() }
    od
}

#define EARLIER_RUN (engineRun[0] < engineRun[1] -> engineRun[0] : engineRun[1])

inline passTick()
{
    now++;
    if :: silence < LONGEST_SOUND_SILENCE -> silence++ :: else fi;
    if :: isOtherPrompt -> sinceEvent++ :: else fi;
    if :: hasReplacement -> overlap++ :: else fi;
    if :: untilReplacement > 0 -> untilReplacement-- :: else fi;
    if
    :: state[0] == Working && state[1] == Working ->
       if
       :: firstRun == EARLIER_RUN -> overlapOfEngines++
       :: else -> firstRun = EARLIER_RUN; overlapOfEngines = 1
       fi
    :: else -> firstRun = NONE; overlapOfEngines = 0
    fi;
    assert(overlapOfEngines < OVERLAP_LIMIT);
    assert(now <= deadline);
    assert(sinceEvent <= LONGEST_GAP);
    lateToEngine[0] = len(toEngine[0]); lateToEngine[1] = len(toEngine[1]);
    lateToRouter[0] = len(toRouter[0]); lateToRouter[1] = len(toRouter[1]);
    hasStepped[0] = false; hasStepped[1] = false;
    isTimerDue = true
}

proctype Clock()
{
end_finished:
    do
    :: atomic { !isFinished && !isTimerDue && !hasLateMessages && !isBehind(0) && !isBehind(1) -> passTick() }
    od
}

init
{
    atomic {
        runAt[0] = NONE; runAt[1] = NONE;
        engineRun[0] = NONE; engineRun[1] = NONE;
        if :: isOtherPrompt = true; deadline = DEADLINE_IF_PROMPT :: faults = FAULTS; suspicions = SUSPICIONS fi;
        run Engine(0);
        run Engine(1);
        run Router();
        run Clock()
    }
}
