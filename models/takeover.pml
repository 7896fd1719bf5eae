/* Spin model of the takeover of leadership between controllers (docs/standby.md, "Model", maps the
 * steps to functions).
 *
 * The model has one active controller, two standbys, the leader's key with its lease, and one machine.
 * Messages have unbounded delay, a bounded number of them is lost, and messages of different
 * controllers may overtake each other. A pause of a controller between any two steps is modeled by the
 * interleaving of processes. Time is not modeled, except for one property that the settings ensure: a
 * leader's authority ends before the state service lets its lease expire.
 *
 * Checked properties: a term has at most one controller that makes decisions; once a controller has
 * made a decision about the machine, the machine accepts no command of an earlier term; once faults
 * stop, some controller eventually stays the one that makes decisions.
 * -DNO_FENCE: a standby makes decisions when it only suspects the leader of having failed.
 * -DNO_CHECK: a new leader makes decisions without first asking the machine for its state.
 * Verification must fail with either of them. */
#define CONTROLLERS 3
#ifndef MOST_EXPIRIES
#define MOST_EXPIRIES 1 /* leases that expire although their holder is running */
#endif
#ifndef MOST_CRASHES
#define MOST_CRASHES 1
#endif
#ifndef MOST_LOSSES
#define MOST_LOSSES 1
#endif
#ifndef MOST_RESTARTS
#define MOST_RESTARTS 1 /* restarts of the machine */
#endif
#define MOST_TERMS 8

mtype = { CHECK, ORDER };

/* The state service: `holder` is the leader key's holder, the controller's index + 1 (0: no holder);
 * `term` is the key's revision. */
byte holder = 0;
byte term = 0;
/* Whether each controller has authority according to its own clock. */
bool authority[CONTROLLERS];
bool crashed[CONTROLLERS];
byte expiries = 0, crashes = 0, losses = 0, restarts = 0;

/* Requests to the machine: kind, term, and the machine's incarnation that the sender knows. */
chan to_machine[CONTROLLERS] = [1] of { mtype, byte, byte };
/* The machine's answers: the highest term that it has received since its start, and its
 * incarnation. */
chan to_controller[CONTROLLERS] = [1] of { byte, byte };

/* State of the checks: for each term, the controller that made decisions (its index + 1); the highest
 * term with decisions; and whether each controller currently makes decisions. */
byte decider[MOST_TERMS];
byte newest_decided = 0;
bool deciding[CONTROLLERS];

inline decided(me, my_term) {
    assert(decider[my_term] == 0 || decider[my_term] == me + 1);
    decider[my_term] = me + 1;
    if
    :: my_term > newest_decided -> newest_decided = my_term
    :: else
    fi
}

proctype Lease() {
end_lease:
    do
    :: atomic { holder != 0 && !authority[holder - 1] -> holder = 0 }
    :: atomic {
           holder != 0 && authority[holder - 1] && crashed[holder - 1] ->
           authority[holder - 1] = false
       }
    :: atomic {
           holder != 0 && authority[holder - 1] && !crashed[holder - 1] && expiries < MOST_EXPIRIES ->
           authority[holder - 1] = false;
           expiries++
       }
    od
}

proctype Controller(byte me) {
    byte my_term = 0, heard, life, sent_life;
follow:
    deciding[me] = false;
end_follow:
    if
    /* fencing: the state service has ended the lease of the previous leader and records the new term */
    :: atomic {
           holder == 0 ->
           holder = me + 1;
           term++;
           my_term = term;
           authority[me] = true
       }
#ifdef NO_FENCE
    :: atomic {
           holder != 0 && holder != me + 1 && newest_decided == term ->
           my_term = term + 1;
           authority[me] = true
       }
#endif
    :: atomic { crashes < MOST_CRASHES -> crashes++; crashed[me] = true } goto ended
    fi;
    heard = 0;
check:
#ifndef NO_CHECK
    do
    :: atomic { to_controller[me] ? heard, life -> } break
    :: atomic {
           empty(to_machine[me]) && empty(to_controller[me]) && authority[me] ->
           to_machine[me] ! CHECK, my_term, 0
       }
    :: !authority[me] -> goto follow
    :: atomic { crashes < MOST_CRASHES -> crashes++; crashed[me] = true } goto ended
    od;
    /* A lower term: the answer belongs to an earlier request of this controller. A higher term: the
     * machine has already received a request of a later leader. Both answers are ignored. */
    if
    :: heard == my_term
    :: heard < my_term -> goto check
    :: heard > my_term && authority[me] -> goto check
    :: !authority[me] -> goto follow
    fi;
#else
    life = 1;
#endif
    do
    :: atomic {
           authority[me] ->
           decided(me, my_term);
           deciding[me] = true;
           sent_life = life
       }
       /* The controller may pause here, after the decision and before the command is sent. */
       if
       :: atomic { nfull(to_machine[me]) -> to_machine[me] ! ORDER, my_term, sent_life }
       :: full(to_machine[me])
       fi
    :: atomic { !authority[me] -> deciding[me] = false } goto follow
    :: atomic { crashes < MOST_CRASHES -> crashes++; crashed[me] = true; deciding[me] = false }
       goto ended
    od;
ended:
    skip
}

/* The machine with its guard: it ignores messages of terms below the highest one that it has received
 * (`seen`), and commands for another incarnation than its current one (`life`). */
proctype Machine() {
    byte seen = 0, life = 1, its_term, its_life, from = 0;
    mtype kind;
end_again:
    do
    :: atomic {
           to_machine[0] ? kind, its_term, its_life -> from = 0
       } goto take
    :: atomic {
           to_machine[1] ? kind, its_term, its_life -> from = 1
       } goto take
    :: atomic {
           to_machine[2] ? kind, its_term, its_life -> from = 2
       } goto take
    :: atomic { restarts < MOST_RESTARTS -> restarts++; life++; seen = 0 }
    /* loss of an answer to controller 0 or of a request of controller 1 */
    :: atomic { losses < MOST_LOSSES && nempty(to_controller[0]) -> to_controller[0] ? _, _; losses++ }
    :: atomic { losses < MOST_LOSSES && nempty(to_machine[1]) -> to_machine[1] ? _, _, _; losses++ }
    od;
take:
    atomic {
        if
        :: its_term < seen
        :: its_term >= seen && kind == CHECK -> seen = its_term
        :: its_term >= seen && kind == ORDER && its_life != life
        :: its_term >= seen && kind == ORDER && its_life == life ->
           assert(its_term >= newest_decided);
           seen = its_term
        fi;
        if
        :: kind == CHECK && nfull(to_controller[from]) -> to_controller[from] ! seen, life
        :: kind == CHECK && full(to_controller[from])
        :: kind == ORDER
        fi
    }
    goto end_again
}

init {
    atomic {
        run Lease();
        run Machine();
        run Controller(0);
        run Controller(1);
        run Controller(2)
    }
}

ltl takeover_ends { <>[](deciding[0] || deciding[1] || deciding[2]) }
