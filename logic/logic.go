package logic

// A Sender's decisions, one file for each: the endpoint list (list_lease.go for how long it may be
// used, endpoint_list.go for its entries and bans), which message goes first (queue.go), where it goes
// (routing.go), what must hold before it is sent (gate.go), outlier ejection (ejection.go), slow start
// after an outage (slow_start.go), rate limits (rate_limit.go), the restart time τ at which slow calls
// are cancelled and retried (restart_time.go), outcomes of attempts (outcome.go), ends of messages,
// restarts and shutdown (ending.go), timers and idle state (timer.go). The interface (settings, events,
// actions) is in logic/types.go, its checks in settings.go, the state in state.go, and the transfer of
// the state to another process in handover.go and table_rows.go.

import (
	"math"
	"math/rand/v2"
)

const (
	// A histogram bin with less weight counts as empty. A sample decays to it in 40 minutes.
	minBinWeight = 0x1p-80
	// With more senders than this, one idle connection from each may use up an endpoint's connections, and
	// each sends too little to learn much by itself. Comments call this "many senders".
	manySendersAbove = 16
	// Log lines in the life of a Sender.
	maxLogLines = 200
	// Entries that a table may hold before it is pruned.
	minPruneAbove = 256
	// Destinations that sweepIdle looks at with each new message.
	destinationsPerSweep = 2
)

// New makes a Sender. The seed sets its random numbers. An error names the setting that is not valid.
func New(settings Settings, seed uint64) (*Sender, error) {
	if err := validate(&settings); err != nil {
		return nil, err
	}
	s := &Sender{settings: settings, rng: rand.New(rand.NewPCG(seed, 0)), now: math.MinInt64,
		listRequestAt:  never,
		listRetryDelay: firstListRetryMicros,
		endpoints:      map[EndpointID]*endpoint{}, banned: map[EndpointID]bool{},
		destinations: map[int64]*destination{},
		messages:     map[string]*message{}, orderKeys: map[string]*keyQueue{}, rejectedShare: map[int]float64{},
		newConnsSinceRejected: map[int]int{}}
	if settings.ListOnRequest {
		s.listRequestAt = math.MinInt64
	}
	s.manySenders, s.shortestAim = settings.Senders > manySendersAbove, never
	for _, class := range settings.Classes {
		s.shortestAim = min(s.shortestAim, max(class.Aim, settings.Tick, 1000))
	}
	s.classHistograms, s.tenantUsage = make([]histogram, len(settings.Classes)),
		make([]tenantUsage, len(settings.Tenants))
	return s, nil
}

// Step applies the events, which happened up to now, and returns what to do. It applies the events
// first, then requests the list if that is due, ends messages that are out of time, cancels calls that
// take too long, sends what may be sent, refuses what cannot be sent before a stop, and sets the timer
// for the next Step.
func (s *Sender) Step(now Micros, events []Event) []Action {
	s.now = max(s.now, now)
	s.step++
	s.actions, s.nextWakeAt = nil, never
	for _, ev := range events {
		s.handleEvent(ev)
	}
	s.requestList()
	s.endExpiring()
	s.cutOffLongCalls()
	s.dispatch()
	s.refuseBeforeStop()
	s.armTimer()
	return s.actions
}
