package logic

import (
	"maps"
	"math"
	"slices"
)

// Saved is the whole state of a Sender, for another one that goes on in its place. Times are those of the Sender:
// who goes on keeps its clock.
type Saved struct {
	Now        Micros
	Seq, Logs  int
	Stray      float64
	MeanWorth  float64
	Turned     map[int]float64
	Room       map[int]int
	AskAt      Micros
	AskGap     Micros
	ListAt     Micros
	Watched    bool
	Silent     bool   `json:",omitempty"` // as Sender.silent
	UnusableAt Micros `json:",omitempty"` // as Sender.unusableAt
	Old        bool   // the list is as saved before the start
	Banned     []EndpointID
	ByClass    []savedHist
	Usage      []savedUsage
	Dests      []savedDest     `json:",omitempty"` // without them the state's tables come in rows
	Endpoints  []savedEndpoint `json:",omitempty"`
	Sizes      []int           `json:",omitempty"` // then: how many there are of both
	Messages   []savedMsg
	Held       []string // messages not over, in order of arrival
	Attempts   []savedAttempt
	Keys       map[string]savedLine
}

type savedHist struct {
	W           [binCount + 1]float64
	Total, Cuts float64
	At          Micros
}

type savedUsage struct {
	N  float64
	At Micros
}

type savedLane struct {
	Limit, Left, Pace, Tokens, Peak, Phase float64
	Told                                   bool
	Halved, Filled, Until, FirstFull       Micros
	Fulls                                  int
	Sent                                   []Micros
}

type savedDest struct {
	ID           int64
	Kind, Next   int
	Listed       []EndpointID
	Lane         savedLane
	Hist         savedHist
	Used, DownAt Micros
	Came         int
}

type savedEndpoint struct {
	ID                                                     EndpointID
	Zone                                                   int
	State                                                  Readiness
	Dest                                                   int64
	Lane                                                   *savedLane // nil if it is the destination's
	Sent                                                   []Micros
	Bad, Slow                                              float64
	Fails, Fulls                                           int
	Suspect, Cold                                          bool
	LastOK, LastBad, Well, BackAt, TrialAt, LastSent, Warm Micros
	TrialGap                                               Micros
}

type savedMsg struct {
	ID                              string
	Class, Seq, Tries, Cuts         int
	Share                           float64
	Dest                            int64
	First, Deadline, FirstMay, Rest Micros
	MayRun, Over, Flows, Untried    bool
	Half, Chance                    Micros
	MayZone                         int
	Last                            EndpointID
	HasLast                         bool
}

type savedAttempt struct {
	ID                          string
	N, Call                     int // attempts with one number travel in one call
	Endpoint                    EndpointID
	At                          Micros
	Cancelled, Cut, Stuck, Late bool
}

type savedLine struct {
	IDs   []string
	Quiet Micros
	By    string
}

// Settle takes what happened like Step, but sends nothing: what it returns are ends and notes only. It is for a
// Sender that is about to be saved.
func (s *Sender) Settle(now Micros, events []Event) []Action {
	s.now = max(s.now, now)
	s.step++
	s.out, s.wake = nil, never
	for _, ev := range events {
		s.take(ev)
	}
	return s.out
}

func (h *hist) save() savedHist {
	x := savedHist{Total: h.total, Cuts: h.cuts, At: h.at}
	for i := range x.W {
		x.W[i] = h.bins.at(i)
	}
	return x
}

func (x savedHist) hist() hist {
	h := hist{total: x.Total, cuts: x.Cuts, at: x.At}
	low, end := 0, len(x.W)
	for low < end && x.W[low] == 0 {
		low++
	}
	for end > low && x.W[end-1] == 0 {
		end--
	}
	if low < end {
		h.bins = &bins{low, slices.Clone(x.W[low:end])}
	}
	if h.total+max(h.cuts, 0) > 0 {
		h.update()
	}
	return h
}

func (l *lane) save() savedLane {
	return savedLane{Limit: l.limit, Left: l.left, Pace: l.pace, Tokens: l.tokens, Peak: l.peak, Phase: l.phase, Told: l.told,
		Halved: l.halved, Filled: l.filled, Until: l.until, FirstFull: l.firstFull, Fulls: int(l.fulls), Sent: l.sent}
}

func (x savedLane) lane() *lane {
	return &lane{limit: x.Limit, left: x.Left, pace: x.Pace, tokens: x.Tokens, peak: x.Peak, phase: x.Phase, told: x.Told,
		halved: x.Halved, filled: x.Filled, until: x.Until, firstFull: x.FirstFull, fulls: uint16(min(max(x.Fulls, 0), math.MaxUint16)), sent: x.Sent}
}

// Save returns the state. The Sender must not be used afterwards, unless nobody goes on in its place.
func (s *Sender) Save() Saved { return s.save(true) }

func (s *Sender) save(tables bool) Saved {
	out := Saved{Now: s.now, Seq: s.seq, Logs: s.logs, Stray: s.stray, MeanWorth: s.meanWorth, Turned: s.turned, Room: s.room,
		AskAt: s.askAt, AskGap: s.askGap, ListAt: s.listAt, Watched: s.watched, Old: s.saved, Silent: s.silent, UnusableAt: s.unusableAt, Banned: slices.Sorted(maps.Keys(s.banned)), Keys: map[string]savedLine{}}
	for i := range s.byClass {
		out.ByClass = append(out.ByClass, s.byClass[i].save())
	}
	for _, u := range s.usage {
		out.Usage = append(out.Usage, savedUsage{u.n, u.at})
	}
	if tables {
		s.saveTables(&out)
	}
	for key, l := range s.keys {
		x := savedLine{Quiet: l.quiet}
		for _, m := range l.q {
			x.IDs = append(x.IDs, m.id)
		}
		if l.by != nil {
			x.By = l.by.id
		}
		out.Keys[key] = x
	}
	for _, id := range slices.Sorted(maps.Keys(s.msgs)) {
		m := s.msgs[id]
		x := savedMsg{ID: m.id, Class: m.ci, Seq: m.seq, Tries: m.tries, Cuts: m.cuts, Share: m.share, Dest: m.dest.id,
			First: m.first, Deadline: m.deadline, FirstMay: m.firstMay, Rest: m.rest, MayRun: m.mayRun, Over: m.over,
			Flows: m.flows, MayZone: int(m.mayZone), Untried: m.untried, Half: m.half, Chance: m.chance}
		if m.last != nil {
			x.Last, x.HasLast = m.last.id, true
		}
		out.Messages = append(out.Messages, x)
	}
	for _, m := range s.held {
		out.Held = append(out.Held, m.id)
	}
	calls := map[*call]int{}
	for _, a := range s.flying {
		n, ok := calls[a.call]
		if !ok {
			n = len(calls)
			calls[a.call] = n
		}
		out.Attempts = append(out.Attempts, savedAttempt{ID: a.m.id, N: a.n, Call: n, Endpoint: a.ep.id, At: a.at,
			Cancelled: a.cancelled, Cut: a.cut, Stuck: a.stuck, Late: a.late})
	}
	return out
}

// saveTables adds destinations and endpoints.
func (s *Sender) saveTables(out *Saved) {
	for _, d := range s.order {
		x := savedDest{ID: d.id, Kind: int(d.kind), Next: d.next, Lane: d.lane.save(), Hist: d.hist.save(), Used: d.used,
			DownAt: d.downAt, Came: int(d.came)}
		for _, e := range d.eps {
			x.Listed = append(x.Listed, e.id)
		}
		out.Dests = append(out.Dests, x)
	}
	for _, id := range slices.Sorted(maps.Keys(s.eps)) {
		e := s.eps[id]
		x := savedEndpoint{ID: e.id, Zone: int(e.zone), State: e.state, Dest: e.dest.id, Sent: e.sent, Bad: e.bad,
			Slow: e.slow, Fails: int(e.fails), Fulls: int(e.fulls), Suspect: e.suspect, Cold: e.cold, LastOK: e.lastOK,
			LastBad: e.lastBad, Well: e.well, BackAt: e.backAt, TrialAt: e.trialAt, LastSent: e.lastSent,
			Warm: e.warm, TrialGap: e.trialGap}
		if e.lane != e.dest.lane {
			l := e.lane.save()
			x.Lane = &l
		}
		out.Endpoints = append(out.Endpoints, x)
	}
}

// Resume makes a Sender that goes on where the saved one stopped. What does not fit the settings, as those of
// another version may not, is left out.
func Resume(set Settings, seed uint64, x Saved) (*Sender, error) {
	s, err := New(set, seed)
	if err != nil {
		return nil, err
	}
	s.resumeTables(x)
	s.resumeRest(x)
	return s, nil
}

// resumeRest takes up all but destinations and endpoints.
func (s *Sender) resumeRest(x Saved) {
	s.now, s.seq, s.logs, s.stray, s.meanWorth = x.Now, x.Seq, x.Logs, x.Stray, x.MeanWorth
	s.askAt, s.askGap, s.listAt, s.watched, s.saved = x.AskAt, x.AskGap, x.ListAt, x.Watched, x.Old
	s.silent, s.unusableAt = x.Silent, x.UnusableAt
	if s.set.Pushed { // the watch of the process before is over, and ours is yet to begin
		s.unwatch()
	}
	maps.Copy(s.turned, x.Turned)
	maps.Copy(s.room, x.Room)
	for _, id := range x.Banned {
		s.banned[id] = true
	}
	for i := range min(len(x.ByClass), len(s.byClass)) {
		s.byClass[i] = x.ByClass[i].hist()
	}
	for i := range min(len(x.Usage), len(s.usage)) {
		s.usage[i] = usage{x.Usage[i].N, x.Usage[i].At}
	}
	s.resumeMsgs(x)
}

func (s *Sender) resumeTables(x Saved) {
	s.now = x.Now
	for _, sd := range x.Dests {
		d := s.dest(sd.ID)
		d.kind, d.next, d.lane, d.hist = int32(sd.Kind), sd.Next, sd.Lane.lane(), sd.Hist.hist()
		d.used, d.downAt, d.came = sd.Used, sd.DownAt, int32(sd.Came)
	}
	for _, se := range x.Endpoints {
		d := s.dest(se.Dest)
		e := &endpoint{id: se.ID, zone: int32(se.Zone), state: se.State, dest: d, lane: d.lane, sent: se.Sent, bad: se.Bad,
			slow: se.Slow, fails: int32(se.Fails), fulls: int32(se.Fulls), suspect: se.Suspect, cold: se.Cold, lastOK: se.LastOK,
			lastBad: se.LastBad, well: se.Well, backAt: se.BackAt, trialAt: se.TrialAt, lastSent: se.LastSent,
			warm: se.Warm, trialGap: se.TrialGap}
		if se.Lane != nil {
			e.lane = se.Lane.lane()
		}
		d.hurt = d.hurt || e.cold || e.suspect
		s.eps[e.id] = e
	}
	for _, sd := range x.Dests {
		d := s.dest(sd.ID)
		for _, id := range sd.Listed {
			if e := s.eps[id]; e != nil {
				d.eps = append(d.eps, e)
			}
		}
	}
}

func (s *Sender) resumeMsgs(x Saved) {
	for _, sm := range x.Messages {
		if sm.Class < 0 || sm.Class >= len(s.set.Classes) {
			continue
		}
		m := &msg{id: sm.ID, class: &s.set.Classes[sm.Class], ci: sm.Class, share: sm.Share, dest: s.dest(sm.Dest),
			seq: sm.Seq, first: sm.First, deadline: sm.Deadline, tries: sm.Tries, cuts: sm.Cuts, mayRun: sm.MayRun,
			firstMay: sm.FirstMay, mayZone: int32(sm.MayZone), rest: sm.Rest, over: sm.Over, flows: sm.Flows, untried: sm.Untried,
			half: sm.Half, chance: sm.Chance}
		if sm.HasLast {
			m.last = s.eps[sm.Last]
		}
		if s.msgs[m.id] == nil {
			m.dest.msgs++
			s.msgs[m.id] = m
		}
	}
	for _, id := range x.Held {
		if m := s.msgs[id]; m != nil {
			s.held = append(s.held, m)
		}
	}
	for key, l := range x.Keys {
		line := &keyLine{quiet: l.Quiet, by: s.msgs[l.By]}
		for _, id := range l.IDs {
			if m := s.msgs[id]; m != nil {
				line.q, m.line = append(line.q, m), line
			}
		}
		s.keys[key] = line
	}
	calls := map[int]*call{}
	for _, sa := range x.Attempts {
		m, e := s.msgs[sa.ID], s.eps[sa.Endpoint]
		if m == nil || e == nil {
			continue
		}
		c := calls[sa.Call]
		if c == nil {
			c = &call{step: -1}
			calls[sa.Call] = c
			s.busy++
			e.inflight++
			e.lane.inflight++
		}
		c.n++
		c.left++
		a := &attempt{m: m, n: sa.N, ep: e, at: sa.At, call: c, cancelled: sa.Cancelled, cut: sa.Cut, stuck: sa.Stuck,
			late: sa.Late}
		m.out = a
		s.flying = append(s.flying, a)
	}
}
