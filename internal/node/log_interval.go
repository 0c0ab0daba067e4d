package node

import "time"

// logInterval limits how often a line is logged. The zero time of the last line makes the first one due.
type logInterval struct {
	interval time.Duration
	lastAt   time.Time
}

// due reports whether the line may be logged now, and if so counts it as logged.
func (l *logInterval) due() bool {
	if time.Since(l.lastAt) <= l.interval {
		return false
	}
	l.lastAt = time.Now()
	return true
}
