/* The takeover between controllers, for Spin (docs/standby.md, "Model", maps the steps to functions).
 *
 * One active controller and two standbys, the leader's key with its lease, and one machine. Messages
 * take any time, are lost up to a bound, and of different controllers overtake each other. A
 * controller may stand still between any two steps: interleaving is the pause. Time is left out but
 * for one thing that the settings give: authority ends before the state service lets the lease end.
 *
 * Judged: a term has one decider; once a controller has decided about the machine, the machine takes
 * no order of an earlier term; once troubles end, some controller decides for good.
 * -DNO_FENCE: a standby decides on suspicion. -DNO_CHECK: it decides without asking the machine.
 * Both must fail. */
#define CONTROLLERS 3
#ifndef MOST_EXPIRIES
#define MOST_EXPIRIES 1 /* leases that end although their holder lives */
#endif
#ifndef MOST_CRASHES
#define MOST_CRASHES 1
#endif
#ifndef MOST_LOSSES
#define MOST_LOSSES 1
#endif
#ifndef MOST_RESTARTS
#define MOST_RESTARTS 1 /* of the machine */
#endif
#define MOST_TERMS 8

mtype = { CHECK, ORDER };

/* The state service: who holds the key (0: nobody), and its revision. */
byte holder = 0;
byte term = 0;
/* By the holder's own clock. */
bool authority[CONTROLLERS];
bool crashed[CONTROLLERS];
byte expiries = 0, crashes = 0, losses = 0, restarts = 0;

/* kind, term, life of the machine as the sender knows it */
chan to_machine[CONTROLLERS] = [1] of { mtype, byte, byte };
/* newest term heard, life */
chan to_controller[CONTROLLERS] = [1] of { byte, byte };

/* Judge. */
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
    /* fencing: the lease is over by the state service's word, and the term is recorded */
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
    /* an answer to an earlier question of this controller, or one that a later leader was first for */
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
       /* it may stand still here, with the order decided and not sent */
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

/* The guard. */
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
    /* answers of an earlier question that nobody waits for any more */
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
