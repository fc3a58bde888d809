/* Execution of one idempotency key (docs/design.md, D5): at most once, and not-run stays true.
 *
 * Mutations that must fail:
 *   SPLIT_SEAL_CHECK    the deputy checks the seal and notes the intent in two steps
 *   IGNORE_INCARNATION  a restarted deputy answers for the keys of its preceding incarnation
 */
mtype = { copy, intent, runResult, notRunResult, accepted, refused };
mtype = { none, pending, running, sealed, finished };

chan toIssuer = [2] of { mtype };
chan toDeputy = [2] of { mtype };      /* Intent notes and result notes. */
chan replies = [2] of { mtype, bit };  /* Reply and the deputy's incarnation. */
chan queries = [2] of { mtype };

mtype issuerState = none;
mtype deputyState = none;
bit deputyIncarnation = 0;             /* The key names incarnation 0. */
bool issuerAlive = true;

byte starts = 0;
bool mayHaveRun = false;
bool notRunHeard = false;

/* A full channel loses the message. */
inline send(channel, message) { if :: nfull(channel) -> channel ! message :: full(channel) fi }

inline sayNotRun() { assert(!mayHaveRun); notRunHeard = true }

inline startRun()
{
    starts++;
    assert(starts == 1);
    assert(!notRunHeard);
    mayHaveRun = true
}

proctype Issuer()
{
    mtype reply;
    bit incarnation;
    do
    :: atomic { toIssuer ? copy ->
        if
        :: issuerState == none -> issuerState = pending; send(toDeputy, intent)
        :: issuerState == sealed -> sayNotRun()
        :: else -> skip /* Joins the execution or gets the recorded answer. */
        fi }
    :: atomic { replies ? reply, incarnation ->
        if
        :: issuerState == pending && reply == accepted && incarnation == 0 ->
            issuerState = running;
            startRun()
        :: issuerState == pending && !(reply == accepted && incarnation == 0) ->
            issuerState = sealed;
            sayNotRun()
        :: else -> skip
        fi }
    :: atomic { issuerState == pending -> /* Timeout or unreachable deputy. */
        issuerState = sealed;
        sayNotRun();
        send(toDeputy, notRunResult) }
    :: atomic { issuerState == running -> issuerState = finished; send(toDeputy, runResult) }
    :: atomic { issuerState == running -> /* The backend server shed the request. */
        issuerState = sealed;
        mayHaveRun = false;
        sayNotRun();
        send(toDeputy, notRunResult) }
    :: atomic { issuerAlive = false; break }
    od
}

#ifdef IGNORE_INCARNATION
#define namesThisRun true
#else
#define namesThisRun (deputyIncarnation == 0)
#endif

inline answerIntent(verdict)
{
    if
    :: nfull(replies) ->
#ifdef IGNORE_INCARNATION
        replies ! verdict, 0
#else
        replies ! verdict, deputyIncarnation
#endif
    :: full(replies)
    fi
}

proctype DeputyNotes()
{
    bool free;
    do
#ifdef SPLIT_SEAL_CHECK
    :: atomic { toDeputy ? intent -> free = namesThisRun && deputyState != sealed };
       atomic {
        if
        :: free -> deputyState = pending; answerIntent(accepted)
        :: else -> answerIntent(refused)
        fi }
#else
    :: atomic { toDeputy ? intent ->
        free = namesThisRun && (deputyState == none || deputyState == pending);
        if
        :: free -> deputyState = pending; answerIntent(accepted)
        :: else -> answerIntent(refused)
        fi }
#endif
    :: atomic { toDeputy ? runResult ->
        if
        :: namesThisRun && (deputyState == none || deputyState == pending) -> deputyState = finished
        :: else -> skip
        fi }
    :: atomic { toDeputy ? notRunResult ->
        if
        :: namesThisRun && (deputyState == none || deputyState == pending) -> deputyState = sealed
        :: else -> skip
        fi }
    od
}

proctype DeputyQueries()
{
    do
    :: atomic { queries ? copy ->
        if
        :: namesThisRun && (deputyState == none || deputyState == sealed) ->
            deputyState = sealed;
            sayNotRun()
        :: else -> skip /* Outcome-unknown or the recorded answer. */
        fi }
    :: atomic { deputyIncarnation == 0 -> deputyIncarnation = 1; deputyState = none }
    od
}

/* An entry VM sends up to three copies, each to the issuer or to the deputy. */
proctype Entry()
{
    byte copies = 0;
    do
    :: atomic { copies < 3 -> copies++; send(toIssuer, copy) }
    :: atomic { copies < 3 -> copies++; send(queries, copy) }
    :: copies >= 3 -> break
    od
}

proctype Network()
{
    mtype message;
    bit incarnation;
    do
    :: toIssuer ? message
    :: toDeputy ? message
    :: replies ? message, incarnation
    :: atomic { toDeputy ? intent -> toDeputy ! intent; send(toDeputy, intent) } /* Duplicate. */
    :: atomic { nempty(toDeputy) -> toDeputy ? message; toDeputy ! message }      /* Reorder. */
    od
}

init
{
    atomic {
        run Issuer();
        run DeputyNotes();
        run DeputyQueries();
        run Entry();
        run Entry();
        run Network()
    }
}
