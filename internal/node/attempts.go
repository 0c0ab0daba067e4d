package node

// Attempts: starting calls to endpoints, the permission to write them, and withholding those that are still connecting.

import (
	"context"
	"sync/atomic"
	"time"

	"crossdeal/internal/httpconn"
	"crossdeal/logic"
)

// handleWriteRequest permits a call to be written once the journal has its opSend record, unless the call has been
// cancelled or a rule forbids it meanwhile.
func (n *Node) handleWriteRequest(req writeRequest) {
	if !n.permitWrite(req.call) {
		n.trace.withheld(req.call)
		req.answer <- false
		return
	}
	err := n.journal.Append([]record{n.sendRecord(req.call.id, req.call.endpoint)})
	if err != nil {
		n.log.Error("journal", "err", err)
		n.scheduleJournalRetry()
		time.AfterFunc(retryDelay, func() { req.answer <- false }) // a full disk may have space later
		return
	}
	req.answer <- true
}

func (n *Node) sendRecord(id string, endpoint logic.EndpointID) record {
	return record{Op: opSend, ID: id, SentAt: n.clock.NowMicros(), Zone: n.target(endpoint).ZoneIndex}
}

// requestWritePermission asks the loop whether a call may be written. It returns false once ctx is done.
func (n *Node) requestWritePermission(ctx context.Context, c *call) bool {
	answer := make(chan bool, 1)
	select {
	case n.writeRequests <- writeRequest{c, answer}:
	case <-ctx.Done():
		return false
	}
	return <-answer // the loop always answers, after retryDelay at the latest
}

// startCall starts an attempt, on idleConn if there is one. If its record is not in the journal, it is reported as not
// sent after retryDelay.
func (n *Node) startCall(work context.Context, a logic.CallOut, idleConn *httpconn.Conn, journaled bool) {
	h := n.held[a.ID]
	if idleConn != nil && (h == nil || !journaled) {
		n.transport.returnUnused(a.Endpoint, idleConn)
	}
	if h == nil {
		n.reportUnacceptedCall(a)
		return
	}
	attempt := h.attempts
	h.attempts++
	target := n.target(a.Endpoint)
	c := &call{id: a.ID, attempt: attempt, endpoint: a.Endpoint, addr: target.Address, destination: target.Destination,
		timeout: toDuration(a.GiveUp), state: new(atomic.Int32), reusedConn: idleConn}
	c.writeDeadline = n.clock.Time(h.message.Deadline)
	c.mayWrite = func(ctx context.Context) bool { return n.requestWritePermission(ctx, c) }
	if e := n.journal.Entry(a.ID); e != nil && e.MayHaveRun { // a repeat: if keyed, only within the window
		if class := n.cfg.Deployment.Settings.Classes[n.cfg.ClassIndexes[h.message.Class]]; class.Effect == logic.Keyed {
			if windowEnd := n.clock.Time(e.FirstMayHaveRunAt).Add(toDuration(class.Window)); windowEnd.Before(c.writeDeadline) {
				c.writeDeadline = windowEnd
			}
		}
	}
	ctx, cancel := context.WithCancelCause(work)
	h.cancelCall, h.call = cancel, c
	n.trace.send(c, n.listGeneration)
	var err error
	if c.request, err = newDeliveryRequest(h.message, target.Address, c.timeout); err != nil || !journaled {
		if err != nil {
			n.log.Error("call", "err", err)
			if journaled && idleConn != nil {
				idleConn.Close()
			}
		}
		ev := replyEvent{c, callResult{outcome: logic.NotSent}, 0}
		time.AfterFunc(retryDelay, func() { n.events <- ev }) // a full disk may have space later
		return
	}
	c.startedAt = time.Now()
	go func() {
		r := n.transport.do(ctx, c)
		n.events <- replyEvent{c, r, time.Since(c.startedAt)}
	}()
}

// reportUnacceptedCall gives the decision logic the one outcome of an attempt whose message was not accepted.
func (n *Node) reportUnacceptedCall(a logic.CallOut) {
	n.nextEvents = append(n.nextEvents, logic.AttemptResult{ID: a.ID, MessageEnded: true, Endpoint: a.Endpoint, Outcome: logic.NotSent})
}

// withholdCalls prevents the writing of calls that are still connecting: the decision behind them is outdated, and they
// would reach the endpoint long after it. They end with the outcome NotSent.
func (n *Node) withholdCalls(match func(endpoint logic.EndpointID) bool) {
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

// withholdCallsForWait withholds calls to where an endpoint asked for a wait: the whole destination, or only that
// endpoint where the endpoints are separate routes.
func (n *Node) withholdCallsForWait(endpoint logic.EndpointID) {
	target := n.target(endpoint)
	kinds := n.cfg.Deployment.Settings.Kinds
	separateRoutes := target.KindIndex >= 0 && target.KindIndex < len(kinds) && kinds[target.KindIndex].SeparateRoutes
	n.withholdCalls(func(other logic.EndpointID) bool {
		return other == endpoint || !separateRoutes && n.target(other).Destination == target.Destination
	})
}

// probe sends a health probe to an endpoint and passes its outcome to the loop.
func (n *Node) probe(work context.Context, endpoint logic.EndpointID) {
	addr := n.target(endpoint).Address
	go func() {
		outcome := logic.ConnRefused
		if req, err := newProbeRequest(addr); err == nil {
			outcome = n.transport.do(work, &call{endpoint: endpoint, addr: addr, startedAt: time.Now(), timeout: probeTimeout, request: req,
				state: new(atomic.Int32)}).outcome
		}
		n.events <- probeEvent{endpoint, outcome}
	}()
}
