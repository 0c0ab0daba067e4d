package logic

// What must hold before a message is sent. Every send passes the gate.

import (
	"math"
)

const (
	never = Micros(math.MaxInt64)
)

// maySend says whether m may go to e now, and if not, when to look again. Every send of a message passes it.
func (s *Sender) maySend(m *message, e *endpoint) (bool, Micros) {
	switch {
	case e.state != Ready || m.ended || m.attempt != nil: // drain; one attempt at a time
		return false, never
	case s.banned[e.id]: // an operator has taken it out
		return false, never
	case s.unconfirmedUntil(m) > s.now: // e may drain by now
		return false, s.unconfirmedUntil(m)
	case s.now < max(e.limiter.waitUntil, m.notBefore): // told wait
		return false, max(e.limiter.waitUntil, m.notBefore)
	case s.settings.MaxTries > 0 && m.tries >= s.settings.MaxTries:
		return false, never
	case m.deadline-s.now <= max(s.usualLatency(m), 2*s.settings.Tick): // median gate
		return false, never
	}
	if s.stopAt != 0 && s.now+s.expectedDuration(m, e) > s.stopAt { // it stays in the journal for the next start
		return false, never
	}
	if l := m.keyQueue; l != nil { // order of its key
		if l.messages[0] != m {
			return false, never
		}
		if s.now < l.quietUntil && l.quietOwner != m {
			return false, l.quietUntil
		}
	}
	if m.mayHaveRun { // effect
		c := m.class
		switch {
		case c.Effect == Unsafe:
			return false, never
		case c.Effect == Keyed && (c.ByZone && e.zone != m.mayHaveRunZone ||
			s.now > m.firstMayHaveRunAt+c.Window-s.settings.Tick):
			return false, never
		}
	}
	if s.joinsOpenCall(e) {
		return true, 0
	}
	if s.slotsInUse >= s.settings.Slots || int(e.limiter.inflight) >= (s.settings.Slots+1)/2 { // slots
		return false, never
	}
	if at := s.ejectionAllowsAt(m, e); at > s.now {
		return false, at
	}
	if at := s.budgetAllowsAt(e); at > s.now {
		return false, at
	}
	if at := s.paceAllowsAt(e.limiter); at > s.now && !s.atLastChance(m) {
		if m.untried {
			at = min(at, s.lastChanceAt(m))
		}
		return false, at
	}
	return true, 0
}

// atLastChance says whether m goes out past the pace: it was taken on before a restart, no call of it was
// made and it has little of its time left. The pace only shares a limit out; who took a message on owes it a
// try.
func (s *Sender) atLastChance(m *message) bool { return m.untried && s.now >= s.lastChanceAt(m) }

// lastChanceAt is when that is so. Each message has a time of its own, for many senders may come back at
// once; what would be over before an old list serves again goes while it still serves.
func (s *Sender) lastChanceAt(m *message) Micros {
	if old := s.listConfirmedAt + s.settings.MaxListAge; s.settings.MaxListAge > 0 && !s.watchOpen &&
		m.deadline <= old+maxStaleListWait+Second {
		return min(m.lastChanceAt, old-Second)
	}
	return min(m.lastChanceAt, m.deadline-2*s.usualLatency(m)) // before the median gate shuts
}

// expectedDuration is the time that an attempt needs before this sender stops. One that is cut off by the
// stop is resent if its class allows it, but an unsafe one is lost.
func (s *Sender) expectedDuration(m *message, e *endpoint) Micros {
	if h := &e.destination.histogram; m.class.Effect != Unsafe && h.total >= minSamples {
		return h.p95
	}
	return s.stuckAfter(e.destination, m)
}
