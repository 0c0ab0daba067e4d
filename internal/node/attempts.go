package node

// Attempts: calls to endpoints, the leave to write them, and those that are held back.

import (
	"context"
	"sync/atomic"
	"time"

	"crossdeal/logic"
)

// allow lets a call be written once the journal has it, unless it has been called off meanwhile.
func (n *Node) allow(x leave) {
	if !n.permitWrite(x.call) {
		n.trace.withheld(x.call)
		x.answer <- false
		return
	}
	err := n.journal.Append([]record{n.sendRecord(x.call.id, x.call.ep)})
	if err != nil {
		n.log.Error("journal", "err", err)
		time.AfterFunc(retryPause, func() { x.answer <- false }) // a full disk, say: room may come
		return
	}
	x.answer <- true
}

func (n *Node) sendRecord(id string, ep logic.EndpointID) record {
	return record{Op: opSend, ID: id, At: n.clock.Now(), Zone: n.target(ep).Zone}
}

// askLeave asks the loop whether a call may be written, until ctx is over.
func (n *Node) askLeave(ctx context.Context, in *call) bool {
	answer := make(chan bool, 1)
	select {
	case n.writes <- leave{in, answer}:
	case <-ctx.Done():
		return false
	}
	return <-answer // it comes, after a pause at the latest
}

// callOut makes an attempt, on a kept connection if there is one. Without its record in the journal it is not made.
func (n *Node) callOut(work context.Context, a logic.CallOut, kept *idleConn, written bool) {
	h := n.held[a.ID]
	if kept != nil && (h == nil || !written) && !n.caller.put(a.Endpoint, kept) {
		kept.Close()
	}
	if h == nil { // never taken on; the module is still owed its one outcome
		n.next = append(n.next, logic.AttemptResult{ID: a.ID, MessageEnded: true, Endpoint: a.Endpoint, Outcome: logic.NotSent})
		return
	}
	attempt := h.tries
	h.tries++
	to := n.target(a.Endpoint)
	in := &call{id: a.ID, attempt: attempt, ep: a.Endpoint, addr: to.Addr, dest: to.Dest, giveUp: span(a.GiveUp),
		state: new(atomic.Int32), kept: kept}
	in.allow = func(ctx context.Context) bool { return n.askLeave(ctx, in) }
	if e := n.journal.Entry(a.ID); e != nil && e.MayRun { // a repeat: by the end of the window it must be written
		if c := n.cfg.Deploy.Settings.Classes[n.cfg.Classes[h.msg.Class]]; c.Effect == logic.Keyed {
			in.writeBy = n.clock.Time(e.FirstMay).Add(span(c.Window))
		}
	}
	ctx, stop := context.WithCancelCause(work)
	h.stop, h.call = stop, in
	n.trace.send(in, n.generation)
	var err error
	if in.request, err = deliverRequest(h.msg, to.Addr, in.giveUp); err != nil || !written {
		if err != nil {
			n.log.Error("call", "err", err)
			if written && kept != nil {
				kept.Close()
			}
		}
		ev := replyEvent{in, result{outcome: logic.NotSent}, 0}
		time.AfterFunc(retryPause, func() { n.events <- ev }) // a full disk, say: room may come
		return
	}
	in.at = time.Now()
	go func() {
		r := n.caller.do(ctx, in)
		n.events <- replyEvent{in, r, time.Since(in.at)}
	}()
}

// hold keeps calls that are still connecting from being written: what the module decided before it knew better
// would reach the endpoint long after. They end as never sent.
func (n *Node) hold(match func(ep logic.EndpointID) bool) {
	for _, h := range n.held {
		if h.stop != nil && match(h.call.ep) {
			h.hold()
		}
	}
}

func (h *held) hold() {
	if h.call.state.CompareAndSwap(callConnecting, callHeld) {
		h.stop(nil)
	}
}

// holdWait holds calls to where a wait was told: the destination, or the one route where routes are apart.
func (n *Node) holdWait(ep logic.EndpointID) {
	to := n.target(ep)
	kinds := n.cfg.Deploy.Settings.Kinds
	apart := to.Kind >= 0 && to.Kind < len(kinds) && kinds[to.Kind].SeparateRoutes
	n.hold(func(x logic.EndpointID) bool { return x == ep || !apart && n.target(x).Dest == to.Dest })
}

func (n *Node) probe(work context.Context, ep logic.EndpointID) {
	addr := n.target(ep).Addr
	go func() {
		out := logic.ConnRefused
		if req, err := probeRequest(addr); err == nil {
			out = n.caller.do(work, &call{ep: ep, addr: addr, at: time.Now(), giveUp: probeTime, request: req,
				state: new(atomic.Int32)}).outcome
		}
		n.events <- healthEvent{ep, out}
	}()
}
