package logic

// What the result of an attempt says about its message, its endpoint and its destination. A success adds
// its latency to the histograms and raises the pace. A rejection lowers the pace, and starts a
// retry-after wait if the endpoint asks for one. Errors, broken or refused connections and missing
// answers count as failures (ejection.go). The message is retried, after a delay where that helps, unless
// it has ended or may not be sent again.

const (
	// Weight of the newest call in an endpoint's smoothed latency.
	latencyAlpha = 0.3
	// Many senders: connections to an endpoint that is called less often than once in this time are
	// released, which makes room for other senders.
	connReuseInterval = 5 * Second
	// Weight of the newest call in a kind's share of rejected calls.
	rejectedShareAlpha = 0.05
	// Value of that share among many senders before the first result.
	initialRejectedShare = 0.15
	// With a higher Settings.ConnPrice, connections are not released for being used rarely.
	highConnPrice = 0.04
	// Delay of a message after an error, doubled with each attempt up to five times.
	errorDelayMicros = 100_000
)

// handleResult applies the result of an attempt. Results of unknown or earlier attempts are ignored.
func (s *Sender) handleResult(result AttemptResult) {
	m := s.messages[result.ID]
	if m == nil || m.attempt == nil || m.attempt.number != result.Attempt {
		return
	}
	a, e := m.attempt, m.attempt.endpoint
	lastOfCall := s.finishAttempt(a)
	kind := int(e.destination.kind)
	rejectedShare, known := s.rejectedShare[kind]
	if s.manySenders && !known {
		rejectedShare = initialRejectedShare
	}
	rejectedShare *= 1 - rejectedShareAlpha
	if result.Outcome == Rejected && !s.rejectedUnexamined(result) {
		rejectedShare += rejectedShareAlpha
	}
	s.rejectedShare[kind] = rejectedShare
	s.recordConnRoom(a, result)
	s.applyLoadReport(e, result.Load)
	if result.RetryAfter > 0 {
		e.limiter.waitUntil = max(e.limiter.waitUntil, s.now+result.RetryAfter)
	}
	if result.Outcome != Rejected && result.Outcome != ConnRefused && result.Outcome != NotSent {
		m.mayHaveRun = true
	}
	if result.Outcome != ConnRefused && result.Outcome != NotSent {
		m.untriedAtRestart = false
	}
	if m.keyQueue != nil && (result.Outcome == TimedOut || result.Outcome == ConnBroken ||
		result.Outcome == Cancelled) {
		m.keyQueue.quietUntil, m.keyQueue.quietOwner = max(m.keyQueue.quietUntil, s.now+s.settings.KeyQuiet), m
	}
	switch result.Outcome {
	case Completed:
		for _, h := range []*histogram{&e.destination.histogram, &s.classHistograms[m.classIndex]} {
			if a.countedLate {
				h.cutOffWeight--
			}
			h.add(s.now, result.Duration, false)
		}
		e.smoothedLatency += latencyAlpha * (float64(result.Duration) - e.smoothedLatency)
		if e.smoothedLatency == 0 {
			e.smoothedLatency = float64(result.Duration)
		}
		s.recordSuccess(e, a.sentAt)
		s.raisePace(e.limiter)
	case Rejected:
		if lastOfCall { // a batch is one call, so this is one rejection
			if !s.rejectedUnexamined(result) { // otherwise it says nothing about the limit
				s.reducePace(e.limiter)
			}
			s.recordRejection(e, result)
		}
		switch {
		case result.MessageEnded || m.ended || !s.manySenders:
		case s.rejectedUnexamined(result):
			delay := Micros(errorDelayMicros) << min(m.tries, 5)
			m.notBefore = s.now + delay/2 + Micros(s.rng.Int64N(int64(delay)))
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
		if !e.ejected { // may be chance: retry soon, but with a delay that grows
			m.notBefore = s.now + errorDelayMicros<<min(m.tries-1, 5)
		}
	case Errored, ConnBroken:
		s.recordFailure(e, "errors")
		m.notBefore = s.now + errorDelayMicros<<min(m.tries, 5)
	}
	// Connections of many senders, also idle ones, can use up those of an endpoint. An idle connection
	// is released if it is rarely used and new ones are cheap, or if the kind may lack room
	// (keepsIdleConn).
	e.idleConnUntil = s.now + s.settings.ConnIdle
	calls := len(e.sentTimes)
	release := s.settings.ConnPrice < highConnPrice &&
		(calls < 2 || s.now-e.sentTimes[calls-2] > connReuseInterval)
	if s.manySenders && e.inflight == 0 && (release || !s.keepsIdleConn(e)) {
		e.idleConnUntil = s.now
		s.emit(Release{e.id})
	}
	if result.MessageEnded || m.ended {
		s.forgetMessage(m)
		return
	}
	if m.mayHaveRun && m.class.Effect == Keyed { // otherwise a short window would pass without a retry
		m.notBefore = min(m.notBefore, s.now+(m.firstMayHaveRunAt+m.class.Window-s.now)/2)
	}
	s.endIfUnretryable(m)
}
