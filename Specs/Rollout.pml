/* The verdict on a rollout: conditional writes of two coordinators (LibForwarding/RolloutCoordinator). */
/* mutants: MUTANT_UNCONDITIONAL_WRITE MUTANT_LOST_REPLY_IS_SUCCESS MUTANT_CONFLICT_IS_SUCCESS MUTANT_FORGET_VERDICT MUTANT_NO_REPORTS MUTANT_FROZEN_ACTS MUTANT_OLD_VIEW MUTANT_STATUS_OF_EARLIER_ORDER MUTANT_VERDICT_OF_ANOTHER_ORDER */
/* pan: -DSAFETY -DCOLLAPSE */
/* run: -m200000 -w24 */

/*
 * One object of the store and two routers that may both act as coordinator at any time. Each finds the version
 * sound or bad on its own. Replies are lost, routers restart and forget, an operator orders another version, and
 * the store is restored once from a copy that shows the order as open.
 *
 * Assumptions, which stand for times in the code: a restoration takes longer than the read and the write of a
 * verdict, so that no write is on its way and what was read before is read again; a router that has not learned the
 * verdict no longer acts (two routers act side by side for at most seconds). A router that begins to act hears the
 * other one's verdicts, and some router has learned the verdict that the restoration takes back.
 *
 * Checked: the store never accepts two verdicts for one order, and no router follows a verdict that the store has
 * not accepted.
 */

#define ROUTERS 2
#define ORDERS 2
#define OPEN 0
#define COMPLETED 1
#define ROLLED_BACK 2
#define NO_REPLY 0
#define WRITTEN 1
#define CONFLICT 2
#define LOST 3

/* The store: the order, the status, and the order that the status was written for. */
byte order = 1;
byte revision = 1;
byte status = OPEN;
byte statusOrder = 0;
bool hasCopy = false;
byte copyOrder, copyRevision, copyStatus, copyStatusOrder;
bool isRestored = false;
byte restarts = 0;

/* The verdict that the store has accepted for each order. */
byte accepted[ORDERS + 1];

typedef Router {
    bool isActing, needsRead;
    /* The object as it was read, with the status of its order. */
    byte order, revision, status;
    byte intended;
    byte verdicts[ORDERS + 1];
    bool isWriting;
    byte writeOrder, writeRevision, writeStatus;
    byte reply, newRevision
};
Router routers[ROUTERS];

#ifndef MUTANT_FORGET_VERDICT
#define IS_KNOWN(o) (routers[0].verdicts[o] == accepted[o] || routers[1].verdicts[o] == accepted[o])
#else
#define IS_KNOWN(o) true
#endif
#define me routers[r]
#define other routers[1 - r]

inline learn(which, decided) {
    assert(accepted[which] == decided);
#ifndef MUTANT_FORGET_VERDICT
    me.verdicts[which] = decided
#else
    skip
#endif
}

/* What a router no longer relies on is cleared, so that equal states are found to be equal. */
inline dropView() {
    me.needsRead = true;
    me.revision = 0;
    me.status = OPEN
}

inline readObject() {
    if
    :: me.order != order -> me.intended = OPEN
    :: else -> skip
    fi;
#ifdef MUTANT_VERDICT_OF_ANOTHER_ORDER
    if
    :: me.order != 0 && me.order != order && me.verdicts[order] == OPEN -> me.verdicts[order] = me.verdicts[me.order]
    :: else -> skip
    fi;
#endif
    me.order = order;
    me.revision = revision;
    me.needsRead = false;
    /* A status that was written for an earlier order says nothing about this one. */
    if
#ifndef MUTANT_STATUS_OF_EARLIER_ORDER
    :: statusOrder != order -> me.status = OPEN
#endif
    :: else -> me.status = status
    fi;
    if
    :: me.status != OPEN -> learn(me.order, me.status)
    :: else -> skip
    fi
}

inline hearReports() {
#ifndef MUTANT_NO_REPORTS
    if
    :: me.verdicts[1] == OPEN -> me.verdicts[1] = other.verdicts[1]
    :: else -> skip
    fi;
    if
    :: me.verdicts[2] == OPEN -> me.verdicts[2] = other.verdicts[2]
    :: else -> skip
    fi
#else
    skip
#endif
}

inline sendWrite(newStatus) {
    me.isWriting = true;
    me.writeOrder = me.order;
    me.writeRevision = me.revision;
    me.writeStatus = newStatus
}

/* The store handles the write, and its reply may be lost. */
inline acceptWrite() {
    if
#ifdef MUTANT_UNCONDITIONAL_WRITE
    :: true ->
#else
    :: revision == me.writeRevision ->
#endif
        assert(accepted[me.writeOrder] == OPEN || accepted[me.writeOrder] == me.writeStatus);
        accepted[me.writeOrder] = me.writeStatus;
        revision++;
        status = me.writeStatus;
        statusOrder = me.writeOrder;
        if
        :: me.reply = WRITTEN
        :: me.reply = LOST
        fi;
        me.newRevision = revision
#ifndef MUTANT_UNCONDITIONAL_WRITE
    :: else ->
        if
        :: me.reply = CONFLICT
        :: me.reply = LOST
        fi
#endif
    fi
}

inline takeReply() {
    if
    :: me.reply == WRITTEN && me.order == me.writeOrder ->
        me.revision = me.newRevision;
        me.status = me.writeStatus;
        learn(me.order, me.writeStatus)
#ifdef MUTANT_LOST_REPLY_IS_SUCCESS
    :: me.reply == LOST -> learn(me.writeOrder, me.writeStatus)
#endif
#ifdef MUTANT_CONFLICT_IS_SUCCESS
    :: me.reply == CONFLICT -> learn(me.writeOrder, me.writeStatus)
#endif
    :: else -> dropView()
    fi;
    me.isWriting = false;
    me.writeOrder = 0;
    me.writeRevision = 0;
    me.writeStatus = OPEN;
    me.reply = NO_REPLY;
    me.newRevision = 0
}

proctype Coordinate(byte r) {
    do
    :: atomic { !me.isActing -> me.isActing = true; me.needsRead = true; hearReports() }
       /* It is frozen, or another router has a smaller id. */
    :: atomic { me.isActing ->
           me.isActing = false;
           dropView();
           if
           :: me.intended == COMPLETED -> me.intended = OPEN
           :: else -> skip
           fi
       }
    :: atomic { !me.isWriting && !me.isActing -> readObject(); dropView() }
    :: atomic { !me.isWriting && me.isActing -> readObject() }
    :: atomic { me.isActing && !me.needsRead && me.intended == OPEN && me.verdicts[me.order] == OPEN &&
                me.status == OPEN ->
           if
           :: me.intended = COMPLETED
           :: me.intended = ROLLED_BACK
           fi;
           /* The write is based on what is read after the decision. */
           dropView()
       }
    :: atomic { me.isActing && !me.isWriting && !me.needsRead && me.status == OPEN &&
                (me.verdicts[me.order] != OPEN || me.intended != OPEN) ->
           if
           :: me.verdicts[me.order] != OPEN -> sendWrite(me.verdicts[me.order])
           :: else -> sendWrite(me.intended)
           fi
       }
    :: atomic { me.isWriting && me.reply == NO_REPLY -> acceptWrite() }
    :: atomic { me.isWriting && me.reply != NO_REPLY -> takeReply() }
    :: atomic { restarts == 0 && !isRestored && !me.isWriting ->
           restarts++;
           me.isActing = false;
           dropView();
           me.order = 0;
           me.intended = OPEN;
           me.verdicts[1] = OPEN;
           me.verdicts[2] = OPEN
       }
    od
}

active proctype Platform() {
end:
    do
    :: atomic { order < ORDERS && !isRestored -> order++; revision++ }
    :: atomic { !hasCopy && (statusOrder != order || status == OPEN) ->
           hasCopy = true;
           copyOrder = order;
           copyRevision = revision;
           copyStatus = status;
           copyStatusOrder = statusOrder
       }
    :: atomic { hasCopy && !isRestored && !routers[0].isWriting && !routers[1].isWriting &&
                IS_KNOWN(copyOrder) ->
           isRestored = true;
           order = copyOrder;
           revision = copyRevision;
           status = copyStatus;
           statusOrder = copyStatusOrder;
#ifndef MUTANT_OLD_VIEW
           routers[0].needsRead = true;
           routers[1].needsRead = true;
#endif
#ifndef MUTANT_FROZEN_ACTS
           routers[0].isActing = routers[0].isActing && routers[0].verdicts[order] == accepted[order];
           routers[1].isActing = routers[1].isActing && routers[1].verdicts[order] == accepted[order]
#else
           skip
#endif
       }
    od
}

init {
    atomic {
        routers[0].needsRead = true;
        routers[1].needsRead = true;
        run Coordinate(0);
        run Coordinate(1)
    }
}
