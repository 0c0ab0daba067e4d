package node

// The loop owns the module and all of the state.

import (
	"context"
	"time"

	"crossdeal/internal/discovery"
	"crossdeal/logic"
)

const (
	shutdownAcceptTime  = 500 * time.Millisecond  // after SIGTERM, clients are served on for so long
	shutdownSendTimeout = 3200 * time.Millisecond // what is sent after SIGTERM must end by then
	shutdownLoopTimeout = 3400 * time.Millisecond // the loop ends
	// shutdownClientTimeout is when the process ends at the latest, also with clients that are owed an answer: SIGKILL may come 0.1 s later.
	shutdownClientTimeout = 3600 * time.Millisecond
	sweepInterval         = time.Second
	sweepsPerCountLog     = 5                      // sweeps between two lines on how calls went
	retryDelay            = 250 * time.Millisecond // of an attempt that could not be written to the journal
	eventBufferSize       = 4096
	maxMatchedRows        = 20000 // rows of a saved list that are read during a handover
)

// replyEvent is the one outcome of an attempt.
type replyEvent struct {
	call     *call
	result   callResult
	duration time.Duration
}

// probeEvent is the one outcome of a probe.
type probeEvent struct {
	endpoint logic.EndpointID
	outcome  logic.Outcome
}

// closingEvent starts the shutdown.
type closingEvent struct{ timeLeft time.Duration }

// loop owns the module and all of the state: it takes what has come, lets the
// module step, writes the journal and acts, at most once a tick.
func (n *Node) loop(work context.Context, served, stopped <-chan struct{}) error {
	tick := max(toDuration(n.cfg.Deployment.Settings.Tick), time.Millisecond)
	sweep := time.NewTicker(sweepInterval)
	defer sweep.Stop()
	pause := time.NewTimer(0)
	defer pause.Stop()
	sweeps := 0
	quiet := false // shutting down, and no client is left
	for {
		if quiet && n.openMessages == 0 && len(n.journal.entries) == 0 {
			n.logFinalCounts()
			return nil
		}
		select {
		case o := <-n.commands:
			n.applyCommand(o)
		case x := <-n.successors:
			if n.handOver(work, x, stopped) {
				return errHandedOver
			}
			continue
		case ev := <-n.events:
			n.handleEvent(ev)
		case x := <-n.writeRequests:
			n.handleWriteRequest(x)
			continue
		case <-n.discoveryMoves:
			if !n.watching { // a watch that is out goes to the new address by itself
				n.nextEvents = append(n.nextEvents, logic.DiscoveryMoved{})
			}
		case <-sweep.C:
			n.transport.closeStale()
			n.forgetExpired()
			if sweeps++; sweeps%sweepsPerCountLog == 0 {
				n.logCounts()
			}
			continue
		case <-served:
			quiet, served = true, nil
			continue
		case <-stopped:
			// What is still out stays in the journal as it is.
			n.logFinalCounts()
			return nil
		}
		for more := true; more; {
			select {
			case o := <-n.commands:
				n.applyCommand(o)
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
			case x := <-n.writeRequests:
				n.handleWriteRequest(x)
			}
		}
	}
}

// logCounts writes a line on how calls went and what is held, unless nothing happened.
func (n *Node) logCounts() {
	if counts := n.transport.takeCounts(); len(counts) > 0 {
		counts = append(counts, "idle", n.transport.idleCount(), "open", n.openMessages, "owed", len(n.journal.entries))
		counts = append(counts, n.clients.takeCounts()...)
		n.log.Info("calls", append(counts, n.guard.countAttrs()...)...)
	}
}

// logFinalCounts writes what became of calls and clients since the last tally.
func (n *Node) logFinalCounts() {
	n.log.Info("clients at the end", n.clients.takeCounts()...)
	n.logCounts()
}

// handleEvent turns what has come into events for the next step.
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
		}
		n.pendingRecords = nil
	case closingEvent:
		n.closing = true
		n.nextEvents = append(n.nextEvents, logic.Stopping{TimeLeft: toMicros(ev.timeLeft)})
	}
}

// forgetExpired drops ids that nobody can hand in any more, and endpoints that are gone.
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
	for id, t := range n.recentIDs {
		if now.After(t) {
			delete(n.recentIDs, id)
		}
	}
}

// step lets the module decide, writes the journal and then acts, in order.
func (n *Node) step(work context.Context) {
	events := n.nextEvents
	n.nextEvents = nil
	n.executeActions(work, n.sender.Step(toMicros(time.Since(n.startedAt)), events))
}
