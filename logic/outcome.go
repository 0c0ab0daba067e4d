package logic

// What the outcome of an attempt says of its message, endpoint and destination.

const (
	slowAlpha = 0.3        // ours: weight of the newest call in an endpoint's smoothed latency
	reuse     = 5 * Second // ours: an endpoint called less often than this shares its connections
	turnAlpha = 0.05       // ours: weight of the newest call in a kind's share of calls turned away
	turnFirst = 0.15       // ours: the same among many senders, before any call tells
	dearConn  = 0.04       // ours: price of a connection with each message above which none is given back
	errorRest = 100_000    // ours: pause of a message after an error, doubled with each try
)

func (s *Sender) reply(r Reply) {
	m := s.msgs[r.ID]
	if m == nil || m.out == nil || m.out.n != r.Attempt {
		return
	}
	a, e := m.out, m.out.ep
	lastOfCall := s.landed(a)
	kind := int(e.dest.kind)
	x, known := s.turned[kind]
	if s.many && !known {
		x = turnFirst
	}
	x *= 1 - turnAlpha
	if r.Outcome == Full && !s.unseen(r) {
		x += turnAlpha
	}
	s.turned[kind] = x
	s.roomy(a, r)
	s.report(e, r.Load)
	if r.Outcome != Full && r.Outcome != RefusedConn && r.Outcome != Moot {
		m.mayRun = true
	}
	if r.Outcome != RefusedConn && r.Outcome != Moot {
		m.untried = false
	}
	if m.line != nil && (r.Outcome == Overdue || r.Outcome == Severed || r.Outcome == Recalled) {
		m.line.quiet, m.line.by = max(m.line.quiet, s.now+s.set.KeyQuiet), m
	}
	switch r.Outcome {
	case Completed:
		for _, h := range []*hist{&e.dest.hist, &s.byClass[m.ci]} {
			if a.late {
				h.cuts--
			}
			h.add(s.now, r.Took, false)
		}
		e.slow += slowAlpha * (float64(r.Took) - e.slow)
		if e.slow == 0 {
			e.slow = float64(r.Took)
		}
		s.succeeded(e, a.at)
		s.creep(e.lane)
	case Full:
		if r.Wait > 0 {
			e.lane.until = max(e.lane.until, s.now+r.Wait)
		}
		if lastOfCall { // a batch is one call: one refusal
			if !s.unseen(r) { // says nothing of what the limit leaves
				s.refused(e.lane)
			}
			s.full(e, r.Wait)
		}
		switch {
		case r.NoMore || m.over || !s.many:
		case s.unseen(r):
			rest := Micros(errorRest) << min(m.tries, 5)
			m.rest = s.now + rest/2 + Micros(s.rng.Int64N(int64(rest)))
		case s.floor(e.lane) < paceFloor:
			s.again(m, e)
		}
	case Recalled, Overdue:
		if a.cut {
			if !a.late {
				e.dest.hist.add(s.now, s.now-a.at, true)
			}
			e.slow += slowAlpha * max(0, float64(s.now-a.at)-e.slow)
		} else if a.stuck && e.lastOK < a.at {
			s.failed(e, "silent")
		}
	case RefusedConn:
		s.failed(e, "refuses connections")
		if !e.suspect { // may be chance: the next try is soon, but not all of them within an instant
			m.rest = s.now + errorRest<<min(m.tries-1, 5)
		}
	case Errored, Severed:
		s.failed(e, "errors")
		m.rest = s.now + errorRest<<min(m.tries, 5)
	}
	// Connections of many senders, idle ones counted, fill an endpoint: those that we use rarely are given back,
	// unless new ones are dear and the kind has room.
	e.warm = s.now + s.set.ConnIdle
	n := len(e.sent)
	give := s.set.ConnPrice < dearConn && (n < 2 || s.now-e.sent[n-2] > reuse)
	if s.many && e.inflight == 0 && (give || !s.keeps(e)) {
		e.warm = s.now
		s.do(Release{e.id})
	}
	if r.NoMore || m.over {
		s.close(m)
		return
	}
	if m.mayRun && m.class.Effect == Keyed { // else a short window would pass unused
		m.rest = min(m.rest, s.now+(m.firstMay+m.class.Window-s.now)/2)
	}
	s.endIfStuck(m)
}
