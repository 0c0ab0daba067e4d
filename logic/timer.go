package logic

// The timer for the next Step, and state that is dropped after a time without traffic. At most one timer
// matters at a time: the earliest time that any decision has asked for by wakeBy.

const (
	// The state of a destination without traffic is dropped after this time, as its samples have lost
	// most of their weight.
	idleStateAge = 4 * histogramHalfLife
)

// dropIfIdle drops the histogram and the pace of a destination that was idle for longer than
// idleStateAge when a message for it arrives.
func (s *Sender) dropIfIdle(d *destination) {
	if s.now-d.lastUsedAt > idleStateAge && d.limiter.inflight == 0 {
		d.histogram, d.limiter.pace = histogram{}, 0
	}
	d.lastUsedAt = s.now
}

// armTimer sets a timer for the time given to wakeBy, unless one that runs out no later is already set.
func (s *Sender) armTimer() {
	if s.nextWakeAt == never {
		return
	}
	s.nextWakeAt = max(s.nextWakeAt, s.now+max(s.settings.Tick, 1000))
	if s.timerAt > s.now && s.timerAt <= s.nextWakeAt {
		return
	}
	s.timerAt = s.nextWakeAt
	s.emit(SetTimer{Wait: s.nextWakeAt - s.now, Token: uint64(s.step)})
}
