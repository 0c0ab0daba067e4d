package node

import (
	"fmt"
	"os/exec"
	"strings"
	"sync"
	"testing"
	"time"

	"crossdeal/internal/discovery"
)

const (
	drainGrace = time.Second            // as in the settings below
	drainSlack = 50 * time.Millisecond  // allowance of each limit on real sockets
	testSlack  = 100 * time.Millisecond // allowance for a busy machine, from a write to its time stamp in the test
)

// pushedConfigText returns a configuration with a pushed list and a number of senders.
func pushedConfigText(p *testPlatform, known discovery.List, senders int, seed int) []byte {
	text := string(configText(p, known))
	for _, change := range [][2]string{{`"membership_mode":"on_request"`, `"membership_mode":"pushed"`},
		{`"balancers":1`, fmt.Sprintf(`"balancers":%d`, senders)}, {`"drain_grace_s":2`, `"drain_grace_s":1`},
		{`"seed":"1f"`, fmt.Sprintf(`"seed":"%x"`, 31*seed+7)}, {`"max_open":8`, `"max_open":200`}} {
		if !strings.Contains(text, change[0]) {
			panic("configuration does not contain " + change[0])
		}
		text = strings.Replace(text, change[0], change[1], 1)
	}
	return []byte(text)
}

// arrivals records when calls arrive at an endpoint.
type arrivals struct {
	mu sync.Mutex
	at []time.Time
}

func (a *arrivals) add(at time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.at = append(a.at, at)
}

// countAfter returns the number of calls that arrived after limit, and the delay of the latest one.
func (a *arrivals) countAfter(limit time.Time) (count int, maxDelay time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, at := range a.at {
		if late := at.Sub(limit); late > 0 {
			count++
			maxDelay = max(maxDelay, late)
		}
	}
	return count, maxDelay
}

// answerAll answers every call with 200 and records its arrival.
func (e *testEndpoint) answerAll() *arrivals {
	a := &arrivals{}
	go func() {
		for c := range e.calls {
			a.add(c.receivedAt)
			c.reply(200)
		}
	}()
	return a
}

// sendMessagesUntil submits a message every 30 ms until stop is closed.
func sendMessagesUntil(addr, name string, stop <-chan struct{}, t *testing.T) {
	c := dialClient(t, addr)
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-time.After(30 * time.Millisecond):
		}
		c.do("MSG.PUT", "0000", fmt.Sprintf("%s-%d", name, i), "c=safe,d=8000,dest=1", "body")
	}
}

// Guards against calls to a draining endpoint after the drain grace by a process that has just started for the first
// time. With a pushed list, what the agent of discovery has counts as known to a process from its start, even before a
// watch is open. This holds with few senders and with many.
func TestFirstStartRespectsDrainKnownToAgent(t *testing.T) {
	path, err := buildProgram()
	if err != nil {
		t.Fatal(err)
	}
	for _, senders := range []int{2, 40, 300} {
		t.Run(fmt.Sprint(senders), func(t *testing.T) {
			t.Parallel()
			drains, stays := newTestEndpoint(t), newTestEndpoint(t)
			drainArrivals, _ := drains.answerAll(), stays.answerAll()
			known := discovery.List{Generation: 1, Reset: true, Instances: instancesOf(drains, stays)}
			p := newTestPlatform(t)
			p.list = discovery.List{Generation: 2, Reset: true, Instances: instancesOf(drains, stays)}
			p.list.Instances[0].Lifecycle = "draining"
			stop := make(chan struct{})
			var clients sync.WaitGroup
			var lastStart time.Time
			for i := range 4 {
				x := startProcessWithConfig(t, p, t.TempDir(), pushedConfigText(p, known, senders, i), "127.0.0.1:0", exec.Command(path))
				lastStart = time.Now()
				clients.Go(func() { sendMessagesUntil(x.addr, fmt.Sprintf("m%d", i), stop, t) })
			}
			time.Sleep(6 * time.Second)
			close(stop)
			clients.Wait()
			count, maxDelay := drainArrivals.countAfter(lastStart.Add(drainGrace + drainSlack + testSlack))
			if count > 0 {
				t.Errorf("%d calls to a draining endpoint after grace and slack, the latest %v after them", count, maxDelay)
			}
		})
	}
}
