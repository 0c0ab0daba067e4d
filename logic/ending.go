package logic

// Ends of messages that cannot be delivered, restarts and shutdown.

import (
	"slices"
)

const (
	lastChanceShare  = 0.15     // ours: part of a message's time in which one found untried goes past the pace
	restartGapMicros = 1500_000 // ours: from a stop until the next start can send
)

// endMessage is the one place where a message ends by our word: refused if no attempt may have run, else
// failed.
func (s *Sender) endMessage(m *message) {
	if m.ended {
		return
	}
	if m.mayHaveRun || m.attempt != nil {
		s.emit(Fail{ID: m.id})
		if m.attempt != nil {
			s.cancelAttempt(m.attempt)
		}
	} else {
		s.emit(Refuse{ID: m.id, RetryIn: s.retryAdvice()})
	}
	s.forgetMessage(m)
}

// retryAdvice tells a client when to come again: as late as it heeds, since what turned it away lasts.
func (s *Sender) retryAdvice() Micros {
	if !s.settings.AdviseRetry {
		return 0
	}
	return s.settings.MaxRetryAfter
}

// resumeMessage takes up a message where a restart cut it off: its attempts count, and one without an outcome
// may have run. What may not be sent again ends at once.
func (s *Sender) resumeMessage(m *message, p PriorAttempts) {
	if p.Recovered && !p.MayHaveRun {
		left := m.deadline - s.now
		last := min(left, Micros(lastChanceShare*float64(m.class.Deadline)))
		m.untried = true
		m.lastChanceAt = m.deadline - last/3 - Micros(s.rng.Float64()*float64(last)*2/3)
	}
	if p.Tries == 0 {
		return
	}
	m.tries = p.Tries
	if m.mayHaveRun = p.MayHaveRun; m.mayHaveRun {
		m.firstMayHaveRunAt, m.mayHaveRunZone = s.now-p.SinceFirstSend, int32(p.Zone)
	}
	s.endIfUnretryable(m)
}

// prepareStop prepares for a stop: what was not tried and would be over before the next start goes now or
// never.
func (s *Sender) prepareStop(left Micros) {
	s.stopAt = s.now + left
	for _, m := range s.openMessages {
		if m.tries == 0 && m.deadline <= s.stopAt+restartGapMicros {
			m.untried, m.lastChanceAt = true, s.now
		}
	}
}

// refuseBeforeStop turns new messages away that cannot go at once and would be over before the next start.
func (s *Sender) refuseBeforeStop() {
	if s.stopAt == 0 {
		return
	}
	for _, m := range slices.Clone(s.openMessages) {
		if m.arrivalStep == s.step && m.tries == 0 && m.deadline <= s.stopAt+restartGapMicros {
			s.endMessage(m)
		}
	}
}

// endIfUnretryable ends a message that no further attempt can help.
func (s *Sender) endIfUnretryable(m *message) {
	c := m.class
	switch {
	case m.attempt != nil || m.ended:
	case m.mayHaveRun && c.Effect == Unsafe,
		s.settings.MaxTries > 0 && m.tries >= s.settings.MaxTries,
		m.mayHaveRun && c.Effect == Keyed && s.now > m.firstMayHaveRunAt+c.Window-s.settings.Tick:
		s.endMessage(m)
	}
}

// endExpiring ends messages whose time is nearly up: unsent ones at a usual call's time before the deadline.
func (s *Sender) endExpiring() {
	last := 2 * max(s.settings.Tick, 1000)
	for _, m := range slices.Clone(s.openMessages) {
		if m.streaming {
			continue
		}
		by := m.deadline - last
		if m.attempt == nil {
			by = min(by, m.deadline-s.usualLatency(m))
			if m.mayHaveRun && m.class.Effect == Keyed { // the window is for the send, whenever its answer comes
				by = min(by, m.firstMayHaveRunAt+m.class.Window-last)
			}
		}
		if s.now >= by {
			s.endMessage(m)
			continue
		}
		s.wakeBy(by)
	}
}
