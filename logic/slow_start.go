package logic

// Slow start: what goes to a destination that is back from an outage is budgeted over all senders.

import (
	"slices"
)

const (
	resentTrafficShare = 1.0 // ours: part of the traffic of an outage that comes again at one time
)

// budgetAllowsAt keeps what goes to a destination after an outage under this sender's share of what topples
// it. The endpoints of a lane that are cold share one budget: the lane falls over as a whole.
func (s *Sender) budgetAllowsAt(e *endpoint) Micros {
	if e.recovering && !e.ejected && s.now >= e.returnedAt+s.settings.WarmAfter {
		e.recovering = false
	}
	if !e.recovering && !(e.destination.hadOutage &&
		slices.ContainsFunc(e.destination.endpoints, func(x *endpoint) bool {
			// e did not answer while x was out
			return x.recovering && x.limiter == e.limiter && x.lastFailureAt > e.lastHealthyAt
		})) {
		return 0
	}
	up, cold, last, long := 1.0, 0, []Micros(nil), s.settings.FallWindow
	for _, x := range e.destination.endpoints {
		if (x.recovering || x == e) && x.limiter == e.limiter {
			cold++
			last = append(last, x.sentTimes...)
			if x.ejected {
				up = min(up, 0)
			} else if x.recovering {
				up = min(up, seconds(s.now-x.returnedAt)/seconds(s.settings.WarmAfter))
			}
		}
	}
	c := s.estimatedCapacity(e) * float64(max(cold, 1))
	k := s.settings.FallMultiple * (s.settings.ColdFrom + (1-s.settings.ColdFrom)*up) * seconds(long)
	most := k * c / float64(s.settings.Senders)
	slices.Sort(last)
	if most < 1 {
		// Many senders: our share is that of our messages among all since the outage began, which add up however
		// many saw it; and one call goes in a longer span, at a time of our own.
		own := resentTrafficShare * float64(e.destination.arrivals) /
			seconds(s.now-e.destination.lastOutageAt+assumedOutage)
		if e.limiter != e.destination.limiter {
			own /= float64(len(e.destination.endpoints))
		}
		most = max(most, k*min(own, c/2))
		long = toMicros(float64(long) / min(most, 1))
		at := max(e.limiter.waitUntil, e.destination.lastOutageAt)
		if n := len(last); n > 0 {
			at = max(at, last[n-1]+long/2)
		}
		if most < 1 {
			return at + Micros(e.limiter.phase*float64(long))
		}
	}
	if n := countAfter(last, s.now-long); float64(n+1) > most {
		return last[len(last)-n] + long + 1
	}
	return 0
}

// estimatedCapacity is a low guess of the calls a second that an endpoint takes.
func (s *Sender) estimatedCapacity(e *endpoint) float64 {
	c := e.limiter.limit
	if c == 0 {
		c = max(e.limiter.peakRate, minPaceRPS)
	} else if s.settings.Weights == WeightsRough && !e.limiter.limitReported {
		c /= 1.5
	}
	if e.limiter == e.destination.limiter {
		c /= float64(max(len(e.destination.endpoints), 1))
	}
	return c
}
