package logic

// The state of a Sender in a form that can be encoded, for a process that takes over from this one. Save
// and Resume handle it as a whole; table_rows.go has a form for many endpoints. The names of the fields
// are part of the encoding, so comments say what the fields hold. Numbers that follow from the rest, such
// as the calls in flight, are not saved but computed anew.

import (
	"maps"
	"math"
	"slices"
)

// Saved is the whole state of a Sender, for another one that continues in its place. Points in time are
// those of the Sender's clock, which the one that continues keeps using.
type Saved struct {
	Now        Micros
	Seq, Logs  int             // lastSeq and logLines
	Stray      float64         // chanceFailureRate
	MeanWorth  float64         // meanWorth
	Turned     map[int]float64 // rejectedShare
	Room       map[int]int     // newConnsSinceRejected
	AskAt      Micros          // listRequestAt
	AskGap     Micros          // listRetryDelay
	ListAt     Micros          // listConfirmedAt
	Watched    bool            // watchOpen
	Silent     bool            `json:",omitempty"` // agentUnresponsive
	UnusableAt Micros          `json:",omitempty"` // unusableAnswerAt
	FaultyAt   Micros          `json:",omitempty"` // faultyAnswerAt
	Old        bool            // listSaved
	Banned     []EndpointID
	ByClass    []savedHistogram   // classHistograms
	Usage      []savedTenantUsage // tenantUsage
	Dests      []savedDestination `json:",omitempty"` // nil if the tables are transferred as rows
	Endpoints  []savedEndpoint    `json:",omitempty"` // nil in that case too
	Sizes      []int              `json:",omitempty"` // in that case: the numbers of destinations and endpoints
	Messages   []savedMessage
	Held       []string // openMessages, by ID
	Attempts   []savedAttempt
	Keys       map[string]savedKeyQueue // orderKeys
}

// savedHistogram is a histogram. W holds the weights of all bins, Total is answeredWeight, and Cuts is
// cutOffWeight.
type savedHistogram struct {
	W           [binEdgeCount + 1]float64
	Total, Cuts float64
	At          Micros
}

// savedTenantUsage is a tenantUsage.
type savedTenantUsage struct {
	N  float64
	At Micros
}

// savedLimiter is a limiter. Left is limitLeft, Until waitUntil, Sent sentTimes, Told limitReported,
// Filled refilledAt, Fulls consecutiveRejections, FirstFull firstRejectedAt, OKAt lastSuccessAt and BadAt
// lastFailureAt.
type savedLimiter struct {
	Limit, Left, Pace, Tokens, Peak, Phase float64
	Told                                   bool
	Halved, Filled, Until, FirstFull       Micros
	Fulls                                  int
	Sent                                   []Micros
	OKAt, BadAt                            Micros `json:",omitempty"`
}

// savedDestination is a destination. Lane is its limiter, Listed endpoints, Next nextEndpoint, DownAt
// lastOutageAt and Came arrivals.
type savedDestination struct {
	ID           int64
	Kind, Next   int
	Listed       []EndpointID
	Lane         savedLimiter
	Hist         savedHistogram
	Used, DownAt Micros
	Came         int
}

// savedEndpoint is an endpoint. Lane is its own limiter, Bad failureRate, Slow smoothedLatency, Fails
// consecutiveFailures, Fulls consecutiveRejections, Suspect ejected, Cold recovering, Chance suspected,
// LastOK lastSuccessAt, LastBad lastFailureAt, Well lastHealthyAt, BackAt returnedAt, TrialAt nextTrialAt,
// Warm idleConnUntil, TrialGap trialInterval and Answered lastAnsweredSentAt, 0 if there is none.
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
	Chance                                                 bool `json:",omitempty"`
	LastOK, LastBad, Well, BackAt, TrialAt, LastSent, Warm Micros
	TrialGap                                               Micros
	Answered                                               Micros `json:",omitempty"`
}

// savedMessage is a message. Cuts is cutOffs, Share worthShare, First receivedAt, FirstMay
// firstMayHaveRunAt, MayZone mayHaveRunZone, Rest notBefore, Over ended, Flows streaming, Half
// listWaitUntil and Chance lastChanceAt.
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

// savedAttempt is an attempt in flight. Cut is cutOff and Late countedLate.
type savedAttempt struct {
	ID                          string
	N, Call                     int // attempts with the same Call travel in one call
	Endpoint                    EndpointID
	At                          Micros
	Cancelled, Cut, Stuck, Late bool
}

// savedKeyQueue is a keyQueue. By is the ID of quietOwner; empty if there is none.
type savedKeyQueue struct {
	IDs   []string
	Quiet Micros
	By    string
}

// ApplyWithoutSending applies events like Step but starts nothing: the actions that it returns only end
// messages, cancel attempts, release connections or log. It is for a Sender that is about to be saved.
func (s *Sender) ApplyWithoutSending(now Micros, events []Event) []Action {
	s.now = max(s.now, now)
	s.step++
	s.actions, s.nextWakeAt = nil, never
	for _, ev := range events {
		s.handleEvent(ev)
	}
	return s.actions
}

// save returns the histogram in its saved form.
func (h *histogram) save() savedHistogram {
	x := savedHistogram{Total: h.answeredWeight, Cuts: h.cutOffWeight, At: h.updatedAt}
	for i := range x.W {
		x.W[i] = h.bins.weight(i)
	}
	return x
}

// histogram restores the histogram. The restart time and the percentiles are computed anew.
func (x savedHistogram) histogram() histogram {
	h := histogram{answeredWeight: x.Total, cutOffWeight: x.Cuts, updatedAt: x.At}
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
	if h.answeredWeight+max(h.cutOffWeight, 0) > 0 {
		h.recompute()
	}
	return h
}

// save returns the limiter in its saved form.
func (l *limiter) save() savedLimiter {
	return savedLimiter{Limit: l.limit, Left: l.limitLeft, Pace: l.pace, Tokens: l.tokens, Peak: l.peakRate,
		Phase: l.phase, Told: l.limitReported,
		Halved: l.paceReducedAt, Filled: l.refilledAt, Until: l.waitUntil, FirstFull: l.firstRejectedAt,
		Fulls: int(l.consecutiveRejections), Sent: l.sentTimes,
		OKAt: zeroIfDistantPast(l.lastSuccessAt), BadAt: zeroIfDistantPast(l.lastFailureAt)}
}

// limiter restores the limiter.
func (x savedLimiter) limiter() *limiter {
	return &limiter{limit: x.Limit, limitLeft: x.Left, pace: x.Pace, tokens: x.Tokens, peakRate: x.Peak,
		phase: x.Phase, limitReported: x.Told,
		paceReducedAt: x.Halved, refilledAt: x.Filled, waitUntil: x.Until, firstRejectedAt: x.FirstFull,
		consecutiveRejections: uint16(min(max(x.Fulls, 0), math.MaxUint16)), sentTimes: x.Sent,
		lastSuccessAt: distantPastIfZero(x.OKAt), lastFailureAt: distantPastIfZero(x.BadAt)}
}

// zeroIfDistantPast returns a point in time as it is saved in a field that earlier versions do not have: it is
// left out if the time is not known.
func zeroIfDistantPast(t Micros) Micros {
	if t == distantPast {
		return 0
	}
	return t
}

// distantPastIfZero is the inverse of zeroIfDistantPast.
func distantPastIfZero(t Micros) Micros {
	if t == 0 {
		return distantPast
	}
	return t
}

// Save returns the state. The Sender must not be used afterwards if another one continues in its place.
func (s *Sender) Save() Saved { return s.save(true) }

// save returns the state, with the tables of destinations and endpoints or without them.
func (s *Sender) save(tables bool) Saved {
	out := Saved{Now: s.now, Seq: s.lastSeq, Logs: s.logLines, Stray: s.chanceFailureRate,
		MeanWorth: s.meanWorth, Turned: s.rejectedShare, Room: s.newConnsSinceRejected,
		AskAt: s.listRequestAt, AskGap: s.listRetryDelay, ListAt: s.listConfirmedAt, Watched: s.watchOpen,
		Old: s.listSaved, Silent: s.agentUnresponsive, UnusableAt: s.unusableAnswerAt, FaultyAt: s.faultyAnswerAt,
		Banned: slices.Sorted(maps.Keys(s.banned)), Keys: map[string]savedKeyQueue{}}
	for i := range s.classHistograms {
		out.ByClass = append(out.ByClass, s.classHistograms[i].save())
	}
	for _, u := range s.tenantUsage {
		out.Usage = append(out.Usage, savedTenantUsage{u.messages, u.updatedAt})
	}
	if tables {
		s.saveTables(&out)
	}
	for key, queue := range s.orderKeys {
		x := savedKeyQueue{Quiet: queue.quietUntil}
		for _, m := range queue.messages {
			x.IDs = append(x.IDs, m.id)
		}
		if queue.quietOwner != nil {
			x.By = queue.quietOwner.id
		}
		out.Keys[key] = x
	}
	for _, id := range slices.Sorted(maps.Keys(s.messages)) {
		m := s.messages[id]
		x := savedMessage{ID: m.id, Class: m.classIndex, Seq: m.seq, Tries: m.tries, Cuts: m.cutOffs,
			Share: m.worthShare, Dest: m.destination.id,
			First: m.receivedAt, Deadline: m.deadline, FirstMay: m.firstMayHaveRunAt, Rest: m.notBefore,
			MayRun: m.mayHaveRun, Over: m.ended,
			Flows: m.streaming, MayZone: int(m.mayHaveRunZone), Untried: m.untriedAtRestart, Half: m.listWaitUntil,
			Chance: m.lastChanceAt}
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
		out.Attempts = append(out.Attempts, savedAttempt{ID: a.message.id, N: a.number, Call: n,
			Endpoint: a.endpoint.id, At: a.sentAt,
			Cancelled: a.cancelled, Cut: a.cutOff, Stuck: a.stuck, Late: a.countedLate})
	}
	return out
}

// saveTables adds the destinations and endpoints to the saved state.
func (s *Sender) saveTables(out *Saved) {
	for _, d := range s.destinationOrder {
		x := savedDestination{ID: d.id, Kind: int(d.kind), Next: d.nextEndpoint, Lane: d.limiter.save(),
			Hist: d.histogram.save(), Used: d.lastUsedAt,
			DownAt: d.lastOutageAt, Came: int(d.arrivals)}
		for _, e := range d.endpoints {
			x.Listed = append(x.Listed, e.id)
		}
		out.Dests = append(out.Dests, x)
	}
	for _, id := range slices.Sorted(maps.Keys(s.endpoints)) {
		e := s.endpoints[id]
		x := savedEndpoint{ID: e.id, Zone: int(e.zone), State: e.state, Dest: e.destination.id,
			Sent: e.sentTimes, Bad: e.failureRate,
			Slow: e.smoothedLatency, Fails: int(e.consecutiveFailures), Fulls: int(e.consecutiveRejections),
			Suspect: e.ejected, Cold: e.recovering, Chance: e.suspected, LastOK: e.lastSuccessAt,
			LastBad: e.lastFailureAt, Well: e.lastHealthyAt, BackAt: e.returnedAt, TrialAt: e.nextTrialAt,
			LastSent: e.lastSentAt,
			Warm:     e.idleConnUntil, TrialGap: e.trialInterval,
			Answered: zeroIfDistantPast(e.lastAnsweredSentAt)}
		if e.limiter != e.destination.limiter {
			l := e.limiter.save()
			x.Lane = &l
		}
		out.Endpoints = append(out.Endpoints, x)
	}
}

// Resume makes a Sender that continues where the saved one stopped. What does not fit the settings, as
// the state of another version may not, is left out.
func Resume(settings Settings, seed uint64, saved Saved) (*Sender, error) {
	s, err := New(settings, seed)
	if err != nil {
		return nil, err
	}
	s.resumeTables(saved)
	s.resumeWithoutTables(saved)
	return s, nil
}

// resumeWithoutTables restores everything but destinations and endpoints.
func (s *Sender) resumeWithoutTables(saved Saved) {
	s.now, s.lastSeq, s.logLines, s.chanceFailureRate, s.meanWorth = saved.Now, saved.Seq, saved.Logs,
		saved.Stray, saved.MeanWorth
	s.listRequestAt, s.listRetryDelay, s.listConfirmedAt, s.watchOpen, s.listSaved = saved.AskAt, saved.AskGap,
		saved.ListAt, saved.Watched, saved.Old
	s.agentUnresponsive, s.unusableAnswerAt = saved.Silent, saved.UnusableAt
	s.faultyAnswerAt = max(saved.FaultyAt, saved.UnusableAt) // an earlier version hands over the first time only
	if s.settings.ListPushed {                               // the watch of the previous process is over, and this one has none yet
		s.endWatch(0)
	}
	maps.Copy(s.rejectedShare, saved.Turned)
	maps.Copy(s.newConnsSinceRejected, saved.Room)
	for _, id := range saved.Banned {
		s.banned[id] = true
	}
	for i := range min(len(saved.ByClass), len(s.classHistograms)) {
		s.classHistograms[i] = saved.ByClass[i].histogram()
	}
	for i := range min(len(saved.Usage), len(s.tenantUsage)) {
		s.tenantUsage[i] = tenantUsage{saved.Usage[i].N, saved.Usage[i].At}
	}
	s.resumeMessages(saved)
}

// resumeTables restores destinations and endpoints.
func (s *Sender) resumeTables(saved Saved) {
	s.now = saved.Now
	for _, sd := range saved.Dests {
		d := s.destinationFor(sd.ID)
		d.kind, d.nextEndpoint, d.limiter, d.histogram = int32(sd.Kind), sd.Next, sd.Lane.limiter(),
			sd.Hist.histogram()
		d.lastUsedAt, d.lastOutageAt, d.arrivals = sd.Used, sd.DownAt, int32(sd.Came)
	}
	for _, se := range saved.Endpoints {
		d := s.destinationFor(se.Dest)
		e := &endpoint{id: se.ID, zone: int32(se.Zone), state: se.State, destination: d, limiter: d.limiter,
			sentTimes: se.Sent, failureRate: se.Bad,
			smoothedLatency: se.Slow, consecutiveFailures: int32(se.Fails),
			consecutiveRejections: int32(se.Fulls), ejected: se.Suspect, recovering: se.Cold, suspected: se.Chance,
			lastSuccessAt: se.LastOK,
			lastFailureAt: se.LastBad, lastHealthyAt: se.Well, returnedAt: se.BackAt,
			nextTrialAt: se.TrialAt, lastSentAt: se.LastSent,
			idleConnUntil: se.Warm, trialInterval: se.TrialGap,
			lastAnsweredSentAt: distantPastIfZero(se.Answered)}
		if se.Lane != nil {
			e.limiter = se.Lane.limiter()
		}
		d.hadOutage = d.hadOutage || e.recovering || e.ejected
		s.endpoints[e.id] = e
	}
	for _, sd := range saved.Dests {
		d := s.destinationFor(sd.ID)
		for _, id := range sd.Listed {
			if e := s.endpoints[id]; e != nil {
				d.endpoints = append(d.endpoints, e)
			}
		}
	}
}

// resumeMessages restores messages, order keys and attempts in flight. Attempts of unknown messages or
// endpoints are left out.
func (s *Sender) resumeMessages(saved Saved) {
	for _, sm := range saved.Messages {
		if sm.Class < 0 || sm.Class >= len(s.settings.Classes) {
			continue
		}
		m := &message{id: sm.ID, class: &s.settings.Classes[sm.Class], classIndex: sm.Class,
			worthShare: sm.Share, destination: s.destinationFor(sm.Dest),
			seq: sm.Seq, receivedAt: sm.First, deadline: sm.Deadline, tries: sm.Tries, cutOffs: sm.Cuts,
			mayHaveRun:        sm.MayRun,
			firstMayHaveRunAt: sm.FirstMay, mayHaveRunZone: int32(sm.MayZone), notBefore: sm.Rest,
			ended: sm.Over, streaming: sm.Flows, untriedAtRestart: sm.Untried,
			listWaitUntil: sm.Half, lastChanceAt: sm.Chance}
		if sm.HasLast {
			m.lastEndpoint = s.endpoints[sm.Last]
		}
		if s.messages[m.id] == nil {
			m.destination.messageCount++
			s.messages[m.id] = m
		}
	}
	for _, id := range saved.Held {
		if m := s.messages[id]; m != nil {
			s.openMessages = append(s.openMessages, m)
		}
	}
	for key, savedQueue := range saved.Keys {
		queue := &keyQueue{quietUntil: savedQueue.Quiet, quietOwner: s.messages[savedQueue.By]}
		for _, id := range savedQueue.IDs {
			if m := s.messages[id]; m != nil {
				queue.messages, m.keyQueue = append(queue.messages, m), queue
			}
		}
		s.orderKeys[key] = queue
	}
	calls := map[int]*call{}
	for _, sa := range saved.Attempts {
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
		a := &attempt{message: m, number: sa.N, endpoint: e, sentAt: sa.At, call: c,
			cancelled: sa.Cancelled, cutOff: sa.Cut, stuck: sa.Stuck,
			countedLate: sa.Late}
		m.attempt = a
		s.attempts = append(s.attempts, a)
	}
}
