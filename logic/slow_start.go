package logic

// Slow start. A destination that returns from an outage has a part of its capacity only (ColdFrom), which
// grows to all of it over WarmAfter, and too many calls in FallWindow would overload it again. What this
// sender may send is its share of that: FallMultiple times the current capacity times FallWindow, divided
// by the number of senders. Where that share is less than one call, the window is made longer.

import (
	"math"
	"slices"
)

const (
	// Part of its traffic since the outage began that a sender may send at once, at the return ...
	trafficShareAtReturn = 0.9
	// ... and once the whole capacity is back.
	trafficShareRecovered = 2.0
	// How much of the time since the last message counts in the rate of the messages.
	idleTimeShare = 0.1
	// If senders that saw the outage sent more than this share of the calls that overload a destination, it
	// is they who broke the rule.
	toldShare = 2.0 / 3
)

// budgetAllowsAt returns when the budget of the slow start allows m to be sent to e; 0 if now or if
// there is no budget. The recovering endpoints of a limiter share one budget, since they are overloaded
// together. An endpoint that is not known to have been healthy during the outage of another counts as
// recovering too.
func (s *Sender) budgetAllowsAt(m *message, e *endpoint) Micros {
	if e.recovering && !e.ejected && s.now >= e.returnedAt+s.settings.WarmAfter {
		e.recovering, e.suspected = false, false
	}
	if !e.recovering && !e.destination.hadOutage {
		return 0
	}
	lastFailureAt := lastFailureOfRecovering(e)
	if !e.mayBeCold(lastFailureAt) {
		return 0
	}
	group, window := s.coldGroupOf(e, lastFailureAt), s.settings.FallWindow
	sentTimes := group.sentTimes
	capacity := s.estimatedCapacity(e) * float64(max(group.endpoints, 1))
	// Calls in the window for each call a second of capacity, at the current stage of the recovery.
	callsPerRate := s.settings.FallMultiple *
		(s.settings.ColdFrom + (1-s.settings.ColdFrom)*group.recovered) * seconds(window)
	maxCalls := s.budgetShare(callsPerRate*capacity, group.suspected)
	if maxCalls < 1 {
		// Many senders: this sender's share is its part of all messages since the outage began. These parts
		// add up to the whole traffic, however many senders noticed the outage. The one call goes in a
		// longer window, at a random time in it.
		ownRate := (trafficShareAtReturn + (trafficShareRecovered-trafficShareAtReturn)*group.recovered) *
			s.rateSinceOutage(e)
		maxCalls = max(maxCalls, callsPerRate*min(ownRate, capacity/2))
		window = clampMicros(float64(window) / min(maxCalls, 1))
		// A clump may reach all senders at the same time, also such as have paused for long.
		at := max(e.limiter.waitUntil, e.destination.lastOutageAt, m.receivedAt)
		if n := len(sentTimes); n > 0 {
			at = max(at, sentTimes[n-1]+window/2)
		}
		if maxCalls < 1 {
			return at + Micros(e.limiter.phase*float64(window))
		}
	}
	if n := countAfter(sentTimes, s.now-window); float64(n+1) > maxCalls {
		return sentTimes[len(sentTimes)-n] + window + 1
	}
	return 0
}

// rateSinceOutage returns the rate of the messages for e, in messages a second, since the last outage of its
// destination began. While no message arrives it falls slowly only: the time at which it allows the next
// call would otherwise recede faster than time passes, and a sender that got one message would never send it.
func (s *Sender) rateSinceOutage(e *endpoint) float64 {
	d := e.destination
	lastArrivalAt := max(d.lastUsedAt, d.lastOutageAt)
	span := seconds(lastArrivalAt-d.lastOutageAt+assumedOutage) + idleTimeShare*seconds(s.now-lastArrivalAt)
	rate := float64(d.arrivals) / span
	if e.limiter != d.limiter {
		rate /= float64(len(d.endpoints))
	}
	return rate
}

// coldGroup is what the endpoints that share a budget have in common.
type coldGroup struct {
	endpoints int
	recovered float64  // share of the time to full capacity that has passed since the return, 0 to 1
	sentTimes []Micros // send times of recent calls, in order
	suspected bool     // no outage is certain
}

// coldGroupOf returns the group of e: all endpoints of its limiter that may be cold. The trial calls of an
// ejected endpoint show whether its siblings share its outage, so they are not counted together with the
// siblings' calls.
func (s *Sender) coldGroupOf(e *endpoint, lastFailureAt Micros) coldGroup {
	group := coldGroup{recovered: 1, suspected: true}
	for _, x := range e.destination.endpoints {
		mayBeCold := x == e || x.recovering || !e.ejected && x.mayBeCold(lastFailureAt)
		if x.limiter != e.limiter || !mayBeCold {
			continue
		}
		group.endpoints++
		group.sentTimes = append(group.sentTimes, x.sentTimes...)
		switch {
		case x.ejected && !e.hasReturned():
			group.recovered = 0
		case x.ejected: // the answers of e show that the destination has returned
			group.recovered = min(group.recovered, s.recoveredShare(e))
		case x.recovering:
			group.recovered = min(group.recovered, s.recoveredShare(x))
		}
		if x.recovering && !x.suspected {
			group.suspected = false
		}
	}
	slices.Sort(group.sentTimes)
	return group
}

// hasReturned reports whether e is not ejected and has answered since the last outage of its
// destination began.
func (e *endpoint) hasReturned() bool {
	return !e.ejected && e.returnedAt > e.destination.lastOutageAt
}

// recoveredShare returns which share of the time to full capacity has passed since e returned.
func (s *Sender) recoveredShare(e *endpoint) float64 {
	return seconds(s.now-e.returnedAt) / seconds(s.settings.WarmAfter)
}

// budgetShare returns this sender's share of n, the calls in a window that the rule allows. Where n is small,
// what chance may add to it is large, and has room for a call of each of few senders. If no outage is
// certain, a sender takes its share of all that the rule leaves to senders that were told of one.
func (s *Sender) budgetShare(n float64, suspected bool) float64 {
	senders := float64(s.settings.Senders)
	toldShareOfBound := toldShare * overloadBound(n) / senders
	if !suspected {
		toldShareOfBound = min(math.Floor(toldShareOfBound), 1)
	}
	return max(n/senders, toldShareOfBound)
}

// lastFailureOfRecovering returns the last failure of the recovering endpoints that share the limiter of e;
// distantPast if there is none.
func lastFailureOfRecovering(e *endpoint) Micros {
	last := distantPast
	for _, x := range e.destination.endpoints {
		if x.recovering && x.limiter == e.limiter {
			last = max(last, x.lastFailureAt)
		}
	}
	return last
}

// mayBeCold reports whether e is recovering, or is not known to be healthy since lastFailureAt, the last
// failure of its recovering siblings.
func (e *endpoint) mayBeCold(lastFailureAt Micros) bool {
	return e.recovering || lastFailureAt > e.lastHealthyAt
}

// overloadBound returns how many calls in a window overload a destination that may be sent n calls in it:
// more than n by what chance may add.
func overloadBound(n float64) float64 {
	if n < 30 {
		return n + 3*math.Sqrt(n) + 3
	}
	return n + 2*math.Sqrt(n) + 2
}

// estimatedCapacity returns a low estimate of the calls a second that an endpoint can take from all
// senders: its part of the known limit, or else of the highest rate that this sender has reached.
func (s *Sender) estimatedCapacity(e *endpoint) float64 {
	capacity := e.limiter.limit
	if capacity == 0 {
		capacity = max(e.limiter.peakRate, minPaceRPS)
	} else if s.settings.Weights == WeightsRough && !e.limiter.limitReported {
		capacity /= 1.5
	}
	if e.limiter == e.destination.limiter {
		capacity /= float64(max(len(e.destination.endpoints), 1))
	}
	return capacity
}
