package logic

// What the outcome of an attempt says of its message, endpoint and destination.

const (
	latencyAlpha         = 0.3        // ours: weight of the newest call in an endpoint's smoothed latency
	connReuseInterval    = 5 * Second // ours: an endpoint called less often than this shares its connections
	rejectedShareAlpha   = 0.05       // ours: weight of the newest call in a kind's share of calls turned away
	initialRejectedShare = 0.15       // ours: the same among many senders, before any call tells
	// ours: price of a connection with each message above which none is given back
	highConnPrice    = 0.04
	errorDelayMicros = 100_000 // ours: pause of a message after an error, doubled with each try
)

func (s *Sender) handleResult(r AttemptResult) {
	m := s.messages[r.ID]
	if m == nil || m.attempt == nil || m.attempt.number != r.Attempt {
		return
	}
	a, e := m.attempt, m.attempt.endpoint
	lastOfCall := s.finishAttempt(a)
	kind := int(e.destination.kind)
	x, known := s.rejectedShare[kind]
	if s.manySenders && !known {
		x = initialRejectedShare
	}
	x *= 1 - rejectedShareAlpha
	if r.Outcome == Rejected && !s.rejectedUnexamined(r) {
		x += rejectedShareAlpha
	}
	s.rejectedShare[kind] = x
	s.recordConnRoom(a, r)
	s.applyLoadReport(e, r.Load)
	if r.Outcome != Rejected && r.Outcome != ConnRefused && r.Outcome != NotSent {
		m.mayHaveRun = true
	}
	if r.Outcome != ConnRefused && r.Outcome != NotSent {
		m.untried = false
	}
	if m.keyQueue != nil && (r.Outcome == TimedOut || r.Outcome == ConnBroken || r.Outcome == Cancelled) {
		m.keyQueue.quietUntil, m.keyQueue.quietOwner = max(m.keyQueue.quietUntil, s.now+s.settings.KeyQuiet), m
	}
	switch r.Outcome {
	case Completed:
		for _, h := range []*histogram{&e.destination.histogram, &s.classHistograms[m.classIndex]} {
			if a.countedLate {
				h.cutOffs--
			}
			h.add(s.now, r.Duration, false)
		}
		e.smoothedLatency += latencyAlpha * (float64(r.Duration) - e.smoothedLatency)
		if e.smoothedLatency == 0 {
			e.smoothedLatency = float64(r.Duration)
		}
		s.recordSuccess(e, a.sentAt)
		s.raisePace(e.limiter)
	case Rejected:
		if r.RetryAfter > 0 {
			e.limiter.waitUntil = max(e.limiter.waitUntil, s.now+r.RetryAfter)
		}
		if lastOfCall { // a batch is one call: one refusal
			if !s.rejectedUnexamined(r) { // says nothing of what the limit leaves
				s.reducePace(e.limiter)
			}
			s.recordRejection(e, r.RetryAfter)
		}
		switch {
		case r.MessageEnded || m.ended || !s.manySenders:
		case s.rejectedUnexamined(r):
			rest := Micros(errorDelayMicros) << min(m.tries, 5)
			m.notBefore = s.now + rest/2 + Micros(s.rng.Int64N(int64(rest)))
		case s.minPace(e.limiter) < minPaceRPS:
			s.retryRejected(m, e)
		}
	case Cancelled, TimedOut:
		if a.cutOff {
			if !a.countedLate {
				e.destination.histogram.add(s.now, s.now-a.sentAt, true)
			}
			e.smoothedLatency += latencyAlpha * max(0, float64(s.now-a.sentAt)-e.smoothedLatency)
		} else if a.stuck && e.lastSuccessAt < a.sentAt {
			s.recordFailure(e, "silent")
		}
	case ConnRefused:
		s.recordFailure(e, "refuses connections")
		if !e.ejected { // may be chance: the next try is soon, but not all of them within an instant
			m.notBefore = s.now + errorDelayMicros<<min(m.tries-1, 5)
		}
	case Errored, ConnBroken:
		s.recordFailure(e, "errors")
		m.notBefore = s.now + errorDelayMicros<<min(m.tries, 5)
	}
	// Connections of many senders, idle ones counted, fill an endpoint: those that we use rarely are given back,
	// unless new ones are dear and the kind has room.
	e.idleConnUntil = s.now + s.settings.ConnIdle
	n := len(e.sentTimes)
	give := s.settings.ConnPrice < highConnPrice && (n < 2 || s.now-e.sentTimes[n-2] > connReuseInterval)
	if s.manySenders && e.inflight == 0 && (give || !s.keepsIdleConn(e)) {
		e.idleConnUntil = s.now
		s.emit(Release{e.id})
	}
	if r.MessageEnded || m.ended {
		s.forgetMessage(m)
		return
	}
	if m.mayHaveRun && m.class.Effect == Keyed { // else a short window would pass unused
		m.notBefore = min(m.notBefore, s.now+(m.firstMayHaveRunAt+m.class.Window-s.now)/2)
	}
	s.endIfUnretryable(m)
}
