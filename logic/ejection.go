package logic

// Outlier ejection: endpoints that seem out get single trials only.

import (
	"math"
	"slices"
)

const (
	// ours: weight of the newest outcome in an endpoint's share of failures
	failureRateAlpha = 0.07
	// ours: weight of the newest call in the share of calls that fail by chance
	chanceFailureAlpha   = 0.02
	minChanceFailureRate = 0.01   // ours: it is never taken for less than this ...
	maxChanceFailureRate = 0.3    // ours: ... nor for more
	outageProbability    = 0.0002 // ours: a run of failures less likely by chance than this is an outage
	doubtProbability     = 0.05   // ours: and one less likely than this keeps unsafe messages away
	// ours: an answer this fresh speaks for an endpoint that refuses a connection
	freshAnswerAge    = Second
	outageFailureRate = 0.45 // ours: failing more than this is an outage
	// ours: what answered before and after it within this was not out between
	minOutage                = 3 * Second
	assumedOutage            = 5 * Second // ours: how long an outage lasted, beside the time since we saw it
	unsafeFailureMargin      = 0.15       // ours: unsafe messages keep away where it is this much above chance
	firstTrialIntervalMicros = 400_000    // ours: first pause between single trials
	maxTrialInterval         = 2 * Second // ours: and the longest
	distantPast              = Micros(math.MinInt64 / 2)
)

// ejectionAllowsAt holds messages back from an endpoint that seems out: single trials only, unsafe messages
// last.
func (s *Sender) ejectionAllowsAt(m *message, e *endpoint) Micros {
	for _, x := range e.destination.endpoints {
		if s.outageSuspected(x) {
			s.eject(x, "failed, no answer since")
			x.recovering, x.nextTrialAt = true, s.now
		}
	}
	if e.ejected {
		switch {
		case e.inflight > 0 || s.trialsInFlight() >= max(1, s.settings.Slots*2/3):
			return never
		case m.class.Effect == Unsafe && s.now < m.receivedAt+m.class.Aim:
			return m.receivedAt + m.class.Aim
		}
		return e.nextTrialAt
	}
	doubt := e.failureRate > s.chanceFailureRate+unsafeFailureMargin ||
		s.failureRunProbability(e) < doubtProbability
	if m.class.Effect == Unsafe && doubt && s.now < m.receivedAt+m.class.Aim {
		return m.receivedAt + m.class.Aim
	}
	// Outages mostly take all endpoints: after one has failed, the others are tried singly until they answer.
	if e.inflight > 0 && e.destination.hadOutage && e.limiter == e.destination.limiter {
		for _, x := range e.destination.endpoints {
			if x.ejected && x.lastFailureAt > e.lastSuccessAt {
				return never
			}
		}
	}
	return 0
}

// recordSuccess notes an answer to what was sent at a time. One sent before the last failure tells nothing of
// a return: else a call that was under way when a destination shut would end the watch before it opens.
func (s *Sender) recordSuccess(e *endpoint, sent Micros) {
	if e.ejected && sent < e.lastFailureAt {
		return
	}
	if e.ejected {
		s.log("endpoint %d of %d answers again", e.id, e.destination.id)
		e.ejected, e.returnedAt = false, s.now
		e.trialInterval = 0
		// what failed in the outage is dealt with: one break more is no new one
		e.failureRate = min(e.failureRate, s.chanceFailureRate)
	}
	// An answer while a sibling is out shows that e is well; one after its return may be of the return itself.
	// Many senders try the sibling too rarely to know which it is, until it fails again (proves).
	e.lastAnsweredSentAt = max(e.lastAnsweredSentAt, sent)
	if !s.manySenders && (!e.destination.hadOutage ||
		!slices.ContainsFunc(e.destination.endpoints, func(x *endpoint) bool {
			return x.recovering && !x.ejected && x.limiter == e.limiter && x.lastFailureAt > e.lastHealthyAt
		})) {
		e.lastHealthyAt = max(e.lastHealthyAt, sent)
	}
	e.lastSuccessAt = s.now
	s.chanceFailureRate -= chanceFailureAlpha * s.chanceFailureRate
	e.consecutiveFailures, e.consecutiveRejections, e.limiter.consecutiveRejections = 0, 0, 0
	e.failureRate *= 1 - failureRateAlpha
}

// recordFailure notes a sign of an outage at e: an error, a reset, no connection or no answer. Networks break
// single calls everywhere, which tells nothing of one endpoint: only a run too long for chance is an outage.
func (s *Sender) recordFailure(e *endpoint, how string) {
	if s.banned[e.id] { // operators restart it meanwhile: their doing, no outage
		return
	}
	e.consecutiveFailures++
	stale := how == "refuses connections" && e.lastSuccessAt < s.now-freshAnswerAge &&
		s.failureRunProbability(e) < doubtProbability
	e.lastFailureAt = s.now
	if e.consecutiveFailures == 1 && s.manySenders && !e.recovering { // maybe the first of an outage
		e.destination.arrivals, e.destination.lastOutageAt = 1, s.now
	}
	e.failureRate += failureRateAlpha * (1 - e.failureRate)
	if e.ejected || e.failureRate > outageFailureRate || s.failureRunProbability(e) < outageProbability ||
		stale || how == "silent" {
		s.markDown(e, how)
		s.markSiblingsHealthy(e)
	} else if e.consecutiveFailures <= 2 { // the rest of a run tells of e alone
		s.chanceFailureRate += chanceFailureAlpha * (1 - s.chanceFailureRate)
	}
}

// failureRunProbability is how likely the present run of failures at e is where nothing is out; 1 if there is
// none.
func (s *Sender) failureRunProbability(e *endpoint) float64 {
	return s.runProbability(int(e.consecutiveFailures))
}

func (s *Sender) runProbability(run int) float64 {
	return math.Pow(min(max(s.chanceFailureRate, minChanceFailureRate), maxChanceFailureRate), float64(run))
}

// outageSuspected says whether the last that the thin traffic of many senders told of e is a failure, and no
// answer of its lane showed soon after that it was chance. One that comes later may be of a return: each
// alone would go on as before, and all of them together topple what comes back.
func (s *Sender) outageSuspected(e *endpoint) bool {
	if !s.manySenders || e.ejected || e.consecutiveFailures == 0 {
		return false
	}
	run, ok := 0, distantPast
	for _, x := range e.destination.endpoints {
		if x.limiter == e.limiter {
			run, ok = run+int(x.consecutiveFailures), max(ok, x.lastSuccessAt)
		}
	}
	return ok <= e.lastFailureAt && s.now > ok+minOutage && (ok == distantPast ||
		s.now > e.lastFailureAt+freshAnswerAge) &&
		s.runProbability(run) < doubtProbability
}

// markSiblingsHealthy notes that the siblings of e that answered since its outage began are well: it is still
// out.
func (s *Sender) markSiblingsHealthy(e *endpoint) {
	for _, x := range e.destination.endpoints {
		if s.manySenders && e.recovering && x.limiter == e.limiter && !x.ejected &&
			x.lastAnsweredSentAt > e.destination.lastOutageAt {
			x.lastHealthyAt = s.now
		}
	}
}

// markDown takes an endpoint for out: from now on single trials, and after its return a budget.
func (s *Sender) markDown(e *endpoint, how string) {
	s.eject(e, how)
	s.markRecovering(e)
}

// markRecovering counts e as cold: budgeted until some time after its return.
func (s *Sender) markRecovering(e *endpoint) {
	if !e.recovering {
		e.recovering, e.destination.hadOutage = true, true
		e.destination.arrivals, e.destination.lastOutageAt = 1, s.now
	}
}

func (s *Sender) eject(e *endpoint, how string) {
	if !e.ejected {
		s.log("endpoint %d of %d out: %s; %d failures in a row, share %.2f, stray %.3f, answered %.2f s ago",
			e.id, e.destination.id, how, e.consecutiveFailures, e.failureRate, s.chanceFailureRate,
			seconds(min(s.now-e.lastSuccessAt, 99*Second)))
		e.ejected, e.trialInterval, e.nextTrialAt, e.destination.hadOutage =
			true, firstTrialIntervalMicros, s.now+firstTrialIntervalMicros, true
	}
}

func (s *Sender) backOffTrials(e *endpoint) {
	e.trialInterval = min(2*max(e.trialInterval, firstTrialIntervalMicros), maxTrialInterval)
	e.nextTrialAt = s.now + e.trialInterval*Micros(80+s.rng.IntN(40))/100
}
