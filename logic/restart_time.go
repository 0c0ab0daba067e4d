package logic

// The restart time τ (tau) of a destination. A running attempt that is older than τ, and as old as a
// stuck call, is cancelled and retried, to another endpoint if possible. τ is the time that gives the
// least expected time to an answer if every attempt is restarted at it, computed from a histogram of
// latencies in which old samples lose weight. It is used only where it is clearly better than waiting.
// Calls that get no answer for much longer than usual are stuck: they lead to ejection and are
// cancelled too.

import (
	"math"
)

const (
	// Half-life of the weight of samples in the latency histograms.
	histogramHalfLife = 30 * Second
	// Upper edge of the first bin.
	firstBinEdgeMicros = 2000
	// Each edge divided by the one before. Finer bins would need more samples.
	binRatio = 1.25
	// Number of edges; the last one is near 70 s. One more bin holds the latencies above it.
	binEdgeCount = 48
	// Weight of samples from which on τ is used. If it is used earlier, healthy calls are cut off.
	minTauSamples = 12.0
	// τ is used only if the expected time with it is below this share of the expected time by waiting.
	// Random variation alone reaches 0.9.
	maxTauRatio = 0.85
	// Cut-offs of one message at most. Each doubles the time limit of the next attempt.
	maxCutOffs = 2
	// A call is stuck when it is older than this many times the 95th percentile of latencies ...
	stuckP95Multiple = 2.0
	// ... and than this.
	minStuckAfter = Second / 2
	// A stuck call is cancelled at this many times the age at which it became stuck.
	stuckCancelMultiple = 2
	// Age at which a call is stuck where no latencies are known.
	defaultStuckAfter = 2 * Second
)

// binEdges are the upper edges of the histogram's bins.
var binEdges = func() (e [binEdgeCount]Micros) {
	x := float64(firstBinEdgeMicros)
	for i := range e {
		e[i] = Micros(x)
		x *= binRatio
	}
	return e
}()

// add discounts the old samples and adds one: an answered attempt with its latency, or one that was cut
// off.
func (h *histogram) add(now, latency Micros, cutOff bool) {
	factor := math.Exp2(-float64(now-h.updatedAt) / float64(histogramHalfLife))
	h.updatedAt = now
	h.bins.discount(factor)
	h.answeredWeight, h.cutOffWeight = h.answeredWeight*factor, h.cutOffWeight*factor
	if cutOff {
		h.cutOffWeight++
	} else {
		h.addSample(binIndex(latency))
		h.answeredWeight++
	}
	h.recompute()
}

// recompute computes τ and the percentiles. τ is the edge with the least expected time to an answer if
// every attempt is restarted at it. With share = answered/all, the share of attempts that are answered by
// an edge, that time is (latencySum/all + edge*(1-share)) / share. Its value at the last edge stands for
// waiting.
func (h *histogram) recompute() {
	h.tau, h.median, h.p95 = 0, 0, 0
	all := h.answeredWeight + max(h.cutOffWeight, 0)
	var answered, latencySum float64
	bestExpected, bestEdge, expected := math.Inf(1), Micros(0), math.Inf(1)
	for i, edge := range binEdges {
		lower := Micros(0)
		if i > 0 {
			lower = binEdges[i-1]
		}
		weight := h.bins.weight(i)
		answered += weight
		latencySum += weight * float64(lower+edge) / 2
		if h.median == 0 && answered >= h.answeredWeight/2 {
			h.median = edge
		}
		if h.p95 == 0 && answered >= 0.95*h.answeredWeight {
			h.p95 = edge
		}
		if answered == 0 {
			continue
		}
		share := answered / all
		expected = (latencySum/all + float64(edge)*(1-share)) / share
		if expected < bestExpected {
			bestExpected, bestEdge = expected, edge
		}
	}
	if h.answeredWeight >= minTauSamples && bestExpected < maxTauRatio*expected {
		h.tau = bestEdge
	}
}

// stuckAfter returns the age at which a call without an answer is a sign of an outage. It uses the
// latencies of the destination, else of the message's class.
func (s *Sender) stuckAfter(d *destination, m *message) Micros {
	h := &d.histogram
	if h.answeredWeight < minSamples {
		h = &s.classHistograms[m.classIndex]
	}
	if h.answeredWeight < minSamples {
		return defaultStuckAfter
	}
	return max(Micros(stuckP95Multiple*float64(h.p95)), 3*h.median, minStuckAfter)
}

// cutOffLongCalls cancels attempts that have passed the restart time, and stuck ones at endpoints that do
// not answer.
func (s *Sender) cutOffLongCalls() {
	var oldestUnsafe *attempt
	for _, a := range s.attempts {
		if a.cancelled || a.message.streaming {
			continue
		}
		e, age := a.endpoint, s.now-a.sentAt
		stuckAge := s.stuckAfter(e.destination, a.message)
		if !a.stuck && e.lastSuccessAt < a.sentAt {
			if a.stuck = age > stuckAge; a.stuck {
				// There is no outcome yet, so no failure is certain: eject the endpoint, but set no budget.
				s.eject(e, "silent")
				s.markSiblingsHealthy(e)
			}
		}
		if !a.countedLate && age > stuckCancelMultiple*stuckAge {
			// A call that is in flight for much longer than usual counts as one that lasts past τ,
			// until it is answered. Lost answers would otherwise never show in the histogram while all
			// other calls are quick, and would hold slots until their deadline.
			a.countedLate = true
			e.destination.histogram.add(s.now, age, true)
			s.classHistograms[a.message.classIndex].add(s.now, age, true)
		}
		if age <= stuckCancelMultiple*stuckAge {
			s.wakeBy(a.sentAt + 1 + stuckAge*Micros(1+min(age/max(stuckAge, 1), stuckCancelMultiple-1)))
		}
		if a.message.ended || !s.settings.MayCancel {
			continue
		}
		if a.message.class.Effect == Unsafe {
			if age > stuckCancelMultiple*stuckAge && (oldestUnsafe == nil || a.sentAt < oldestUnsafe.sentAt) {
				oldestUnsafe = a
			}
			continue
		}
		stuckLimit := stuckAge << a.message.cutOffs
		if a.stuck && e.ejected && (age > stuckCancelMultiple*stuckLimit ||
			age > stuckLimit && s.hasHealthySibling(e)) {
			a.message.cutOffs = min(a.message.cutOffs+1, maxCutOffs)
			s.cancelAttempt(a)
			continue
		}
		h := &e.destination.histogram
		if h.answeredWeight < minTauSamples {
			h = &s.classHistograms[a.message.classIndex]
		}
		if h.tau > 0 && s.mayCutOff(a) {
			cutOffLimit := max(h.tau<<a.message.cutOffs, stuckLimit)
			if age > cutOffLimit {
				a.cutOff = true
				a.message.cutOffs++
				s.cancelAttempt(a)
			} else {
				s.wakeBy(a.sentAt + cutOffLimit + 1)
			}
		}
	}
	// An unsafe call cannot be retried, so it may wait. But it may not hold the last slot while messages for
	// other destinations could be sent.
	if oldestUnsafe != nil && s.slotsInUse >= s.settings.Slots && s.settings.Slots > 0 {
		for _, m := range s.openMessages {
			if m.attempt == nil && m.destination != oldestUnsafe.message.destination {
				s.cancelAttempt(oldestUnsafe)
				break
			}
		}
	}
}

// mayCutOff reports whether an attempt may be cut off at the restart time. The message must have attempts
// and time left. The retry must not add to the load of a destination that rejects or recovers, unless
// the call holds one of the last slots.
func (s *Sender) mayCutOff(a *attempt) bool {
	m, e := a.message, a.endpoint
	if m.cutOffs >= maxCutOffs || s.settings.MaxTries > 0 && m.tries >= s.settings.MaxTries {
		return false
	}
	if s.slotsInUse < s.settings.Slots && (e.limiter.pace > 0 || e.recovering) {
		return false
	}
	if m.class.Effect == Keyed && s.now > m.firstMayHaveRunAt+m.class.Window-Second {
		return false
	}
	return m.deadline-s.now > 2*max(s.usualLatency(m), e.destination.histogram.tau)
}
