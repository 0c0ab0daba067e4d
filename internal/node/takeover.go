package node

// The successor's side of a handover: requesting the state from its owner and resuming from it. See handover.go for the
// protocol.

import (
	"context"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"syscall"
	"time"

	"crossdeal/internal/discovery"
	"crossdeal/internal/httpconn"
	"crossdeal/logic"
)

// takeover is what a process has received: the state, and its descriptors as connections.
type takeover struct {
	stateTransfer
	names       []nameRow
	listener    net.Listener
	conns       []net.Conn // of Calls, Idle and Clients, in this order; nil where a descriptor was not usable
	acknowledge func()     // tells the owner that the state has been taken
}

// resumeCall waits for the response to a call that was parked.
func (n *Node) resumeCall(work context.Context, h *heldMessage, conn *httpconn.Conn) {
	ctx, cancel := context.WithCancelCause(work)
	h.cancelCall = cancel
	c := h.call
	go func() {
		r := n.transport.awaitResponse(ctx, c, conn, c.startedAt.Add(c.timeout))
		n.events <- replyEvent{c, r, time.Since(c.startedAt)}
	}()
}

// stateWarningInterval is the time between two log lines of a start that waits for its state folder.
const stateWarningInterval = time.Second

// takeOver makes this process the owner of the state: it waits for the lock, or for the owner to hand over, and for a
// state folder that fails. The result is nil if it got the lock, and the journal is replayed then.
func (n *Node) takeOver(ctx context.Context) (*takeover, error) {
	tooLarge := false // the state does not fit in one text: wait for the owner to end, since each request stalls it
	warning := logInterval{interval: stateWarningInterval}
	for attempts := 0; ; attempts++ {
		var err error
		if n.lockFile == nil { // another process may be the owner
			var t *takeover
			if t, err = n.requestStateInAnyFormat(&tooLarge); err == nil {
				return t, nil
			}
			if errors.Is(err, errTransferBroken) {
				n.log.Warn("takeover", "err", err)
			}
			if attempts == 0 {
				n.log.Info("waiting for the owner of the state", "why", err)
			}
		}
		if err = n.acquireState(); err == nil {
			return nil, nil
		}
		if !errors.Is(err, errStateLocked) && warning.due() {
			n.log.Error("the state folder fails, trying again", "err", err)
		}
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-time.After(handoverRetryDelay):
		}
	}
}

// requestStateInAnyFormat asks the owner for the state, as one text if it does not know the row format and the state
// has not proved tooLarge for that.
func (n *Node) requestStateInAnyFormat(tooLarge *bool) (*takeover, error) {
	t, err := n.requestState(handoverRequestRows)
	if errors.Is(err, errHandoverFormat) && !*tooLarge {
		t, err = n.requestState(handoverRequestText)
		*tooLarge = errors.Is(err, errStateTooLarge)
	}
	return t, err
}

// requestState asks the owner for the whole state in a format. All of it is checked before it is acknowledged, so that
// the owner resumes if anything is wrong.
func (n *Node) requestState(format string) (_ *takeover, err error) {
	path, d, err := handoverSocketPath(n.cfg.StateDir)
	if err != nil {
		return nil, err
	}
	conn, err := net.DialUnix("unix", nil, &net.UnixAddr{Name: path, Net: "unix"})
	d.Close()
	if err != nil {
		return nil, err
	}
	admin := "-"
	if n.admin != nil {
		admin = n.admin.address().String()
	}
	var files []*os.File
	t, started := &takeover{}, false
	defer func() {
		if err == nil {
			return
		}
		if started {
			err = fmt.Errorf("%w: %w", errTransferBroken, err)
		}
		conn.Close()
		for _, f := range files {
			f.Close()
		}
		for _, c := range t.conns {
			if c != nil {
				c.Close()
			}
		}
		if t.listener != nil {
			t.listener.Close()
		}
	}()
	if _, err := fmt.Fprintf(conn, "%s %s\n", format, admin); err != nil {
		return nil, err
	}
	var head [8]byte
	if _, err := io.ReadFull(conn, head[:]); err != nil { // the wait also ends with an error if the owner ends
		return nil, fmt.Errorf("%w: %w", errHandoverFormat, err)
	}
	started = true
	count, size := int(binary.LittleEndian.Uint32(head[:4])), int(binary.LittleEndian.Uint32(head[4:]))
	for len(files) < count {
		more, err := receiveDescriptors(conn)
		if err != nil {
			return nil, err
		}
		files = append(files, more...)
	}
	if size > maxStateTextBytes {
		return nil, fmt.Errorf("%w: %d bytes", errStateTooLarge, size)
	}
	text := make([]byte, size)
	if _, err := io.ReadFull(conn, text); err != nil {
		return nil, err
	}
	if err := json.Unmarshal(text, &t.stateTransfer); err != nil {
		return nil, fmt.Errorf("state: %w", err)
	}
	if len(files) != 2+len(t.Calls)+len(t.Idle)+len(t.Clients) {
		return nil, fmt.Errorf("state with %d descriptors, which its tables do not match", len(files))
	}
	if format == handoverRequestRows {
		n.sender, err = logic.ResumeFromRows(n.cfg.Deployment.Settings, n.cfg.Seed, t.Module, t.readRows(conn))
	} else {
		n.sender, err = logic.Resume(n.cfg.Deployment.Settings, n.cfg.Seed, t.Module)
	}
	if err != nil {
		return nil, fmt.Errorf("state: %w", err)
	}
	if t.listener, err = net.FileListener(files[1]); err != nil {
		return nil, err
	}
	files[1].Close()
	for _, f := range files[2:] {
		c, err := net.FileConn(f)
		f.Close()
		if err != nil { // for example because its peer has gone
			c = nil
		}
		t.conns = append(t.conns, c)
	}
	if n.journal, err = n.openJournal(); err != nil {
		return nil, err
	}
	n.lockFile = files[0]
	t.acknowledge = func() {
		io.WriteString(conn, handoverAck) // an owner that has ended meanwhile need not know
		conn.Close()
	}
	return t, nil
}

// receiveDescriptors receives one message of the handover socket and returns the descriptors that it carries.
func receiveDescriptors(conn *net.UnixConn) ([]*os.File, error) {
	oob := make([]byte, syscall.CmsgSpace(4*maxDescriptorsPerMessage))
	var b [1]byte
	_, k, flags, _, err := conn.ReadMsgUnix(b[:], oob)
	if err != nil {
		return nil, err
	}
	if k == 0 || flags&syscall.MSG_CTRUNC != 0 {
		return nil, errors.New("descriptors missing")
	}
	msgs, err := syscall.ParseSocketControlMessage(oob[:k])
	if err != nil {
		return nil, err
	}
	var files []*os.File
	for _, m := range msgs {
		fds, err := syscall.ParseUnixRights(&m)
		if err != nil {
			return files, err
		}
		for _, fd := range fds {
			files = append(files, os.NewFile(uintptr(fd), "handed over"))
		}
	}
	return files, nil
}

// adopt resumes the messages, calls and connections that another process has handed over.
func (n *Node) adopt(work context.Context, t *takeover) {
	if t.Anchor == nil || !n.clock.ContinueFromAnchor(*t.Anchor) {
		n.clock.ContinueFrom(t.At) // an earlier version hands over no anchor
	}
	n.anchorTimeline()
	n.clockOrigin = n.clock.Time(t.At).Add(-toDuration(t.Clock))
	for _, x := range t.names {
		n.directory.Adopt(x.name, x.id, x.target)
	}
	t.names, t.Module = nil, logic.Saved{}
	for name, id := range t.IDs {
		target := t.Targets[id]
		n.directory.Adopt(name, id, discovery.Target{Address: target.Addr, ZoneIndex: target.Zone, Destination: target.Dest, KindIndex: target.Kind,
			Lifecycle: target.Lifecycle, Weight: target.Weight})
	}
	knownGeneration := int64(-1)
	if t.Discovery == n.watcher.BaseURL() && t.Generation != 0 {
		knownGeneration, n.listGeneration = t.Generation, t.Generation
	}
	n.loadSavedStates(t.Discovery, t.Generation)
	n.watcher.SetInitialState(knownGeneration, true) // as at a restart: without the random delay of a first start
	for id, until := range t.Recent {
		n.recentIDs[id] = n.clock.Time(until)
	}
	for _, e := range n.journal.Entries() {
		if e.EndNotice != nil {
			n.notices.add(*e.EndNotice)
		}
	}
	for _, x := range t.Held {
		h := &heldMessage{message: &Message{ID: x.ID, Deadline: x.Deadline}, attempts: x.Tries, ended: x.Over}
		if e := n.journal.Entry(x.ID); e != nil && e.EndNotice == nil {
			h.message = &e.Message
		}
		n.held[x.ID] = h
		if !h.ended {
			n.openMessages++
		}
	}
	conns := t.conns
	for _, x := range t.Calls {
		h := n.held[x.ID]
		if h == nil { // does not happen in a valid state: a message with a call is in Held too
			if conns[0] != nil {
				conns[0].Close()
			}
			conns = conns[1:]
			continue
		}
		h.call = &call{id: x.ID, attempt: x.Attempt, endpoint: x.Endpoint, addr: n.target(x.Endpoint).Address,
			startedAt: n.clock.Time(x.At), timeout: time.Duration(x.By-x.At) * time.Microsecond,
			request: &http.Request{Method: http.MethodPost}, state: new(atomic.Int32)}
		h.call.state.Store(callSent)
		if conns[0] == nil {
			h.cancelCall = func(error) {}
			n.handleEvent(replyEvent{h.call, callResult{outcome: logic.ConnBroken}, time.Since(h.call.startedAt)})
		} else {
			n.resumeCall(work, h, httpconn.NewConnWithData(conns[0], h.call.addr, x.Got))
		}
		conns = conns[1:]
	}
	for _, x := range t.Idle {
		if conn := conns[0]; conn != nil {
			idleConn := httpconn.NewConn(conn, n.target(x.Endpoint).Address)
			idleConn.SetIdleSince(n.clock.Time(x.Since))
			n.transport.countConn(idleConn)
			n.transport.idle.Return(x.Endpoint, idleConn)
		}
		conns = conns[1:]
	}
	for i, x := range t.Clients {
		if conns[i] != nil {
			n.clients.adopt(conns[i], x)
		}
	}
	n.log.Info("taken over", "held", len(n.held), "calls", len(t.Calls), "clients", len(t.Clients), "idle", len(t.Idle))
}
