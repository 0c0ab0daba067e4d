package logic

// The conditions under which a message may be sent to an endpoint now. Every send passes maySend. It
// checks the state of the endpoint and the list, retry-after waits, the time that is left, order keys,
// and whether the message's effect allows a repeat. After that come the limits on load: slots,
// ejection, the budget of the slow start and the pace. For a condition that changes with time alone,
// maySend says when to check again. For others it says never, and they are checked again with the next
// event.

import (
	"math"
)

const (
	// never is a point in time that is not reached: only an event can change the result.
	never = Micros(math.MaxInt64)
)

// maySend reports whether m may be sent to e now and, if not, when to check again.
func (s *Sender) maySend(m *message, e *endpoint) (bool, Micros) {
	switch {
	case e.state != Ready || m.ended || m.attempt != nil: // one attempt at a time
		return false, never
	case s.banned[e.id]:
		return false, never
	case s.unconfirmedUntil(m) > s.now: // e may be draining by now
		return false, s.unconfirmedUntil(m)
	case s.now < max(e.limiter.waitUntil, m.notBefore): // retry-after or delay
		return false, max(e.limiter.waitUntil, m.notBefore)
	case s.settings.MaxTries > 0 && m.tries >= s.settings.MaxTries:
		return false, never
	case m.deadline-s.now <= max(s.usualLatency(m), 2*s.settings.Tick): // too little time for a usual call
		return false, never
	}
	if s.stopAt != 0 && s.now+s.expectedDuration(m, e) > s.stopAt { // the journal keeps it for the next start
		return false, never
	}
	if queue := m.keyQueue; queue != nil { // in order, and not while the key rests
		if queue.messages[0] != m {
			return false, never
		}
		if s.now < queue.quietUntil && queue.quietOwner != m {
			return false, queue.quietUntil
		}
	}
	if m.mayHaveRun { // a repeat must be allowed
		class := m.class
		switch {
		case class.Effect == Unsafe:
			return false, never
		case class.Effect == Keyed && (class.ByZone && e.zone != m.mayHaveRunZone ||
			s.now > m.firstMayHaveRunAt+class.Window-s.settings.Tick):
			return false, never
		}
	}
	if s.joinsOpenCall(e) {
		return true, 0
	}
	// One limiter gets at most half of the slots.
	if s.slotsInUse >= s.settings.Slots || int(e.limiter.inflight) >= (s.settings.Slots+1)/2 {
		return false, never
	}
	if at := s.ejectionAllowsAt(m, e); at > s.now {
		return false, at
	}
	if at := s.budgetAllowsAt(m, e); at > s.now {
		return false, at
	}
	if at := s.paceAllowsAt(e.limiter); at > s.now && !s.atLastChance(m) {
		if m.untriedAtRestart {
			at = min(at, s.lastChanceAt(m))
		}
		return false, at
	}
	return true, 0
}

// atLastChance reports whether m is sent regardless of the pace: it was accepted before a restart, or would
// expire in one, has not been sent yet and has little time left. The pace only shares out a limit, while
// an accepted message is owed an attempt.
func (s *Sender) atLastChance(m *message) bool {
	return m.untriedAtRestart && s.now >= s.lastChanceAt(m)
}

// lastChanceAt returns from when on atLastChance holds. The times are random, as many senders may
// restart together. A message that would expire before a stale list may be used again is sent while the
// list is still good.
func (s *Sender) lastChanceAt(m *message) Micros {
	if staleAt := s.listConfirmedAt + s.settings.MaxListAge; s.settings.MaxListAge > 0 && !s.watchOpen &&
		m.deadline <= staleAt+maxStaleListWait+Second {
		return min(m.lastChanceAt, staleAt-Second)
	}
	return min(m.lastChanceAt, m.deadline-2*s.usualLatency(m)) // while maySend still allows it
}

// expectedDuration returns how long an attempt is expected to take, to decide whether it is started
// before the sender stops. A message whose attempt is still in flight at the stop is retried after the
// restart if its effect allows it; an unsafe one is lost, so it needs the longer time after which a call
// counts as stuck.
func (s *Sender) expectedDuration(m *message, e *endpoint) Micros {
	if h := &e.destination.histogram; m.class.Effect != Unsafe && h.answeredWeight >= minSamples {
		return h.p95
	}
	return s.stuckAfter(e.destination, m)
}
