/* mutants: MUTANT_REVISION_ONLY MUTANT_LATE_ANSWER MUTANT_NO_HOLD_BACK MUTANT_HOLD_BACK_ONE_LIST MUTANT_READY_AGAIN MUTANT_FORGET_REMOVAL */
/* pan: -DSAFETY -DCOLLAPSE */
/* run: -m200000 -w24 */

/*
 * A store that is restored from older copies, and two routers that follow the entry of one target:
 * Libraries/LibForwarding/DirectorySynchronizer and TargetPool. Router 0 lists the store; router 1 receives
 * the views of router 0 and may list, too. Answers may be delivered after later restorations.
 *
 * The target is one process: it is ready, drains, ends. It writes its state again when the store has lost it,
 * and the store removes the entry some time after the end. The hold-back of removed entries outlives that
 * expiry, which stands for the times in the code.
 *
 * Checked: a router that knows that the target has left never uses it again; a position never goes back; and
 * when the target has ended and nothing changes any more, no router keeps it.
 */

#define ROUTERS 2
#define LAST_ERA 3
#define NONE 0
#define READY 1
#define DRAINING 2

/* The store. */
byte era = 1;
byte revision = 1;
byte entry = READY;
byte entryRevision = 1;
byte copyRevision = 1;
byte copyEntry = READY;
byte copyEntryRevision = 1;

byte target = READY;

typedef Router {
    /* Position of the view. */
    byte era, revision;
    /* The entry as the view has it, and the position of its last change. */
    byte entry, entryEra, entryRevision;
    /* It was removed and is not used because of a copy that still holds it. */
    bool isRemovalKnown, isHeldBack;
    byte removedEra, removedRevision;
    byte heldBackEra, heldBackRevision;
    /* Missing from a copy, and kept for the grace period. */
    bool isKept;
    bool uses, hasLeft;
    /* While the entry is known. */
    bool isDraining;
    /* An answer of the store on its way. */
    bool isAnswered;
    byte answerEra, answerRevision, answerEntry, answerEntryRevision
};
Router routers[ROUTERS];

#define me routers[r]
#ifdef MUTANT_REVISION_ONLY
#define isNewer(e1, r1, e2, r2) ((r1) > (r2))
#else
#define isNewer(e1, r1, e2, r2) ((e1) > (e2) || ((e1) == (e2) && (r1) > (r2)))
#endif

inline removeEntry(atEra, atRevision) {
    me.removedEra = atEra;
    me.removedRevision = atRevision;
    me.entry = NONE;
    me.uses = false;
    me.hasLeft = true;
    me.isKept = false;
    me.isDraining = false;
    me.isRemovalKnown = true
}

inline applyEntry(content, changeEra, changeRevision) {
    if
    :: me.entry == NONE || isNewer(changeEra, changeRevision, me.entryEra, me.entryRevision) ->
#ifndef MUTANT_READY_AGAIN
        /* A process that drains stays so. */
        me.uses = (content == READY && !me.isDraining);
#else
        me.uses = (content == READY);
#endif
        me.entry = content;
        me.entryEra = changeEra;
        me.entryRevision = changeRevision;
        if
        :: content == DRAINING ->
            me.isDraining = true;
            me.hasLeft = true
        :: else -> skip
        fi
    :: else -> skip
    fi;
    me.isKept = false;
    me.isHeldBack = false;
    me.isRemovalKnown = false
}

/* A complete view of the store arrives, from the store itself or from the other router. */
inline applyView(viewEra, viewRevision, content, changeEra, changeRevision) {
    isNewEra = viewEra > me.era;
    if
#ifndef MUTANT_NO_HOLD_BACK
    :: isNewEra && me.isRemovalKnown ->
        me.isHeldBack = true;
        me.heldBackEra = viewEra;
        me.heldBackRevision = viewRevision
#endif
    :: else -> skip
    fi;
    if
    :: content == NONE && me.entry == NONE -> skip
    :: content == NONE && me.entry != NONE ->
        if
        :: isNewEra -> me.isKept = true
        :: !isNewEra && !me.isKept -> removeEntry(viewEra, viewRevision)
        :: else -> skip
        fi
    :: content != NONE ->
        if
#ifdef MUTANT_HOLD_BACK_ONE_LIST
        :: isNewEra && me.isHeldBack -> skip
#else
        :: me.isHeldBack && !isNewer(changeEra, changeRevision, me.heldBackEra, me.heldBackRevision) -> skip
#endif
#ifndef MUTANT_FORGET_REMOVAL
        :: me.isRemovalKnown && (changeEra < viewEra
           || !isNewer(changeEra, changeRevision, me.removedEra, me.removedRevision)) -> skip
#endif
        :: else -> applyEntry(content, changeEra, changeRevision)
        fi
    fi;
#ifndef MUTANT_REVISION_ONLY
    assert(!isNewer(me.era, me.revision, viewEra, viewRevision));
#endif
    me.era = viewEra;
    me.revision = viewRevision;
    assert(!(me.hasLeft && me.uses))
}

inline askStore() {
    me.isAnswered = true;
    me.answerEra = era;
    me.answerRevision = revision;
    me.answerEntry = entry;
    me.answerEntryRevision = entryRevision
}

inline takeAnswer() {
    me.isAnswered = false;
    if
#ifdef MUTANT_LATE_ANSWER
    :: true ->
#else
    :: !isNewer(me.era, me.revision, me.answerEra, me.answerRevision) ->
#endif
        applyView(me.answerEra, me.answerRevision, me.answerEntry, me.answerEra, me.answerEntryRevision)
#ifndef MUTANT_LATE_ANSWER
    :: else -> skip
#endif
    fi;
    me.answerEra = 0;
    me.answerRevision = 0;
    me.answerEntry = 0;
    me.answerEntryRevision = 0
}

inline relayFromOther() {
    applyView(routers[0].era, routers[0].revision, routers[0].entry, routers[0].entryEra, routers[0].entryRevision)
}

bool isOver = false;

active proctype Store() {
    do
    :: atomic { !isOver && (copyRevision != revision || copyEntry != entry) ->
           copyRevision = revision;
           copyEntry = entry;
           copyEntryRevision = entryRevision
       }
    :: atomic { !isOver && era < LAST_ERA ->
           era++;
           revision = copyRevision;
           entry = copyEntry;
           entryRevision = copyEntryRevision
       }
    :: atomic { !isOver && entry != NONE && target == NONE ->
           revision++;
           entry = NONE;
           entryRevision = 0
       }
    :: atomic { !isOver && target == NONE && entry == NONE -> isOver = true; break }
    od
}

active proctype Target() {
    do
    :: atomic { target == READY -> target = DRAINING }
    :: atomic { target == DRAINING && entry == DRAINING -> target = NONE; break }
    :: atomic { target != NONE && entry != target ->
           revision++;
           entry = target;
           entryRevision = revision
       }
    od
}

proctype Follow(byte r) {
    bool isNewEra;
    do
    :: atomic { !isOver && !me.isAnswered -> askStore() }
    :: atomic { me.isAnswered -> takeAnswer() }
    :: atomic { r == 1 && !isOver && isNewer(routers[0].era, routers[0].revision, me.era, me.revision) ->
           relayFromOther()
       }
       /* The grace period ends, if the target had the time to write its entry again. */
    :: atomic { me.isKept && (target == NONE || entry == target) && me.era == era && !me.isAnswered ->
           if
           :: entry == NONE -> removeEntry(me.era, me.revision)
           :: else -> me.isKept = false
           fi
       }
       /* The hold-back ends when the target has had the time to write its entry again, or the store to remove it.
          It is longer than the timeout of a call, so no older answer is on its way. */
    :: atomic { me.isHeldBack && entry == target && me.era == era && !me.isAnswered ->
           me.isHeldBack = false
       }
    :: atomic { isOver && !me.isAnswered ->
           askStore();
           takeAnswer();
           if
           :: me.isKept -> removeEntry(me.era, me.revision)
           :: else -> skip
           fi;
           assert(me.entry == NONE && !me.uses);
           break
       }
    od
}

init {
    atomic {
        run Follow(0);
        run Follow(1)
    }
}
