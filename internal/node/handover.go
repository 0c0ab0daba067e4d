package node

import (
	"bufio"
	"context"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"net"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"crossdeal/logic"
)

const (
	lockFileName                = "lock"     // in the state folder: whoever holds its lock owns the messages
	handoverSocketName          = "handover" // beside it: where the owner hands over
	handoverRequestText         = "take 1"   // what a successor says first; the number is that of the form: all in one text ...
	handoverRequestRows         = "take 2"   // ... or a text, and the tables row by row
	handoverAck                 = "taken\n"  // and last
	handoverRequestTimeout      = time.Second
	handoverRetryDelay          = 50 * time.Millisecond  // before the owner is asked again
	freezeTimeout               = 100 * time.Millisecond // for half-read requests to come to their end before the state is packed
	freezePollInterval          = time.Millisecond
	adminLingerTime             = 2 * time.Second // after a handover, for operators that still call the old address
	handoverReservedDescriptors = 16              // of each process: lock, journal, discovery, notices and the like
	maxDescriptorsPerMessage    = 200             // descriptors in one message; the kernel takes 253
	maxStateTextBytes           = 64 << 20
	minTextBytesPerName         = 600             // bytes of one text for each name, at least
	maxRowBytes                 = 1 << 20         // bytes
	handoverStallTimeout        = 2 * time.Second // a successor that takes nothing for so long has failed
	handoverFailureDelay        = time.Second     // after a transfer that failed, before the next: each keeps the owner from its work
)

var (
	errStateLocked    = errors.New("another process owns the state")
	errHandedOver     = errors.New("handed over to a new process")
	errHandoverFormat = errors.New("the owner does not hand over, or not in this form")
	errTransferBroken = errors.New("the state transfer broke off")
	errStateTooLarge  = errors.New("a state too large for one text")
)

// lockState makes this process the owner of the state folder, until the file is closed everywhere.
func lockState(dir string) (*os.File, error) {
	f, err := os.OpenFile(filepath.Join(dir, lockFileName), os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, fmt.Errorf("lock: %w", err)
	}
	for {
		err = syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB)
		if !errors.Is(err, syscall.EINTR) {
			break
		}
	}
	if errors.Is(err, syscall.EWOULDBLOCK) {
		err = errStateLocked
	}
	if err != nil {
		f.Close()
		return nil, fmt.Errorf("lock: %w", err)
	}
	return f, nil
}

// handoverSocketPath names the socket by a path that is short enough for its kind, whatever the folder's. The file is to be
// closed once the name has been used.
func handoverSocketPath(dir string) (string, *os.File, error) {
	d, err := os.Open(dir)
	if err != nil {
		return "", nil, err
	}
	return fmt.Sprintf("/proc/self/fd/%d/%s", d.Fd(), handoverSocketName), d, nil
}

// listenHandover opens the socket for successors. Only the owner of the state may.
func listenHandover(dir string) (*net.UnixListener, error) {
	if err := os.Remove(filepath.Join(dir, handoverSocketName)); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return nil, err
	}
	path, d, err := handoverSocketPath(dir)
	if err != nil {
		return nil, err
	}
	defer d.Close()
	ln, err := net.ListenUnix("unix", &net.UnixAddr{Name: path, Net: "unix"})
	if err != nil {
		return nil, err
	}
	ln.SetUnlinkOnClose(false) // by then the name may be a successor's
	return ln, nil
}

// acceptSuccessors lets successors in, one after the other, until the listener is closed.
func (n *Node) acceptSuccessors(work context.Context, ln *net.UnixListener) {
	defer context.AfterFunc(work, func() { ln.Close() })()
	for {
		conn, err := ln.AcceptUnix()
		if err != nil {
			if !errors.Is(err, net.ErrClosed) {
				n.log.Error("handover", "err", err)
			}
			return
		}
		conn.SetDeadline(time.Now().Add(handoverRequestTimeout))
		line, err := bufio.NewReader(io.LimitReader(conn, maxCommandBytes)).ReadString('\n')
		line = strings.TrimSuffix(line, "\n")
		admin, ok := strings.CutPrefix(line, handoverRequestText+" ")
		inRows := false
		if !ok {
			admin, inRows = strings.CutPrefix(line, handoverRequestRows+" ")
		}
		if err != nil || !ok && !inRows {
			n.log.Warn("handover to a process that does not ask for it in this form", "err", err)
			conn.Close()
			continue
		}
		conn.SetDeadline(time.Time{})
		select {
		case n.successors <- successor{conn, admin, inRows}:
		case <-work.Done():
			conn.Close()
		}
	}
}

// successor is a process that asks to take over.
type successor struct {
	conn      *net.UnixConn
	adminAddr string // where operators call it; "-" if nowhere
	takesRows bool   // it takes the tables row by row
}

// handOver gives all to a successor and says whether it has taken it. The loop calls it: nothing is decided meanwhile.
// If the successor dies first, all goes on here as it was. stopped ends the wait for it: then this process is about to
// end, and the successor, if it has all, goes on.
func (n *Node) handOver(work context.Context, to successor, stopped <-chan struct{}) bool {
	defer to.conn.Close()
	if n.closing {
		return false // it takes over once we have ended
	}
	if time.Now().Before(n.noHandoverBefore) {
		return false // all would stand still for nothing once more
	}
	if names := n.nameCount(); !to.takesRows && names > maxStateTextBytes/minTextBytesPerName {
		n.log.Warn("too much for a handover to a process that takes all in one text: it waits for our end", "names", names)
		return false
	}
	start := time.Now()
	n.setReadiness(errHandedOver)
	n.freeze(work, start)
	for len(n.nextEvents) > 0 {
		events := n.nextEvents
		n.nextEvents = nil
		n.executeActions(work, n.sender.ApplyWithoutSending(toMicros(time.Since(n.startedAt)), events))
	}
	p, conns, left := n.packState(to.takesRows)
	err := n.sendState(to, p, conns, stopped)
	if err != nil && !errors.Is(err, errHandedOver) {
		n.log.Error("handover failed, going on", "err", err)
		n.unfreeze(work, conns, left)
		n.noHandoverBefore = time.Now().Add(handoverFailureDelay)
		return false
	}
	n.clients.completeHandover(n.listener.Addr().String(), conns.clients, left)
	for _, x := range conns.calls {
		x.Close()
	}
	for _, x := range conns.idle {
		x.Close()
	}
	n.listener.Close()
	if n.admin != nil {
		n.admin.redirect(to.adminAddr)
	}
	n.log.Info("handed over", "calls", len(p.Calls), "clients", len(p.Clients), "kept", len(left), "idle", len(p.Idle),
		"held", len(p.Held), "bytes", p.bytesSent, "took", time.Since(start).String())
	return true
}

// freeze lets what is under way come to a point where it can be handed over: requests have their answers, clients'
// connections wait for the next, calls wait for their answers or have them.
func (n *Node) freeze(work context.Context, start time.Time) {
	look := time.NewTicker(freezePollInterval)
	defer look.Stop()
	n.clients.freeze()
	n.listener.(*net.TCPListener).SetDeadline(time.Unix(1, 0))
	for !n.clients.allFrozen(time.Since(start) > freezeTimeout) {
		select {
		case ev := <-n.events:
			n.handleEvent(ev)
			n.step(work)
		case <-look.C:
			n.step(work)
		}
	}
	n.withholdCalls(func(logic.EndpointID) bool { return true })
	for n.parkSentCalls() > 0 {
		select {
		case ev := <-n.events:
			n.handleEvent(ev)
		case <-look.C:
		}
	}
	for more := true; more; {
		select {
		case ev := <-n.events:
			n.handleEvent(ev)
		default:
			more = false
		}
	}
}

// parkSentCalls sets calls aside that only wait for their answers, and counts those that have still to come to that or to
// their outcome.
func (n *Node) parkSentCalls() (count int) {
	for _, h := range n.held {
		if h.cancelCall == nil || h.parkedConn != nil {
			continue
		}
		count++
		if h.call.state.CompareAndSwap(callSent, callParked) {
			h.cancelCall(errParked)
		}
	}
	return count
}

// transferConns are the connections that go with a state transfer.
type transferConns struct {
	calls         []*endpointConn
	idle          []*endpointConn
	idleEndpoints []logic.EndpointID
	clients       []net.Conn
	callMessages  []*heldMessage // of calls
}

// packState makes the state transfer. Both processes together may hold so many descriptors: what goes beyond that stays here, calls
// going first and idle connections last.
func (n *Node) packState(inRows bool) (*stateTransfer, *transferConns, []net.Conn) {
	p := &stateTransfer{At: n.clock.NowMicros(), Clock: toMicros(time.Since(n.startedAt)), Discovery: n.watcher.BaseURL(),
		Generation: n.listGeneration, Recent: map[string]int64{}}
	if inRows {
		p.Module, p.Names = n.sender.SaveWithoutTables(), n.nameCount()
	} else {
		p.Module, p.IDs, p.Targets = n.sender.Save(), map[string]logic.EndpointID{}, map[logic.EndpointID]transferTarget{}
		for name, id := range n.directory.Names() {
			p.IDs[name] = id
		}
		for _, id := range p.IDs {
			if t, ok := n.directory.Target(id); ok {
				p.Targets[id] = transferTarget{t.Address, t.ZoneIndex, t.KindIndex, t.Destination, t.Lifecycle, t.Weight}
			}
		}
	}
	for id, t := range n.recentIDs {
		p.Recent[id] = n.clock.Micros(t)
	}
	room := n.maxDescriptors/2 - handoverReservedDescriptors
	c := &transferConns{}
	for id, h := range n.held {
		p.Held = append(p.Held, transferHeld{id, h.attempts, h.ended, h.message.Deadline})
		if h.parkedConn != nil {
			in := h.call
			got, _ := h.parkedConn.reader.Peek(h.parkedConn.reader.Buffered())
			p.Calls = append(p.Calls, transferCall{id, in.attempt, in.endpoint, n.clock.Micros(in.startedAt),
				n.clock.Micros(in.startedAt.Add(in.timeout)), got})
			c.calls, c.callMessages = append(c.calls, h.parkedConn), append(c.callMessages, h)
			room--
		}
	}
	parked, states := n.clients.parkedConns()
	some := max(min(len(parked), room), 0)
	c.clients, p.Clients = parked[:some], states[:some]
	room -= some
	for ep, list := range n.transport.takeAllIdle() {
		for _, conn := range list {
			if room--; room < 0 {
				conn.Close()
				continue
			}
			c.idle, c.idleEndpoints = append(c.idle, conn), append(c.idleEndpoints, ep)
			p.Idle = append(p.Idle, transferIdle{ep, n.clock.Micros(conn.idleSince)})
		}
	}
	return p, c, parked[some:]
}

// sendState writes the state and waits until the successor has taken it or is gone. errHanded says that this process must
// end without knowing.
func (n *Node) sendState(next successor, p *stateTransfer, c *transferConns, stopped <-chan struct{}) error {
	to := next.conn
	text, err := json.Marshal(p)
	if err != nil {
		return err
	}
	if len(text) > maxStateTextBytes {
		return fmt.Errorf("a text of %d bytes", len(text))
	}
	fds := []int{int(n.lockFile.Fd())}
	all := []syscall.Conn{n.listener.(*net.TCPListener)}
	for _, list := range [][]*endpointConn{c.calls, c.idle} {
		for _, x := range list {
			all = append(all, x.Conn.(syscall.Conn))
		}
	}
	for _, x := range c.clients {
		all = append(all, x.(syscall.Conn))
	}
	for _, x := range all {
		raw, err := x.SyscallConn()
		if err != nil {
			return err
		}
		// The number stays good after Control: nobody else closes what is set aside.
		if err := raw.Control(func(fd uintptr) { fds = append(fds, int(fd)) }); err != nil {
			return err
		}
	}
	head := binary.LittleEndian.AppendUint32(nil, uint32(len(fds)))
	if _, err := to.Write(binary.LittleEndian.AppendUint32(head, uint32(len(text)))); err != nil {
		return err
	}
	for len(fds) > 0 {
		part := fds[:min(len(fds), maxDescriptorsPerMessage)]
		if _, _, err := to.WriteMsgUnix([]byte{'f'}, syscall.UnixRights(part...), nil); err != nil {
			return err
		}
		fds = fds[len(part):]
	}
	out := bufio.NewWriterSize(stallTimeoutWriter{to, &p.bytesSent}, 1<<16)
	out.Write(text) // an error shows at the end
	if next.takesRows {
		n.writeRows(out)
	}
	if err := out.Flush(); err != nil {
		return err
	}
	heard := make(chan error, 1)
	go func() { // ends with the connection, which the caller closes
		line := make([]byte, len(handoverAck))
		_, err := io.ReadFull(to, line)
		heard <- err
	}()
	select {
	case err := <-heard:
		return err
	case <-stopped:
		return errHandedOver
	}
}

// stallTimeoutWriter writes as long as the other side takes something now and then.
type stallTimeoutWriter struct {
	*net.UnixConn
	written *int // bytes written
}

func (c stallTimeoutWriter) Write(b []byte) (n int, err error) {
	for n < len(b) && err == nil {
		c.SetWriteDeadline(time.Now().Add(handoverStallTimeout))
		var k int
		k, err = c.UnixConn.Write(b[n:min(len(b), n+1<<16)])
		n += k
		*c.written += k
	}
	return n, err
}

// unfreeze goes on with what was packed, since nobody has taken it.
func (n *Node) unfreeze(work context.Context, c *transferConns, left []net.Conn) {
	for i, h := range c.callMessages {
		h.parkedConn = nil
		h.call.state.Store(callSent)
		n.resumeCall(work, h, c.calls[i])
	}
	for i, conn := range c.idle {
		if !n.transport.putIdle(c.idleEndpoints[i], conn) {
			conn.Close()
		}
	}
	n.listener.(*net.TCPListener).SetDeadline(time.Time{})
	n.clients.unfreeze(append(c.clients, left...))
	go n.clients.serve(n.listener)
	n.setReadiness(nil)
	n.step(work)
}
