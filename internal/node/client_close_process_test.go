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

// resetArrivalTime is how long a reset may take to arrive after the end of the stream.
const resetArrivalTime = 150 * time.Millisecond

// closeOutcomes counts the outcomes of requests on connections that the sender closes.
type closeOutcomes struct {
	answered atomic.Int64
	reset    atomic.Int64 // the connection was reset, or ended with the request unread
	lost     atomic.Int64 // read by the sender, and the connection ended without an answer
}

// check fails the test if requests were lost, or fewer than minAnswered were answered.
func (o *closeOutcomes) check(t *testing.T, minAnswered int64) {
	t.Helper()
	if n := o.lost.Load(); n > 0 {
		t.Errorf("%d requests were read and not answered (%d answered, %d reset)", n, o.answered.Load(), o.reset.Load())
	}
	if n := o.answered.Load(); n < minAnswered {
		t.Errorf("%d requests were answered, too few", n)
	}
}

// countUnanswered counts the requests that had no answer when the connection ended with err. Whether the sender
// read them is known only after its process has ended.
func (o *closeOutcomes) countUnanswered(conn net.Conn, err error, count int64, processEnded <-chan struct{}) {
	if errors.Is(err, io.EOF) {
		<-processEnded
		time.Sleep(resetArrivalTime)
		if standin.PeerReadAll(conn) {
			o.lost.Add(count)
			return
		}
	}
	o.reset.Add(count)
}

// startProcessWithEndpoint starts a sender process whose list has one endpoint.
func startProcessWithEndpoint(t *testing.T) *process {
	t.Helper()
	p := newTestPlatform(t)
	known := discovery.List{Generation: 1, Reset: true, Instances: instancesOf(newTestEndpoint(t))}
	p.list = known
	return startProcess(t, p, t.TempDir(), known)
}

// sendUntilClosed sends requests one after the other, each after the answer to the last, until the sender closes the
// connection.
func (o *closeOutcomes) sendUntilClosed(conn net.Conn, requests []string, rng *rand.Rand,
	processEnded <-chan struct{}) {
	r := bufio.NewReader(conn)
	for i := 0; ; i++ {
		time.Sleep(time.Duration(rng.Int64N(int64(4 * time.Millisecond))))
		if _, err := io.WriteString(conn, requests[i%len(requests)]); err != nil {
			o.reset.Add(1)
			return
		}
		if _, err := r.ReadString('\n'); err != nil {
			o.countUnanswered(conn, err, 1, processEnded)
			return
		}
		o.answered.Add(1)
	}
}

// suspendRepeatedly suspends a process for 1 to 9 ms at a time, with short pauses, until the given time.
func suspendRepeatedly(proc *process, rng *rand.Rand, until time.Time) {
	for time.Now().Before(until) {
		proc.cmd.Process.Signal(syscall.SIGSTOP)
		time.Sleep(time.Millisecond + time.Duration(rng.Int64N(int64(8*time.Millisecond))))
		proc.cmd.Process.Signal(syscall.SIGCONT)
		time.Sleep(100*time.Microsecond + time.Duration(rng.Int64N(int64(400*time.Microsecond))))
	}
}

// Guards against reading and dropping a request that arrives while its connection is being closed: its client
// would get neither an answer nor a reset. Suspending the process widens the time window in which that can
// happen.
func TestRequestReadDuringCloseIsAnswered(t *testing.T) {
	const clients, runs = 100, 3
	rng := rand.New(rand.NewPCG(1, 1))
	requests := []string{encodeRequest("PING"), encodeRequest("MSG.PUT", "0", "a", "c=safe,t=acme,d=9000,dest=1", "x")}
	var outcomes closeOutcomes
	for range runs {
		proc := startProcessWithEndpoint(t)
		var wg sync.WaitGroup
		processEnded := make(chan struct{})
		for i := range clients {
			conn := dialClient(t, proc.addr).conn
			seed := rng.Uint64()
			wg.Go(func() {
				outcomes.sendUntilClosed(conn, requests, rand.New(rand.NewPCG(seed, uint64(i))), processEnded)
			})
		}
		time.Sleep(50 * time.Millisecond)
		proc.terminate()
		time.Sleep(shutdownAcceptTime - 20*time.Millisecond)
		suspendRepeatedly(proc, rng, time.Now().Add(700*time.Millisecond))
		proc.awaitExit()
		close(processEnded)
		wg.Wait()
		for _, line := range proc.violationLines() {
			t.Error(line)
		}
	}
	outcomes.check(t, clients*runs)
}

// pipelineUntilClosed keeps up to maxOutstanding requests outstanding, batchSize in each write, until the
// sender closes the connection.
func (o *closeOutcomes) pipelineUntilClosed(conn net.Conn, request string, processEnded <-chan struct{}) {
	const batchSize, maxOutstanding = 20, 60
	r := bufio.NewReader(conn)
	batch := strings.Repeat(request, batchSize)
	for outstanding := 0; ; outstanding-- {
		for ; outstanding <= maxOutstanding-batchSize; outstanding += batchSize {
			if _, err := io.WriteString(conn, batch); err != nil {
				o.reset.Add(int64(outstanding))
				return
			}
		}
		if _, err := r.ReadString('\n'); err != nil {
			o.countUnanswered(conn, err, int64(outstanding), processEnded)
			return
		}
		o.answered.Add(1)
	}
}

// Guards against a process that ends with requests that it has read and not answered. Suspending the process shortly
// before its end provokes that.
func TestProcessAnswersReadRequestsBeforeExit(t *testing.T) {
	const clients, runs = 40, 2
	rng := rand.New(rand.NewPCG(2, 2))
	var outcomes closeOutcomes
	for range runs {
		proc := startProcessWithEndpoint(t)
		var wg sync.WaitGroup
		processEnded := make(chan struct{})
		for i := range clients {
			conn, request := dialClient(t, proc.addr).conn, encodeRequest("PING")
			if i%2 == 0 {
				request = encodeRequest(putArgs("a")...)
			}
			wg.Go(func() { outcomes.pipelineUntilClosed(conn, request, processEnded) })
		}
		time.Sleep(50 * time.Millisecond)
		proc.terminate()
		time.Sleep(shutdownLoopTimeout - 3*lastRequestTimeout)
		for range 4 {
			proc.cmd.Process.Signal(syscall.SIGSTOP)
			time.Sleep(time.Duration(rng.Int64N(int64(150 * time.Millisecond))))
			proc.cmd.Process.Signal(syscall.SIGCONT)
			time.Sleep(time.Duration(rng.Int64N(int64(20 * time.Millisecond))))
		}
		proc.awaitExit()
		close(processEnded)
		wg.Wait()
		for _, line := range proc.violationLines() {
			t.Error(line)
		}
	}
	outcomes.check(t, clients*runs)
}
