package logic

// Timers, and state that ages out.

const (
	idleStateAge = 4 * histogramHalfLife // ours: state of a destination without traffic is dropped after this
)

// dropIfIdle drops the state of a destination that was long idle, once a message for it comes.
func (s *Sender) dropIfIdle(d *destination) {
	if s.now-d.lastUsedAt > idleStateAge && d.limiter.inflight == 0 {
		d.histogram, d.limiter.pace = histogram{}, 0
	}
	d.lastUsedAt = s.now
}

// armTimer sets a timer for the next thing to be done, unless one that goes off by then is out.
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
