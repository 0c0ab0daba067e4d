package logic

// Which endpoint of its destination a message goes to.

import (
	"math"
	"slices"
)

const (
	slowLatencyMultiple = 3.0        // ours: an endpoint this much slower than its best sibling is passed over
	slowRetryInterval   = 4 * Second // ours: but tried again after this
)

// trySend tries the endpoints of m's destination in rotation and reports whether one took it.
func (s *Sender) trySend(m *message) bool {
	d := m.destination
	best := math.Inf(1)
	for _, e := range d.endpoints {
		if e.smoothedLatency > 0 && !e.ejected {
			best = min(best, e.smoothedLatency)
		}
	}
	var pick *endpoint
	rank := 99
	for i := range d.endpoints {
		e := d.endpoints[(d.nextEndpoint+i)%len(d.endpoints)]
		ok, at := s.maySend(m, e)
		if !ok {
			s.wakeBy(at)
			continue
		}
		r := 0
		if !s.joinsOpenCall(e) {
			r++ // a call that leaves anyway comes first
		}
		if s.manySenders && (s.now >= e.idleConnUntil || int(e.inflight) >= max(s.settings.ConnCalls, 1)) {
			r++ // among many senders connections rarely last until the rotation comes round again
		}
		if e == m.lastEndpoint {
			r += 4 // a resend goes elsewhere where it can
		}
		if e.consecutiveRejections > 1 {
			r += 2 // refuses while others may not: draining, or a route at its limit
		}
		if e.smoothedLatency > slowLatencyMultiple*best && s.now < e.lastSentAt+slowRetryInterval {
			r += 2
		}
		if r < rank {
			rank, pick = r, e
		}
	}
	if pick == nil {
		return false
	}
	if m.tries == 0 && rank > 0 {
		d.nextEndpoint = (slices.Index(d.endpoints, pick) + 1) % len(d.endpoints)
	}
	s.sendTo(m, pick)
	return true
}

func (s *Sender) sendTo(m *message, e *endpoint) {
	cold := s.now >= e.idleConnUntil || int(e.inflight) >= max(s.settings.ConnCalls, 1) // needs a new connection
	if !s.joinsOpenCall(e) {
		e.openCall = &call{step: s.step}
		s.slotsInUse++
		e.limiter.tokens--
		e.limiter.inflight++
		e.inflight++
		s.recordCall(e)
		e.limiter.phase = s.rng.Float64()
		if e.ejected {
			s.backOffTrials(e)
		}
	}
	a, give := s.addAttempt(m, e), m.deadline-s.now
	a.newConn = cold
	if !s.settings.MayCancel && m.class.Effect != Unsafe {
		give = min(give, 2*s.stuckAfter(e.destination, m)) // nothing can be called off here: let it time out
	}
	s.emit(CallOut{ID: a.message.id, GiveUp: give, Endpoint: e.id})
	// looked at in time even if nothing else happens until then
	s.wakeBy(s.now + s.stuckAfter(e.destination, m) + 1)
}
