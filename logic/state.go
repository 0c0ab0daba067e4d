package logic

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
)

// State of a Sender, and helpers that only keep it. What to do with it is decided in logic.go.

// destination is a destination. Its lane is the limit that its endpoints share; routes apart have one each.
type destination struct {
	id           int64
	endpoints    []*endpoint // listed, in list order
	limiter      *limiter
	histogram    histogram
	lastUsedAt   Micros
	lastOutageAt Micros  // when the last outage was seen
	queuedAhead  float64 // messages ahead in the pass at hand
	nextEndpoint int     // rotation of first sends
	kind         int32
	arrivals     int32 // messages since the last outage began
	messageCount int32 // messages in the books
	hadOutage    bool  // an endpoint of it was cold or suspect once
}

type limiter struct {
	limit           float64 // calls a second for all senders, as told; 0 if not
	limitLeft       float64 // share of the limit that is left, as told last
	pace            float64 // 0: free
	halvedAt        Micros
	tokens          float64
	refilledAt      Micros
	waitUntil       Micros // told wait
	firstRejectedAt Micros
	sentTimes       []Micros
	peakRate        float64
	// 0 to 1, drawn at each call: sets the next one apart from those of other senders
	phase                 float64
	inflight              int32
	consecutiveRejections uint16 // in a row
	limitReported         bool   // limit came in a report
}

type endpoint struct {
	id                                         EndpointID
	zone                                       int32
	consecutiveFailures, consecutiveRejections int32 // in a row
	inflight                                   int32
	state                                      EndpointState
	ejected                                    bool // out, as far as we know
	recovering                                 bool // was out; budgeted until backAt+WarmAfter
	listed                                     bool // on the whole list at hand
	destination                                *destination
	limiter                                    *limiter
	sentTimes                                  []Micros
	failureRate                                float64
	lastSuccessAt, lastFailureAt               Micros
	lastHealthyAt                              Micros // last answer that shows it to be well for itself
	lastAnsweredSentAt                         Micros // when the last call that it answered was sent
	returnedAt                                 Micros
	nextTrialAt, trialInterval                 Micros
	smoothedLatency                            float64 // smoothed latency, microseconds
	lastSentAt                                 Micros
	removedAt                                  Micros
	idleConnUntil                              Micros // an idle connection lasts until then
	openCall                                   *call
}

type call struct{ step, attempts, pending int }

type attempt struct {
	message     *message
	number      int
	endpoint    *endpoint
	sentAt      Micros
	call        *call
	cancelled   bool
	cutOff      bool // cancelled at τ
	stuck       bool
	newConn     bool // over a new connection
	countedLate bool // counted as lasting past τ while it is out
}

type message struct {
	id                string
	class             *Class
	classIndex        int
	worthShare        float64 // part of its worth that it keeps by its tenant's quota
	destination       *destination
	seq               int
	receivedAt        Micros // when it was first handed in
	deadline          Micros
	tries             int
	cutOffs           int
	attempt           *attempt
	mayHaveRun        bool
	firstMayHaveRunAt Micros // send of the first attempt that may have run
	mayHaveRunZone    int32
	lastEndpoint      *endpoint
	notBefore         Micros
	keyQueue          *keyQueue
	ended             bool
	streaming         bool
	arrivalStep       int  // step
	untried           bool // a restart found it, or would find it over, and no call of it has been made
	// when half of the time is over that it had here: it waits no longer for the first list
	listWaitUntil Micros
	lastChanceAt  Micros // untried: how long it waits for the pace
	priority      float64
}

type keyQueue struct {
	messages   []*message
	quietUntil Micros
	quietOwner *message
}

// countAfter counts the marks after t.
func countAfter(marks []Micros, t Micros) int {
	n := 0
	for i := len(marks) - 1; i >= 0 && marks[i] > t; i-- {
		n++
	}
	return n
}

func dropBefore(marks []Micros, keep Micros) []Micros {
	i := 0
	for i < len(marks)-1 && marks[i] < keep {
		i++
	}
	return marks[i:]
}

// Sender decides for one sender. Make it with New.
type Sender struct {
	settings          Settings
	rng               *rand.Rand
	now               Micros
	step              int
	actions           []Action
	endpoints         map[EndpointID]*endpoint
	banned            map[EndpointID]bool // taken out by an operator
	destinations      map[int64]*destination
	destinationOrder  []*destination // dests, in the order in which they became known
	messages          map[string]*message
	openMessages      []*message // messages not over, in order of arrival
	attempts          []*attempt
	slotsInUse        int // slots in use
	lastSeq           int
	classHistograms   []histogram
	tenantUsage       []tenantUsage // by tenant
	orderKeys         map[string]*keyQueue
	pruneAbove        [3]int // eps, dests and keys when they are next looked through
	lastSwept         int    // place in order of the last destination that sweep looked at
	nextWakeAt        Micros // when something is next to be done
	timerAt           Micros // when the last timer set goes off; 0 if none is out
	listRequestAt     Micros // when to ask for the list; never if asked
	listRetryDelay    Micros
	listConfirmedAt   Micros // when the list was told last
	watchOpen         bool   // and what changes since is told at once
	listSaved         bool   // it is as saved before the start
	agentUnresponsive bool   // pushed lists: the agent was asked since and said nothing
	// when an answer first came since that could not be used; 0 if none did
	unusableAnswerAt  Micros
	stopAt            Micros // when this sender stops; 0 if it does not
	logLines          int
	manySenders       bool            // senders
	shortestAim       Micros          // the shortest of the classes
	chanceFailureRate float64         // share of calls that fail by chance, at endpoints that are not out
	rejectedShare     map[int]float64 // by kind, share of calls turned away
	newConnsAccepted  map[int]int     // by kind, new connections let in since one was refused
	meanWorth         float64         // of messages that came
}

// histogram is a discounted latency histogram.
type histogram struct {
	bins      *binWeights // nil: all nought
	total     float64
	cutOffs   float64
	updatedAt Micros
	tau       Micros // 0: waiting is best
	median    Micros
	p95       Micros
}

// binWeights are the weights from the lowest bin in use to the highest. A destination's latencies lie close
// together, and a sender of many sees few of them.
type binWeights struct {
	low     int
	weights []float64
}

// weight is the weight of a bin. The last bin holds what lasted past every edge.
func (b *binWeights) weight(i int) float64 {
	if b == nil || i < b.low || i >= b.low+len(b.weights) {
		return 0
	}
	return b.weights[i-b.low]
}

// discount discounts all weights and gives up those at the ends that come to nothing: less than binLeast
// changes no sum that is believed.
func (b *binWeights) discount(f float64) {
	if b == nil {
		return
	}
	for i := range b.weights {
		b.weights[i] *= f
	}
	for len(b.weights) > 0 && b.weights[0] < minBinWeight {
		b.weights = b.weights[1:]
		b.low++
	}
	for len(b.weights) > 0 && b.weights[len(b.weights)-1] < minBinWeight {
		b.weights = b.weights[:len(b.weights)-1]
	}
}

// addSample adds a sample.
func (h *histogram) addSample(i int) {
	if h.bins == nil {
		h.bins = &binWeights{}
	}
	b := h.bins
	switch low, end := min(b.low, i), max(b.low+len(b.weights), i+1); {
	case len(b.weights) == 0:
		b.low, b.weights = i, make([]float64, 1)
	case end-low > len(b.weights):
		w := make([]float64, end-low)
		copy(w[b.low-low:], b.weights)
		b.low, b.weights = low, w
	}
	b.weights[i-b.low]++
}

func (s *Sender) emit(a Action) { s.actions = append(s.actions, a) }

func (s *Sender) wakeBy(t Micros) { s.nextWakeAt = min(s.nextWakeAt, t) }

func (s *Sender) removeEndpoint(e *endpoint) {
	e.state, e.removedAt = Removed, s.now
	e.destination.endpoints = slices.DeleteFunc(e.destination.endpoints,
		func(x *endpoint) bool { return x == e })
}

// removeLeading takes what the leading entries say is gone off the list, each destination in one pass, and
// returns the entries that follow.
func (s *Sender) removeLeading(rows []Entry) []Entry {
	n := 0
	for n < len(rows) && rows[n].State == Removed {
		n++
	}
	if n < 2 {
		return rows
	}
	of := map[*destination]bool{}
	for _, row := range rows[:n] {
		if e := s.endpoints[row.Endpoint]; e != nil {
			e.state, e.removedAt, of[e.destination] = Removed, s.now, true
		}
	}
	for d := range of {
		d.endpoints = slices.DeleteFunc(d.endpoints, func(e *endpoint) bool { return e.state == Removed })
	}
	return rows[n:]
}

func newEndpoint(id EndpointID, d *destination) *endpoint {
	return &endpoint{id: id, destination: d, limiter: d.limiter,
		lastSuccessAt: distantPast, lastFailureAt: distantPast, lastSentAt: distantPast,
		lastHealthyAt: distantPast, lastAnsweredSentAt: distantPast}
}

func (s *Sender) destinationFor(id int64) *destination {
	d := s.destinations[id]
	if d == nil {
		d = &destination{id: id, limiter: s.newLimiter(), lastUsedAt: s.now}
		s.destinations[id] = d
		s.destinationOrder = append(s.destinationOrder, d)
	}
	return d
}

// newLimiter is a lane of which nothing is known. Many senders that start at once call at times of their own.
func (s *Sender) newLimiter() *limiter {
	if !s.manySenders {
		return &limiter{}
	}
	return &limiter{limitLeft: 0.5, refilledAt: s.now, tokens: s.rng.Float64()}
}

func (s *Sender) kindOf(d *destination) Kind {
	if d.kind >= 0 && int(d.kind) < len(s.settings.Kinds) {
		return s.settings.Kinds[d.kind]
	}
	return Kind{}
}

// worthAt is the worth of m if it is delivered at t.
func (s *Sender) worthAt(m *message, t Micros) float64 {
	if t > m.deadline {
		return 0
	}
	c := m.class
	late := float64(t - m.receivedAt - c.Aim)
	switch {
	case late <= 0:
		return c.Worth
	case s.settings.WorthHalves:
		return c.Worth * max(c.LateWorth, math.Exp2(-late/float64(max(c.Aim, 1))))
	}
	return c.Worth * (1 - (1-c.LateWorth)*min(1, late/float64(max(c.Deadline-c.Aim, 1))))
}

// destinationPace is the pace of a destination over all its lanes; 0 if one of them is free.
func (s *Sender) destinationPace(d *destination) float64 {
	if !s.kindOf(d).SeparateRoutes {
		return d.limiter.pace
	}
	sum := 0.0
	for _, e := range d.endpoints {
		if e.limiter.pace == 0 {
			return 0
		}
		sum += e.limiter.pace
	}
	return sum
}

func binIndex(t Micros) int {
	i, _ := slices.BinarySearch(binEdges[:], t)
	return i
}

// applyLoadReport takes the limit that an answer tells.
func (s *Sender) applyLoadReport(e *endpoint, load []float64) {
	if i := s.settings.LimitIndex; i >= 0 && i < len(load) && load[i] > 0 && load[i] <= maxRateRPS {
		e.limiter.limit, e.limiter.limitReported = max(load[i], minRateRPS), true
	}
	if i := s.settings.LimitLeftIndex; i >= 0 && i < len(load) && load[i] >= 0 && e.limiter.limit > 0 {
		e.limiter.limitLeft = min(load[i], 1)
	}
}

// forgetMessage forgets a message that is over, once nothing of it is out.
func (s *Sender) forgetMessage(m *message) {
	if !m.ended {
		m.ended = true
		s.openMessages = slices.DeleteFunc(s.openMessages, func(x *message) bool { return x == m })
	}
	if m.attempt != nil {
		return
	}
	if s.messages[m.id] == m {
		m.destination.messageCount--
		delete(s.messages, m.id)
	}
	if l := m.keyQueue; l != nil {
		l.messages = slices.DeleteFunc(l.messages, func(x *message) bool { return x == m })
		m.keyQueue = nil
	}
}

// finishAttempt takes an attempt that has its outcome off the books and reports whether its call is over with
// it.
func (s *Sender) finishAttempt(a *attempt) bool {
	a.message.attempt, a.message.streaming = nil, false
	s.attempts = slices.DeleteFunc(s.attempts, func(x *attempt) bool { return x == a })
	if a.call.pending--; a.call.pending > 0 {
		return false
	}
	if a.endpoint.openCall == a.call {
		a.endpoint.openCall = nil // no step joins it any more
	}
	s.slotsInUse--
	a.endpoint.inflight--
	a.endpoint.limiter.inflight--
	return true
}

// pruneTables keeps what the tables hold in proportion to what is listed and held: endpoints that are gone,
// destinations without either and order keys at rest are forgotten, each table once it has doubled since.
func (s *Sender) pruneTables() {
	old := s.now - idleStateAge
	if len(s.endpoints) > s.pruneAbove[0] {
		for id, e := range s.endpoints {
			if e.state == Removed && e.inflight == 0 && max(e.lastSentAt, e.removedAt) < old {
				delete(s.endpoints, id)
			}
		}
		s.pruneAbove[0] = max(minPruneAbove, 2*len(s.endpoints))
	}
	if len(s.destinations) > s.pruneAbove[1] {
		s.destinationOrder = slices.DeleteFunc(s.destinationOrder, func(d *destination) bool {
			idle := len(d.endpoints) == 0 && d.messageCount == 0 && d.limiter.inflight == 0 && d.lastUsedAt < old
			if idle {
				delete(s.destinations, d.id)
			}
			return idle
		})
		s.pruneAbove[1] = max(minPruneAbove, 2*len(s.destinations))
	}
	if len(s.orderKeys) > s.pruneAbove[2] {
		for key, l := range s.orderKeys {
			if len(l.messages) == 0 && l.quietUntil < s.now {
				delete(s.orderKeys, key)
			}
		}
		s.pruneAbove[2] = max(minPruneAbove, 2*len(s.orderKeys))
	}
}

// sweepIdle drops what some destinations have learned that were idle for so long that the next message would
// drop it.
func (s *Sender) sweepIdle() {
	for range min(destinationsPerSweep, len(s.destinationOrder)) {
		s.lastSwept = (s.lastSwept + 1) % len(s.destinationOrder)
		d := s.destinationOrder[s.lastSwept]
		if d.histogram.bins != nil && d.messageCount == 0 && d.limiter.inflight == 0 &&
			s.now-d.lastUsedAt > idleStateAge {
			d.histogram = histogram{}
		}
	}
}

// joinsOpenCall says whether a send to e now would travel in a call that this step opens anyway.
func (s *Sender) joinsOpenCall(e *endpoint) bool {
	return e.openCall != nil && e.openCall.step == s.step && e.openCall.attempts < s.kindOf(e.destination).Batch
}

// recordCall notes a call to e for the budget and the pace.
func (s *Sender) recordCall(e *endpoint) {
	l := e.limiter
	keep := s.now - max(s.settings.FallWindow, Second) - 1
	e.sentTimes, l.sentTimes = append(dropBefore(e.sentTimes, keep), s.now),
		append(dropBefore(l.sentTimes, keep), s.now)
	l.peakRate = max(l.peakRate, float64(countAfter(l.sentTimes, s.now-Second)))
}

// addAttempt books an attempt of m at e.
func (s *Sender) addAttempt(m *message, e *endpoint) *attempt {
	e.openCall.attempts++
	e.openCall.pending++
	e.lastSentAt = s.now
	a := &attempt{message: m, number: m.tries, endpoint: e, sentAt: s.now, call: e.openCall}
	m.tries++
	m.attempt, m.lastEndpoint = a, e
	if !m.mayHaveRun {
		m.firstMayHaveRunAt, m.mayHaveRunZone = s.now, e.zone
	}
	s.attempts = append(s.attempts, a)
	return a
}

// trialsInFlight is the number of slots that calls to endpoints that seem out hold.
func (s *Sender) trialsInFlight() (n int) {
	for _, a := range s.attempts {
		if a.endpoint.ejected {
			n++
		}
	}
	return n
}

// seconds is a span as a number.
func seconds(t Micros) float64 { return float64(t) / float64(Second) }

// toMicros is a number of microseconds as a span. Figures that make no sense come to a day at most: more
// might overflow.
func toMicros(x float64) Micros {
	if !(x <= float64(maxWait)) {
		return maxWait
	}
	return Micros(max(x, 0))
}

// acceptMessage takes a new message into the books.
func (s *Sender) acceptMessage(c NewMessage) {
	if s.messages[c.ID] != nil {
		return
	}
	if c.Class < 0 || c.Class >= len(s.settings.Classes) {
		s.emit(Refuse{ID: c.ID})
		return
	}
	s.pruneTables()
	s.sweepIdle()
	class := &s.settings.Classes[c.Class]
	s.lastSeq++
	m := &message{id: c.ID, class: class, classIndex: c.Class, destination: s.destinationFor(c.Destination),
		seq: s.lastSeq, arrivalStep: s.step,
		deadline: s.now + c.TimeLeft, listWaitUntil: s.now + c.TimeLeft/2,
		receivedAt: min(s.now, s.now+c.TimeLeft-class.Deadline)}
	s.dropIfIdle(m.destination)
	m.destination.arrivals++
	s.meanWorth += (class.Worth - s.meanWorth) / float64(min(s.lastSeq, 50))
	m.worthShare = s.tenantWorthShare(c.Tenant)
	s.messages[m.id] = m
	m.destination.messageCount++
	s.openMessages = append(s.openMessages, m)
	if class.KeepOrder && c.Key != "" {
		line := s.orderKeys[c.Key]
		if line == nil {
			line = &keyQueue{}
			s.orderKeys[c.Key] = line
		}
		line.messages = append(line.messages, m)
		m.keyQueue = line
	}
	s.resumeMessage(m, c.Prior)
}

// removeUnlisted takes off the list what is not among the entries.
func (s *Sender) removeUnlisted(rows []Entry) {
	for _, row := range rows {
		if e := s.endpoints[row.Endpoint]; e != nil {
			e.listed = true
		}
	}
	for _, d := range s.destinationOrder {
		d.endpoints = slices.DeleteFunc(d.endpoints, func(e *endpoint) bool {
			if !e.listed {
				e.state, e.removedAt = Removed, s.now
			}
			return !e.listed
		})
	}
	for _, row := range rows {
		if e := s.endpoints[row.Endpoint]; e != nil {
			e.listed = false
		}
	}
}

// openShare is the share of the hold that is taken.
func (s *Sender) openShare() float64 {
	if s.settings.MaxOpen == 0 {
		return 0
	}
	return float64(len(s.openMessages)) / float64(s.settings.MaxOpen)
}

// log writes a line for the people on call, within the cap.
func (s *Sender) log(format string, args ...any) {
	if s.logLines++; s.logLines <= maxLogLines {
		s.emit(Log{fmt.Sprintf(format, args...)})
	}
}

// hasHealthySibling says whether a sibling of e seems well.
func (s *Sender) hasHealthySibling(e *endpoint) bool {
	for _, x := range e.destination.endpoints {
		if x != e && !x.ejected && x.state == Ready && !s.banned[x.id] {
			return true
		}
	}
	return false
}

// cancelAttempt calls an attempt off, once.
func (s *Sender) cancelAttempt(a *attempt) {
	if !a.cancelled && s.settings.MayCancel && !a.message.streaming {
		a.cancelled = true
		s.emit(Cancel{ID: a.message.id, Attempt: a.number})
	}
}

// handleEvent hands an event to the section that it concerns.
func (s *Sender) handleEvent(ev Event) {
	switch ev := ev.(type) {
	case ListUpdate:
		s.applyListUpdate(ev)
	case NewMessage:
		s.acceptMessage(ev)
	case StreamStarted:
		if m := s.messages[ev.ID]; m != nil && m.attempt != nil && m.attempt.number == ev.Attempt {
			m.streaming = true
		}
	case AttemptResult:
		s.handleResult(ev)
	case ClientGone:
		if m := s.messages[ev.ID]; m != nil && !m.ended {
			s.forgetMessage(m)
			if m.attempt != nil {
				s.cancelAttempt(m.attempt)
			}
		}
	case Ban:
		s.banEndpoint(ev.Endpoint)
	case Unban:
		s.unbanEndpoint(ev.Endpoint)
	case DiscoveryMoved:
		s.discoveryMoved()
	case Stopping:
		s.prepareStop(ev.TimeLeft)
	case TimerExpired:
		if s.now >= s.timerAt {
			s.timerAt = 0
		}
	}
}

// tenantUsage is the discounted count of a tenant's messages.
type tenantUsage struct {
	messages  float64
	updatedAt Micros
}
