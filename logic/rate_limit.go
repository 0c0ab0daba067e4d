package logic

// Rate limits: the pace of a destination, which halves on refusals and creeps back, and its even share of a
// told limit.

import (
	"math"
)

const (
	minPaceRPS        = 1.0        // design: calls a second
	paceInterval      = Second     // design: the span of the first pace, and between two halvings
	idleCreditSpan    = Second / 2 // ours: what an idle pace saves up; more of it meets limits in bursts
	paceGrowth        = 0.1        // ours: growth of the pace with each success
	evenShareUsed     = 0.9        // ours: the same among many senders with nothing of the limit left ...
	limitLeftFactor   = 1.6        // ours: ... and what all of it left adds to that
	evenShareHeadroom = 1.25       // ours: a told limit bounds the pace to this many even shares of it
	// ours: a pace this many times what is sent sets nothing any more and is dropped
	dropPaceMultiple = 4.0
	maxMeanRest      = 8 * Second // ours: longest mean rest of a lane after a refusal, among many senders
	downRejections   = 4          // ours: refusals in a row that look like a shut destination ...
	// ours: ... when they span this, more than a limit's window leaves empty
	downRejectionSpanMicros = 1500_000
	// ours: a told wait past this is a shut destination, not a limit's window
	downWait = 2 * Second
	// ours: share above which a refused message of mean worth is not tried again
	maxRetryRejectedShare = 0.2
	newConnsBeforeKeeping = 60   // ours: new connections after one was refused until any is kept again
	newConnsForHalfKept   = 10.0 // ours: new connections let in until every second one is kept
	minRestShare          = 0.1  // ours: least mean part of its time left that a refused message rests
)

// paceAllowsAt says when the lane may take its next call.
func (s *Sender) paceAllowsAt(l *limiter) Micros {
	r, save := l.pace, 1.0
	if l.limit > 0 { // where a limit is told, it bounds the pace from the start
		lim := l.limit
		if s.settings.Weights == WeightsRough && !l.limitReported {
			lim *= 1.5
		}
		// It is for all senders together. Among few, traffic is even enough for the share to be so; among many,
		// one sender's of a short while is not: it takes more while answers tell that some of the limit is left.
		switch share := lim / float64(s.settings.Senders); {
		case !s.manySenders:
			lim = min(lim, evenShareHeadroom*share)
		case s.settings.LimitLeftIndex >= 0:
			lim = min(lim, evenShareUsed*share+l.limitLeft*max(limitLeftFactor*share, 1/seconds(s.shortestAim)))
			save = 1 + l.limitLeft
		}
		if r == 0 || r > lim {
			r = lim
		}
	}
	if r == 0 {
		return 0
	}
	l.tokens = min(l.tokens+r*seconds(s.now-l.refilledAt), max(save, r*seconds(idleCreditSpan)))
	l.refilledAt = s.now
	if l.tokens >= 1-1e-9 {
		return 0
	}
	return s.now + toMicros((1-l.tokens)/r*float64(Second)) + 1
}

// reducePace slows a lane down: the pace starts at the last second's rate and is halved at most once a
// second.
func (s *Sender) reducePace(l *limiter) {
	if s.now < l.halvedAt+paceInterval && l.pace > 0 {
		return
	}
	switch f := s.minPace(l); {
	// many: rest, or all that come keep the limit used up
	case s.manySenders && f < minPaceRPS && l.waitUntil <= s.now:
		l.pace = max(f, 1/seconds(maxMeanRest))
	case s.manySenders && f < minPaceRPS || l.pace == 0:
		l.pace = max(f, float64(countAfter(l.sentTimes, s.now-paceInterval)))
	default:
		l.pace = max(f, l.pace/2)
	}
	l.halvedAt = s.now
	s.paceAllowsAt(l)
	// Others were refused too: the next call comes half a pace early or late, or up to one after a wait.
	l.tokens = min(l.tokens, s.rng.Float64()-0.5)
	if l.waitUntil > s.now {
		l.refilledAt, l.tokens = l.waitUntil, l.tokens+0.5
	}
}

// minPace is one call a second, but no more than an even share of a limit that is told: with many senders at
// a destination that counts refused calls, floors alone would use the limit up.
func (s *Sender) minPace(l *limiter) float64 {
	if l.limit > 0 {
		return min(minPaceRPS, l.limit/float64(s.settings.Senders))
	}
	return minPaceRPS
}

func (s *Sender) raisePace(l *limiter) {
	if l.pace == 0 {
		return
	}
	l.pace += paceGrowth * max(l.pace, l.limit/float64(s.settings.Senders))
	if s.manySenders && s.minPace(l) < minPaceRPS ||
		l.pace > dropPaceMultiple*float64(countAfter(l.sentTimes, s.now-paceInterval)+1) {
		l.pace = 0
	}
}

// rejectedUnexamined says whether many senders' connections left no room for a call: its limit was not looked
// at, so the refusal tells neither a wait nor a report.
func (s *Sender) rejectedUnexamined(r AttemptResult) bool {
	return s.manySenders && r.Outcome == Rejected && r.RetryAfter == 0 && len(r.Load) == 0 &&
		s.settings.LimitIndex >= 0
}

// recordConnRoom notes what an attempt tells of the room for connections at a kind.
func (s *Sender) recordConnRoom(a *attempt, r AttemptResult) {
	switch k := int(a.endpoint.destination.kind); {
	case s.rejectedUnexamined(r) || s.settings.LimitIndex < 0 && r.Outcome == Rejected && r.RetryAfter == 0:
		s.newConnsAccepted[k] = -newConnsBeforeKeeping
	case a.newConn:
		s.newConnsAccepted[k]++
	}
}

// keepsIdleConn says whether an idle connection is kept. Who keeps one meets no refusal, so that a fleet in
// which all keep theirs learns too late that it fills a kind: each keeps the more, the more new ones were let
// in.
func (s *Sender) keepsIdleConn(e *endpoint) bool {
	n := float64(s.newConnsAccepted[int(e.destination.kind)])
	return n > 0 && s.rng.Float64() < n/(n+newConnsForHalfKept)
}

// retryRejected decides on a refused message where the floors of all senders add up past the limit. Calls
// tried again, by clients too, use up limits that count refusals. While the kind turns few away, a message
// rests for a part of its time left, so that clumps spread; with more, only the worthier do.
func (s *Sender) retryRejected(m *message, e *endpoint) {
	x := s.rejectedShare[int(e.destination.kind)]
	if x > maxRetryRejectedShare*m.class.Worth/s.meanWorth {
		s.emit(Fail{ID: m.id})
		s.forgetMessage(m)
		return
	}
	part := (minRestShare + x) * (0.5 + s.rng.Float64())
	m.notBefore = max(s.now, e.limiter.waitUntil) + Micros(part*float64(m.deadline-s.now))
}

// recordRejection notes a refusal; refusals in a row over longer than a limit's window, or a long told wait,
// mean shut. Many senders come too rarely to tell by four: those that were refused twice would topple what
// opens again.
func (s *Sender) recordRejection(e *endpoint, wait Micros) {
	e.consecutiveRejections++
	l := e.limiter
	if l.consecutiveRejections < math.MaxUint16 {
		l.consecutiveRejections++
	}
	if l.consecutiveRejections == 1 {
		l.firstRejectedAt = s.now
	}
	if e.ejected || wait > downWait || (l.consecutiveRejections >= downRejections ||
		s.manySenders && l.consecutiveRejections > 1) &&
		s.now-l.firstRejectedAt > downRejectionSpanMicros {
		e.lastFailureAt = s.now
		s.markDown(e, "refuses all")
		s.markSiblingsHealthy(e)
	}
}
