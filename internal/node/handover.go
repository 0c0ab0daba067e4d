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
	"iter"
	"math"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"crossdeal/internal/discovery"
	"crossdeal/logic"
)

const (
	lockName     = "lock"     // in the state folder: whoever holds its lock owns the messages
	socketName   = "handover" // beside it: where the owner hands over
	handWord     = "take 1"   // what a successor says first; the number is that of the form: all in one text ...
	handRows     = "take 2"   // ... or a text, and the tables row by row
	handTaken    = "taken\n"  // and last
	handTime     = time.Second
	handPause    = 50 * time.Millisecond  // before the owner is asked again
	freezeTime   = 100 * time.Millisecond // for half-read requests to come to their end before the state is packed
	freezeLook   = time.Millisecond
	lingerDoor   = 2 * time.Second // after a handover, for operators that still call the old address
	spareSockets = 16              // of each process: lock, journal, discovery, notices and the like
	handBatch    = 200             // descriptors in one message; the kernel takes 253
	mostText     = 64 << 20
	textEach     = 600             // bytes of one text for each name, at least
	mostRow      = 1 << 20         // bytes
	handStall    = 2 * time.Second // a successor that takes nothing for so long has failed
	handRest     = time.Second     // after a transfer that failed, before the next: each keeps the owner from its work
)

var (
	errLocked  = errors.New("another process owns the state")
	errHanded  = errors.New("handed over to a new process")
	errForm    = errors.New("the owner does not hand over, or not in this form")
	errBroken  = errors.New("the state transfer broke off")
	errTooMuch = errors.New("a state too large for one text")
)

// stateTransfer is what a process hands to its successor, beside descriptors: the lock, the listener, and then one for each
// of Calls, Idle and Clients, in order.
type stateTransfer struct {
	At         int64        // Unix microseconds when it was made ...
	Clock      logic.Micros // ... and the module's clock then
	Module     logic.Saved
	Discovery  string // address that Generation is of
	Generation int64
	IDs        map[string]logic.EndpointID         `json:",omitempty"` // where all is in one text
	Targets    map[logic.EndpointID]transferTarget `json:",omitempty"`
	Names      int                                 `json:",omitempty"` // where they come as rows: how many
	Recent     map[string]int64                    // ids that are over, with the ends of their time
	Held       []transferHeld
	Calls      []transferCall
	Idle       []transferIdle
	Clients    []transferClient

	size int // bytes sent of it
}

type transferTarget struct {
	Addr       string
	Zone, Kind int
	Dest       int64
	Lifecycle  string  `json:",omitempty"` // as in discovery.Target; empty from an earlier version
	Weight     float64 `json:",omitempty"`
}

type transferHeld struct {
	ID       string
	Tries    int
	Over     bool  // only its attempt is still out
	Deadline int64 // of one that is over, which the journal may not have
}

type transferCall struct {
	ID       string
	Attempt  int
	Endpoint logic.EndpointID
	At, By   int64  // Unix microseconds of its start, and of its end if nothing comes
	Got      []byte // of its answer
}

type transferIdle struct {
	Endpoint logic.EndpointID
	Since    int64
}

type transferClient struct {
	Since  int64
	Proven bool
}

// takeover is what a process has been handed: the state, and what its descriptors became.
type takeover struct {
	stateTransfer
	names    []listedName
	listener net.Listener
	conns    []net.Conn // of Calls, Idle and Clients
	taken    func()     // says so to the process before
}

// listedName is a name with its number and target, as a row.
type listedName struct {
	name string
	id   logic.EndpointID
	to   discovery.Target
}

const rowName = 'n' // the module's rows begin with other letters

func (x *listedName) row(b []byte) []byte {
	b = append(b, rowName)
	b = append(binary.AppendUvarint(b, uint64(len(x.name))), x.name...)
	b = binary.AppendUvarint(b, uint64(x.id))
	b = append(binary.AppendUvarint(b, uint64(len(x.to.Addr))), x.to.Addr...)
	b = binary.AppendVarint(b, int64(x.to.Zone))
	b = binary.AppendVarint(b, int64(x.to.Kind))
	b = binary.AppendVarint(b, x.to.Dest)
	b = append(binary.AppendUvarint(b, uint64(len(x.to.Lifecycle))), x.to.Lifecycle...)
	return binary.LittleEndian.AppendUint64(b, math.Float64bits(x.to.Weight))
}

// readName is the other way round. What follows the fields is a later version's; an earlier one's end with the
// destination.
func readName(row []byte) (x listedName, err error) {
	b, bad := row[1:], false
	number := func() uint64 {
		v, n := binary.Uvarint(b)
		if n <= 0 {
			bad, n = true, 0
		}
		b = b[n:]
		return v
	}
	signed := func() int64 { v := number(); return int64(v>>1) ^ -int64(v&1) }
	text := func() string {
		n := number()
		if n > uint64(len(b)) {
			bad, n = true, 0
		}
		s := string(b[:n])
		b = b[n:]
		return s
	}
	x.name, x.id = text(), logic.EndpointID(number())
	x.to = discovery.Target{Addr: text(), Zone: int(signed()), Kind: int(signed()), Dest: signed()}
	if len(b) > 0 {
		x.to.Lifecycle = text()
		if bad = bad || len(b) < 8; !bad {
			x.to.Weight = math.Float64frombits(binary.LittleEndian.Uint64(b))
		}
	}
	if bad {
		err = errors.New("a name that makes no sense")
	}
	return x, err
}

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
		door, ok := strings.CutPrefix(line, handWord+" ")
		inRows := false
		if !ok {
			door, inRows = strings.CutPrefix(line, handRows+" ")
		}
		if err != nil || !ok && !inRows {
			n.log.Warn("handover to a process that does not ask for it in this form", "err", err)
			conn.Close()
			continue
		}
		conn.SetDeadline(time.Time{})
		select {
		case n.successors <- successor{conn, door, inRows}:
		case <-work.Done():
			conn.Close()
		}
	}
}

// successor is a process that asks to take over.
type successor struct {
	conn   *net.UnixConn
	door   string // where operators call it; "-" if nowhere
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
		n.carryOut(work, n.sender.Settle(micros(time.Since(n.start)), events))
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
	if n.door != nil {
		n.door.handed(to.door)
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
		if h.stop == nil || h.aside != nil {
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
		p.Module, p.Names = n.sender.SaveRest(), n.names()
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
	room := n.sockets/2 - spareSockets
	c := &handConns{}
	for id, h := range n.held {
		p.Held = append(p.Held, transferHeld{id, h.tries, h.over, h.msg.Deadline})
		if h.aside != nil {
			in := h.call
			got, _ := h.aside.r.Peek(h.aside.r.Buffered())
			p.Calls = append(p.Calls, transferCall{id, in.attempt, in.ep, n.clock.Micros(in.at),
				n.clock.Micros(in.at.Add(in.giveUp)), got})
			c.calls, c.of = append(c.calls, h.aside), append(c.of, h)
			room--
		}
	}
	parked, states := n.clients.waiting()
	some := max(min(len(parked), room), 0)
	c.clients, p.Clients = parked[:some], states[:some]
	room -= some
	for ep, list := range n.caller.spare() {
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

// names counts those that have a number.
func (n *Node) names() (count int) {
	for range n.dir.Names() {
		count++
	}
	return count
}

// writeRows writes the tables: the length of a row and the row, and nought at the end.
func (n *Node) writeRows(out *bufio.Writer) {
	var head, buf []byte
	write := func(row []byte) bool {
		head = binary.AppendUvarint(head[:0], uint64(len(row)))
		out.Write(head)
		_, err := out.Write(row)
		return err == nil
	}
	for row := range n.sender.Rows() {
		if !write(row) {
			return
		}
	}
	for name, id := range n.dir.Names() {
		x := listedName{name: name, id: id}
		x.to, _ = n.dir.Target(id)
		buf = x.row(buf[:0])
		if !write(buf) {
			return
		}
	}
	out.WriteByte(0)
}

// readRows yields the rows that are the module's, and keeps the names.
func (l *takeover) readRows(from io.Reader) iter.Seq2[[]byte, error] {
	return func(yield func([]byte, error) bool) {
		in := bufio.NewReaderSize(from, 1<<16)
		l.names = make([]listedName, 0, min(max(l.Names, 0), 1<<20))
		var row []byte
		for {
			size, err := binary.ReadUvarint(in)
			if err == nil && size > mostRow {
				err = fmt.Errorf("a row of %d bytes", size)
			}
			if err != nil {
				yield(nil, err)
				return
			}
			if size == 0 {
				return
			}
			row = slices.Grow(row[:0], int(size))[:size]
			if _, err := io.ReadFull(in, row); err != nil {
				yield(nil, err)
				return
			}
			if row[0] == rowName {
				x, err := readName(row)
				if err != nil {
					yield(nil, err)
					return
				}
				l.names = append(l.names, x)
			} else if !yield(row, nil) {
				return
			}
		}
	}
}

// unfreeze goes on with what was packed, since nobody has taken it.
func (n *Node) unfreeze(work context.Context, c *handConns, left []net.Conn) {
	for i, h := range c.of {
		h.aside = nil
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
	door := "-"
	if n.door != nil {
		door = n.door.address().String()
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
	if _, err := fmt.Fprintf(conn, "%s %s\n", word, door); err != nil {
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
		n.sender, err = logic.ResumeRows(n.cfg.Deploy.Settings, n.cfg.Seed, l.Module, l.readRows(conn))
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
			n.take(replyEvent{h.call, result{outcome: logic.Severed}, time.Since(h.call.at)})
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
