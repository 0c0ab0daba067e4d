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
	drainGrace = time.Second            // of the settings below
	drainSlack = 50 * time.Millisecond  // of every limit on sockets
	testSlack  = 100 * time.Millisecond // for a busy machine, from the program's write to the time that a test reads
)

// pushedConfigText is a configuration whose settings say that the list is pushed to so many senders.
func pushedConfigText(p *testPlatform, known discovery.List, senders int, seed int) []byte {
	text := string(configText(p, known))
	for _, change := range [][2]string{{`"membership_mode":"on_request"`, `"membership_mode":"pushed"`},
		{`"balancers":1`, fmt.Sprintf(`"balancers":%d`, senders)}, {`"drain_grace_s":2`, `"drain_grace_s":1`},
		{`"seed":"1f"`, fmt.Sprintf(`"seed":"%x"`, 31*seed+7)}, {`"max_open":8`, `"max_open":200`}} {
		if !strings.Contains(text, change[0]) {
			panic("no " + change[0])
		}
		text = strings.Replace(text, change[0], change[1], 1)
	}
	return []byte(text)
}

// arrivals keeps when calls came to an endpoint.
type arrivals struct {
	mu sync.Mutex
	at []time.Time
}

func (a *arrivals) add(at time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.at = append(a.at, at)
}

// countAfter counts the calls that came later than a time, and says how much later the last one did.
func (a *arrivals) countAfter(limit time.Time) (count int, most time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, at := range a.at {
		if late := at.Sub(limit); late > 0 {
			count++
			most = max(most, late)
		}
	}
	return count, most
}

// answerAll answers every call with 200 and keeps when it came.
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

// sendMessagesUntil hands a message in every few milliseconds until stop is closed.
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

// Where the list is pushed, what discovery's agent has counts as told from the first moment of a process, whether or
// not a watch is open: with few senders or many in the settings, a first start sends nothing to what drains past the
// grace (incident 1).
func TestFirstStartRespectsDrainKnownToAgent(t *testing.T) {
	path, err := buildProgram()
	if err != nil {
		t.Fatal(err)
	}
	for _, senders := range []int{2, 40, 300} {
		t.Run(fmt.Sprint(senders), func(t *testing.T) {
			t.Parallel()
			drains, stays := newTestEndpoint(t), newTestEndpoint(t)
			late, _ := drains.answerAll(), stays.answerAll()
			known := discovery.List{Generation: 1, Reset: true, Instances: instancesOf(drains, stays)}
			p := newTestPlatform(t)
			p.list = discovery.List{Generation: 2, Reset: true, Instances: instancesOf(drains, stays)}
			p.list.Instances[0].Lifecycle = "draining"
			stop := make(chan struct{})
			var fed sync.WaitGroup
			var begun time.Time
			for i := range 4 {
				x := startProcessWithConfig(t, p, t.TempDir(), pushedConfigText(p, known, senders, i), "127.0.0.1:0", exec.Command(path))
				begun = time.Now()
				fed.Go(func() { sendMessagesUntil(x.addr, fmt.Sprintf("m%d", i), stop, t) })
			}
			time.Sleep(6 * time.Second)
			close(stop)
			fed.Wait()
			count, most := late.countAfter(begun.Add(drainGrace + drainSlack + testSlack))
			if count > 0 {
				t.Errorf("%d calls to a draining endpoint past grace and slack, the last %v later", count, most)
			}
		})
	}
}
