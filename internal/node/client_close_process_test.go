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

// resetArrivalTime is how long a reset may take to arrive behind the end of a stream.
const resetArrivalTime = 150 * time.Millisecond

// closeOutcomes counts how requests ended that were written to connections which a sender closes.
type closeOutcomes struct {
	answered atomic.Int64
	reset    atomic.Int64 // the connection was reset
	lost     atomic.Int64 // read, and the connection ended with no answer
}

// check fails the test if requests were lost, or fewer than some were answered at all.
func (x *closeOutcomes) check(t *testing.T, least int64) {
	t.Helper()
	if n := x.lost.Load(); n > 0 {
		t.Errorf("%d requests were read and have no answer (%d answered, %d crossed the close)", n, x.answered.Load(), x.reset.Load())
	}
	if n := x.answered.Load(); n < least {
		t.Errorf("%d requests were answered", n)
	}
}

// countUnanswered counts requests on a connection that ended with err before their answers, once the sender's process has ended.
func (x *closeOutcomes) countUnanswered(conn net.Conn, err error, count int64, processEnded <-chan struct{}) {
	if errors.Is(err, io.EOF) {
		<-processEnded
		time.Sleep(resetArrivalTime)
		if standin.PeerReadAll(conn) {
			x.lost.Add(count)
			return
		}
	}
	x.reset.Add(count)
}

// startProcessWithEndpoint starts a process that knows one endpoint.
func startProcessWithEndpoint(t *testing.T) *process {
	t.Helper()
	p := newTestPlatform(t)
	known := discovery.List{Generation: 1, Reset: true, Instances: instancesOf(newTestEndpoint(t))}
	p.list = known
	return startProcess(t, p, t.TempDir(), known)
}

// sendUntilClosed sends one request after the other on a connection until the sender ends it. What was read it judges
// once the sender's process has ended.
func (x *closeOutcomes) sendUntilClosed(conn net.Conn, requests []string, rng *rand.Rand, processEnded <-chan struct{}) {
	r := bufio.NewReader(conn)
	for i := 0; ; i++ {
		time.Sleep(time.Duration(rng.Int64N(int64(4 * time.Millisecond))))
		if _, err := io.WriteString(conn, requests[i%len(requests)]); err != nil {
			x.reset.Add(1)
			return
		}
		if _, err := r.ReadString('\n'); err != nil {
			x.countUnanswered(conn, err, 1, processEnded)
			return
		}
		x.answered.Add(1)
	}
}

// suspendRepeatedly stops a process again and again for a few milliseconds, until a time is over.
func suspendRepeatedly(x *process, rng *rand.Rand, until time.Time) {
	for time.Now().Before(until) {
		x.cmd.Process.Signal(syscall.SIGSTOP)
		time.Sleep(time.Millisecond + time.Duration(rng.Int64N(int64(8*time.Millisecond))))
		x.cmd.Process.Signal(syscall.SIGCONT)
		time.Sleep(100*time.Microsecond + time.Duration(rng.Int64N(int64(400*time.Microsecond))))
	}
}

// A request that comes while its connection is being closed was read and dropped: its client had neither an answer nor a reset.
func TestRequestReadDuringCloseIsAnswered(t *testing.T) {
	const clients, runs = 100, 3
	rng := rand.New(rand.NewPCG(1, 1))
	requests := []string{encodeRequest("PING"), encodeRequest("MSG.PUT", "0", "a", "c=safe,t=acme,d=9000,dest=1", "x")}
	var tally closeOutcomes
	for range runs {
		x := startProcessWithEndpoint(t)
		var all sync.WaitGroup
		ended := make(chan struct{})
		for i := range clients {
			conn := dialClient(t, x.addr).conn
			seed := rng.Uint64()
			all.Go(func() { tally.sendUntilClosed(conn, requests, rand.New(rand.NewPCG(seed, uint64(i))), ended) })
		}
		time.Sleep(50 * time.Millisecond)
		x.terminate()
		time.Sleep(shutdownAcceptTime - 20*time.Millisecond)
		suspendRepeatedly(x, rng, time.Now().Add(700*time.Millisecond))
		x.awaitExit()
		close(ended)
		all.Wait()
		for _, line := range x.violationLines() {
			t.Error(line)
		}
	}
	tally.check(t, clients*runs)
}

// pipelineUntilClosed keeps requests outstanding on a connection, some in each write, until the sender ends it. What
// was read it judges once the sender's process has ended.
func (x *closeOutcomes) pipelineUntilClosed(conn net.Conn, request string, processEnded <-chan struct{}) {
	const each, ahead = 20, 60
	r := bufio.NewReader(conn)
	text := strings.Repeat(request, each)
	for outstanding := 0; ; outstanding-- {
		for ; outstanding <= ahead-each; outstanding += each {
			if _, err := io.WriteString(conn, text); err != nil {
				x.reset.Add(int64(outstanding))
				return
			}
		}
		if _, err := r.ReadString('\n'); err != nil {
			x.countUnanswered(conn, err, int64(outstanding), processEnded)
			return
		}
		x.answered.Add(1)
	}
}

// A process that is held up in its last moments ended with requests that it had read and not answered.
func TestProcessAnswersReadRequestsBeforeExit(t *testing.T) {
	const clients, runs = 40, 2
	rng := rand.New(rand.NewPCG(2, 2))
	var tally closeOutcomes
	for range runs {
		x := startProcessWithEndpoint(t)
		var all sync.WaitGroup
		ended := make(chan struct{})
		for i := range clients {
			conn, request := dialClient(t, x.addr).conn, encodeRequest("PING")
			if i%2 == 0 {
				request = encodeRequest(putArgs("a")...)
			}
			all.Go(func() { tally.pipelineUntilClosed(conn, request, ended) })
		}
		time.Sleep(50 * time.Millisecond)
		x.terminate()
		time.Sleep(shutdownLoopTimeout - 3*lastRequestTimeout)
		for range 4 {
			x.cmd.Process.Signal(syscall.SIGSTOP)
			time.Sleep(time.Duration(rng.Int64N(int64(150 * time.Millisecond))))
			x.cmd.Process.Signal(syscall.SIGCONT)
			time.Sleep(time.Duration(rng.Int64N(int64(20 * time.Millisecond))))
		}
		x.awaitExit()
		close(ended)
		all.Wait()
		for _, line := range x.violationLines() {
			t.Error(line)
		}
	}
	tally.check(t, clients*runs)
}
