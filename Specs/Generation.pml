/* Attempts of one generation: losses of engines, routers and connections, re-attach and hand-over.           */
/* mutants: MUTANT_KEEP_RACING_ATTEMPT MUTANT_IGNORE_OFFSET MUTANT_EVENT_ID_OF_NEWEST MUTANT_REGENERATE_AND_SKIP MUTANT_READ_OLD_CONNECTION MUTANT_SILENT_GIVE_UP MUTANT_END_AT_HAND_OVER */
/* pan: -DVECTORSZ=512 -DSAFETY -DCOLLAPSE */
/* run: -m200000 */
/*
 * Two engines, two routers and one caller. Names are those of LibRouting/Events.h: RequestOpened,
 * StartAttempt, ReattachAttempt, TokenArrived, AttemptFinished, AttemptFailed, CancelAttempt, DeliverToken,
 * CompleteGeneration, RefuseGeneration and HandOverGeneration.
 *
 * Time is abstracted away. A pause of a process is a run in which it takes no step; a timeout is a choice that
 * is open at any moment, bounded by a budget. So a paused engine that wakes up, a router that wakes up after
 * its caller left, and a stall that was suspected wrongly are all among the runs.
 *
 * A token's value is the number of the stream that generated it, since two streams may go on differently from
 * the same prefix. Texts are packed, two bits a token. Checked by the caller: each token has the next offset,
 * and the text so far is a prefix of what the token's own stream holds. Checked by end states: a caller that
 * stays gets CompleteGeneration or RefuseGeneration.
 */

#define TOKENS 3
#define ENGINES 2
#define ROUTERS 2
#define STREAMS 3
/* Engine deaths, cut connections, router deaths, drains and reconnects of an impatient caller, together. */
#define FAULTS 2
#define NONE 15

#define BITS 2
#define FIRST(text, n) ((text) & ((1 << (BITS * (n))) - 1))

mtype = { Token, Complete, Refuse, HandOver };

/* Streams at the engines. Only those below `opened` exist. */
byte opened = 0;
byte streamEngine[STREAMS];
byte streamStart[STREAMS];
byte streamText[STREAMS];
byte streamLength[STREAMS];
/* Cancelled, or lost with its engine. */
bool streamGone[STREAMS];

byte faults = FAULTS;

/* The caller's present connection. A router finds a connection closed when the number is another one. */
byte connection = 0;
bool connectionOpen = true;

/* RequestOpened: connection, received tokens, their text, the stream of the last event id. */
chan requests[ROUTERS] = [1] of { byte, byte, byte, byte };
/* Kind, offset, token value, the stream that the event id names. Closing a connection empties its channel. */
chan answers[ROUTERS] = [1] of { mtype, byte, byte, byte };

bool draining[ROUTERS];

#define RUNS(s) (s < opened && streamEngine[s] == self && !streamGone[s] && streamLength[s] < TOKENS)

inline generateToken(s)
{
    streamText[s] = streamText[s] | (s << (BITS * streamLength[s]));
    streamLength[s]++
}

proctype Engine(byte self)
{
    byte s;
end_idle:
    do
    :: d_step { RUNS(0) -> generateToken(0) }
    :: d_step { RUNS(1) -> generateToken(1) }
    :: d_step { RUNS(2) -> generateToken(2) }
    /* The engine dies and comes back empty. */
    :: d_step { faults > 0 && opened > 0 ->
       faults--;
       s = 0;
       do
       :: s < opened -> if :: streamEngine[s] == self -> streamGone[s] = true :: else fi; s++
       :: else -> break
       od;
       s = 0 }
    od
}

/* Invariant: every attempt in the table either is adopted or has not given a token past the prefix. */
#define FREE(a) (attemptStream[a] == NONE)
#define IDLE (FREE(0) && FREE(1))
#define FINISHED(a) (!FREE(a) && cursor[a] == TOKENS)
#define CALLER_LEFT (connection != serving)
/* What is written after the caller closed the connection reaches nobody. */
#ifdef MUTANT_READ_OLD_CONNECTION
#define CLOSED false
#else
#define CLOSED CALLER_LEFT
#endif

/* CancelAttempt: the order may be lost on its way, and then the stream runs on. */
inline cancelAttempt(a)
{
    if
    :: attemptStream[a] != NONE -> streamGone[attemptStream[a]] = true
    :: attemptStream[a] != NONE
    :: attemptStream[a] == NONE
    fi;
    attemptStream[a] = NONE;
    cursor[a] = 0
}

inline forget()
{
    attemptStream[0] = NONE; attemptStream[1] = NONE;
    cursor[0] = 0; cursor[1] = 0;
    serving = NONE; next = 0; text = 0
}

/* StartAttempt: opens a stream with the tokens delivered so far as its prefix. */
inline startAttempt(a)
{
    streamEngine[opened] = chosen;
#ifdef MUTANT_REGENERATE_AND_SKIP
    streamStart[opened] = 0;
#else
    streamStart[opened] = next;
    streamText[opened] = text;
#endif
    streamLength[opened] = streamStart[opened];
    cursor[a] = streamStart[opened];
    attemptStream[a] = opened;
    opened++
}

inline send(kind, offset, value, eventStream)
{
    if
    :: CLOSED
    :: else -> answers[self]!kind, offset, value, eventStream
    fi
}

/* DeliverToken, after the token of attempt a was found to be the next one: adopts a and cancels the other. */
inline deliverToken(a)
{
    named = attemptStream[a];
#ifdef MUTANT_EVENT_ID_OF_NEWEST
    if
    :: !FREE(1 - a) && attemptStream[1 - a] > named -> named = attemptStream[1 - a]
    :: else
    fi;
#endif
    value = (streamText[attemptStream[a]] >> (BITS * cursor[a])) & 3;
    send(Token, cursor[a], value, named);
    text = FIRST(text, next) | (value << (BITS * next));
    next++;
#ifndef MUTANT_KEEP_RACING_ATTEMPT
    cancelAttempt(1 - a);
#endif
    value = 0;
    named = 0
}

#ifdef MUTANT_IGNORE_OFFSET
#define IS_NEXT(a) (next < TOKENS)
#else
#define IS_NEXT(a) (cursor[a] == next)
#endif

inline tokenArrived(a)
{
    if
    :: IS_NEXT(a) -> deliverToken(a)
    :: else
    fi;
    cursor[a]++
}

proctype Router(byte self)
{
    /* The connection of the generation that runs here. */
    byte serving = NONE;
    byte next = 0;
    byte text = 0;
    byte attemptStream[2];
    byte cursor[2];
    byte chosen, value, named;

    attemptStream[0] = NONE; attemptStream[1] = NONE;
end_idle:
    do
    /* RequestOpened. */
    :: atomic { serving == NONE && len(requests[self]) > 0 && nfull(answers[self]) ->
       requests[self]?serving, next, text, named;
       if
       :: CALLER_LEFT -> forget()
       :: !CALLER_LEFT && draining[self] -> send(HandOver, 0, 0, 0); forget()
       :: !CALLER_LEFT && !draining[self] && named != NONE ->
          /* ReattachAttempt: the stream is read again from its start. */
          if
          :: !streamGone[named] -> attemptStream[0] = named; cursor[0] = streamStart[named]
          :: else
          fi
       :: else
       fi;
       named = 0 }

    /* No attempt runs: start one, or give up with a final error. */
    :: atomic { serving != NONE && IDLE && opened < STREAMS && !CALLER_LEFT ->
       /* The engines are alike, so the first choice needs no alternative. */
       if :: chosen = 0 :: opened > 0 -> chosen = 1 fi;
       startAttempt(0); chosen = 0 }
    :: atomic { serving != NONE && IDLE && opened == STREAMS && !CALLER_LEFT && nfull(answers[self]) ->
#ifndef MUTANT_SILENT_GIVE_UP
       send(Refuse, 0, 0, 0);
#endif
       forget() }

    /* A stall is suspected: a second attempt races the first one. */
    :: atomic { serving != NONE && !FREE(0) && FREE(1) && opened < STREAMS ->
       chosen = 1 - streamEngine[attemptStream[0]];
       startAttempt(1); chosen = 0 }
    :: atomic { serving != NONE && FREE(0) && !FREE(1) && opened < STREAMS ->
       chosen = 1 - streamEngine[attemptStream[1]];
       startAttempt(0); chosen = 0 }

    /* TokenArrived. What a lost stream sent before may still arrive. */
    :: atomic { !FREE(0) && cursor[0] < streamLength[attemptStream[0]] && nfull(answers[self]) -> tokenArrived(0) }
    :: atomic { !FREE(1) && cursor[1] < streamLength[attemptStream[1]] && nfull(answers[self]) -> tokenArrived(1) }

    /* AttemptFinished: the answer is whole when the attempt ends where the delivered tokens end. */
    :: atomic { next == TOKENS && (FINISHED(0) || FINISHED(1)) && nfull(answers[self]) ->
       send(Complete, TOKENS, 0, 0);
       forget() }

    /* AttemptFailed: the stream is gone, or the connection to the engine is cut and the stream runs on. */
    :: d_step { !FREE(0) && streamGone[attemptStream[0]] -> attemptStream[0] = NONE; cursor[0] = 0 }
    :: d_step { !FREE(1) && streamGone[attemptStream[1]] -> attemptStream[1] = NONE; cursor[1] = 0 }
    :: d_step { !FREE(0) && faults > 0 -> faults--; attemptStream[0] = NONE; cursor[0] = 0 }
    :: d_step { !FREE(1) && faults > 0 -> faults--; attemptStream[1] = NONE; cursor[1] = 0 }

    /* CallerLeft: seen at any time after the caller closed the connection. */
    :: atomic { serving != NONE && CALLER_LEFT -> cancelAttempt(0); cancelAttempt(1); forget() }

    /* DrainStarted: HandOverGeneration leaves the stream to the next router. */
    :: d_step { faults > 0 && !draining[self] && !draining[1 - self] -> faults--; draining[self] = true }
    :: atomic { draining[self] && serving != NONE && nfull(answers[self]) -> send(HandOver, 0, 0, 0); forget() }

    /* The router dies and comes back as a new incarnation that knows nothing. */
    :: d_step { faults > 0 ->
       faults--;
       draining[self] = false;
       if
       :: serving == connection -> connectionOpen = false
       :: else
       fi;
       if
       :: len(requests[self]) > 0 -> requests[self]?serving, next, text, named;
          if :: serving == connection -> connectionOpen = false :: else fi
       :: else
       fi;
       named = 0;
       forget() }
    od
}

inline connect(to)
{
#ifndef MUTANT_READ_OLD_CONNECTION
    do
    :: nempty(answers[router]) -> answers[router]?kind, offset, value, named
    :: empty(answers[router]) -> break
    od;
#endif
    connection++;
    connectionOpen = true;
    router = to;
    requests[router]!connection, received, text, lastStream
}

proctype Caller()
{
    byte router = 0;
    byte received = 0;
    byte text = 0;
    byte lastStream = NONE;
    byte offset, value, named;
    mtype kind;

    atomic { requests[router]!connection, received, text, lastStream };
    do
    :: atomic { nempty(answers[router]) && nfull(requests[1 - router]) ->
       answers[router]?kind, offset, value, named;
       if
       :: kind == Token ->
          assert(offset == received);
          text = text | (value << (BITS * received));
          received++;
          assert(text == FIRST(streamText[value], received));
          lastStream = named
       :: kind == Complete ->
          assert(received == TOKENS && offset == TOKENS);
          break
       :: kind == Refuse -> break
       :: kind == HandOver ->
#ifdef MUTANT_END_AT_HAND_OVER
          assert(received == TOKENS);
          break
#else
          connect(1 - router)
#endif
       fi;
       offset = 0; value = 0; named = 0; kind = 0 }
    /* The connection is closed; what was sent on it and not read is lost. */
    :: atomic { !connectionOpen && nfull(requests[0]) && nfull(requests[1]) ->
       if :: connect(0) :: connect(1) fi;
       offset = 0; value = 0; named = 0; kind = 0 }
    /* The caller sees no progress and connects elsewhere. */
    :: atomic { faults > 0 && nfull(requests[1 - router]) ->
       faults--;
       connect(1 - router);
       offset = 0; value = 0; named = 0; kind = 0 }
    od;
    atomic {
        connection = NONE - 1;
        connectionOpen = true
    }
}

init
{
    atomic {
        run Engine(0);
        run Engine(1);
        run Router(0);
        run Router(1);
        run Caller()
    }
}
