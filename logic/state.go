package logic

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
)

// The state of a Sender and the helpers that maintain it. Three tables hold it: the destinations, their
// endpoints, and the messages that have not ended. A destination keeps a histogram of its latencies and a
// limiter, which holds its rate limit and pace. Decisions are made in the files that logic.go lists.
//
// In the whole package d is a destination, e an endpoint, l a limiter, m a message, a an attempt and h a
// histogram.

// destination is the state of one destination.
type destination struct {
	id        int64
	endpoints []*endpoint // listed ones, in list order
	// Shared by the endpoints; with Kind.SeparateRoutes each endpoint has its own and this one counts no calls.
	limiter      *limiter
	histogram    histogram // of the latencies of all its endpoints
	lastUsedAt   Micros    // when the last message for it arrived
	lastOutageAt Micros    // when its last outage was first noticed
	queuedAhead  float64   // during dispatch: messages for it that are more urgent and have to wait
	nextEndpoint int       // index at which the rotation of first attempts continues
	kind         int32     // index in Settings.Kinds
	arrivals     int32     // messages accepted for it since its last outage was noticed
	messageCount int32     // messages for it in Sender.messages
	hadOutage    bool      // one of its endpoints has been ejected or recovering at some time
}

// limiter is what endpoints that share a rate limit have in common: the limit, and the pace that this sender
// keeps to because of rejections. Calls take tokens from a bucket that fills at the pace.
type limiter struct {
	limit           float64  // rate limit in calls a second for all senders together; 0 if not known
	limitLeft       float64  // unused share of the limit in the last load report, 0 to 1
	pace            float64  // this sender's calls a second; 0 if it has none
	paceReducedAt   Micros   // when the pace was last set or halved
	tokens          float64  // calls that may be sent at refilledAt; below 0, calls have to wait
	refilledAt      Micros   // when tokens was last computed
	waitUntil       Micros   // end of the last retry-after wait
	firstRejectedAt Micros   // first of the rejections in a row
	sentTimes       []Micros // send times of recent calls, in order
	peakRate        float64  // most calls that this sender sent in one second
	// A random number from 0 to 1, drawn anew for each call. During a slow start it spreads the next
	// call in time from those of other senders.
	phase                 float64
	lastSuccessAt         Micros // last answer to a call that was sent after the last failure
	lastFailureAt         Micros // last failure or rejection
	inflight              int32  // calls in flight
	consecutiveRejections uint16 // in a row, at all endpoints together
	limitReported         bool   // limit comes from a load report, not from the endpoint list
}

// endpoint is the state of one endpoint. The points in time that have not happened yet are distantPast or 0.
type endpoint struct {
	id                                         EndpointID
	zone                                       int32
	consecutiveFailures, consecutiveRejections int32 // in a row, ended by a success
	inflight                                   int32 // calls in flight
	state                                      EndpointState
	ejected                                    bool // taken for down: gets single trial calls only
	recovering                                 bool // after an outage: budgeted until returnedAt+WarmAfter
	suspected                                  bool // recovering or ejected, but its failures may be chance
	inListUpdate                               bool // used by removeUnlisted only: on the list that it applies
	destination                                *destination
	limiter                                    *limiter
	sentTimes                                  []Micros // send times of recent calls, in order
	failureRate                                float64  // smoothed share of calls that failed, 0 to 1
	lastSuccessAt, lastFailureAt               Micros
	lastHealthyAt                              Micros  // latest time at which answers show it to be healthy
	lastAnsweredSentAt                         Micros  // send time of the latest call that was answered
	returnedAt                                 Micros  // first answer since the last outage began
	nextTrialAt, trialInterval                 Micros  // ejected: next trial call, and the time between two
	smoothedLatency                            float64 // microseconds; 0 if not known
	lastSentAt                                 Micros
	removedAt                                  Micros
	idleConnUntil                              Micros // an idle connection is open until then
	openCall                                   *call  // the call that further messages of this Step may join
}

// call is a call in flight, which carries one or more attempts: the Step that opened it, how many attempts it
// carries and how many of them have no outcome yet.
type call struct{ step, attempts, pending int }

// attempt is an attempt that has no outcome yet.
type attempt struct {
	message     *message
	number      int // 0 for the message's first
	endpoint    *endpoint
	sentAt      Micros
	call        *call
	cancelled   bool
	cutOff      bool // cancelled because it passed the restart time
	stuck       bool // without an answer for longer than stuckAfter
	newConn     bool // sent on a new connection
	countedLate bool // counted in the histograms as a cut-off while it is still in flight
}

// message is a message that has not ended, or that has ended with an attempt still in flight.
type message struct {
	id                string
	class             *Class
	classIndex        int
	worthShare        float64 // share of its worth that its tenant's quota leaves, 0 to 1
	destination       *destination
	seq               int    // number in order of arrival, from 1
	receivedAt        Micros // when it was first accepted, also if that was before a restart
	deadline          Micros
	tries             int      // attempts made
	cutOffs           int      // attempts cancelled for taking too long
	attempt           *attempt // the one in flight; nil if none
	mayHaveRun        bool     // an attempt may have taken effect
	firstMayHaveRunAt Micros   // when the first attempt that may have run was sent
	mayHaveRunZone    int32    // zone of that attempt's endpoint
	lastEndpoint      *endpoint
	notBefore         Micros    // not sent before then
	keyQueue          *keyQueue // nil if its order does not matter
	ended             bool
	streaming         bool // an answer is streaming to the client: neither cancelled nor retried
	arrivalStep       int  // the Step that accepted it
	// Was found after a restart, or would expire during one, and has not been sent yet.
	untriedAtRestart bool
	// It waits for the first list after a start until then: half of the time that it had on arrival.
	listWaitUntil Micros
	lastChanceAt  Micros  // untriedAtRestart: from then on, at the latest, it is sent regardless of the pace
	priority      float64 // during dispatch: higher goes first
}

// keyQueue holds the messages of one order key, in order of arrival.
type keyQueue struct {
	messages   []*message
	quietUntil Micros   // the key rests until then, since an earlier attempt may still run
	quietOwner *message // the message of that attempt, which may be retried during the rest
}

// countAfter returns how many of the times, which are in order, lie after t.
func countAfter(times []Micros, t Micros) int {
	n := 0
	for i := len(times) - 1; i >= 0 && times[i] > t; i-- {
		n++
	}
	return n
}

// dropBefore returns the times, which are in order, without those before t. The last one always stays.
func dropBefore(times []Micros, t Micros) []Micros {
	i := 0
	for i < len(times)-1 && times[i] < t {
		i++
	}
	return times[i:]
}

// Sender decides for one sender. Make it with New.
type Sender struct {
	settings          Settings
	rng               *rand.Rand
	now               Micros
	step              int      // number of the current Step
	actions           []Action // of the current Step
	endpoints         map[EndpointID]*endpoint
	banned            map[EndpointID]bool // by an operator
	destinations      map[int64]*destination
	destinationOrder  []*destination // the destinations, in the order in which they became known
	messages          map[string]*message
	openMessages      []*message // messages that have not ended, in order of arrival
	attempts          []*attempt // in flight
	slotsInUse        int        // calls in flight
	lastSeq           int        // seq of the last message
	classHistograms   []histogram
	tenantUsage       []tenantUsage        // by tenant
	orderKeys         map[string]*keyQueue // by order key
	pruneAbove        [3]int               // sizes above which endpoints, destinations and orderKeys are pruned
	lastSwept         int                  // index in destinationOrder that sweepIdle looked at last
	nextWakeAt        Micros               // when Step has to be called again; never if only with an event
	timerAt           Micros               // when the timer in use runs out; 0 if there is none
	listRequestAt     Micros               // when to request the list; never if no request is due
	listRetryDelay    Micros               // delay after the next list request that fails
	listConfirmedAt   Micros               // when the list was last known to be up to date
	watchOpen         bool                 // changes of the list arrive as they happen
	listSaved         bool                 // the list was saved before the start, and it may lack changes
	agentUnresponsive bool                 // ListPushed: the last request to the agent got no answer at all
	agentSilentAt     Micros               // when that request ended
	listRequestUnsent bool                 // this host could not send the last request for the list
	// When the first unusable answer since the last usable one arrived; 0 if there is none.
	unusableAnswerAt Micros
	// When the last answer arrived that was late, unusable or a rejection; 0 if the last answer was none
	// of these.
	faultyAnswerAt        Micros
	stopAt                Micros // when this sender stops; 0 if no stop is announced
	logLines              int
	manySenders           bool            // more senders than manySendersAbove
	shortestAim           Micros          // shortest Aim of the classes
	chanceFailureRate     float64         // smoothed share of calls that fail by chance, where nothing is down
	rejectedShare         map[int]float64 // by kind: smoothed share of calls that were rejected
	newConnsSinceRejected map[int]int     // by kind: see recordConnRoom
	meanWorth             float64         // mean of Class.Worth over recent messages
}

// histogram is a latency histogram in which old samples lose weight, see restart_time.go. The median and
// the 95th percentile are upper edges of bins, over all attempts that were answered; 0 if there is no
// sample.
type histogram struct {
	bins           *binWeights // nil if all weights are 0
	answeredWeight float64     // weight of the attempts that were answered
	cutOffWeight   float64     // weight of the attempts that were cut off or are countedLate
	updatedAt      Micros
	tau            Micros // restart time; 0 if waiting is best
	median         Micros
	p95            Micros
}

// binWeights holds the weights from the lowest to the highest bin in use. A destination's latencies lie
// close together, and a sender with many destinations has few samples of each, so that most bins are
// empty.
type binWeights struct {
	low     int // index of the first bin in weights
	weights []float64
}

// weight returns the weight of bin i. The last bin holds the samples past the last edge.
func (b *binWeights) weight(i int) float64 {
	if b == nil || i < b.low || i >= b.low+len(b.weights) {
		return 0
	}
	return b.weights[i-b.low]
}

// discount multiplies all weights by factor and drops the bins at both ends whose weight is under
// minBinWeight. A weight so small changes no result that is used.
func (b *binWeights) discount(factor float64) {
	if b == nil {
		return
	}
	for i := range b.weights {
		b.weights[i] *= factor
	}
	for len(b.weights) > 0 && b.weights[0] < minBinWeight {
		b.weights = b.weights[1:]
		b.low++
	}
	for len(b.weights) > 0 && b.weights[len(b.weights)-1] < minBinWeight {
		b.weights = b.weights[:len(b.weights)-1]
	}
}

// addSample adds a sample of weight 1 to bin i.
func (h *histogram) addSample(i int) {
	if h.bins == nil {
		h.bins = &binWeights{}
	}
	b := h.bins
	switch low, end := min(b.low, i), max(b.low+len(b.weights), i+1); {
	case len(b.weights) == 0:
		b.low, b.weights = i, make([]float64, 1)
	case end-low > len(b.weights):
		weights := make([]float64, end-low)
		copy(weights[b.low-low:], b.weights)
		b.low, b.weights = low, weights
	}
	b.weights[i-b.low]++
}

// emit adds an action to those that Step returns.
func (s *Sender) emit(a Action) { s.actions = append(s.actions, a) }

// wakeBy asks for a Step at t at the latest.
func (s *Sender) wakeBy(t Micros) { s.nextWakeAt = min(s.nextWakeAt, t) }

// removeEndpoint takes an endpoint off the list of its destination. Its state is kept for a while, see
// pruneTables.
func (s *Sender) removeEndpoint(e *endpoint) {
	e.state, e.removedAt = Removed, s.now
	e.destination.endpoints = slices.DeleteFunc(e.destination.endpoints,
		func(x *endpoint) bool { return x == e })
}

// removeLeading applies the leading entries in state Removed, with one pass over the endpoints of each
// destination, and returns the entries that follow. A single one is left to applyEntry.
func (s *Sender) removeLeading(entries []Entry) []Entry {
	n := 0
	for n < len(entries) && entries[n].State == Removed {
		n++
	}
	if n < 2 {
		return entries
	}
	affected := map[*destination]bool{}
	for _, entry := range entries[:n] {
		if e := s.endpoints[entry.Endpoint]; e != nil {
			e.state, e.removedAt, affected[e.destination] = Removed, s.now, true
		}
	}
	for d := range affected {
		d.endpoints = slices.DeleteFunc(d.endpoints, func(e *endpoint) bool { return e.state == Removed })
	}
	return entries[n:]
}

// newEndpoint returns an endpoint of which nothing is known but its ID and destination.
func newEndpoint(id EndpointID, d *destination) *endpoint {
	return &endpoint{id: id, destination: d, limiter: d.limiter,
		lastSuccessAt: distantPast, lastFailureAt: distantPast, lastSentAt: distantPast,
		lastHealthyAt: distantPast, lastAnsweredSentAt: distantPast}
}

// destinationFor returns the destination with this ID and adds it if it is not known.
func (s *Sender) destinationFor(id int64) *destination {
	d := s.destinations[id]
	if d == nil {
		d = &destination{id: id, limiter: s.newLimiter(), lastUsedAt: s.now}
		s.destinations[id] = d
		s.destinationOrder = append(s.destinationOrder, d)
	}
	return d
}

// newLimiter returns a limiter of which nothing is known. Among many senders half of a limit counts as
// left, and it starts with a random part of a token, so that senders that start together do not call at
// the same time.
func (s *Sender) newLimiter() *limiter {
	l := unknownLimiter()
	if s.manySenders {
		l.limitLeft, l.refilledAt, l.tokens = 0.5, s.now, s.rng.Float64()
	}
	return l
}

// unknownLimiter returns a limiter whose fields have their default values.
func unknownLimiter() *limiter {
	return &limiter{lastSuccessAt: distantPast, lastFailureAt: distantPast}
}

// kindOf returns the kind of a destination, or the zero Kind if the settings do not have it.
func (s *Sender) kindOf(d *destination) Kind {
	if d.kind >= 0 && int(d.kind) < len(s.settings.Kinds) {
		return s.settings.Kinds[d.kind]
	}
	return Kind{}
}

// worthAt returns what m is worth if it is delivered at t: the full worth of its class within the aim, 0
// after the deadline, and in between a worth that falls as Settings.WorthHalves says.
func (s *Sender) worthAt(m *message, t Micros) float64 {
	if t > m.deadline {
		return 0
	}
	class := m.class
	lateness := float64(t - m.receivedAt - class.Aim)
	switch {
	case lateness <= 0:
		return class.Worth
	case s.settings.WorthHalves:
		return class.Worth * max(class.LateWorth, math.Exp2(-lateness/float64(max(class.Aim, 1))))
	}
	return class.Worth * (1 - (1-class.LateWorth)*min(1, lateness/float64(max(class.Deadline-class.Aim, 1))))
}

// destinationPace returns the pace of a destination in calls a second, over all its limiters; 0 if one of
// them has no pace.
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

// binIndex returns the index of the bin for a latency of t.
func binIndex(t Micros) int {
	i, _ := slices.BinarySearch(binEdges[:], t)
	return i
}

// applyLoadReport takes the rate limit, and the share of it that is left, from the load report of an
// answer.
func (s *Sender) applyLoadReport(e *endpoint, load []float64) {
	if limit := loadValue(load, s.settings.LimitIndex); limit > 0 && limit <= maxRateRPS {
		e.limiter.limit, e.limiter.limitReported = max(limit, minRateRPS), true
	}
	if left := loadValue(load, s.settings.LimitLeftIndex); left >= 0 && e.limiter.limit > 0 {
		e.limiter.limitLeft = min(left, 1)
	}
}

// loadValue returns a value of a load report by its index in the settings; NaN if the report lacks it.
func loadValue(load []float64, index int) float64 {
	if index < 0 || index >= len(load) {
		return math.NaN()
	}
	return load[index]
}

// forgetMessage marks a message as ended, and removes it once it has no attempt in flight.
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
	if queue := m.keyQueue; queue != nil {
		queue.messages = slices.DeleteFunc(queue.messages, func(x *message) bool { return x == m })
		m.keyQueue = nil
	}
}

// finishAttempt removes an attempt that has its outcome. It reports whether that was the last attempt of
// its call, so that the call's slot is free again.
func (s *Sender) finishAttempt(a *attempt) bool {
	a.message.attempt, a.message.streaming = nil, false
	s.attempts = slices.DeleteFunc(s.attempts, func(x *attempt) bool { return x == a })
	if a.call.pending--; a.call.pending > 0 {
		return false
	}
	if a.endpoint.openCall == a.call {
		a.endpoint.openCall = nil // nothing may join the call any more
	}
	s.slotsInUse--
	a.endpoint.inflight--
	a.endpoint.limiter.inflight--
	return true
}

// pruneTables bounds the size of the tables to a multiple of what is listed and held. It forgets
// endpoints that were removed and destinations that have neither endpoints nor messages, both after
// idleStateAge, and order keys that have no messages and do not rest. Each table is looked through only
// when it has doubled since the last time.
func (s *Sender) pruneTables() {
	idleSince := s.now - idleStateAge
	if len(s.endpoints) > s.pruneAbove[0] {
		for id, e := range s.endpoints {
			if e.state == Removed && e.inflight == 0 && max(e.lastSentAt, e.removedAt) < idleSince {
				delete(s.endpoints, id)
			}
		}
		s.pruneAbove[0] = max(minPruneAbove, 2*len(s.endpoints))
	}
	if len(s.destinations) > s.pruneAbove[1] {
		s.destinationOrder = slices.DeleteFunc(s.destinationOrder, func(d *destination) bool {
			idle := len(d.endpoints) == 0 && d.messageCount == 0 && d.limiter.inflight == 0 && d.lastUsedAt < idleSince
			if idle {
				delete(s.destinations, d.id)
			}
			return idle
		})
		s.pruneAbove[1] = max(minPruneAbove, 2*len(s.destinations))
	}
	if len(s.orderKeys) > s.pruneAbove[2] {
		for key, queue := range s.orderKeys {
			if len(queue.messages) == 0 && queue.quietUntil < s.now {
				delete(s.orderKeys, key)
			}
		}
		s.pruneAbove[2] = max(minPruneAbove, 2*len(s.orderKeys))
	}
}

// sweepIdle drops the histograms of destinations that were idle for longer than idleStateAge, a few
// destinations with each new message. The next message would drop them anyway; this frees the memory
// earlier.
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

// joinsOpenCall reports whether an attempt at e would travel in a call that the current Step has already
// opened.
func (s *Sender) joinsOpenCall(e *endpoint) bool {
	return e.openCall != nil && e.openCall.step == s.step && e.openCall.attempts < s.kindOf(e.destination).Batch
}

// recordCall records the time of a call to e, for the budget of the slow start and for the pace.
func (s *Sender) recordCall(e *endpoint) {
	l := e.limiter
	keepFrom := s.now - max(s.settings.FallWindow, Second) - 1
	e.sentTimes, l.sentTimes = append(dropBefore(e.sentTimes, keepFrom), s.now),
		append(dropBefore(l.sentTimes, keepFrom), s.now)
	if !e.recovering && !e.ejected && !l.inDoubt() { // otherwise it does not show what the destination can take
		span := max(s.settings.FallWindow, Second)
		l.peakRate = max(l.peakRate, float64(countAfter(l.sentTimes, s.now-span))/seconds(span))
	}
}

// addAttempt adds an attempt of m to the open call of e.
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

// trialsInFlight returns the number of attempts in flight at ejected endpoints.
func (s *Sender) trialsInFlight() (n int) {
	for _, a := range s.attempts {
		if a.endpoint.ejected {
			n++
		}
	}
	return n
}

// seconds returns a span in seconds.
func seconds(t Micros) float64 { return float64(t) / float64(Second) }

// clampMicros returns a number of microseconds as a span from 0 to maxWait. A larger number, which could
// overflow, and NaN count as maxWait.
func clampMicros(x float64) Micros {
	if !(x <= float64(maxWait)) {
		return maxWait
	}
	return Micros(max(x, 0))
}

// acceptMessage adds a new message. One with a known ID is ignored, one of an unknown class is refused.
func (s *Sender) acceptMessage(arrival NewMessage) {
	if s.messages[arrival.ID] != nil {
		return
	}
	if arrival.Class < 0 || arrival.Class >= len(s.settings.Classes) {
		s.emit(Refuse{ID: arrival.ID})
		return
	}
	s.pruneTables()
	s.sweepIdle()
	class := &s.settings.Classes[arrival.Class]
	s.lastSeq++
	m := &message{id: arrival.ID, class: class, classIndex: arrival.Class,
		destination: s.destinationFor(arrival.Destination),
		seq:         s.lastSeq, arrivalStep: s.step,
		deadline: s.now + arrival.TimeLeft, listWaitUntil: s.now + arrival.TimeLeft/2,
		receivedAt: min(s.now, s.now+arrival.TimeLeft-class.Deadline)}
	s.dropIfIdle(m.destination)
	m.destination.arrivals++
	s.meanWorth += (class.Worth - s.meanWorth) / float64(min(s.lastSeq, 50))
	m.worthShare = s.tenantWorthShare(arrival.Tenant)
	s.messages[m.id] = m
	m.destination.messageCount++
	s.openMessages = append(s.openMessages, m)
	if class.KeepOrder && arrival.Key != "" {
		queue := s.orderKeys[arrival.Key]
		if queue == nil {
			queue = &keyQueue{}
			s.orderKeys[arrival.Key] = queue
		}
		queue.messages = append(queue.messages, m)
		m.keyQueue = queue
	}
	s.resumeMessage(m, arrival.Prior)
}

// removeUnlisted removes all endpoints that are not among the entries of a whole list.
func (s *Sender) removeUnlisted(entries []Entry) {
	for _, entry := range entries {
		if e := s.endpoints[entry.Endpoint]; e != nil {
			e.inListUpdate = true
		}
	}
	for _, d := range s.destinationOrder {
		d.endpoints = slices.DeleteFunc(d.endpoints, func(e *endpoint) bool {
			if !e.inListUpdate {
				e.state, e.removedAt = Removed, s.now
			}
			return !e.inListUpdate
		})
	}
	for _, entry := range entries {
		if e := s.endpoints[entry.Endpoint]; e != nil {
			e.inListUpdate = false
		}
	}
}

// openShare returns the share of Settings.MaxOpen that the messages held take up; 0 if there is no limit.
func (s *Sender) openShare() float64 {
	if s.settings.MaxOpen == 0 {
		return 0
	}
	return float64(len(s.openMessages)) / float64(s.settings.MaxOpen)
}

// log emits a log line, unless maxLogLines have been emitted.
func (s *Sender) log(format string, args ...any) {
	if s.logLines++; s.logLines <= maxLogLines {
		s.emit(Log{fmt.Sprintf(format, args...)})
	}
}

// hasHealthySibling reports whether another endpoint of e's destination is ready and not ejected or banned.
func (s *Sender) hasHealthySibling(e *endpoint) bool {
	for _, sibling := range e.destination.endpoints {
		if sibling != e && !sibling.ejected && sibling.state == Ready && !s.banned[sibling.id] {
			return true
		}
	}
	return false
}

// cancelAttempt cancels an attempt, once, where cancelling is allowed and its answer does not stream yet.
func (s *Sender) cancelAttempt(a *attempt) {
	if !a.cancelled && s.settings.MayCancel && !a.message.streaming {
		a.cancelled = true
		s.emit(Cancel{ID: a.message.id, Attempt: a.number})
	}
}

// handleEvent applies one event to the state. A HealthResult is ignored.
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

// tenantUsage is the number of a tenant's messages, where old ones lose weight with a half-life of
// quotaHalfLife.
type tenantUsage struct {
	messages  float64
	updatedAt Micros
}
