/* Spread of the configuration: changes, acknowledgements, polls and confirmations (LibConfig). */
/* mutants: MUTANT_NO_EMBARGO MUTANT_NO_WINDOW MUTANT_POLL_OF_HALF MUTANT_ONE_LIST MUTANT_UNACKNOWLEDGED_BASE MUTANT_POLL_COUNTS_OLD_LIST MUTANT_LOST_REPLY_IS_REFUSAL MUTANT_FRESH_AFTER_PAUSE MUTANT_AGE_FORGOTTEN */
/* pan: -O2 -DSAFETY -DNOCLAIM -DVECTORSZ=512 -DCOLLAPSE */
/* run: -m200000 -w24 */

/* Every action is one atomic step and may fail to happen for as long as it likes. So a store outage, an island, a
 * one-way cut and a paused router are runs in which some actions never come, and need no states of their own.
 * A confirmation is checked when it is made: nothing that was accepted before it began may be greater.
 *
 * Three counted lists, each one router apart from the next: {0,1,2}, {0,1,2,3}, {1,2,3}. Routers 0 and 3 take
 * changes, so that a change may be taken by a router outside the list. */

#define ROUTERS 4
#define MAX_VERSION 3
#define RESTARTS 1
#define RESTARTING_ROUTER 0

#define LIST(id) ((id) == 0 -> 7 : ((id) == 1 -> 15 : 14))
#define COUNT(set) (((set) & 1) + (((set) >> 1) & 1) + (((set) >> 2) & 1) + (((set) >> 3) & 1))
#define HOLDS_HALF(set, id) (2 * COUNT((set) & LIST(id)) >= COUNT(LIST(id)))
#ifdef MUTANT_POLL_OF_HALF
#define IS_POLL_MAJORITY(set, id) HOLDS_HALF(set, id)
#else
#define IS_POLL_MAJORITY(set, id) (2 * COUNT((set) & LIST(id)) > COUNT(LIST(id)))
#endif
#ifdef MUTANT_ONE_LIST
#define IS_ACKNOWLEDGED(set, v) HOLDS_HALF(set, countedRouters[v])
#else
#define IS_ACKNOWLEDGED(set, v) (HOLDS_HALF(set, countedRouters[v]) && HOLDS_HALF(set, countedBefore[v]))
#endif
#define BIT(i) (1 << (i))
#define HAS(set, i) (((set) >> (i)) & 1)

/* The store: one object, changed by conditional updates. */
byte storeVersion = 1;
byte countedRouters[MAX_VERSION + 1];
byte countedBefore[MAX_VERSION + 1];
byte changeOf[MAX_VERSION + 1];

/* The keepers. */
byte held[ROUTERS];
/* Whether a confirmation began after elapse(); of no interest before. */
bit isFresh[ROUTERS];
/* Routers whose embargo was over when this router's confirmation began. */
byte beganAfter[ROUTERS];
/* Routers whose poll answers count, and routers under the embargo that follows a restart. */
byte confirmedSinceStart = 15;
byte embargo = 0;
byte restarts = 0;

/* The open poll of one router at a time. */
#define NO_ROUTER 7
/* One router reads the store and another one polls; all others inherit. */
#define STORE_READER 2
#define POLLER 1
byte poller = NO_ROUTER;
byte pollVersion, pollAnswers, pollBeganAfter, pollAccepted;
bit pollIsOld;

/* One change in full (ChangeDriver). A racing operator's change is written at any moment and acknowledged by
 * nobody, as if its taker died. */
mtype = { Idle, Reading, AcknowledgingBase, Writing, ReadingBack, Acknowledging, Answered };
mtype phase = Idle;
byte taker = 3;
bit changesList;
byte base;
byte toAcknowledge;
byte holders;
/* Routers that restarted while this round was open. */
byte restartedInRound;
/* A write on its way, and the version that it replaces. */
bit writeInFlight;
byte writeBase;
bit refused;
byte retries;

/* The faults of a run, chosen at its start. They are tried one kind at a time to keep the state space whole. */
mtype = { ListChanges, Restarts, Freshness };
mtype scenario;

/* Ghosts: the greatest accepted version, and the greatest one accepted longer ago than freshnessBound. */
byte accepted = 1;
byte due = 1;
bit elapsed = 0;

inline adopt(i, v) {
    if
    :: v > held[i] -> held[i] = v
    :: else
    fi
}

inline confirm(i, after, young) {
    beganAfter[i] = after;
    isFresh[i] = young && elapsed;
    confirmedSinceStart = confirmedSinceStart | (after & BIT(i));
    assert(!isFresh[i] || held[i] >= due)
}

/* ConfigurationRead at a store reader. */
inline readStore(i) {
    adopt(i, storeVersion);
    confirm(i, 15 & ~embargo, 1)
}

/* ConfirmationReceived: router i asked router j. */
inline inherit(i, j) {
    adopt(i, held[j]);
#ifdef MUTANT_AGE_FORGOTTEN
    confirm(i, beganAfter[j], 1)
#else
    confirm(i, beganAfter[j], isFresh[j])
#endif
}

inline closePoll() {
    poller = NO_ROUTER;
    pollVersion = 0;
    pollAnswers = 0;
    pollBeganAfter = 0;
    pollAccepted = 0;
    pollIsOld = 0
}

inline startPoll(i) {
    poller = i;
    pollVersion = held[i];
    pollAnswers = confirmedSinceStart & BIT(i);
    pollBeganAfter = 15 & ~embargo;
    pollAccepted = accepted
}

/* PollAnswered by router j. A greater version ends the poll and is fetched. */
inline pollAnswered(j) {
    if
    :: held[j] > pollVersion ->
        adopt(poller, held[j]);
#ifdef MUTANT_POLL_COUNTS_OLD_LIST
        pollVersion = held[j];
        pollAnswers = pollAnswers | (confirmedSinceStart & BIT(j))
#else
        closePoll()
#endif
    :: else -> pollAnswers = pollAnswers | (confirmedSinceStart & BIT(j))
    fi
}

inline checkPoll(list) {
    if
    :: IS_POLL_MAJORITY(pollAnswers, list) ->
        assert(pollVersion >= pollAccepted);
        confirm(poller, pollBeganAfter, !pollIsOld);
        closePoll()
    :: else
    fi
}

inline acknowledge(to, v) {
    phase = to;
    toAcknowledge = v;
    holders = BIT(taker);
    restartedInRound = 0
}

inline closeRound(to) {
    phase = to;
    toAcknowledge = 0;
    holders = 0;
    restartedInRound = 0
}

inline write() {
    phase = Writing;
    writeInFlight = 1;
    writeBase = base
}

inline findChange(v) {
    v = 0;
    if
    :: changeOf[2] == 1 && storeVersion >= 2 -> v = 2
    :: changeOf[3] == 1 && storeVersion >= 3 -> v = 3
    :: else
    fi
}

/* ChangeDriver::storeRead in the phases Reading and ReadingBack. */
inline storeRead() {
    adopt(taker, storeVersion);
    findChange(found);
    if
    :: found > 0 ->
        /* A retry of an applied change is acknowledged in its latest successor. */
        acknowledge(Acknowledging, storeVersion)
    :: found == 0 && storeVersion == MAX_VERSION ->
        phase = Answered;
        refused = 1
    :: found == 0 && storeVersion < MAX_VERSION && phase == ReadingBack && storeVersion == base -> write()
    :: found == 0 && storeVersion < MAX_VERSION && !(phase == ReadingBack && storeVersion == base) ->
        base = storeVersion;
#ifdef MUTANT_UNACKNOWLEDGED_BASE
        write()
#else
        if
        :: changesList -> acknowledge(AcknowledgingBase, storeVersion)
        :: else -> write()
        fi
#endif
    fi;
    found = 0
}

inline putLists(isListChange) {
    if
    :: isListChange && countedRouters[storeVersion - 1] < 2 ->
        countedRouters[storeVersion] = countedRouters[storeVersion - 1] + 1;
        countedBefore[storeVersion] = countedRouters[storeVersion - 1]
    :: else ->
        countedRouters[storeVersion] = countedRouters[storeVersion - 1];
        countedBefore[storeVersion] = countedBefore[storeVersion - 1]
    fi
}

/* The racing operator. A list change needs its base acknowledged, which only the other change reaches. */
inline race() {
    storeVersion++;
    changeOf[storeVersion] = 2;
    if
    :: scenario == ListChanges && accepted == storeVersion - 1 -> putLists(1)
    :: putLists(0)
    fi
}

/* The conditional update takes effect, or meets another version. */
inline land() {
    writeInFlight = 0;
    if
    :: writeBase == storeVersion && storeVersion < MAX_VERSION ->
        storeVersion++;
        changeOf[storeVersion] = 1;
        putLists(changesList);
        if
        :: phase == Writing ->
            adopt(taker, storeVersion);
            acknowledge(Acknowledging, storeVersion)
        /* The reply is lost: the taker reads back, or answers already, or is gone. */
        :: phase == Writing -> lostReply()
        :: phase != Writing
        fi
    :: else ->
        if
        :: phase == Writing -> phase = ReadingBack
        :: else
        fi
    fi;
    writeBase = 0
}

inline lostReply() {
#ifdef MUTANT_LOST_REPLY_IS_REFUSAL
    phase = Answered;
    refused = 1
#else
    phase = ReadingBack
#endif
}

/* PushAcknowledged by router j, which holds the version from now on. */
inline acknowledged(j) {
    adopt(j, toAcknowledge);
    holders = holders | BIT(j)
}

inline checkAcknowledged() {
    if
    :: phase == AcknowledgingBase ->
        closeRound(Writing);
        write()
    :: phase == Acknowledging ->
        if
        :: toAcknowledge > accepted -> accepted = toAcknowledge
        :: else
        fi;
        closeRound(Answered)
    fi
}

/* A new incarnation with no memory. What it acknowledged may still complete a round. */
inline restart(i) {
    restarts++;
    held[i] = 0;
    isFresh[i] = 0;
    beganAfter[i] = 0;
    confirmedSinceStart = confirmedSinceStart & ~BIT(i);
#ifndef MUTANT_NO_EMBARGO
    embargo = embargo | BIT(i);
#endif
    beganAfter[0] = beganAfter[0] & ~BIT(i);
    beganAfter[1] = beganAfter[1] & ~BIT(i);
    beganAfter[2] = beganAfter[2] & ~BIT(i);
    beganAfter[3] = beganAfter[3] & ~BIT(i);
    pollBeganAfter = pollBeganAfter & ~BIT(i);
    if
    :: poller == i -> closePoll()
    :: else
    fi;
    restartRound(i)
}

inline restartRound(i) {
    if
    :: phase != Idle && phase != Answered && taker == i -> closeRound(Answered)
    :: (phase == Acknowledging || phase == AcknowledgingBase) && taker != i ->
        restartedInRound = restartedInRound | BIT(i)
    :: else
    fi
}

/* restartEmbargo has passed since the restart, so every round that was open then is over its window. */
inline endEmbargo(i) {
    embargo = embargo & ~BIT(i);
#ifndef MUTANT_NO_WINDOW
    endRound(i)
#endif
}

inline endRound(i) {
    if
    :: HAS(restartedInRound, i) -> closeRound(Answered)
    :: else
    fi
}

/* freshnessBound passes: whatever was confirmed until now no longer makes anybody fresh. */
inline elapse() {
    elapsed = 1;
    due = accepted;
    pollIsOld = (poller != NO_ROUTER);
#ifdef MUTANT_FRESH_AFTER_PAUSE
    /* A router that was paused meanwhile trusts the answer that it gave itself before. */
    isFresh[2] = 1;
    assert(!isFresh[2] || held[2] >= due)
#endif
}

active proctype Fleet() {
    byte i, j, found;
    atomic {
        if
        :: scenario = ListChanges
        :: scenario = Restarts
        :: scenario = Freshness
        fi;
        held[0] = 1; held[1] = 1; held[2] = 1; held[3] = 1;
        beganAfter[0] = 15; beganAfter[1] = 15; beganAfter[2] = 15; beganAfter[3] = 15
    }
end:
    do
    :: atomic {
        i = 0;
        do
        :: i < ROUTERS - 1 -> i++
        :: break
        od;
        if
        :: scenario != ListChanges && i == STORE_READER -> readStore(i)
        :: j = 0;
            do
            :: j < ROUTERS - 1 -> j++
            :: break
            od;
            if
            :: i != j && beganAfter[j] > 0 -> inherit(i, j)
            :: poller == i && i != j && HAS(LIST(countedRouters[pollVersion]), j) && !HAS(pollAnswers, j) ->
                pollAnswered(j)
            :: else
            fi
        :: poller == NO_ROUTER && i == POLLER && held[i] > 0 -> startPoll(i)
        :: poller == i && held[i] == pollVersion -> checkPoll(countedRouters[pollVersion])
#ifdef MUTANT_POLL_COUNTS_OLD_LIST
        :: poller == i -> checkPoll(countedRouters[pollVersion - 1])
#endif
        :: poller == i -> closePoll()
        :: scenario == Restarts && i == RESTARTING_ROUTER && restarts < RESTARTS -> restart(i)
        :: HAS(embargo, i) -> endEmbargo(i)
        fi;
        i = 0;
        j = 0
    }
    :: atomic {
        if
        :: phase == Idle ->
            /* ChangeRequested */
            if
            :: scenario == ListChanges -> changesList = 1
            :: changesList = 0
            fi;
            phase = Reading
        :: phase == Reading || phase == ReadingBack -> storeRead()
        :: phase == Writing -> phase = ReadingBack
        :: writeInFlight -> land()
        :: phase == Acknowledging || phase == AcknowledgingBase ->
            if
            :: IS_ACKNOWLEDGED(holders, toAcknowledge) -> checkAcknowledged()
            :: j = 0;
                do
                :: j < ROUTERS - 1 -> j++
                :: break
                od;
                acknowledged(j);
                j = 0
            fi
        :: phase == Answered && !refused && retries < 1 && !writeInFlight ->
            /* An operator retries under the same change id, at the other taker. */
            retries++;
            taker = 3 - taker;
            phase = Reading
        :: else
        fi;
        findChange(found);
        assert(!refused || found == 0);
        found = 0
    }
    :: atomic { storeVersion < MAX_VERSION -> race() }
    :: atomic { scenario == Freshness && !elapsed && accepted > 1 -> elapse() }
    od
}
