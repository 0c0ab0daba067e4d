package logic

// The restart time τ of a destination, from the histogram of its latencies, and calls that are cut off.

import (
	"math"
)

const (
	histogramHalfLife  = 30 * Second // design: half-life of the latency histograms
	firstBinEdgeMicros = 2000        // ours: upper edge of the first bin, microseconds
	binRatio           = 1.25        // ours: each edge over the one before; finer bins need more samples
	binCount           = 48          // ours: the last edge lies near 70 s
	minTauSamples      = 12.0        // ours: samples before τ is; an early τ cuts healthy calls
	// ours: ⟨t⟩ at τ must be under this part of ⟨t⟩ of waiting; noise reaches 0.9
	maxTauRatio      = 0.85
	maxCutOffs       = 2          // ours: restarts of one message; each doubles the next limit
	stuckP95Multiple = 2.0        // ours: a call is stuck past this many times the 95th percentile ...
	minStuckAfter    = Second / 2 // ours: ... and this
	// ours: a stuck call is called off past this many times the time that made it so
	stuckCancelMultiple = 2
	defaultStuckAfter   = 2 * Second // ours: where no latency is known yet
)

var binEdges = func() (e [binCount]Micros) {
	x := float64(firstBinEdgeMicros)
	for i := range e {
		e[i] = Micros(x)
		x *= binRatio
	}
	return e
}()

func (h *histogram) add(now, took Micros, cut bool) {
	f := math.Exp2(-float64(now-h.updatedAt) / float64(histogramHalfLife))
	h.updatedAt = now
	h.bins.discount(f)
	h.total, h.cutOffs = h.total*f, h.cutOffs*f
	if cut {
		h.cutOffs++
	} else {
		h.addSample(binIndex(took))
		h.total++
	}
	h.recompute()
}

// recompute finds τ, the edge with the least mean time to an answer under unlimited restarts, and
// percentiles.
func (h *histogram) recompute() {
	h.tau, h.median, h.p95 = 0, 0, 0
	all := h.total + max(h.cutOffs, 0)
	var m0, m1 float64
	best, bestAt, wait := math.Inf(1), Micros(0), math.Inf(1)
	for i, edge := range binEdges {
		low := Micros(0)
		if i > 0 {
			low = binEdges[i-1]
		}
		w := h.bins.weight(i)
		m0 += w
		m1 += w * float64(low+edge) / 2
		if h.median == 0 && m0 >= h.total/2 {
			h.median = edge
		}
		if h.p95 == 0 && m0 >= 0.95*h.total {
			h.p95 = edge
		}
		if m0 == 0 {
			continue
		}
		p := m0 / all
		wait = (m1/all + float64(edge)*(1-p)) / p
		if wait < best {
			best, bestAt = wait, edge
		}
	}
	if h.total >= minTauSamples && best < maxTauRatio*wait {
		h.tau = bestAt
	}
}

// stuckAfter is the time after which an unanswered call speaks for an outage.
func (s *Sender) stuckAfter(d *destination, m *message) Micros {
	h := &d.histogram
	if h.total < minSamples {
		h = &s.classHistograms[m.classIndex]
	}
	if h.total < minSamples {
		return defaultStuckAfter
	}
	return max(Micros(stuckP95Multiple*float64(h.p95)), 3*h.median, minStuckAfter)
}

// cutOffLongCalls calls off attempts at τ, and those that hang at an endpoint that answers nothing.
func (s *Sender) cutOffLongCalls() {
	var oldest *attempt
	for _, a := range s.attempts {
		if a.cancelled || a.message.streaming {
			continue
		}
		e, age := a.endpoint, s.now-a.sentAt
		stuck := s.stuckAfter(e.destination, a.message)
		if !a.stuck && e.lastSuccessAt < a.sentAt {
			if a.stuck = age > stuck; a.stuck {
				// No outcome yet, so nothing is known to have failed: hold back, but set no budget.
				s.eject(e, "silent")
				s.markSiblingsHealthy(e)
			}
		}
		if !a.countedLate && age > stuckCancelMultiple*stuck {
			// Ours: a call still out past what is usual counts as lasting past τ until it answers. Else lost
			// answers, with all others quick, never show in the histogram and hold slots to their deadline.
			a.countedLate = true
			e.destination.histogram.add(s.now, age, true)
			s.classHistograms[a.message.classIndex].add(s.now, age, true)
		}
		if age <= stuckCancelMultiple*stuck {
			s.wakeBy(a.sentAt + 1 + stuck*Micros(1+min(age/max(stuck, 1), stuckCancelMultiple-1)))
		}
		if a.message.ended || !s.settings.MayCancel {
			continue
		}
		if a.message.class.Effect == Unsafe {
			if age > stuckCancelMultiple*stuck && (oldest == nil || a.sentAt < oldest.sentAt) {
				oldest = a
			}
			continue
		}
		long := stuck << a.message.cutOffs
		if a.stuck && e.ejected && (age > stuckCancelMultiple*long || age > long && s.hasHealthySibling(e)) {
			a.message.cutOffs = min(a.message.cutOffs+1, maxCutOffs)
			s.cancelAttempt(a)
			continue
		}
		h := &e.destination.histogram
		if h.total < minTauSamples {
			h = &s.classHistograms[a.message.classIndex]
		}
		if h.tau > 0 && s.mayCutOff(a) {
			limit := max(h.tau<<a.message.cutOffs, long)
			if age > limit {
				a.cutOff = true
				a.message.cutOffs++
				s.cancelAttempt(a)
			} else {
				s.wakeBy(a.sentAt + limit + 1)
			}
		}
	}
	// An unsafe call cannot be sent again, so it may wait; but not with the last slot, while others could go.
	if oldest != nil && s.slotsInUse >= s.settings.Slots && s.settings.Slots > 0 {
		for _, m := range s.openMessages {
			if m.attempt == nil && m.destination != oldest.message.destination {
				s.cancelAttempt(oldest)
				break
			}
		}
	}
}

// mayCutOff: a restart must have attempts and time left, and must not add to the load of a destination that
// refuses or recovers, unless the call holds one of the last slots.
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
