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
	names    []listedName
	listener net.Listener
	conns    []net.Conn // of Calls, Idle and Clients
	taken    func()     // says so to the process before
}

// goOn waits for the answer to a call that was set aside.
func (n *Node) goOn(work context.Context, h *held, conn *idleConn) {
	ctx, stop := context.WithCancelCause(work)
	h.stop = stop
	in := h.call
	go func() {
		r := n.caller.await(ctx, in, conn, in.at.Add(in.giveUp))
		n.events <- replyEvent{in, r, time.Since(in.at)}
	}()
}

// takeOver makes this process the owner of the state: it waits for the lock, or for the owner to hand over.
func (n *Node) takeOver(ctx context.Context) (*takeover, error) {
	tooMuch := false // then only the owner's end helps: each request would keep it from its work
	for tries := 0; ; tries++ {
		l, err := n.askOwner(handRows)
		if errors.Is(err, errForm) && !tooMuch {
			l, err = n.askOwner(handWord)
			tooMuch = errors.Is(err, errTooMuch)
		}
		if err == nil {
			return l, nil
		}
		if errors.Is(err, errBroken) {
			n.log.Warn("takeover", "err", err)
		}
		if tries == 0 {
			n.log.Info("waiting for the owner of the state", "why", err)
		}
		if err := n.own(); !errors.Is(err, errLocked) {
			return nil, err
		}
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-time.After(handPause):
		}
	}
}

// askOwner asks the owner of the state for all that it has, with a word for the form. What is wrong shows before it is taken, so that the owner
// goes on.
func (n *Node) askOwner(word string) (_ *takeover, err error) {
	path, d, err := socketPath(n.cfg.StateDir)
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
			err = fmt.Errorf("%w: %w", errBroken, err)
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
		return nil, fmt.Errorf("%w: %w", errForm, err)
	}
	begun = true
	count, size := int(binary.LittleEndian.Uint32(head[:4])), int(binary.LittleEndian.Uint32(head[4:]))
	for len(files) < count {
		more, err := readFiles(conn)
		if err != nil {
			return nil, err
		}
		files = append(files, more...)
	}
	if size > mostText {
		return nil, fmt.Errorf("%w: %d bytes", errTooMuch, size)
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
	if word == handRows {
		n.sender, err = logic.ResumeFromRows(n.cfg.Deploy.Settings, n.cfg.Seed, l.Module, l.readRows(conn))
	} else {
		n.sender, err = logic.Resume(n.cfg.Deploy.Settings, n.cfg.Seed, l.Module)
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
	n.lock = files[0]
	l.taken = func() {
		io.WriteString(conn, handTaken) // an owner that has gone meanwhile need not know
		conn.Close()
	}
	return l, nil
}

// readFiles takes one message with descriptors.
func readFiles(conn *net.UnixConn) ([]*os.File, error) {
	oob := make([]byte, syscall.CmsgSpace(4*handBatch))
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
	n.clock.Follow(l.At)
	n.start = n.clock.Time(l.At).Add(-span(l.Clock))
	for _, x := range l.names {
		n.dir.Adopt(x.name, x.id, x.to)
	}
	l.names, l.Module = nil, logic.Saved{}
	for name, id := range l.IDs {
		t := l.Targets[id]
		n.dir.Adopt(name, id, discovery.Target{Addr: t.Addr, Zone: t.Zone, Dest: t.Dest, Kind: t.Kind,
			Lifecycle: t.Lifecycle, Weight: t.Weight})
	}
	known := int64(-1)
	if l.Discovery == n.disc.Address() && l.Generation != 0 {
		known, n.generation = l.Generation, l.Generation
	}
	n.matchSaved(l.Discovery, l.Generation)
	n.disc.Begin(known, true) // this is no first start: the watch goes on at once
	for id, t := range l.Recent {
		n.recent[id] = n.clock.Time(t)
	}
	for _, e := range n.journal.Entries() {
		if e.End != nil {
			n.notices.add(*e.End)
		}
	}
	for _, x := range l.Held {
		h := &held{msg: &Message{ID: x.ID, Deadline: x.Deadline}, tries: x.Tries, over: x.Over}
		if e := n.journal.Entry(x.ID); e != nil && e.End == nil {
			h.msg = &e.Message
		}
		n.held[x.ID] = h
		if !h.over {
			n.open++
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
		h.call = &call{id: x.ID, attempt: x.Attempt, ep: x.Endpoint, addr: n.target(x.Endpoint).Addr,
			at: n.clock.Time(x.At), giveUp: time.Duration(x.By-x.At) * time.Microsecond,
			request: &http.Request{Method: http.MethodPost}, state: new(atomic.Int32)}
		h.call.state.Store(callSent)
		if conns[0] == nil {
			h.stop = func(error) {}
			n.take(replyEvent{h.call, result{outcome: logic.ConnBroken}, time.Since(h.call.at)})
		} else {
			n.goOn(work, h, begunConn(conns[0], h.call.addr, x.Got))
		}
		conns = conns[1:]
	}
	for _, x := range l.Idle {
		if conn := conns[0]; conn != nil {
			kept := newIdleConn(conn, n.target(x.Endpoint).Addr)
			if !n.caller.put(x.Endpoint, kept) {
				conn.Close()
			}
			kept.since = n.clock.Time(x.Since)
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
