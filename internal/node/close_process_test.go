package node

import (
	"bufio"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"crossdeal/internal/discovery"
	"crossdeal/internal/scale/standin"
)

// closeSettle is how long a reset may take to arrive behind the end of a stream.
const closeSettle = 150 * time.Millisecond

// closeTally counts how requests ended that were written to connections which a sender closes.
type closeTally struct {
	answered atomic.Int64
	crossed  atomic.Int64 // the connection was reset
	lost     atomic.Int64 // read, and the connection ended with no answer
}

// check fails the test if requests were lost, or fewer than some were answered at all.
func (x *closeTally) check(t *testing.T, least int64) {
	t.Helper()
	if n := x.lost.Load(); n > 0 {
		t.Errorf("%d requests were read and have no answer (%d answered, %d crossed the close)", n, x.answered.Load(), x.crossed.Load())
	}
	if n := x.answered.Load(); n < least {
		t.Errorf("%d requests were answered", n)
	}
}

// unanswered counts requests on a connection that ended with err before their answers, once the sender's process has ended.
func (x *closeTally) unanswered(conn net.Conn, err error, count int64, processEnded <-chan struct{}) {
	if errors.Is(err, io.EOF) {
		<-processEnded
		time.Sleep(closeSettle)
		if standin.ReadByPeer(conn) {
			x.lost.Add(count)
			return
		}
	}
	x.crossed.Add(count)
}

// startWithEndpoint starts a process that knows one endpoint.
func startWithEndpoint(t *testing.T) *process {
	t.Helper()
	p := newPlatform(t)
	known := discovery.List{Generation: 1, Reset: true, Instances: instances(newEndpoint(t))}
	p.list = known
	return startProcess(t, p, t.TempDir(), known)
}

// sendUntilClosed sends one request after the other on a connection until the sender ends it. What was read it judges
// once the sender's process has ended.
func (x *closeTally) sendUntilClosed(conn net.Conn, requests []string, rng *rand.Rand, processEnded <-chan struct{}) {
	r := bufio.NewReader(conn)
	for i := 0; ; i++ {
		time.Sleep(time.Duration(rng.Int64N(int64(4 * time.Millisecond))))
		if _, err := io.WriteString(conn, requests[i%len(requests)]); err != nil {
			x.crossed.Add(1)
			return
		}
		if _, err := r.ReadString('\n'); err != nil {
			x.unanswered(conn, err, 1, processEnded)
			return
		}
		x.answered.Add(1)
	}
}

// holdUp stops a process again and again for a few milliseconds, until a time is over.
func holdUp(x *process, rng *rand.Rand, until time.Time) {
	for time.Now().Before(until) {
		x.cmd.Process.Signal(syscall.SIGSTOP)
		time.Sleep(time.Millisecond + time.Duration(rng.Int64N(int64(8*time.Millisecond))))
		x.cmd.Process.Signal(syscall.SIGCONT)
		time.Sleep(100*time.Microsecond + time.Duration(rng.Int64N(int64(400*time.Microsecond))))
	}
}

// A request that comes while its connection is being closed was read and dropped: its client had neither an answer nor a reset.
func TestRequestReadAtACloseIsAnswered(t *testing.T) {
	const clients, runs = 100, 3
	rng := rand.New(rand.NewPCG(1, 1))
	requests := []string{respText("PING"), respText("MSG.PUT", "0", "a", "c=safe,t=acme,d=9000,dest=1", "x")}
	var tally closeTally
	for range runs {
		x := startWithEndpoint(t)
		var all sync.WaitGroup
		ended := make(chan struct{})
		for i := range clients {
			conn := dial(t, x.addr).conn
			seed := rng.Uint64()
			all.Go(func() { tally.sendUntilClosed(conn, requests, rand.New(rand.NewPCG(seed, uint64(i))), ended) })
		}
		time.Sleep(50 * time.Millisecond)
		x.term()
		time.Sleep(acceptOn - 20*time.Millisecond)
		holdUp(x, rng, time.Now().Add(700*time.Millisecond))
		x.end()
		close(ended)
		all.Wait()
		for _, line := range x.broken() {
			t.Error(line)
		}
	}
	tally.check(t, clients*runs)
}

// sendAheadUntilClosed keeps requests outstanding on a connection, some in each write, until the sender ends it. What
// was read it judges once the sender's process has ended.
func (x *closeTally) sendAheadUntilClosed(conn net.Conn, request string, processEnded <-chan struct{}) {
	const each, ahead = 20, 60
	r := bufio.NewReader(conn)
	text := strings.Repeat(request, each)
	for outstanding := 0; ; outstanding-- {
		for ; outstanding <= ahead-each; outstanding += each {
			if _, err := io.WriteString(conn, text); err != nil {
				x.crossed.Add(int64(outstanding))
				return
			}
		}
		if _, err := r.ReadString('\n'); err != nil {
			x.unanswered(conn, err, int64(outstanding), processEnded)
			return
		}
		x.answered.Add(1)
	}
}

// A process that is held up in its last moments ended with requests that it had read and not answered.
func TestEndOfProcessAnswersWhatItHasRead(t *testing.T) {
	const clients, runs = 40, 2
	rng := rand.New(rand.NewPCG(2, 2))
	var tally closeTally
	for range runs {
		x := startWithEndpoint(t)
		var all sync.WaitGroup
		ended := make(chan struct{})
		for i := range clients {
			conn, request := dial(t, x.addr).conn, respText("PING")
			if i%2 == 0 {
				request = respText(putWords("a")...)
			}
			all.Go(func() { tally.sendAheadUntilClosed(conn, request, ended) })
		}
		time.Sleep(50 * time.Millisecond)
		x.term()
		time.Sleep(stopAll - 3*lastRequest)
		for range 4 {
			x.cmd.Process.Signal(syscall.SIGSTOP)
			time.Sleep(time.Duration(rng.Int64N(int64(150 * time.Millisecond))))
			x.cmd.Process.Signal(syscall.SIGCONT)
			time.Sleep(time.Duration(rng.Int64N(int64(20 * time.Millisecond))))
		}
		x.end()
		close(ended)
		all.Wait()
		for _, line := range x.broken() {
			t.Error(line)
		}
	}
	tally.check(t, clients*runs)
}
