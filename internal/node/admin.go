package node

// The admin server, through which operators query readiness and disable or enable endpoints.

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
	maxCommandBytes  = 256                    // longest command, with its end of line
	commandIOTimeout = 2 * time.Second        // for reading a command, and for writing its answer
	commandTimeout   = 800 * time.Millisecond // for the loop to carry out a command: an answer is due within 1 s
	maxOperatorConns = 24                     // connections at once
)

var (
	errStarting = errors.New("starting")
	errStopping = errors.New("stopping")
	errTooBusy  = errors.New("the sender is too busy")
)

// operatorCommand enables or disables an endpoint. The loop carries it out and answers nil, or why that failed.
type operatorCommand struct {
	enable   bool // enable the endpoint; false disables it
	endpoint string
	answer   chan<- error
}

// adminServer answers operators: each connection sends one line, the command (a "call" in the answers), and receives
// one line. It starts before the sender can serve clients, so that the command "ready" can report that.
type adminServer struct {
	log           *slog.Logger
	commands      chan<- operatorCommand
	maxConns      int
	mu            sync.Mutex
	addr          net.Addr
	notReady      error // why this process cannot serve clients; nil if it can
	conns         map[net.Conn]*operatorConn
	successorAddr string        // after a handover, where commands are forwarded; empty before
	handedOver    chan struct{} // closed at a handover
	wg            sync.WaitGroup
}

// operatorConn is a connection of the admin server.
type operatorConn struct {
	since    time.Time     // when it was accepted, or answered
	received bool          // its command has been read
	answered bool          // only its close is left
	closeNow chan struct{} // closed when it is evicted
}

func newAdminServer(log *slog.Logger, sockets int, commands chan<- operatorCommand) *adminServer {
	return &adminServer{log: log, commands: commands, maxConns: min(maxOperatorConns, max(sockets/16, 4)),
		notReady: errStarting, conns: map[net.Conn]*operatorConn{}, handedOver: make(chan struct{})}
}

// setReadiness sets why this process cannot serve clients; nil means that it can.
func (s *adminServer) setReadiness(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.notReady = err
}

// redirect makes commands go to the admin server of the process that has taken over; successorAddr is "-" if it
// has none.
func (s *adminServer) redirect(successorAddr string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.successorAddr = successorAddr
	close(s.handedOver)
}

// forward sends a command to the admin server of the process that has taken over.
func (s *adminServer) forward(command string) error {
	conn, err := net.DialTimeout("tcp", s.successorAddr, commandTimeout)
	if err != nil {
		return errHandedOver
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(commandTimeout))
	if _, err := io.WriteString(conn, command+"\n"); err != nil {
		return errHandedOver
	}
	answer, err := bufio.NewReader(io.LimitReader(conn, maxCommandBytes)).ReadString('\n')
	if err != nil {
		return errHandedOver
	}
	if answer = strings.TrimSpace(answer); answer != "ok" {
		return errors.New(strings.TrimPrefix(answer, "fail "))
	}
	return nil
}

// listen opens the listener. The caller must pass it to serve.
func (s *adminServer) listen(addr string) (net.Listener, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("admin server: %w", err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.addr = ln.Addr()
	return ln, nil
}

// address returns the address of the listener, nil before listen.
func (s *adminServer) address() net.Addr {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.addr
}

// readiness returns why this process cannot serve clients, nil if it can.
func (s *adminServer) readiness() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.notReady
}

// serve answers operators until ctx is done, and returns when all connections are closed.
func (s *adminServer) serve(ctx context.Context, ln net.Listener) {
	defer s.wg.Wait()
	defer context.AfterFunc(ctx, func() { ln.Close(); s.wakeIdle() })()
	for {
		conn, err := ln.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			s.log.Warn("admin server", "err", err)
			time.Sleep(shortRetryDelay) // possibly out of descriptors: wait for a connection to close
			continue
		}
		if !s.addConn(conn) {
			s.turnAway(conn)
			continue
		}
		s.wg.Go(func() {
			s.handle(ctx, conn)
			s.closeConn(conn)
		})
	}
}

// turnAway tells an operator that there is no room, and closes the connection.
func (s *adminServer) turnAway(conn net.Conn) {
	conn.SetWriteDeadline(time.Now().Add(commandIOTimeout))
	_, _ = io.WriteString(conn, failLine(errTooBusy)) // does not wait: the send buffer is empty
	conn.Close()
}

// addConn adds a connection to the table. If the table is full, one is evicted: the one that was answered first, as it
// only waits for its operator to acknowledge that, or the oldest that has sent no command, so that idle connections do
// not block others. It returns false if none can be evicted.
func (s *adminServer) addConn(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.conns) >= s.maxConns && !s.evictAnswered() && !s.evictIdle() {
		return false // all connections wait for their answers, which come soon
	}
	s.conns[conn] = &operatorConn{since: time.Now(), closeNow: make(chan struct{})}
	return true
}

// evictAnswered evicts the connection that was answered first; false if there is none. The caller holds s.mu.
func (s *adminServer) evictAnswered() bool {
	conn := s.oldest(func(operator *operatorConn) bool { return operator.answered })
	if conn == nil {
		return false
	}
	close(s.conns[conn].closeNow)
	delete(s.conns, conn)
	return true
}

// evictIdle evicts the oldest connection that has sent no command; false if there is none. Its handler wakes and
// closes the connection. The caller holds s.mu.
func (s *adminServer) evictIdle() bool {
	conn := s.oldest(func(operator *operatorConn) bool { return !operator.received })
	if conn == nil {
		return false
	}
	delete(s.conns, conn)
	conn.SetReadDeadline(time.Unix(1, 0))
	return true
}

// oldest returns the connection that has been in its state longest, of those that match; nil if none does. The caller
// holds s.mu.
func (s *adminServer) oldest(matches func(*operatorConn) bool) (oldest net.Conn) {
	for conn, operator := range s.conns {
		if matches(operator) && (oldest == nil || operator.since.Before(s.conns[oldest].since)) {
			oldest = conn
		}
	}
	return oldest
}

// markReceived records that the command of a connection has been read; false if the connection was evicted.
func (s *adminServer) markReceived(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	operator := s.conns[conn]
	if operator != nil {
		operator.received = true
	}
	return operator != nil
}

// closeConn closes a connection. Before that, it waits up to closeAckTimeout for the answer to be acknowledged, unless
// its place is needed.
func (s *adminServer) closeConn(conn net.Conn) {
	awaitAck(conn, s.markAnswered(conn))
	conn.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, conn)
}

// markAnswered records that only the close of a connection is left, and returns a channel that is closed when it has to
// come at once; nil if the connection was evicted before.
func (s *adminServer) markAnswered(conn net.Conn) <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	operator := s.conns[conn]
	if operator == nil {
		return nil
	}
	operator.received, operator.answered, operator.since = true, true, time.Now()
	return operator.closeNow
}

// wakeIdle wakes the handlers of connections that have sent no command.
func (s *adminServer) wakeIdle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn, operator := range s.conns {
		if !operator.received {
			conn.SetReadDeadline(time.Unix(1, 0))
		}
	}
}

func (s *adminServer) handle(ctx context.Context, conn net.Conn) {
	conn.SetDeadline(time.Now().Add(commandIOTimeout))
	line, err := bufio.NewReaderSize(io.LimitReader(conn, maxCommandBytes), maxCommandBytes).ReadString('\n')
	switch admitted := s.markReceived(conn); {
	case !admitted && err != nil:
		return // evicted, and no complete command has arrived
	case !admitted:
		err = errTooBusy
	case err == nil:
		err = s.executeCommand(ctx, strings.Fields(line))
	case errors.Is(err, os.ErrDeadlineExceeded):
		err = errors.New("no call came in time")
	case len(line) >= maxCommandBytes:
		err = errors.New("the call is too long")
	default: // an incomplete command might name another endpoint
		err = errors.New("the call has no end of line")
	}
	answer := "ok\n"
	if err != nil {
		answer = failLine(err)
	}
	conn.SetWriteDeadline(time.Now().Add(commandIOTimeout))
	if _, err := io.WriteString(conn, answer); err != nil {
		s.log.Warn("admin server", "err", err)
	}
}

func failLine(err error) string { return "fail " + err.Error() + "\n" }

// executeCommand carries out a command and returns why that failed.
func (s *adminServer) executeCommand(ctx context.Context, words []string) error {
	if len(words) == 0 {
		return errors.New("the call is empty")
	}
	wantWords := 2
	if words[0] == "ready" {
		wantWords = 1
	}
	switch words[0] {
	case "ready", "disable-server", "enable-server":
		if len(words) != wantWords {
			return fmt.Errorf("%s wants %d words", words[0], wantWords)
		}
	default:
		return errors.New("unknown call; there are ready, disable-server ID and enable-server ID")
	}
	if wantWords == 1 {
		return s.readiness()
	}
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	answer := make(chan error, 1) // buffered, so that the loop never waits for this goroutine
	select {
	case s.commands <- operatorCommand{enable: words[0] == "enable-server", endpoint: words[1], answer: answer}:
	case <-s.handedOver:
		return s.forward(strings.Join(words, " "))
	case <-ctx.Done():
		return cmp.Or(s.readiness(), errTooBusy)
	}
	select {
	case err := <-answer:
		s.log.Info("operator", "call", words[0], "id", words[1], "err", err)
		return err
	case <-ctx.Done():
		return errors.New("the sender is too busy; the call may hold all the same")
	}
}

// applyCommand enables or disables an endpoint. The change takes effect once it is in the journal, so that it
// survives a restart. The decision logic gets it with its next step, before any other action.
func (n *Node) applyCommand(command operatorCommand) {
	endpoint, known := n.directory.LookupID(command.endpoint)
	if !known {
		command.answer <- errors.New("no such endpoint")
		return
	}
	if disabled := n.journal.disabled[command.endpoint]; disabled != command.enable {
		command.answer <- nil // already in that state
		return
	}
	rec, ev := record{Op: opDisableEndpoint, ID: command.endpoint}, logic.Event(logic.Ban{Endpoint: endpoint})
	if command.enable {
		rec, ev = record{Op: opEnableEndpoint, ID: command.endpoint}, logic.Unban{Endpoint: endpoint}
	}
	err := n.journal.Append([]record{rec})
	if err != nil {
		n.log.Error("journal", "err", err)
		n.scheduleJournalRetry()
	}
	if n.journal.disabled[command.endpoint] == command.enable { // not journaled
		command.answer <- errors.New("not written to the journal")
		return
	}
	if !command.enable {
		n.withholdCalls(func(id logic.EndpointID) bool { return id == endpoint })
	}
	n.nextEvents = append(n.nextEvents, ev)
	command.answer <- nil
}
