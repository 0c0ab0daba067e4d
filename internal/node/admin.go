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
	maxCommandBytes  = 256                    // bytes of a call, with its end of line
	commandIOTimeout = 2 * time.Second        // for a caller to send its line
	commandTimeout   = 800 * time.Millisecond // for the loop to carry it out: an answer is due within a second
	maxOperatorConns = 24                     // callers at once
)

var (
	errStarting = errors.New("starting")
	errStopping = errors.New("stopping")
	errTooBusy  = errors.New("the sender is too busy")
)

// operatorCommand is an operator's word on an endpoint. The loop carries it out and says why not, if it cannot.
type operatorCommand struct {
	enable   bool // put it back, not take it out
	endpoint string
	answer   chan<- error
}

// adminServer answers operators: one line in and one line out for each connection. It opens before the sender can serve, so
// that ready can say no.
type adminServer struct {
	log           *slog.Logger
	commands      chan<- operatorCommand
	maxConns      int
	mu            sync.Mutex
	addr          net.Addr
	notReady      error // why this process cannot serve; nil once it can
	conns         map[net.Conn]*operatorConn
	successorAddr string        // where to pass calls on, after a handover; empty before
	handedOver    chan struct{} // closed at a handover
	wg            sync.WaitGroup
}

// operatorConn is a caller of the admin server.
type operatorConn struct {
	connectedAt time.Time
	received    bool // its line has come
}

func newAdminServer(log *slog.Logger, sockets int, orders chan<- operatorCommand) *adminServer {
	return &adminServer{log: log, commands: orders, maxConns: min(maxOperatorConns, max(sockets/16, 4)), notReady: errStarting,
		conns: map[net.Conn]*operatorConn{}, handedOver: make(chan struct{})}
}

// setReadiness says from now on that this process can serve, or why it cannot.
func (d *adminServer) setReadiness(err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.notReady = err
}

// redirect passes calls on to the admin server of the process that has taken over; "-" if it has none.
func (d *adminServer) redirect(next string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.successorAddr = next
	close(d.handedOver)
}

// forward asks the admin server of the process that has taken over.
func (d *adminServer) forward(call string) error {
	conn, err := net.DialTimeout("tcp", d.successorAddr, commandTimeout)
	if err != nil {
		return errHandedOver
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(commandTimeout))
	if _, err := io.WriteString(conn, call+"\n"); err != nil {
		return errHandedOver
	}
	said, err := bufio.NewReader(io.LimitReader(conn, maxCommandBytes)).ReadString('\n')
	if err != nil {
		return errHandedOver
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

// readiness is why this process cannot serve; nil if it can.
func (d *adminServer) readiness() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.notReady
}

// serve answers callers until ctx is over and all have left.
func (d *adminServer) serve(ctx context.Context, ln net.Listener) {
	defer d.wg.Wait()
	defer context.AfterFunc(ctx, func() { ln.Close(); d.wakeSilent() })()
	for {
		conn, err := ln.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			d.log.Warn("admin server", "err", err)
			time.Sleep(shortRetryDelay) // out of descriptors, say: one that closes makes room
			continue
		}
		if !d.addConn(conn) {
			conn.Close()
			continue
		}
		d.wg.Go(func() {
			d.handle(ctx, conn)
			d.closeConn(conn)
		})
	}
}

// addConn counts a caller in. With the table full, the one that has been silent longest makes room: silent callers
// must not keep others out.
func (d *adminServer) addConn(conn net.Conn) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.conns) >= d.maxConns && !d.evictSilent() {
		return false // all wait for their answers, which come soon
	}
	d.conns[conn] = &operatorConn{connectedAt: time.Now()}
	return true
}

// evictSilent drops the caller that has been silent longest, false if none is silent. Its handler wakes and closes the
// connection. The caller of makeRoom holds d.mu.
func (d *adminServer) evictSilent() bool {
	var oldest net.Conn
	for c, x := range d.conns {
		if !x.received && (oldest == nil || x.connectedAt.Before(d.conns[oldest].connectedAt)) {
			oldest = c
		}
	}
	if oldest == nil {
		return false
	}
	delete(d.conns, oldest)
	oldest.SetReadDeadline(time.Unix(1, 0))
	return true
}

// markReceived notes that a caller's line has come; false if the caller had to make room.
func (d *adminServer) markReceived(conn net.Conn) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	x := d.conns[conn]
	if x != nil {
		x.received = true
	}
	return x != nil
}

// closeConn closes a caller's connection once its answer has arrived.
func (d *adminServer) closeConn(conn net.Conn) {
	awaitAck(conn)
	conn.Close()
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.conns, conn)
}

// wakeSilent wakes those that have not sent their line.
func (d *adminServer) wakeSilent() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for conn, x := range d.conns {
		if !x.received {
			conn.SetReadDeadline(time.Unix(1, 0))
		}
	}
}

func (d *adminServer) handle(ctx context.Context, conn net.Conn) {
	conn.SetDeadline(time.Now().Add(commandIOTimeout))
	line, err := bufio.NewReaderSize(io.LimitReader(conn, maxCommandBytes), maxCommandBytes).ReadString('\n')
	switch admitted := d.markReceived(conn); {
	case !admitted && err != nil:
		return // it made room, and nothing whole has come
	case !admitted:
		err = errTooBusy
	case err == nil:
		err = d.answer(ctx, strings.Fields(line))
	case errors.Is(err, os.ErrDeadlineExceeded):
		err = errors.New("no call came in time")
	case len(line) >= maxCommandBytes:
		err = errors.New("the call is too long")
	default: // half a call might name another endpoint than the whole one
		err = errors.New("the call has no end of line")
	}
	said := "ok\n"
	if err != nil {
		said = "fail " + err.Error() + "\n"
	}
	conn.SetWriteDeadline(time.Now().Add(commandIOTimeout))
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
		return d.readiness()
	}
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	answer := make(chan error, 1) // the loop never waits for us
	select {
	case d.commands <- operatorCommand{enable: words[0] == "enable-server", endpoint: words[1], answer: answer}:
	case <-d.handedOver:
		return d.forward(strings.Join(words, " "))
	case <-ctx.Done():
		return cmp.Or(d.readiness(), errTooBusy)
	}
	select {
	case err := <-answer:
		d.log.Info("operator", "call", words[0], "id", words[1], "err", err)
		return err
	case <-ctx.Done():
		return errors.New("the sender is too busy; the call may hold all the same")
	}
}

// applyCommand carries out an operator's word. It holds once it is in the journal, so that it outlives the process; the
// module hears of it before anything else happens.
func (n *Node) applyCommand(o operatorCommand) {
	ep, known := n.directory.LookupID(o.endpoint)
	if !known {
		o.answer <- errors.New("no such endpoint")
		return
	}
	if out := n.journal.disabled[o.endpoint]; out != o.enable {
		o.answer <- nil // it is so already
		return
	}
	rec, ev := record{Op: opDisableEndpoint, ID: o.endpoint}, logic.Event(logic.Ban{Endpoint: ep})
	if o.enable {
		rec, ev = record{Op: opEnableEndpoint, ID: o.endpoint}, logic.Unban{Endpoint: ep}
	}
	if err := n.journal.Append([]record{rec}); err != nil {
		n.log.Error("journal", "err", err)
		o.answer <- errors.New("not written to the journal")
		return
	}
	if !o.enable {
		n.withholdCalls(func(x logic.EndpointID) bool { return x == ep })
	}
	n.nextEvents = append(n.nextEvents, ev)
	o.answer <- nil
}
