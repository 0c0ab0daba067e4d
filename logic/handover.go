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
	ByClass    []savedHistogram
	Usage      []savedTenantUsage
	Dests      []savedDestination `json:",omitempty"` // without them the state's tables come in rows
	Endpoints  []savedEndpoint    `json:",omitempty"`
	Sizes      []int              `json:",omitempty"` // then: how many there are of both
	Messages   []savedMessage
	Held       []string // messages not over, in order of arrival
	Attempts   []savedAttempt
	Keys       map[string]savedKeyQueue
}

type savedHistogram struct {
	W           [binCount + 1]float64
	Total, Cuts float64
	At          Micros
}

type savedTenantUsage struct {
	N  float64
	At Micros
}

type savedLimiter struct {
	Limit, Left, Pace, Tokens, Peak, Phase float64
	Told                                   bool
	Halved, Filled, Until, FirstFull       Micros
	Fulls                                  int
	Sent                                   []Micros
}

type savedDestination struct {
	ID           int64
	Kind, Next   int
	Listed       []EndpointID
	Lane         savedLimiter
	Hist         savedHistogram
	Used, DownAt Micros
	Came         int
}

type savedEndpoint struct {
	ID                                                     EndpointID
	Zone                                                   int
	State                                                  EndpointState
	Dest                                                   int64
	Lane                                                   *savedLimiter // nil if it is the destination's
	Sent                                                   []Micros
	Bad, Slow                                              float64
	Fails, Fulls                                           int
	Suspect, Cold                                          bool
	LastOK, LastBad, Well, BackAt, TrialAt, LastSent, Warm Micros
	TrialGap                                               Micros
}

type savedMessage struct {
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

type savedKeyQueue struct {
	IDs   []string
	Quiet Micros
	By    string
}

// ApplyWithoutSending takes what happened like Step, but sends nothing: what it returns are ends and notes only. It is for a
// Sender that is about to be saved.
func (s *Sender) ApplyWithoutSending(now Micros, events []Event) []Action {
	s.now = max(s.now, now)
	s.step++
	s.actions, s.nextWakeAt = nil, never
	for _, ev := range events {
		s.handleEvent(ev)
	}
	return s.actions
}

func (h *histogram) save() savedHistogram {
	x := savedHistogram{Total: h.total, Cuts: h.cutOffs, At: h.updatedAt}
	for i := range x.W {
		x.W[i] = h.bins.weight(i)
	}
	return x
}

func (x savedHistogram) histogram() histogram {
	h := histogram{total: x.Total, cutOffs: x.Cuts, updatedAt: x.At}
	low, end := 0, len(x.W)
	for low < end && x.W[low] == 0 {
		low++
	}
	for end > low && x.W[end-1] == 0 {
		end--
	}
	if low < end {
		h.bins = &binWeights{low, slices.Clone(x.W[low:end])}
	}
	if h.total+max(h.cutOffs, 0) > 0 {
		h.recompute()
	}
	return h
}

func (l *limiter) save() savedLimiter {
	return savedLimiter{Limit: l.limit, Left: l.limitLeft, Pace: l.pace, Tokens: l.tokens, Peak: l.peakRate, Phase: l.phase, Told: l.limitReported,
		Halved: l.halvedAt, Filled: l.refilledAt, Until: l.waitUntil, FirstFull: l.firstRejectedAt, Fulls: int(l.consecutiveRejections), Sent: l.sentTimes}
}

func (x savedLimiter) limiter() *limiter {
	return &limiter{limit: x.Limit, limitLeft: x.Left, pace: x.Pace, tokens: x.Tokens, peakRate: x.Peak, phase: x.Phase, limitReported: x.Told,
		halvedAt: x.Halved, refilledAt: x.Filled, waitUntil: x.Until, firstRejectedAt: x.FirstFull, consecutiveRejections: uint16(min(max(x.Fulls, 0), math.MaxUint16)), sentTimes: x.Sent}
}

// Save returns the state. The Sender must not be used afterwards, unless nobody goes on in its place.
func (s *Sender) Save() Saved { return s.save(true) }

func (s *Sender) save(tables bool) Saved {
	out := Saved{Now: s.now, Seq: s.lastSeq, Logs: s.logLines, Stray: s.chanceFailureRate, MeanWorth: s.meanWorth, Turned: s.rejectedShare, Room: s.newConnsAccepted,
		AskAt: s.listRequestAt, AskGap: s.listRetryDelay, ListAt: s.listConfirmedAt, Watched: s.watchOpen, Old: s.listSaved, Silent: s.agentUnresponsive, UnusableAt: s.unusableAnswerAt, Banned: slices.Sorted(maps.Keys(s.banned)), Keys: map[string]savedKeyQueue{}}
	for i := range s.classHistograms {
		out.ByClass = append(out.ByClass, s.classHistograms[i].save())
	}
	for _, u := range s.tenantUsage {
		out.Usage = append(out.Usage, savedTenantUsage{u.messages, u.updatedAt})
	}
	if tables {
		s.saveTables(&out)
	}
	for key, l := range s.orderKeys {
		x := savedKeyQueue{Quiet: l.quietUntil}
		for _, m := range l.messages {
			x.IDs = append(x.IDs, m.id)
		}
		if l.quietOwner != nil {
			x.By = l.quietOwner.id
		}
		out.Keys[key] = x
	}
	for _, id := range slices.Sorted(maps.Keys(s.messages)) {
		m := s.messages[id]
		x := savedMessage{ID: m.id, Class: m.classIndex, Seq: m.seq, Tries: m.tries, Cuts: m.cutOffs, Share: m.worthShare, Dest: m.destination.id,
			First: m.receivedAt, Deadline: m.deadline, FirstMay: m.firstMayHaveRunAt, Rest: m.notBefore, MayRun: m.mayHaveRun, Over: m.ended,
			Flows: m.streaming, MayZone: int(m.mayHaveRunZone), Untried: m.untried, Half: m.listWaitUntil, Chance: m.lastChanceAt}
		if m.lastEndpoint != nil {
			x.Last, x.HasLast = m.lastEndpoint.id, true
		}
		out.Messages = append(out.Messages, x)
	}
	for _, m := range s.openMessages {
		out.Held = append(out.Held, m.id)
	}
	calls := map[*call]int{}
	for _, a := range s.attempts {
		n, ok := calls[a.call]
		if !ok {
			n = len(calls)
			calls[a.call] = n
		}
		out.Attempts = append(out.Attempts, savedAttempt{ID: a.message.id, N: a.number, Call: n, Endpoint: a.endpoint.id, At: a.sentAt,
			Cancelled: a.cancelled, Cut: a.cutOff, Stuck: a.stuck, Late: a.countedLate})
	}
	return out
}

// saveTables adds destinations and endpoints.
func (s *Sender) saveTables(out *Saved) {
	for _, d := range s.destinationOrder {
		x := savedDestination{ID: d.id, Kind: int(d.kind), Next: d.nextEndpoint, Lane: d.limiter.save(), Hist: d.histogram.save(), Used: d.lastUsedAt,
			DownAt: d.lastOutageAt, Came: int(d.arrivals)}
		for _, e := range d.endpoints {
			x.Listed = append(x.Listed, e.id)
		}
		out.Dests = append(out.Dests, x)
	}
	for _, id := range slices.Sorted(maps.Keys(s.endpoints)) {
		e := s.endpoints[id]
		x := savedEndpoint{ID: e.id, Zone: int(e.zone), State: e.state, Dest: e.destination.id, Sent: e.sentTimes, Bad: e.failureRate,
			Slow: e.smoothedLatency, Fails: int(e.consecutiveFailures), Fulls: int(e.consecutiveRejections), Suspect: e.ejected, Cold: e.recovering, LastOK: e.lastSuccessAt,
			LastBad: e.lastFailureAt, Well: e.lastHealthyAt, BackAt: e.returnedAt, TrialAt: e.nextTrialAt, LastSent: e.lastSentAt,
			Warm: e.idleConnUntil, TrialGap: e.trialInterval}
		if e.limiter != e.destination.limiter {
			l := e.limiter.save()
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
	s.resumeWithoutTables(x)
	return s, nil
}

// resumeWithoutTables takes up all but destinations and endpoints.
func (s *Sender) resumeWithoutTables(x Saved) {
	s.now, s.lastSeq, s.logLines, s.chanceFailureRate, s.meanWorth = x.Now, x.Seq, x.Logs, x.Stray, x.MeanWorth
	s.listRequestAt, s.listRetryDelay, s.listConfirmedAt, s.watchOpen, s.listSaved = x.AskAt, x.AskGap, x.ListAt, x.Watched, x.Old
	s.agentUnresponsive, s.unusableAnswerAt = x.Silent, x.UnusableAt
	if s.settings.ListPushed { // the watch of the process before is over, and ours is yet to begin
		s.endWatch()
	}
	maps.Copy(s.rejectedShare, x.Turned)
	maps.Copy(s.newConnsAccepted, x.Room)
	for _, id := range x.Banned {
		s.banned[id] = true
	}
	for i := range min(len(x.ByClass), len(s.classHistograms)) {
		s.classHistograms[i] = x.ByClass[i].histogram()
	}
	for i := range min(len(x.Usage), len(s.tenantUsage)) {
		s.tenantUsage[i] = tenantUsage{x.Usage[i].N, x.Usage[i].At}
	}
	s.resumeMessages(x)
}

func (s *Sender) resumeTables(x Saved) {
	s.now = x.Now
	for _, sd := range x.Dests {
		d := s.destinationFor(sd.ID)
		d.kind, d.nextEndpoint, d.limiter, d.histogram = int32(sd.Kind), sd.Next, sd.Lane.limiter(), sd.Hist.histogram()
		d.lastUsedAt, d.lastOutageAt, d.arrivals = sd.Used, sd.DownAt, int32(sd.Came)
	}
	for _, se := range x.Endpoints {
		d := s.destinationFor(se.Dest)
		e := &endpoint{id: se.ID, zone: int32(se.Zone), state: se.State, destination: d, limiter: d.limiter, sentTimes: se.Sent, failureRate: se.Bad,
			smoothedLatency: se.Slow, consecutiveFailures: int32(se.Fails), consecutiveRejections: int32(se.Fulls), ejected: se.Suspect, recovering: se.Cold, lastSuccessAt: se.LastOK,
			lastFailureAt: se.LastBad, lastHealthyAt: se.Well, returnedAt: se.BackAt, nextTrialAt: se.TrialAt, lastSentAt: se.LastSent,
			idleConnUntil: se.Warm, trialInterval: se.TrialGap}
		if se.Lane != nil {
			e.limiter = se.Lane.limiter()
		}
		d.hadOutage = d.hadOutage || e.recovering || e.ejected
		s.endpoints[e.id] = e
	}
	for _, sd := range x.Dests {
		d := s.destinationFor(sd.ID)
		for _, id := range sd.Listed {
			if e := s.endpoints[id]; e != nil {
				d.endpoints = append(d.endpoints, e)
			}
		}
	}
}

func (s *Sender) resumeMessages(x Saved) {
	for _, sm := range x.Messages {
		if sm.Class < 0 || sm.Class >= len(s.settings.Classes) {
			continue
		}
		m := &message{id: sm.ID, class: &s.settings.Classes[sm.Class], classIndex: sm.Class, worthShare: sm.Share, destination: s.destinationFor(sm.Dest),
			seq: sm.Seq, receivedAt: sm.First, deadline: sm.Deadline, tries: sm.Tries, cutOffs: sm.Cuts, mayHaveRun: sm.MayRun,
			firstMayHaveRunAt: sm.FirstMay, mayHaveRunZone: int32(sm.MayZone), notBefore: sm.Rest, ended: sm.Over, streaming: sm.Flows, untried: sm.Untried,
			listWaitUntil: sm.Half, lastChanceAt: sm.Chance}
		if sm.HasLast {
			m.lastEndpoint = s.endpoints[sm.Last]
		}
		if s.messages[m.id] == nil {
			m.destination.messageCount++
			s.messages[m.id] = m
		}
	}
	for _, id := range x.Held {
		if m := s.messages[id]; m != nil {
			s.openMessages = append(s.openMessages, m)
		}
	}
	for key, l := range x.Keys {
		line := &keyQueue{quietUntil: l.Quiet, quietOwner: s.messages[l.By]}
		for _, id := range l.IDs {
			if m := s.messages[id]; m != nil {
				line.messages, m.keyQueue = append(line.messages, m), line
			}
		}
		s.orderKeys[key] = line
	}
	calls := map[int]*call{}
	for _, sa := range x.Attempts {
		m, e := s.messages[sa.ID], s.endpoints[sa.Endpoint]
		if m == nil || e == nil {
			continue
		}
		c := calls[sa.Call]
		if c == nil {
			c = &call{step: -1}
			calls[sa.Call] = c
			s.slotsInUse++
			e.inflight++
			e.limiter.inflight++
		}
		c.attempts++
		c.pending++
		a := &attempt{message: m, number: sa.N, endpoint: e, sentAt: sa.At, call: c, cancelled: sa.Cancelled, cutOff: sa.Cut, stuck: sa.Stuck,
			countedLate: sa.Late}
		m.attempt = a
		s.attempts = append(s.attempts, a)
	}
}
