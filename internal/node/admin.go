package node

import (
	"bufio"
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
	"strings"
	"sync"
	"time"

	"crossdeal/logic"
)

const (
	orderLine  = 256                    // bytes of a call, with its end of line
	orderTime  = 2 * time.Second        // for a caller to send its line
	orderWait  = 800 * time.Millisecond // for the loop to carry it out: an answer is due within a second
	orderConns = 24                     // callers at once
)

var (
	errStarting = errors.New("starting")
	errStopping = errors.New("stopping")
	errTooBusy  = errors.New("the sender is too busy")
)

// order is an operator's word on an endpoint. The loop carries it out and says why not, if it cannot.
type order struct {
	back   bool // put it back, not take it out
	id     string
	answer chan<- error
}

// adminServer answers operators: one line in and one line out for each connection. It opens before the sender can serve, so
// that ready can say no.
type adminServer struct {
	log     *slog.Logger
	orders  chan<- order
	most    int
	mu      sync.Mutex
	addr    net.Addr
	ready   error // why this process cannot serve; nil once it can
	callers map[net.Conn]*operator
	next    string        // where to pass calls on, after a handover; empty before
	gone    chan struct{} // closed at a handover
	wg      sync.WaitGroup
}

// operator is a caller of the admin server.
type operator struct {
	since time.Time
	heard bool // its line has come
}

func newAdminServer(log *slog.Logger, sockets int, orders chan<- order) *adminServer {
	return &adminServer{log: log, orders: orders, most: min(orderConns, max(sockets/16, 4)), ready: errStarting,
		callers: map[net.Conn]*operator{}, gone: make(chan struct{})}
}

// setReady says from now on that this process can serve, or why it cannot.
func (d *adminServer) setReady(err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.ready = err
}

// handed passes calls on to the admin server of the process that has taken over; "-" if it has none.
func (d *adminServer) handed(next string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.next = next
	close(d.gone)
}

// passOn asks the admin server of the process that has taken over.
func (d *adminServer) passOn(call string) error {
	conn, err := net.DialTimeout("tcp", d.next, orderWait)
	if err != nil {
		return errHanded
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(orderWait))
	if _, err := io.WriteString(conn, call+"\n"); err != nil {
		return errHanded
	}
	said, err := bufio.NewReader(io.LimitReader(conn, orderLine)).ReadString('\n')
	if err != nil {
		return errHanded
	}
	if said = strings.TrimSpace(said); said != "ok" {
		return errors.New(strings.TrimPrefix(said, "fail "))
	}
	return nil
}

// listen opens the address; serve must follow.
func (d *adminServer) listen(addr string) (net.Listener, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("admin server: %w", err)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.addr = ln.Addr()
	return ln, nil
}

// address is where operators call; nil before it is open.
func (d *adminServer) address() net.Addr {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.addr
}

// whyNot is why this process cannot serve; nil if it can.
func (d *adminServer) whyNot() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.ready
}

// serve answers callers until ctx is over and all have left.
func (d *adminServer) serve(ctx context.Context, ln net.Listener) {
	defer d.wg.Wait()
	defer context.AfterFunc(ctx, func() { ln.Close(); d.dismiss() })()
	for {
		conn, err := ln.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			d.log.Warn("admin server", "err", err)
			time.Sleep(acceptPause) // out of descriptors, say: one that closes makes room
			continue
		}
		if !d.enter(conn) {
			conn.Close()
			continue
		}
		d.wg.Go(func() {
			d.handle(ctx, conn)
			d.leave(conn)
		})
	}
}

// enter counts a caller in. With the table full, the one that has been silent longest makes room: silent callers
// must not keep others out.
func (d *adminServer) enter(conn net.Conn) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.callers) >= d.most && !d.makeRoom() {
		return false // all wait for their answers, which come soon
	}
	d.callers[conn] = &operator{since: time.Now()}
	return true
}

// makeRoom drops the caller that has been silent longest, false if none is silent. Its handler wakes and closes the
// connection. The caller of makeRoom holds d.mu.
func (d *adminServer) makeRoom() bool {
	var oldest net.Conn
	for c, x := range d.callers {
		if !x.heard && (oldest == nil || x.since.Before(d.callers[oldest].since)) {
			oldest = c
		}
	}
	if oldest == nil {
		return false
	}
	delete(d.callers, oldest)
	oldest.SetReadDeadline(time.Unix(1, 0))
	return true
}

// heard notes that a caller's line has come; false if the caller had to make room.
func (d *adminServer) heard(conn net.Conn) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	x := d.callers[conn]
	if x != nil {
		x.heard = true
	}
	return x != nil
}

// leave closes a caller's connection once its answer has arrived.
func (d *adminServer) leave(conn net.Conn) {
	awaitDelivery(conn)
	conn.Close()
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.callers, conn)
}

// dismiss wakes those that have not sent their line.
func (d *adminServer) dismiss() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for conn, x := range d.callers {
		if !x.heard {
			conn.SetReadDeadline(time.Unix(1, 0))
		}
	}
}

func (d *adminServer) handle(ctx context.Context, conn net.Conn) {
	conn.SetDeadline(time.Now().Add(orderTime))
	line, err := bufio.NewReaderSize(io.LimitReader(conn, orderLine), orderLine).ReadString('\n')
	switch admitted := d.heard(conn); {
	case !admitted && err != nil:
		return // it made room, and nothing whole has come
	case !admitted:
		err = errTooBusy
	case err == nil:
		err = d.answer(ctx, strings.Fields(line))
	case errors.Is(err, os.ErrDeadlineExceeded):
		err = errors.New("no call came in time")
	case len(line) >= orderLine:
		err = errors.New("the call is too long")
	default: // half a call might name another endpoint than the whole one
		err = errors.New("the call has no end of line")
	}
	said := "ok\n"
	if err != nil {
		said = "fail " + err.Error() + "\n"
	}
	conn.SetWriteDeadline(time.Now().Add(orderTime))
	if _, err := io.WriteString(conn, said); err != nil {
		d.log.Warn("admin server", "err", err)
	}
}

// answer carries out a call and says why not, if it cannot.
func (d *adminServer) answer(ctx context.Context, words []string) error {
	if len(words) == 0 {
		return errors.New("the call is empty")
	}
	want := 2
	if words[0] == "ready" {
		want = 1
	}
	switch words[0] {
	case "ready", "disable-server", "enable-server":
		if len(words) != want {
			return fmt.Errorf("%s wants %d words", words[0], want)
		}
	default:
		return errors.New("unknown call; there are ready, disable-server ID and enable-server ID")
	}
	if want == 1 {
		return d.whyNot()
	}
	ctx, cancel := context.WithTimeout(ctx, orderWait)
	defer cancel()
	answer := make(chan error, 1) // the loop never waits for us
	select {
	case d.orders <- order{back: words[0] == "enable-server", id: words[1], answer: answer}:
	case <-d.gone:
		return d.passOn(strings.Join(words, " "))
	case <-ctx.Done():
		return cmp.Or(d.whyNot(), errTooBusy)
	}
	select {
	case err := <-answer:
		d.log.Info("operator", "call", words[0], "id", words[1], "err", err)
		return err
	case <-ctx.Done():
		return errors.New("the sender is too busy; the call may hold all the same")
	}
}

// obey carries out an operator's word. It holds once it is in the journal, so that it outlives the process; the
// module hears of it before anything else happens.
func (n *Node) obey(o order) {
	ep, known := n.dir.Lookup(o.id)
	if !known {
		o.answer <- errors.New("no such endpoint")
		return
	}
	if out := n.journal.out[o.id]; out != o.back {
		o.answer <- nil // it is so already
		return
	}
	rec, ev := record{Op: opTakeOut, ID: o.id}, logic.Event(logic.Ban{Endpoint: ep})
	if o.back {
		rec, ev = record{Op: opPutBack, ID: o.id}, logic.Unban{Endpoint: ep}
	}
	if err := n.journal.Append([]record{rec}); err != nil {
		n.log.Error("journal", "err", err)
		o.answer <- errors.New("not written to the journal")
		return
	}
	if !o.back {
		n.hold(func(x logic.EndpointID) bool { return x == ep })
	}
	n.next = append(n.next, ev)
	o.answer <- nil
}
