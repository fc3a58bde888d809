/* Slots of one backend server between two VMs, and credits between two regions (docs/design.md, D1
 * and D6), with pauses of any length. Time is a counter that advances at any moment.
 *
 * The model covers pauses, not link cuts: a cut link gives two owners by design, and the backend
 * server's own shedding handles the overlap.
 *
 * Mutations that must fail:
 *   NO_LEASE_WAIT     the new owner starts without waiting for the lease
 *   NO_WAKE_CHECK     a woken owner starts work without checking the length of its pause
 *   NO_CREDIT_CHECK   a woken holder uses a credit without checking its expiry
 */
#define LEASE 2
#define VALID 2
#define MARGIN 1
#define END 9

byte now = 0;

/* The first owner sends a heartbeat at every instant at which it runs. */
bool paused = false;
byte ownerSent = 0;          /* Its last heartbeat, by which it also measures its pauses. */
bool ownerMayStart = true;
byte heard = 0;              /* The successor last heard the owner. */
bool successorOwns = false;

/* Credit: one unit that the granter gives out again once it has expired. */
bool holderPaused = false;
byte requested = 0;
byte granted = 0;
bool requestSent = false;
bool granting = false;
bool holding = false;
bool reissued = false;

active proctype Clock()
{
    do
    /* A VM that runs sends its heartbeat before the next instant begins. */
    :: atomic { now < END && (paused || ownerSent == now) -> now++ }
    :: now >= END -> break
    od
}

active proctype Owner()
{
    do
    :: atomic { !paused -> paused = true }
    :: atomic { paused -> paused = false;
#ifndef NO_WAKE_CHECK
        if
        :: now - ownerSent > LEASE -> ownerMayStart = false
        :: else -> skip
        fi;
#endif
        /* No heartbeat before the check: the successor would take it for undisturbed ownership. */
        ownerSent = now;
        heard = now }
    :: atomic { !paused && ownerSent != now -> ownerSent = now; heard = now }
    :: atomic { !paused && ownerMayStart && ownerSent == now ->
        assert(!successorOwns) /* Starts work on the slots. */ }
    :: atomic { !paused && !ownerMayStart && ownerSent == now && !successorOwns ->
        ownerMayStart = true /* Has heard its peer, which has released the slots. */ }
    :: now >= END -> break
    od
}

active proctype Successor()
{
    do
#ifdef NO_LEASE_WAIT
    :: atomic { !successorOwns && heard < now && paused -> successorOwns = true }
#else
    :: atomic { !successorOwns && now - heard > LEASE -> successorOwns = true }
#endif
    :: atomic { successorOwns && heard == now && !paused -> successorOwns = false }
    :: now >= END -> break
    od
}

#ifdef NO_CREDIT_CHECK
#define creditValid true
#else
#define creditValid (now <= requested + VALID)
#endif

active proctype Holder()
{
    do
    :: atomic { !holderPaused -> holderPaused = true }
    :: atomic { holderPaused -> holderPaused = false }
    :: atomic { !holderPaused && !requestSent -> requestSent = true; requested = now }
    :: atomic { !holderPaused && holding && creditValid -> assert(!reissued) /* Uses the credit. */ }
    :: now >= END -> break
    od
}

active proctype Granter()
{
    do
    :: atomic { requestSent && !granting -> granting = true; granted = now; holding = true }
    :: atomic { granting && now > granted + VALID + MARGIN -> reissued = true }
    :: now >= END -> break
    od
}
