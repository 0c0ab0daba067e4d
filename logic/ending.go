package logic

// Ends of messages that are not delivered, restarts and shutdown. A message ends when its time is too
// short for another attempt, when it may not be sent again, or when there is no room for it. It is
// refused if no attempt may have run, so that the client can safely send it again, and fails otherwise.
// After a restart the attempts made before count. Before a stop, messages that would expire before the
// next start are sent at once or refused.

import (
	"slices"
)

const (
	// A message that was accepted but not sent before a restart is sent regardless of the pace from a
	// random time in this last share of its class's deadline, see atLastChance.
	lastChanceShare = 0.15
	// Time from a stop until the next process can send.
	restartGapMicros = 1500_000
)

// endMessage ends a message that was not delivered: it is refused if no attempt may have run, otherwise
// it fails. Apart from retryRejected, and acceptMessage for an unknown class, no other place does so.
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

// retryAdvice returns when a client should retry: as late as clients observe it, since what caused the
// refusal lasts.
func (s *Sender) retryAdvice() Micros {
	if !s.settings.AdviseRetry {
		return 0
	}
	return s.settings.MaxRetryAfter
}

// resumeMessage restores what happened to a message before a restart: its attempts count, and one without
// an outcome may have run. A message that may not be sent again ends at once.
func (s *Sender) resumeMessage(m *message, prior PriorAttempts) {
	if prior.Recovered && !prior.MayHaveRun {
		timeLeft := m.deadline - s.now
		lastChanceSpan := min(timeLeft, Micros(lastChanceShare*float64(m.class.Deadline)))
		m.untriedAtRestart = true
		m.lastChanceAt = m.deadline - lastChanceSpan/3 - Micros(s.rng.Float64()*float64(lastChanceSpan)*2/3)
	}
	if prior.Tries == 0 {
		return
	}
	m.tries = prior.Tries
	if m.mayHaveRun = prior.MayHaveRun; m.mayHaveRun {
		m.firstMayHaveRunAt, m.mayHaveRunZone = s.now-prior.SinceFirstSend, int32(prior.Zone)
	}
	s.endIfUnretryable(m)
}

// prepareStop prepares for a stop in timeLeft: untried messages that would expire before the next start
// are sent regardless of the pace, or not at all.
func (s *Sender) prepareStop(timeLeft Micros) {
	s.stopAt = s.now + timeLeft
	for _, m := range s.openMessages {
		if m.tries == 0 && m.deadline <= s.stopAt+restartGapMicros {
			m.untriedAtRestart, m.lastChanceAt = true, s.now
		}
	}
}

// refuseBeforeStop refuses messages that arrived in this Step, cannot be sent at once, and would expire
// before the next start.
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

// endIfUnretryable ends a message that may not be sent again.
func (s *Sender) endIfUnretryable(m *message) {
	class := m.class
	switch {
	case m.attempt != nil || m.ended:
	case m.mayHaveRun && class.Effect == Unsafe,
		s.settings.MaxTries > 0 && m.tries >= s.settings.MaxTries,
		m.mayHaveRun && class.Effect == Keyed && s.now > m.firstMayHaveRunAt+class.Window-s.settings.Tick:
		s.endMessage(m)
	}
}

// endExpiring ends messages whose time is nearly up. A message with an attempt in flight ends shortly
// before its deadline, unless its answer streams. Another one ends when its time left is less than the
// usual latency of a call, or shortly before its window closes.
func (s *Sender) endExpiring() {
	margin := 2 * max(s.settings.Tick, 1000)
	for _, m := range slices.Clone(s.openMessages) {
		if m.streaming {
			continue
		}
		endAt := m.deadline - margin
		if m.attempt == nil {
			endAt = min(endAt, m.deadline-s.usualLatency(m))
			if m.mayHaveRun && m.class.Effect == Keyed { // a repeat has to be sent, not answered, within the window
				endAt = min(endAt, m.firstMayHaveRunAt+m.class.Window-margin)
			}
		}
		if s.now >= endAt {
			s.endMessage(m)
			continue
		}
		s.wakeBy(endAt)
	}
}
