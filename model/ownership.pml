/*
 * Model of how VMs own a shard through records in its lane, which is a totally
 * ordered log. It checks that a once-call (one that must not be repeated) is
 * dispatched at most once. Each VM folds the records in log order. A claim for
 * the next epoch makes its writer the owner, and an intent counts only if it
 * carries the current epoch.
 *
 * Model                     Code
 * fold step (CLAIM)         shard_apply(), apply_claim() in shard_fold.c
 * fold step (INTENT)        apply_intent() in program_state.c
 * claim                     claim_queue() in takeover.c
 * intent, sent or resent    intent_begin(), pending_lane_end()
 * dispatch                  intent_confirmed() in intent.c
 * restart                   a new process, which has only the log
 *
 * A pause needs no step of its own: the checker also explores the runs in which
 * a process takes no step for a while. An append that takes effect late is
 * modelled as a later append. Not modelled: sequence numbers, outcomes,
 * snapshots, more than one key.
 *
 * Check: spin -a ownership.pml && gcc -O2 -DSAFETY -o pan pan.c && ./pan
 * Two broken variants must fail the check: with spin -DEARLY -a, the owner
 * dispatches before it reads its intent back from the log; with
 * spin -DREPEAT -a, a new owner dispatches a call whose intent was left open.
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
	byte sent = 0; /* epoch of the last intent sent; 0: none */
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
