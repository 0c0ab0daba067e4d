// This file holds the time limits and pauses of the calls for the list, for lists that are requested and for lists that
// an agent pushes.

package discovery

import "time"

// timing holds the time limits and pauses of a client.
//
// Where lists are requested, the calls of all senders add up at discovery, and pauses keep it from being overloaded.
// Where lists are pushed, an agent on the sender's own machine answers at once, at no cost, with the list that
// discovery has sent it. A change counts as known to the sender as soon as the agent has it, whether or not the sender
// has asked. Every pause therefore has to stay well under the drain grace, and an agent that does not answer has lost
// its connection to discovery.
type timing struct {
	firstPause      time.Duration // longest pause before the first call of a first start
	busyPause       time.Duration // mean pause after an update from an overloaded discovery; 0 for no pause
	holdTime        time.Duration // how long discovery may hold a watch open while nothing changes
	answerMargin    time.Duration // how much later than that the answer to a watch may begin
	answerTimeout   time.Duration // until an answer begins that need not wait for a change
	acceptanceDelay time.Duration // a watch without an answer for longer than this was accepted and waits for a change
	stallTimeout    time.Duration // between the bytes of an answer that has begun
	initialBackoff  time.Duration // mean pause after an unusable answer, doubled after each further one
	maxBackoff      time.Duration // upper bound of that mean
	// How long answers have to be older than the known list until discovery's generations count as restarted.
	renumberingDelay  time.Duration
	limitTransferTime bool // the transfer of an answer is limited to the time for twice the known list's size
}

// Fractions of the drain grace, with bounds, for lists that are pushed.
const (
	// Of holdTime: a watch without an answer, and an agent that is back after an outage during a watch, are noticed
	// within the grace.
	pushedHoldFraction = 0.4
	minPushedHoldTime  = 100 * time.Millisecond

	pushedAnswerFraction   = 0.3 // of answerTimeout, answerMargin and stallTimeout
	maxPushedAnswerTimeout = 300 * time.Millisecond
	minPushedAnswerTimeout = 50 * time.Millisecond

	pushedAcceptanceFraction = 0.1 // of acceptanceDelay
	maxPushedAcceptanceDelay = 100 * time.Millisecond
	minPushedAcceptanceDelay = 20 * time.Millisecond

	pushedBackoffFraction = 0.15 // of maxBackoff
	maxPushedBackoff      = 150 * time.Millisecond
	minPushedBackoff      = 20 * time.Millisecond
)

// pushedRenumberingDelay is how long an agent's answers have to be older than the known list until discovery's
// generations count as restarted: a change in the meantime counts as known after 6 s at the latest, and late answers
// with an earlier list do not continue for that long.
const pushedRenumberingDelay = 5 * time.Second

// clampedFraction returns a fraction of span, between minimum and maximum.
func clampedFraction(span time.Duration, fraction float64, minimum, maximum time.Duration) time.Duration {
	return min(max(time.Duration(float64(span)*fraction), minimum), maximum)
}

// pushedTiming returns the timing for lists that an agent pushes. grace is how long a draining endpoint may still be
// called.
func pushedTiming(grace time.Duration) timing {
	backoff := clampedFraction(grace, pushedBackoffFraction, minPushedBackoff, maxPushedBackoff)
	answerTimeout := clampedFraction(grace, pushedAnswerFraction, minPushedAnswerTimeout, maxPushedAnswerTimeout)
	return timing{holdTime: clampedFraction(grace, pushedHoldFraction, minPushedHoldTime, watchHoldTime),
		answerMargin: answerTimeout, answerTimeout: answerTimeout, stallTimeout: answerTimeout,
		acceptanceDelay: clampedFraction(grace, pushedAcceptanceFraction, minPushedAcceptanceDelay, maxPushedAcceptanceDelay),
		initialBackoff:  backoff / 4, maxBackoff: backoff, renumberingDelay: pushedRenumberingDelay, limitTransferTime: true}
}

// requestedTiming returns the timing for lists that are requested. senders is the number of senders that share
// discovery, and grace is how long a draining endpoint may still be called.
func requestedTiming(senders int, grace time.Duration) timing {
	t := timing{holdTime: watchHoldTime, answerMargin: watchAnswerMargin, answerTimeout: listTimeout,
		acceptanceDelay: acceptanceDelay, stallTimeout: stallTimeout, initialBackoff: initialBackoff, maxBackoff: maxBackoff}
	if senders < SpreadMinSenders {
		return t
	}
	fleetSize := time.Duration(min(senders, 1000))
	t.holdTime, t.busyPause, t.firstPause = spreadWatchHoldTime,
		min(fleetSize*pausePerSender, maxBusyPause), min(fleetSize*pausePerSender, maxFirstPause)
	if fleetSize*serviceTimePerCall > maxFirstPause {
		// If discovery served one call after the other, no pause could spread so many calls enough. It is assumed to
		// answer at once, as the protocol says. An endpoint that begins to drain after the start may still be called
		// for the grace, and the pause stays within that.
		t.firstPause = min(t.firstPause, grace)
	}
	return t
}
