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
	lockName            = "lock"     // in the state folder: whoever holds its lock owns the messages
	socketName          = "handover" // beside it: where the owner hands over
	handWord            = "take 1"   // what a successor says first; the number is that of the form: all in one text ...
	handRows            = "take 2"   // ... or a text, and the tables row by row
	handTaken           = "taken\n"  // and last
	handTime            = time.Second
	handPause           = 50 * time.Millisecond  // before the owner is asked again
	freezeTime          = 100 * time.Millisecond // for half-read requests to come to their end before the state is packed
	freezeLook          = time.Millisecond
	lingerAdmin         = 2 * time.Second // after a handover, for operators that still call the old address
	reservedDescriptors = 16              // of each process: lock, journal, discovery, notices and the like
	handBatch           = 200             // descriptors in one message; the kernel takes 253
	mostText            = 64 << 20
	textEach            = 600             // bytes of one text for each name, at least
	mostRow             = 1 << 20         // bytes
	handStall           = 2 * time.Second // a successor that takes nothing for so long has failed
	handRest            = time.Second     // after a transfer that failed, before the next: each keeps the owner from its work
)

var (
	errLocked  = errors.New("another process owns the state")
	errHanded  = errors.New("handed over to a new process")
	errForm    = errors.New("the owner does not hand over, or not in this form")
	errBroken  = errors.New("the state transfer broke off")
	errTooMuch = errors.New("a state too large for one text")
)

// lockState makes this process the owner of the state folder, until the file is closed everywhere.
func lockState(dir string) (*os.File, error) {
	f, err := os.OpenFile(filepath.Join(dir, lockName), os.O_RDWR|os.O_CREATE, 0o600)
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
		err = errLocked
	}
	if err != nil {
		f.Close()
		return nil, fmt.Errorf("lock: %w", err)
	}
	return f, nil
}

// socketPath names the socket by a path that is short enough for its kind, whatever the folder's. The file is to be
// closed once the name has been used.
func socketPath(dir string) (string, *os.File, error) {
	d, err := os.Open(dir)
	if err != nil {
		return "", nil, err
	}
	return fmt.Sprintf("/proc/self/fd/%d/%s", d.Fd(), socketName), d, nil
}

// listenHandover opens the socket for successors. Only the owner of the state may.
func listenHandover(dir string) (*net.UnixListener, error) {
	if err := os.Remove(filepath.Join(dir, socketName)); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return nil, err
	}
	path, d, err := socketPath(dir)
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

// meet lets successors in, one after the other, until the listener is closed.
func (n *Node) meet(work context.Context, ln *net.UnixListener) {
	defer context.AfterFunc(work, func() { ln.Close() })()
	for {
		conn, err := ln.AcceptUnix()
		if err != nil {
			if !errors.Is(err, net.ErrClosed) {
				n.log.Error("handover", "err", err)
			}
			return
		}
		conn.SetDeadline(time.Now().Add(handTime))
		line, err := bufio.NewReader(io.LimitReader(conn, orderLine)).ReadString('\n')
		line = strings.TrimSuffix(line, "\n")
		admin, ok := strings.CutPrefix(line, handWord+" ")
		inRows := false
		if !ok {
			admin, inRows = strings.CutPrefix(line, handRows+" ")
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
	conn   *net.UnixConn
	admin  string // where operators call it; "-" if nowhere
	inRows bool   // it takes the tables row by row
}

// handOver gives all to a successor and says whether it has taken it. The loop calls it: nothing is decided meanwhile.
// If the successor dies first, all goes on here as it was. stopped ends the wait for it: then this process is about to
// end, and the successor, if it has all, goes on.
func (n *Node) handOver(work context.Context, to successor, stopped <-chan struct{}) bool {
	defer to.conn.Close()
	if n.closing {
		return false // it takes over once we have ended
	}
	if time.Now().Before(n.handAfter) {
		return false // all would stand still for nothing once more
	}
	if names := n.names(); !to.inRows && names > mostText/textEach {
		n.log.Warn("too much for a handover to a process that takes all in one text: it waits for our end", "names", names)
		return false
	}
	start := time.Now()
	n.admit(errHanded)
	n.freeze(work, start)
	for len(n.next) > 0 {
		events := n.next
		n.next = nil
		n.carryOut(work, n.sender.ApplyWithoutSending(micros(time.Since(n.start)), events))
	}
	p, conns, left := n.pack(to.inRows)
	err := n.send(to, p, conns, stopped)
	if err != nil && !errors.Is(err, errHanded) {
		n.log.Error("handover failed, going on", "err", err)
		n.unfreeze(work, conns, left)
		n.handAfter = time.Now().Add(handRest)
		return false
	}
	n.clients.handed(n.ln.Addr().String(), conns.clients, left)
	for _, x := range conns.calls {
		x.Close()
	}
	for _, x := range conns.idle {
		x.Close()
	}
	n.ln.Close()
	if n.admin != nil {
		n.admin.handed(to.admin)
	}
	n.log.Info("handed over", "calls", len(p.Calls), "clients", len(p.Clients), "kept", len(left), "idle", len(p.Idle),
		"held", len(p.Held), "bytes", p.size, "took", time.Since(start).String())
	return true
}

// freeze lets what is under way come to a point where it can be handed over: requests have their answers, clients'
// connections wait for the next, calls wait for their answers or have them.
func (n *Node) freeze(work context.Context, start time.Time) {
	look := time.NewTicker(freezeLook)
	defer look.Stop()
	n.clients.freeze()
	n.ln.(*net.TCPListener).SetDeadline(time.Unix(1, 0))
	for !n.clients.frozenAll(time.Since(start) > freezeTime) {
		select {
		case ev := <-n.events:
			n.take(ev)
			n.step(work)
		case <-look.C:
			n.step(work)
		}
	}
	n.hold(func(logic.EndpointID) bool { return true })
	for n.afoot() > 0 {
		select {
		case ev := <-n.events:
			n.take(ev)
		case <-look.C:
		}
	}
	for more := true; more; {
		select {
		case ev := <-n.events:
			n.take(ev)
		default:
			more = false
		}
	}
}

// afoot sets calls aside that only wait for their answers, and counts those that have still to come to that or to
// their outcome.
func (n *Node) afoot() (count int) {
	for _, h := range n.held {
		if h.stop == nil || h.parked != nil {
			continue
		}
		count++
		if h.call.state.CompareAndSwap(callSent, callParked) {
			h.stop(errParked)
		}
	}
	return count
}

// handConns are the connections that go with a state transfer.
type handConns struct {
	calls   []*idleConn
	idle    []*idleConn
	idleOf  []logic.EndpointID
	clients []net.Conn
	of      []*held // of calls
}

// pack makes the state transfer. Both processes together may hold so many descriptors: what goes beyond that stays here, calls
// going first and idle connections last.
func (n *Node) pack(inRows bool) (*stateTransfer, *handConns, []net.Conn) {
	p := &stateTransfer{At: n.clock.Now(), Clock: micros(time.Since(n.start)), Discovery: n.disc.Address(),
		Generation: n.generation, Recent: map[string]int64{}}
	if inRows {
		p.Module, p.Names = n.sender.SaveWithoutTables(), n.names()
	} else {
		p.Module, p.IDs, p.Targets = n.sender.Save(), map[string]logic.EndpointID{}, map[logic.EndpointID]transferTarget{}
		for name, id := range n.dir.Names() {
			p.IDs[name] = id
		}
		for _, id := range p.IDs {
			if t, ok := n.dir.Target(id); ok {
				p.Targets[id] = transferTarget{t.Addr, t.Zone, t.Kind, t.Dest, t.Lifecycle, t.Weight}
			}
		}
	}
	for id, t := range n.recent {
		p.Recent[id] = n.clock.Micros(t)
	}
	room := n.sockets/2 - reservedDescriptors
	c := &handConns{}
	for id, h := range n.held {
		p.Held = append(p.Held, transferHeld{id, h.tries, h.over, h.msg.Deadline})
		if h.parked != nil {
			in := h.call
			got, _ := h.parked.r.Peek(h.parked.r.Buffered())
			p.Calls = append(p.Calls, transferCall{id, in.attempt, in.ep, n.clock.Micros(in.at),
				n.clock.Micros(in.at.Add(in.giveUp)), got})
			c.calls, c.of = append(c.calls, h.parked), append(c.of, h)
			room--
		}
	}
	parked, states := n.clients.waiting()
	some := max(min(len(parked), room), 0)
	c.clients, p.Clients = parked[:some], states[:some]
	room -= some
	for ep, list := range n.caller.takeIdle() {
		for _, conn := range list {
			if room--; room < 0 {
				conn.Close()
				continue
			}
			c.idle, c.idleOf = append(c.idle, conn), append(c.idleOf, ep)
			p.Idle = append(p.Idle, transferIdle{ep, n.clock.Micros(conn.since)})
		}
	}
	return p, c, parked[some:]
}

// send writes the state and waits until the successor has taken it or is gone. errHanded says that this process must
// end without knowing.
func (n *Node) send(next successor, p *stateTransfer, c *handConns, stopped <-chan struct{}) error {
	to := next.conn
	text, err := json.Marshal(p)
	if err != nil {
		return err
	}
	if len(text) > mostText {
		return fmt.Errorf("a text of %d bytes", len(text))
	}
	fds := []int{int(n.lock.Fd())}
	all := []syscall.Conn{n.ln.(*net.TCPListener)}
	for _, list := range [][]*idleConn{c.calls, c.idle} {
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
		part := fds[:min(len(fds), handBatch)]
		if _, _, err := to.WriteMsgUnix([]byte{'f'}, syscall.UnixRights(part...), nil); err != nil {
			return err
		}
		fds = fds[len(part):]
	}
	out := bufio.NewWriterSize(patient{to, &p.size}, 1<<16)
	out.Write(text) // an error shows at the end
	if next.inRows {
		n.writeRows(out)
	}
	if err := out.Flush(); err != nil {
		return err
	}
	heard := make(chan error, 1)
	go func() { // ends with the connection, which the caller closes
		line := make([]byte, len(handTaken))
		_, err := io.ReadFull(to, line)
		heard <- err
	}()
	select {
	case err := <-heard:
		return err
	case <-stopped:
		return errHanded
	}
}

// patient writes as long as the other side takes something now and then.
type patient struct {
	*net.UnixConn
	size *int // bytes written
}

func (c patient) Write(b []byte) (n int, err error) {
	for n < len(b) && err == nil {
		c.SetWriteDeadline(time.Now().Add(handStall))
		var k int
		k, err = c.UnixConn.Write(b[n:min(len(b), n+1<<16)])
		n += k
		*c.size += k
	}
	return n, err
}

// unfreeze goes on with what was packed, since nobody has taken it.
func (n *Node) unfreeze(work context.Context, c *handConns, left []net.Conn) {
	for i, h := range c.of {
		h.parked = nil
		h.call.state.Store(callSent)
		n.goOn(work, h, c.calls[i])
	}
	for i, conn := range c.idle {
		if !n.caller.put(c.idleOf[i], conn) {
			conn.Close()
		}
	}
	n.ln.(*net.TCPListener).SetDeadline(time.Time{})
	n.clients.thaw(append(c.clients, left...))
	go n.clients.serve(n.ln)
	n.admit(nil)
	n.step(work)
}
