package logic

// Rate limits: the pace of a destination, which halves on refusals and creeps back, and its even share of a
// told limit.

import (
	"math"
)

const (
	paceFloor  = 1.0        // design: calls a second
	paceSpan   = Second     // design: the span of the first pace, and between two halvings
	paceSave   = Second / 2 // ours: what an idle pace saves up; more of it meets limits in bursts
	paceCreep  = 0.1        // ours: growth of the pace with each success
	evenMany   = 0.9        // ours: the same among many senders with nothing of the limit left ...
	moreLeft   = 1.6        // ours: ... and what all of it left adds to that
	evenRoom   = 1.25       // ours: a told limit bounds the pace to this many even shares of it
	paceFree   = 4.0        // ours: a pace this many times what is sent sets nothing any more and is dropped
	shyMost    = 8 * Second // ours: longest mean rest of a lane after a refusal, among many senders
	fullsDown  = 4          // ours: refusals in a row that look like a shut destination ...
	fullsSpan  = 1500_000   // ours: ... when they span this, more than a limit's window leaves empty
	longWait   = 2 * Second // ours: a told wait past this is a shut destination, not a limit's window
	turnShare  = 0.2        // ours: share above which a refused message of mean worth is not tried again
	crowdRest  = 60         // ours: new connections after one was refused until any is kept again
	crowdDoubt = 10.0       // ours: new connections let in until every second one is kept
	restPart   = 0.1        // ours: least mean part of its time left that a refused message rests
)

// paced says when the lane may take its next call.
func (s *Sender) paced(l *lane) Micros {
	r, save := l.pace, 1.0
	if l.limit > 0 { // where a limit is told, it bounds the pace from the start
		lim := l.limit
		if s.set.Weights == WeightsRough && !l.told {
			lim *= 1.5
		}
		// It is for all senders together. Among few, traffic is even enough for the share to be so; among many,
		// one sender's of a short while is not: it takes more while answers tell that some of the limit is left.
		switch share := lim / float64(s.set.Senders); {
		case !s.many:
			lim = min(lim, evenRoom*share)
		case s.set.ReportLeft >= 0:
			lim = min(lim, evenMany*share+l.left*max(moreLeft*share, 1/seconds(s.aim)))
			save = 1 + l.left
		}
		if r == 0 || r > lim {
			r = lim
		}
	}
	if r == 0 {
		return 0
	}
	l.tokens = min(l.tokens+r*seconds(s.now-l.filled), max(save, r*seconds(paceSave)))
	l.filled = s.now
	if l.tokens >= 1-1e-9 {
		return 0
	}
	return s.now + micros((1-l.tokens)/r*float64(Second)) + 1
}

// refused slows a lane down: the pace starts at the last second's rate and is halved at most once a second.
func (s *Sender) refused(l *lane) {
	if s.now < l.halved+paceSpan && l.pace > 0 {
		return
	}
	switch f := s.floor(l); {
	case s.many && f < paceFloor && l.until <= s.now: // many: rest, or all that come keep the limit used up
		l.pace = max(f, 1/seconds(shyMost))
	case s.many && f < paceFloor || l.pace == 0:
		l.pace = max(f, float64(since(l.sent, s.now-paceSpan)))
	default:
		l.pace = max(f, l.pace/2)
	}
	l.halved = s.now
	s.paced(l)
	// Others were refused too: the next call comes half a pace early or late, or up to one after a wait.
	l.tokens = min(l.tokens, s.rng.Float64()-0.5)
	if l.until > s.now {
		l.filled, l.tokens = l.until, l.tokens+0.5
	}
}

// floor is one call a second, but no more than an even share of a limit that is told: with many senders at a
// destination that counts refused calls, floors alone would use the limit up.
func (s *Sender) floor(l *lane) float64 {
	if l.limit > 0 {
		return min(paceFloor, l.limit/float64(s.set.Senders))
	}
	return paceFloor
}

func (s *Sender) creep(l *lane) {
	if l.pace == 0 {
		return
	}
	l.pace += paceCreep * max(l.pace, l.limit/float64(s.set.Senders))
	if s.many && s.floor(l) < paceFloor || l.pace > paceFree*float64(since(l.sent, s.now-paceSpan)+1) {
		l.pace = 0
	}
}

// unseen says whether many senders' connections left no room for a call: its limit was not looked at, so the
// refusal tells neither a wait nor a report.
func (s *Sender) unseen(r Reply) bool {
	return s.many && r.Outcome == Full && r.Wait == 0 && len(r.Load) == 0 && s.set.ReportLimit >= 0
}

// roomy notes what an attempt tells of the room for connections at a kind.
func (s *Sender) roomy(a *attempt, r Reply) {
	switch k := int(a.ep.dest.kind); {
	case s.unseen(r) || s.set.ReportLimit < 0 && r.Outcome == Full && r.Wait == 0:
		s.room[k] = -crowdRest
	case a.dialed:
		s.room[k]++
	}
}

// keeps says whether an idle connection is kept. Who keeps one meets no refusal, so that a fleet in which all
// keep theirs learns too late that it fills a kind: each keeps the more, the more new ones were let in.
func (s *Sender) keeps(e *endpoint) bool {
	n := float64(s.room[int(e.dest.kind)])
	return n > 0 && s.rng.Float64() < n/(n+crowdDoubt)
}

// again decides on a refused message where the floors of all senders add up past the limit. Calls tried
// again, by clients too, use up limits that count refusals. While the kind turns few away, a message rests
// for a part of its time left, so that clumps spread; with more, only the worthier do.
func (s *Sender) again(m *msg, e *endpoint) {
	x := s.turned[int(e.dest.kind)]
	if x > turnShare*m.class.Worth/s.meanWorth {
		s.do(Fail{ID: m.id})
		s.close(m)
		return
	}
	part := (restPart + x) * (0.5 + s.rng.Float64())
	m.rest = max(s.now, e.lane.until) + Micros(part*float64(m.deadline-s.now))
}

// full notes a refusal; refusals in a row over longer than a limit's window, or a long told wait, mean shut.
// Many senders come too rarely to tell by four: those that were refused twice would topple what opens again.
func (s *Sender) full(e *endpoint, wait Micros) {
	e.fulls++
	l := e.lane
	if l.fulls < math.MaxUint16 {
		l.fulls++
	}
	if l.fulls == 1 {
		l.firstFull = s.now
	}
	if e.suspect || wait > longWait || (l.fulls >= fullsDown || s.many && l.fulls > 1) &&
		s.now-l.firstFull > fullsSpan {
		e.lastBad = s.now
		s.takeOut(e, "refuses all")
		s.proves(e)
	}
}
