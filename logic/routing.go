package logic

// Which endpoint of its destination a message is sent to. First attempts rotate over the endpoints. Among
// those that maySend allows, the one with the lowest penalty is taken, and of equal ones the first in
// rotation. There are penalties for opening a new call, for a new connection (with many senders), for the
// endpoint of the attempt before, for rejections in a row, and for being much slower than the others.

import (
	"math"
	"slices"
)

const (
	// An endpoint this many times slower than the fastest of its destination is avoided.
	slowLatencyMultiple = 3.0
	// It is tried again this long after its last call, to see whether it has become faster.
	slowRetryInterval = 4 * Second
)

// trySend sends m to the best endpoint that may take it now, and reports whether there was one.
func (s *Sender) trySend(m *message) bool {
	d := m.destination
	bestLatency := math.Inf(1)
	for _, e := range d.endpoints {
		if e.smoothedLatency > 0 && !e.ejected {
			bestLatency = min(bestLatency, e.smoothedLatency)
		}
	}
	var pick *endpoint
	bestPenalty := 99
	for i := range d.endpoints {
		e := d.endpoints[(d.nextEndpoint+i)%len(d.endpoints)]
		ok, at := s.maySend(m, e)
		if !ok {
			s.wakeBy(at)
			continue
		}
		penalty := 0
		if !s.joinsOpenCall(e) {
			penalty++ // joining a call that is sent anyway is better
		}
		if s.manySenders && (s.now >= e.idleConnUntil || int(e.inflight) >= max(s.settings.ConnCalls, 1)) {
			penalty++ // with many senders, connections rarely stay open until the rotation returns to them
		}
		if e == m.lastEndpoint {
			penalty += 4 // a retry goes to another endpoint if possible
		}
		if e.consecutiveRejections > 1 {
			penalty += 2 // rejects while others may not: it may be draining, or a route at its limit
		}
		if e.smoothedLatency > slowLatencyMultiple*bestLatency && s.now < e.lastSentAt+slowRetryInterval {
			penalty += 2
		}
		if penalty < bestPenalty {
			bestPenalty, pick = penalty, e
		}
	}
	if pick == nil {
		return false
	}
	if m.tries == 0 && bestPenalty > 0 {
		d.nextEndpoint = (slices.Index(d.endpoints, pick) + 1) % len(d.endpoints)
	}
	s.sendTo(m, pick)
	return true
}

// sendTo starts an attempt of m at e, in the call that this Step has opened to e or in a new one.
func (s *Sender) sendTo(m *message, e *endpoint) {
	newConn := s.now >= e.idleConnUntil || int(e.inflight) >= max(s.settings.ConnCalls, 1)
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
	a, giveUp := s.addAttempt(m, e), m.deadline-s.now
	a.newConn = newConn
	if !s.settings.MayCancel && m.class.Effect != Unsafe {
		giveUp = min(giveUp, 2*s.stuckAfter(e.destination, m)) // it cannot be cancelled, so it has to time out
	}
	s.emit(CallOut{ID: a.message.id, GiveUp: giveUp, Endpoint: e.id})
	// Whether the call is stuck is checked in time even if no event comes until then.
	s.wakeBy(s.now + s.stuckAfter(e.destination, m) + 1)
}
