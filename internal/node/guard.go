package node

import (
	"log/slog"
	"maps"
	"slices"
	"sync"
	"time"

	"crossdeal/internal/discovery"
	"crossdeal/logic"
)

// rule is an invariant of the sender. The module decides so that none is broken; the guard checks again at the moment of
// acting, with what is known then.
type rule string

// The rules that the guard checks.
const (
	ruleDrain         rule = "drain"       // nothing to an endpoint that is not up, or that an operator has taken out
	ruleUnconfirmed   rule = "unconfirmed" // nothing on a list that may be old by now
	ruleWait          rule = "wait"        // nothing to where a wait was asked for
	ruleDestination   rule = "destination" // only endpoints of the message's destination
	ruleSingleAttempt rule = "once"        // one attempt of a message at a time, and none once it is over
	ruleAttempts      rule = "attempts"    // no more attempts than the settings allow
	ruleRepeat        rule = "repeat"      // what may have run is repeated only as its class allows
	ruleDeadline      rule = "deadline"    // nothing after a message's time
	ruleState         rule = "state"       // a client's connection goes from state to state as it may
	ruleAnswer        rule = "answer"      // a request that was read has its answer before its connection is closed
	ruleEnd           rule = "end"         // a message ends once
	ruleStart         rule = "start"       // what the journal holds at a start is held, or its end is told
)

const (
	waitSlack        = 100 * time.Millisecond // calls that cross the answer with a wait are let through
	maxViolationLogs = 20                     // lines in a life
)

// guard counts what was about to break a rule, and what was stopped since things had changed since the decision. A
// violation is a fault of this program: it is never expected to count any.
type guard struct {
	log              *slog.Logger
	mu               sync.Mutex
	violationCounts  map[rule]int
	withheldCounts   map[rule]int
	loggedViolations int

	// What follows belongs to the loop.
	waits map[waitTarget]requestedWait
}

// waitTarget is where a wait holds: a destination, or one endpoint of it where endpoints are routes apart.
type waitTarget struct {
	destination int64
	endpoint    logic.EndpointID // 0: all of the destination
}

// requestedWait is a wait that an answer asked for.
type requestedWait struct {
	since time.Time
	until time.Time
}

func newGuard(log *slog.Logger) *guard {
	return &guard{log: log, violationCounts: map[rule]int{}, withheldCounts: map[rule]int{}, waits: map[waitTarget]requestedWait{}}
}

// recordViolation counts a rule that was about to be broken, or was.
func (g *guard) recordViolation(r rule, attrs ...any) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.violationCounts[r]++
	if g.loggedViolations++; g.loggedViolations <= maxViolationLogs {
		g.log.Error("rule broken", append([]any{"rule", string(r)}, attrs...)...)
	}
}

// recordWithheld counts an action that was right when it was decided and is not any more.
func (g *guard) recordWithheld(r rule) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.withheldCounts[r]++
}

// violationTotal is how many there were in this process's life.
func (g *guard) violationTotal() (count int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, n := range g.violationCounts {
		count += n
	}
	return count
}

// countAttrs returns what was counted so far, as names and counts in order of name.
func (g *guard) countAttrs() []any {
	g.mu.Lock()
	defer g.mu.Unlock()
	var out []any
	for _, r := range slices.Sorted(maps.Keys(g.violationCounts)) {
		out = append(out, "broken_"+string(r), g.violationCounts[r])
	}
	for _, r := range slices.Sorted(maps.Keys(g.withheldCounts)) {
		out = append(out, "withheld_"+string(r), g.withheldCounts[r])
	}
	return out
}

// addWait notes a wait that an answer asked for.
func (g *guard) addWait(at waitTarget, span time.Duration, now time.Time) {
	until := now.Add(span)
	if until.After(g.waits[at].until) {
		g.waits[at] = requestedWait{since: now, until: until}
	}
}

// waitActive says whether a wait holds somewhere; those that are over are dropped.
func (g *guard) waitActive(at waitTarget, now time.Time) bool {
	w, ok := g.waits[at]
	if ok && !now.Before(w.until) {
		delete(g.waits, at)
		return false
	}
	return ok && now.Sub(w.since) > waitSlack && w.until.Sub(now) > waitSlack
}

// waitTargetOf is where a wait of an endpoint holds.
func (n *Node) waitTargetOf(ep logic.EndpointID, to discovery.Target) waitTarget {
	if kinds := n.cfg.Deployment.Settings.Kinds; to.KindIndex >= 0 && to.KindIndex < len(kinds) && kinds[to.KindIndex].SeparateRoutes {
		return waitTarget{to.Destination, ep}
	}
	return waitTarget{destination: to.Destination}
}

// checkSend says which rule a call of h to an endpoint would break now; empty if none.
func (n *Node) checkSend(h *heldMessage, ep logic.EndpointID, now time.Time) rule {
	set := &n.cfg.Deployment.Settings
	to := n.target(ep)
	switch {
	case h.ended:
		return ruleSingleAttempt
	case to.Lifecycle != "" && to.Lifecycle != "up" || n.journal.disabled[n.directory.Name(ep)]:
		return ruleDrain
	case to.Destination != h.message.Destination:
		return ruleDestination
	case !now.Before(n.clock.Time(h.message.Deadline)):
		return ruleDeadline
	case n.guard.waitActive(n.waitTargetOf(ep, to), now):
		return ruleWait
	case n.repeatForbidden(h.message, now):
		return ruleRepeat
	case n.sender.ListUnconfirmed(toMicros(time.Since(n.startedAt))):
		return ruleUnconfirmed
	case set.MaxTries > 0 && h.attempts > set.MaxTries:
		return ruleAttempts
	}
	return ""
}

// repeatForbidden says whether a message may have run and is not to be sent again.
func (n *Node) repeatForbidden(m *Message, now time.Time) bool {
	e := n.journal.Entry(m.ID)
	if e == nil || !e.MayHaveRun {
		return false
	}
	class, ok := n.cfg.ClassIndexes[m.Class]
	if !ok {
		return true
	}
	switch c := n.cfg.Deployment.Settings.Classes[class]; c.Effect {
	case logic.Unsafe:
		return true
	case logic.Keyed:
		return now.After(n.clock.Time(e.FirstMayHaveRunAt).Add(toDuration(c.Window)))
	}
	return false
}

// permitCall checks a call that the module has decided on, before anything is written of it. A breach is a fault of this
// program, but for a list that has become old in the moment between.
func (n *Node) permitCall(id string, ep logic.EndpointID) bool {
	h := n.held[id]
	if h == nil {
		return true // never accepted: callOut answers the module
	}
	broken := n.checkSend(h, ep, time.Now())
	switch {
	case broken == "" && h.cancelCall != nil:
		broken = ruleSingleAttempt
	case broken == "" && n.cfg.Deployment.Settings.MaxTries > 0 && h.attempts >= n.cfg.Deployment.Settings.MaxTries:
		broken = ruleAttempts
	}
	switch broken {
	case "":
		return true
	case ruleUnconfirmed, ruleDeadline:
		n.guard.recordWithheld(broken)
	default:
		n.guard.recordViolation(broken, "id", id, "endpoint", n.directory.Name(ep), "attempt", h.attempts, "generation", n.listGeneration)
	}
	return false
}

// permitWrite checks a call again once its connection is up: what it was decided on may have changed meanwhile.
func (n *Node) permitWrite(c *call) bool {
	h := n.held[c.id]
	if h == nil || h.call != c || h.ended || c.state.Load() != callConnecting {
		return false
	}
	if broken := n.checkSend(h, c.endpoint, time.Now()); broken != "" {
		n.guard.recordWithheld(broken)
		return false
	}
	return true
}
