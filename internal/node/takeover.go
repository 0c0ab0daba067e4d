package node

// The successor's side of a handover.

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
	"crossdeal/logic"
)

// takeover is what a process has been handed: the state, and what its descriptors became.
type takeover struct {
	stateTransfer
	names       []nameRow
	listener    net.Listener
	conns       []net.Conn // of Calls, Idle and Clients
	acknowledge func()     // says so to the process before
}

// resumeCall waits for the answer to a call that was set aside.
func (n *Node) resumeCall(work context.Context, h *heldMessage, conn *endpointConn) {
	ctx, stop := context.WithCancelCause(work)
	h.cancelCall = stop
	in := h.call
	go func() {
		r := n.transport.awaitResponse(ctx, in, conn, in.startedAt.Add(in.timeout))
		n.events <- replyEvent{in, r, time.Since(in.startedAt)}
	}()
}

// takeOver makes this process the owner of the state: it waits for the lock, or for the owner to hand over.
func (n *Node) takeOver(ctx context.Context) (*takeover, error) {
	tooMuch := false // then only the owner's end helps: each request would keep it from its work
	for tries := 0; ; tries++ {
		l, err := n.requestState(handoverRequestRows)
		if errors.Is(err, errHandoverFormat) && !tooMuch {
			l, err = n.requestState(handoverRequestText)
			tooMuch = errors.Is(err, errStateTooLarge)
		}
		if err == nil {
			return l, nil
		}
		if errors.Is(err, errTransferBroken) {
			n.log.Warn("takeover", "err", err)
		}
		if tries == 0 {
			n.log.Info("waiting for the owner of the state", "why", err)
		}
		if err := n.acquireState(); !errors.Is(err, errStateLocked) {
			return nil, err
		}
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-time.After(handoverRetryDelay):
		}
	}
}

// requestState asks the owner of the state for all that it has, with a word for the form. What is wrong shows before it is taken, so that the owner
// goes on.
func (n *Node) requestState(word string) (_ *takeover, err error) {
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
	l, begun := &takeover{}, false
	defer func() {
		if err == nil {
			return
		}
		if begun {
			err = fmt.Errorf("%w: %w", errTransferBroken, err)
		}
		conn.Close()
		for _, f := range files {
			f.Close()
		}
		for _, c := range l.conns {
			if c != nil {
				c.Close()
			}
		}
		if l.listener != nil {
			l.listener.Close()
		}
	}()
	if _, err := fmt.Fprintf(conn, "%s %s\n", word, admin); err != nil {
		return nil, err
	}
	var head [8]byte
	if _, err := io.ReadFull(conn, head[:]); err != nil { // its death ends the wait
		return nil, fmt.Errorf("%w: %w", errHandoverFormat, err)
	}
	begun = true
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
	if err := json.Unmarshal(text, &l.stateTransfer); err != nil {
		return nil, fmt.Errorf("state: %w", err)
	}
	if len(files) != 2+len(l.Calls)+len(l.Idle)+len(l.Clients) {
		return nil, fmt.Errorf("a state with %d descriptors", len(files))
	}
	if word == handoverRequestRows {
		n.sender, err = logic.ResumeFromRows(n.cfg.Deployment.Settings, n.cfg.Seed, l.Module, l.readRows(conn))
	} else {
		n.sender, err = logic.Resume(n.cfg.Deployment.Settings, n.cfg.Seed, l.Module)
	}
	if err != nil {
		return nil, fmt.Errorf("state: %w", err)
	}
	if l.listener, err = net.FileListener(files[1]); err != nil {
		return nil, err
	}
	files[1].Close()
	for _, f := range files[2:] {
		c, err := net.FileConn(f)
		f.Close()
		if err != nil { // its peer has gone, say
			c = nil
		}
		l.conns = append(l.conns, c)
	}
	if n.journal, err = n.openJournal(); err != nil {
		return nil, err
	}
	n.lockFile = files[0]
	l.acknowledge = func() {
		io.WriteString(conn, handoverAck) // an owner that has gone meanwhile need not know
		conn.Close()
	}
	return l, nil
}

// receiveDescriptors takes one message with descriptors.
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

// adopt goes on with what another process has handed over.
func (n *Node) adopt(work context.Context, l *takeover) {
	n.clock.ContinueFrom(l.At)
	n.startedAt = n.clock.Time(l.At).Add(-toDuration(l.Clock))
	for _, x := range l.names {
		n.directory.Adopt(x.name, x.id, x.target)
	}
	l.names, l.Module = nil, logic.Saved{}
	for name, id := range l.IDs {
		t := l.Targets[id]
		n.directory.Adopt(name, id, discovery.Target{Address: t.Addr, ZoneIndex: t.Zone, Destination: t.Dest, KindIndex: t.Kind,
			Lifecycle: t.Lifecycle, Weight: t.Weight})
	}
	known := int64(-1)
	if l.Discovery == n.watcher.BaseURL() && l.Generation != 0 {
		known, n.listGeneration = l.Generation, l.Generation
	}
	n.matchSavedList(l.Discovery, l.Generation)
	n.watcher.SetInitialState(known, true) // this is no first start: the watch goes on at once
	for id, t := range l.Recent {
		n.recentIDs[id] = n.clock.Time(t)
	}
	for _, e := range n.journal.Entries() {
		if e.EndNotice != nil {
			n.notices.add(*e.EndNotice)
		}
	}
	for _, x := range l.Held {
		h := &heldMessage{message: &Message{ID: x.ID, Deadline: x.Deadline}, attempts: x.Tries, ended: x.Over}
		if e := n.journal.Entry(x.ID); e != nil && e.EndNotice == nil {
			h.message = &e.Message
		}
		n.held[x.ID] = h
		if !h.ended {
			n.openMessages++
		}
	}
	conns := l.conns
	for _, x := range l.Calls {
		h := n.held[x.ID]
		if h == nil { // a state that names it as out has it as held too
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
			n.resumeCall(work, h, newEndpointConnWithData(conns[0], h.call.addr, x.Got))
		}
		conns = conns[1:]
	}
	for _, x := range l.Idle {
		if conn := conns[0]; conn != nil {
			kept := newEndpointConn(conn, n.target(x.Endpoint).Address)
			if !n.transport.putIdle(x.Endpoint, kept) {
				conn.Close()
			}
			kept.idleSince = n.clock.Time(x.Since)
		}
		conns = conns[1:]
	}
	for i, x := range l.Clients {
		if conns[i] != nil {
			n.clients.adopt(conns[i], x)
		}
	}
	n.log.Info("taken over", "held", len(n.held), "calls", len(l.Calls), "clients", len(l.Clients), "idle", len(l.Idle))
}
