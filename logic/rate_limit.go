package logic

// Rate limits. Each limiter has a pace, the calls a second that this sender allows itself. The first
// rejection sets it to the rate of the last second, further ones halve it at most once a second, and
// successes raise it until it has no effect and is dropped. Where the destination's rate limit is known,
// the pace is also bounded by this sender's share of it, which is derived from its even share: the limit
// divided by the number of senders. Rejections also decide here when a rejected message is retried, when
// a destination counts as unavailable, and whether idle connections are kept.

import (
	"math"
)

const (
	// Lowest pace, calls a second.
	minPaceRPS = 1.0
	// The first pace is the number of calls in this span, and a pace is halved at most once in it.
	paceInterval = Second
	// Calls that an idle limiter saves up, as a span of its pace. With more, bursts would exceed the limit.
	idleCreditSpan = Second / 2
	// Growth of the pace with each success, as a share of it.
	paceGrowth = 0.1
	// Many senders: what a sender takes when nothing of the limit is left, in even shares of the limit.
	evenShareUsed = 0.9
	// Many senders: what a sender takes in addition when all of the limit is left, in even shares.
	limitLeftFactor = 1.6
	// Few senders: a known limit bounds the pace to this many even shares of it.
	evenShareHeadroom = 1.25
	// A pace of this many times the calls that are sent has no effect and is dropped.
	dropPaceMultiple = 4.0
	// Many senders: longest mean time between calls of a limiter after a rejection.
	maxMeanCallInterval = 8 * Second
	// Rejections in a row that look like an unavailable destination ...
	downRejections = 4
	// ... if they span more than this time: by then the window of a limit would have passed, and some
	// call would have been accepted.
	downRejectionSpanMicros = 1500_000
	// A retry-after wait longer than this means an unavailable destination, not the window of a limit.
	downWait = 2 * Second
	// Rate limits count the calls of such a span; a rejection above one tells no longer wait.
	limitWindow = Second
	// Share of a limit up to which it counts as used up: load reports are some time old.
	limitUsedUp = 0.1
	// Share of rejected calls above which a rejected message of mean worth is not retried.
	maxRetryRejectedShare = 0.2
	// New connections that have to be accepted after a rejected one before idle connections may be kept.
	newConnsBeforeKept = 60
	// Further new connections accepted until every second idle connection is kept.
	newConnsForHalfKept = 10.0
	// Lowest mean delay of a rejected message, as a share of the time that it has left.
	minRetryDelayShare = 0.1
)

// paceAllowsAt returns when the limiter allows its next call; 0 if now. It fills the token bucket up to
// now.
func (s *Sender) paceAllowsAt(l *limiter) Micros {
	rate, maxTokens := l.pace, 1.0
	if l.limit > 0 { // a known limit bounds the pace from the start
		limit := l.limit
		if s.settings.Weights == WeightsRough && !l.limitReported {
			limit *= 1.5
		}
		// The limit is for all senders together. Among few senders traffic is even enough for even shares.
		// Among many, the traffic of one sender varies from one moment to the next, so it takes more than
		// its even share while load reports say that some of the limit is left.
		switch share := limit / float64(s.settings.Senders); {
		case !s.manySenders:
			limit = min(limit, evenShareHeadroom*share)
		case s.settings.LimitLeftIndex >= 0:
			limit = min(limit, evenShareUsed*share+l.limitLeft*max(limitLeftFactor*share, 1/seconds(s.shortestAim)))
			maxTokens = 1 + l.limitLeft
		}
		if rate == 0 || rate > limit {
			rate = limit
		}
	}
	if rate == 0 {
		return 0
	}
	l.tokens = min(l.tokens+rate*seconds(s.now-l.refilledAt), max(maxTokens, rate*seconds(idleCreditSpan)))
	l.refilledAt = s.now
	if l.tokens >= 1-1e-9 {
		return 0
	}
	return s.now + clampMicros((1-l.tokens)/rate*float64(Second)) + 1
}

// reducePace lowers the pace after a rejection: the first pace is the rate of the last second, and a pace
// is halved at most once in paceInterval.
func (s *Sender) reducePace(l *limiter) {
	if s.now < l.paceReducedAt+paceInterval && l.pace > 0 {
		return
	}
	switch lowest := s.minPace(l); {
	// Many senders: wait long, since the first calls of all of them together would keep the limit used
	// up.
	case s.manySenders && lowest < minPaceRPS && l.waitUntil <= s.now:
		l.pace = max(lowest, 1/seconds(maxMeanCallInterval))
	case s.manySenders && lowest < minPaceRPS || l.pace == 0:
		l.pace = max(lowest, float64(countAfter(l.sentTimes, s.now-paceInterval)))
	default:
		l.pace = max(lowest, l.pace/2)
	}
	l.paceReducedAt = s.now
	s.paceAllowsAt(l)
	// Other senders were rejected too, so the next call is sent up to half an interval early or late,
	// or up to one interval after a retry-after wait.
	l.tokens = min(l.tokens, s.rng.Float64()-0.5)
	if l.waitUntil > s.now {
		l.refilledAt, l.tokens = l.waitUntil, l.tokens+0.5
	}
}

// minPace returns the lowest pace: one call a second, but no more than an even share of a known limit.
// Where rejected calls count against the limit, the lowest paces of many senders alone would otherwise
// use it up.
func (s *Sender) minPace(l *limiter) float64 {
	if l.limit > 0 {
		return min(minPaceRPS, l.limit/float64(s.settings.Senders))
	}
	return minPaceRPS
}

// raisePace raises the pace after a success and drops it once it has no effect. Among many senders whose
// even share is less than minPaceRPS it is dropped at once.
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

// rejectedUnexamined reports whether a call was rejected because the connections of many senders left no
// room for it. Such a rejection carries neither a wait nor a load report, and says nothing about the
// rate limit. It is recognized only where load reports carry the limit.
func (s *Sender) rejectedUnexamined(r AttemptResult) bool {
	return s.manySenders && r.Outcome == Rejected && r.RetryAfter == 0 && len(r.Load) == 0 &&
		s.settings.LimitIndex >= 0
}

// recordConnRoom records what a result says about the room for connections at the endpoints of a kind:
// the number of new connections accepted since one was rejected, less newConnsBeforeKept if one was.
func (s *Sender) recordConnRoom(a *attempt, r AttemptResult) {
	switch kind := int(a.endpoint.destination.kind); {
	case s.rejectedUnexamined(r) || s.settings.LimitIndex < 0 && r.Outcome == Rejected && r.RetryAfter == 0:
		s.newConnsSinceRejected[kind] = -newConnsBeforeKept
	case a.newConn:
		s.newConnsSinceRejected[kind]++
	}
}

// keepsIdleConn reports whether an idle connection to e is kept, by a random choice. A sender that keeps its
// connections sees no rejected ones, so that senders that all keep theirs notice too late that they use
// up a kind's connections. The more new connections were accepted, the more are kept.
func (s *Sender) keepsIdleConn(e *endpoint) bool {
	accepted := float64(s.newConnsSinceRejected[int(e.destination.kind)])
	return accepted > 0 && s.rng.Float64() < accepted/(accepted+newConnsForHalfKept)
}

// retryRejected decides whether and when a rejected message is retried, where the lowest paces of all
// senders add up to more than the limit. Retries, also those of clients, use up limits that count
// rejected calls. While few calls to the kind are rejected, the message waits for a random part of its
// time left, which spreads bursts. When more are rejected, only messages of higher worth are retried.
// The others fail, as clients would retry refused ones.
func (s *Sender) retryRejected(m *message, e *endpoint) {
	rejectedShare := s.rejectedShare[int(e.destination.kind)]
	if rejectedShare > maxRetryRejectedShare*m.class.Worth/s.meanWorth {
		s.emit(Fail{ID: m.id})
		s.forgetMessage(m)
		return
	}
	delayShare := (minRetryDelayShare + rejectedShare) * (0.5 + s.rng.Float64())
	m.notBefore = max(s.now, e.limiter.waitUntil) + Micros(delayShare*float64(m.deadline-s.now))
}

// limitExplains reports whether a rejection says by itself that a rate limit caused it: it names a wait no
// longer than the window of a limit, or its load report says that nothing is left of the limit.
func (s *Sender) limitExplains(r AttemptResult) bool {
	if r.RetryAfter > 0 {
		return r.RetryAfter <= limitWindow
	}
	return loadValue(r.Load, s.settings.LimitIndex) > 0 &&
		loadValue(r.Load, s.settings.LimitLeftIndex) <= limitUsedUp
}

// recordRejection records a rejection. One that the limit does not explain puts the destination in doubt,
// like a failure: it may have been unavailable since its last answer. Rejections in a row over more than the
// window of a limit, or a long retry-after wait, mean that the destination is unavailable. Many senders call
// too rarely for four in a row, so two are enough for them.
func (s *Sender) recordRejection(e *endpoint, r AttemptResult) {
	e.consecutiveRejections++
	l := e.limiter
	if e.ejected || !s.limitExplains(r) {
		l.lastFailureAt, e.lastFailureAt = s.now, s.now
	}
	if l.consecutiveRejections < math.MaxUint16 {
		l.consecutiveRejections++
	}
	if l.consecutiveRejections == 1 {
		l.firstRejectedAt = s.now
	}
	unavailable := e.isDown() || r.RetryAfter > downWait || (l.consecutiveRejections >= downRejections ||
		s.manySenders && l.consecutiveRejections > 1) &&
		s.now-l.firstRejectedAt > downRejectionSpanMicros
	if unavailable {
		e.lastFailureAt = s.now
		s.markDown(e, "refuses all")
		s.markSiblingsHealthy(e)
	}
}
