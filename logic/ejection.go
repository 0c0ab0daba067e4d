package logic

// Outlier ejection. An endpoint that seems to be down is ejected: it gets single trial calls, further and
// further apart, until one is answered. Single calls fail by chance everywhere, so an endpoint is ejected
// only for a run of failures that is too improbable at the usual failure rate, for a high share of
// failures, for calls that get no answer, for lasting rejections, or if no answer of its destination has
// come for long enough that an outage may have begun and ended since. After an outage the endpoint is
// recovering and its traffic is budgeted (slow_start.go).

import (
	"math"
)

const (
	// Weight of the newest outcome in an endpoint's failure rate.
	failureRateAlpha = 0.07
	// Weight of the newest call in the share of calls that fail by chance.
	chanceFailureAlpha = 0.02
	// Lower bound of that share where the probability of a run of failures is computed.
	minChanceFailureRate = 0.01
	// Upper bound of that share there.
	maxChanceFailureRate = 0.3
	// A run of failures that is less probable than this by chance is an outage.
	outageProbability = 0.0002
	// A run of failures that is less probable than this keeps unsafe messages away.
	doubtProbability = 0.05
	// An endpoint that answered within this time is not ejected for a few refused connections.
	freshAnswerAge = Second
	// A failure rate above this is an outage.
	outageFailureRate = 0.45
	// An endpoint that answered before and after a failure within this time was not down in between.
	minOutage = 3 * Second
	// How long an outage is assumed to have lasted before this sender noticed it.
	assumedOutage = 5 * Second
	// Unsafe messages avoid an endpoint whose failure rate is this far above the share that fails by
	// chance.
	unsafeFailureMargin = 0.15
	// Time from the ejection to the first trial call.
	firstTrialIntervalMicros = 400_000
	// Longest time between two trial calls.
	maxTrialInterval = 2 * Second
	// distantPast stands for a time before anything happened. It leaves room to subtract from it.
	distantPast = Micros(math.MinInt64 / 2)
)

// ejectionAllowsAt returns when ejection allows m to be sent to e; 0 if now. It first ejects the
// endpoints of the destination with a suspected outage, whose first trial call is allowed at once. An
// ejected endpoint gets one call at a time, at its trial times, and trial calls take at most two thirds
// of the slots. Unsafe messages wait until their aim has passed before they go to an ejected or
// doubtful endpoint.
func (s *Sender) ejectionAllowsAt(m *message, e *endpoint) Micros {
	for _, x := range e.destination.endpoints {
		if s.outageSuspected(x) {
			s.eject(x, "failed, no answer since")
			s.markRecovering(x)
			x.suspected, x.nextTrialAt = true, s.now
			// The budget counts from the failure, or from the first message after a pause.
			x.destination.lastOutageAt = max(m.receivedAt, x.lastFailureAt)
		}
	}
	if e.ejected && (e.inflight > 0 || s.trialsInFlight() >= max(1, s.settings.Slots*2/3)) {
		return never
	}
	doubt := e.failureRate > s.chanceFailureRate+unsafeFailureMargin ||
		s.failureRunProbability(e) < doubtProbability
	if m.class.Effect == Unsafe && (doubt || e.isDown()) && s.now < m.receivedAt+m.class.Aim {
		return m.receivedAt + m.class.Aim
	}
	if e.ejected {
		return e.nextTrialAt
	}
	// Outages mostly affect all endpoints of a destination: once one has failed, the others get one call at
	// a time until they answer.
	if e.inflight > 0 && e.destination.hadOutage && e.limiter == e.destination.limiter {
		for _, x := range e.destination.endpoints {
			if x.ejected && x.lastFailureAt > e.lastSuccessAt {
				return never
			}
		}
	}
	return 0
}

// recordSuccess records an answer to a call that was sent at sentAt. While the endpoint is ejected, an
// answer to a call that was sent before the last failure does not count: a call that was in flight when
// the destination became unavailable would otherwise end the ejection while the outage still lasts.
func (s *Sender) recordSuccess(e *endpoint, sentAt Micros) {
	if e.ejected && sentAt < e.lastFailureAt {
		return
	}
	s.endDoubt(e, sentAt)
	if e.ejected {
		s.log("endpoint %d of %d answers again", e.id, e.destination.id)
		e.ejected, e.returnedAt = false, s.now
		e.trialInterval = 0
		// The failures of the outage are accounted for: one more chance failure is not a new outage.
		e.failureRate = min(e.failureRate, s.chanceFailureRate)
	}
	if !e.recovering && !e.hasReturned() && sentAt > e.destination.lastOutageAt {
		e.returnedAt = s.now
	}
	// An answer while another endpoint is down may mean that e is healthy, or that the destination has returned.
	// That the other one fails again tells these cases apart (see markSiblingsHealthy).
	e.lastAnsweredSentAt = max(e.lastAnsweredSentAt, sentAt)
	e.lastSuccessAt = s.now
	s.chanceFailureRate -= chanceFailureAlpha * s.chanceFailureRate
	e.consecutiveFailures, e.consecutiveRejections, e.limiter.consecutiveRejections = 0, 0, 0
	e.failureRate *= 1 - failureRateAlpha
}

// recordFailure records a failure at e: an error, a broken or refused connection, or no answer. Networks
// break single calls everywhere, which says nothing about one endpoint. An outage is a run of failures
// that is too long to be chance, a failure rate above outageFailureRate, or a call without an answer. A
// shorter run is enough if e refuses connections and has not answered within freshAnswerAge. The reason
// is logged if e is ejected.
func (s *Sender) recordFailure(e *endpoint, reason string) {
	if s.banned[e.id] { // operators may be restarting it, which is no outage
		return
	}
	e.consecutiveFailures++
	e.limiter.lastFailureAt = s.now
	refusing := reason == "refuses connections" && e.lastSuccessAt < s.now-freshAnswerAge &&
		s.failureRunProbability(e) < doubtProbability
	e.lastFailureAt = s.now
	if e.consecutiveFailures == 1 && s.manySenders && !e.recovering { // may be the first failure of an outage
		e.destination.arrivals, e.destination.lastOutageAt = 1, s.now
	}
	e.failureRate += failureRateAlpha * (1 - e.failureRate)
	if e.isDown() || e.failureRate > outageFailureRate || s.failureRunProbability(e) < outageProbability ||
		refusing || reason == "silent" {
		s.markDown(e, reason)
		s.markSiblingsHealthy(e)
	} else if e.consecutiveFailures <= 2 { // further failures of a run say something about e only
		s.chanceFailureRate += chanceFailureAlpha * (1 - s.chanceFailureRate)
	}
}

// failureRunProbability returns how probable the current run of failures at e is by chance; 1 if there is
// none.
func (s *Sender) failureRunProbability(e *endpoint) float64 {
	return s.runProbability(int(e.consecutiveFailures))
}

// runProbability returns how probable a run of this many failures is by chance.
func (s *Sender) runProbability(run int) float64 {
	return math.Pow(min(max(s.chanceFailureRate, minChanceFailureRate), maxChanceFailureRate), float64(run))
}

// isDown reports whether e is ejected for more than failures that may be chance.
func (e *endpoint) isDown() bool { return e.ejected && !e.suspected }

// inDoubt reports whether there was a failure and no answer since that shows it to be chance.
func (l *limiter) inDoubt() bool {
	return l.lastFailureAt != distantPast && l.lastFailureAt >= l.lastSuccessAt
}

// mayHaveBeenDown reports whether the destination may have had an outage that is over at t: its calls have
// failed, and the last answer before is so old that an outage fits in between. One failure is enough,
// however probable it is by chance: the budget of the slow start binds each sender that has seen one.
func (l *limiter) mayHaveBeenDown(t Micros) bool {
	return l.inDoubt() && t >= l.lastSuccessAt+minOutage
}

// hasFailed reports whether the last call to e failed or was rejected.
func (e *endpoint) hasFailed() bool { return e.consecutiveFailures > 0 || e.consecutiveRejections > 0 }

// endDoubt records that e has answered a call that was sent at sentAt. If an outage may have ended by then,
// e and its siblings that have failed are recovering. An answer to a call that was sent before the last
// failure shows nothing.
func (s *Sender) endDoubt(e *endpoint, sentAt Micros) {
	l := e.limiter
	if sentAt < l.lastFailureAt {
		return
	}
	if l.mayHaveBeenDown(sentAt) || l.inDoubt() && e.ejected {
		for _, x := range e.destination.endpoints {
			if x.limiter == l && !x.recovering && x.hasFailed() {
				s.markRecovering(x)
				x.suspected, x.returnedAt = true, s.now
			}
		}
	}
	l.lastSuccessAt = s.now
}

// outageSuspected reports whether the last result of e is a failure, and no answer of an endpoint that
// shares its limiter has shown soon afterwards that it was chance. A later answer may mean that the
// destination has returned: if each sender continued as before, all together would overload it again. Among
// many senders, where each call that breaks by chance would be the last one for seconds, the broken calls in
// a row at all these endpoints also have to be improbable. A rejection is an answer, and never chance.
func (s *Sender) outageSuspected(e *endpoint) bool {
	l := e.limiter
	if e.ejected || !e.hasFailed() || !l.mayHaveBeenDown(s.now) {
		return false
	}
	if !s.manySenders || e.consecutiveRejections > 0 {
		return true
	}
	run := 0
	for _, x := range e.destination.endpoints {
		if x.limiter == l {
			run += int(x.consecutiveFailures)
		}
	}
	return (l.lastSuccessAt == distantPast || s.now > e.lastFailureAt+freshAnswerAge) &&
		s.runProbability(run) < doubtProbability
}

// markSiblingsHealthy marks siblings of e as healthy after e has failed again: those that have answered
// a call sent since its outage began. As e is still down, these answers do not mean that the
// destination has returned, so the siblings were not part of the outage.
func (s *Sender) markSiblingsHealthy(e *endpoint) {
	for _, x := range e.destination.endpoints {
		if e.recovering && x.limiter == e.limiter && !x.ejected &&
			x.lastAnsweredSentAt > e.destination.lastOutageAt {
			x.lastHealthyAt = s.now
		}
	}
}

// markDown treats an endpoint as down: it gets trial calls only, and a budget after its return.
func (s *Sender) markDown(e *endpoint, reason string) {
	s.eject(e, reason)
	s.markRecovering(e)
	e.suspected = false
}

// markRecovering makes e recovering: its calls are budgeted until WarmAfter has passed since its return.
func (s *Sender) markRecovering(e *endpoint) {
	if !e.recovering {
		e.recovering, e.destination.hadOutage = true, true
		e.destination.arrivals, e.destination.lastOutageAt = 1, s.now
	}
}

// eject marks e as ejected and logs why. The first trial call follows after firstTrialIntervalMicros.
func (s *Sender) eject(e *endpoint, reason string) {
	if !e.ejected {
		s.log("endpoint %d of %d out: %s; %d failures in a row, share %.2f, stray %.3f, answered %.2f s ago",
			e.id, e.destination.id, reason, e.consecutiveFailures, e.failureRate, s.chanceFailureRate,
			seconds(min(s.now-e.lastSuccessAt, 99*Second)))
		e.ejected, e.trialInterval, e.nextTrialAt, e.destination.hadOutage =
			true, firstTrialIntervalMicros, s.now+firstTrialIntervalMicros, true
	}
}

// backOffTrials sets the next trial call, after twice the last interval up to maxTrialInterval, with a
// random variation of up to 20 % either way so that senders do not try at the same time.
func (s *Sender) backOffTrials(e *endpoint) {
	e.trialInterval = min(2*max(e.trialInterval, firstTrialIntervalMicros), maxTrialInterval)
	e.nextTrialAt = s.now + e.trialInterval*Micros(80+s.rng.IntN(40))/100
}
