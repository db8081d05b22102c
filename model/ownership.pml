/*
 * Ownership by the order of a lane, and at most one dispatch of a once-call.
 *
 * Model                     Code
 * fold step (CLAIM)         shard_apply(), apply_claim() in shard_fold.c
 * fold step (INTENT)        apply_intent() in program_state.c
 * claim                     claim_queue() in takeover.c
 * intent, sent again        intent_begin(), pending_lane_end()
 * dispatch                  intent_confirmed() in intent.c
 * restart                   a new process: nothing but the log is left
 *
 * A pause is a process that takes no step for a while, which the checker
 * covers anyway. An append that takes effect late is an append later on.
 * Left out: sequence numbers, outcomes, snapshots, several keys.
 *
 * Check: spin -a ownership.pml && gcc -O2 -DSAFETY -o pan pan.c && ./pan
 * Broken variants that must fail: spin -DEARLY -a (dispatch before the intent
 * is read back), spin -DREPEAT -a (an open intent is sent by a successor).
 */
#define RECORDS 5
#define VMS 2
#define RESTARTS 1
#define NOBODY 255

mtype = { CLAIM, INTENT };

mtype type[RECORDS];
byte epoch_of[RECORDS];
byte writer[RECORDS];
byte end;
byte runs;

inline append(kind, number, who)
{
	type[end] = kind;
	epoch_of[end] = number;
	writer[end] = who;
	end++
}

proctype vm(byte id)
{
	byte me = id;
	byte position = 0;
	byte epoch = 0;
	byte owner = NOBODY;
	byte sent = 0; /* epoch of the own intent; 0: none */
	byte restarts = 0;
	bool intent = false;
	bool dispatch = false;

	do
	:: d_step { position < end ->
		if
		:: type[position] == CLAIM &&
		   epoch_of[position] == epoch + 1 ->
			epoch++;
			owner = writer[position]
		:: type[position] == INTENT &&
		   epoch_of[position] == epoch && !intent ->
			intent = true;
			if
			:: writer[position] == me -> dispatch = true
			:: else -> skip
			fi
		:: else -> skip
		fi;
		position++
	   }
	:: d_step { end < RECORDS && owner != me ->
		append(CLAIM, epoch + 1, me)
	   }
#ifdef REPEAT
	:: d_step { owner == me && intent && sent == 0 ->
		sent = epoch;
		dispatch = true
	   }
#endif
	:: d_step { end < RECORDS && owner == me && !intent &&
		(sent == 0 || sent == epoch) ->
		sent = epoch;
		append(INTENT, epoch, me);
#ifdef EARLY
		dispatch = true
#endif
	   }
	:: d_step { dispatch ->
		dispatch = false;
		runs++;
		assert(runs <= 1)
	   }
	:: d_step { restarts < RESTARTS ->
		restarts++;
		me = me + VMS;
		position = 0;
		epoch = 0;
		owner = NOBODY;
		sent = 0;
		intent = false;
		dispatch = false
	   }
	:: end == RECORDS && position == end && !dispatch -> break
	od
}

init {
	atomic {
		run vm(0);
		run vm(1)
	}
}
