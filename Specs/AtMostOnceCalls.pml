/* mutants: MUTANT_CONFLICT_IS_OWN MUTANT_NONCE_UNCHECKED MUTANT_RESTART_KEEPS_CLAIM MUTANT_VOID_AFTER_BYTES MUTANT_STORE_DOWN_NOT_RUN MUTANT_OVERTAKEN_NUMBER MUTANT_UNNUMBERED_TAKES_OVER MUTANT_LATE_VOID MUTANT_TICKET_ANY_INCARNATION MUTANT_TICKET_NOT_USED_UP */
/* pan: -DSAFETY -DCOLLAPSE -DVECTORSZ=1024 */
/* run: -m200000 -w25 */

/*
 * One call that must run at most once, over two routers and a caller that retries anywhere: the claims and
 * tickets of Libraries/LibLedger. Names are those of the code; a router works on one request at a time.
 *
 * A pause is a process that takes no step for a while, which interleaving covers. A restart loses the memory
 * and the requests that were not answered; bytes under way to the target still arrive.
 */

#define ROUTERS 2
#define MAX_REQUESTS 3
#define MAX_TRIES 2
#define ISSUER 0

mtype:key = { Numbered, Unnumbered, Ticketed };
mtype:state = { NoClaim, Claimed, Voided, RecordedDone };
mtype:phase = { Idle, Claiming, VoidingClaim, Checking, Running, Uncertain, Done, ClaimVoided, HeldUndispatched, Consumed };
mtype:source = { FromCaller, FromRouter };
mtype:outcome = { Ran, NotRun, Unknown };
mtype:ownership = { Nothing, Possible, Confirmed };
mtype:report = { Answered, FailedMaybe };

mtype:key kind;

/* The object in the store. */
mtype:state claimState = NoClaim;
byte claimOwner, claimIncarnation, claimNonceInStore, claimAttempt;
byte storeVersion = 0;

/* A router's memory; a restart loses it. */
typedef RouterState {
    byte incarnation;
    mtype:phase phase;
    byte request;         /* the request in work; zero for none */
    mtype:source source;
    bool wantsRun;
    byte version;
    byte claimNonce;
    mtype:ownership ownership;
    byte highestVoidedAttempt;
    byte delayedVoidVersion; /* a version; zero for none */
    byte writtenNonce;    /* of the void that is being written */
    byte writtenAttempt;
    byte expected;
    byte tries;
    bool recorded;
    byte lastNonce;
    /* A write that its client gave up; it may still land. */
    bool late;
    mtype:state lateState;
    byte lateNonce, lateAttempt, lateExpected, lateIncarnation;
};
RouterState routers[ROUTERS];

/* Each of these happens at most once in a run, at any router, and two of them at most. */
bool hasForgotten, hasRestarted, hasDelayed;
#define mayFail (hasForgotten + hasRestarted + hasDelayed < 2)

chan inbox0 = [2] of { byte, mtype:source };
chan inbox1 = [2] of { byte, mtype:source };
/* Bytes under way to the target, by router and incarnation. */
chan toTarget = [2] of { byte, byte };
chan report0 = [1] of { byte, mtype:report };
chan report1 = [1] of { byte, mtype:report };

/* What is seen from the outside. */
byte runs = 0;
byte openRequest = 0;
byte lastRequest = 0;
bool wasReportedNotRun = false;
bool finished = false;

#define me routers[r]
#define attemptOf(n) (kind == Numbered -> (n) : 0)
#define isSettled(p) (p == Idle || p == Uncertain || p == Done || p == ClaimVoided || p == HeldUndispatched || p == Consumed)
#ifdef MUTANT_UNNUMBERED_TAKES_OVER
#define isOvertaken (attemptOf(me.request) > 0 && attemptOf(me.request) <= me.highestVoidedAttempt)
#else
/* A void is final for requests without a number. */
#define isOvertaken (attemptOf(me.request) <= me.highestVoidedAttempt)
#endif
#define isOwnVoid (claimOwner == r && claimIncarnation == me.incarnation && me.writtenNonce != 0 && claimNonceInStore == me.writtenNonce)
#define mayForget (kind != Ticketed && !hasForgotten && mayFail && isSettled(me.phase) && me.phase != Idle && (me.phase != Done || me.recorded))
#define max(a, b) ((a) > (b) -> (a) : (b))

/* The answer reaches the caller, or is lost. Answers to requests that it gave up are not heard. */
inline answerCall(outcome) {
    if
    :: me.request == openRequest ->
        if
        :: outcome == NotRun ->
            assert(runs == 0);
            wasReportedNotRun = true;
            openRequest = 0
        :: outcome == Ran ->
            assert(runs == 1);
            finished = true;
            openRequest = 0
        :: outcome == Unknown -> openRequest = 0
        :: true -> skip
        fi
    :: else -> skip
    fi;
    /* What no longer matters is cleared, which keeps the state space small. */
    me.request = 0;
    me.source = 0;
    me.wantsRun = false;
    me.writtenNonce = 0;
    me.expected = 0;
    me.tries = 0
}

inline removeCall() {
    me.phase = Idle;
    me.version = 0;
    me.claimNonce = 0;
    me.ownership = Nothing;
    me.highestVoidedAttempt = 0;
    me.delayedVoidVersion = 0;
    me.writtenNonce = 0;
    me.writtenAttempt = 0;
    me.expected = 0;
    me.tries = 0;
    me.recorded = false
}

inline newNonce(into) {
    me.lastNonce++;
    into = me.lastNonce
}

inline writeClaim(at) {
    if
    :: me.claimNonce == 0 -> newNonce(me.claimNonce)
    :: else -> skip
    fi;
    me.expected = at;
    me.phase = Claiming
}

inline writeVoid(at) {
    newNonce(me.writtenNonce);
    me.writtenAttempt = max(me.highestVoidedAttempt, attemptOf(me.request));
    me.expected = at;
    me.delayedVoidVersion = at;
    me.phase = VoidingClaim
}

inline proceedWithoutClaim() {
    me.version = 0;
    if
    :: me.wantsRun -> writeClaim(0)
    :: else -> writeVoid(0)
    fi
}

inline proceedFromVoid() {
    me.claimNonce = 0;
    me.ownership = Nothing;
    if
    :: me.wantsRun -> writeClaim(me.version)
    :: else -> writeVoid(me.version)
    fi
}

/* The one and only dispatch. The host reports a refused connection, or the bytes are under way. */
inline dispatch() {
    if
    :: me.phase = Running;
       me.highestVoidedAttempt = 0;
       me.writtenNonce = 0;
       me.writtenAttempt = 0;
       me.delayedVoidVersion = 0;
       me.expected = 0;
       me.tries = 0;
       toTarget!r, me.incarnation
    :: me.wantsRun = false;
       writeVoid(me.version)
    fi
}

inline proceedFromOwnClaim() {
    if
#ifdef MUTANT_LATE_VOID
    :: me.wantsRun -> dispatch()
#else
    :: me.wantsRun && me.delayedVoidVersion != me.version -> dispatch()
    :: me.wantsRun && me.delayedVoidVersion == me.version -> writeClaim(me.version)
#endif
    /* The deadline has passed. */
    :: writeVoid(me.version)
    fi
}

/* Nothing was dispatched here; earlier requests may have run elsewhere. */
inline answerNotDispatched() {
#ifdef MUTANT_STORE_DOWN_NOT_RUN
    answerCall(NotRun)
#else
    if
    :: attemptOf(me.request) > 0 && attemptOf(me.request) <= me.highestVoidedAttempt + 1 ->
        me.highestVoidedAttempt = max(me.highestVoidedAttempt, attemptOf(me.request));
        answerCall(NotRun)
    :: else -> answerCall(Unknown)
    fi
#endif
}

inline handleStoreFailure() {
    if
    :: me.phase == Checking && me.ownership == Nothing ->
        answerCall(Unknown);
        removeCall()
    :: else ->
        answerNotDispatched();
        if
        :: me.ownership != Nothing -> me.phase = HeldUndispatched
        :: me.ownership == Nothing && me.version != 0 ->
            me.claimNonce = 0;
            me.phase = ClaimVoided
        :: else -> removeCall()
        fi
    fi
}

inline handleVoidApplied() {
    me.highestVoidedAttempt = max(me.highestVoidedAttempt, me.writtenAttempt);
    me.claimNonce = 0;
    me.ownership = Nothing;
    me.phase = ClaimVoided;
    answerCall(NotRun)
}

inline store(newState, nonce, attempt, byIncarnation) {
    claimState = newState;
    claimOwner = r;
    claimIncarnation = byIncarnation;
    claimNonceInStore = nonce;
    claimAttempt = attempt;
    storeVersion++
}

/* The write under way lands late, if its place is free. */
inline delayWrite(newState, nonce, attempt) {
    hasDelayed = true;
    me.late = true;
    me.lateState = newState;
    me.lateNonce = nonce;
    me.lateAttempt = attempt;
    me.lateExpected = me.expected;
    me.lateIncarnation = me.incarnation
}

inline receiveTicket() {
    if
    :: r != ISSUER ->
        if
        :: me.source == FromCaller && routers[ISSUER].incarnation == 0 && nfull(inbox0) ->
            inbox0!me.request, FromRouter;
            me.request = 0
        :: answerCall(Unknown)
        fi
#ifndef MUTANT_TICKET_ANY_INCARNATION
    :: r == ISSUER && me.incarnation != 0 -> answerCall(Unknown)
#endif
    :: else ->
        if
        :: me.phase == Idle && me.wantsRun ->
            if
            :: me.phase = Running;
               toTarget!r, me.incarnation
            :: answerCall(NotRun);
#ifndef MUTANT_TICKET_NOT_USED_UP
               me.phase = Consumed
#endif
            fi
        :: me.phase == Idle && !me.wantsRun ->
            answerCall(NotRun);
#ifndef MUTANT_TICKET_NOT_USED_UP
            me.phase = Consumed
#endif
        :: me.phase == Done -> answerCall(Ran)
        :: me.phase == Uncertain -> answerCall(Unknown)
        :: me.phase == Consumed -> answerCall(NotRun)
        fi
    fi
}

inline receiveClaimed() {
    if
    :: me.phase == Done -> answerCall(Ran)
    :: me.phase == Uncertain -> answerCall(Unknown)
#ifndef MUTANT_OVERTAKEN_NUMBER
    :: me.phase == ClaimVoided && isOvertaken -> answerCall(NotRun)
    :: me.phase == HeldUndispatched && isOvertaken && attemptOf(me.request) > 0 -> answerCall(NotRun)
    :: me.phase == HeldUndispatched && (!isOvertaken || attemptOf(me.request) == 0) -> me.phase = Checking
    :: me.phase == ClaimVoided && !isOvertaken ->
#else
    :: me.phase == HeldUndispatched -> me.phase = Checking
    :: me.phase == ClaimVoided ->
#endif
        proceedFromVoid()
    :: me.phase == Idle ->
        if
        :: attemptOf(me.request) == 1 && !me.wantsRun -> answerCall(NotRun)
        :: attemptOf(me.request) == 0 && !me.wantsRun -> answerCall(Unknown)
        :: else -> proceedWithoutClaim()
        fi
    fi
}

inline receive() {
    me.tries = 0;
    me.writtenNonce = 0;
    if
    :: me.wantsRun = true
    /* Draining, or the deadline has passed. */
    :: me.wantsRun = false
    fi;
    if
    :: kind == Ticketed -> receiveTicket()
    :: else -> receiveClaimed()
    fi
}

inline handleClaimWritten() {
    me.tries++;
    if
    :: me.tries > MAX_TRIES -> handleStoreFailure()
    :: else ->
        if
        :: storeVersion == me.expected ->
            store(Claimed, me.claimNonce, 0, me.incarnation);
            if
            :: me.version = storeVersion;
               me.ownership = Confirmed;
               proceedFromOwnClaim()
            /* Unsure: the reply was lost after the write. */
            :: me.ownership = Possible;
               me.phase = Checking
            fi
        :: storeVersion != me.expected ->
#ifdef MUTANT_CONFLICT_IS_OWN
            me.version = storeVersion;
            proceedFromOwnClaim()
#else
            me.phase = Checking
#endif
        /* NotApplied: the store is down. */
        :: handleStoreFailure()
        /* Unsure: lost before the write, or to land late. */
        :: me.ownership = Possible;
           me.phase = Checking
        :: !hasDelayed && mayFail -> delayWrite(Claimed, me.claimNonce, 0);
           me.ownership = Possible;
           me.phase = Checking
        fi
    fi
}

inline handleVoidWritten() {
    me.tries++;
    if
    :: me.tries > MAX_TRIES -> handleStoreFailure()
    :: else ->
        if
        :: storeVersion == me.expected ->
            store(Voided, me.writtenNonce, me.writtenAttempt, me.incarnation);
            if
            :: me.version = storeVersion;
               handleVoidApplied()
            :: me.phase = Checking
            fi
        :: storeVersion != me.expected -> me.phase = Checking
        :: handleStoreFailure()
        :: me.phase = Checking
        :: !hasDelayed && mayFail -> delayWrite(Voided, me.writtenNonce, me.writtenAttempt);
           me.phase = Checking
        fi
    fi
}

/* The owner answers the caller's request itself, if it is reached in time. */
inline forward() {
    if
    :: claimIncarnation == routers[1 - r].incarnation && r == 0 && nfull(inbox1) ->
        inbox1!me.request, FromRouter;
        me.request = 0
    :: claimIncarnation == routers[1 - r].incarnation && r == 1 && nfull(inbox0) ->
        inbox0!me.request, FromRouter;
        me.request = 0
    :: answerCall(Unknown)
    fi;
    removeCall()
}

inline handleExistingClaim() {
    if
    :: claimOwner != r -> forward()
#ifdef MUTANT_RESTART_KEEPS_CLAIM
    :: claimOwner == r ->
#else
#ifdef MUTANT_NONCE_UNCHECKED
    :: claimOwner == r && claimIncarnation == me.incarnation ->
#else
    :: claimOwner == r && claimIncarnation == me.incarnation && claimNonceInStore == me.claimNonce ->
#endif
#endif
        me.version = storeVersion;
        me.ownership = Confirmed;
        proceedFromOwnClaim()
#ifndef MUTANT_RESTART_KEEPS_CLAIM
    :: else ->
        answerCall(Unknown);
        removeCall()
#endif
    fi
}

inline handleRead() {
    if
    /* Not answered: the store is down. */
    :: handleStoreFailure()
    :: claimState == NoClaim -> proceedWithoutClaim()
    :: claimState == Claimed -> handleExistingClaim()
    :: claimState == RecordedDone ->
        answerCall(Ran);
        removeCall()
    :: claimState == Voided ->
        me.version = storeVersion;
        me.highestVoidedAttempt = max(me.highestVoidedAttempt, claimAttempt);
        if
        :: isOwnVoid -> handleVoidApplied()
        :: else ->
            if
#ifndef MUTANT_OVERTAKEN_NUMBER
            :: isOvertaken ->
                answerCall(NotRun);
                me.claimNonce = 0;
                me.ownership = Nothing;
                me.phase = ClaimVoided
#endif
            :: else -> proceedFromVoid()
            fi
        fi
    fi
}

inline handleReport(fromIncarnation, result) {
    if
    :: fromIncarnation != me.incarnation -> skip
    :: else ->
        assert(me.phase == Running);
        if
        :: result == Answered ->
            me.phase = Done;
            answerCall(Ran)
        :: result == FailedMaybe ->
#ifdef MUTANT_VOID_AFTER_BYTES
            me.wantsRun = false;
            me.tries = 0;
            writeVoid(me.version)
#else
            me.phase = Uncertain;
            me.version = 0;
            me.claimNonce = 0;
            me.ownership = Nothing;
            answerCall(Unknown)
#endif
        fi
    fi
}

/* Records the outcome in the claim; the reply does not matter here. */
inline recordOutcome() {
    me.recorded = true;
    if
    :: storeVersion == me.version -> store(RecordedDone, me.claimNonce, 0, me.incarnation)
    :: true -> skip
    fi;
    me.version = 0;
    me.claimNonce = 0;
    me.ownership = Nothing
}

inline emptyInbox(box) {
    do
    :: nempty(box) -> box?_, _
    :: empty(box) -> break
    od
}

inline reportTo(result) {
    if
    :: r == 0 && nfull(report0) -> report0!incarnation, result
    :: r == 1 && nfull(report1) -> report1!incarnation, result
    fi
}

proctype Router(byte r; chan inbox; chan reports)
{
    byte incarnation;
    mtype:report result;
end:
    do
    :: atomic { isSettled(me.phase) && me.request == 0 && nempty(inbox) ->
        if
        :: inbox?me.request, me.source
        /* Requests may overtake each other on the way. */
        :: len(inbox) == 2 ->
            byte first; mtype:source firstSource;
            inbox?first, firstSource;
            inbox?me.request, me.source;
            inbox!first, firstSource;
            first = 0
        fi;
        receive() }
    :: atomic { me.phase == Claiming -> handleClaimWritten() }
    :: atomic { me.phase == VoidingClaim -> handleVoidWritten() }
    :: atomic { me.phase == Checking -> handleRead() }
    :: atomic { nempty(reports) -> reports?incarnation, result; handleReport(incarnation, result);
        incarnation = 0; result = 0 }
    :: atomic { kind != Ticketed && me.phase == Done && !me.recorded -> recordOutcome() }
    /* Memory is bounded: what is settled may be forgotten. Tickets are kept while they are valid. */
    :: atomic { mayForget ->
        hasForgotten = true;
        removeCall() }
    :: atomic { me.late ->
        if
        :: storeVersion == me.lateExpected ->
            store(me.lateState, me.lateNonce, me.lateAttempt, me.lateIncarnation)
        :: else -> skip
        fi;
        me.late = false;
        me.lateState = 0;
        me.lateNonce = 0; me.lateAttempt = 0; me.lateExpected = 0; me.lateIncarnation = 0 }
    :: atomic { !hasRestarted && mayFail ->
        hasRestarted = true;
        me.incarnation++;
        me.request = 0;
        removeCall();
        me.lastNonce = 0;
        emptyInbox(inbox) }
    od
}

proctype Target()
{
    byte r, incarnation;
end:
    do
    :: atomic { toTarget?r, incarnation ->
        if
        :: runs++;
           assert(runs <= 1);
           assert(!wasReportedNotRun);
           if
           :: reportTo(Answered)
           :: reportTo(FailedMaybe)
           fi
        /* The connection broke before the target read the call. */
        :: reportTo(FailedMaybe)
        fi;
        r = 0; incarnation = 0 }
    od
}

/* Sends its request, gives it up at any time and asks again anywhere. */
proctype Caller()
{
end:
    do
    :: atomic { !finished && lastRequest < MAX_REQUESTS ->
        lastRequest++;
        openRequest = lastRequest;
        wasReportedNotRun = false;
        if
        :: nfull(inbox0) -> inbox0!lastRequest, FromCaller
        /* The routers are alike, but for tickets: the first request goes to router 0. */
        :: nfull(inbox1) && (lastRequest > 1 || kind == Ticketed) -> inbox1!lastRequest, FromCaller
        fi }
    :: finished -> break
    od
}

init {
    atomic {
        if
        :: kind = Ticketed
        :: kind = Unnumbered
        :: kind = Numbered
        fi;
        routers[0].phase = Idle;
        routers[1].phase = Idle;
        run Router(0, inbox0, report0);
        run Router(1, inbox1, report1);
        run Target();
        run Caller()
    }
}
