/* mutants: MUTANT_NO_WAIT MUTANT_SHORT_WAIT MUTANT_COUNT_FROM_REPLY MUTANT_LOST_REPLY_HOLDS MUTANT_SAME_FENCING MUTANT_WRITES_ALIKE MUTANT_ORDERS_ONCE */
/* pan: -DSAFETY -DCOLLAPSE -DVECTORSZ=512 */
/* run: -m200000 -w25 */

/*
 * The lease over the engines and the orders under it: Libraries/LibPlacement. Two placers, a store that loses
 * replies, and one engine that checks the fencing number or does not. Names are those of the code.
 *
 * Time is a counter that a paused placer does not see move; all clocks run alike, so that the margin's part
 * against drift is not checked here. Checked: two placers are never held to be holders at once (isHeld); an
 * engine that checks never obeys two holders under one number nor an older one after a newer; and when nothing
 * is under way any more, the engine is in the state that the holder wishes, crossed orders included.
 *
 * Orders may arrive after their lease at an engine that does not check, and cross (-DMUTANT_ASSERT_NO_CROSSING
 * shows one): this stays possible, and the holder's next reading repairs it.
 */

#define PLACERS 2
#define LEASE 3      /* leaseLength, in ticks */
#define MARGIN 1     /* leaseMargin */
#define MAX_TIME 7
#define MAX_WRITES 2 /* of each placer */

mtype:tenure = { Follower, Holder };
mtype:access = { None, Reading, Writing };

byte now = 1;

/* The record in the store. */
byte holder = 0; /* 1 + placer; zero for no record */
byte fencingInStore = 0;
byte renewalsInStore = 0;
byte storeVersion = 0;

typedef PlacerState {
    mtype:tenure tenure;
    mtype:access access;
    /* Of the record that is known, while Holder. */
    byte version;
    byte fencing;
    byte heldFrom;
    /* Of the last write. */
    byte writes;
    byte writtenFencing;
    byte writtenRenewals;
    byte expected;
    byte writeBegan;
    bool arrived;   /* the write has met the store */
    bool applied;
    /* What the store answered to a read, before the placer handles it. */
    bool answered;
    byte readHolder, readFencing, readRenewals, readVersion;
    /* What a follower watches. */
    byte seenVersion;
    byte seenSince;
    bool lateWrite; /* a write that was given up and may still land */
    byte lateFencing, lateRenewals, lateExpected;
    bool hasOrdered;
    byte underWay;  /* the number of its order on the way; zero for none */
};
PlacerState placers[PLACERS];

/* One write in a run lands after its client gave it up. */
bool hasDelayed = false;

/* An engine's state is the number of the order that it obeyed last. */
bool checksFencing;
byte engineState, greatest, greatestFrom;

#define me placers[p]
#define isHeld(q) (placers[q].tenure == Holder && now < placers[q].heldFrom + LEASE - MARGIN)
#ifdef MUTANT_NO_WAIT
#define hasLapsed true
#else
#ifdef MUTANT_SHORT_WAIT
#define hasLapsed (now >= me.seenSince + MARGIN)
#else
#define hasLapsed (now >= me.seenSince + LEASE + MARGIN)
#endif
#endif
#define isOwnWrite (me.readFencing == me.writtenFencing && me.readRenewals == me.writtenRenewals)

/* What no longer matters is cleared, which keeps the state space small. */
inline endWrite() {
    me.expected = 0;
    me.arrived = false;
    me.applied = false
}

inline hold(atVersion) {
    me.version = atVersion;
    me.tenure = Holder;
    me.access = None;
    me.fencing = me.writtenFencing;
#ifdef MUTANT_COUNT_FROM_REPLY
    me.heldFrom = now;
#else
    me.heldFrom = me.writeBegan;
#endif
    endWrite();
    me.seenVersion = 0;
    me.seenSince = 0;
    assert(!(isHeld(0) && isHeld(1)))
}

inline write(number, atVersion) {
    me.writes++;
    me.access = Writing;
    me.writtenFencing = number;
#ifdef MUTANT_WRITES_ALIKE
    me.writtenRenewals = 1;
#else
    me.writtenRenewals = me.writes;
#endif
    me.expected = atVersion;
    me.writeBegan = now;
    me.arrived = false;
    me.applied = false
}

inline takeOver() {
    if
#ifdef MUTANT_SAME_FENCING
    :: me.readFencing > 0 -> write(me.readFencing, me.readVersion)
    :: me.readFencing == 0 -> write(1, me.readVersion)
#else
    :: write(me.readFencing + 1, me.readVersion)
#endif
    fi
}

inline follow() {
    me.tenure = Follower;
    me.access = None;
    me.version = 0;
    me.fencing = 0;
    me.heldFrom = 0;
    if
    :: me.readHolder != 0 && me.readVersion != me.seenVersion ->
        me.seenVersion = me.readVersion;
        me.seenSince = now
    :: else -> skip
    fi;
    if
    :: me.writes < MAX_WRITES && (me.readHolder == 0 || hasLapsed) -> takeOver()
    :: else -> skip
    fi
}

inline handleRead() {
    me.answered = false;
    if
    :: me.readHolder != p + 1 -> follow()
    :: me.readHolder == p + 1 && isOwnWrite -> hold(me.readVersion)
    /* An earlier write of this incarnation: nothing is held until the next renewal. */
    :: me.readHolder == p + 1 && !isOwnWrite ->
        me.access = None;
        me.tenure = Holder;
        me.heldFrom = 0;
        me.fencing = me.readFencing;
        me.version = me.readVersion
    fi;
    me.readHolder = 0;
    me.readFencing = 0;
    me.readRenewals = 0;
    me.readVersion = 0
}

inline store(number, count) {
    holder = p + 1;
    fencingInStore = number;
    renewalsInStore = count;
    storeVersion++
}

inline handleWritten() {
    if
    :: me.applied -> hold(me.expected + 1)
    :: else ->
        me.access = Reading;
        endWrite()
    fi
}

inline loseReply() {
    if
    :: !me.arrived && !hasDelayed ->
        hasDelayed = true;
        me.lateWrite = true;
        me.lateFencing = me.writtenFencing;
        me.lateRenewals = me.writtenRenewals;
        me.lateExpected = me.expected
    :: true -> skip
    fi;
#ifdef MUTANT_LOST_REPLY_HOLDS
    hold(me.expected + 1)
#else
    me.access = Reading;
    endWrite()
#endif
}

inline sendOrder() {
    me.underWay = me.fencing;
#ifdef MUTANT_ORDERS_ONCE
    me.hasOrdered = true
#endif
}

proctype Placer(byte p)
{
end:
    do
    :: atomic { me.access == None && me.tenure == Follower && now < MAX_TIME -> me.access = Reading }
    :: atomic { me.access == None && me.tenure == Holder && me.writes < MAX_WRITES ->
        write(me.fencing, me.version) }
    :: atomic { me.access == Reading && !me.answered ->
        me.answered = true;
        me.readHolder = holder;
        me.readFencing = fencingInStore;
        me.readRenewals = renewalsInStore;
        me.readVersion = storeVersion }
    :: atomic { me.access == Reading && me.answered -> handleRead() }
    :: atomic { me.access == Writing && !me.arrived ->
        me.arrived = true;
        if
        :: storeVersion == me.expected ->
            me.applied = true;
            store(me.writtenFencing, me.writtenRenewals)
        :: else -> skip
        fi }
    :: atomic { me.access == Writing && me.arrived -> handleWritten() }
    :: atomic { me.access == Writing -> loseReply() }
    :: atomic { me.lateWrite ->
        me.lateWrite = false;
        if
        :: storeVersion == me.lateExpected -> store(me.lateFencing, me.lateRenewals)
        :: else -> skip
        fi;
        me.lateFencing = 0; me.lateRenewals = 0; me.lateExpected = 0 }
    /* A reading differs from the wish: mayOrder is checked, then the order is sent. */
    :: atomic { isHeld(p) && engineState != me.fencing && me.underWay == 0 && !me.hasOrdered -> sendOrder() }
    od
}

/* An order arrives, however late. */
proctype Engine()
{
    byte p, number;
end:
    do
    :: atomic {
        if
        :: placers[0].underWay != 0 -> p = 0
        :: placers[1].underWay != 0 -> p = 1
        fi;
        number = me.underWay;
        me.underWay = 0;
        if
        :: checksFencing && number < greatest -> skip /* FencedOff */
        :: else ->
            assert(!(checksFencing && number == greatest && greatestFrom != p + 1));
#ifdef MUTANT_ASSERT_NO_CROSSING
            assert(number >= greatest);
#endif
            engineState = number;
            if
            :: number >= greatest -> greatest = number; greatestFrom = p + 1
            :: else -> skip
            fi
        fi;
        p = 0; number = 0 }
    od
}

proctype Clock()
{
end:
    do
    :: atomic { now < MAX_TIME -> now++ }
    od
}

/* Nothing is under way and time stands still: the holder's wish is served. */
proctype Monitor()
{
end:
    do
    :: atomic { timeout ->
        assert(!isHeld(0) || engineState == placers[0].fencing);
        assert(!isHeld(1) || engineState == placers[1].fencing);
        break }
    od
}

init {
    atomic {
        if
        :: checksFencing = true
        :: checksFencing = false
        fi;
        placers[0].tenure = Follower; placers[0].access = None;
        placers[1].tenure = Follower; placers[1].access = None;
        run Placer(0);
        run Placer(1);
        run Engine();
        run Clock();
        run Monitor()
    }
}
