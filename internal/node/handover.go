package node

// The owner's side of a handover: a process of a sender gives its messages, calls and connections to a new process of
// the same sender, its successor, so that an upgrade interrupts nothing.
//
// Ownership. The process that holds the lock of the lock file in the state folder is the owner: only it listens for
// clients, writes the journal and sends. It also listens on a unix socket in the folder, the handover socket. A new
// process that finds the lock taken asks there for the state, again after each handoverRetryDelay, and tries the lock
// in between, which it gets if the owner ends first.
//
// Steps:
//  1. The successor sends a line with the format and the address for its operators, "-" for none.
//  2. The owner refuses by closing the connection if it is shutting down, if a transfer has just failed, or if its
//     state does not fit in the format. Otherwise it reports itself as not ready and freezes: it accepts no client,
//     parks clients' connections between requests, withholds calls that are connecting, ends those whose requests
//     cannot be written, and parks calls that wait for their responses. From here on neither process decides anything.
//  3. The owner sends the number of descriptors and the size of the text, the descriptors (the lock, the listener, and
//     the connections), the state as JSON text, and in the row format the tables as rows. The descriptors of the lock
//     file refer to one lock, which both processes hold from then on.
//  4. The successor reads and checks all of it, opens the journal and answers with handoverAck. From then on it is the
//     owner.
//  5. The old owner closes what it has handed over, redirects operators to the new address, lets the clients that could
//     not be handed over finish (their requests go to the successor), and ends.
//
// If the transfer fails before the acknowledgement, the owner resumes everything where it stopped and refuses handovers
// for handoverFailureDelay. If the owner is stopped while it waits for the acknowledgement, it ends without resuming:
// the successor continues if it has the whole state; otherwise the next start reads the journal.

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

	"crossdeal/internal/httpconn"
	"crossdeal/logic"
)

const (
	lockFileName                = "lock"     // in the state folder: the process that holds its lock owns the state
	handoverSocketName          = "handover" // beside it: the socket on which the owner hands over
	handoverRequestText         = "take 1"   // request for format 1: the state as one text ...
	handoverRequestRows         = "take 2"   // ... or for format 2: a text, followed by the tables as rows
	handoverAck                 = "taken\n"  // the successor's acknowledgement
	handoverRequestTimeout      = time.Second
	handoverRetryDelay          = 50 * time.Millisecond  // before the owner is asked again, or the lock is tried again
	freezeTimeout               = 100 * time.Millisecond // for partially read requests to complete
	requestWriteFreezeTimeout   = 100 * time.Millisecond // for partially written requests to be written
	freezePollInterval          = time.Millisecond
	adminLingerTime             = 2 * time.Second // after a handover, for operators that still call the old address
	handoverReservedDescriptors = 16              // per process: lock, journal, discovery, notices and the like
	maxDescriptorsPerMessage    = 200             // descriptors in one message; the kernel allows 253
	maxStateTextBytes           = 64 << 20
	minTextBytesPerName         = 600 // bytes of text for each name, at least; shows early that a text is too large
	maxRowBytes                 = 1 << 20
	handoverStallTimeout        = 2 * time.Second // a successor that reads nothing for this long has failed
	handoverListenRetryDelay    = time.Second     // before the handover socket is opened again
	handoverFailureDelay        = time.Second     // after a failed transfer, before the next: each one stalls the owner
)

var (
	errStateLocked    = errors.New("another process owns the state")
	errHandedOver     = errors.New("handed over to a new process")
	errHandoverFormat = errors.New("the owner does not hand over, or not in this format")
	errTransferBroken = errors.New("the state transfer broke off")
	errStateTooLarge  = errors.New("state is too large for one text")
)

// lockState makes this process the owner of the state folder, until all descriptors of the returned file are closed, in
// each process that has one.
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

// handoverSocketPath returns a path to the socket that is short enough for a unix address, however long the folder's
// path is. The caller closes the file once the path has been used.
func handoverSocketPath(dir string) (string, *os.File, error) {
	d, err := os.Open(dir)
	if err != nil {
		return "", nil, err
	}
	return fmt.Sprintf("/proc/self/fd/%d/%s", d.Fd(), handoverSocketName), d, nil
}

// listenHandover opens the handover socket. Only the owner of the state may do so.
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
	ln.SetUnlinkOnClose(false) // by then the name may belong to a successor
	return ln, nil
}

// acceptSuccessors reads the requests of successors, one at a time, and passes them to the loop, until work is done.
func (n *Node) acceptSuccessors(work context.Context, ln *net.UnixListener) {
	defer context.AfterFunc(work, func() { ln.Close() })()
	for {
		conn, err := ln.AcceptUnix()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			n.log.Error("handover", "err", err)
			time.Sleep(shortRetryDelay) // possibly out of descriptors
			continue
		}
		conn.SetDeadline(time.Now().Add(handoverRequestTimeout))
		line, err := bufio.NewReader(io.LimitReader(conn, maxCommandBytes)).ReadString('\n')
		line = strings.TrimSuffix(line, "\n")
		adminAddr, ok := strings.CutPrefix(line, handoverRequestText+" ")
		inRows := false
		if !ok {
			adminAddr, inRows = strings.CutPrefix(line, handoverRequestRows+" ")
		}
		if err != nil || !ok && !inRows {
			n.log.Warn("handover to a process that does not ask for it in this form", "err", err)
			conn.Close()
			continue
		}
		conn.SetDeadline(time.Time{})
		select {
		case n.successors <- successor{conn, adminAddr, inRows}:
		case <-work.Done():
			conn.Close()
		}
	}
}

// successor is a new process that has asked to take over.
type successor struct {
	conn      *net.UnixConn
	adminAddr string // its address for operators; "-" if it has none
	takesRows bool   // it takes the tables as rows
}

// handOver hands the state over to a successor and reports whether this process must end. The loop calls it, so nothing
// is decided meanwhile. If the successor fails before it has acknowledged the state, everything resumes here. stopped
// ends the wait for the acknowledgement: this process is about to end then, and the successor continues if it has
// the whole state.
func (n *Node) handOver(work context.Context, next successor, stopped <-chan struct{}) bool {
	defer next.conn.Close()
	if n.closing {
		return false // the successor takes over once this process has ended
	}
	if time.Now().Before(n.noHandoverBefore) {
		return false // another attempt would stall the sender and probably fail too
	}
	if names := n.nameCount(); !next.takesRows && names > maxStateTextBytes/minTextBytesPerName {
		n.log.Warn("too much for a handover to a process that takes all in one text: it waits for our end", "names", names)
		return false
	}
	start := time.Now()
	n.setReadiness(errHandedOver)
	n.freeze(work, start)
	for len(n.nextEvents) > 0 {
		events := n.nextEvents
		n.nextEvents = nil
		n.executeActions(work, n.sender.ApplyWithoutSending(toMicros(time.Since(n.clockOrigin)), events))
	}
	state, conns, unsent := n.packState(next.takesRows)
	err := n.journal.Flush() // the successor has only the file
	if err == nil {
		n.answerRefusals()
		err = n.sendState(next, state, conns, stopped)
	}
	if err != nil && !errors.Is(err, errHandedOver) {
		n.log.Error("handover failed, going on", "err", err)
		n.unfreeze(work, conns, unsent)
		n.noHandoverBefore = time.Now().Add(handoverFailureDelay)
		return false
	}
	n.clients.completeHandover(n.listener.Addr().String(), conns.clients, unsent)
	for _, conn := range conns.calls {
		conn.Close()
	}
	for _, conn := range conns.idle {
		conn.Close()
	}
	n.listener.Close()
	if n.admin != nil {
		n.admin.redirect(next.adminAddr)
	}
	n.log.Info("handed over", "calls", len(state.Calls), "clients", len(state.Clients), "kept", len(unsent), "idle", len(state.Idle),
		"held", len(state.Held), "bytes", state.bytesSent, "took", time.Since(start).String())
	return true
}

// freeze brings everything to a point where it can be handed over: requests are answered, clients' connections wait for
// the next request, calls wait for their responses or have ended. Partially read requests have freezeTimeout to
// complete, partially written ones requestWriteFreezeTimeout.
func (n *Node) freeze(work context.Context, start time.Time) {
	ticker := time.NewTicker(freezePollInterval)
	defer ticker.Stop()
	n.clients.freeze()
	n.listener.(*net.TCPListener).SetDeadline(time.Unix(1, 0))
	for !n.clients.allFrozen(time.Since(start) > freezeTimeout) {
		select {
		case ev := <-n.events:
			n.handleEvent(ev)
			n.step(work)
		case <-ticker.C:
			n.step(work)
		}
	}
	n.withholdCalls(func(logic.EndpointID) bool { return true })
	writesEndAt := time.Now().Add(requestWriteFreezeTimeout)
	for n.parkCalls(time.Now().After(writesEndAt)) > 0 {
		select {
		case ev := <-n.events:
			n.handleEvent(ev)
		case <-ticker.C:
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

// parkCalls begins to park calls that only wait for their responses, and returns the number of calls that are neither
// parked nor ended yet. With interruptWrites it also ends the writing of requests: the endpoint may read nothing. Such a
// call cannot have run, since its last byte was not written, so its message can be sent again.
func (n *Node) parkCalls(interruptWrites bool) (count int) {
	for _, h := range n.held {
		if h.cancelCall == nil || h.parkedConn != nil {
			continue
		}
		count++
		if h.call.state.CompareAndSwap(callSent, callParked) || interruptWrites && h.call.state.Load() == callWritten {
			h.cancelCall(errParked)
		}
	}
	return count
}

// transferConns are the connections that go with a state transfer.
type transferConns struct {
	calls         []*httpconn.Conn
	idle          []*httpconn.Conn
	idleEndpoints []logic.EndpointID
	clients       []net.Conn
	callMessages  []*heldMessage // the messages of calls, in the same order
}

// packState makes the state transfer. maxDescriptors bounds both processes together, so the successor gets at most half
// of them, less a reserve. Calls have priority, then clients, then idle connections. Clients beyond the bound are
// returned and stay here; idle connections beyond it are closed.
func (n *Node) packState(inRows bool) (*stateTransfer, *transferConns, []net.Conn) {
	state := &stateTransfer{At: n.clock.NowMicros(), Clock: toMicros(time.Since(n.clockOrigin)), Discovery: n.watcher.BaseURL(),
		Generation: n.listGeneration, Recent: map[string]int64{}}
	if inRows {
		state.Module, state.Names = n.sender.SaveWithoutTables(), n.nameCount()
		if anchor, err := n.clock.Anchor(); err == nil {
			state.Anchor = &anchor
		}
	} else {
		state.Module, state.IDs, state.Targets = n.sender.Save(), map[string]logic.EndpointID{}, map[logic.EndpointID]transferTarget{}
		for name, id := range n.directory.Names() {
			state.IDs[name] = id
		}
		for _, id := range state.IDs {
			if t, ok := n.directory.Target(id); ok {
				state.Targets[id] = transferTarget{t.Address, t.ZoneIndex, t.KindIndex, t.Destination, t.Lifecycle, t.Weight}
			}
		}
	}
	for id, t := range n.recentIDs {
		state.Recent[id] = n.clock.Micros(t)
	}
	descriptorsLeft := n.maxDescriptors/2 - handoverReservedDescriptors
	conns := &transferConns{}
	for id, h := range n.held {
		state.Held = append(state.Held, transferHeld{id, h.attempts, h.ended, h.message.Deadline})
		if h.parkedConn != nil {
			call := h.call
			received, _ := h.parkedConn.Reader.Peek(h.parkedConn.Reader.Buffered())
			state.Calls = append(state.Calls, transferCall{id, call.attempt, call.endpoint, n.clock.Micros(call.startedAt),
				n.clock.Micros(call.startedAt.Add(call.timeout)), received})
			conns.calls, conns.callMessages = append(conns.calls, h.parkedConn), append(conns.callMessages, h)
			descriptorsLeft--
		}
	}
	parked, states := n.clients.parkedConns()
	sent := max(min(len(parked), descriptorsLeft), 0)
	conns.clients, state.Clients = parked[:sent], states[:sent]
	descriptorsLeft -= sent
	for endpoint, list := range n.transport.idle.TakeAll() {
		for _, conn := range list {
			if descriptorsLeft--; descriptorsLeft < 0 {
				conn.Close()
				continue
			}
			conns.idle, conns.idleEndpoints = append(conns.idle, conn), append(conns.idleEndpoints, endpoint)
			state.Idle = append(state.Idle, transferIdle{endpoint, n.clock.Micros(conn.IdleSince())})
		}
	}
	return state, conns, parked[sent:]
}

// sendState writes the state and waits until the successor has acknowledged it or is gone. errHandedOver means that
// this process is being stopped and must end without knowing whether the successor has the state.
func (n *Node) sendState(next successor, state *stateTransfer, conns *transferConns, stopped <-chan struct{}) error {
	conn := next.conn
	text, err := json.Marshal(state)
	if err != nil {
		return err
	}
	if len(text) > maxStateTextBytes {
		return fmt.Errorf("state text of %d bytes exceeds the limit", len(text))
	}
	fds := []int{int(n.lockFile.Fd())}
	sockets := []syscall.Conn{n.listener.(*net.TCPListener)}
	for _, list := range [][]*httpconn.Conn{conns.calls, conns.idle} {
		for _, x := range list {
			sockets = append(sockets, x.Conn.(syscall.Conn))
		}
	}
	for _, x := range conns.clients {
		sockets = append(sockets, x.(syscall.Conn))
	}
	for _, x := range sockets {
		raw, err := x.SyscallConn()
		if err != nil {
			return err
		}
		// The number stays valid after Control: nothing else closes a parked connection.
		if err := raw.Control(func(fd uintptr) { fds = append(fds, int(fd)) }); err != nil {
			return err
		}
	}
	head := binary.LittleEndian.AppendUint32(nil, uint32(len(fds)))
	if _, err := conn.Write(binary.LittleEndian.AppendUint32(head, uint32(len(text)))); err != nil {
		return err
	}
	for len(fds) > 0 {
		part := fds[:min(len(fds), maxDescriptorsPerMessage)]
		if _, _, err := conn.WriteMsgUnix([]byte{'f'}, syscall.UnixRights(part...), nil); err != nil {
			return err
		}
		fds = fds[len(part):]
	}
	out := bufio.NewWriterSize(stallTimeoutWriter{conn, &state.bytesSent}, 1<<16)
	out.Write(text) // Flush returns an error
	if next.takesRows {
		n.writeRows(out)
	}
	if err := out.Flush(); err != nil {
		return err
	}
	acknowledged := make(chan error, 1)
	go func() { // ends when the caller closes the connection
		line := make([]byte, len(handoverAck))
		_, err := io.ReadFull(conn, line)
		acknowledged <- err
	}()
	select {
	case err := <-acknowledged:
		return err
	case <-stopped:
		return errHandedOver
	}
}

// stallTimeoutWriter fails once the reader has taken nothing for handoverStallTimeout.
type stallTimeoutWriter struct {
	*net.UnixConn
	written *int // total, in bytes
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

// unfreeze resumes everything that was packed, after a transfer that failed.
func (n *Node) unfreeze(work context.Context, conns *transferConns, unsent []net.Conn) {
	for i, h := range conns.callMessages {
		h.parkedConn = nil
		h.call.state.Store(callSent)
		n.resumeCall(work, h, conns.calls[i])
	}
	for i, conn := range conns.idle {
		n.transport.idle.Return(conns.idleEndpoints[i], conn)
	}
	n.listener.(*net.TCPListener).SetDeadline(time.Time{})
	n.clients.unfreeze(append(conns.clients, unsent...))
	go n.clients.serve(n.listener)
	n.setReadiness(nil)
	n.step(work)
}
