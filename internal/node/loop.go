package node

// The loop owns the module and all of the state.

import (
	"context"
	"time"

	"crossdeal/internal/discovery"
	"crossdeal/logic"
)

const (
	acceptOn  = 500 * time.Millisecond  // after SIGTERM, clients are served on for so long
	stopSends = 3200 * time.Millisecond // what is sent after SIGTERM must end by then
	stopAll   = 3400 * time.Millisecond // the loop ends
	// stopClients is when the process ends at the latest, also with clients that are owed an answer: SIGKILL may come 0.1 s later.
	stopClients = 3600 * time.Millisecond
	sweepEvery  = time.Second
	tallyEvery  = 5                      // sweeps between two lines on how calls went
	retryPause  = 250 * time.Millisecond // of an attempt that could not be written to the journal
	eventRoom   = 4096
	matchMost   = 20000 // rows of a saved list that are read during a handover
)

// replyEvent is the one outcome of an attempt.
type replyEvent struct {
	call   *call
	result result
	took   time.Duration
}

// healthEvent is the one outcome of a probe.
type healthEvent struct {
	ep      logic.EndpointID
	outcome logic.Outcome
}

// closingEvent starts the shutdown.
type closingEvent struct{ left time.Duration }

// loop owns the module and all of the state: it takes what has come, lets the
// module step, writes the journal and acts, at most once a tick.
func (n *Node) loop(work context.Context, served, stopped <-chan struct{}) error {
	tick := max(span(n.cfg.Deploy.Settings.Tick), time.Millisecond)
	sweep := time.NewTicker(sweepEvery)
	defer sweep.Stop()
	pause := time.NewTimer(0)
	defer pause.Stop()
	sweeps := 0
	quiet := false // shutting down, and no client is left
	for {
		if quiet && n.open == 0 && len(n.journal.entries) == 0 {
			n.report()
			return nil
		}
		select {
		case o := <-n.orders:
			n.obey(o)
		case x := <-n.successors:
			if n.handOver(work, x, stopped) {
				return errHanded
			}
			continue
		case ev := <-n.events:
			n.take(ev)
		case x := <-n.writes:
			n.allow(x)
			continue
		case <-n.moves:
			if !n.watching { // a watch that is out goes to the new address by itself
				n.next = append(n.next, logic.DiscoveryMoved{})
			}
		case <-sweep.C:
			n.caller.sweep()
			n.forget()
			if sweeps++; sweeps%tallyEvery == 0 {
				n.tally()
			}
			continue
		case <-served:
			quiet, served = true, nil
			continue
		case <-stopped:
			// What is still out stays in the journal as it is.
			n.report()
			return nil
		}
		for more := true; more; {
			select {
			case o := <-n.orders:
				n.obey(o)
			case ev := <-n.events:
				n.take(ev)
			default:
				more = false
			}
		}
		n.step(work)
		for len(n.next) > 0 {
			n.step(work)
		}
		pause.Reset(tick)
		for over := false; !over; {
			select {
			case <-pause.C:
				over = true
			case x := <-n.writes:
				n.allow(x)
			}
		}
	}
}

// tally writes a line on how calls went and what is held, unless nothing happened.
func (n *Node) tally() {
	if counts := n.caller.report(); len(counts) > 0 {
		counts = append(counts, "idle", n.caller.kept(), "open", n.open, "owed", len(n.journal.entries))
		counts = append(counts, n.clients.report()...)
		n.log.Info("calls", append(counts, n.guard.report()...)...)
	}
}

// report writes what became of calls and clients since the last tally.
func (n *Node) report() {
	n.log.Info("clients at the end", n.clients.report()...)
	n.tally()
}

// take turns what has come into events for the next step.
func (n *Node) take(ev any) {
	switch ev := ev.(type) {
	case putEvent:
		n.put(ev)
	case replyEvent:
		n.reply(ev)
	case healthEvent:
		n.next = append(n.next, logic.HealthResult{Endpoint: ev.ep, Outcome: ev.outcome})
	case discovery.Event:
		n.list(ev)
	case logic.TimerExpired:
		n.next = append(n.next, ev)
	case noticedEvent:
		for _, id := range ev.ids {
			n.records = append(n.records, record{Op: opNoticed, ID: id})
		}
		if err := n.journal.Append(n.records); err != nil {
			n.log.Error("journal", "err", err)
		}
		n.records = nil
	case closingEvent:
		n.closing = true
		n.next = append(n.next, logic.Stopping{TimeLeft: micros(ev.left)})
	}
}

// forget drops ids that nobody can hand in any more, and endpoints that are gone.
func (n *Node) forget() {
	now := time.Now()
	n.dir.Forget(now, func(name string, id logic.EndpointID) bool {
		if n.journal.out[name] {
			return true
		}
		for _, h := range n.held {
			if h.call != nil && h.call.ep == id {
				return true
			}
		}
		return false
	})
	for id, t := range n.recent {
		if now.After(t) {
			delete(n.recent, id)
		}
	}
}

// step lets the module decide, writes the journal and then acts, in order.
func (n *Node) step(work context.Context) {
	events := n.next
	n.next = nil
	n.carryOut(work, n.sender.Step(micros(time.Since(n.start)), events))
}
