package node

// The loop: the one goroutine that owns the decision logic and the sender's state.

import (
	"context"
	"time"

	"crossdeal/internal/discovery"
	"crossdeal/logic"
)

const (
	shutdownAcceptTime  = 500 * time.Millisecond  // after SIGTERM, clients are still accepted for this long
	shutdownSendTimeout = 3200 * time.Millisecond // attempts made after SIGTERM must end within this time of it
	shutdownLoopTimeout = 3400 * time.Millisecond // the loop ends within this time after SIGTERM
	// shutdownClientTimeout is the time after SIGTERM within which the process ends, even with clients that still wait
	// for an answer: SIGKILL may follow 0.1 s later.
	shutdownClientTimeout = 3600 * time.Millisecond
	sweepInterval         = time.Second
	sweepsPerCountLog     = 5                      // sweeps between two "calls" log lines
	retryDelay            = 250 * time.Millisecond // after an attempt that was denied or could not be journaled
	eventBufferSize       = 4096
	maxSavedStateRows     = 20000 // a saved list with more rows is not read during a handover
)

// replyEvent carries the one result of an attempt.
type replyEvent struct {
	call     *call
	result   callResult
	duration time.Duration
}

// probeEvent carries the one outcome of a probe.
type probeEvent struct {
	endpoint logic.EndpointID
	outcome  logic.Outcome
}

// closingEvent starts the shutdown.
type closingEvent struct{ timeLeft time.Duration }

// loop collects what has arrived, runs a step of the decision logic on it, writes the journal and executes the actions,
// at most once per tick. Events that come up in a step, such as the outcome of a call that cannot be made, get a
// further step at once. It returns errHandedOver once a successor has taken the state.
func (n *Node) loop(work context.Context, served, stopped <-chan struct{}) error {
	tick := max(toDuration(n.cfg.Deployment.Settings.Tick), time.Millisecond)
	sweep := time.NewTicker(sweepInterval)
	defer sweep.Stop()
	pause := time.NewTimer(0)
	defer pause.Stop()
	sweeps := 0
	noClients := false // shutting down, and all clients are gone
	for {
		if noClients && n.openMessages == 0 && len(n.journal.entries) == 0 && n.journal.Saved() {
			n.logFinalCounts()
			return nil
		}
		select {
		case command := <-n.commands:
			n.applyCommand(command)
		case next := <-n.successors:
			if n.handOver(work, next, stopped) {
				return errHandedOver
			}
			continue
		case ev := <-n.events:
			n.handleEvent(ev)
		case req := <-n.writeRequests:
			n.handleWriteRequest(req)
			continue
		case <-n.discoveryMoves:
			if !n.watching { // a watch in progress moves to the new address by itself
				n.nextEvents = append(n.nextEvents, logic.DiscoveryMoved{})
			}
		case <-sweep.C:
			n.transport.idle.CloseStale()
			n.forgetExpired()
			if sweeps++; sweeps%sweepsPerCountLog == 0 {
				n.logCounts()
			}
			continue
		case <-served:
			noClients, served = true, nil
			continue
		case <-stopped:
			// Messages that have not ended stay in the journal as they are.
			if err := n.journal.Flush(); err != nil {
				n.log.Error("journal", "err", err, "unsaved_ends", len(n.unsaved.ends))
			}
			n.logFinalCounts()
			return nil
		}
		for more := true; more; {
			select {
			case command := <-n.commands:
				n.applyCommand(command)
			case ev := <-n.events:
				n.handleEvent(ev)
			default:
				more = false
			}
		}
		n.step(work)
		for len(n.nextEvents) > 0 {
			n.step(work)
		}
		pause.Reset(tick)
		for over := false; !over; {
			select {
			case <-pause.C:
				over = true
			case req := <-n.writeRequests:
				n.handleWriteRequest(req)
			}
		}
	}
}

// logCounts logs the counters of calls and what is held, unless no event of a call was counted since the last line.
func (n *Node) logCounts() {
	if counts := n.transport.takeCounts(); len(counts) > 0 {
		counts = append(counts, "extra_bytes", n.extraBytes.TakeCount(), "idle", n.transport.idle.Len(), "open", n.openMessages, "owed", len(n.journal.entries))
		counts = append(counts, n.clients.takeCounts()...)
		counts = append(counts, n.notices.takeCounts()...)
		n.log.Info("calls", append(counts, n.guard.countAttrs()...)...)
	}
}

// logFinalCounts logs the counters of clients and calls since the last line.
func (n *Node) logFinalCounts() {
	n.log.Info("clients at the end", n.clients.takeCounts()...)
	n.logCounts()
}

// handleEvent turns an event of the sender into events for the next step.
func (n *Node) handleEvent(ev any) {
	switch ev := ev.(type) {
	case putEvent:
		n.handlePut(ev)
	case replyEvent:
		n.handleReply(ev)
	case probeEvent:
		n.nextEvents = append(n.nextEvents, logic.HealthResult{Endpoint: ev.endpoint, Outcome: ev.outcome})
	case discovery.Event:
		n.handleListEvent(ev)
	case logic.TimerExpired:
		n.nextEvents = append(n.nextEvents, ev)
	case noticesConfirmedEvent:
		for _, id := range ev.ids {
			n.pendingRecords = append(n.pendingRecords, record{Op: opNoticeConfirmed, ID: id})
		}
		if err := n.journal.Append(n.pendingRecords); err != nil {
			n.log.Error("journal", "err", err)
			n.scheduleJournalRetry()
		}
		n.pendingRecords = nil
	case journalRetryEvent:
		n.repairJournal()
	case closingEvent:
		n.closing = true
		n.nextEvents = append(n.nextEvents, logic.Stopping{TimeLeft: toMicros(ev.timeLeft)})
	}
}

// forgetExpired drops the ids of ended messages whose deadline has passed, and removed endpoints that have expired. It
// keeps endpoints that an operator has disabled or that a call is in flight to.
func (n *Node) forgetExpired() {
	now := time.Now()
	n.directory.RemoveExpired(now, func(name string, id logic.EndpointID) bool {
		if n.journal.disabled[name] {
			return true
		}
		for _, h := range n.held {
			if h.call != nil && h.call.endpoint == id {
				return true
			}
		}
		return false
	})
	for id, deadline := range n.recentIDs {
		if now.After(deadline) {
			delete(n.recentIDs, id)
		}
	}
}

// step runs one step of the decision logic on the collected events and executes its actions.
func (n *Node) step(work context.Context) {
	events := n.nextEvents
	n.nextEvents = nil
	n.decidedAt = time.Now()
	n.executeActions(work, n.sender.Step(toMicros(n.decidedAt.Sub(n.clockOrigin)), events))
}
