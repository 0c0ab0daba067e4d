package node

// Attempts: calls to endpoints, the leave to write them, and those that are held back.

import (
	"context"
	"sync/atomic"
	"time"

	"crossdeal/logic"
)

// handleWriteRequest lets a call be written once the journal has it, unless it has been called off meanwhile.
func (n *Node) handleWriteRequest(x writeRequest) {
	if !n.permitWrite(x.call) {
		n.trace.withheld(x.call)
		x.answer <- false
		return
	}
	err := n.journal.Append([]record{n.sendRecord(x.call.id, x.call.endpoint)})
	if err != nil {
		n.log.Error("journal", "err", err)
		time.AfterFunc(retryDelay, func() { x.answer <- false }) // a full disk, say: room may come
		return
	}
	x.answer <- true
}

func (n *Node) sendRecord(id string, ep logic.EndpointID) record {
	return record{Op: opSend, ID: id, SentAt: n.clock.NowMicros(), Zone: n.target(ep).ZoneIndex}
}

// requestWritePermission asks the loop whether a call may be written, until ctx is over.
func (n *Node) requestWritePermission(ctx context.Context, in *call) bool {
	answer := make(chan bool, 1)
	select {
	case n.writeRequests <- writeRequest{in, answer}:
	case <-ctx.Done():
		return false
	}
	return <-answer // it comes, after a pause at the latest
}

// startCall makes an attempt, on a kept connection if there is one. Without its record in the journal it is not made.
func (n *Node) startCall(work context.Context, a logic.CallOut, kept *endpointConn, written bool) {
	h := n.held[a.ID]
	if kept != nil && (h == nil || !written) && !n.transport.putIdle(a.Endpoint, kept) {
		kept.Close()
	}
	if h == nil { // never taken on; the module is still owed its one outcome
		n.nextEvents = append(n.nextEvents, logic.AttemptResult{ID: a.ID, MessageEnded: true, Endpoint: a.Endpoint, Outcome: logic.NotSent})
		return
	}
	attempt := h.attempts
	h.attempts++
	to := n.target(a.Endpoint)
	in := &call{id: a.ID, attempt: attempt, endpoint: a.Endpoint, addr: to.Address, destination: to.Destination, timeout: toDuration(a.GiveUp),
		state: new(atomic.Int32), reusedConn: kept}
	in.mayWrite = func(ctx context.Context) bool { return n.requestWritePermission(ctx, in) }
	if e := n.journal.Entry(a.ID); e != nil && e.MayHaveRun { // a repeat: by the end of the window it must be written
		if c := n.cfg.Deployment.Settings.Classes[n.cfg.ClassIndexes[h.message.Class]]; c.Effect == logic.Keyed {
			in.writeDeadline = n.clock.Time(e.FirstMayHaveRunAt).Add(toDuration(c.Window))
		}
	}
	ctx, stop := context.WithCancelCause(work)
	h.cancelCall, h.call = stop, in
	n.trace.send(in, n.listGeneration)
	var err error
	if in.request, err = newDeliveryRequest(h.message, to.Address, in.timeout); err != nil || !written {
		if err != nil {
			n.log.Error("call", "err", err)
			if written && kept != nil {
				kept.Close()
			}
		}
		ev := replyEvent{in, callResult{outcome: logic.NotSent}, 0}
		time.AfterFunc(retryDelay, func() { n.events <- ev }) // a full disk, say: room may come
		return
	}
	in.startedAt = time.Now()
	go func() {
		r := n.transport.do(ctx, in)
		n.events <- replyEvent{in, r, time.Since(in.startedAt)}
	}()
}

// withholdCalls keeps calls that are still connecting from being written: what the module decided before it knew better
// would reach the endpoint long after. They end as never sent.
func (n *Node) withholdCalls(match func(ep logic.EndpointID) bool) {
	for _, h := range n.held {
		if h.cancelCall != nil && match(h.call.endpoint) {
			h.withholdCall()
		}
	}
}

func (h *heldMessage) withholdCall() {
	if h.call.state.CompareAndSwap(callConnecting, callWithheld) {
		h.cancelCall(nil)
	}
}

// withholdCallsForWait holds calls to where a wait was told: the destination, or the one route where routes are apart.
func (n *Node) withholdCallsForWait(ep logic.EndpointID) {
	to := n.target(ep)
	kinds := n.cfg.Deployment.Settings.Kinds
	apart := to.KindIndex >= 0 && to.KindIndex < len(kinds) && kinds[to.KindIndex].SeparateRoutes
	n.withholdCalls(func(x logic.EndpointID) bool { return x == ep || !apart && n.target(x).Destination == to.Destination })
}

func (n *Node) probe(work context.Context, ep logic.EndpointID) {
	addr := n.target(ep).Address
	go func() {
		out := logic.ConnRefused
		if req, err := newProbeRequest(addr); err == nil {
			out = n.transport.do(work, &call{endpoint: ep, addr: addr, startedAt: time.Now(), timeout: probeTimeout, request: req,
				state: new(atomic.Int32)}).outcome
		}
		n.events <- probeEvent{ep, out}
	}()
}
