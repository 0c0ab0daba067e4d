package discovery

import "time"

// timing is how long a client waits for what.
//
// Where lists are asked for, the calls of a fleet add up at discovery, and pauses keep it from being overbooked. Where
// they are pushed, an agent on the sender's own machine answers at once and at no cost with what it has been sent, and
// what it has counts as known to the sender whether or not it was asked: every pause has to stay well under the drain's
// grace, and an agent that says nothing is one that has lost discovery.
type timing struct {
	firstPause        time.Duration // longest pause before the first call of a first start
	busyPause         time.Duration // mean pause after news from a discovery that is busy; 0 for none
	holdTime          time.Duration // how long a watch may wait for news ...
	answerMargin      time.Duration // ... and how much later its answer may come
	answerTimeout     time.Duration // until an answer begins that need not wait for news
	acceptanceDelay   time.Duration // a watch that is out for longer was accepted and waits for news
	stallTimeout      time.Duration // between the bytes of an answer that has begun
	initialBackoff    time.Duration // mean pause after an answer that can't be used, doubled with each ...
	maxBackoff        time.Duration // ... up to this
	renumberingDelay  time.Duration // for which answers older than the known list come until its count has begun anew
	limitTransferTime bool          // an answer may take no longer than one of twice the known list's size does
}

// Of the drain's grace, where lists are pushed, at most and at least.
const (
	// for a watch: one that has fallen silent, and an agent that is back from an outage under it, show within the grace
	pushedHoldFraction = 0.4
	minPushedHoldTime  = 100 * time.Millisecond

	pushedAnswerFraction   = 0.3 // for an answer that need not wait
	maxPushedAnswerTimeout = 300 * time.Millisecond
	minPushedAnswerTimeout = 50 * time.Millisecond

	pushedAcceptanceFraction = 0.1 // after which a watch is taken for accepted
	maxPushedAcceptanceDelay = 100 * time.Millisecond
	minPushedAcceptanceDelay = 20 * time.Millisecond

	pushedBackoffFraction = 0.15 // for a pause after an answer that can't be used
	maxPushedBackoff      = 150 * time.Millisecond
	minPushedBackoff      = 20 * time.Millisecond
)

// pushedRenumberingDelay is for how long an agent's answers have to be older than what is known until they are believed: what
// changed meanwhile counts as known after 6 s at the latest, and late answers of the list as it was do not go on so long.
const pushedRenumberingDelay = 5 * time.Second

// clampedFraction is a part of a span within bounds.
func clampedFraction(span time.Duration, part float64, least, most time.Duration) time.Duration {
	return min(max(time.Duration(float64(span)*part), least), most)
}

// pushedTiming is for lists that an agent pushes; grace is how long what begins to drain may still be called.
func pushedTiming(grace time.Duration) timing {
	backoff := clampedFraction(grace, pushedBackoffFraction, minPushedBackoff, maxPushedBackoff)
	answer := clampedFraction(grace, pushedAnswerFraction, minPushedAnswerTimeout, maxPushedAnswerTimeout)
	return timing{holdTime: clampedFraction(grace, pushedHoldFraction, minPushedHoldTime, watchHoldTime), answerMargin: answer, answerTimeout: answer, stallTimeout: answer,
		acceptanceDelay: clampedFraction(grace, pushedAcceptanceFraction, minPushedAcceptanceDelay, maxPushedAcceptanceDelay),
		initialBackoff:  backoff / 4, maxBackoff: backoff, renumberingDelay: pushedRenumberingDelay, limitTransferTime: true}
}

// requestedTiming is for lists that are asked for by so many senders.
func requestedTiming(senders int, grace time.Duration) timing {
	t := timing{holdTime: watchHoldTime, answerMargin: watchAnswerMargin, answerTimeout: listTimeout, acceptanceDelay: acceptanceDelay, stallTimeout: stallTimeout, initialBackoff: initialBackoff, maxBackoff: maxBackoff}
	if senders < SpreadMinSenders {
		return t
	}
	many := time.Duration(min(senders, 1000))
	t.holdTime, t.busyPause, t.firstPause = spreadWatchHoldTime, min(many*pausePerSender, maxBusyPause), min(many*pausePerSender, maxFirstPause)
	if many*serviceTimePerCall > maxFirstPause {
		// If discovery took one call after the other, no spread would do. It is as the protocol has it, with an
		// answer at once, and what begins to drain after the start may still be called for the grace.
		t.firstPause = min(t.firstPause, grace)
	}
	return t
}
