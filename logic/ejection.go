package logic

// Outlier ejection: endpoints that seem out get single trials only.

import (
	"math"
	"slices"
)

const (
	badAlpha   = 0.07       // ours: weight of the newest outcome in an endpoint's share of failures
	strayAlpha = 0.02       // ours: weight of the newest call in the share of calls that fail by chance
	strayLeast = 0.01       // ours: it is never taken for less than this ...
	strayMost  = 0.3        // ours: ... nor for more
	outOdds    = 0.0002     // ours: a run of failures less likely by chance than this is an outage
	doubtOdds  = 0.05       // ours: and one less likely than this keeps unsafe messages away
	answered   = Second     // ours: an answer this fresh speaks for an endpoint that refuses a connection
	badShare   = 0.45       // ours: failing more than this is an outage
	shortest   = 3 * Second // ours: what answered before and after it within this was not out between
	outage     = 5 * Second // ours: how long an outage lasted, beside the time since we saw it
	badUnsafe  = 0.15       // ours: unsafe messages keep away where it is this much above chance
	trialGap   = 400_000    // ours: first pause between single trials
	trialMost  = 2 * Second // ours: and the longest
	longAgo    = Micros(math.MinInt64 / 2)
)

// health holds messages back from an endpoint that seems out: single trials only, unsafe messages last.
func (s *Sender) health(m *msg, e *endpoint) Micros {
	for _, x := range e.dest.eps {
		if s.unsure(x) {
			s.suspect(x, "failed, no answer since")
			x.cold, x.trialAt = true, s.now
		}
	}
	if e.suspect {
		switch {
		case e.inflight > 0 || s.onTrial() >= max(1, s.set.Slots*2/3):
			return never
		case m.class.Effect == Unsafe && s.now < m.first+m.class.Aim:
			return m.first + m.class.Aim
		}
		return e.trialAt
	}
	doubt := e.bad > s.stray+badUnsafe || s.chance(e) < doubtOdds
	if m.class.Effect == Unsafe && doubt && s.now < m.first+m.class.Aim {
		return m.first + m.class.Aim
	}
	// Outages mostly take all endpoints: after one has failed, the others are tried singly until they answer.
	if e.inflight > 0 && e.dest.hurt && e.lane == e.dest.lane {
		for _, x := range e.dest.eps {
			if x.suspect && x.lastBad > e.lastOK {
				return never
			}
		}
	}
	return 0
}

// succeeded notes an answer to what was sent at a time. One sent before the last failure tells nothing of a
// return: else a call that was under way when a destination shut would end the watch before it opens.
func (s *Sender) succeeded(e *endpoint, sent Micros) {
	if e.suspect && sent < e.lastBad {
		return
	}
	if e.suspect {
		s.log("endpoint %d of %d answers again", e.id, e.dest.id)
		e.suspect, e.backAt = false, s.now
		e.trialGap = 0
		e.bad = min(e.bad, s.stray) // what failed in the outage is dealt with: one break more is no new one
	}
	// An answer while a sibling is out shows that e is well; one after its return may be of the return itself.
	// Many senders try the sibling too rarely to know which it is, until it fails again (proves).
	e.said = max(e.said, sent)
	if !s.many && (!e.dest.hurt || !slices.ContainsFunc(e.dest.eps, func(x *endpoint) bool {
		return x.cold && !x.suspect && x.lane == e.lane && x.lastBad > e.well
	})) {
		e.well = max(e.well, sent)
	}
	e.lastOK = s.now
	s.stray -= strayAlpha * s.stray
	e.fails, e.fulls, e.lane.fulls = 0, 0, 0
	e.bad *= 1 - badAlpha
}

// failed notes a sign of an outage at e: an error, a reset, no connection or no answer. Networks break single
// calls everywhere, which tells nothing of one endpoint: only a run too long for chance is an outage.
func (s *Sender) failed(e *endpoint, how string) {
	if s.banned[e.id] { // operators restart it meanwhile: their doing, no outage
		return
	}
	e.fails++
	stale := how == "refuses connections" && e.lastOK < s.now-answered && s.chance(e) < doubtOdds
	e.lastBad = s.now
	if e.fails == 1 && s.many && !e.cold { // maybe the first of an outage
		e.dest.came, e.dest.downAt = 1, s.now
	}
	e.bad += badAlpha * (1 - e.bad)
	if e.suspect || e.bad > badShare || s.chance(e) < outOdds || stale || how == "silent" {
		s.takeOut(e, how)
		s.proves(e)
	} else if e.fails <= 2 { // the rest of a run tells of e alone
		s.stray += strayAlpha * (1 - s.stray)
	}
}

// chance is how likely the present run of failures at e is where nothing is out; 1 if there is none.
func (s *Sender) chance(e *endpoint) float64 { return s.likely(int(e.fails)) }

func (s *Sender) likely(run int) float64 {
	return math.Pow(min(max(s.stray, strayLeast), strayMost), float64(run))
}

// unsure says whether the last that the thin traffic of many senders told of e is a failure, and no answer
// of its lane showed soon after that it was chance. One that comes later may be of a return: each alone
// would go on as before, and all of them together topple what comes back.
func (s *Sender) unsure(e *endpoint) bool {
	if !s.many || e.suspect || e.fails == 0 {
		return false
	}
	run, ok := 0, longAgo
	for _, x := range e.dest.eps {
		if x.lane == e.lane {
			run, ok = run+int(x.fails), max(ok, x.lastOK)
		}
	}
	return ok <= e.lastBad && s.now > ok+shortest && (ok == longAgo || s.now > e.lastBad+answered) &&
		s.likely(run) < doubtOdds
}

// proves notes that the siblings of e that answered since its outage began are well: it is still out.
func (s *Sender) proves(e *endpoint) {
	for _, x := range e.dest.eps {
		if s.many && e.cold && x.lane == e.lane && !x.suspect && x.said > e.dest.downAt {
			x.well = s.now
		}
	}
}

// takeOut takes an endpoint for out: from now on single trials, and after its return a budget.
func (s *Sender) takeOut(e *endpoint, how string) {
	s.suspect(e, how)
	s.chill(e)
}

// chill counts e as cold: budgeted until some time after its return.
func (s *Sender) chill(e *endpoint) {
	if !e.cold {
		e.cold, e.dest.hurt = true, true
		e.dest.came, e.dest.downAt = 1, s.now
	}
}

func (s *Sender) suspect(e *endpoint, how string) {
	if !e.suspect {
		s.log("endpoint %d of %d out: %s; %d failures in a row, share %.2f, stray %.3f, answered %.2f s ago",
			e.id, e.dest.id, how, e.fails, e.bad, s.stray, seconds(min(s.now-e.lastOK, 99*Second)))
		e.suspect, e.trialGap, e.trialAt, e.dest.hurt = true, trialGap, s.now+trialGap, true
	}
}

func (s *Sender) backOff(e *endpoint) {
	e.trialGap = min(2*max(e.trialGap, trialGap), trialMost)
	e.trialAt = s.now + e.trialGap*Micros(80+s.rng.IntN(40))/100
}
