/* Promotions and adoption of revisions (docs/design.md, D7): one winner per revision, and a running
 * daemon never reverts.
 *
 * Mutations that must fail:
 *   UNCONDITIONAL_WRITE  the platform ignores If-Match
 *   ADOPT_ANY            a daemon adopts any revision that differs from its own
 */
#define OPERATORS 2
#define DAEMONS 2
#define NOBODY 0

mtype = { done, conflict };

/* Row: revision and the operation that wrote it. Operations are numbered from 1. */
byte rowRevision = 0;
byte rowOperation = NOBODY;
byte writer[4];          /* Who wrote each revision. */

byte revision[DAEMONS];
byte document[DAEMONS];  /* Operation whose document is in force. */
bool running[DAEMONS];

chan writes = [2] of { byte, byte };           /* Expected revision, operation. */
chan responses[OPERATORS] = [1] of { mtype };
chan notices[DAEMONS] = [2] of { byte, byte }; /* Revision and operation, from peers. */

inline lossySend(channel, first, second)
{
    if :: nfull(channel) -> channel ! first, second :: true -> skip fi
}

active proctype Platform()
{
    byte expected;
    byte operation;
    do
    :: atomic { writes ? expected, operation ->
        if
#ifdef UNCONDITIONAL_WRITE
        :: true ->
#else
        :: rowRevision == expected ->
#endif
            rowRevision = expected + 1;
            rowOperation = operation;
            assert(writer[rowRevision] == NOBODY); /* One winner per revision. */
            writer[rowRevision] = operation;
            if :: nfull(responses[operation - 1]) -> responses[operation - 1] ! done
               :: true -> skip /* The response is lost after the write took effect. */
            fi
#ifndef UNCONDITIONAL_WRITE
        :: else ->
            if :: nfull(responses[operation - 1]) -> responses[operation - 1] ! conflict
               :: true -> skip
            fi
#endif
        fi;
        expected = 0; operation = 0 }
    od
}

/* Promotes or drains once. A lost response is resolved by reading the row. */
proctype Operator(byte operation)
{
    byte base;
    byte tries = 0;
    mtype response;
    atomic { base = rowRevision };
    do
    :: atomic { tries < 2 && nfull(writes) -> tries++; writes ! base, operation }
    :: atomic { responses[operation - 1] ? response ->
        if
        :: response == done -> assert(writer[base + 1] == operation); break
        :: response == conflict && rowOperation == operation ->
            assert(writer[base + 1] == operation); break /* A copy of the write had won. */
        :: else -> break /* Lost the race, or a later write hides the outcome. */
        fi }
    :: atomic { tries > 0 && rowOperation == operation -> /* Read after a lost response. */
        assert(writer[base + 1] == operation); break }
    :: atomic { tries > 0 && rowRevision > base && rowOperation != operation -> break }
    od
}

inline adopt(self, newRevision, newDocument)
{
    if
#ifdef ADOPT_ANY
    :: newRevision != revision[self] && newRevision > 0 ->
#else
    :: newRevision > revision[self] ->
#endif
        assert(newRevision > revision[self]); /* Never reverts while running. */
        revision[self] = newRevision;
        document[self] = newDocument;
        /* One revision is one document everywhere. */
        assert(revision[0] != revision[1] || document[0] == document[1])
    :: else -> skip
    fi
}

proctype Daemon(byte self)
{
    byte newRevision;
    byte newDocument;
    byte restarts = 0;
    do
    :: atomic { running[self] && rowRevision != revision[self] ->
        adopt(self, rowRevision, rowOperation) }
    :: atomic { running[self] && notices[self] ? [newRevision, newDocument] ->
        notices[self] ? newRevision, newDocument;
        adopt(self, newRevision, newDocument);
        newRevision = 0; newDocument = 0 }
    :: atomic { running[self] && revision[self] > 0 && nfull(notices[1 - self]) ->
        lossySend(notices[1 - self], revision[self], document[self]) }
    :: atomic { running[self] && restarts < 1 -> /* All state is lost; old notices may remain. */
        restarts++;
        running[self] = false; revision[self] = 0; document[self] = NOBODY }
    :: atomic { !running[self] -> /* Partitioned from the platform: takes the peer's revision. */
        running[self] = true;
        if
        :: running[1 - self] -> adopt(self, revision[1 - self], document[1 - self])
        :: true -> skip /* No peer either: it refuses until it hears of a revision. */
        fi }
    od
}

init
{
    atomic {
        running[0] = true; running[1] = true;
        run Operator(1); run Operator(2);
        run Daemon(0); run Daemon(1)
    }
}
